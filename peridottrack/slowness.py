"""Feels whether this host runs slow right now, at no cost to the network.

A node shares its host with the upstream and with the same noisy neighbours. Its own timer that
fires late, and an upstream's report, tell of a squeeze within milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

SAMPLE_S = 0.01
LATE_S = 0.006
LATE_SAMPLES_TO_TELL = 2
WELL_SAMPLES_TO_TELL = 4
SLOW_FACTOR = 3.0
VALID_S = 0.12
REPEAT_S = 0.01
RENEW_S = 0.06


@dataclass(frozen=True, slots=True)
class SlownessChange:
    """A change worth telling.

    Parameters
    ----------
    factor
        How much longer work takes; 1.0 when well again.
    """

    factor: float


class SlownessDetector:
    """Turns samples of lateness into words "slow" and "well", told on change.

    The first word is repeated after `REPEAT_S`, since datagrams get lost, and while slow it is
    renewed every `RENEW_S`, since it counts for `VALID_S` only.
    """

    def __init__(self) -> None:
        self._late_in_a_row = 0
        self._well_in_a_row = 0
        self._tell_again_at = 0.0
        self.factor = 1.0

    def sample(self, late_s: float, now: float) -> SlownessChange | None:
        """Take in how late a timer fired; return what to tell, None for nothing."""
        if late_s >= LATE_S:
            self._late_in_a_row += 1
            self._well_in_a_row = 0
        else:
            self._well_in_a_row += 1
            self._late_in_a_row = 0
        if self.factor <= 1.0:
            if self._late_in_a_row < LATE_SAMPLES_TO_TELL:
                return None
            self._tell_again_at = now + REPEAT_S
            self.factor = SLOW_FACTOR
            return SlownessChange(self.factor)
        if self._well_in_a_row >= WELL_SAMPLES_TO_TELL:
            self.factor = 1.0
            return SlownessChange(1.0)
        if now < self._tell_again_at or self._well_in_a_row:
            return None
        self._tell_again_at = now + RENEW_S
        return SlownessChange(self.factor)
