"""Faults that a stand-in brings about, one decision for each call."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from peridottrack.exceptions import StoreUnavailable


class StoreFault(Enum):
    """What happens to one call to the store."""

    NONE = "none"
    DOWN = "down"
    THROTTLED = "throttled"
    SLOW = "slow"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


WRITE_MAY_APPLY = frozenset({StoreFault.LOST_AFTER, StoreFault.LATE})
SLOW_DELAY_S = 0.4
LATE_WRITE_DELAY_S = 3.0


@dataclass
class FaultPlan:
    """Which fault the next calls meet.

    Parameters
    ----------
    default
        Fault of every call while none is queued.
    queued
        Faults of the next calls, one each.
    """

    default: StoreFault = StoreFault.NONE
    queued: list[StoreFault] = field(default_factory=list)

    def queue(self, faults: Iterable[StoreFault]) -> None:
        """Add faults for the calls to come."""
        self.queued.extend(faults)

    def next(self) -> StoreFault:
        """Take the fault of one call."""
        return self.queued.pop(0) if self.queued else self.default


async def inject_read_fault(fault: StoreFault) -> None:
    """Bring about the fault of a read.

    Raises
    ------
    StoreUnavailable
        For every fault but slowness.
    """
    if fault is StoreFault.SLOW:
        await asyncio.sleep(SLOW_DELAY_S)
    elif fault is not StoreFault.NONE:
        raise StoreUnavailable(f"stand-in: {fault.value}")
