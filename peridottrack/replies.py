"""Error responses that the node itself sends to callers."""

from __future__ import annotations

from peridottrack.errors import ErrorKind, problem
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import BufferedResponse
from peridottrack.types import Random

RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 2.0
"""Bounds of the Retry-After value before the jitter is added, in seconds."""
RETRY_AFTER_JITTER = 0.5
"""Largest random share added to Retry-After, so that rejected callers do not all retry at once."""
_KIND_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    408: ErrorKind.TOO_SLOW,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    503: ErrorKind.NODE_FULL,
}
INPUT_RETRY_AFTER_S = 1.0
"""Retry-After of requests for which the node had no memory: others keep it for about as long."""


class ErrorReplies:
    """Builds the responses for error kinds."""

    def __init__(self, header_names: HeaderNames, rng: Random) -> None:
        self._header_names = header_names
        self._rng = rng

    def refuse(self, status: int, reason: str) -> BufferedResponse:
        """Return the response to input that is not a valid request."""
        kind = _KIND_BY_STATUS.get(status, ErrorKind.BAD_REQUEST)
        return self.problem(kind, "", reason, INPUT_RETRY_AFTER_S)

    def problem(
        self,
        kind: ErrorKind,
        request_id: str,
        detail: str = "",
        retry_after_s: float = 0.0,
        max_retry_after_s: float = RETRY_AFTER_MAX_S,
    ) -> BufferedResponse:
        """Return the response to a request that no instance answered.

        Parameters
        ----------
        retry_after_s
            Seconds after which a retry is more likely to succeed, 0 if unknown.
        max_retry_after_s
            Longest time before the jitter; `RETRY_AFTER_MAX_S` counts if it is longer.
        """
        error = problem(kind, detail, request_id)
        headers = {**error.headers}
        if "Retry-After" in headers:
            jitter = 1.0 + RETRY_AFTER_JITTER * self._rng.random()
            longest_s = max(max_retry_after_s, RETRY_AFTER_MAX_S)
            retry_after_s = min(max(retry_after_s, RETRY_AFTER_MIN_S), longest_s) * jitter
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        if request_id:
            headers[self._header_names.request_id.title()] = request_id
        pairs = [(key.encode(), value.encode()) for key, value in headers.items()]
        return BufferedResponse(error.status, pairs, error.body)
