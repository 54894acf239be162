"""Simulates one service in virtual time: instances with slots, noisy neighbours, and callers.

It replaces only what lies at the two interfaces of the balancer, the calls that arrive and the
instances that run them; it does not model a whole cluster.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

from peridottrack.clock import ManualClock
from peridottrack.slowness import RENEW_S, REPEAT_S

NETWORK_S = 0.001
# An instance sheds attempts while this many for each slot are running or queued.
SHED_IN_FLIGHT_PER_SLOT = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Sizes, load and faults of one simulation.

    Parameters
    ----------
    load
        Offered work as a fraction of the capacity of all slots.
    service_s, sigma
        Mean service time, and standard deviation of its logarithm (lognormal service times).
    burst_factor
        How many times slower an instance works during a burst, while a noisy neighbour takes CPU
        time from it; 1 disables bursts.
    slows_running_requests
        Whether a burst slows the requests that already run, as a loss of CPU time does, or only
        lengthens those that start during the burst.
    burst_gap_s, burst_min_s, burst_max_s
        Mean time between bursts of one instance, and the shortest and longest burst.
    report_delay_s, report_loss
        Delay of a slowness report beyond the network's, and the fraction of reports that are lost.
    idempotent_share
        Fraction of calls that may be hedged and retried after an error.
    straggler, fail_fast, down
        Number of an instance that, from the end of the warm-up on, runs 20 times slower, answers
        every request with an error at once, or cannot be reached.
    """

    nodes: int = 12
    instances: int = 3
    slots: int = 18
    load: float = 0.7
    service_s: float = 0.02
    sigma: float = 0.5
    slows_running_requests: bool = True
    burst_factor: float = 8.0
    burst_gap_s: float = 0.5
    burst_min_s: float = 0.005
    burst_max_s: float = 0.1
    report_delay_s: float = 0.005
    report_loss: float = 0.2
    idempotent_share: float = 1.0
    seconds: float = 20.0
    seed: int = 1
    straggler: int | None = None
    fail_fast: int | None = None
    down: int | None = None

    @property
    def rate(self) -> float:
        """Calls per second that arrive at all nodes together."""
        return self.load * self.instances * self.slots / self.service_s


class EventQueue:
    """Queue of actions, ordered by the virtual time at which they run."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after some virtual seconds."""
        at_s = self._clock.now_s + seconds
        heapq.heappush(self._heap, (at_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Run the actions up to a virtual time, or until none are left."""
        while self._heap and self._heap[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._heap)
            self._clock.now_s = at_s
            action()


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt of a call on an instance."""

    work_s: float
    on_result: Callable[[str], None]
    cancelled: bool = False
    started: bool = False


class SimulatedInstance:
    """An instance: slots, a queue, and a speed that a noisy neighbour lowers.

    Attributes
    ----------
    speed
        Current speed, 1 if undisturbed; the work of a running attempt shrinks at this rate.
    base_speed
        Speed outside bursts, below 1 for a straggler.
    work_factor
        Factor on the work of attempts that start now; replaces ``speed`` in bursts that do not slow
        running requests.
    """

    def __init__(
        self, number: int, scenario: Scenario, clock: ManualClock, events: EventQueue
    ) -> None:
        self.number = number
        self._scenario = scenario
        self._clock = clock
        self._events = events
        self._queue: deque[SimulatedAttempt] = deque()
        # Heap of (value of _work_done_s at which the attempt is complete, order, attempt).
        self._running: list[tuple[float, int, SimulatedAttempt]] = []
        self._order = itertools.count()
        # Work that each slot could have done since the start.
        self._work_done_s = 0.0
        self._updated_at = 0.0
        self._schedule_version = 0
        self.speed = 1.0
        self.work_factor = 1.0
        self.base_speed = 1.0
        self.fails = False
        self.down = False
        self.cancelled_running = 0
        self.finished = 0

    @property
    def in_flight(self) -> int:
        """Number of attempts that run or wait."""
        return len(self._running) + len(self._queue)

    def submit(self, attempt: SimulatedAttempt) -> None:
        """Queue an attempt, or end it at once with an error or a rejection."""
        if self.down:
            attempt.on_result("unreachable")
        elif self.fails:
            attempt.on_result("error")
        elif self.in_flight >= SHED_IN_FLIGHT_PER_SLOT * self._scenario.slots:
            attempt.on_result("shed")
        else:
            self._queue.append(attempt)
            self._start_queued()

    def cancel(self, attempt: SimulatedAttempt) -> None:
        """Cancel an attempt: remove it from the queue, or free the slot that it runs in."""
        attempt.cancelled = True
        if not attempt.started:
            if attempt in self._queue:
                self._queue.remove(attempt)
            return
        self._advance()
        self._running = [entry for entry in self._running if entry[2] is not attempt]
        heapq.heapify(self._running)
        self._start_queued()
        self._schedule_completion()

    @property
    def is_slow(self) -> bool:
        """Whether a request that starts now would take longer than usual."""
        return self.speed < 1.0 or self.work_factor > 1.0

    def set_speed(self, speed: float) -> None:
        """Set the speed, as a fraction of the usual one."""
        if not self._scenario.slows_running_requests:
            self.work_factor = 1.0 / speed
            return
        self._advance()
        self.speed = speed * self.base_speed
        self._schedule_completion()

    def _advance(self) -> None:
        now = self._clock.now_s
        self._work_done_s += (now - self._updated_at) * self.speed
        self._updated_at = now

    def _start_queued(self) -> None:
        self._advance()
        while self._queue and len(self._running) < self._scenario.slots:
            attempt = self._queue.popleft()
            attempt.started = True
            work_s = attempt.work_s * self.work_factor
            entry = (self._work_done_s + work_s, next(self._order), attempt)
            heapq.heappush(self._running, entry)
        self._schedule_completion()

    def _schedule_completion(self) -> None:
        self._schedule_version += 1
        if not self._running:
            return
        version = self._schedule_version
        wait_s = max(0.0, (self._running[0][0] - self._work_done_s) / self.speed)
        self._events.schedule(wait_s, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._schedule_version:
            # The running requests or the speed changed since; a later event replaces this one.
            return
        self._advance()
        _, _, attempt = heapq.heappop(self._running)
        self.finished += 1
        attempt.on_result("ok")
        self._start_queued()


class Policy(Protocol):
    """How one node chooses instances; one object for each node."""

    def choose(self, exclude: set[int]) -> Any:
        """Return a choice (any object with ``number``), or None if the call must wait."""
        ...

    def record_outcome(self, choice: Any, result: str, latency_s: float) -> None:
        """Record how an attempt ended: ok, error, shed, unreachable or cancelled."""
        ...

    def hedge_after_s(self) -> float | None:
        """Return the delay after which to hedge a call, None for never."""
        ...

    def may_hedge(self, tried: set[int]) -> bool:
        """Return whether a hedge may be sent now; spend budget on it."""
        ...

    def may_retry(self) -> bool:
        """Return whether a rejected or failed attempt may be retried; spend budget on it."""
        ...

    def record_call(self) -> None:
        """Record that a call arrived."""
        ...

    def record_slowness(self, number: int, slow: bool) -> None:
        """Record a report that an instance became slow or recovered."""
        ...

    def watch(self, choice: Any, on_slow: Callable[[], None]) -> None:
        """Call ``on_slow`` when the chosen instance is reported slow."""
        ...


@dataclass
class Results:
    """Measurements of one simulation."""

    latencies_s: list[float] = field(default_factory=list)
    late_latencies_s: list[float] = field(default_factory=list)
    rejected: int = 0
    failed: int = 0
    calls: int = 0
    attempts: int = 0
    hedges: int = 0
    messages: int = 0
    harmed: int = 0
    finished: int = 0

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of the latencies of successful calls."""
        ordered = sorted(self.latencies_s)
        if not ordered:
            return float("inf")
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


class SimulatedCall:
    """One call with its attempts, hedge and retries."""

    MAX_ATTEMPTS = 3

    def __init__(self, simulation: Simulation, node: int) -> None:
        self.simulation = simulation
        self.node = node
        self.policy = simulation.policies[node]
        self.started_at = simulation.clock.now_s
        self.work_s = simulation.draw_work_s()
        self.idempotent = simulation.rng.random() < simulation.scenario.idempotent_share
        self.tried: set[int] = set()
        self.pending: dict[SimulatedAttempt, tuple[Any, float]] = {}
        self.attempts = 0
        self.done = False

    def start(self) -> None:
        """Send the first attempt, or wait in the node's queue."""
        self.policy.record_call()
        if not self.send_attempt():
            self.simulation.waiting[self.node].append(self)
        elif self.idempotent:
            wait_s = self.policy.hedge_after_s()
            if wait_s is not None:
                self.simulation.events.schedule(wait_s, self.hedge)

    def send_attempt(self) -> bool:
        """Send an attempt; return False if no instance has free capacity."""
        choice = self.policy.choose(self.tried)
        if choice is None:
            return False
        self.attempts += 1
        self.simulation.results.attempts += 1
        self.tried.add(choice.number)
        instance = self.simulation.instances[choice.number]
        attempt = SimulatedAttempt(self.work_s, lambda result: self.deliver_result(attempt, result))
        self.pending[attempt] = (choice, self.simulation.clock.now_s)
        if self.idempotent:
            self.policy.watch(choice, self.hedge)
        self.simulation.events.schedule(
            NETWORK_S, lambda: None if attempt.cancelled else instance.submit(attempt)
        )
        return True

    def hedge(self) -> None:
        """Send a hedge if an attempt is pending and the policy allows it."""
        if self.done or not self.pending or not self.policy.may_hedge(self.tried):
            return
        if self.send_attempt():
            self.simulation.results.hedges += 1

    def deliver_result(self, attempt: SimulatedAttempt, result: str) -> None:
        """Deliver a result to the node after the network delay."""
        self.simulation.events.schedule(NETWORK_S, lambda: self.handle_result(attempt, result))

    def handle_result(self, attempt: SimulatedAttempt, result: str) -> None:
        """Handle a result that reached the node."""
        if attempt not in self.pending:
            return
        choice, sent_at = self.pending.pop(attempt)
        now = self.simulation.clock.now_s
        self.policy.record_outcome(choice, result, now - sent_at)
        if result == "ok":
            self.finish(now)
        elif not self.pending:
            self.retry_or_fail(not_run=result != "error")
        self.simulation.serve_waiting(self.node)

    def retry_or_fail(self, not_run: bool) -> None:
        """Retry a call that did not run, or one that failed and is idempotent; else fail it."""
        may_resend = self.attempts < self.MAX_ATTEMPTS and (not_run or self.idempotent)
        if may_resend and self.policy.may_retry() and self.send_attempt():
            return
        self.done = True
        if not_run:
            self.simulation.results.rejected += 1
        else:
            self.simulation.results.failed += 1

    def finish(self, now: float) -> None:
        """End the call as successful and cancel its pending attempts."""
        if not self.done:
            self.done = True
            self.simulation.record_latency(now - self.started_at, now)
        for attempt, (choice, sent_at) in list(self.pending.items()):
            instance = self.simulation.instances[choice.number]
            self.simulation.events.schedule(NETWORK_S, partial(instance.cancel, attempt))
            self.policy.record_outcome(choice, "cancelled", now - sent_at)
        self.pending.clear()


class Simulation:
    """One run of a scenario under a policy."""

    WARM_UP_S = 1.0
    QUEUE_LENGTH = 256

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[Simulation, int], Policy],
        reports_slowness: bool = False,
    ) -> None:
        self.scenario = scenario
        self.clock = ManualClock()
        self.events = EventQueue(self.clock)
        self.rng = random.Random(scenario.seed)
        self._burst_rng = random.Random(scenario.seed + 1_000)
        self._report_rng = random.Random(scenario.seed + 2_000)
        self.results = Results()
        self.reports_slowness = reports_slowness
        self.instances = [
            SimulatedInstance(number, scenario, self.clock, self.events)
            for number in range(scenario.instances)
        ]
        self.policies = [make_policy(self, node) for node in range(scenario.nodes)]
        self.waiting: list[deque[SimulatedCall]] = [deque() for _ in range(scenario.nodes)]
        self._log_mean_s = math.log(scenario.service_s) - scenario.sigma**2 / 2

    def draw_work_s(self) -> float:
        """Draw the service time of one call at normal speed."""
        return self.rng.lognormvariate(self._log_mean_s, self.scenario.sigma)

    def run(self) -> Results:
        """Run the scenario and return its results."""
        self._arrive()
        if self.scenario.burst_factor > 1.0:
            for instance in self.instances:
                self._schedule_burst(instance)
        self.events.schedule(self.WARM_UP_S, self._inject_faults)
        self.events.run(self.scenario.seconds)
        self.results.finished = sum(instance.finished for instance in self.instances)
        return self.results

    def record_latency(self, latency_s: float, now: float) -> None:
        """Record the latency of a successful call, except during the warm-up."""
        if now >= self.WARM_UP_S:
            self.results.latencies_s.append(latency_s)

    def serve_waiting(self, node: int) -> None:
        """Send the calls that wait at a node while there is free capacity."""
        queue = self.waiting[node]
        while queue and queue[0].send_attempt():
            queue.popleft()

    def _arrive(self) -> None:
        self.events.schedule(self.rng.expovariate(self.scenario.rate), self._arrive)
        node = self.rng.randrange(self.scenario.nodes)
        self.results.calls += 1
        if len(self.waiting[node]) >= self.QUEUE_LENGTH:
            self.results.rejected += 1
            return
        SimulatedCall(self, node).start()

    def _inject_faults(self) -> None:
        scenario = self.scenario
        if scenario.straggler is not None:
            self.instances[scenario.straggler].base_speed = 1 / 20
            self.instances[scenario.straggler].set_speed(1.0)
        if scenario.fail_fast is not None:
            self.instances[scenario.fail_fast].fails = True
        if scenario.down is not None:
            self.instances[scenario.down].down = True

    def _schedule_burst(self, instance: SimulatedInstance) -> None:
        gap_s = self._burst_rng.expovariate(1.0 / self.scenario.burst_gap_s)
        length_s = self._burst_rng.uniform(self.scenario.burst_min_s, self.scenario.burst_max_s)
        self.events.schedule(gap_s, lambda: self._start_burst(instance, length_s))

    def _start_burst(self, instance: SimulatedInstance, length_s: float) -> None:
        instance.set_speed(1.0 / self.scenario.burst_factor)
        self.events.schedule(length_s, lambda: self._end_burst(instance))
        self._report_slowness(instance, True)
        # As `SlownessDetector` does; no burst lasts until a further renewal.
        for resend_s in (REPEAT_S, REPEAT_S + RENEW_S):
            if resend_s < length_s:
                self.events.schedule(resend_s, lambda: self._report_slowness(instance, True))

    def _end_burst(self, instance: SimulatedInstance) -> None:
        instance.set_speed(1.0)
        self._report_slowness(instance, False)
        self._schedule_burst(instance)

    def _report_slowness(self, instance: SimulatedInstance, slow: bool) -> None:
        if not self.reports_slowness:
            return
        for policy in self.policies:
            self.results.messages += 1
            if self._report_rng.random() >= self.scenario.report_loss:
                delay_s = self.scenario.report_delay_s + NETWORK_S
                self.events.schedule(
                    delay_s, partial(policy.record_slowness, instance.number, slow)
                )
