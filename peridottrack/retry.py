"""The retry budget of a service, and the backoff before a retry."""

from __future__ import annotations

from peridottrack.secondsendlimit import SecondSendLimit
from peridottrack.types import Random

BACKOFF_BASE_S = 0.005
BACKOFF_MAX_S = 0.25
MAX_ATTEMPTS = 3
RESERVE = 3.0
"""Initial tokens of both buckets; extra attempts may always be saved up to this."""
HEDGE_BURST = 8.0
"""Maximum number of hedges saved up."""
URGENT_RESERVE = HEDGE_BURST / 2
"""Hedges of these that are left to urgent ones, since they help far more often than one that is
sent only because the hedge delay has passed."""


class RetryBudget:
    """Limits retries and hedges to a share of calls, plus a small reserve.

    Parameters
    ----------
    share
        Extra attempts per call.
    hedge_share
        Hedges per call; a hedge counts as an extra attempt too.
    """

    def __init__(self, share: float, hedge_share: float) -> None:
        self.share = share
        self.hedge_limit = SecondSendLimit(hedge_share, HEDGE_BURST, URGENT_RESERVE, RESERVE)
        self._tokens = RESERVE

    @property
    def burst(self) -> float:
        """Maximum number of tokens for extra attempts."""
        return max(RESERVE, 100.0 * self.share)

    def record_call(self) -> None:
        """Record a call, which adds its share to the budget."""
        self._tokens = min(self.burst, self._tokens + self.share)
        self.hedge_limit.record_request()

    def take_retry(self) -> bool:
        """Take a retry from the budget; return whether it is allowed."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def take_hedge(self, urgent: bool = False) -> bool:
        """Take a hedge from the budget; return whether it is allowed.

        Parameters
        ----------
        urgent
            Whether the instance of the first attempt is known to be slow.
        """
        if not self.hedge_limit.allows(urgent) or not self.take_retry():
            return False
        self.hedge_limit.take()
        return True


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the backoff before an attempt (2 for the first retry), with full jitter."""
    ceiling_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** (attempt - 2))
    return ceiling_s * rng.random()
