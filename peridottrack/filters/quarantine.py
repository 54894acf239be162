"""Rejects poison requests, which crashed instances."""

from __future__ import annotations

import math
from collections import Counter

from peridottrack.call import Call, Proceed, Response
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError
from peridottrack.metrics import Metrics
from peridottrack.poison import PoisonList


class QuarantineFilter:
    """Rejects a request while its fingerprint is quarantined.

    Once a request has crashed an instance, only one request with its fingerprint runs at a time
    until one is answered, so that resends cannot reach more instances than the list allows.
    """

    def __init__(self, poison: PoisonList, metrics: Metrics) -> None:
        self._poison = poison
        self._metrics = metrics
        self._running: Counter[str] = Counter()

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Pass the call on, or reject it as not run."""
        fingerprint = call.fingerprint
        quarantine_s = self._poison.quarantine_left_s(fingerprint)
        if quarantine_s > 0:
            self._reject("It made several instances fail.", math.ceil(quarantine_s))
        if self._poison.crash_count(fingerprint) and self._running[fingerprint]:
            self._reject("It made an instance fail and is being tried once more.", 1)
        self._running[fingerprint] += 1
        try:
            return await proceed(call)
        finally:
            self._running[fingerprint] -= 1
            if not self._running[fingerprint]:
                del self._running[fingerprint]

    def _reject(self, detail: str, retry_after_s: int) -> None:
        self._metrics.quarantined.inc()
        raise RequestError(ErrorKind.HELD_OFF, detail, retry_after_s=retry_after_s)
