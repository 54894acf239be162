"""The budget of second sends that all nodes share, without network.

A second send may make calls of its own, which count as well, and requests come unevenly over the
nodes; so each node spends a part of its share only.
"""

from __future__ import annotations

from collections import deque

from peridottrack.types import Clock

SPENDABLE_SHARE = 0.4
"""Part of its share that a node spends: the rest covers calls made by repeated runs."""


class ResendBudget:
    """Second sends to one service.

    Parameters
    ----------
    ratio, slack, window_s
        In any window all nodes together may send ``ratio`` times the requests plus ``slack``
        requests a second time.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, clock: Clock) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._clock = clock
        self._first_at: deque[float] = deque()
        self._second_at: deque[float] = deque()
        self.node_count = 1

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Take over other limits; what was sent already counts on."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def record_first_send(self) -> None:
        """Note a first send."""
        self._first_at.append(self._clock.now())

    def take(self) -> bool:
        """Ask for a second send."""
        now = self._clock.now()
        self._forget(self._first_at, now)
        self._forget(self._second_at, now)
        share = self._slack / max(self.node_count, 1) + self._ratio * len(self._first_at)
        if len(self._second_at) + 1 > SPENDABLE_SHARE * share:
            return False
        self._second_at.append(now)
        return True

    def _forget(self, times: deque[float], now: float) -> None:
        while times and now - times[0] > self._window_s:
            times.popleft()
