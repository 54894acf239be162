"""A service in virtual time: instances with slots, noisy neighbours, and callers' nodes.

This is no model of a cluster: it is the fakes at the two interfaces of the decision core, the
calls that arrive and the instances that answer.
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
SHED_AT_SLOTS = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scene.

    Parameters
    ----------
    load
        Offered work as a share of all slots.
    service_s, sigma
        Mean and spread (of the logarithm) of service times.
    burst_factor
        How much slower an instance works while its neighbour is noisy; 1 for never.
    squeezes_running
        Whether a burst slows the requests that run already, as a squeezed processor does, or
        only lengthens those that start while it lasts.
    gap_s, burst_low_s, burst_high_s
        Mean time between bursts of one instance, and their shortest and longest time.
    straggler, fail_fast
        Number of an instance that is 20 times slower, or answers errors at once, after a second.
    """

    nodes: int = 12
    instances: int = 3
    slots: int = 18
    load: float = 0.7
    service_s: float = 0.02
    sigma: float = 0.5
    squeezes_running: bool = True
    burst_factor: float = 8.0
    gap_s: float = 0.5
    burst_low_s: float = 0.005
    burst_high_s: float = 0.1
    news_delay_s: float = 0.005
    news_loss: float = 0.2
    idempotent_share: float = 1.0
    seconds: float = 20.0
    seed: int = 1
    straggler: int | None = None
    fail_fast: int | None = None
    down: int | None = None

    @property
    def rate(self) -> float:
        """Calls a second."""
        return self.load * self.instances * self.slots / self.service_s


class EventQueue:
    """The queue of things to come."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        due = self._clock.now_s + seconds
        heapq.heappush(self._heap, (due, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Run until a time or until nothing is left."""
        while self._heap and self._heap[0][0] <= until_s:
            due, _, action = heapq.heappop(self._heap)
            self._clock.now_s = due
            action()


@dataclass(slots=True, eq=False)
class Job:
    """One attempt on an instance."""

    work_s: float
    answered: Callable[[str], None]
    cancelled: bool = False
    started: bool = False


class SimulatedInstance:
    """One instance: slots, a queue, and a speed that a noisy neighbour lowers."""

    def __init__(
        self, number: int, setting: Scenario, clock: ManualClock, events: EventQueue
    ) -> None:
        self.number = number
        self._setting = setting
        self._clock = clock
        self._events = events
        self._queue: deque[Job] = deque()
        self._running: list[tuple[float, int, Job]] = []
        self._order = itertools.count()
        self._done_work_s = 0.0
        self._updated_at = 0.0
        self._generation = 0
        self.speed = 1.0
        self.stretch = 1.0
        self.steady_speed = 1.0
        self.fails = False
        self.down = False
        self.cancelled_running = 0
        self.finished = 0

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return len(self._running) + len(self._queue)

    def submit(self, job: Job) -> None:
        """Take in a request; it is answered or shed."""
        if self.down:
            job.answered("unreachable")
        elif self.fails:
            job.answered("error")
        elif self.in_flight >= SHED_AT_SLOTS * self._setting.slots:
            job.answered("shed")
        else:
            self._queue.append(job)
            self._fill()

    def cancel(self, job: Job) -> None:
        """Give up a request; one that waits is dropped, one that runs frees its slot."""
        job.cancelled = True
        if not job.started:
            if job in self._queue:
                self._queue.remove(job)
            return
        self._advance()
        self._running = [entry for entry in self._running if entry[2] is not job]
        heapq.heapify(self._running)
        self._fill()
        self._schedule()

    @property
    def is_slow(self) -> bool:
        """Whether a request sent now would take longer than usual."""
        return self.speed < 1.0 or self.stretch > 1.0

    def set_speed(self, speed: float) -> None:
        """Change how fast requests get on."""
        if not self._setting.squeezes_running:
            self.stretch = 1.0 / speed
            return
        self._advance()
        self.speed = speed * self.steady_speed
        self._schedule()

    def _advance(self) -> None:
        now = self._clock.now_s
        self._done_work_s += (now - self._updated_at) * self.speed
        self._updated_at = now

    def _fill(self) -> None:
        self._advance()
        while self._queue and len(self._running) < self._setting.slots:
            job = self._queue.popleft()
            job.started = True
            work_s = job.work_s * self.stretch
            entry = (self._done_work_s + work_s, next(self._order), job)
            heapq.heappush(self._running, entry)
        self._schedule()

    def _schedule(self) -> None:
        self._generation += 1
        if not self._running:
            return
        generation = self._generation
        wait_s = max(0.0, (self._running[0][0] - self._done_work_s) / self.speed)
        self._events.after(wait_s, lambda: self._finish(generation))

    def _finish(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        _, _, job = heapq.heappop(self._running)
        self.finished += 1
        job.answered("ok")
        self._fill()


class Policy(Protocol):
    """How one node chooses; one object for each node."""

    def choose(self, exclude: set[int]) -> Any:
        """Return a choice (anything with ``number``), or None to wait."""
        ...

    def ended(self, choice: Any, result: str, latency_s: float) -> None:
        """Take in ``ok``, ``error``, ``shed``, ``unreachable`` or ``cancelled``."""
        ...

    def hedge_after_s(self) -> float | None:
        """Return when to send a second request, None for never."""
        ...

    def may_hedge(self, tried: set[int]) -> bool:
        """Ask to send a second request now."""
        ...

    def may_retry(self) -> bool:
        """Ask to send a request again after a refusal or an error."""
        ...

    def called(self) -> None:
        """Note a new call."""
        ...

    def news(self, number: int, slow: bool) -> None:
        """Take in word of an instance."""
        ...

    def watch(self, choice: Any, hurry: Callable[[], None]) -> None:
        """Call back when the chosen instance is said to be slow."""
        ...


@dataclass
class Results:
    """What one run measured."""

    latencies_s: list[float] = field(default_factory=list)
    late_latencies_s: list[float] = field(default_factory=list)
    refused: int = 0
    failed: int = 0
    calls: int = 0
    attempts: int = 0
    hedges: int = 0
    messages: int = 0
    harmed: int = 0
    finished: int = 0

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the latency of answered calls."""
        ordered = sorted(self.latencies_s)
        if not ordered:
            return float("inf")
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class SimulatedCall:
    """One call through its attempts, hedge and retries."""

    MAX_ATTEMPTS = 3

    def __init__(self, scene: Simulation, node: int) -> None:
        self.scene = scene
        self.node = node
        self.policy = scene.policies[node]
        self.started_at = scene.clock.now_s
        self.work_s = scene.draw_work_s()
        self.idempotent = scene.rng.random() < scene.setting.idempotent_share
        self.tried: set[int] = set()
        self.open: dict[Job, tuple[Any, float]] = {}
        self.attempts = 0
        self.over = False

    def begin(self) -> None:
        """Choose and send, or wait in the node's queue."""
        self.policy.called()
        if not self.send():
            self.scene.waiting[self.node].append(self)
        elif self.idempotent:
            wait_s = self.policy.hedge_after_s()
            if wait_s is not None:
                self.scene.events.after(wait_s, self.hedge)

    def send(self) -> bool:
        """Make one attempt; False if no instance has room."""
        choice = self.policy.choose(self.tried)
        if choice is None:
            return False
        self.attempts += 1
        self.scene.results.attempts += 1
        self.tried.add(choice.number)
        server = self.scene.servers[choice.number]
        job = Job(self.work_s, lambda result: self.answered(job, result))
        self.open[job] = (choice, self.scene.clock.now_s)
        if self.idempotent:
            self.policy.watch(choice, self.hedge)
        self.scene.events.after(NETWORK_S, lambda: None if job.cancelled else server.submit(job))
        return True

    def hedge(self) -> None:
        """Send a second request if the first is still out."""
        if self.over or not self.open or not self.policy.may_hedge(self.tried):
            return
        if self.send():
            self.scene.results.hedges += 1

    def answered(self, job: Job, result: str) -> None:
        """Bring the answer over the network."""
        self.scene.events.after(NETWORK_S, lambda: self.take(job, result))

    def take(self, job: Job, result: str) -> None:
        """Take in an answer at the node."""
        if job not in self.open:
            return
        choice, sent_at = self.open.pop(job)
        now = self.scene.clock.now_s
        self.policy.ended(choice, result, now - sent_at)
        if result == "ok":
            self.finish(now)
        elif not self.open:
            self.again(not_run=result != "error")
        self.scene.serve_waiting(self.node)

    def again(self, not_run: bool) -> None:
        """Retry what did not run, or what failed and is idempotent; else give up."""
        allowed = self.attempts < self.MAX_ATTEMPTS and (not_run or self.idempotent)
        if allowed and self.policy.may_retry() and self.send():
            return
        self.over = True
        if not_run:
            self.scene.results.refused += 1
        else:
            self.scene.results.failed += 1

    def finish(self, now: float) -> None:
        """End the call and cancel what is still out."""
        if not self.over:
            self.over = True
            self.scene.note(now - self.started_at, now)
        for job, (choice, sent_at) in list(self.open.items()):
            server = self.scene.servers[choice.number]
            self.scene.events.after(NETWORK_S, partial(server.cancel, job))
            self.policy.ended(choice, "cancelled", now - sent_at)
        self.open.clear()


class Simulation:
    """One run of a setting under a policy."""

    WARM_UP_S = 1.0
    QUEUE_LENGTH = 256

    def __init__(
        self,
        setting: Scenario,
        make_policy: Callable[[Simulation, int], Policy],
        tells: bool = False,
    ) -> None:
        self.setting = setting
        self.clock = ManualClock()
        self.events = EventQueue(self.clock)
        self.rng = random.Random(setting.seed)
        self._burst_rng = random.Random(setting.seed + 1_000)
        self._news_rng = random.Random(setting.seed + 2_000)
        self.results = Results()
        self.tells = tells
        self.servers = [
            SimulatedInstance(number, setting, self.clock, self.events)
            for number in range(setting.instances)
        ]
        self.policies = [make_policy(self, node) for node in range(setting.nodes)]
        self.waiting: list[deque[SimulatedCall]] = [deque() for _ in range(setting.nodes)]
        self._mu = math.log(setting.service_s) - setting.sigma**2 / 2

    def draw_work_s(self) -> float:
        """Draw the work of one call."""
        return self.rng.lognormvariate(self._mu, self.setting.sigma)

    def run(self) -> Results:
        """Run to the end."""
        self._arrive()
        if self.setting.burst_factor > 1.0:
            for server in self.servers:
                self._plan_burst(server)
        self.events.after(self.WARM_UP_S, self._break_things)
        self.events.run(self.setting.seconds)
        self.results.finished = sum(server.finished for server in self.servers)
        return self.results

    def note(self, latency_s: float, now: float) -> None:
        """Note an answered call."""
        if now >= self.WARM_UP_S:
            self.results.latencies_s.append(latency_s)

    def serve_waiting(self, node: int) -> None:
        """Send what waits in a node while there is room."""
        queue = self.waiting[node]
        while queue and queue[0].send():
            queue.popleft()

    def _arrive(self) -> None:
        self.events.after(self.rng.expovariate(self.setting.rate), self._arrive)
        node = self.rng.randrange(self.setting.nodes)
        self.results.calls += 1
        if len(self.waiting[node]) >= self.QUEUE_LENGTH:
            self.results.refused += 1
            return
        SimulatedCall(self, node).begin()

    def _break_things(self) -> None:
        setting = self.setting
        if setting.straggler is not None:
            self.servers[setting.straggler].steady_speed = 1 / 20
            self.servers[setting.straggler].set_speed(1.0)
        if setting.fail_fast is not None:
            self.servers[setting.fail_fast].fails = True
        if setting.down is not None:
            self.servers[setting.down].down = True

    def _plan_burst(self, server: SimulatedInstance) -> None:
        gap_s = self._burst_rng.expovariate(1.0 / self.setting.gap_s)
        length_s = self._burst_rng.uniform(self.setting.burst_low_s, self.setting.burst_high_s)
        self.events.after(gap_s, lambda: self._begin_burst(server, length_s))

    def _begin_burst(self, server: SimulatedInstance, length_s: float) -> None:
        server.set_speed(1.0 / self.setting.burst_factor)
        self.events.after(length_s, lambda: self._end_burst(server))
        self._tell(server, True)
        for repeat_s in (REPEAT_S, REPEAT_S + RENEW_S):
            if repeat_s < length_s:
                self.events.after(repeat_s, lambda: self._tell(server, True))

    def _end_burst(self, server: SimulatedInstance) -> None:
        server.set_speed(1.0)
        self._tell(server, False)
        self._plan_burst(server)

    def _tell(self, server: SimulatedInstance, slow: bool) -> None:
        if not self.tells:
            return
        for policy in self.policies:
            self.results.messages += 1
            if self._news_rng.random() >= self.setting.news_loss:
                delay_s = self.setting.news_delay_s + NETWORK_S
                self.events.after(delay_s, partial(policy.news, server.number, slow))
