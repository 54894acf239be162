"""Rejects calls that would miss their deadline, before they are claimed or sent."""

from __future__ import annotations

from peridottrack.call import Call, Proceed, Response
from peridottrack.controllers.drain import DrainController
from peridottrack.controllers.load import LoadController
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError


class AdmissionFilter:
    """Rejects calls while the node drains, and calls that would wait past their deadline."""

    def __init__(self, drain: DrainController, load: LoadController) -> None:
        self._drain = drain
        self._load = load

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Pass the call on, or reject it as not run."""
        if self._drain.rejects_calls or self._drain.may_cut_off(call):
            raise RequestError(ErrorKind.DRAINING)
        self._load.check_queue_wait(call)
        return await proceed(call)
