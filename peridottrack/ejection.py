"""Outlier ejection: stops calls to an instance that fails, or is much slower than its peers.

An ejected instance gets no calls until its ejection time is over. Then trial calls, one at a time,
decide whether it returns. Only a bounded share of a service may be ejected at once, so that a wrong
signal cannot remove all its instances.
"""

from __future__ import annotations

from enum import Enum

from peridottrack.types import Random

FAILURES_IN_A_ROW = 3
"""Consecutive failures that eject an instance."""
ERROR_SHARE = 0.5
"""Share of failures that ejects an instance once there are enough results."""
ERROR_MIN_RESULTS = 8.0
RESULT_DECAY = 0.9
"""Weight that earlier results keep with each new one."""
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
TRIAL_SUCCESSES_TO_RETURN = 2


class EjectionState(Enum):
    """Whether an instance gets calls."""

    ACTIVE = "in"
    EJECTED = "out"
    TRIAL = "trial"


class Ejection:
    """The ejection state of one instance, as one node sees it.

    Parameters
    ----------
    base_s, max_s
        Seconds of the first ejection, and of the longest in a row.
    """

    def __init__(
        self, rng: Random, base_s: float = BASE_EJECTION_S, max_s: float = MAX_EJECTION_S
    ) -> None:
        self._rng = rng
        self._base_s = base_s
        self._max_s = max_s
        self.state = EjectionState.ACTIVE
        self.until = 0.0
        self._ejections_in_a_row = 0
        self._failures_in_a_row = 0
        self._results = 0.0
        self._errors = 0.0
        self._trials_passed = 0
        self._trial_running = False

    @property
    def error_share(self) -> float:
        """Share of recent results that were failures, newer ones weighing more."""
        return self._errors / self._results if self._results else 0.0

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent now; only `record_start` starts a trial."""
        if self.state is EjectionState.EJECTED and now >= self.until:
            self.state = EjectionState.TRIAL
            self._trials_passed = 0
            self._trial_running = False
        if self.state is EjectionState.TRIAL:
            return not self._trial_running
        return self.state is EjectionState.ACTIVE

    def record_start(self) -> None:
        """Record that a call is sent."""
        if self.state is EjectionState.TRIAL:
            self._trial_running = True

    def record_success(self) -> None:
        """Record a success."""
        self._record(0.0)
        self._failures_in_a_row = 0
        if self.state is not EjectionState.TRIAL:
            return
        self._trial_running = False
        self._trials_passed += 1
        if self._trials_passed >= TRIAL_SUCCESSES_TO_RETURN:
            self.state = EjectionState.ACTIVE
            self._results = self._errors = 0.0

    def record_inconclusive(self) -> None:
        """Record a call whose end shows nothing about the health of the instance."""
        self._trial_running = False

    def record_failure(self) -> bool:
        """Record a failure; return whether the instance should be ejected."""
        self._record(1.0)
        self._failures_in_a_row += 1
        self._trial_running = False
        if self.state is EjectionState.TRIAL:
            return True
        if self._failures_in_a_row >= FAILURES_IN_A_ROW:
            return True
        # The decayed sum of results reaches half of the minimum with the fifth result.
        return self._results >= ERROR_MIN_RESULTS / 2 and self.error_share >= ERROR_SHARE

    def eject(self, now: float) -> None:
        """Eject the instance, for longer with each ejection in a row."""
        # A row of ejections ends when none followed within the maximum ejection time.
        if self.state is EjectionState.ACTIVE:
            self._ejections_in_a_row = (
                0 if now > self.until + self._max_s else self._ejections_in_a_row
            )
        wait_s = min(self._max_s, self._base_s * 2**self._ejections_in_a_row)
        self._ejections_in_a_row = min(self._ejections_in_a_row + 1, 10)
        self.until = now + wait_s * (0.75 + 0.5 * self._rng.random())
        self.state = EjectionState.EJECTED
        self._failures_in_a_row = 0

    def _record(self, error: float) -> None:
        self._results = self._results * RESULT_DECAY + 1.0
        self._errors = self._errors * RESULT_DECAY + error


def ejections_allowed(instances: int, share: float) -> int:
    """Return how many instances of a service may be ejected at once."""
    if instances <= 1:
        return 0
    return max(1, int(instances * share)) if share > 0 else 0
