"""Chooses an instance for an attempt; waits for free capacity if necessary."""

from __future__ import annotations

from peridottrack.balancer import AttemptResult
from peridottrack.call import Call, Proceed, Response
from peridottrack.controllers.load import LoadController
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError
from peridottrack.instanceview import Attempt

RESULT_BY_KIND = {
    ErrorKind.UPSTREAM_SHED: AttemptResult.SHED,
    ErrorKind.UPSTREAM_UNREACHABLE: AttemptResult.UNREACHABLE,
    ErrorKind.UPSTREAM_FAILED: AttemptResult.ERROR,
    ErrorKind.UPSTREAM_ANSWER_INVALID: AttemptResult.ERROR,
}
SERVER_ERROR_STATUS = 500


class ChoiceFilter:
    """Holds a slot of an instance from the choice to the last byte of the response."""

    def __init__(self, load: LoadController) -> None:
        self._load = load

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Choose an instance, send the request and report the result to the balancer."""
        call.chosen = attempt = await self._load.acquire(call)
        if call.on_slow is not None:
            attempt.on_slow = call.on_slow
        try:
            response = await proceed(call)
        except RequestError as error:
            self._load.release(attempt, RESULT_BY_KIND.get(error.kind, AttemptResult.CANCELLED))
            raise
        except BaseException:
            self._load.release(attempt, AttemptResult.CANCELLED)
            raise
        result = AttemptResult.OK if response.status < SERVER_ERROR_STATUS else AttemptResult.ERROR
        if response.stream is None:
            self._load.release(attempt, result)
        else:
            self._release_at_end(response, attempt, result)
        return response

    def _release_at_end(self, response: Response, attempt: Attempt, result: AttemptResult) -> None:
        close_upstream = response.close

        def close(complete: bool) -> None:
            if close_upstream is not None:
                close_upstream(complete)
            self._load.release(attempt, result if complete else AttemptResult.ERROR)

        response.close = close
