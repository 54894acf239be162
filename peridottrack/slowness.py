"""Detects whether this host is slow at the moment, without network traffic.

A node shares its host, and so its noisy neighbours, with the upstream. A timer of its own that
fires late shows contention within milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

SAMPLE_INTERVAL_S = 0.01
"""Interval of the timer."""
LATE_S = 0.006
"""A timer sample this late counts as slow."""
LATE_SAMPLES_TO_REPORT = 2
ON_TIME_SAMPLES_TO_REPORT = 4
SLOW_FACTOR = 3.0
"""Factor that is reported while the host is slow."""
VALID_S = 0.12
"""How long a report of slowness is valid."""
REPEAT_S = 0.01
"""Delay before the first report of a slow period is repeated."""
RENEW_S = 0.06
"""Interval of the further reports in a slow period."""


@dataclass(frozen=True, slots=True)
class SlownessChange:
    """A slowness factor that callers' nodes should be sent.

    Parameters
    ----------
    factor
        Run time relative to normal; 1.0 after recovery.
    """

    factor: float


class SlownessDetector:
    """Turns samples of timer lateness into reports of slowness and of recovery.

    A change is reported at once. The first report of slowness is repeated after `REPEAT_S`, since
    datagrams get lost. While the host is slow the report is renewed every `RENEW_S`, since it is
    valid for `VALID_S` only.
    """

    def __init__(self) -> None:
        self._late_in_a_row = 0
        self._on_time_in_a_row = 0
        self._next_report_at = 0.0
        self.factor = 1.0

    def sample(self, late_s: float, now: float) -> SlownessChange | None:
        """Record how late a timer fired; return what to report, None for nothing."""
        if late_s >= LATE_S:
            self._late_in_a_row += 1
            self._on_time_in_a_row = 0
        else:
            self._on_time_in_a_row += 1
            self._late_in_a_row = 0
        if self.factor <= 1.0:
            if self._late_in_a_row < LATE_SAMPLES_TO_REPORT:
                return None
            self._next_report_at = now + REPEAT_S
            self.factor = SLOW_FACTOR
            return SlownessChange(self.factor)
        if self._on_time_in_a_row >= ON_TIME_SAMPLES_TO_REPORT:
            self.factor = 1.0
            return SlownessChange(1.0)
        if now < self._next_report_at or self._on_time_in_a_row:
            return None
        self._next_report_at = now + RENEW_S
        return SlownessChange(self.factor)
