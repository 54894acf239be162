"""For how long a node may vouch for the keys of its document.

A key that an operator takes away must stop working within a bound, also at a node that cannot learn
of it. So a node vouches for keys only while it can prove that the store had no newer document at a
time that is recent enough, and otherwise refuses requests with keys.

The proof must hold whatever happens to the process and to its clocks. Ages are therefore measured
by a clock that counts suspensions, and confirmations that other nodes pass on are dated by the
store's clock. A node compares that clock with its own by calls that it made itself: the store's
time in a response is not earlier than the call.
"""

from __future__ import annotations

import time
from collections.abc import Callable

USED_SHARE = 0.9
"""Share of the bound for which a node vouches; the rest covers a request between the check of its
key and its last byte."""
CLOCK_TOLERANCE_S = 0.05
"""How far a confirmation may seem to lie in the future; beyond that it is of another clock."""


def boot_time_s() -> float:
    """Return monotonic seconds that include the time in which the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class KeyValidity:
    """The last time at which the document was provably the newest one.

    Parameters
    ----------
    bound_s
        Seconds after which a key that was taken away must not work; None for no bound.
    now
        Clock that counts suspensions.
    """

    def __init__(self, bound_s: float | None, now: Callable[[], float] = boot_time_s) -> None:
        self.bound_s = bound_s
        self.now = now
        # Lower bound of the local time minus the store's time; None before the first own call.
        self._offset_s: float | None = None
        self._proved_at = float("-inf")

    def age_s(self) -> float:
        """Return the age of the proof in seconds, infinite if there is none."""
        return self.now() - self._proved_at

    @property
    def vouches(self) -> bool:
        """Whether requests with keys may be admitted."""
        return self.bound_s is None or self.age_s() <= USED_SHARE * self.bound_s

    @property
    def needs_own_call(self) -> bool:
        """Whether confirmations of other nodes prove nothing until this node calls the store."""
        return self.bound_s is not None and self._offset_s is None

    def confirm(self, asked_at: float, store_time_s: float | None) -> None:
        """Record that the store answered a call and that its document is in force here.

        Parameters
        ----------
        asked_at
            Time of ``now`` at which the call was made.
        store_time_s
            Time of the store's clock in the response, None if it told none.
        """
        answered_at = self.now()
        proved_at = asked_at
        if store_time_s is not None:
            earliest = asked_at - store_time_s
            latest = answered_at - store_time_s
            known = self._offset_s if self._offset_s is not None else earliest
            # An offset above the latest possible one is of another clock: the store's was reset.
            self._offset_s = max(known, earliest) if known <= latest else earliest
            proved_at = min(store_time_s + self._offset_s, answered_at)
        self._proved_at = max(self._proved_at, proved_at)

    def hear(self, store_time_s: float) -> None:
        """Record that another node knew of no newer document at a time of the store's clock."""
        if self._offset_s is None:
            return
        now = self.now()
        proved_at = store_time_s + self._offset_s
        if proved_at > now + CLOCK_TOLERANCE_S:
            # Of another clock. The next own call tells the new offset.
            self._offset_s = None
            return
        self._proved_at = max(self._proved_at, min(proved_at, now))
