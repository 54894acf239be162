"""Answers of the node's own to callers."""

from __future__ import annotations

from peridottrack.errors import ErrorKind, problem
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import BufferedResponse
from peridottrack.types import Random

WAIT_MIN_S = 0.05
WAIT_MAX_S = 2.0
"""Bounds of the Retry-After that is told."""
WAIT_SPREAD = 0.5
"""Random share added to it, so that the refused do not come back at once."""
_KIND_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    408: ErrorKind.TOO_SLOW,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
}


class ErrorReplies:
    """Makes answers of error kinds."""

    def __init__(self, dialect: HeaderNames, rng: Random) -> None:
        self._dialect = dialect
        self._rng = rng

    def refuse(self, status: int, reason: str) -> BufferedResponse:
        """Return the answer to input that is no valid request."""
        kind = _KIND_BY_STATUS.get(status, ErrorKind.BAD_REQUEST)
        return self.problem(kind, "", reason)

    def problem(
        self, kind: ErrorKind, request_id: str, detail: str = "", wait_s: float = 0.0
    ) -> BufferedResponse:
        """Return the answer to a request that got none of an instance.

        Parameters
        ----------
        wait_s
            Seconds after which another try has better prospects, 0 if not known.
        """
        made = problem(kind, detail, request_id)
        headers = {**made.headers}
        if "Retry-After" in headers:
            spread = 1.0 + WAIT_SPREAD * self._rng.random()
            wait_s = min(max(wait_s, WAIT_MIN_S), WAIT_MAX_S) * spread
            headers["Retry-After"] = f"{wait_s:.2f}"
        if request_id:
            headers[self._dialect.request_id.title()] = request_id
        pairs = [(key.encode(), value.encode()) for key, value in headers.items()]
        return BufferedResponse(made.status, pairs, made.body)
