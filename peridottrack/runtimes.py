"""How long requests of a route usually run, without network."""

from __future__ import annotations

from dataclasses import dataclass

RUN_WEIGHT = 0.1
"""Weight of a new run time in its moving average: about the last ten runs of a route count."""
FIRST_RUN_S = 0.1
"""Run time that is assumed of a route that never ran here."""
OUTLIER = 3.0
"""Factor over the usual at which a run time is cut, so that a spell teaches little."""


@dataclass(slots=True)
class RunTime:
    """Moving average of a route's run time at usual speed, in seconds."""

    mean_s: float = FIRST_RUN_S
    count: int = 0

    def add(self, seconds: float) -> None:
        """Take in a run."""
        self.count += 1
        self.mean_s += (seconds - self.mean_s) * max(RUN_WEIGHT, 1.0 / self.count)

    def clamp(self, seconds: float) -> float:
        """Return a run time, cut if it is far above what is known."""
        return min(seconds, OUTLIER * self.mean_s) if self.count else seconds
