"""Refuses early what this node cannot do in time, before anything is claimed or sent."""

from __future__ import annotations

from peridottrack.call import Call, Proceed, Response
from peridottrack.controllers.drain import DrainController
from peridottrack.controllers.load import LoadController
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError


class AdmissionFilter:
    """Counts the calls in flight and refuses those that would end too late."""

    def __init__(self, drain: DrainController, load: LoadController) -> None:
        self._drain = drain
        self._load = load

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Let the call pass, or refuse it as not run."""
        if self._drain.rejects_calls:
            raise RequestError(ErrorKind.DRAINING)
        self._load.check_queue_wait(call)
        return await proceed(call)
