"""The retry budget of a service, and the pause before a retry."""

from __future__ import annotations

from peridottrack.types import Random

BACKOFF_BASE_S = 0.005
BACKOFF_MAX_S = 0.25
MAX_ATTEMPTS = 3
RESERVE = 3.0


class RetryBudget:
    """Lets retries and hedges be at most a share of calls, plus a small reserve.

    Parameters
    ----------
    share
        Extra attempts for each call.
    hedge_share
        Hedges for each call; they are extra attempts too.
    """

    def __init__(self, share: float, hedge_share: float) -> None:
        self.share = share
        self.hedge_share = hedge_share
        self._tokens = RESERVE
        self._hedge_tokens = RESERVE

    @property
    def burst(self) -> float:
        """Most extra attempts that can be saved up."""
        return max(RESERVE, 100.0 * self.share)

    def called(self) -> None:
        """Note a call, which earns its share."""
        self._tokens = min(self.burst, self._tokens + self.share)
        self._hedge_tokens = min(self.burst, self._hedge_tokens + self.hedge_share)

    def take_retry(self) -> bool:
        """Ask for a retry."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def take_hedge(self) -> bool:
        """Ask for a hedge."""
        if self._hedge_tokens < 1.0 or not self.take_retry():
            return False
        self._hedge_tokens -= 1.0
        return True


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the pause before an attempt (2 for the first retry), with full jitter."""
    ceiling_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** (attempt - 2))
    return ceiling_s * rng.random()
