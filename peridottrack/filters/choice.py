"""Chooses an instance for an attempt, waiting for room if need be."""

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
    """Holds an instance's place from the choice to the answer's last byte."""

    def __init__(self, load: LoadController) -> None:
        self._load = load

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Choose, send, and tell the balancer how it ended."""
        call.chosen = attempt = await self._load.acquire(call)
        if call.on_slow is not None:
            attempt.on_slow = call.on_slow
        try:
            answer = await proceed(call)
        except RequestError as error:
            self._load.release(attempt, RESULT_BY_KIND.get(error.kind, AttemptResult.CANCELLED))
            raise
        except BaseException:
            self._load.release(attempt, AttemptResult.CANCELLED)
            raise
        result = AttemptResult.OK if answer.status < SERVER_ERROR_STATUS else AttemptResult.ERROR
        if answer.stream is None:
            self._load.release(attempt, result)
        else:
            self._release_at_end(answer, attempt, result)
        return answer

    def _release_at_end(self, answer: Response, attempt: Attempt, result: AttemptResult) -> None:
        close_upstream = answer.close

        def close(whole: bool) -> None:
            if close_upstream is not None:
                close_upstream(whole)
            self._load.release(attempt, result if whole else AttemptResult.ERROR)

        answer.close = close
