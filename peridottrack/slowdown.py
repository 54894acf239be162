"""Estimates the slowdown of an instance's host from its load reports. Performs no I/O.

Other tenants of a host can make work take several times as long, for periods shorter than most
requests. The last report counts in full when it is new; as it ages, the estimate moves to the
long-term mean within the usual length of a slow period.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_SLOW_PERIOD_S = 0.15
"""Length of a slow period that is assumed until some were observed."""
MIN_SLOW_PERIOD_S = 0.03
MAX_SLOW_PERIOD_S = 5.0
"""Bounds of the estimated length; shorter slow periods end before their report arrives."""
PERIOD_WEIGHT = 0.1
"""Weight of one slow period in the moving average of their length."""
MEAN_WEIGHT = 0.01
"""Weight of one report in the long-term mean."""
OUTDATED_SHARE = 0.25
"""Share of the usual slow period after which a report is outdated."""
SLOWDOWN_THRESHOLD = 1.5
"""Slowdown factor from which a host counts as slow."""


def expected_slowdown(last: float, mean: float, age_s: float, slow_period_s: float) -> float:
    """Return the expected slowdown factor when the last report is ``age_s`` old."""
    decay = min(1.0, max(0.0, age_s) / slow_period_s)
    return last + (mean - last) * decay


@dataclass(slots=True)
class SlowdownEstimator:
    """Estimates the slowdown of one instance's host.

    Attributes
    ----------
    last, received_at
        The last reported factor and when it was received.
    mean
        Long-term mean of the reported factors.
    slow_period_s
        Usual length of a slow period.
    last_slow
        Last reported factor that counts as slow, 1 before any.
    """

    last: float = 1.0
    received_at: float = float("-inf")
    mean: float = 1.0
    slow_period_s: float = DEFAULT_SLOW_PERIOD_S
    last_slow: float = 1.0
    _slow_since: float | None = None

    def record(self, factor: float, now: float) -> bool:
        """Record a reported factor; return whether the host became slow or recovered."""
        was_slow, is_slow = self.last >= SLOWDOWN_THRESHOLD, factor >= SLOWDOWN_THRESHOLD
        self.last, self.received_at = factor, now
        if is_slow:
            self.last_slow = factor
        self.mean += MEAN_WEIGHT * (factor - self.mean)
        if is_slow and self._slow_since is None:
            self._slow_since = now
        elif not is_slow and self._slow_since is not None:
            period_s = min(max(now - self._slow_since, MIN_SLOW_PERIOD_S), MAX_SLOW_PERIOD_S)
            self.slow_period_s += PERIOD_WEIGHT * (period_s - self.slow_period_s)
            self._slow_since = None
        return was_slow != is_slow

    def expected(self, now: float) -> float:
        """Return the expected slowdown factor of work that starts now."""
        return expected_slowdown(self.last, self.mean, now - self.received_at, self.slow_period_s)

    def is_outdated(self, now: float) -> bool:
        """Return whether the last report is so old that a probe is worth its cost."""
        return now - self.received_at > self.slow_period_s * OUTDATED_SHARE

    def is_slow(self, now: float) -> bool:
        """Return whether the last report was slow and so recent that the slow period still lasts.

        It is assumed to last for at least half the usual length after a report.
        """
        return self.last >= SLOWDOWN_THRESHOLD and now - self.received_at < self.slow_period_s / 2
