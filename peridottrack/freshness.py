"""How recently a node knew that the store had no newer document than its own."""

from __future__ import annotations

from peridottrack.types import Clock


class DocumentFreshness:
    """The last confirmation of the document in force, by the store's clock and by the local one.

    A confirmation says that at a certain time of the store's clock the store had no newer document.
    Nodes pass confirmations on. One that was delayed on the way, or at a node that was paused,
    names an old time and is not taken for a new one.

    Parameters
    ----------
    max_skew_s
        How far the two clocks may differ in what has passed since the last confirmation, in
        seconds. Beyond that, the store's clock has started over or this process was suspended, and
        only the store itself can confirm the document.

    Attributes
    ----------
    confirmed_at
        Local time of the last confirmation, not later than when it held; at first, the time of
        creation.
    store_time_s
        The same by the store's clock; None before the first confirmation, or if the store tells no
        time.
    """

    def __init__(self, max_skew_s: float, clock: Clock) -> None:
        self._max_skew_s = max_skew_s
        self._clock = clock
        self.confirmed_at = clock.now()
        self.store_time_s: float | None = None

    def age_s(self) -> float:
        """Return the seconds since the last confirmation."""
        return self._clock.now() - self.confirmed_at

    def confirm(self, asked_at: float, store_time_s: float | None) -> None:
        """Record a response of the store to a call made at the local time ``asked_at``."""
        confirmed_at = asked_at
        if store_time_s is not None and self.store_time_s is not None:
            # A response to a call that waited for a change is much younger than the call.
            elapsed_s = store_time_s - self.store_time_s
            confirmed_at = max(asked_at, min(self._clock.now(), self.confirmed_at + elapsed_s))
        self.confirmed_at, self.store_time_s = confirmed_at, store_time_s

    def hear(self, store_time_s: float) -> bool:
        """Record a confirmation of another node; return whether it is newer than the last one."""
        now = self._clock.now()
        if self.store_time_s is None:
            self.confirmed_at, self.store_time_s = now, store_time_s
            return True
        elapsed_s = store_time_s - self.store_time_s
        confirmed_at = self.confirmed_at + elapsed_s
        if elapsed_s <= 0 or confirmed_at > now + self._max_skew_s:
            return False
        self.confirmed_at, self.store_time_s = min(confirmed_at, now), store_time_s
        return True
