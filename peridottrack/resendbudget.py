"""Budget for resends (retries and hedges) that all nodes share. Performs no I/O.

The run of a resent request may make calls of its own, which count as well, and requests arrive
unevenly over the nodes; so each node spends only a part of its share.
"""

from __future__ import annotations

from collections import deque

from peridottrack.types import Clock

SPENDABLE_SHARE = 0.4
"""Part of its share that a node spends; the rest covers calls made by the repeated runs."""


class ResendBudget:
    """Budget of resends to one service.

    Parameters
    ----------
    ratio, slack, window_s
        In any window, the resends of all nodes together may not exceed ``ratio`` times the
        requests plus ``slack``.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, clock: Clock) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._clock = clock
        self._first_sends: deque[float] = deque()
        self._resends: deque[float] = deque()
        self.node_count = 1

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Replace the limits; earlier sends still count."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def record_first_send(self) -> None:
        """Record the first send of a request."""
        self._first_sends.append(self._clock.now())

    def take(self, spare: int = 0) -> bool:
        """Return whether a resend is within the budget, and record it if so.

        Parameters
        ----------
        spare
            Further resends that must stay within the budget after it.
        """
        now = self._clock.now()
        self._expire(self._first_sends, now)
        self._expire(self._resends, now)
        share = self._slack / max(self.node_count, 1) + self._ratio * len(self._first_sends)
        if len(self._resends) + 1 + spare > SPENDABLE_SHARE * share:
            return False
        self._resends.append(now)
        return True

    def _expire(self, times: deque[float], now: float) -> None:
        while times and now - times[0] > self._window_s:
            times.popleft()
