"""Adaptive concurrency limits of instances, and the queue of a service.

The slots of an instance are shared by all nodes that call it, without a central counter: each
node adapts its own limit to the responses of the instance.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from peridottrack.types import Clock

MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.85
"""Factor by which a burst of rejections decreases the limit."""
DECREASE_INTERVAL_S = 0.05
"""Rejections within this time after a decrease belong to the same burst."""
INITIAL_LIMIT_FACTOR = 4.0
"""The limit starts at this many times the node's equal share of the slots."""


class AdaptiveLimit:
    """Limits the requests that one node has in flight on one instance.

    The limit follows additive increase, multiplicative decrease (AIMD).

    Parameters
    ----------
    ceiling
        Upper bound: the instance's slots, or this node's share of its connections if smaller.
    callers
        Number of nodes that call the instance.
    """

    def __init__(self, slots: int, connections: int, callers: int) -> None:
        self.ceiling = 1
        self.set_share(slots, connections, callers)
        self._limit = max(
            MIN_LIMIT, min(self.ceiling, INITIAL_LIMIT_FACTOR * slots / max(callers, 1))
        )
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> int:
        """Number of requests that may be in flight."""
        return int(self._limit)

    def set_share(self, slots: int, connections: int, callers: int) -> None:
        """Set the ceiling for the number of nodes that call the instance."""
        self.ceiling = max(1, min(slots, connections // max(callers, 1)))
        self._limit = min(getattr(self, "_limit", self.ceiling), self.ceiling)

    def record_success(self, in_flight: int) -> None:
        """Record a success; the limit grows only while it is used up."""
        if in_flight >= self.limit - 1:
            self._limit = min(self.ceiling, self._limit + 1.0 / max(self._limit, 1.0))

    def record_shed(self, now: float) -> None:
        """Record that the instance shed a call; shrink the limit once for a burst of these."""
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)


@dataclass(order=True, slots=True)
class QueueEntry:
    """One request in a queue; the smallest is served first.

    Parameters
    ----------
    rank
        Number of requests of the same caller that were waiting already, so that the first
        request of each caller is served before the second of any.
    """

    priority: int
    rank: int
    deadline: float
    order: int
    caller: str = field(compare=False)
    payload: Any = field(compare=False)
    removed: bool = field(compare=False, default=False)


class DeadlineQueue:
    """A bounded queue ordered by priority, fairness between callers, and deadline."""

    INTERVAL_DECAY = 0.95
    """Weight of the previous mean interval between releases in the moving average."""

    def __init__(self, clock: Clock, length: int) -> None:
        self._clock = clock
        self._max_length = length
        self._heap: list[QueueEntry] = []
        self._waiting_by_caller: Counter[str] = Counter()
        self._order = itertools.count()
        self._size = 0
        self._mean_interval_s: float | None = None
        self._released_at: float | None = None

    def __len__(self) -> int:
        return self._size

    def wait_estimate_s(self) -> float:
        """Return the estimated wait of a request that joins now."""
        return self._size * (self._mean_interval_s or 0.0)

    def record_release(self) -> None:
        """Record that a slot became free, for the wait estimate."""
        now = self._clock.now()
        if self._released_at is not None and self._size:
            interval_s = now - self._released_at
            old_s = self._mean_interval_s if self._mean_interval_s is not None else interval_s
            self._mean_interval_s = old_s * self.INTERVAL_DECAY + interval_s * (
                1 - self.INTERVAL_DECAY
            )
        self._released_at = now

    def push(self, caller: str, priority: int, deadline: float, payload: Any) -> QueueEntry | None:
        """Add a request.

        Returns
        -------
        QueueEntry or None
            The entry that was dropped if the queue was full: the new one, or one that would
            have been served after it.
        """
        rank = self._waiting_by_caller[caller]
        entry = QueueEntry(priority, rank, deadline, next(self._order), caller, payload)
        dropped = None
        if self._size >= self._max_length:
            worst = max((item for item in self._heap if not item.removed), default=entry)
            if worst <= entry:
                return entry
            self.remove(worst)
            dropped = worst
        heapq.heappush(self._heap, entry)
        self._waiting_by_caller[caller] += 1
        self._size += 1
        return dropped

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry without serving it."""
        if not entry.removed:
            entry.removed = True
            self._uncount(entry)

    def pop(self) -> QueueEntry | None:
        """Remove and return the entry to serve next, None if there is none."""
        while self._heap:
            entry = heapq.heappop(self._heap)
            if not entry.removed:
                entry.removed = True
                self._uncount(entry)
                return entry
        return None

    def _uncount(self, entry: QueueEntry) -> None:
        self._size -= 1
        self._waiting_by_caller[entry.caller] -= 1
        if not self._waiting_by_caller[entry.caller]:
            del self._waiting_by_caller[entry.caller]
