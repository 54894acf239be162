"""Asks the instance beside this node how it is, where waiting for its own word costs too much."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from peridottrack import log
from peridottrack.controllers.localinstance import (
    UNKNOWN_BIRTH,
    InstanceReport,
    LocalInstanceController,
    ReportResult,
)
from peridottrack.exceptions import BrokeOff, NotConnected
from peridottrack.headerblock import header_value
from peridottrack.headernames import HeaderNames, LoadFigures, read_load
from peridottrack.slowdown import SLOWDOWN_THRESHOLD
from peridottrack.types import Clock, InstanceId, InstanceState, ServiceName
from peridottrack.upstream import ConnectionPool

PROBE_TIMEOUT_S = 0.5
"""How long an answer is waited for: an instance that is slow to say how it is, is not well."""
SOON_S = 0.03
"""How long a request is held for an answer at most: short beside a run."""
SILENT_FACTOR = 2.5
"""Factor over the usual time of an answer from which no answer tells that the host is slow."""
LEAST_PATIENCE_S = 0.005
"""Shorter waits would take a pause of this process for a slow host."""
USUAL_WEIGHT = 0.1
"""Weight of one answer in the moving usual time."""
HEALTHY = 200


class Unheard(Enum):
    """Why there is no answer."""

    NOT_ASKED = "beyond the budget"
    SILENT = "no answer in time"
    FAILED = "no connection or a broken answer"


@dataclass(frozen=True, slots=True)
class Health:
    """What an instance answers when it is asked.

    Parameters
    ----------
    instance
        Empty if it does not say.
    """

    healthy: bool
    instance: InstanceId
    figures: LoadFigures | None


class Prober:
    """Asks one instance, within the budget for measuring.

    Parameters
    ----------
    path
        Returns the path to ask at, None while it is not known.
    per_s
        Questions a second at most, on average.

    Attributes
    ----------
    on_load
        Called with the load figures of each answer, also of one that comes late.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        path: Callable[[], str | None],
        dialect: HeaderNames,
        per_s: float,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._per_s = per_s
        self._clock = clock
        self._saved = per_s
        self._earned_at = clock.now()
        self._asking: asyncio.Task[Health | None] | None = None
        self._path = path
        self._usual_s = SOON_S
        self.on_load: Callable[[LoadFigures], None] = lambda figures: None
        self._id_name = dialect.request_id.encode()
        self._instance_name = dialect.instance_id.encode()
        self._load_name = dialect.load.encode()

    def set_limit(self, per_s: float) -> None:
        """Take over another limit."""
        self._per_s = per_s

    async def ask_soon(self) -> Health | Unheard:
        """Ask, or wait for the answer to a question that is on its way.

        Answers the pattern of hosts that are slow to say that they are slow: an answer takes as
        many times longer than usual as any other work there.
        """
        if self._asking is None or self._asking.done():
            if not self._take():
                return Unheard.NOT_ASKED
            self._asking = asyncio.create_task(self.ask())
        patience_s = min(SOON_S, max(LEAST_PATIENCE_S, SILENT_FACTOR * self._usual_s))
        # Others wait for the same answer, so one that gives up must not end the question.
        done, _ = await asyncio.wait((self._asking,), timeout=patience_s)
        if not done:
            return Unheard.SILENT
        return next(iter(done)).result() or Unheard.FAILED

    def _take(self) -> bool:
        now = self._clock.now()
        earned = (now - self._earned_at) * self._per_s
        self._saved, self._earned_at = min(self._per_s, self._saved + earned), now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    async def ask(self) -> Health | None:
        """Ask once; None if no answer came."""
        path = self._path()
        if path is None:
            return None
        request = f"GET {path} HTTP/1.1\r\nHost: health\r\n\r\n".encode()
        asked_at = self._clock.now()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await self._pool.acquire(at_most_once=False)
                try:
                    answer = await connection.exchange(request, b"", self._id_name, False)
                finally:
                    self._pool.release(connection)
        except (NotConnected, BrokeOff, TimeoutError) as error:
            log.event("probe failed", error=repr(error))
            return None
        said = header_value(answer.headers, self._load_name)
        figures = read_load(said.decode("latin-1")) if said is not None else None
        if figures is not None:
            if figures.slowdown < SLOWDOWN_THRESHOLD:
                self._usual_s += USUAL_WEIGHT * (self._clock.now() - asked_at - self._usual_s)
            self.on_load(figures)
        name = header_value(answer.headers, self._instance_name) or b""
        return Health(answer.status == HEALTHY, InstanceId(name.decode("latin-1")), figures)


async def open_from_health(
    prober: Prober, beside: LocalInstanceController, service: ServiceName
) -> None:
    """Open the gate to an instance that was there before this node, unless it has spoken.

    Answers the pattern of nodes that restart beside instances which run on: an instance announces
    itself too seldom to be waited for.
    """
    health = await prober.ask()
    if health is None or beside.has_report:
        return
    if not health.healthy or not health.instance or health.figures is None:
        log.event("instance not taken from its health", health=str(health))
        return
    report = InstanceReport(
        health.instance,
        service,
        health.figures.slots,
        InstanceState.READY,
        0,
        UNKNOWN_BIRTH,
        0.0,
    )
    if beside.apply(report) is ReportResult.APPLIED:
        log.event("instance met by its health", instance=health.instance)
