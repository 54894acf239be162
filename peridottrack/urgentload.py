"""How many slots urgent requests need, without network."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

URGENT_MEMORY_S = 2.0
"""Time over which that average is taken."""


@dataclass(slots=True)
class UrgentLoad:
    """How many of the running requests are more urgent than the least urgent ones.

    Attributes
    ----------
    rank
        The highest number of a rank that counts as urgent; below all ranks until two were seen.
    """

    rank: int = -1
    running: int = 0
    _mean: float = 0.0
    _at: float = 0.0
    _lowest: int = -1
    _running_by_rank: Counter[int] = field(default_factory=Counter)

    def started(self, rank: int, now: float) -> None:
        """Take in that a request runs."""
        if rank > self._lowest:
            # Everything seen so far is more urgent than this one.
            self.rank, self._lowest = self._lowest, rank
        self._count(rank, 1, now)

    def ended(self, rank: int, now: float) -> None:
        """Take in that one runs no more."""
        self._count(rank, -1, now)

    def mean(self, now: float) -> float:
        """Return the moving average of the urgent requests that run."""
        fresh = 1.0 - math.exp(-max(0.0, now - self._at) / URGENT_MEMORY_S)
        return self._mean + (self.running - self._mean) * fresh

    def _count(self, rank: int, change: int, now: float) -> None:
        self._mean, self._at = self.mean(now), now
        self._running_by_rank[rank] += change
        self.running = sum(
            count for other, count in self._running_by_rank.items() if other <= self.rank
        )
