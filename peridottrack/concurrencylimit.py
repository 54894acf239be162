"""How many of an instance's slots are worth filling, without network.

Answers the pattern of instances that slow down when they are nearly full, so that filling the last
slots gets less done: begins below them, tries all slots while requests wait, and stays there only
if runs do not take longer than what the additional slots bring.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from peridottrack import log

KNEE_SHARE = 0.8
"""Share of the slots that is filled first; instances that slow down do so above about this."""
WORTH_FACTOR = 1.0 / KNEE_SHARE
"""Factor on run times from which the slots above that share bring nothing."""
SAMPLES = 40
"""Runs that a verdict needs on each side: run times vary by about half."""
OUTLIER = 3.0
"""Factor at which a run time, put to the usual one, is cut both ways."""
TRY_AGAIN_S = 4.0
TRY_AGAIN_MAX_S = 64.0
"""Time after which an instance that slowed down is tried again; each such verdict doubles it."""
DOUBT = 1.1
"""Factor between the verdicts, so that chance does not turn one into the other."""


class FillState(Enum):
    """Which slots are filled."""

    BELOW = "below"
    TRYING = "trying"
    ALL = "all"


@dataclass(slots=True)
class _Band:
    """Moving mean of the logarithm of relative run times."""

    count: int = 0
    mean: float = 0.0

    def add(self, relative: float) -> None:
        self.count += 1
        value = math.log(min(max(relative, 1.0 / OUTLIER), OUTLIER))
        self.mean += (value - self.mean) / min(self.count, SAMPLES)


@dataclass(slots=True)
class ConcurrencyLimit:
    """The slots of one instance that are filled."""

    state: FillState = FillState.BELOW
    _below: _Band = field(default_factory=_Band)
    _above: _Band = field(default_factory=_Band)
    _tried_at: float = float("-inf")
    _pause_s: float = TRY_AGAIN_S

    def limit(self, slots: int) -> int:
        """Return how many requests may run at the same time."""
        if self.state is FillState.BELOW:
            return max(1, int(slots * KNEE_SHARE))
        return slots

    def is_above(self, running: int, slots: int) -> bool:
        """Tell whether a run that makes ``running`` with itself is one of those in question."""
        return running > max(1, int(slots * KNEE_SHARE))

    def add(self, relative: float, above: bool) -> None:
        """Take in a run time, put to the usual one of its route below the share."""
        (self._above if above else self._below).add(relative)
        if self._above.count < SAMPLES or self.state is FillState.BELOW:
            return
        difference = self._above.mean - self._below.mean
        doubt = DOUBT if self.state is FillState.ALL else 1.0
        slower = difference > math.log(WORTH_FACTOR * doubt)
        state = FillState.BELOW if slower else FillState.ALL
        if state is not self.state:
            log.event("slots filled", which=state.value, factor=round(math.exp(difference), 2))
        self.state = state
        if slower:
            self._pause_s = min(TRY_AGAIN_MAX_S, self._pause_s * 2)

    def wanted(self, now: float) -> None:
        """Take in that a request waits for a slot."""
        known = self._below.count >= SAMPLES
        if self.state is FillState.BELOW and known and now - self._tried_at > self._pause_s:
            self.state = FillState.TRYING
            self._tried_at = now
            self._above = _Band()
