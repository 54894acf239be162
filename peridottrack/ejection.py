"""Setting an instance aside when it fails or lags (outlier ejection).

An instance set aside gets no ordinary calls until its time is over; then one trial call at a
time decides. A bounded share of a service may be set aside at once, so that a bad signal cannot
empty it.
"""

from __future__ import annotations

from enum import Enum

from peridottrack.types import Random

FAILURES_IN_A_ROW = 3
ERROR_SHARE = 0.5
ERROR_MIN_RESULTS = 8.0
RESULT_DECAY = 0.9
BASE_S = 1.0
MAX_S = 30.0
TRIALS_TO_RETURN = 2


class EjectionState(Enum):
    """Whether an instance gets calls."""

    ACTIVE = "in"
    EJECTED = "out"
    TRIAL = "trial"


class Ejection:
    """The rule for one instance, as seen by one node."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.state = EjectionState.ACTIVE
        self.until = 0.0
        self._times = 0
        self._in_a_row = 0
        self._results = 0.0
        self._errors = 0.0
        self._trials_passed = 0
        self._trial_running = False

    @property
    def error_share(self) -> float:
        """Share of recent results that were failures, newer ones weighing more."""
        return self._errors / self._results if self._results else 0.0

    def allows(self, now: float) -> bool:
        """Tell whether a call may be sent now; does not start a trial."""
        if self.state is EjectionState.EJECTED and now >= self.until:
            self.state = EjectionState.TRIAL
            self._trials_passed = 0
            self._trial_running = False
        if self.state is EjectionState.TRIAL:
            return not self._trial_running
        return self.state is EjectionState.ACTIVE

    def record_start(self) -> None:
        """Note that a call is sent."""
        if self.state is EjectionState.TRIAL:
            self._trial_running = True

    def record_success(self) -> None:
        """Note a good result."""
        self._note(0.0)
        self._in_a_row = 0
        if self.state is not EjectionState.TRIAL:
            return
        self._trial_running = False
        self._trials_passed += 1
        if self._trials_passed >= TRIALS_TO_RETURN:
            self.state = EjectionState.ACTIVE
            self._results = self._errors = 0.0

    def record_inconclusive(self) -> None:
        """Note that a call ended without telling anything of the instance."""
        self._trial_running = False

    def record_failure(self) -> bool:
        """Note a bad result; return True if the instance should be set aside."""
        self._note(1.0)
        self._in_a_row += 1
        self._trial_running = False
        if self.state is EjectionState.TRIAL:
            return True
        if self._in_a_row >= FAILURES_IN_A_ROW:
            return True
        return self._results >= ERROR_MIN_RESULTS / 2 and self.error_share >= ERROR_SHARE

    def eject(self, now: float) -> None:
        """Set the instance aside, longer each time in a row."""
        if self.state is EjectionState.ACTIVE:
            self._times = 0 if now > self.until + MAX_S else self._times
        wait_s = min(MAX_S, BASE_S * 2**self._times)
        self._times = min(self._times + 1, 10)
        self.until = now + wait_s * (0.75 + 0.5 * self._rng.random())
        self.state = EjectionState.EJECTED
        self._in_a_row = 0

    def _note(self, error: float) -> None:
        self._results = self._results * RESULT_DECAY + 1.0
        self._errors = self._errors * RESULT_DECAY + error


def ejections_allowed(instances: int, share: float) -> int:
    """Return how many instances of a service may be set aside at once."""
    if instances <= 1:
        return 0
    return max(1, int(instances * share)) if share > 0 else 0
