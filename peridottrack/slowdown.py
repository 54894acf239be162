"""Belief in what an instance says of its host's speed, without network.

Answers the pattern of neighbours that make work take several times as long in spells shorter than
most requests: what was said last counts in full when it is new, and gives way to the long-term
mean within the usual length of a spell.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_SLOW_PERIOD_S = 0.15
"""Length of a spell that is assumed until some were seen."""
MIN_SPELL_S = 0.03
MAX_SPELL_S = 5.0
"""Bounds of the length that is learnt: shorter ones end before the news arrives."""
SPELL_WEIGHT = 0.1
"""Weight of one spell in the moving length."""
MEAN_WEIGHT = 0.01
"""Weight of one word in the long-term mean."""
UNSURE_SHARE = 0.25
"""Share of a spell's length after which a word is no longer relied on."""
SLOWDOWN_THRESHOLD = 1.5
"""Factor from which a host counts as slow."""


def expected_slowdown(last: float, mean: float, age_s: float, spell_s: float) -> float:
    """Return the factor to expect when the last word is ``age_s`` old."""
    forgotten = min(1.0, max(0.0, age_s) / spell_s)
    return last + (mean - last) * forgotten


@dataclass(slots=True)
class SlowdownEstimator:
    """What one instance said, over time.

    Attributes
    ----------
    last, at
        The last factor and when it came.
    mean
        Long-term mean of the factors.
    spell_s
        Usual length of a slow spell.
    slow
        Factor of the last slow word, 1 before any.
    """

    last: float = 1.0
    at: float = float("-inf")
    mean: float = 1.0
    spell_s: float = DEFAULT_SLOW_PERIOD_S
    slow: float = 1.0
    _slow_since: float | None = None

    def hear(self, factor: float, now: float) -> bool:
        """Take in a word; True if it tells of a change between slow and well."""
        was_slow, is_slow = self.last >= SLOWDOWN_THRESHOLD, factor >= SLOWDOWN_THRESHOLD
        self.last, self.at = factor, now
        if is_slow:
            self.slow = factor
        self.mean += MEAN_WEIGHT * (factor - self.mean)
        if is_slow and self._slow_since is None:
            self._slow_since = now
        elif not is_slow and self._slow_since is not None:
            lasted_s = min(max(now - self._slow_since, MIN_SPELL_S), MAX_SPELL_S)
            self.spell_s += SPELL_WEIGHT * (lasted_s - self.spell_s)
            self._slow_since = None
        return was_slow != is_slow

    def expected(self, now: float) -> float:
        """Return the factor to expect of work that starts now."""
        return expected_slowdown(self.last, self.mean, now - self.at, self.spell_s)

    def unsure(self, now: float) -> bool:
        """Tell whether the last word is so old that asking is worth more than it costs."""
        return now - self.at > self.spell_s * UNSURE_SHARE

    def surely_slow(self, now: float) -> bool:
        """Tell whether the last word was slow and is too new for the spell to have ended."""
        return self.last >= SLOWDOWN_THRESHOLD and now - self.at < self.spell_s / 2
