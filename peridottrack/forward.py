"""A caller's request on its way: route, gate, second sends and the one answer it gets."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from peridottrack import forwardlog, log
from peridottrack.callerdeadlines import CallerDeadlines
from peridottrack.errors import RULE_BY_KIND, ErrorKind, Ran
from peridottrack.exceptions import LinkLost
from peridottrack.forwardstate import ForwardState, fingerprint_of
from peridottrack.frames import ForwardedRequest, InstanceResponse, Refusal
from peridottrack.gateroute import GateRoute, Outcome
from peridottrack.headerblock import end_to_end_headers, header_value, pack, unpack
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import BufferedResponse, CallerRequest
from peridottrack.metrics import Metrics
from peridottrack.placement import Choice, Placement
from peridottrack.poison import PoisonList
from peridottrack.replies import WAIT_MAX_S, ErrorReplies
from peridottrack.resendbudget import ResendBudget
from peridottrack.routing import Route, RouteTable
from peridottrack.runtimes import RunTime
from peridottrack.slowdown import SLOWDOWN_THRESHOLD
from peridottrack.trafficsplit import TrafficSplitter, split_point
from peridottrack.types import Clock, InstanceId, Random, ServiceName

ANSWER_MARGIN_S = 0.1
"""How long after the deadline the gate's last word is waited for; it says whether it ran."""
MAX_DECLINES = 4
"""Gates that may pass a request back: each costs a way there and back."""
FIRST_RUN_SHARE = 0.4
"""Run time assumed of a route that never ran, as a share of its target."""
MAX_SENDS = 6
"""Gates that are asked for one request, those included that refuse it as not run."""
DECLINE_KINDS = frozenset({ErrorKind.INSTANCE_SLOW, ErrorKind.INSTANCE_BUSY})
"""Refusals that tell only that another gate was thought to be better."""
FAILING_STATUS = 500
"""Statuses from here on speak against an instance."""

ServiceRoutes = Callable[[ServiceName], Iterable[GateRoute]]


class Forwarder:
    """Answers callers' requests.

    Parameters
    ----------
    table
        Returns the routes in force, None before any are known.
    routes_of
        Returns the ways to the gates of a service.
    poison
        Requests that crash their instances.
    seconds_for
        Makes the budget of second sends of a service.
    caller_service
        The service whose host this is.
    """

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        routes_of: ServiceRoutes,
        placement: Placement,
        poison: PoisonList,
        seconds_for: Callable[[], ResendBudget],
        dialect: HeaderNames,
        caller_service: str,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._routes_of = routes_of
        self._placement = placement
        self._poison = poison
        self._seconds_for = seconds_for
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._splitter = TrafficSplitter()
        self._numbers = itertools.count(1)
        self._run_time_by_route: dict[str, RunTime] = {}
        self._times = CallerDeadlines(dialect)
        self._replies = ErrorReplies(dialect, rng)
        self.refuse = self._replies.refuse
        self._seconds_by_service: dict[ServiceName, ResendBudget] = {}
        self.nodes = 1
        self._id_name = dialect.request_id.encode()
        self._own_names = frozenset(
            name.encode()
            for name in (
                dialect.deadline_ms,
                dialect.target,
                dialect.caller_service,
                "content-length",
            )
        )
        self._caller_line = pack(
            [(dialect.caller_service.title().encode(), caller_service.encode())]
        )

    def set_resend_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Take over other limits of second sends."""
        for seconds in self._seconds_by_service.values():
            seconds.set_limits(ratio, slack, window_s)

    async def handle(self, request: CallerRequest) -> BufferedResponse:
        """Answer one request; never raises."""
        try:
            return await self._handle(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.logger.exception("request failed", error=repr(error))
            return self._replies.problem(ErrorKind.UPSTREAM_FAILED, "", "the node failed")

    async def _handle(self, request: CallerRequest) -> BufferedResponse:
        request_id = (header_value(request.headers, self._id_name) or b"").decode("latin-1")
        if not request_id:
            return self._replies.problem(
                ErrorKind.BAD_REQUEST, "", f"{self._dialect.request_id} is missing"
            )
        table = self._table()
        if table is None:
            return self._replies.problem(ErrorKind.NOT_READY, request_id)
        host = (header_value(request.headers, b"host") or b"").decode("latin-1")
        route = table.find(host.partition(":")[0].lower(), request.path)
        if route is None:
            return self._replies.problem(ErrorKind.NO_ROUTE, request_id, f"version {table.version}")
        journey = ForwardState(
            request,
            request_id,
            route,
            self._service(request, route),
            request.read_at + self._times.timeout_s(request, route),
            request.read_at + route.target_s - self._times.elapsed_s(request, route),
            self._caller_line + pack(end_to_end_headers(request.headers, self._own_names)),
        )
        if not self._poison.empty and self._poison.quarantine_left_s(fingerprint_of(request)) > 0:
            journey.last_kind = ErrorKind.HELD_OFF
            journey.wait_s = WAIT_MAX_S
            return self._give_up(journey)
        return await self._travel(journey)

    def _service(self, request: CallerRequest, route: Route) -> ServiceName:
        if len(route.shares) == 1:
            return route.shares[0].service
        draw = split_point(request.target, request.body)
        return self._splitter.pick(route, draw, self._times.is_first_attempt(request, route))

    # -- the way -----------------------------------------------------------------------

    async def _travel(self, journey: ForwardState) -> BufferedResponse:
        seconds = self.resend_budget_of(journey.service)
        called = False
        for _ in range(MAX_SENDS):
            choice = self._choose(journey)
            if choice is None:
                break
            if journey.reached_instance:
                if not seconds.take():
                    break
                forwardlog.resent(journey, choice.load.instance, journey.last_kind.value)
            if not called:
                called = True
                seconds.record_first_send()
            answer = await self._send(journey, choice)
            if answer is not None:
                return answer
            if journey.sent_to and not self._may_repeat(journey):
                break
        return self._give_up(journey)

    def _may_repeat(self, journey: ForwardState) -> bool:
        route = journey.route
        left_s = journey.deadline - self._clock.now()
        enough = left_s > self._run_s(route)
        return route.idempotent and enough and len(journey.sent_to) < route.attempts

    def _choose(self, journey: ForwardState) -> Choice | None:
        run_s = self._run_s(journey.route)
        choice = self._choose_gate(journey, run_s)
        if choice is None:
            return None
        left_s = journey.deadline - self._clock.now()
        if choice.wait_s + run_s > left_s:
            journey.last_kind = ErrorKind.OVERLOADED
            journey.wait_s = max(journey.wait_s, choice.wait_s + run_s - left_s)
            return None
        return choice

    def _choose_gate(self, journey: ForwardState, run_s: float) -> Choice | None:
        exclude = journey.refused_by.union(journey.sent_to)
        choose, target_s = self._placement.choose, journey.route.target_s
        routes = self._routes_of(journey.service)
        choice = None
        if len(journey.declined_by) < MAX_DECLINES:
            choice = choose(routes, run_s, target_s, exclude | journey.declined_by)
        # What they said of themselves with the request is newer than what is known of others.
        return choice or choose(routes, run_s, target_s, exclude)

    async def _send(self, journey: ForwardState, choice: Choice) -> BufferedResponse | None:
        """Ask one gate; None if the request may go elsewhere or has to be given up."""
        started_at = self._clock.now()
        instance = choice.load.instance
        frame = self._frame(journey, choice, started_at)
        try:
            async with asyncio.timeout_at(journey.deadline + ANSWER_MARGIN_S):
                if not journey.route.idempotent:
                    outcome = await choice.route.send_request(frame)
                    return self._take_outcome(journey, instance, outcome)
                return await self._ask_twice(journey, choice, frame)
        except TimeoutError:
            why = "no word at the deadline"
            log.event("send lost", request=journey.request_id, instance=instance, why=why)
            journey.record_possible_run(instance)
            journey.last_kind = ErrorKind.DEADLINE_PASSED
            self._placement.record_outcome(instance, True)
        except LinkLost as error:
            self._take_loss(journey, instance, error)
        return None

    async def _ask_twice(
        self, journey: ForwardState, choice: Choice, frame: ForwardedRequest
    ) -> BufferedResponse | None:
        """Ask a gate, and another one if the first says that its run began in a slow spell.

        Answers the pattern of hosts that turn slow unseen: what starts before the news is slow to
        its end, and its gate knows it within milliseconds.
        """
        hurried = asyncio.get_running_loop().create_future()

        def hurry() -> None:
            if not hurried.done():
                hurried.set_result(None)

        first = asyncio.create_task(choice.route.send_request(frame, hurry))
        instance_by_task = {first: choice.load.instance}
        try:
            await asyncio.wait((first, hurried), return_when=asyncio.FIRST_COMPLETED)
            rescue = None if first.done() else self._rescue(journey, choice.load.instance)
            if rescue is not None:
                instance_by_task[asyncio.create_task(rescue[1])] = rescue[0]
            return await self._first_good(journey, instance_by_task)
        finally:
            hurried.cancel()
            for task in instance_by_task:
                task.cancel()

    def _rescue(
        self, journey: ForwardState, instance: InstanceId
    ) -> tuple[InstanceId, Coroutine[Any, Any, Outcome]] | None:
        """Return a second send if route, budget and gates allow one."""
        journey.record_possible_run(instance)
        if not self._may_repeat(journey):
            return None
        choice = self._choose(journey)
        if choice is None or choice.load.slowdown >= SLOWDOWN_THRESHOLD:
            return None
        if not self.resend_budget_of(journey.service).take():
            return None
        forwardlog.resent(journey, choice.load.instance, "hurry")
        frame = self._frame(journey, choice, self._clock.now())
        return choice.load.instance, choice.route.send_request(frame)

    async def _first_good(
        self, journey: ForwardState, instance_by_task: dict[asyncio.Task[Outcome], InstanceId]
    ) -> BufferedResponse | None:
        """Return the first success; None if all sends ended without one."""
        pending = set(instance_by_task)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                instance = instance_by_task[task]
                try:
                    answer = self._take_outcome(journey, instance, task.result())
                except LinkLost as error:
                    self._take_loss(journey, instance, error)
                    continue
                if answer is not None:
                    return answer
        return None

    def _take_outcome(
        self, journey: ForwardState, instance: InstanceId, outcome: Outcome
    ) -> BufferedResponse | None:
        if isinstance(outcome, Refusal):
            self._take_refusal(journey, instance, outcome)
            return None
        return self._take_answer(journey, instance, outcome)

    def _take_loss(self, journey: ForwardState, instance: InstanceId, error: LinkLost) -> None:
        log.event("send lost", request=journey.request_id, instance=instance, why=str(error))
        if error.sent:
            journey.record_possible_run(instance)
            journey.last_kind = ErrorKind.UPSTREAM_FAILED
        else:
            journey.refused_by.add(instance)
            journey.last_kind = ErrorKind.UPSTREAM_UNREACHABLE

    def _frame(self, journey: ForwardState, choice: Choice, now: float) -> ForwardedRequest:
        request, route = journey.request, journey.route
        passed = journey.declined_by
        movable = not journey.sent_to and len(passed) < MAX_DECLINES
        movable = movable and choice.load.instance not in passed
        return ForwardedRequest(
            next(self._numbers),
            max(0.0, journey.deadline - now),
            now,
            journey.target_at - now,
            route.name,
            route.priority,
            route.idempotent,
            bool(journey.sent_to),
            request.method,
            request.target,
            journey.head,
            request.body,
            choice.load.instance,
            movable and choice.healthy_elsewhere,
            # Once some have told how long their queues are, the shortest of all is known.
            movable and (choice.capacity_elsewhere or bool(passed)),
        )

    def _take_refusal(self, journey: ForwardState, instance: InstanceId, refusal: Refusal) -> None:
        journey.last_kind = refusal.kind
        journey.wait_s = max(journey.wait_s, refusal.retry_after_s)
        if refusal.kind in DECLINE_KINDS:
            journey.declined_by.add(instance)
            return
        if refusal.ran is Ran.NO:
            journey.refused_by.add(instance)
            if refusal.kind is ErrorKind.UPSTREAM_SHED:
                journey.reached_instance = True
                self._placement.record_outcome(instance, True)
            return
        journey.record_possible_run(instance)
        self._placement.record_outcome(instance, True)

    def _take_answer(
        self, journey: ForwardState, instance: InstanceId, answer: InstanceResponse
    ) -> BufferedResponse | None:
        failed = answer.status >= FAILING_STATUS
        journey.record_possible_run(instance)
        self._placement.record_outcome(instance, failed)
        whole = BufferedResponse(answer.status, unpack(answer.head), answer.body)
        if failed:
            journey.error_answer = whole
            journey.last_kind = ErrorKind.UPSTREAM_FAILED
            return None
        run_time = self._run_time(journey.route)
        run_time.add(run_time.clamp(answer.run_s))
        self._account(journey, answer.status)
        return whole

    def _account(self, journey: ForwardState, status: int) -> None:
        if not self._poison.empty:
            self._poison.clear(fingerprint_of(journey.request))
        now = self._clock.now()
        took_s = now - journey.request.read_at
        self._metrics.call_outcome(journey.service, "ok").inc()
        self._metrics.call_duration(journey.service).observe(took_s)
        forwardlog.answered(journey, status, now, took_s)

    def _give_up(self, journey: ForwardState) -> BufferedResponse:
        if journey.error_answer is not None:
            self._metrics.call_outcome(journey.service, "upstream_error").inc()
            return journey.error_answer
        kind = journey.last_kind
        if journey.outcome_unknown and RULE_BY_KIND[kind].ran is Ran.NO:
            kind = ErrorKind.UPSTREAM_FAILED
        forwardlog.abandoned(journey, kind, self._clock.now())
        self._metrics.call_outcome(journey.service, kind.value).inc()
        return self._replies.problem(kind, journey.request_id, wait_s=journey.wait_s)

    # -- small parts -------------------------------------------------------------------

    def resend_budget_of(self, service: ServiceName) -> ResendBudget:
        """Return the budget of second sends to a service."""
        found = self._seconds_by_service.get(service)
        if found is None:
            found = self._seconds_by_service[service] = self._seconds_for()
        found.node_count = self.nodes
        return found

    def _run_s(self, route: Route) -> float:
        return self._run_time(route).mean_s

    def _run_time(self, route: Route) -> RunTime:
        known = self._run_time_by_route.get(route.name)
        if known is None:
            known = RunTime(FIRST_RUN_SHARE * route.target_s)
            self._run_time_by_route[route.name] = known
        return known
