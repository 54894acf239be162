"""Sends a repeatable request to a gate and, if need be, a second time to another one."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

from peridottrack import forwardlog
from peridottrack.exceptions import LinkLost
from peridottrack.forwardstate import ForwardState
from peridottrack.frames import ForwardedRequest, InstanceResponse
from peridottrack.gateroute import GateRoute, Outcome
from peridottrack.ingress import BufferedResponse
from peridottrack.metrics import Metrics
from peridottrack.placement import Choice, Placement
from peridottrack.resendbudget import ResendBudget
from peridottrack.routing import Route
from peridottrack.secondsend import Denial, SecondSends, Why, free_routes
from peridottrack.slowdown import SLOWDOWN_THRESHOLD
from peridottrack.types import Clock, InstanceId, ServiceName

_Send = asyncio.Task[Outcome]

RETRIES_LEFT = 1
"""Resends that a second send leaves in the budget, since a retry needs it more."""


class RequestSteps(Protocol):
    """What the forwarder does for each send of a request."""

    def make_frame(
        self, state: ForwardState, choice: Choice, now: float, only_if_free: bool = False
    ) -> ForwardedRequest:
        """Return the frame to send; the gate declines it if asked to take it only at once."""
        ...

    def choose(self, state: ForwardState) -> Choice | None:
        """Choose a gate that can serve the request in time."""
        ...

    def may_resend(self, state: ForwardState, running: int = 0) -> bool:
        """Return whether route, time and attempts allow one more instance."""
        ...

    def handle_outcome(
        self, state: ForwardState, instance: InstanceId, outcome: Outcome
    ) -> BufferedResponse | None:
        """Record the outcome of a send; return a successful response."""
        ...

    def handle_link_loss(self, state: ForwardState, instance: InstanceId, error: LinkLost) -> None:
        """Record a send whose link was lost."""
        ...

    def routes_of(self, service: ServiceName) -> Sequence[GateRoute]:
        """Return the routes to the gates of a service."""
        ...

    def run_s(self, route: Route) -> float:
        """Return the usual run time of a route."""
        ...

    def resend_budget_of(self, service: ServiceName) -> ResendBudget:
        """Return the resend budget of a service."""
        ...


@dataclass(slots=True, eq=False)
class _Sends:
    """The first send of a request, and the second one once there is one.

    Parameters
    ----------
    instance_by_task
        The sends in their order.
    unhandled
        Those whose outcome has not been recorded.
    winner
        The one whose response the caller gets.
    """

    state: ForwardState
    started_at: float
    instance_by_task: dict[_Send, InstanceId] = field(default_factory=dict)
    unhandled: set[_Send] = field(default_factory=set)
    second: _Send | None = None
    winner: _Send | None = None
    why: Why = Why.HINT
    second_at: float = 0.0

    @property
    def first_instance(self) -> InstanceId:
        return next(iter(self.instance_by_task.values()))

    def start(self, choice: Choice, sending: Coroutine[Any, Any, Outcome]) -> _Send:
        task = asyncio.create_task(sending)
        self.instance_by_task[task] = choice.load.instance
        self.unhandled.add(task)
        return task

    def start_second(self, choice: Choice, frame: ForwardedRequest, why: Why, now: float) -> None:
        self.second = self.start(choice, choice.route.send_request(frame))
        self.why, self.second_at = why, now

    def record_possible_runs(self) -> None:
        """Record that the instances whose outcome is not known may have run the request."""
        for task, instance in self.instance_by_task.items():
            if task in self.unhandled:
                self.state.record_possible_run(instance)


class HedgedSender:
    """Makes the sends of repeatable requests."""

    def __init__(
        self,
        steps: RequestSteps,
        second_sends: SecondSends,
        placement: Placement,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._steps = steps
        self._second_sends = second_sends
        self._placement = placement
        self._clock = clock
        self._metrics = metrics

    async def send(
        self, state: ForwardState, choice: Choice, frame: ForwardedRequest
    ) -> BufferedResponse | None:
        """Send to a gate, and a second time if a hint of the gate or the passing time asks for it.

        A host may become slow before its load report shows it. A run that starts in between is
        slow to its end, but its gate learns of the slowdown within milliseconds and sends the hint.
        """
        hinted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        sends = _Sends(state, self._clock.now())
        first = sends.start(choice, choice.route.send_request(frame, partial(_resolve, hinted)))
        result = "cancelled"
        try:
            await self._wait_for_second(sends, first, hinted)
            response = await self._first_success(sends)
            result = _result(sends)
            return response
        finally:
            hinted.cancel()
            self._end(sends, result)

    async def _wait_for_second(
        self, sends: _Sends, first: _Send, hinted: asyncio.Future[None]
    ) -> None:
        """Return once the first send has ended or there is a second one."""
        route, run_s = sends.state.route, self._steps.run_s(sends.state.route)
        trigger = self._second_sends.trigger(
            route.name, run_s, sends.state.target_at - sends.started_at
        )
        pending: set[asyncio.Future[Any]] = {first, hinted}
        while sends.second is None and (trigger is not None or len(pending) > 1):
            timeout_s = None
            if trigger is not None:
                timeout_s = max(0.0, sends.started_at + trigger.after_s - self._clock.now())
            done, pending = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if first.done():
                return
            if done:
                elapsed_s = self._clock.now() - sends.started_at
                hint_trigger = self._second_sends.after_hint(route.name, run_s, elapsed_s)
                if hint_trigger is None:
                    self._try_second(sends, Why.HINT)
                elif trigger is None or hint_trigger.after_s < trigger.after_s:
                    trigger = hint_trigger
            elif trigger is not None:
                self._try_second(sends, trigger.why)
                trigger = trigger.next(run_s)

    def _try_second(self, sends: _Sends, why: Why) -> None:
        """Start a second send unless something speaks against it."""
        state, enabled = sends.state, self._second_sends.enabled
        choice = self._choose_second(sends) if enabled else self._choose_hinted(sends)
        if isinstance(choice, Denial):
            self._metrics.second_send_denied(state.service, choice.value).inc()
            forwardlog.second_send_denied(state, why.value, choice.value)
            return
        sent_to = dict.fromkeys((*state.sent_to, sends.first_instance))
        forwardlog.resent(state, choice.load.instance, why.value, list(sent_to))
        now = self._clock.now()
        frame = self._steps.make_frame(state, choice, now, only_if_free=enabled)
        sends.start_second(choice, frame, why, now)

    def _choose_hinted(self, sends: _Sends) -> Choice | Denial:
        """Choose a gate for a second send that only the resend budget limits."""
        state = sends.state
        state.record_possible_run(sends.first_instance)
        if not self._steps.may_resend(state):
            return Denial.NOT_ALLOWED
        choice = self._steps.choose(state)
        if choice is None or choice.load.slowdown >= SLOWDOWN_THRESHOLD:
            return Denial.NO_ROOM
        return choice if self._steps.resend_budget_of(state.service).take() else Denial.BUDGET

    def _choose_second(self, sends: _Sends) -> Choice | Denial:
        """Choose a gate with a free slot for a second send within the limit."""
        state, steps = sends.state, self._steps
        if not steps.may_resend(state, running=1):
            return Denial.NOT_ALLOWED
        exclude = state.refused_by.union(state.sent_to, state.declined_by, (sends.first_instance,))
        routes = free_routes(steps.routes_of(state.service), exclude, self._clock.now())
        if isinstance(routes, Denial):
            return routes
        choice = self._placement.choose(
            routes, steps.run_s(state.route), state.route.target_s, exclude
        )
        if choice is None:
            return Denial.NO_ROOM
        limit = self._second_sends.limit_of(state.service)
        if not limit.allows():
            return Denial.LIMIT
        if not steps.resend_budget_of(state.service).take(spare=RETRIES_LEFT):
            return Denial.BUDGET
        limit.take()
        return choice

    async def _first_success(self, sends: _Sends) -> BufferedResponse | None:
        """Return the first successful response; None if all sends ended without one."""
        while sends.unhandled:
            await asyncio.wait(sends.unhandled, return_when=asyncio.FIRST_COMPLETED)
            for task, instance in sends.instance_by_task.items():
                if task not in sends.unhandled or not task.done():
                    continue
                sends.unhandled.remove(task)
                response = self._handle_end(sends, task, instance)
                if response is not None:
                    sends.winner = task
                    self._record_time(sends, task)
                    return response
        return None

    def _handle_end(
        self, sends: _Sends, task: _Send, instance: InstanceId
    ) -> BufferedResponse | None:
        # Raised here, it would refer to this frame, and so to the task that keeps it.
        error = task.exception()
        if isinstance(error, LinkLost):
            self._steps.handle_link_loss(sends.state, instance, error)
            return None
        outcome = task.result()
        if isinstance(outcome, InstanceResponse):
            sends.record_possible_runs()
        return self._steps.handle_outcome(sends.state, instance, outcome)

    def _record_time(self, sends: _Sends, winner: _Send) -> None:
        """Record the time of the first send, which is unknown if it failed."""
        first = next(iter(sends.instance_by_task))
        if winner is first or first in sends.unhandled:
            route = sends.state.route
            took_s = self._clock.now() - sends.started_at
            self._second_sends.record_time(route.name, took_s, self._steps.run_s(route))

    def _end(self, sends: _Sends, result: str) -> None:
        """Cancel the sends that are not needed, and count the second one."""
        sends.record_possible_runs()
        for task in sends.unhandled:
            if not task.cancel() and not task.cancelled():
                task.exception()  # an outcome that is not needed
        if sends.second is None:
            return
        self._metrics.second_send(sends.state.service, result).inc()
        forwardlog.second_send_ended(
            sends.state,
            sends.instance_by_task[sends.second],
            sends.why.value,
            result,
            sends.second_at - sends.started_at,
            self._clock.now() - sends.second_at,
        )


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


def _result(sends: _Sends) -> str:
    """Return how the second send ended, from the caller's view."""
    if sends.winner is None:
        return "failed"
    return "won" if sends.winner is sends.second else "lost"
