"""Runs forwarded requests at the local instance, subject to the gate's admission control."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from peridottrack import log
from peridottrack.controllers.probe import Health, ProbeFailure, Prober
from peridottrack.errors import ErrorKind, Ran
from peridottrack.exceptions import BrokeOff, InvalidStatus, NotConnected, ResponseTooLarge
from peridottrack.frames import ForwardedRequest, Frame, HedgeHint, InstanceResponse, Refusal
from peridottrack.gate import AdmissionRequest, Gate, GateState, Verdict
from peridottrack.headerblock import Header, end_to_end_headers, header_value, pack
from peridottrack.headernames import HeaderNames
from peridottrack.instanceheaders import InstanceHeaderReader, InstanceHeaders
from peridottrack.poison import fingerprint, incarnation
from peridottrack.ratelimit import finite
from peridottrack.runtimes import LongestTime
from peridottrack.slowdown import SLOWDOWN_THRESHOLD
from peridottrack.types import Clock, Endpoint, Incarnation, InstanceId
from peridottrack.upstream import ConnectionPool, UpstreamResponse

DEADLINE_SLACK_S = 0.05
"""Time after a deadline for which the instance's own final response is still awaited."""
MIN_BUDGET_S = 0.005
"""Remaining time below which a request is not started: a new connection takes about as long."""
MAX_REFUSED_CONNECTIONS = 2
"""Consecutive refused connections after which the gate is closed until the next status report."""
MIN_START_DELAY_S = 0.001
"""Shortest timer: with less, rounding may let it fire before the rate limit admits a request."""
LIMIT_RECHECK_S = 2.0
"""Time without a response after which an instance with a rate limit is probed."""
CRASH_CHECK_S = 0.05
"""Delay after a broken connection before the check whether the instance crashed and is down."""
OWN_NODE = "local"
"""Name under which the requests of this node's callers are counted."""
MISDIRECTED = 421
MIN_ERROR_STATUS = 500
"""Lowest status of an error; its run time is not recorded, as it may differ from a normal run."""
RETRIED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses after which callers retry any request, idempotent or not."""

KIND_BY_VERDICT = {
    Verdict.CLOSED: ErrorKind.NO_INSTANCE,
    Verdict.WRONG_INSTANCE: ErrorKind.NO_INSTANCE,
    Verdict.FULL: ErrorKind.OVERLOADED,
    Verdict.DISPLACED: ErrorKind.OVERLOADED,
    Verdict.TOO_LATE: ErrorKind.TOO_LATE,
    Verdict.SLOW: ErrorKind.INSTANCE_SLOW,
    Verdict.BUSY: ErrorKind.INSTANCE_BUSY,
    Verdict.LIMITED: ErrorKind.INSTANCE_LIMITED,
}

Reply = Callable[[Frame], None]


@dataclass(slots=True)
class _PendingRequest:
    """A forwarded request in progress."""

    frame: ForwardedRequest
    reply: Reply
    deadline: float
    target_at: float
    decision: asyncio.Future[Verdict]
    caller: str = ""
    admission: AdmissionRequest = field(init=False)
    sent: bool = False
    is_unanswered: bool = False

    def __post_init__(self) -> None:
        frame = self.frame
        self.admission = AdmissionRequest(
            frame.route,
            frame.priority,
            self.target_at,
            self.deadline,
            partial(_set_decision, self.decision),
            frame.decline_if_slow,
            frame.decline_if_full,
            frame.account,
            self.caller,
            frame.returned,
        )


class GateController:
    """The gate with its connections to the instance.

    Parameters
    ----------
    endpoint
        Address on which the instance listens.

    Attributes
    ----------
    prober
        Probes the instance; None to rely on the load reports in its responses alone.
    on_crash
        Called with the fingerprint of a request that ran when the instance crashed, and with the
        incarnation that crashed.
    on_leaving
        Called with the id of the local instance when it says that it leaves.
    has_room
        Returns whether the node has memory for another answer.
    answer_by
        Latest deadline, by the node's clock, of requests that arrive while this node shuts down;
        infinite before.
    """

    def __init__(self, endpoint: Endpoint, header_names: HeaderNames, clock: Clock) -> None:
        self.gate = Gate(clock)
        self.gate.on_rate_wait = self._start_queued_later
        self.gate.on_ejected = self._probe_ejected_later
        self.gate.on_cold_check = self._ask_if_cold
        self._start_timer: asyncio.TimerHandle | None = None
        self._ejected_probe: asyncio.Task[None] | None = None
        self._cold_probe: asyncio.Task[Health | ProbeFailure] | None = None
        self._stated_at = float("-inf")
        self._clock = clock
        self._header_names = header_names
        self.pool = ConnectionPool(endpoint, clock)
        self.prober: Prober | None = None
        self.answer_by = float("inf")
        self.has_room: Callable[[], bool] = lambda: True
        self._refused_connections = 0
        self._longest_run_by_route: defaultdict[str, LongestTime] = defaultdict(LongestTime)
        self._crash_checks: set[asyncio.Task[None]] = set()
        self.on_crash: Callable[[str, Incarnation], object] = (
            lambda request_fingerprint, crashed: None
        )
        self.on_leaving: Callable[[InstanceId], None] = lambda instance: None
        self._id_name = header_names.request_id.encode()
        self._dropped_headers = frozenset((b"content-length", header_names.load.encode()))
        self._header_reader = InstanceHeaderReader(header_names)

    def start(
        self,
        frame: ForwardedRequest,
        reply: Reply,
        on_hedge_hint: Reply,
        transit_s: float = 0.0,
        caller: str = "",
    ) -> asyncio.Task[None]:
        """Start serving a request; ``reply`` gets exactly one frame unless the task is cancelled.

        Parameters
        ----------
        on_hedge_hint
            Gets a `HedgeHint` frame if the run started in a slow period.
        transit_s
            Seconds that the frame was in transit longer than the fastest recent frame.
        caller
            The node that sends it, empty for this one.
        """
        sent_at = self._clock.now() - transit_s
        deadline = min(sent_at + frame.budget_s, self.answer_by)
        decision: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        target_at = sent_at + frame.target_s
        pending = _PendingRequest(frame, reply, deadline, target_at, decision, caller or OWN_NODE)
        if frame.idempotent:
            pending.admission.on_slow_start = lambda: on_hedge_hint(HedgeHint(frame.number))
        return asyncio.create_task(self._serve(pending))

    def _start_queued_later(self, delay_s: float) -> None:
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._start_timer = asyncio.get_running_loop().call_later(
            max(delay_s, MIN_START_DELAY_S), self.gate.start_queued
        )

    def _probe_ejected_later(self, delay_s: float) -> None:
        self._ejected_probe = asyncio.create_task(self._probe_ejected(delay_s))

    async def _probe_ejected(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        health = await self.prober.probe() if self.prober is not None else None
        self.gate.end_ejection(health is not None)

    def _ask_if_cold(self) -> None:
        if self.prober is not None and (self._cold_probe is None or self._cold_probe.done()):
            self._cold_probe = asyncio.create_task(self.prober.probe_briefly())

    async def run(self) -> None:
        """Check the queue, and ask whether a rate limit still holds, until cancelled.

        The instance's responses say so, but a low limit may let no request pass for a long time.
        """
        while True:
            await asyncio.sleep(LIMIT_RECHECK_S / 4)
            self.gate.update_cold()
            self.gate.refuse_stalled()
            silent_s = self._clock.now() - self._stated_at
            limited = self.gate.is_open and self.gate.local_instance.rate_limit.limited
            if self.prober is not None and limited and silent_s >= LIMIT_RECHECK_S:
                self._stated_at = self._clock.now()
                await self.prober.probe()

    def _may_outlast_shutdown(self, pending: _PendingRequest) -> bool:
        """Return whether the end of the shutdown would cut off a run as long as recent ones."""
        if pending.deadline < self.answer_by:
            return False
        now = self._clock.now()
        mean_s = self.gate.run_s(pending.frame.route) * self.gate.slowdown()
        longest_s = self._longest_run_by_route[pending.frame.route].get(now)
        return now + max(mean_s, longest_s) > self.answer_by

    async def _serve(self, pending: _PendingRequest) -> None:
        if self._may_outlast_shutdown(pending):
            self._refuse(pending, ErrorKind.TOO_LATE, Ran.NO, "the node is leaving")
            return
        host_unresponsive = pending.admission.decline_if_slow and await self._is_unresponsive(
            pending.admission
        )
        self.gate.submit(pending.admission, pending.frame.instance, host_unresponsive)
        try:
            async with asyncio.timeout_at(self.gate.latest_start(pending.admission)):
                verdict = await pending.decision
        except TimeoutError:
            verdict = self._end_wait(pending)
        except asyncio.CancelledError:
            if self._end_wait(pending) is Verdict.RUN:
                self.gate.release(pending.admission, False)
            raise
        if verdict is Verdict.RUN and not self.has_room():
            self.gate.release(pending.admission, False)
            self._refuse(pending, ErrorKind.NODE_FULL, Ran.NO, "answers wait to be sent")
        elif verdict is Verdict.RUN:
            await self._run(pending)
        else:
            self._refuse(pending, KIND_BY_VERDICT[verdict], Ran.NO, verdict.value)

    def _end_wait(self, pending: _PendingRequest) -> Verdict:
        """Remove a request from the queue; return its verdict if it has one already."""
        decision = pending.decision
        if decision.done() and not decision.cancelled():
            return decision.result()
        # It was cancelled with the wait, so it cannot tell whether the request was started since.
        self.gate.cancel(pending.admission)
        return Verdict.RUN if self.gate.is_running(pending.admission) else Verdict.TOO_LATE

    async def _is_unresponsive(self, admission: AdmissionRequest) -> bool:
        """Probe the instance if a slow run would miss the target; return whether it timed out.

        The gate records the load report of the response. Instances with few requests need probes:
        their responses are too rare to report slow periods of a few hundred milliseconds.
        """
        gate, now = self.gate, self._clock.now()
        slow_run_s = gate.run_s(admission.route) * max(
            gate.slowdown_estimator.last_slow, SLOWDOWN_THRESHOLD
        )
        # A probe would take a part of the instance's rate limit.
        if (
            self.prober is None
            or gate.local_instance.rate_limit.limited
            or not gate.slowdown_estimator.is_outdated(now)
            or now + slow_run_s < admission.target_at
        ):
            return False
        return await self.prober.probe_briefly() is ProbeFailure.TIMEOUT

    async def _run(self, pending: _PendingRequest) -> None:
        ran = False
        try:
            async with asyncio.timeout_at(pending.deadline + DEADLINE_SLACK_S):
                response = await self._exchange(pending)
            ran = self._handle_response(pending, response)
        except NotConnected as error:
            self._count_refused_connection()
            self._refuse(pending, ErrorKind.UPSTREAM_UNREACHABLE, Ran.NO, str(error))
        except BrokeOff as error:
            self._schedule_crash_check(pending.frame)
            if pending.is_unanswered:
                self.gate.record_broken(pending.admission)
            self._refuse(pending, ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, str(error))
        except (InvalidStatus, ResponseTooLarge) as error:
            self._refuse(pending, ErrorKind.UPSTREAM_ANSWER_INVALID, Ran.UNKNOWN, str(error))
        except TimeoutError:
            ran_state = Ran.UNKNOWN if pending.sent else Ran.NO
            kind = ErrorKind.DEADLINE_PASSED if pending.sent else ErrorKind.TOO_LATE
            self._refuse(pending, kind, ran_state, "deadline passed")
        finally:
            self.gate.release(pending.admission, ran)

    async def _exchange(self, pending: _PendingRequest) -> UpstreamResponse:
        frame = pending.frame
        connection = await self.pool.acquire(at_most_once=not frame.idempotent)
        if not self.gate.is_open and self.gate.local_instance.state is not GateState.OPEN:
            self.pool.release(connection)
            raise NotConnected("instance is leaving")
        if self.gate.evacuated:
            self.pool.release(connection)
            raise NotConnected("the failure domain is evacuated")
        left_s = pending.deadline - self._clock.now()
        if left_s < MIN_BUDGET_S:
            self.pool.release(connection)
            raise TimeoutError
        headers = frame.head
        request_id = _find_value(headers, self._id_name)
        pending.sent = True
        try:
            response = await connection.exchange(
                self._request_head(frame, left_s),
                request_id,
                self._id_name,
                frame.method == "HEAD",
                frame.body,
            )
        except BrokeOff:
            pending.is_unanswered = connection.is_unanswered
            raise
        finally:
            self.pool.release(connection)
        self._refused_connections = 0
        self.gate.record_answered()
        return response

    def _request_head(self, frame: ForwardedRequest, left_s: float) -> bytes:
        names = self._header_names
        own: list[Header] = [
            (names.deadline_ms.title().encode(), b"%d" % max(1, int(left_s * 1000))),
            (names.target.title().encode(), frame.instance.encode()),
        ]
        if frame.body or frame.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            own.append((b"Content-Length", b"%d" % len(frame.body)))
        line = b"%b %b HTTP/1.1\r\n" % (frame.method.encode(), frame.path)
        return b"".join((line, frame.head, pack(own), b"\r\n"))

    def _handle_response(self, pending: _PendingRequest, response: UpstreamResponse) -> bool:
        """Reply with the response or a refusal; return whether its run time is a valid sample."""
        now = self._clock.now()
        run_s = now - pending.admission.started_at
        self._longest_run_by_route[pending.frame.route].add(run_s, now)
        stated = self._header_reader.read(response.headers)
        echoed = header_value(response.headers, self._id_name) is not None
        # Other responses may be of another instance, which listens at the address of the first.
        known = echoed and response.status != MISDIRECTED
        self.record_statements(stated, pending.frame.instance if known else None)
        if echoed or response.new_connection:
            # Without an echoed request id, only the first response on a connection certainly
            # belongs to this request.
            if response.status == MISDIRECTED:
                self.gate.close()
                self._refuse(
                    pending,
                    ErrorKind.NO_INSTANCE,
                    Ran.NO,
                    "another instance listens at this address",
                )
                return False
            if header_value(response.headers, self._header_names.not_run.encode()) is not None:
                self._refuse(pending, ErrorKind.UPSTREAM_SHED, Ran.NO, f"status {response.status}")
                return False
        signed = header_value(response.headers, self._header_names.signature.encode()) is not None
        if not echoed or (200 <= response.status < 300 and not signed):
            detail = "response lacks the request id or the signature header"
            self._refuse(pending, ErrorKind.UPSTREAM_ANSWER_INVALID, Ran.UNKNOWN, detail)
            return False
        if response.status in RETRIED_STATUSES and not pending.frame.idempotent:
            # A caller would conclude that the request did not run and may be retried, which the
            # instance did not state.
            detail = f"status {response.status} without the not-run header"
            self._refuse(pending, ErrorKind.UPSTREAM_ANSWER_INVALID, Ran.UNKNOWN, detail)
            return False
        head = pack(end_to_end_headers(response.headers, self._dropped_headers))
        frame = InstanceResponse(
            pending.frame.number,
            response.status,
            head,
            response.body,
            self.gate.load(),
            self.gate.normalized_run_s(pending.admission),
        )
        pending.reply(frame)
        return response.status < MIN_ERROR_STATUS

    def record_statements(self, stated: InstanceHeaders, instance: InstanceId | None) -> None:
        """Record what a response says of its instance, None if that is not certain."""
        if stated.load is not None:
            self.gate.record_load(stated.load)
        if instance is None or instance != self.gate.local_instance.instance:
            return
        if stated.leaving and self.gate.local_instance.state is GateState.OPEN:
            self.on_leaving(instance)
        self._stated_at = self._clock.now()
        if stated.rate_limit is not None:
            self.gate.record_rate_limit(stated.rate_limit)
        if stated.warm_in_s is not None:
            self.gate.record_warmup(stated.warm_in_s)

    def _refuse(self, pending: _PendingRequest, kind: ErrorKind, ran: Ran, why: str) -> None:
        # The time that this request would take here is the hint when to retry it.
        retry_after_s = (
            self.gate.forecast_s(pending.admission) if kind is not ErrorKind.NO_INSTANCE else 0.0
        )
        if log.should_log("send refused"):
            self._log_refusal(pending, kind, ran, why)
        pending.reply(Refusal(pending.frame.number, kind, ran, retry_after_s, self.gate.load()))

    def _schedule_crash_check(self, frame: ForwardedRequest) -> None:
        start_time = self.gate.local_instance.start_time
        task = asyncio.create_task(self._check_crash(frame, start_time))
        self._crash_checks.add(task)
        task.add_done_callback(self._crash_checks.discard)

    async def _check_crash(self, frame: ForwardedRequest, start_time: int) -> None:
        """Report the request as the cause of a crash if the instance accepts no connection.

        A crash breaks all connections of the instance; if any request still runs, it is alive.
        """
        await asyncio.sleep(CRASH_CHECK_S)
        if self.gate.running:
            return
        try:
            self.pool.release(await self.pool.connect())
        except NotConnected:
            log.event("instance crashed", instance=frame.instance)
            self.gate.close()
            request_fingerprint = fingerprint(
                frame.method, frame.path.decode("latin-1"), frame.body
            )
            self.on_crash(request_fingerprint, incarnation(frame.instance, start_time))

    def _log_refusal(self, pending: _PendingRequest, kind: ErrorKind, ran: Ran, why: str) -> None:
        load = self.gate.load()
        log.logger.info(
            "send refused",
            request=_find_value(pending.frame.head, self._id_name).decode("latin-1"),
            instance=pending.frame.instance,
            kind=kind.value,
            ran=ran.value,
            why=why,
            left_s=round(pending.deadline - self._clock.now(), 4),
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            slowdown=load.slowdown,
            slowdown_age_s=round(load.slowdown_age_s, 4),
            rate_limit=finite(load.rate_limit),
            admissible=round(load.admissible, 2),
        )

    def _count_refused_connection(self) -> None:
        self._refused_connections += 1
        if self._refused_connections >= MAX_REFUSED_CONNECTIONS and self.gate.is_open:
            log.event("instance unreachable", instance=self.gate.local_instance.instance)
            self.gate.close()

    def close(self) -> None:
        """Close the idle connections."""
        if self._start_timer is not None:
            self._start_timer.cancel()
        if self._ejected_probe is not None:
            self._ejected_probe.cancel()
        if self._cold_probe is not None:
            self._cold_probe.cancel()
        self.pool.close()


def _set_decision(decision: asyncio.Future[Verdict], verdict: Verdict) -> None:
    if not decision.done():
        decision.set_result(verdict)


def _find_value(block: bytes, name: bytes) -> bytes:
    for line in block.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name:
            return value
    return b""
