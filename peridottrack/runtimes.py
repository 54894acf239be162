"""Moving average of the run time of a route's requests. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

RUN_WEIGHT = 0.1
"""Weight of a new run time in the moving average: about the last ten runs of a route count."""
DEFAULT_RUN_S = 0.1
"""Run time assumed for a route without samples."""
OUTLIER_FACTOR = 3.0
"""Multiple of the average to which a run time is clamped; limits the effect of slow periods."""


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
