"""Token buckets, and the budget for load reports (settings ``measuring_*``)."""

from __future__ import annotations

from peridottrack.types import Clock


class TokenBucket:
    """Lets through at most ``burst + rate_per_s * t`` tokens in any time ``t``.

    Parameters
    ----------
    rate_per_s
        Tokens added per second.
    burst
        Most tokens that the bucket holds.
    tokens
        Tokens that it holds at first, ``burst`` by default.
    """

    def __init__(
        self, clock: Clock, rate_per_s: float, burst: float, tokens: float | None = None
    ) -> None:
        self._clock = clock
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst if tokens is None else tokens
        self._refilled_at: float | None = None if tokens is None else clock.now()

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Change the rate from now on; tokens beyond the new burst are dropped."""
        self._refill()
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(burst, self._tokens)

    def take(self, tokens: float) -> bool:
        """Take all of the tokens if there are enough, or none; return whether they were taken."""
        self._refill()
        if tokens > self._tokens:
            return False
        self._tokens -= tokens
        return True

    def available(self) -> float:
        """Return the tokens held now."""
        self._refill()
        return self._tokens

    def _refill(self) -> None:
        now = self._clock.now()
        # A clock that goes backwards adds no tokens and removes none.
        elapsed_s = max(0.0, now - self._refilled_at) if self._refilled_at is not None else 0.0
        self._refilled_at = now
        self._tokens = min(self.burst, self._tokens + elapsed_s * self.rate_per_s)


class LoadReportBudget:
    """Limits the cost of load reports, in messages and in bytes.

    Parameters
    ----------
    messages_per_s
        Datagrams per second.
    bytes_per_s
        Bytes per second, IP and UDP headers included.
    """

    BURST_S = 0.5
    HEADER_BYTES = 28

    def __init__(self, clock: Clock, messages_per_s: float, bytes_per_s: float) -> None:
        self._messages = TokenBucket(clock, messages_per_s, messages_per_s * self.BURST_S)
        self._bytes = TokenBucket(clock, bytes_per_s, bytes_per_s * self.BURST_S)
        self.sent_messages = 0
        self.sent_bytes = 0
        self.withheld_messages = 0

    @property
    def bytes_per_s(self) -> float:
        """The limit in bytes per second."""
        return self._bytes.rate_per_s

    def spend(self, payload_bytes: int) -> bool:
        """Charge a datagram to the budget; return False if it must not be sent."""
        size = payload_bytes + self.HEADER_BYTES
        if self._messages.available() < 1 or not self._bytes.take(size):
            self.withheld_messages += 1
            return False
        self._messages.take(1)
        self.sent_messages += 1
        self.sent_bytes += size
        return True
