"""Concurrency limits of instances and the queue of a service.

The slots of an instance are shared by all nodes that call it, without a central counter: each
node adapts its own limit by what the instance answers.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from peridottrack.types import Clock

LIMIT_MIN = 1.0
LIMIT_BACKOFF = 0.85
BACKOFF_PAUSE_S = 0.05
START_FACTOR = 4.0


class AdaptiveLimit:
    """How many requests one node keeps in flight on one instance (additive increase,
    multiplicative decrease).

    Parameters
    ----------
    ceiling
        Never exceeded: the instance's slots, or this node's share of its connections.
    callers
        Nodes that share the instance.
    """

    def __init__(self, slots: int, connections: int, callers: int) -> None:
        self.ceiling = 1
        self.set_share(slots, connections, callers)
        self._limit = max(LIMIT_MIN, min(self.ceiling, START_FACTOR * slots / max(callers, 1)))
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return int(self._limit)

    def set_share(self, slots: int, connections: int, callers: int) -> None:
        """Adapt the ceiling to the number of nodes that share the instance."""
        self.ceiling = max(1, min(slots, connections // max(callers, 1)))
        self._limit = min(getattr(self, "_limit", self.ceiling), self.ceiling)

    def record_success(self, in_flight: int) -> None:
        """Note a good answer with so many in flight: grow only if the limit is in use."""
        if in_flight >= self.limit - 1:
            self._limit = min(self.ceiling, self._limit + 1.0 / max(self._limit, 1.0))

    def record_shed(self, now: float) -> None:
        """Note that the instance declined: shrink, once for each burst of refusals."""
        if now - self._decreased_at < BACKOFF_PAUSE_S:
            return
        self._decreased_at = now
        self._limit = max(LIMIT_MIN, self._limit * LIMIT_BACKOFF)


@dataclass(order=True, slots=True)
class QueueEntry:
    """One request in a queue; the smallest is served first.

    Parameters
    ----------
    rank
        Requests of the same caller that waited already, so that each caller's first goes
        before anybody's second.
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

    RATE_DECAY = 0.95

    def __init__(self, clock: Clock, length: int) -> None:
        self._clock = clock
        self._length = length
        self._heap: list[QueueEntry] = []
        self._waiting_by_caller: Counter[str] = Counter()
        self._order = itertools.count()
        self._live = 0
        self._gap_s: float | None = None
        self._served_at: float | None = None

    def __len__(self) -> int:
        return self._live

    def wait_estimate_s(self) -> float:
        """Return the seconds that a request joining now would wait."""
        return self._live * (self._gap_s or 0.0)

    def record_release(self) -> None:
        """Note that a slot became free, for the estimate."""
        now = self._clock.now()
        if self._served_at is not None and self._live:
            gap_s = now - self._served_at
            old_s = self._gap_s if self._gap_s is not None else gap_s
            self._gap_s = old_s * self.RATE_DECAY + gap_s * (1 - self.RATE_DECAY)
        self._served_at = now

    def push(self, caller: str, priority: int, deadline: float, payload: Any) -> QueueEntry | None:
        """Join the queue.

        Returns
        -------
        Waiting or None
            The entry that had to give way: the new one itself or a worse one.
        """
        rank = self._waiting_by_caller[caller]
        entry = QueueEntry(priority, rank, deadline, next(self._order), caller, payload)
        victim = None
        if self._live >= self._length:
            worst = max((item for item in self._heap if not item.removed), default=entry)
            if worst <= entry:
                return entry
            self.remove(worst)
            victim = worst
        heapq.heappush(self._heap, entry)
        self._waiting_by_caller[caller] += 1
        self._live += 1
        return victim

    def remove(self, entry: QueueEntry) -> None:
        """Leave the queue without being served."""
        if not entry.removed:
            entry.removed = True
            self._left(entry)

    def pop(self) -> QueueEntry | None:
        """Take the request to be served next."""
        while self._heap:
            entry = heapq.heappop(self._heap)
            if not entry.removed:
                entry.removed = True
                self._left(entry)
                return entry
        return None

    def _left(self, entry: QueueEntry) -> None:
        self._live -= 1
        self._waiting_by_caller[entry.caller] -= 1
        if not self._waiting_by_caller[entry.caller]:
            del self._waiting_by_caller[entry.caller]
