"""Probes the local instance's health path when its own load reports are too old."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from peridottrack import log
from peridottrack.exceptions import BrokeOff, InvalidStatus, NotConnected, ResponseTooLarge
from peridottrack.headerblock import header_value
from peridottrack.headernames import HeaderNames
from peridottrack.instanceheaders import InstanceHeaderReader, InstanceHeaders
from peridottrack.slowdown import SLOWDOWN_THRESHOLD
from peridottrack.types import Clock, InstanceId
from peridottrack.upstream import ConnectionPool

PROBE_TIMEOUT_S = 0.5
"""Timeout of a probe: an instance that takes longer to respond is not healthy."""
MAX_PROBE_WAIT_S = 0.03
"""Maximum time that a request waits for a probe's response: short compared to a run."""
SLOW_HOST_FACTOR = 2.5
"""Multiple of the usual latency, within the minimum and maximum wait, after which an unanswered
probe indicates a slow host."""
MIN_PROBE_WAIT_S = 0.005
"""Minimum wait for a probe; with less, a pause of this process would look like a slow host."""
LATENCY_WEIGHT = 0.1
"""Weight of one response in the moving average of the probe latency."""
HEALTHY_STATUS = 200


class ProbeFailure(Enum):
    """Why a probe has no result."""

    OVER_BUDGET = "beyond the budget"
    TIMEOUT = "no answer in time"
    FAILED = "no connection or a broken answer"


@dataclass(frozen=True, slots=True)
class Health:
    """Response of an instance to a probe.

    Parameters
    ----------
    instance
        Id of the instance, empty if the response does not contain it.
    """

    healthy: bool
    instance: InstanceId
    stated: InstanceHeaders


class Prober:
    """Probes one instance, limited by a token bucket.

    Parameters
    ----------
    path
        Returns the health path, None while it is not known.
    per_s
        Maximum average number of probes per second, and the size of the token bucket.

    Attributes
    ----------
    on_response
        Called with what each response, even a late one, says of its instance, and with its id.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        path: Callable[[], str | None],
        header_names: HeaderNames,
        per_s: float,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._refilled_at = clock.now()
        self._pending: asyncio.Task[Health | None] | None = None
        self._path = path
        # Until the first response, probes are awaited for the maximum time.
        self._usual_latency_s = MAX_PROBE_WAIT_S
        self.on_response: Callable[[InstanceHeaders, InstanceId], None] = lambda stated, name: None
        self._header_reader = InstanceHeaderReader(header_names)
        self._id_name = header_names.request_id.encode()
        self._instance_name = header_names.instance_id.encode()

    def set_limit(self, per_s: float) -> None:
        """Set the maximum average number of probes per second."""
        self._per_s = per_s

    async def probe_briefly(self) -> Health | ProbeFailure:
        """Send a probe, or join the one in flight, and wait a short time for its response.

        On a slow host the response to a probe is slowed down by the same factor as any other work,
        so a missing response is itself a sign of a slow host.
        """
        if self._pending is None or self._pending.done():
            if not self._take_token():
                return ProbeFailure.OVER_BUDGET
            self._pending = asyncio.create_task(self.probe())
        wait_s = min(
            MAX_PROBE_WAIT_S, max(MIN_PROBE_WAIT_S, SLOW_HOST_FACTOR * self._usual_latency_s)
        )
        # Other callers wait for the same probe, so a timeout here must not cancel it.
        done, _ = await asyncio.wait((self._pending,), timeout=wait_s)
        if not done:
            return ProbeFailure.TIMEOUT
        return next(iter(done)).result() or ProbeFailure.FAILED

    def _take_token(self) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_at) * self._per_s
        self._tokens, self._refilled_at = min(self._per_s, self._tokens + refill), now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def probe(self, *, new_connection: bool = False) -> Health | None:
        """Send one probe; return None if it was not answered.

        Parameters
        ----------
        new_connection
            Whether to use a connection of its own. A health response names no request, so on a
            kept connection it may be a late one to an earlier probe.
        """
        path = self._path()
        if path is None:
            return None
        request = f"GET {path} HTTP/1.1\r\nHost: health\r\n\r\n".encode()
        sent_at = self._clock.now()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                if new_connection:
                    connection = await self._pool.connect()
                else:
                    connection = await self._pool.acquire(at_most_once=False)
                try:
                    response = await connection.exchange(request, b"", self._id_name, False)
                finally:
                    if new_connection:
                        connection.close()
                    else:
                        self._pool.release(connection)
        except (NotConnected, BrokeOff, InvalidStatus, ResponseTooLarge, TimeoutError) as error:
            log.event("probe failed", error=repr(error))
            return None
        stated = self._header_reader.read(response.headers)
        figures = stated.load
        if figures is not None and figures.slowdown < SLOWDOWN_THRESHOLD:
            self._usual_latency_s += LATENCY_WEIGHT * (
                self._clock.now() - sent_at - self._usual_latency_s
            )
        name = header_value(response.headers, self._instance_name) or b""
        instance = InstanceId(name.decode("latin-1"))
        self.on_response(stated, instance)
        return Health(response.status == HEALTHY_STATUS, instance, stated)
