"""The gate: decides what runs at the instance beside this node, without network.

It alone knows exactly what runs and waits at its instance. A request runs at once while there is
room below the limit; otherwise it waits, and is refused as not run as soon as the forecast says
that it cannot be answered in time.

Answers the pattern of many nodes that know little of each other's requests: what they sent at the
same time to the same instance goes on to others that have room, instead of waiting.

Answers the pattern of bursts beyond what an instance can do: of one rank, those that can still meet
their target go first, so that a burst makes some late instead of all.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from peridottrack import log
from peridottrack.concurrencylimit import ConcurrencyLimit
from peridottrack.frames import GateLoad
from peridottrack.headernames import LoadFigures
from peridottrack.runtimes import RunTime
from peridottrack.slowdown import SLOWDOWN_THRESHOLD, SlowdownEstimator
from peridottrack.types import Clock, InstanceId, ServiceName
from peridottrack.urgentload import UrgentLoad

URGENT_HEADROOM = 1.5
"""Slots kept for urgent requests, as a factor on those that they use on average."""
LEAST_RUN_SHARE = 0.5
"""Share of its usual run time that must be left for a request to be started: runs vary."""
WAITING_PER_SLOT = 3
"""Requests that may wait for each slot, so that memory is bounded."""


class GateState(Enum):
    """Whether the instance takes requests."""

    ABSENT = "absent"
    OPEN = "open"
    LEAVING = "leaving"


class Verdict(Enum):
    """What the gate decided about a request."""

    RUN = "run"
    CLOSED = "closed"
    FULL = "full"
    TOO_LATE = "too_late"
    WRONG_INSTANCE = "wrong_instance"
    SLOW = "slow"
    BUSY = "busy"


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """A request at the gate.

    Parameters
    ----------
    target_at, deadline
        Seconds of the gate's clock after which an answer is worth little, and nothing.
    on_decision
        Called once with the verdict.
    decline_if_slow
        Whether it is better off elsewhere while the host is slow.
    decline_if_full
        Whether it is better off elsewhere than in the queue.
    on_slow_start
        Called if it turns out that the run began in a slow spell.
    """

    route: str
    priority: int
    target_at: float
    deadline: float
    on_decision: Callable[[Verdict], None]
    decline_if_slow: bool = False
    decline_if_full: bool = False
    on_slow_start: Callable[[], None] = lambda: None
    arrived_at: float = 0.0
    started_at: float = 0.0
    running_at_start: int = 0
    slowdown_at_start: float = 1.0
    waiting: bool = False


@dataclass(slots=True)
class LocalInstance:
    """What is known of the instance beside this node."""

    instance: InstanceId = InstanceId("")
    service: ServiceName = ServiceName("")
    slots: int = 0
    state: GateState = GateState.ABSENT
    warm_at: float = 0.0
    concurrency_limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)


class Gate:
    """Admission to one instance.

    Attributes
    ----------
    on_change
        Called when something changed that other nodes should hear: True if it is urgent.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: list[AdmissionRequest] = []
        self._run_time_by_route: dict[str, RunTime] = {}
        self._mean_run = RunTime()
        self.slowdown_estimator = SlowdownEstimator()
        self._urgent = UrgentLoad()
        self.local_instance = LocalInstance()
        self._running: set[AdmissionRequest] = set()
        self.stopping = False
        self.on_change: Callable[[bool], None] = lambda urgent: None

    # -- the instance ------------------------------------------------------------------

    def open(
        self, instance: InstanceId, service: ServiceName, slots: int, warm_in_s: float
    ) -> None:
        """Take in that an instance is ready; a new id starts from nothing."""
        if instance != self.local_instance.instance:
            self.close(Verdict.WRONG_INSTANCE)
            self.local_instance = LocalInstance(instance, service)
        beside = self.local_instance
        before = (beside.state, beside.slots)
        beside.slots = slots
        beside.state = GateState.OPEN
        beside.warm_at = self._clock.now() + warm_in_s
        if before != (beside.state, beside.slots):
            log.event("gate open", instance=instance, slots=slots, warm_in_s=warm_in_s)
            self.on_change(True)

    def close(self, verdict: Verdict = Verdict.CLOSED) -> None:
        """Take in that the instance leaves: nothing more starts on it."""
        if self.local_instance.state is GateState.OPEN:
            self.local_instance.state = GateState.LEAVING
            log.event(
                "gate closed",
                instance=self.local_instance.instance,
                running=self.running,
                waiting=self.waiting,
            )
        waiting, self._queue = self._queue, []
        for ticket in waiting:
            ticket.waiting = False
            ticket.on_decision(verdict)
        self.on_change(True)

    @property
    def is_open(self) -> bool:
        """Whether new requests are taken."""
        return self.local_instance.state is GateState.OPEN and not self.stopping

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Requests that may run at the same time."""
        return self.local_instance.concurrency_limit.limit(self.local_instance.slots)

    def record_load(self, figures: LoadFigures) -> None:
        """Take in what the instance said with an answer."""
        well_at = self.slowdown_estimator.at
        turned = self.slowdown_estimator.hear(figures.slowdown, self._clock.now())
        if figures.slots and figures.slots != self.local_instance.slots:
            self.local_instance.slots = figures.slots
        if turned:
            self.on_change(True)
        if turned and figures.slowdown >= SLOWDOWN_THRESHOLD:
            # The spell began between the two words: what started since then is in it.
            for ticket in self._running:
                if ticket.started_at > well_at:
                    ticket.on_slow_start()

    def slowdown(self) -> float:
        """Return how many times longer than usual work that starts now is expected to take."""
        return self.slowdown_estimator.expected(self._clock.now())

    def load(self) -> GateLoad:
        """Return what other nodes are told."""
        now = self._clock.now()
        beside = self.local_instance
        return GateLoad(
            beside.instance,
            beside.service,
            self.is_open,
            beside.slots,
            self.limit,
            self.running,
            self.waiting,
            self.slowdown_estimator.last,
            min(now - self.slowdown_estimator.at, 60.0),
            now < beside.warm_at,
            self.slowdown_estimator.mean,
            self.slowdown_estimator.spell_s,
        )

    # -- requests ----------------------------------------------------------------------

    def submit(
        self, ticket: AdmissionRequest, instance: InstanceId, host_silent: bool = False
    ) -> None:
        """Ask to run a request; ``decided`` is called now or when its turn comes.

        Parameters
        ----------
        host_silent
            Whether the instance was asked just now how its host is and did not say in time.
        """
        ticket.arrived_at = self._clock.now()
        refusal = self._refusal(ticket, instance, host_silent)
        if refusal is not None:
            ticket.on_decision(refusal)
        elif self._has_slot(ticket):
            self._start(ticket)
        else:
            ticket.waiting = True
            self._queue.append(ticket)
            self.local_instance.concurrency_limit.wanted(ticket.arrived_at)

    def _refusal(
        self, ticket: AdmissionRequest, instance: InstanceId, host_silent: bool
    ) -> Verdict | None:
        if not self.is_open:
            return Verdict.CLOSED
        if instance != self.local_instance.instance:
            return Verdict.WRONG_INSTANCE
        slow = host_silent or self.slowdown_estimator.surely_slow(ticket.arrived_at)
        if ticket.decline_if_slow and slow:
            return Verdict.SLOW
        if self._has_slot(ticket):
            return None
        if ticket.decline_if_full:
            return Verdict.BUSY
        if self.waiting >= WAITING_PER_SLOT * self.local_instance.slots:
            return Verdict.FULL
        expected_at = ticket.arrived_at + self.forecast_s(ticket)
        if expected_at > ticket.deadline:
            return Verdict.TOO_LATE
        if expected_at > ticket.target_at and self._late_waiting() >= self.limit:
            return Verdict.TOO_LATE
        return None

    def _has_slot(self, ticket: AdmissionRequest) -> bool:
        """Tell whether a request may start; those of the lowest rank leave room for the others.

        Answers the pattern of calls that running requests make: each is short and urgent, and
        many running requests wait for them.
        """
        if self.running >= self.limit:
            return False
        if ticket.priority <= self._urgent.rank:
            return True
        kept = min(self._urgent.mean(self._clock.now()) * URGENT_HEADROOM, self.limit / 2)
        return self.running - self._urgent.running < self.limit - kept

    def _late_waiting(self) -> int:
        """Return how many of those that wait will miss their target."""
        now = self._clock.now()
        return sum(self._misses_target(ticket, now) for ticket in self._queue)

    def _misses_target(self, ticket: AdmissionRequest, now: float) -> bool:
        return now + self.run_s(ticket.route) * self.slowdown() > ticket.target_at

    def _turn(self, ticket: AdmissionRequest, now: float) -> tuple[int, bool, float]:
        """Return what orders the queue: rank, then those that can meet their target."""
        late = self._misses_target(ticket, now)
        return (ticket.priority, late, ticket.deadline if late else ticket.target_at)

    def forecast_s(self, ticket: AdmissionRequest) -> float:
        """Return the seconds that a request would wait and run if it joined the queue now."""
        now = self._clock.now()
        mine = self._turn(ticket, now)
        ahead = sum(self._turn(other, now) <= mine for other in self._queue)
        slowdown = self.slowdown()
        wait_s = (ahead + 1) * self._mean_run.mean_s * slowdown / max(self.limit, 1)
        return wait_s + self.run_s(ticket.route) * slowdown

    def run_s(self, route: str) -> float:
        """Return the usual run time of a route."""
        run_time = self._run_time_by_route.get(route)
        return run_time.mean_s if run_time is not None else self._mean_run.mean_s

    def cancel(self, ticket: AdmissionRequest) -> bool:
        """Take a request back that still waits; False if it was decided already."""
        if not ticket.waiting:
            return False
        ticket.waiting = False
        self._queue.remove(ticket)
        return True

    def release(self, ticket: AdmissionRequest, ran: bool) -> None:
        """Take in that a request no longer runs, and start those that wait.

        Parameters
        ----------
        ran
            Whether it ran to its end, so that its duration tells something.
        """
        self._running.remove(ticket)
        self._urgent.ended(ticket.priority, self._clock.now())
        if ran:
            self._learn(ticket)
        self._start_waiting()

    def _learn(self, ticket: AdmissionRequest) -> None:
        seconds = self.run_time_s(ticket)
        run_time = self._run_time_by_route.setdefault(ticket.route, RunTime())
        relative = seconds / max(run_time.mean_s, 0.001)
        knee, slots = self.local_instance.concurrency_limit, self.local_instance.slots
        above = knee.is_above(ticket.running_at_start, slots)
        if run_time.count:
            knee.add(relative, above)
        if not above or not run_time.count:
            run_time.add(run_time.clamp(seconds))
        self._mean_run.add(seconds)

    def run_time_s(self, ticket: AdmissionRequest) -> float:
        """Return the seconds that a run has taken so far, put to usual speed."""
        return (self._clock.now() - ticket.started_at) / max(ticket.slowdown_at_start, 1.0)

    def _start_waiting(self) -> None:
        now = self._clock.now()
        while self._queue and self.running < self.limit:
            ticket = min(self._queue, key=lambda one: self._turn(one, now))
            if not self._has_slot(ticket):
                return
            self._queue.remove(ticket)
            ticket.waiting = False
            # The host may have turned slow since the request came.
            if ticket.decline_if_slow and self.slowdown_estimator.surely_slow(now):
                ticket.on_decision(Verdict.SLOW)
            elif now + self.run_s(ticket.route) * LEAST_RUN_SHARE > ticket.deadline:
                ticket.on_decision(Verdict.TOO_LATE)
            else:
                self._start(ticket)

    def _start(self, ticket: AdmissionRequest) -> None:
        self._running.add(ticket)
        ticket.started_at = self._clock.now()
        self._urgent.started(ticket.priority, ticket.started_at)
        ticket.running_at_start = self.running
        ticket.slowdown_at_start = self.slowdown()
        ticket.on_decision(Verdict.RUN)
