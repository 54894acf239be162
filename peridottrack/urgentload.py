"""Tracks how many slots urgent requests use. Performs no I/O."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

AVERAGING_S = 2.0
"""Time constant of the moving average of running urgent requests."""


@dataclass(slots=True)
class UrgentLoad:
    """Number of running requests that are more urgent than the least urgent priority.

    Attributes
    ----------
    max_urgent_priority
        The highest priority number that counts as urgent; -1 until two priorities were seen.
    """

    max_urgent_priority: int = -1
    running: int = 0
    _mean: float = 0.0
    _updated_at: float = 0.0
    _least_urgent: int = -1
    _running_by_priority: Counter[int] = field(default_factory=Counter)

    def started(self, priority: int, now: float) -> None:
        """Record that a request started."""
        if priority > self._least_urgent:
            # All priorities seen so far are more urgent than this one.
            self.max_urgent_priority, self._least_urgent = self._least_urgent, priority
        self._count(priority, 1, now)

    def ended(self, priority: int, now: float) -> None:
        """Record that a request ended."""
        self._count(priority, -1, now)

    def mean(self, now: float) -> float:
        """Return the moving average of the number of running urgent requests."""
        new_share = 1.0 - math.exp(-max(0.0, now - self._updated_at) / AVERAGING_S)
        return self._mean + (self.running - self._mean) * new_share

    def _count(self, priority: int, change: int, now: float) -> None:
        self._mean, self._updated_at = self.mean(now), now
        self._running_by_priority[priority] += change
        self.running = sum(
            count
            for other, count in self._running_by_priority.items()
            if other <= self.max_urgent_priority
        )
