"""Moving average and recent maximum of the times that requests take. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

RUN_WEIGHT = 0.1
"""Weight of a new run time in the moving average: about the last ten runs of a route count."""
DEFAULT_RUN_S = 0.1
"""Run time assumed for a route without samples."""
OUTLIER_FACTOR = 3.0
"""Multiple of the average to which a run time is clamped; limits the effect of slow periods."""
LONGEST_TO_FINISH = 1.25
"""Multiple of the longest recent time that must be left in a shutdown for a request to be taken."""
LONGEST_WINDOW_S = 60.0
"""A longest time counts for this long at least, and for twice as long at most."""


@dataclass(slots=True)
class RunTime:
    """Moving average of a route's run time at normal speed, in seconds."""

    mean_s: float = DEFAULT_RUN_S
    count: int = 0

    def add(self, seconds: float) -> None:
        """Record the run time of one request."""
        self.count += 1
        self.mean_s += (seconds - self.mean_s) * max(RUN_WEIGHT, 1.0 / self.count)

    def clamp(self, seconds: float) -> float:
        """Return a run time, clamped if it is far above the average."""
        return min(seconds, OUTLIER_FACTOR * self.mean_s) if self.count else seconds


@dataclass(slots=True)
class LongestTime:
    """Longest of the times recorded lately, in seconds; 0 for none."""

    _current_s: float = 0.0
    _previous_s: float = 0.0
    _window_ends_at: float = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Record the time that one request took."""
        self._advance(now)
        self._current_s = max(self._current_s, seconds)

    def get(self, now: float) -> float:
        """Return the longest time of this and the previous window."""
        self._advance(now)
        return max(self._current_s, self._previous_s)

    def _advance(self, now: float) -> None:
        if now < self._window_ends_at:
            return
        is_next = now < self._window_ends_at + LONGEST_WINDOW_S
        self._previous_s = self._current_s if is_next else 0.0
        self._current_s = 0.0
        self._window_ends_at = now + LONGEST_WINDOW_S
