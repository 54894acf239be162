"""The rate limit that an instance names. Performs no I/O."""

from __future__ import annotations

import math

from peridottrack.bucket import TokenBucket
from peridottrack.types import Clock

BURST_S = 0.5
"""Seconds of the rate that may start at once after a pause."""
MIN_BURST = 1.0
"""Smallest burst in requests: a bucket that holds less never admits one."""
MAX_WAIT_S = 60.0
"""Longest wait that is reported; an instance that takes no requests has an endless one."""
MIN_SHARED_PER_S = 0.5
"""Rate that nodes without a gate share at least: only a response tells them that a limit ended."""


def share_of(per_s: float, callers: int) -> float:
    """Return the part of a rate limit that one of the nodes that call an instance may use."""
    return max(per_s, MIN_SHARED_PER_S) / max(callers, 1)


def burst_of(per_s: float) -> float:
    """Return the largest number of requests that a rate limit admits at once."""
    return max(MIN_BURST, per_s * BURST_S)


def finite(per_s: float) -> float | None:
    """Return a rate limit for the log, None for no limit."""
    return per_s if math.isfinite(per_s) else None


def token_wait_s(available: float, per_s: float) -> float:
    """Return the seconds until one request is admitted, by the requests admitted now.

    A negative number of admitted requests means that others wait already.
    """
    if available >= 1.0 or not math.isfinite(per_s):
        return 0.0
    return min(MAX_WAIT_S, (1.0 - available) / per_s) if per_s > 0 else MAX_WAIT_S


class RateLimit:
    """Admits the requests that an instance takes a second.

    In any time ``t`` it admits at most ``per_s * t`` requests and a burst. A limit that begins
    admits none at once, since the requests before it were not counted.

    Attributes
    ----------
    per_s
        Requests a second, infinite for no limit.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bucket: TokenBucket | None = None
        self.per_s = math.inf

    @property
    def limited(self) -> bool:
        """Whether there is a limit."""
        return self._bucket is not None

    def set(self, per_s: float) -> None:
        """Set the limit, infinite for none."""
        if per_s == self.per_s:
            return
        self.per_s = per_s
        if not math.isfinite(per_s):
            self._bucket = None
        elif self._bucket is None:
            self._bucket = TokenBucket(self._clock, per_s, burst_of(per_s), tokens=0.0)
        else:
            self._bucket.set_rate(per_s, burst_of(per_s))

    def take(self) -> None:
        """Count one request, which `available` allows."""
        if self._bucket is not None:
            self._bucket.take(1.0)

    def available(self) -> float:
        """Return the number of requests admitted now, infinite for no limit."""
        return self._bucket.available() if self._bucket is not None else math.inf

    def wait_s(self, waiting: int) -> float:
        """Return the seconds until a request behind ``waiting`` others is admitted."""
        return token_wait_s(self.available() - waiting, self.per_s)
