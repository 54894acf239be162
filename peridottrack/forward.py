"""A caller's request on its way: route, gate, second sends and the one answer it gets."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any

from peridottrack import log
from peridottrack.dialect import Dialect
from peridottrack.errors import RULE_BY_KIND, ErrorKind, Ran, problem
from peridottrack.exceptions import LinkLost
from peridottrack.frames import ForwardedRequest, InstanceAnswer, Refusal
from peridottrack.headerblock import forwarded, pack, unpack, value_of
from peridottrack.ingress import CallerRequest, WholeAnswer
from peridottrack.link import GateRoute, Outcome
from peridottrack.metrics import Metrics
from peridottrack.placement import Choice, Placement
from peridottrack.poison import PoisonList, fingerprint
from peridottrack.routing import Route, RouteTable
from peridottrack.seconds import SecondSends
from peridottrack.spells import SLOW
from peridottrack.splits import Splitter, draw_of
from peridottrack.types import Clock, InstanceId, Random, ServiceName

ANSWER_MARGIN_S = 0.1
"""How long after the deadline the gate's last word is waited for; it says whether it ran."""
MAX_PASS_BACKS = 4
"""Gates that may pass a request back: each costs a way there and back."""
FIRST_TRY_S = 0.02
"""Time already spent up to which a request counts as asked for the first time."""
MAX_SENDS = 6
"""Gates that are asked for one request, those included that refuse it as not run."""
RUN_WEIGHT = 0.1
"""Weight of a new run time in its moving average."""
OUTLIER = 3.0
"""Factor over the known run time at which a new one is cut."""
FIRST_RUN_SHARE = 0.4
"""Run time assumed of a route that never ran, as a share of its target."""
WAIT_MIN_S = 0.05
WAIT_MAX_S = 2.0
"""Bounds of the Retry-After that is told."""
WAIT_SPREAD = 0.5
"""Random share added to it, so that the refused do not come back at once."""
PASSED_BACK = frozenset({ErrorKind.INSTANCE_SLOW, ErrorKind.INSTANCE_BUSY})
"""Refusals that tell only that another gate was thought to be better."""
FAILING_STATUS = 500
"""Statuses from here on speak against an instance."""

ServiceRoutes = Callable[[ServiceName], Iterable[GateRoute]]


@dataclass(slots=True)
class _Journey:
    """One request with what became of it so far.

    Parameters
    ----------
    sent_to
        Instances that may have run it.
    refused_by
        Gates and instances that did not run it.
    passed_by
        Gates that passed it back, since it was thought to be better off elsewhere.
    arrived
        Whether it reached an instance, so that another send counts as a second one.
    """

    request: CallerRequest
    request_id: str
    route: Route
    service: ServiceName
    deadline: float
    target_at: float
    head: bytes
    sent_to: list[InstanceId] = field(default_factory=list)
    refused_by: set[InstanceId] = field(default_factory=set)
    passed_by: set[InstanceId] = field(default_factory=set)
    wait_s: float = 0.0
    last_kind: ErrorKind = ErrorKind.NO_INSTANCE
    unsure: bool = False
    arrived: bool = False
    kept: WholeAnswer | None = None

    def may_have_run(self, instance: InstanceId) -> None:
        """Note that an instance got it and did not say that it left it."""
        if instance not in self.sent_to:
            self.sent_to.append(instance)
        self.arrived = True
        self.unsure = True


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
        seconds_for: Callable[[], SecondSends],
        dialect: Dialect,
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
        self._rng = rng
        self._metrics = metrics
        self._splitter = Splitter()
        self._numbers = itertools.count(1)
        self._run_s_by_route: dict[str, float] = {}
        self._longest_s_by_route: dict[str, float] = {}
        self._seconds_by_service: dict[ServiceName, SecondSends] = {}
        self.nodes = 1
        self._id_name = dialect.request_id.encode()
        self._deadline_name = dialect.deadline_ms.encode()
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

    def set_second_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Take over other limits of second sends."""
        for seconds in self._seconds_by_service.values():
            seconds.set_limits(ratio, slack, window_s)

    async def handle(self, request: CallerRequest) -> WholeAnswer:
        """Answer one request; never raises."""
        try:
            return await self._handle(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.logger.exception("request failed", error=repr(error))
            return self._problem(ErrorKind.UPSTREAM_FAILED, "", "the node failed")

    def refuse(self, status: int, reason: str) -> WholeAnswer:
        """Return the answer to input that is no valid request."""
        kind = _KIND_BY_STATUS.get(status, ErrorKind.BAD_REQUEST)
        return self._problem(kind, "", reason)

    async def _handle(self, request: CallerRequest) -> WholeAnswer:
        request_id = (value_of(request.headers, self._id_name) or b"").decode("latin-1")
        if not request_id:
            return self._problem(
                ErrorKind.BAD_REQUEST, "", f"{self._dialect.request_id} is missing"
            )
        table = self._table()
        if table is None:
            return self._problem(ErrorKind.NOT_READY, request_id)
        host = (value_of(request.headers, b"host") or b"").decode("latin-1")
        route = table.find(host.partition(":")[0].lower(), request.path)
        if route is None:
            return self._problem(ErrorKind.NO_ROUTE, request_id, f"version {table.version}")
        journey = _Journey(
            request,
            request_id,
            route,
            self._service(request, route),
            request.read_at + self._allowed_s(request, route),
            request.read_at + route.target_s - self._spent_s(request, route),
            self._caller_line + pack(forwarded(request.headers, self._own_names)),
        )
        if not self._poison.empty and self._poison.held_for_s(_mark(request)) > 0:
            journey.last_kind = ErrorKind.HELD_OFF
            journey.wait_s = WAIT_MAX_S
            return self._give_up(journey)
        return await self._travel(journey)

    def _service(self, request: CallerRequest, route: Route) -> ServiceName:
        if len(route.shares) == 1:
            return route.shares[0].service
        draw = draw_of(request.target, request.body)
        return self._splitter.pick(route, draw, self._spent_s(request, route) < FIRST_TRY_S)

    def _told_s(self, request: CallerRequest) -> float | None:
        """Return how long the caller says that it waits."""
        told = value_of(request.headers, self._deadline_name)
        return int(told) / 1000 if told is not None and told.isdigit() else None

    def _allowed_s(self, request: CallerRequest, route: Route) -> float:
        told_s = self._told_s(request)
        return route.timeout_s if told_s is None else min(route.timeout_s, told_s)

    def _spent_s(self, request: CallerRequest, route: Route) -> float:
        """Return how long the caller waited before, if it asks again.

        Callers of a route begin with the same time and tell what is left of it.
        """
        told_s = self._told_s(request)
        if told_s is None:
            return 0.0
        longest_s = max(told_s, self._longest_s_by_route.get(route.name, 0.0))
        self._longest_s_by_route[route.name] = longest_s
        return longest_s - told_s

    # -- the way -----------------------------------------------------------------------

    async def _travel(self, journey: _Journey) -> WholeAnswer:
        seconds = self.seconds_of(journey.service)
        called = False
        for _ in range(MAX_SENDS):
            choice = self._choose(journey)
            if choice is None:
                break
            if journey.arrived:
                if not seconds.take():
                    break
                self._log_again(journey, choice.load.instance, journey.last_kind.value)
            if not called:
                called = True
                seconds.called()
            answer = await self._send(journey, choice)
            if answer is not None:
                return answer
            if journey.sent_to and not self._may_repeat(journey):
                break
        return self._give_up(journey)

    def _may_repeat(self, journey: _Journey) -> bool:
        route = journey.route
        left_s = journey.deadline - self._clock.now()
        enough = left_s > self._run_s(route)
        return route.idempotent and enough and len(journey.sent_to) < route.attempts

    def _choose(self, journey: _Journey) -> Choice | None:
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

    def _choose_gate(self, journey: _Journey, run_s: float) -> Choice | None:
        exclude = journey.refused_by.union(journey.sent_to)
        choose, target_s = self._placement.choose, journey.route.target_s
        routes = self._routes_of(journey.service)
        choice = None
        if len(journey.passed_by) < MAX_PASS_BACKS:
            choice = choose(routes, run_s, target_s, exclude | journey.passed_by)
        # What they said of themselves with the request is newer than what is known of others.
        return choice or choose(routes, run_s, target_s, exclude)

    async def _send(self, journey: _Journey, choice: Choice) -> WholeAnswer | None:
        """Ask one gate; None if the request may go elsewhere or has to be given up."""
        started_at = self._clock.now()
        instance = choice.load.instance
        frame = self._frame(journey, choice, started_at)
        try:
            async with asyncio.timeout_at(journey.deadline + ANSWER_MARGIN_S):
                if not journey.route.idempotent:
                    outcome = await choice.route.ask(frame)
                    return self._take_outcome(journey, instance, outcome)
                return await self._ask_twice(journey, choice, frame)
        except TimeoutError:
            why = "no word at the deadline"
            log.event("send lost", request=journey.request_id, instance=instance, why=why)
            journey.may_have_run(instance)
            journey.last_kind = ErrorKind.DEADLINE_PASSED
            self._placement.ended(instance, True)
        except LinkLost as error:
            self._take_loss(journey, instance, error)
        return None

    async def _ask_twice(
        self, journey: _Journey, choice: Choice, frame: ForwardedRequest
    ) -> WholeAnswer | None:
        """Ask a gate, and another one if the first says that its run began in a slow spell.

        Answers the pattern of hosts that turn slow unseen: what starts before the news is slow to
        its end, and its gate knows it within milliseconds.
        """
        hurried = asyncio.get_running_loop().create_future()

        def hurry() -> None:
            if not hurried.done():
                hurried.set_result(None)

        first = asyncio.create_task(choice.route.ask(frame, hurry))
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
        self, journey: _Journey, instance: InstanceId
    ) -> tuple[InstanceId, Coroutine[Any, Any, Outcome]] | None:
        """Return a second send if route, budget and gates allow one."""
        journey.may_have_run(instance)
        if not self._may_repeat(journey):
            return None
        choice = self._choose(journey)
        if choice is None or choice.load.slowdown >= SLOW:
            return None
        if not self.seconds_of(journey.service).take():
            return None
        self._log_again(journey, choice.load.instance, "hurry")
        frame = self._frame(journey, choice, self._clock.now())
        return choice.load.instance, choice.route.ask(frame)

    async def _first_good(
        self, journey: _Journey, instance_by_task: dict[asyncio.Task[Outcome], InstanceId]
    ) -> WholeAnswer | None:
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
        self, journey: _Journey, instance: InstanceId, outcome: Outcome
    ) -> WholeAnswer | None:
        if isinstance(outcome, Refusal):
            self._take_refusal(journey, instance, outcome)
            return None
        return self._take_answer(journey, instance, outcome)

    def _log_again(self, journey: _Journey, instance: InstanceId, why: str) -> None:
        log.event(
            "request sent again",
            request=journey.request_id,
            why=why,
            instance=instance,
            sent_to=journey.sent_to,
        )

    def _take_loss(self, journey: _Journey, instance: InstanceId, error: LinkLost) -> None:
        log.event("send lost", request=journey.request_id, instance=instance, why=str(error))
        if error.sent:
            journey.may_have_run(instance)
            journey.last_kind = ErrorKind.UPSTREAM_FAILED
        else:
            journey.refused_by.add(instance)
            journey.last_kind = ErrorKind.UPSTREAM_UNREACHABLE

    def _frame(self, journey: _Journey, choice: Choice, now: float) -> ForwardedRequest:
        request, route = journey.request, journey.route
        passed = journey.passed_by
        movable = not journey.sent_to and len(passed) < MAX_PASS_BACKS
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
            movable and choice.well_elsewhere,
            # Once some have told how long their queues are, the shortest of all is known.
            movable and (choice.room_elsewhere or bool(passed)),
        )

    def _take_refusal(self, journey: _Journey, instance: InstanceId, refusal: Refusal) -> None:
        journey.last_kind = refusal.kind
        journey.wait_s = max(journey.wait_s, refusal.wait_s)
        if refusal.kind in PASSED_BACK:
            journey.passed_by.add(instance)
            return
        if refusal.ran is Ran.NO:
            journey.refused_by.add(instance)
            if refusal.kind is ErrorKind.UPSTREAM_SHED:
                journey.arrived = True
                self._placement.ended(instance, True)
            return
        journey.may_have_run(instance)
        self._placement.ended(instance, True)

    def _take_answer(
        self, journey: _Journey, instance: InstanceId, answer: InstanceAnswer
    ) -> WholeAnswer | None:
        failed = answer.status >= FAILING_STATUS
        journey.may_have_run(instance)
        self._placement.ended(instance, failed)
        whole = WholeAnswer(answer.status, unpack(answer.head), answer.body)
        if failed:
            journey.kept = whole
            journey.last_kind = ErrorKind.UPSTREAM_FAILED
            return None
        self._learn(journey.route, answer.run_s)
        self._account(journey, answer.status)
        return whole

    def _account(self, journey: _Journey, status: int) -> None:
        if not self._poison.empty:
            self._poison.finished(_mark(journey.request))
        now = self._clock.now()
        took_s = now - journey.request.read_at
        self._metrics.call_outcome(journey.service, "ok").inc()
        self._metrics.call_duration(journey.service).observe(took_s)
        name = "request late" if now > journey.target_at else "request answered"
        if log.wanted(name):
            log.logger.info(
                name,
                request=journey.request_id,
                route=journey.route.name,
                service=journey.service,
                status=status,
                took_s=round(took_s, 4),
                target_s=journey.route.target_s,
                sent_to=journey.sent_to,
                refused_by=sorted(journey.refused_by | journey.passed_by),
            )

    def _give_up(self, journey: _Journey) -> WholeAnswer:
        if journey.kept is not None:
            self._metrics.call_outcome(journey.service, "upstream_error").inc()
            return journey.kept
        kind = journey.last_kind
        if journey.unsure and RULE_BY_KIND[kind].ran is Ran.NO:
            kind = ErrorKind.UPSTREAM_FAILED
        log.event(
            "request given up",
            request=journey.request_id,
            route=journey.route.name,
            service=journey.service,
            kind=kind.value,
            sent_to=journey.sent_to,
            refused_by=sorted(journey.refused_by | journey.passed_by),
            waited_s=round(self._clock.now() - journey.request.read_at, 4),
            left_s=round(journey.deadline - self._clock.now(), 4),
        )
        self._metrics.call_outcome(journey.service, kind.value).inc()
        return self._problem(kind, journey.request_id, wait_s=journey.wait_s)

    # -- small parts -------------------------------------------------------------------

    def _problem(
        self, kind: ErrorKind, request_id: str, detail: str = "", wait_s: float = 0.0
    ) -> WholeAnswer:
        made = problem(kind, detail, request_id)
        headers = {**made.headers}
        if "Retry-After" in headers:
            spread = 1.0 + WAIT_SPREAD * self._rng.random()
            wait_s = min(max(wait_s, WAIT_MIN_S), WAIT_MAX_S) * spread
            headers["Retry-After"] = f"{wait_s:.2f}"
        if request_id:
            headers[self._dialect.request_id.title()] = request_id
        pairs = [(key.encode(), value.encode()) for key, value in headers.items()]
        return WholeAnswer(made.status, pairs, made.body)

    def seconds_of(self, service: ServiceName) -> SecondSends:
        """Return the budget of second sends to a service."""
        found = self._seconds_by_service.get(service)
        if found is None:
            found = self._seconds_by_service[service] = self._seconds_for()
        found.nodes = self.nodes
        return found

    def _run_s(self, route: Route) -> float:
        return self._run_s_by_route.get(route.name, FIRST_RUN_SHARE * route.target_s)

    def _learn(self, route: Route, run_s: float) -> None:
        known_s = self._run_s(route)
        run_s = min(run_s, OUTLIER * known_s)
        self._run_s_by_route[route.name] = known_s + RUN_WEIGHT * (run_s - known_s)


def _mark(request: CallerRequest) -> str:
    return fingerprint(request.method, request.target.decode("latin-1"), request.body)


_KIND_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    408: ErrorKind.TOO_SLOW,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
}
