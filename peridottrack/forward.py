"""Forwarding of callers' requests: choice of route and gate, resends, and the one response."""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from peridottrack import forwardlog, log
from peridottrack.callerdeadlines import CallerDeadlines
from peridottrack.callerfilters.chain import CallerFilter, RoutedRequest, build_chain
from peridottrack.callerfilters.route import Router
from peridottrack.errors import RULE_BY_KIND, ErrorKind, Ran
from peridottrack.exceptions import LinkLost
from peridottrack.forwardstate import ForwardState, fingerprint_of
from peridottrack.frames import ForwardedRequest, InstanceResponse, Refusal
from peridottrack.gateroute import GateRoute, Outcome
from peridottrack.headerblock import end_to_end_headers, pack, unpack
from peridottrack.headernames import HeaderNames
from peridottrack.hedgedsend import HedgedSender
from peridottrack.ingress import BufferedResponse, CallerRequest
from peridottrack.metrics import Metrics
from peridottrack.placement import Choice, Placement
from peridottrack.poison import PoisonList
from peridottrack.replies import RETRY_AFTER_MAX_S, ErrorReplies
from peridottrack.resendbudget import ResendBudget
from peridottrack.routing import Route, RouteTable
from peridottrack.runtimes import LONGEST_TO_FINISH, LongestTime, RunTime
from peridottrack.secondsend import SecondSends
from peridottrack.sharing.standing import Standing
from peridottrack.trafficsplit import TrafficSplitter, split_point
from peridottrack.types import Clock, InstanceId, Random, ServiceName

MAX_DECLINES = 4
"""Maximum number of gates that may decline a request, since each decline costs a round trip."""
INITIAL_RUN_SHARE = 0.4
"""Run time assumed for a route that never ran, as a share of its target latency."""
MAX_SENDS = 6
"""Maximum number of sends for one request, including those refused as not run, without hedges."""
RUNS_TO_FINISH = 4.0
"""Multiple of a route's run time that must be left in a shutdown for a request to be taken: it may
have to wait, and runs in slow periods take several times as long."""
DECLINE_KINDS = frozenset({ErrorKind.INSTANCE_SLOW, ErrorKind.INSTANCE_BUSY})
"""Refusals that say only that another gate is expected to answer sooner."""
MIN_FAILURE_STATUS = 500
"""Lowest status that counts as a failure of the instance."""

MAX_WIDENINGS = 2
"""Maximum number of times that one request waits for more gates before it is refused: what cannot
be served is to be refused at once."""


class GateRoutes(Protocol):
    """The routes to gates that a node has, and a way to more of them."""

    def routes_of(self, service: ServiceName) -> Iterable[GateRoute]:
        """Return the routes to the gates of a service."""
        ...

    def widen(self, service: ServiceName, urgent: bool) -> bool:
        """Ask for more gates of a service; return whether some may be available soon."""
        ...

    async def wait_for_first_load(self) -> None:
        """Wait until another gate is available, for a short time at most."""
        ...


class Forwarder:
    """Forwards callers' requests to gates and returns the responses.

    Parameters
    ----------
    table
        Returns the current routes, None until a document has arrived.
    gates
        The connections to the gates of each service.
    poison
        Counts crashes per request; quarantined requests are rejected.
    make_resend_budget
        Creates the resend budget of a service.
    caller_service
        The service that the callers on this host belong to; forwarded requests name it.

    Attributes
    ----------
    router
        The first step of a request.
    replies
        Builds the error responses.
    serves_local_runs
        Returns whether requests run at the local instance, which may call other services.
    """

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        gates: GateRoutes,
        placement: Placement,
        poison: PoisonList,
        make_resend_budget: Callable[[], ResendBudget],
        header_names: HeaderNames,
        caller_service: str,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._gates = gates
        self._placement = placement
        self._poison = poison
        self._make_resend_budget = make_resend_budget
        self._clock = clock
        self._metrics = metrics
        self._splitter = TrafficSplitter()
        self._request_numbers = itertools.count(1)
        self._run_time_by_route: dict[str, RunTime] = {}
        self._longest_time_by_route: defaultdict[str, LongestTime] = defaultdict(LongestTime)
        self._caller_deadlines = CallerDeadlines(header_names)
        self._replies = self.replies = ErrorReplies(header_names, rng)
        self.refuse = self._replies.refuse  # answers input that is not a valid request
        self.router = Router(table, header_names, self._replies)
        self._chain = build_chain((), self._handle_admitted)
        self._resend_budget_by_service: dict[ServiceName, ResendBudget] = {}
        self.nodes = 1  # nodes that share the resend budgets
        self._second_sends = SecondSends(None, clock)
        self._hedged_sender = HedgedSender(self, self._second_sends, placement, clock, metrics)
        self._active: set[ForwardState] = set()
        self._answer_by = float("inf")
        self.serves_local_runs: Callable[[], bool] = lambda: True
        self._refuses_long_requests = False
        self._replaced_headers = frozenset(
            name.encode()
            for name in (
                header_names.deadline_ms,
                header_names.target,
                header_names.caller_service,
                "content-length",
            )
        )
        self._caller_header = pack(
            [(header_names.caller_service.title().encode(), caller_service.encode())]
        )

    def set_filters(self, filters: Sequence[CallerFilter]) -> None:
        """Set the filters that a request passes between its routing and its first send."""
        self._chain = build_chain(filters, self._handle_admitted)

    def set_resend_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Apply changed limits to the resend budgets that exist."""
        for budget in self._resend_budget_by_service.values():
            budget.set_limits(ratio, slack, window_s)

    def set_second_send_share(self, share: float | None) -> None:
        """Set the limit of second sends, as a share of a service's requests."""
        self._second_sends.set_share(share)

    @property
    def leaving(self) -> bool:
        """Whether all requests must be answered by a certain time, since the node shuts down."""
        return self._answer_by < float("inf")

    def limit_deadlines(self, answer_by: float) -> None:
        """Move all deadlines after ``answer_by`` to it, also those of requests still to be read.

        What cannot be answered by then is refused as not run, or ended by its instance, or
        cancelled and answered as unknown.
        """
        self._answer_by = answer_by
        for state in self._active:
            state.limit_deadline(answer_by)

    def refuse_long_requests(self) -> None:
        """From now on, refuse requests with a deadline after the limit of `limit_deadlines`.

        While runs are ending on this host, requests may be their calls. Then those are still taken
        that took a small part of the time that is left so far.
        """
        self._refuses_long_requests = True

    def _may_end_too_late(self, state: ForwardState) -> bool:
        if state.deadline <= self._answer_by:
            return False
        if self._refuses_long_requests and not self.serves_local_runs():
            return True
        now = self._clock.now()
        longest_s = self._longest_time_by_route[state.route.name].get(now)
        expected_s = max(RUNS_TO_FINISH * self.run_s(state.route), LONGEST_TO_FINISH * longest_s)
        return self._answer_by - now < expected_s

    async def handle(self, request: CallerRequest) -> BufferedResponse:
        """Answer one request; raises nothing but `asyncio.CancelledError`."""
        try:
            return await self._handle(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.logger.exception("request failed", error=repr(error))
            return self._replies.problem(ErrorKind.UPSTREAM_FAILED, "", "the node failed")

    async def _handle(self, request: CallerRequest) -> BufferedResponse:
        routed = self.router.find(request)
        if isinstance(routed, BufferedResponse):
            return routed
        return await self._chain(routed)

    async def _handle_admitted(self, routed: RoutedRequest) -> BufferedResponse:
        """Forward a request that has passed the filters."""
        state = self._new_state(routed)
        if self._may_end_too_late(state):
            state.last_kind = ErrorKind.DRAINING
            state.retry_after_s = self._answer_by - self._clock.now()
            return self._abandon(state)
        state.limit_deadline(self._answer_by)
        if self._is_quarantined(state):
            state.last_kind = ErrorKind.HELD_OFF
            state.retry_after_s = RETRY_AFTER_MAX_S
            return self._abandon(state)
        self._active.add(state)
        try:
            return await self._forward(state)
        except asyncio.CancelledError:
            forwardlog.cancelled(state, self._clock.now(), self.leaving)
            raise
        finally:
            self._active.discard(state)

    def _new_state(self, routed: RoutedRequest) -> ForwardState:
        request, route = routed.request, routed.route
        headers = end_to_end_headers(
            request.headers, self._replaced_headers | routed.dropped_headers
        )
        return ForwardState(
            request,
            routed.request_id,
            route,
            self._choose_service(request, route),
            request.received_at + self._caller_deadlines.timeout_s(request, route),
            request.received_at + route.target_s - self._caller_deadlines.elapsed_s(request, route),
            self._caller_header + pack(headers + routed.added_headers),
            routed.table.version,
            routed.confirmed_s,
            routed.priority,
            routed.account.name if routed.account is not None else None,
            routed.returned,
            routed.standing,
        )

    def _is_quarantined(self, state: ForwardState) -> bool:
        if self._poison.empty:
            return False
        return self._poison.quarantine_left_s(fingerprint_of(state.request)) > 0

    def _choose_service(self, request: CallerRequest, route: Route) -> ServiceName:
        if len(route.shares) == 1:
            return route.shares[0].service
        point = split_point(request.target, request.body)
        return self._splitter.pick(
            route, point, self._caller_deadlines.is_first_attempt(request, route)
        )

    # -- forwarding --------------------------------------------------------------------

    async def _forward(self, state: ForwardState) -> BufferedResponse:
        budget = self.resend_budget_of(state.service)
        first_send_recorded = False
        for _ in range(MAX_SENDS):
            choice = await self._choose_or_widen(state)
            if choice is None:
                break
            # An instance that shed the request did not run it, so it is not in sent_to; sending it
            # on to another instance counts against the budget all the same.
            if state.reached_instance:
                if not budget.take():
                    break
                forwardlog.resent(state, choice.load.instance, state.last_kind.value)
            if not first_send_recorded:
                first_send_recorded = True
                budget.record_first_send()
                self._second_sends.record_request(state.service)
            response = await self._send_once(state, choice)
            if response is not None:
                return response
            if state.sent_to and not self.may_resend(state):
                break
        return self._abandon(state)

    def may_resend(self, state: ForwardState, running: int = 0) -> bool:
        """Return whether a request that may have run may be sent to one more instance.

        Requests that certainly did not run may always be sent to another one.

        Parameters
        ----------
        running
            Number of instances that may be running it besides those of earlier sends.
        """
        route = state.route
        left_s = state.deadline - self._clock.now()
        enough_time = left_s > self.run_s(route)
        return route.idempotent and enough_time and len(state.sent_to) + running < route.attempts

    async def _choose_or_widen(self, state: ForwardState) -> Choice | None:
        """Choose a gate; if none can serve the request in time, wait for more of them."""
        choice = self.choose(state)
        for _ in range(MAX_WIDENINGS):
            if choice is not None or not self._gates.widen(state.service, urgent=True):
                break
            await self._gates.wait_for_first_load()
            choice = self.choose(state)
        if choice is not None and choice.wait_s > 0:
            self._gates.widen(state.service, urgent=False)
        return choice

    def choose(self, state: ForwardState) -> Choice | None:
        """Choose a gate; None if none can serve the request in time."""
        run_s = self.run_s(state.route)
        choice = self._choose_gate(state, run_s)
        if choice is None:
            return None
        left_s = state.deadline - self._clock.now()
        # A starved request goes ahead of those that wait, so only the gate can tell.
        if choice.wait_s + run_s > left_s and state.standing is not Standing.STARVED:
            # Once the queues are shorter by this much, the request can meet its deadline.
            state.last_kind = (
                ErrorKind.INSTANCE_LIMITED if choice.rate_limited else ErrorKind.OVERLOADED
            )
            state.retry_after_s = max(state.retry_after_s, choice.wait_s + run_s - left_s)
            return None
        return choice

    def _choose_gate(self, state: ForwardState, run_s: float) -> Choice | None:
        exclude = state.refused_by.union(state.sent_to)
        choose, target_s = self._placement.choose, state.route.target_s
        routes = self.routes_of(state.service)
        choice = None
        if len(state.declined_by) < MAX_DECLINES:
            choice = choose(routes, run_s, target_s, exclude | state.declined_by)
        # When only gates that declined are left, or too many declined, these count again: the load
        # in their refusals is newer than what is known of the others.
        return choice or choose(routes, run_s, target_s, exclude)

    async def _send_once(self, state: ForwardState, choice: Choice) -> BufferedResponse | None:
        """Send to the chosen gate, with a hedge if it asks for one; None if no send succeeded."""
        started_at = self._clock.now()
        instance = choice.load.instance
        frame = self.make_frame(state, choice, started_at)
        try:
            async with asyncio.timeout_at(state.outcome_by) as state.send_timeout:
                if not state.route.idempotent:
                    outcome = await choice.route.send_request(frame)
                    return self.handle_outcome(state, instance, outcome)
                return await self._hedged_sender.send(state, choice, frame)
        except TimeoutError:
            why = "no outcome by the deadline"
            log.event("send lost", request=state.request_id, instance=instance, why=why)
            state.record_possible_run(instance)
            limited = state.deadline_limited
            state.last_kind = ErrorKind.NODE_STOPPED if limited else ErrorKind.DEADLINE_PASSED
            self._placement.record_outcome(instance, True)
        except LinkLost as error:
            self.handle_link_loss(state, instance, error)
        finally:
            state.send_timeout = None
        return None

    def routes_of(self, service: ServiceName) -> list[GateRoute]:
        """Return the routes to the linked gates of a service."""
        return list(self._gates.routes_of(service))

    def handle_outcome(
        self, state: ForwardState, instance: InstanceId, outcome: Outcome
    ) -> BufferedResponse | None:
        """Record the outcome of a send; return the response if it is a success."""
        self._placement.record_load(outcome.load)
        if isinstance(outcome, Refusal):
            self._handle_refusal(state, instance, outcome)
            return None
        return self._handle_response(state, instance, outcome)

    def handle_link_loss(self, state: ForwardState, instance: InstanceId, error: LinkLost) -> None:
        """Record a send whose link was lost before its outcome."""
        log.event("send lost", request=state.request_id, instance=instance, why=str(error))
        if error.maybe_sent:
            state.record_possible_run(instance)
            state.last_kind = ErrorKind.UPSTREAM_FAILED
        else:
            state.refused_by.add(instance)
            state.last_kind = ErrorKind.UPSTREAM_UNREACHABLE

    def make_frame(
        self, state: ForwardState, choice: Choice, now: float, only_if_free: bool = False
    ) -> ForwardedRequest:
        """Return the frame of a send.

        Parameters
        ----------
        only_if_free
            Whether it is a second send, which the gate is to decline unless it can start at once.
        """
        request, route = state.request, state.route
        declined = state.declined_by
        may_decline = not state.sent_to and len(declined) < MAX_DECLINES
        may_decline = may_decline and choice.load.instance not in declined
        return ForwardedRequest(
            next(self._request_numbers),
            max(0.0, state.deadline - now),
            now,
            state.target_at - now,
            route.name,
            state.priority,
            route.idempotent,
            only_if_free or bool(state.sent_to),
            request.method,
            request.target,
            state.head,
            request.body,
            choice.load.instance,
            only_if_free or (may_decline and choice.healthy_elsewhere),
            # After the first decline, full gates are made to decline even if no gate with free
            # capacity is known: their refusals report the queue lengths, and the last send goes
            # to the shortest queue.
            only_if_free or (may_decline and (choice.capacity_elsewhere or bool(declined))),
            state.account or "",
            state.returned,
        )

    def _handle_refusal(self, state: ForwardState, instance: InstanceId, refusal: Refusal) -> None:
        state.last_kind = refusal.kind
        if refusal.kind is ErrorKind.DEADLINE_PASSED and state.deadline_limited:
            state.last_kind = ErrorKind.NODE_STOPPED
        state.retry_after_s = max(state.retry_after_s, refusal.retry_after_s)
        if refusal.kind in DECLINE_KINDS:
            state.declined_by.add(instance)
            return
        if refusal.ran is Ran.NO:
            state.refused_by.add(instance)
            if refusal.kind is ErrorKind.UPSTREAM_SHED:
                state.reached_instance = True
                self._placement.record_outcome(instance, True)
            return
        state.record_possible_run(instance)
        self._placement.record_outcome(instance, True)

    def _handle_response(
        self, state: ForwardState, instance: InstanceId, response: InstanceResponse
    ) -> BufferedResponse | None:
        now = self._clock.now()
        took_s = now - state.request.received_at
        self._longest_time_by_route[state.route.name].add(took_s, now)
        failed = response.status >= MIN_FAILURE_STATUS
        state.record_possible_run(instance)
        self._placement.record_outcome(instance, failed)
        buffered = BufferedResponse(response.status, unpack(response.head), response.body)
        if failed:
            state.error_response = buffered
            state.last_kind = ErrorKind.UPSTREAM_FAILED
            return None
        run_time = self._run_time(state.route)
        run_time.add(run_time.clamp(response.run_s))
        self._record_success(state, response.status)
        return buffered

    def _record_success(self, state: ForwardState, status: int) -> None:
        if not self._poison.empty:
            self._poison.clear(fingerprint_of(state.request))
        now = self._clock.now()
        took_s = now - state.request.received_at
        self._metrics.call_outcome(state.service, "ok").inc()
        self._metrics.call_duration(state.service).observe(took_s)
        forwardlog.answered(state, status, now, took_s)

    def _abandon(self, state: ForwardState) -> BufferedResponse:
        if state.error_response is not None:
            self._metrics.call_outcome(state.service, "upstream_error").inc()
            return state.error_response
        kind = state.last_kind
        if state.may_have_run and RULE_BY_KIND[kind].ran is Ran.NO:
            kind = ErrorKind.UPSTREAM_FAILED
        forwardlog.abandoned(state, kind, self._clock.now())
        self._metrics.call_outcome(state.service, kind.value).inc()
        return self._replies.problem(kind, state.request_id, retry_after_s=state.retry_after_s)

    # -- resend budgets and run times --------------------------------------------------

    def resend_budget_of(self, service: ServiceName) -> ResendBudget:
        """Return the resend budget of a service."""
        budget = self._resend_budget_by_service.get(service)
        if budget is None:
            budget = self._resend_budget_by_service[service] = self._make_resend_budget()
        budget.node_count = self.nodes
        return budget

    def run_s(self, route: Route) -> float:
        """Return the usual run time of a route."""
        return self._run_time(route).mean_s

    def _run_time(self, route: Route) -> RunTime:
        run_time = self._run_time_by_route.get(route.name)
        if run_time is None:
            run_time = RunTime(INITIAL_RUN_SHARE * route.target_s)
            self._run_time_by_route[route.name] = run_time
        return run_time
