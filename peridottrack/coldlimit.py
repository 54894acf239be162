"""How many requests a cold instance is sent. Performs no I/O.

An instance is cold for some time after its start, and may become cold again at any moment. Until it
is warm it takes only so many requests a second, from all nodes together. All of them start at its
gate, so one count there enforces this.

A token bucket paces the requests. It starts when the instance becomes cold, so it does not know of
the requests before; therefore the starts of the last second are counted too, warm or cold.
"""

from __future__ import annotations

import math
from collections import deque

from peridottrack.bucket import TokenBucket
from peridottrack.ratelimit import burst_of, token_wait_s
from peridottrack.types import Clock

WINDOW_S = 1.0
"""Time in which the starts are counted: limits are given in requests a second."""
CHECK_INTERVAL_S = 1.0
"""Time for which a busy instance is taken to be warm after it said so."""
ALWAYS = float("-inf")


class ColdLimit:
    """Limits the starts at one instance while it is cold.

    In any second in which the instance is known to be cold at its end, at most ``per_s`` requests
    and a burst (`burst_of`) start, whatever was known before.

    Attributes
    ----------
    per_s
        Requests a second that the instance takes while cold, infinite for no limit.
    cold_until
        Time until which the instance is cold, as far as it has said.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at: deque[float] = deque()
        # An earlier process may have started requests until now.
        self._known_since = clock.now()
        self._bucket: TokenBucket | None = None
        self._told_at = ALWAYS
        self.per_s = math.inf
        self.cold_until = ALWAYS

    def set_limit(self, per_s: float) -> None:
        """Set the requests a second that instances of the service take while cold."""
        if per_s == self.per_s:
            return
        self.per_s = per_s
        if self._bucket is not None and math.isfinite(per_s):
            self._bucket.set_rate(per_s, burst_of(per_s))
        self._update()

    def reset(self) -> None:
        """Discard what is known: another instance follows, which has got no request so far."""
        self._started_at.clear()
        self._known_since = self.cold_until = self._told_at = ALWAYS
        self._bucket = None

    def record_warmup(self, warm_in_s: float) -> None:
        """Record for how long the instance says that it stays cold, 0 if it is warm.

        Statements may arrive late and out of order, so none makes an earlier one void.
        """
        self._told_at = self._clock.now()
        if warm_in_s > 0:
            self.cold_until = max(self.cold_until, self._told_at + warm_in_s)
        self._update()

    def record_start(self) -> None:
        """Count one request that starts now."""
        self._update()
        self._started_at.append(self._clock.now())
        if self._bucket is not None:
            self._bucket.take(1.0)

    @property
    def cold(self) -> bool:
        """Whether the instance is cold, as far as it has said."""
        return self._clock.now() < self.cold_until

    @property
    def limited(self) -> bool:
        """Whether there is a limit now."""
        return self.cold and math.isfinite(self.per_s)

    @property
    def rate(self) -> float:
        """Requests a second that may start now, infinite for no limit."""
        return self.per_s if self.limited else math.inf

    @property
    def recent_starts(self) -> int:
        """Number of requests started within the last second."""
        self._forget_starts()
        return len(self._started_at)

    def available(self) -> float:
        """Return the number of requests that may start now, infinite for no limit."""
        self._update()
        if self._bucket is None:
            return math.inf
        if self._clock.now() < self._known_since + WINDOW_S:
            return 0.0
        return min(self._bucket.available(), self._cap() - len(self._started_at))

    def wait_s(self, waiting: int) -> float:
        """Return the seconds until a request behind ``waiting`` others may start."""
        if self.available() >= waiting + 1.0 or self._bucket is None:
            return 0.0
        now = self._clock.now()
        bucket_wait_s = token_wait_s(self._bucket.available() - waiting, self.per_s)
        history_wait_s = self._known_since + WINDOW_S - now
        wait_s = max(bucket_wait_s, history_wait_s, self._window_wait_s(waiting, now))
        return max(0.0, min(wait_s, self.cold_until - now))

    def needs_check(self) -> bool:
        """Return whether to ask the instance if it is cold again, and count that as done.

        More start than if it were, and it has said nothing for a while.
        """
        now = self._clock.now()
        if not math.isfinite(self.per_s) or self.cold:
            return False
        if now - self._told_at < CHECK_INTERVAL_S or self.recent_starts < self._cap():
            return False
        self._told_at = now
        return True

    def _cap(self) -> float:
        """Return the most starts within one second."""
        return self.per_s + burst_of(self.per_s)

    def _window_wait_s(self, waiting: int, now: float) -> float:
        """Return the seconds until enough of the last starts are a second ago."""
        surplus = math.ceil(len(self._started_at) + waiting + 1 - self._cap())
        if not 0 < surplus <= len(self._started_at):
            return 0.0
        return self._started_at[surplus - 1] + WINDOW_S - now

    def _update(self) -> None:
        self._forget_starts()
        if not self.limited:
            self._bucket = None
        elif self._bucket is None:
            # Starts that nobody has counted leave nothing of the burst.
            known = self._clock.now() >= self._known_since + WINDOW_S
            burst = burst_of(self.per_s)
            tokens = max(0.0, burst - len(self._started_at)) if known else 0.0
            self._bucket = TokenBucket(self._clock, self.per_s, burst, tokens)

    def _forget_starts(self) -> None:
        oldest = self._clock.now() - WINDOW_S
        while self._started_at and self._started_at[0] < oldest:
            self._started_at.popleft()
