"""Holds off requests that made instances crash."""

from __future__ import annotations

import math
from collections import Counter

from peridottrack.call import Call, Proceed, Response
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError
from peridottrack.metrics import Metrics
from peridottrack.poison import PoisonList


class QuarantineFilter:
    """Refuses a request while its like is held off.

    A request that crashed one instance runs alone until it is answered, so that its resends
    cannot reach more instances than the list allows.
    """

    def __init__(self, poison: PoisonList, metrics: Metrics) -> None:
        self._poison = poison
        self._metrics = metrics
        self._running: Counter[str] = Counter()

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Let the call pass, or refuse it as not run."""
        mark = call.fingerprint
        held_s = self._poison.quarantine_left_s(mark)
        if held_s > 0:
            self._refuse("It made several instances fail.", math.ceil(held_s))
        if self._poison.crash_count(mark) and self._running[mark]:
            self._refuse("It made an instance fail and is being tried once more.", 1)
        self._running[mark] += 1
        try:
            return await proceed(call)
        finally:
            self._running[mark] -= 1
            if not self._running[mark]:
                del self._running[mark]

    def _refuse(self, detail: str, wait_s: int) -> None:
        self._metrics.held_off.inc()
        raise RequestError(ErrorKind.HELD_OFF, detail, retry_after_s=wait_s)
