"""Faults that a stand-in brings about, one decision for each call."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from peridottrack.exceptions import StoreUnavailable


class Fault(Enum):
    """What happens to one call to the store."""

    NONE = "none"
    DOWN = "down"
    THROTTLED = "throttled"
    SLOW = "slow"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


WRITE_MAY_LAND = frozenset({Fault.LOST_AFTER, Fault.LATE})
SLOW_S = 0.4
LATE_S = 3.0


@dataclass
class FaultPlan:
    """Which fault the next calls meet.

    Parameters
    ----------
    lasting
        Fault of every call while none is queued.
    queued
        Faults of the next calls, one each.
    """

    lasting: Fault = Fault.NONE
    queued: list[Fault] = field(default_factory=list)

    def queue(self, faults: Iterable[Fault]) -> None:
        """Add faults for the calls to come."""
        self.queued.extend(faults)

    def next(self) -> Fault:
        """Take the fault of one call."""
        return self.queued.pop(0) if self.queued else self.lasting


async def before_read(fault: Fault) -> None:
    """Bring about the fault of a read.

    Raises
    ------
    StoreUnavailable
        For every fault but slowness.
    """
    if fault is Fault.SLOW:
        await asyncio.sleep(SLOW_S)
    elif fault is not Fault.NONE:
        raise StoreUnavailable(f"stand-in: {fault.value}")
