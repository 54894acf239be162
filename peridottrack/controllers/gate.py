"""Runs forwarded requests at the instance beside this node, as the gate decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from peridottrack import log
from peridottrack.controllers.probe import Prober, Unheard
from peridottrack.errors import ErrorKind, Ran
from peridottrack.exceptions import BrokeOff, NotConnected
from peridottrack.frames import ForwardedRequest, Frame, HedgeHint, InstanceResponse, Refusal
from peridottrack.gate import AdmissionRequest, Gate, GateState, Verdict
from peridottrack.headerblock import Header, end_to_end_headers, header_value, pack
from peridottrack.headernames import HeaderNames, read_load
from peridottrack.poison import fingerprint
from peridottrack.slowdown import SLOWDOWN_THRESHOLD
from peridottrack.types import Clock, Endpoint, InstanceId
from peridottrack.upstream import ConnectionPool, UpstreamResponse

DEADLINE_SLACK_S = 0.05
"""How long after a deadline the instance's own last word is still waited for."""
LEAST_BUDGET_S = 0.005
"""A request with less time left than a new connection takes is not started."""
REFUSED_TO_ABSENT = 2
"""Refused connections in a row after which the instance counts as gone until its next word."""
CRASH_CHECK_S = 0.05
"""Time after a broken connection at which the instance is looked at: one that crashed is down."""
MISDIRECTED = 421
FAILING_STATUS = 500
"""Statuses from here on come sooner or later than a run takes."""
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses after which callers send a request again whatever it is."""

KIND_BY_VERDICT = {
    Verdict.CLOSED: ErrorKind.NO_INSTANCE,
    Verdict.WRONG_INSTANCE: ErrorKind.NO_INSTANCE,
    Verdict.FULL: ErrorKind.OVERLOADED,
    Verdict.TOO_LATE: ErrorKind.TOO_LATE,
    Verdict.SLOW: ErrorKind.INSTANCE_SLOW,
    Verdict.BUSY: ErrorKind.INSTANCE_BUSY,
}

Reply = Callable[[Frame], None]


@dataclass(slots=True)
class _Work:
    """A forwarded request on its way."""

    frame: ForwardedRequest
    reply: Reply
    deadline: float
    turn: asyncio.Future[Verdict]
    ticket: AdmissionRequest = field(init=False)
    sent: bool = False

    def __post_init__(self) -> None:
        frame = self.frame
        self.ticket = AdmissionRequest(
            frame.route,
            frame.priority,
            self.deadline - frame.budget_s + frame.target_s,
            self.deadline,
            self._decide,
            frame.decline_if_slow,
            frame.decline_if_full,
        )

    def _decide(self, verdict: Verdict) -> None:
        if not self.turn.done():
            self.turn.set_result(verdict)


class GateController:
    """The gate with its connections.

    Parameters
    ----------
    endpoint
        Where the instance listens.

    Attributes
    ----------
    prober
        Asks the instance; None to rely on its answers alone.
    on_crash
        Called with the fingerprint of a request that ran when the instance crashed.
    """

    def __init__(self, endpoint: Endpoint, dialect: HeaderNames, clock: Clock) -> None:
        self.gate = Gate(clock)
        self._clock = clock
        self._dialect = dialect
        self.pool = ConnectionPool(endpoint, clock)
        self.prober: Prober | None = None
        self._refused = 0
        self._checks: set[asyncio.Task[None]] = set()
        self.on_crash: Callable[[str, InstanceId], object] = lambda mark, instance: None
        self._id_name = dialect.request_id.encode()
        self._answer_dropped = frozenset((b"content-length", dialect.load.encode()))

    def start(
        self, frame: ForwardedRequest, reply: Reply, hurry: Reply, transit_s: float = 0.0
    ) -> asyncio.Task[None]:
        """Take in a request; ``reply`` gets exactly one frame unless the task is cancelled.

        Parameters
        ----------
        hurry
            Gets a `HedgeHint` if the run began in a slow spell.
        transit_s
            Seconds that the frame spent on the way.
        """
        deadline = self._clock.now() + frame.budget_s - transit_s
        turn: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        work = _Work(frame, reply, deadline, turn)
        if frame.idempotent:
            work.ticket.on_slow_start = lambda: hurry(HedgeHint(frame.number))
        return asyncio.create_task(self._serve(work))

    async def _serve(self, work: _Work) -> None:
        host_silent = work.ticket.decline_if_slow and await self._is_silent(work.ticket)
        self.gate.submit(work.ticket, work.frame.instance, host_silent)
        try:
            async with asyncio.timeout_at(work.deadline):
                verdict = await work.turn
        except TimeoutError:
            verdict = Verdict.TOO_LATE if self.gate.cancel(work.ticket) else _decided(work)
        except asyncio.CancelledError:
            if not self.gate.cancel(work.ticket) and _decided(work) is Verdict.RUN:
                self.gate.release(work.ticket, False)
            raise
        if verdict is Verdict.RUN:
            await self._run(work)
        else:
            self._refuse(work, KIND_BY_VERDICT[verdict], Ran.NO, verdict.value)

    async def _is_silent(self, ticket: AdmissionRequest) -> bool:
        """Ask the instance how its host is, if a slow run would miss the target.

        What it says is heard by the gate; the result is whether it said nothing in time.

        Answers the pattern of instances with few requests: their answers are too rare to tell of
        spells of a few hundred milliseconds.
        """
        gate, now = self.gate, self._clock.now()
        slow_run_s = gate.run_s(ticket.route) * max(
            gate.slowdown_estimator.slow, SLOWDOWN_THRESHOLD
        )
        if (
            self.prober is None
            or not gate.slowdown_estimator.unsure(now)
            or now + slow_run_s < ticket.target_at
        ):
            return False
        return await self.prober.ask_soon() is Unheard.SILENT

    async def _run(self, work: _Work) -> None:
        ran = False
        try:
            async with asyncio.timeout_at(work.deadline + DEADLINE_SLACK_S):
                answer = await self._exchange(work)
            ran = self._pass_on(work, answer)
        except NotConnected as error:
            self._note_refused_connection()
            self._refuse(work, ErrorKind.UPSTREAM_UNREACHABLE, Ran.NO, str(error))
        except BrokeOff as error:
            self._look_for_crash(work.frame)
            self._refuse(work, ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, str(error))
        except TimeoutError:
            unknown = Ran.UNKNOWN if work.sent else Ran.NO
            kind = ErrorKind.DEADLINE_PASSED if work.sent else ErrorKind.TOO_LATE
            self._refuse(work, kind, unknown, "the deadline passed")
        finally:
            self.gate.release(work.ticket, ran)

    async def _exchange(self, work: _Work) -> UpstreamResponse:
        frame = work.frame
        connection = await self.pool.acquire(at_most_once=not frame.idempotent)
        if not self.gate.is_open and self.gate.local_instance.state is not GateState.OPEN:
            self.pool.release(connection)
            raise NotConnected("the instance began to leave")
        left_s = work.deadline - self._clock.now()
        if left_s < LEAST_BUDGET_S:
            self.pool.release(connection)
            raise TimeoutError
        headers = frame.head
        request_id = _find_value(headers, self._id_name)
        work.sent = True
        try:
            answer = await connection.exchange(
                self._request_bytes(frame, left_s),
                request_id,
                self._id_name,
                frame.method == "HEAD",
            )
        finally:
            self.pool.release(connection)
        self._refused = 0
        return answer

    def _request_bytes(self, frame: ForwardedRequest, left_s: float) -> bytes:
        dialect = self._dialect
        own: list[Header] = [
            (dialect.deadline_ms.title().encode(), b"%d" % max(1, int(left_s * 1000))),
            (dialect.target.title().encode(), frame.instance.encode()),
        ]
        if frame.body or frame.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            own.append((b"Content-Length", b"%d" % len(frame.body)))
        line = b"%b %b HTTP/1.1\r\n" % (frame.method.encode(), frame.path)
        return b"".join((line, frame.head, pack(own), b"\r\n", frame.body))

    def _pass_on(self, work: _Work, answer: UpstreamResponse) -> bool:
        """Reply with an answer or with why it is none; tell whether it shows how long runs take."""
        said = header_value(answer.headers, self._dialect.load.encode())
        figures = read_load(said.decode("latin-1")) if said is not None else None
        if figures is not None:
            self.gate.record_load(figures)
        echoed = header_value(answer.headers, self._id_name) is not None
        if echoed or answer.new_connection:
            # Without its id, only the first answer on a connection is surely the right one.
            if answer.status == MISDIRECTED:
                self.gate.close()
                self._refuse(work, ErrorKind.NO_INSTANCE, Ran.NO, "another instance is there")
                return False
            if header_value(answer.headers, self._dialect.not_run.encode()) is not None:
                self._refuse(work, ErrorKind.UPSTREAM_SHED, Ran.NO, f"status {answer.status}")
                return False
        signed = header_value(answer.headers, self._dialect.signature.encode()) is not None
        if not echoed or (200 <= answer.status < 300 and not signed):
            detail = "the answer bears no request id or signature"
            self._refuse(work, ErrorKind.UPSTREAM_ANSWER_INVALID, Ran.UNKNOWN, detail)
            return False
        if answer.status in PROMISING_STATUSES and not work.frame.idempotent:
            # A caller would take it for a promise that the instance did not give.
            detail = f"status {answer.status} without the word that it did not run"
            self._refuse(work, ErrorKind.UPSTREAM_ANSWER_INVALID, Ran.UNKNOWN, detail)
            return False
        head = pack(end_to_end_headers(answer.headers, self._answer_dropped))
        frame = InstanceResponse(
            work.frame.number,
            answer.status,
            head,
            answer.body,
            self.gate.load(),
            self.gate.run_time_s(work.ticket),
        )
        work.reply(frame)
        return answer.status < FAILING_STATUS

    def _refuse(self, work: _Work, kind: ErrorKind, ran: Ran, why: str) -> None:
        wait_s = self.gate.forecast_s(work.ticket) if kind is not ErrorKind.NO_INSTANCE else 0.0
        if log.should_log("send refused"):
            self._log_refusal(work, kind, ran, why)
        work.reply(Refusal(work.frame.number, kind, ran, wait_s, self.gate.load()))

    def _look_for_crash(self, frame: ForwardedRequest) -> None:
        task = asyncio.create_task(self._check_crash(frame))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check_crash(self, frame: ForwardedRequest) -> None:
        """Report a request after which the instance accepts no connection.

        An instance that crashes breaks off all that it runs; if anything still runs, it lives.
        """
        await asyncio.sleep(CRASH_CHECK_S)
        if self.gate.running:
            return
        try:
            self.pool.release(await self.pool.connect())
        except NotConnected:
            log.event("instance crashed", instance=frame.instance)
            self.gate.close()
            mark = fingerprint(frame.method, frame.path.decode("latin-1"), frame.body)
            self.on_crash(mark, frame.instance)

    def _log_refusal(self, work: _Work, kind: ErrorKind, ran: Ran, why: str) -> None:
        load = self.gate.load()
        log.logger.info(
            "send refused",
            request=_find_value(work.frame.head, self._id_name).decode("latin-1"),
            instance=work.frame.instance,
            kind=kind.value,
            ran=ran.value,
            why=why,
            left_s=round(work.deadline - self._clock.now(), 4),
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            slowdown=load.slowdown,
            slowdown_age_s=round(load.slowdown_age_s, 4),
        )

    def _note_refused_connection(self) -> None:
        self._refused += 1
        if self._refused >= REFUSED_TO_ABSENT and self.gate.is_open:
            log.event("instance unreachable", instance=self.gate.local_instance.instance)
            self.gate.close()

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


def _decided(work: _Work) -> Verdict:
    """Return the verdict of a request that no longer waits."""
    known = work.turn.done() and not work.turn.cancelled()
    return work.turn.result() if known else Verdict.TOO_LATE


def _find_value(block: bytes, name: bytes) -> bytes:
    for line in block.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name:
            return value
    return b""
