"""Limit of second sends (hedges) as a share of requests. Performs no I/O.

`hedge_share` has this meaning in both programs.
"""

from __future__ import annotations


class SecondSendLimit:
    """Limits second sends to a share of requests, plus what was saved up.

    Parameters
    ----------
    share
        Second sends for each request.
    saved
        Largest number that is saved up.
    reserved
        Number that is left to urgent ones.
    tokens
        Number that may be made at once at the start.
    """

    def __init__(
        self, share: float, saved: float, reserved: float = 0.0, tokens: float = 0.0
    ) -> None:
        self.share = share
        self._saved = saved
        self._reserved = reserved
        self._tokens = tokens

    def record_request(self) -> None:
        """Record the first send of a request, which adds its share."""
        self._tokens = min(self._saved, self._tokens + self.share)

    def allows(self, urgent: bool = True) -> bool:
        """Return whether a second send is within the limit."""
        return self._tokens >= (1.0 if urgent else 1.0 + self._reserved)

    def take(self) -> None:
        """Record a second send."""
        self._tokens -= 1.0
