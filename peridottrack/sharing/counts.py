"""Counts of recent events by key that fade with time, bounded in number. Performs no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator

MAX_KEYS = 1024
"""Maximum number of keys; while all are in use, new ones are counted in the total only."""
NEGLIGIBLE = 0.05
"""Count below which a key is dropped when room is needed."""
MAX_EXPONENT = 40.0
"""Time constants after which the stored counts are scaled down again."""


class FadingCounts:
    """Counts that decay exponentially.

    Instead of all counts decaying, the weight of new events grows; a count is read in units of the
    current weight. Adding and reading therefore take constant time.

    Parameters
    ----------
    fade_s
        Time constant of the decay.
    """

    def __init__(self, fade_s: float, now: float) -> None:
        self._fade_s = fade_s
        self._created_at = self._based_at = self._weighed_at = now
        self._weight = 1.0
        self._total = 0.0
        self._count_by_key: dict[str, float] = {}
        self._dropped_at = now

    def add(self, key: str, now: float) -> None:
        """Count one event."""
        weight = self._weigh(now)
        self._total += weight
        count = self._count_by_key.get(key)
        if count is not None:
            self._count_by_key[key] = count + weight
        elif len(self._count_by_key) < MAX_KEYS or self._drop_negligible(now):
            self._count_by_key[key] = weight

    def get(self, key: str, now: float) -> float:
        """Return the count of a key."""
        return self._count_by_key.get(key, 0.0) / self._weigh(now)

    def total(self, now: float) -> float:
        """Return the count of all keys together."""
        return self._total / self._weigh(now)

    def span_s(self, now: float) -> float:
        """Return the time that the counts stand for: a rate is a count divided by it."""
        return self._fade_s * -math.expm1(-max(now - self._created_at, 1e-3) / self._fade_s)

    def items(self, now: float) -> Iterator[tuple[str, float]]:
        """Return the keys with their counts."""
        weight = self._weigh(now)
        return ((key, count / weight) for key, count in self._count_by_key.items())

    def __len__(self) -> int:
        return len(self._count_by_key)

    def _weigh(self, now: float) -> float:
        if now != self._weighed_at:
            exponent = (now - self._based_at) / self._fade_s
            if exponent > MAX_EXPONENT:
                self._rebase(exponent, now)
                exponent = 0.0
            self._weight, self._weighed_at = math.exp(exponent), now
        return self._weight

    def _rebase(self, exponent: float, now: float) -> None:
        scale = math.exp(-exponent)
        self._based_at = now
        self._total *= scale
        scaled = ((key, count * scale) for key, count in self._count_by_key.items())
        self._count_by_key = {key: count for key, count in scaled if count >= NEGLIGIBLE}

    def _drop_negligible(self, now: float) -> bool:
        """Drop negligible counts, once in a time constant; return whether there is room now."""
        if now - self._dropped_at < self._fade_s:
            return False
        self._dropped_at = now
        least = NEGLIGIBLE * self._weigh(now)
        kept = {key: count for key, count in self._count_by_key.items() if count >= least}
        self._count_by_key = kept
        return len(kept) < MAX_KEYS
