"""Fault injection for the in-memory stores: each call takes one fault from a plan."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from peridottrack.exceptions import StoreUnavailable


class StoreFault(Enum):
    """Fault injected into one call to the table or the object store.

    The object store treats SLOW writes as normal, and LATE as LOST_AFTER.

    Attributes
    ----------
    DOWN, THROTTLED
        The call is rejected without effect.
    SLOW
        The call takes effect after a delay.
    LOST_BEFORE
        The request is lost: a write has no effect, and its outcome is unknown.
    LOST_AFTER
        The response is lost: a write is applied, and its outcome is unknown.
    LATE
        The outcome is unknown; a write is applied after a delay.
    """

    NONE = "none"
    DOWN = "down"
    THROTTLED = "throttled"
    SLOW = "slow"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


APPLIED_BUT_UNKNOWN = frozenset({StoreFault.LOST_AFTER, StoreFault.LATE})
"""Faults under which a write is applied although its outcome is reported as unknown."""
SLOW_DELAY_S = 0.4
LATE_WRITE_DELAY_S = 3.0


@dataclass
class FaultPlan:
    """The faults of the next calls.

    Parameters
    ----------
    default
        Fault of each call while no fault is queued.
    queued
        Faults of the next calls, one for each call.
    """

    default: StoreFault = StoreFault.NONE
    queued: list[StoreFault] = field(default_factory=list)

    def queue(self, faults: Iterable[StoreFault]) -> None:
        """Append faults for later calls."""
        self.queued.extend(faults)

    def next(self) -> StoreFault:
        """Remove and return the fault of the next call."""
        return self.queued.pop(0) if self.queued else self.default


async def inject_read_fault(fault: StoreFault) -> None:
    """Delay or fail a read.

    Raises
    ------
    StoreUnavailable
        For every fault except NONE and SLOW.
    """
    if fault is StoreFault.SLOW:
        await asyncio.sleep(SLOW_DELAY_S)
    elif fault is not StoreFault.NONE:
        raise StoreUnavailable(f"injected fault: {fault.value}")
