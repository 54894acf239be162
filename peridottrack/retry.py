"""The retry budget of a service, and the pause before a retry."""

from __future__ import annotations

from peridottrack.types import Random

BACKOFF_BASE_S = 0.005
BACKOFF_MAX_S = 0.25
MAX_ATTEMPTS = 3
RESERVE = 3.0
HEDGE_BURST = 8.0


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

    def record_call(self) -> None:
        """Note a call, which earns its share."""
        self._tokens = min(self.burst, self._tokens + self.share)
        self._hedge_tokens = min(HEDGE_BURST, self._hedge_tokens + self.hedge_share)

    def take_retry(self) -> bool:
        """Ask for a retry."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def take_hedge(self, urgent: bool = False) -> bool:
        """Ask for a hedge.

        Parameters
        ----------
        urgent
            Whether the first attempt's instance is known to run slow. Half of what is saved up
            is kept for these, since they help far more often than a hedge on mere suspicion.
        """
        needed = 1.0 if urgent else 1.0 + HEDGE_BURST / 2
        if self._hedge_tokens < needed or not self.take_retry():
            return False
        self._hedge_tokens -= 1.0
        return True


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the pause before an attempt (2 for the first retry), with full jitter."""
    ceiling_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** (attempt - 2))
    return ceiling_s * rng.random()
