"""Finds the concurrency limit below which throughput still grows (the knee). Performs no I/O.

Some instances slow down when they are nearly full, so that filling the last slots reduces
throughput. The limit starts below these slots, is raised to all slots for a trial while requests
are queued, and stays there only if the longer run times do not outweigh the additional slots.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from peridottrack import log

INITIAL_SHARE = 0.8
"""Share of the slots used initially; instances that slow down do so above about this share."""
BREAK_EVEN_FACTOR = 1.0 / INITIAL_SHARE
"""Increase of the run time that cancels the gain of the slots above that share."""
MIN_SAMPLES = 40
"""Samples needed below and above the initial limit to decide: run times vary by about half."""
OUTLIER_FACTOR = 3.0
"""Bound of a sample, relative to the usual run time, in both directions."""
TRIAL_PAUSE_S = 4.0
MAX_TRIAL_PAUSE_S = 64.0
"""Initial and maximum pause before the next trial; each failed trial doubles it."""
HYSTERESIS = 1.1
"""Additional slowdown needed to leave all slots again, so that noise does not flip the state."""


class LimitState(Enum):
    """Which slots are in use: the initial share, all as a trial, or all."""

    BELOW = "below"
    TRYING = "trying"
    ALL = "all"


@dataclass(slots=True)
class _RunTimes:
    """Moving average of the logarithm of relative run times."""

    count: int = 0
    mean: float = 0.0

    def add(self, relative: float) -> None:
        self.count += 1
        value = math.log(min(max(relative, 1.0 / OUTLIER_FACTOR), OUTLIER_FACTOR))
        self.mean += (value - self.mean) / min(self.count, MIN_SAMPLES)


@dataclass(slots=True)
class ConcurrencyLimit:
    """The concurrency limit of one instance."""

    state: LimitState = LimitState.BELOW
    _below: _RunTimes = field(default_factory=_RunTimes)
    _above: _RunTimes = field(default_factory=_RunTimes)
    _last_trial_at: float = float("-inf")
    _pause_s: float = TRIAL_PAUSE_S

    def limit(self, slots: int) -> int:
        """Return the maximum number of concurrently running requests."""
        if self.state is LimitState.BELOW:
            return max(1, int(slots * INITIAL_SHARE))
        return slots

    def exceeds_initial(self, running: int, slots: int) -> bool:
        """Return whether ``running`` concurrent requests exceed the initial limit."""
        return running > max(1, int(slots * INITIAL_SHARE))

    def add(self, relative: float, above: bool) -> None:
        """Record a run time, relative to the usual one of its route below the initial limit.

        Parameters
        ----------
        above
            Whether the run started above the initial limit, see `exceeds_initial`.
        """
        (self._above if above else self._below).add(relative)
        if self._above.count < MIN_SAMPLES or self.state is LimitState.BELOW:
            return
        difference = self._above.mean - self._below.mean
        hysteresis = HYSTERESIS if self.state is LimitState.ALL else 1.0
        slower = difference > math.log(BREAK_EVEN_FACTOR * hysteresis)
        state = LimitState.BELOW if slower else LimitState.ALL
        if state is not self.state:
            log.event("slots filled", which=state.value, factor=round(math.exp(difference), 2))
        self.state = state
        if slower:
            self._pause_s = min(MAX_TRIAL_PAUSE_S, self._pause_s * 2)

    def record_queued(self, now: float) -> None:
        """Record that a request was queued, which may start a trial of all slots.

        A trial needs enough samples below the initial limit and a pause since the last one.
        """
        has_samples = self._below.count >= MIN_SAMPLES
        if (
            self.state is LimitState.BELOW
            and has_samples
            and now - self._last_trial_at > self._pause_s
        ):
            self.state = LimitState.TRYING
            self._last_trial_at = now
            self._above = _RunTimes()
