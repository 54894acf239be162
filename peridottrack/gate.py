"""Admission control for the local instance. Performs no I/O.

The gate is the only place that knows exactly which requests run and wait at its instance. A request
starts at once while the instance is below its concurrency limit; otherwise it is queued, or refused
as not run when the forecast says that it cannot be answered in time.

Nodes know little of each other's requests, so several may choose the same instance at the same
time. Requests beyond its free capacity are declined, so that the sender tries another instance with
free capacity instead of queueing here.

In a burst beyond the instance's capacity, requests that can still meet their target go first among
those of the same priority, so that some requests are late instead of all. `sharing` decides the
order; where requests have accounts, also by their shares.

All requests of all nodes to an instance start here, so a rate limit that it names is enforced by
one count, and requests beyond it are queued, declined or refused like those beyond its slots. So is
the number of requests a second that it takes while it is cold (`peridottrack.coldlimit`).

An instance that resets connections at once looks idle, so it would draw the requests of its whole
service. It is ejected for a short time, and then gets one request at a time until it answers.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from peridottrack import log
from peridottrack.coldlimit import ColdLimit
from peridottrack.concurrencylimit import ConcurrencyLimit
from peridottrack.ejection import Ejection, EjectionState
from peridottrack.frames import GateLoad
from peridottrack.headernames import LoadFigures
from peridottrack.ratelimit import RateLimit, finite
from peridottrack.runtimes import RunTime
from peridottrack.sharing.standing import (
    Claimant,
    QueueKey,
    ShareReport,
    Shares,
    Standing,
    claimant_of,
    displaces,
    queue_key,
)
from peridottrack.slowdown import SLOWDOWN_THRESHOLD, SlowdownEstimator
from peridottrack.types import Clock, InstanceId, ServiceName
from peridottrack.urgentload import UrgentLoad

URGENT_HEADROOM = 1.5
"""Slots reserved for urgent requests, as a multiple of the slots they use on average."""
MIN_RUN_SHARE = 0.5
"""Queued requests start only if this share of their usual run time is left: runs vary."""
MAX_QUEUED_PER_SLOT = 3
"""Maximum number of queued requests per slot; bounds memory."""
START_WINDOW_S = 4.0
"""Time over which starts are counted for the log."""
EJECTION_MIN_S = 0.2
EJECTION_MAX_S = 1.6
"""Seconds of the first ejection, and of the longest in a row: such instances return in seconds."""
FAST_FAILURE_SHARE = 0.25
"""Share of the usual run time within which a broken connection counts towards an ejection. Later
ones may be answers that were lost after the work was done."""
STALL_SHARE = 0.5
"""Share of a request's time in which a start must have occurred; the rest suffices elsewhere."""
SHARE_REPORT_S = 5.0
"""Shortest time between two log lines on the shares."""
MAX_FIRST_RUNS = 4
"""Concurrent runs before the first response of an instance, which may name a rate limit."""


class GateState(Enum):
    """Whether the instance accepts requests."""

    ABSENT = "absent"
    OPEN = "open"
    LEAVING = "leaving"


class Verdict(Enum):
    """The gate's decision on a request."""

    RUN = "run"
    CLOSED = "closed"
    FULL = "full"
    TOO_LATE = "too_late"
    WRONG_INSTANCE = "wrong_instance"
    SLOW = "slow"
    BUSY = "busy"
    LIMITED = "limited"
    DISPLACED = "displaced"


SHORTAGE_VERDICTS = frozenset({Verdict.FULL, Verdict.TOO_LATE, Verdict.LIMITED, Verdict.DISPLACED})
"""Refusals for want of room, which count in the shares."""


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """A request at the gate.

    Parameters
    ----------
    target_at, deadline
        Times by the gate's clock after which a response has little value, or none.
    on_decision
        Called once with the verdict.
    decline_if_slow
        Whether to decline the request while the host is slow, as another instance is faster.
    decline_if_full
        Whether to decline the request instead of queueing it, as another instance has capacity.
    on_slow_start
        Called if a later load report shows that the run started in a slow period.
    running_at_start, slowdown_at_start
        Number of running requests with this one, and the expected slowdown, when it started.
    account, host
        Name of the client account that asks and of the calling host, empty if there is none.
    returned
        Whether the caller has been refused before.
    standing, claimant
        How it stands to its share, and the keys under which it is counted; set by the gate.
    queued
        Whether it waits for a slot.
    """

    route: str
    priority: int
    target_at: float
    deadline: float
    on_decision: Callable[[Verdict], None]
    decline_if_slow: bool = False
    decline_if_full: bool = False
    account: str = ""
    host: str = ""
    returned: bool = False
    on_slow_start: Callable[[], None] = lambda: None
    arrived_at: float = 0.0
    started_at: float = 0.0
    running_at_start: int = 0
    slowdown_at_start: float = 1.0
    standing: Standing = Standing.WITHIN
    claimant: Claimant = ()
    queued: bool = False


@dataclass(slots=True)
class LocalInstance:
    """State of the local instance as the gate knows it.

    Parameters
    ----------
    has_responded
        Whether a response of it was received, so that its rate limit is known.
    start_time
        When it started by its own report, 0 if unknown; tells apart incarnations with the same id.
    leaving
        Whether it has announced that it leaves.
    """

    rate_limit: RateLimit
    instance: InstanceId = InstanceId("")
    service: ServiceName = ServiceName("")
    slots: int = 0
    state: GateState = GateState.ABSENT
    warm_at: float = 0.0
    concurrency_limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    has_responded: bool = False
    start_time: int = 0
    leaving: bool = False


class Gate:
    """Admission control for one instance.

    Attributes
    ----------
    shares
        Who asked and who was served lately.
    on_change
        Called when the load report for other nodes changed; True if it must be sent at once.
    on_rate_wait
        Called with the seconds after which `start_queued` must be called, since requests wait for
        the rate limit.
    on_ejected
        Called with the seconds after which the instance must be probed, and `end_ejection` called.
    on_cold_check
        Called when the instance is to be asked whether it is cold; `record_warmup` gets the answer.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: list[AdmissionRequest] = []
        self._run_time_by_route: dict[str, RunTime] = {}
        self._overall_run_time = RunTime()
        self.slowdown_estimator = SlowdownEstimator()
        self._urgent_load = UrgentLoad()
        self.local_instance = LocalInstance(RateLimit(clock))
        self._running: set[AdmissionRequest] = set()
        self._started_at: deque[float] = deque()
        self._rate_limit_logged_at = 0.0
        self.shares = Shares(clock.now())
        self._shares_logged_at = clock.now()
        self._ejection = _new_ejection()
        self._running_before_trial = 0
        self.cold_limit = ColdLimit(clock)
        self._reported_cold = False
        self.stopping = False
        self.evacuated = False
        self.on_change: Callable[[bool], None] = lambda urgent: None
        self.on_rate_wait: Callable[[float], None] = lambda delay_s: None
        self.on_ejected: Callable[[float], None] = lambda delay_s: None
        self.on_cold_check: Callable[[], None] = lambda: None

    # -- the instance ------------------------------------------------------------------

    def open(
        self,
        instance: InstanceId,
        service: ServiceName,
        slots: int,
        warm_in_s: float,
        start_time: int = 0,
    ) -> None:
        """Accept requests for a ready instance; a new id discards the state of the previous one."""
        if instance != self.local_instance.instance:
            self.close(Verdict.WRONG_INSTANCE)
            if self.local_instance.instance:
                self.cold_limit.reset()
            self.local_instance = LocalInstance(RateLimit(self._clock), instance, service)
            self._ejection = _new_ejection()
        local = self.local_instance
        before = (local.state, local.slots, local.start_time)
        local.slots = slots
        local.start_time = start_time
        local.leaving = False
        local.state = GateState.OPEN
        local.warm_at = self._clock.now() + warm_in_s
        self.record_warmup(warm_in_s)
        if before != (local.state, local.slots, local.start_time):
            log.event("gate open", instance=instance, slots=slots, warm_in_s=warm_in_s)
            self.on_change(True)

    def leave(self) -> None:
        """Close the gate because the instance has announced that it leaves."""
        self.local_instance.leaving = True
        self.close()

    def close(self, verdict: Verdict = Verdict.CLOSED) -> None:
        """Stop starting requests on the instance and refuse the queued ones with ``verdict``."""
        if self.local_instance.state is GateState.OPEN:
            self.local_instance.state = GateState.LEAVING
            log.event(
                "gate closed",
                instance=self.local_instance.instance,
                running=self.running,
                waiting=self.waiting,
            )
        self._refuse_queued(verdict)
        self.on_change(True)

    def set_evacuated(self, evacuated: bool) -> None:
        """Start nothing more while operators want the failure domain empty; what runs ends."""
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        if self.local_instance.instance:
            log.event(
                "gate evacuated" if evacuated else "gate taken back",
                instance=self.local_instance.instance,
                running=self.running,
                waiting=self.waiting,
            )
        self._refuse_queued(Verdict.CLOSED)
        self.on_change(True)

    def _refuse_queued(self, verdict: Verdict) -> None:
        waiting, self._queue = self._queue, []
        for request in waiting:
            request.queued = False
            request.on_decision(verdict)

    def record_broken(self, request: AdmissionRequest) -> None:
        """Record that the new connection of a running request ended without a response.

        Kept connections end for many other reasons, such as bytes that belong to no request.
        """
        run_s = self._clock.now() - request.started_at
        if run_s >= FAST_FAILURE_SHARE * self.run_s(request.route):
            return
        if self._ejection.record_failure() and self._ejection.state is not EjectionState.EJECTED:
            self._eject()

    def record_answered(self) -> None:
        """Record that the instance has answered a request."""
        before = self._ejection.state
        self._ejection.record_success()
        if self._ejection.state is not before:
            log.event("instance returned", instance=self.local_instance.instance)
            self.on_change(True)

    def _eject(self) -> None:
        now = self._clock.now()
        self._ejection.eject(now)
        pause_s = self._ejection.until - now
        log.event(
            "instance ejected",
            instance=self.local_instance.instance,
            pause_s=round(pause_s, 3),
            running=self.running,
            waiting=self.waiting,
        )
        self._refuse_queued(Verdict.CLOSED)
        self.on_change(True)
        self.on_ejected(pause_s)

    def end_ejection(self, responds: bool) -> None:
        """Accept one request at a time again if the instance responds, else eject it for longer."""
        if self._ejection.state is not EjectionState.EJECTED:
            return
        if not responds:
            self._eject()
        elif self._ejection.allows(max(self._clock.now(), self._ejection.until)):
            self._running_before_trial = self.running
            self.on_change(True)

    @property
    def is_open(self) -> bool:
        """Whether new requests are accepted."""
        return (
            self.local_instance.state is GateState.OPEN
            and not self.stopping
            and not self.evacuated
            and self._ejection.state is not EjectionState.EJECTED
        )

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def is_running(self, request: AdmissionRequest) -> bool:
        """Return whether a request has a slot."""
        return request in self._running

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Maximum number of concurrently running requests."""
        limit = self.local_instance.concurrency_limit.limit(self.local_instance.slots)
        if self._ejection.state is EjectionState.TRIAL:
            return min(limit, self._running_before_trial + 1)
        return limit

    def record_load(self, figures: LoadFigures) -> None:
        """Record a load report of the instance, with its number of slots."""
        previous_report_at = self.slowdown_estimator.received_at
        state_changed = self.slowdown_estimator.record(figures.slowdown, self._clock.now())
        if figures.slots and figures.slots != self.local_instance.slots:
            self.local_instance.slots = figures.slots
        if state_changed:
            self.on_change(True)
        if state_changed and figures.slowdown >= SLOWDOWN_THRESHOLD:
            # The slow period began between the previous report and this one, so runs that started
            # after the previous report may be slow.
            for request in self._running:
                if request.started_at > previous_report_at:
                    request.on_slow_start()

    def record_rate_limit(self, per_s: float) -> None:
        """Record the rate limit that a response of the instance names, infinite for none."""
        rate_limit = self.local_instance.rate_limit
        before = rate_limit.per_s
        rate_limit.set(per_s)
        now = self._clock.now()
        logged_s = now - self._rate_limit_logged_at
        if per_s != before or (math.isfinite(per_s) and logged_s >= START_WINDOW_S):
            self._rate_limit_logged_at = now
            log.event(
                "rate limit",
                instance=self.local_instance.instance,
                per_s=finite(per_s),
                previous_per_s=finite(before),
                started=self._recently_started(now),
            )
        if per_s != before:
            self.on_change(True)
        if per_s != before or not self.local_instance.has_responded:
            self.local_instance.has_responded = True
            self.start_queued()

    def set_cold_limit(self, per_s: float) -> None:
        """Set the requests a second that instances of the service take while cold."""
        self.cold_limit.set_limit(per_s)
        self.update_cold()

    def record_warmup(self, warm_in_s: float) -> None:
        """Record for how long the instance says that it stays cold, 0 if it is warm."""
        self.cold_limit.record_warmup(warm_in_s)
        self.update_cold()

    def update_cold(self) -> None:
        """Log and report to other nodes that a limit for a cold instance begins or ends."""
        limit = self.cold_limit
        if limit.limited == self._reported_cold:
            return
        self._reported_cold = limit.limited
        instance = self.local_instance.instance
        if limit.limited:
            log.event(
                "instance cold",
                instance=instance,
                warm_in_s=round(limit.cold_until - self._clock.now(), 3),
                per_s=limit.per_s,
                started=limit.recent_starts,
            )
        else:
            log.event("instance warm", instance=instance, started=limit.recent_starts)
        self.on_change(True)
        self.start_queued()

    def _recently_started(self, now: float) -> int:
        while self._started_at and now - self._started_at[0] > START_WINDOW_S:
            self._started_at.popleft()
        return len(self._started_at)

    def slowdown(self) -> float:
        """Return the expected slowdown factor of work that starts now."""
        return self.slowdown_estimator.expected(self._clock.now())

    def load(self) -> GateLoad:
        """Return the load report for other nodes."""
        now = self._clock.now()
        local = self.local_instance
        rate = min(local.rate_limit.per_s, self.cold_limit.rate)
        return GateLoad(
            local.instance,
            local.service,
            self.is_open,
            local.slots,
            self.limit,
            self.running,
            self.waiting,
            self.slowdown_estimator.last,
            min(now - self.slowdown_estimator.received_at, 60.0),
            now < local.warm_at or self.cold_limit.limited,
            self.slowdown_estimator.mean,
            self.slowdown_estimator.slow_period_s,
            rate,
            self._admissible() - self.waiting if math.isfinite(rate) else 0.0,
            local.start_time,
            local.leaving,
        )

    # -- requests ----------------------------------------------------------------------

    def submit(
        self, request: AdmissionRequest, instance: InstanceId, host_unresponsive: bool = False
    ) -> None:
        """Start, queue or refuse a request; ``on_decision`` is called now or later.

        Parameters
        ----------
        host_unresponsive
            Whether a probe of the instance has just timed out, which indicates a slow host.
        """
        request.arrived_at = self._clock.now()
        declined = self._decline(request, instance, host_unresponsive)
        if declined is not None:
            request.on_decision(declined)
            return
        request.claimant = claimant_of(request.account, request.route, request.host)
        request.standing = self.shares.ask(request.claimant, request.arrived_at)
        if self._may_start(request):
            self._start(request)
        elif (shortage := self._shortage(request)) is not None:
            self._refuse(request, shortage)
        else:
            request.queued = True
            self._queue.append(request)
            if self._has_slot(request):
                self._schedule_start()
            else:
                self.local_instance.concurrency_limit.record_queued(request.arrived_at)

    def _decline(
        self, request: AdmissionRequest, instance: InstanceId, host_unresponsive: bool
    ) -> Verdict | None:
        if not self.is_open:
            return Verdict.CLOSED
        if instance != self.local_instance.instance:
            return Verdict.WRONG_INSTANCE
        slow = host_unresponsive or self.slowdown_estimator.is_slow(request.arrived_at)
        if request.decline_if_slow and slow:
            return Verdict.SLOW
        if request.decline_if_full and not self._may_start(request):
            return Verdict.BUSY
        return None

    def _shortage(self, request: AdmissionRequest) -> Verdict | None:
        """Return why a request cannot wait here, None if it can; it may displace a queued one."""
        last = None
        if self.waiting >= MAX_QUEUED_PER_SLOT * self.local_instance.slots:
            last = self._displaceable(request)
            if last is None:
                return Verdict.FULL
        expected_at = request.arrived_at + self.forecast_s(request)
        misses_target = expected_at > request.target_at
        if expected_at > request.deadline or (
            misses_target
            and request.standing is not Standing.STARVED
            and self._count_late() >= self._usable_concurrency()
        ):
            return Verdict.LIMITED if self._has_slot(request) else Verdict.TOO_LATE
        if last is not None:
            self.shares.report.displaced += 1
            self._remove(last)
            self._refuse(last, Verdict.DISPLACED)
        return None

    def _displaceable(self, request: AdmissionRequest) -> AdmissionRequest | None:
        """Return the last queued request if a newcomer takes its place."""
        if not self.shares.active or not self._queue:
            return None
        key = self._order(request.arrived_at)
        last = max(reversed(self._queue), key=key)
        return last if displaces(key(request), key(last)) else None

    def _refuse(self, request: AdmissionRequest, verdict: Verdict) -> None:
        now = self._clock.now()
        if verdict in SHORTAGE_VERDICTS:
            self.shares.settle(request.claimant, False, request.returned, now)
            self._log_shares(now)
        request.on_decision(verdict)

    def _log_shares(self, now: float) -> None:
        report = self.shares.report
        if report.empty or now - self._shares_logged_at < SHARE_REPORT_S:
            return
        self.shares.report, self._shares_logged_at = ShareReport(), now
        log.event(
            "room shared",
            instance=self.local_instance.instance,
            starved=report.starved,
            above=report.above,
            displaced=report.displaced,
            largest=self.shares.largest_accounts(now),
        )

    def _may_start(self, request: AdmissionRequest) -> bool:
        return self._has_slot(request) and self._admissible() >= 1.0

    def _admissible(self) -> float:
        """Return the number of requests that the limits of the instance admit now."""
        return min(self.local_instance.rate_limit.available(), self.cold_limit.available())

    def _rate_wait_s(self, waiting: int) -> float:
        """Return the seconds until these limits admit a request behind ``waiting`` others."""
        rate_limit = self.local_instance.rate_limit
        return max(rate_limit.wait_s(waiting), self.cold_limit.wait_s(waiting))

    def _usable_concurrency(self) -> float:
        """Return the number of runs that the slots and the rate limit keep in progress."""
        per_s = min(self.local_instance.rate_limit.per_s, self.cold_limit.rate)
        # Little's law; an unlimited rate gives an infinite number.
        by_rate = max(1.0, per_s * self._overall_run_time.mean_s)
        return min(float(self.limit), by_rate)

    def _has_slot(self, request: AdmissionRequest) -> bool:
        """Return whether a request may start now.

        Requests of the least urgent priority leave slots free for more urgent ones. These are
        typically calls that running requests make: short, and awaited by many of them.
        """
        if self.running >= self.limit:
            return False
        if not self.local_instance.has_responded and self.running >= MAX_FIRST_RUNS:
            return False
        if request.priority <= self._urgent_load.max_urgent_priority:
            return True
        reserved = min(self._urgent_load.mean(self._clock.now()) * URGENT_HEADROOM, self.limit / 2)
        return self.running - self._urgent_load.running < self.limit - reserved

    def _count_late(self) -> int:
        """Return the number of queued requests that will miss their target."""
        now, slowdown = self._clock.now(), self.slowdown()
        return sum(
            now + self.run_s(request.route) * slowdown > request.target_at
            for request in self._queue
        )

    def _order(self, now: float) -> Callable[[AdmissionRequest], QueueKey]:
        """Return the function that gives the queue's sort keys at a time."""
        slowdown, active = self.slowdown(), self.shares.active

        def key(request: AdmissionRequest) -> QueueKey:
            late = now + self.run_s(request.route) * slowdown > request.target_at
            due_at = request.deadline if late else request.target_at
            returned = request.returned and active
            return queue_key(request.standing, request.priority, late, returned, due_at)

        return key

    def forecast_s(self, request: AdmissionRequest) -> float:
        """Return the expected waiting and run time in seconds of a request queued now."""
        now = self._clock.now()
        key = self._order(now)
        own_key = key(request)
        ahead = sum(key(other) <= own_key for other in self._queue)
        slowdown = self.slowdown()
        wait_s = (ahead + 1) * self._overall_run_time.mean_s * slowdown / max(self.limit, 1)
        wait_s = max(wait_s, self._rate_wait_s(ahead))
        return wait_s + self.run_s(request.route) * slowdown

    def run_s(self, route: str) -> float:
        """Return the usual run time of a route."""
        run_time = self._run_time_by_route.get(route)
        return run_time.mean_s if run_time is not None else self._overall_run_time.mean_s

    def latest_start(self, request: AdmissionRequest) -> float:
        """Return the time after which a queued request can no longer be answered in time."""
        return request.deadline - self.run_s(request.route) * MIN_RUN_SHARE

    def cancel(self, request: AdmissionRequest) -> bool:
        """Remove a queued request; return False if its verdict was already given."""
        if not request.queued:
            return False
        self._remove(request)
        now = self._clock.now()
        if now >= request.deadline:
            self.shares.settle(request.claimant, False, request.returned, now)
        return True

    def _remove(self, request: AdmissionRequest) -> None:
        request.queued = False
        self._queue.remove(request)

    def release(self, request: AdmissionRequest, ran: bool) -> None:
        """Record that a request no longer runs, and start queued requests.

        Parameters
        ----------
        ran
            Whether it ran to completion, so that its duration is a valid sample.
        """
        self._running.remove(request)
        self._urgent_load.ended(request.priority, self._clock.now())
        if ran:
            self.local_instance.has_responded = True
            self._record_run(request)
        self.start_queued()

    def _record_run(self, request: AdmissionRequest) -> None:
        seconds = self.normalized_run_s(request)
        run_time = self._run_time_by_route.setdefault(request.route, RunTime())
        relative = seconds / max(run_time.mean_s, 0.001)
        limit, slots = self.local_instance.concurrency_limit, self.local_instance.slots
        above = limit.exceeds_initial(request.running_at_start, slots)
        if run_time.count:
            limit.add(relative, above)
        if not above or not run_time.count:
            run_time.add(run_time.clamp(seconds))
        self._overall_run_time.add(seconds)

    def normalized_run_s(self, request: AdmissionRequest) -> float:
        """Return the run time so far, divided by the slowdown expected at its start if above 1."""
        return (self._clock.now() - request.started_at) / max(request.slowdown_at_start, 1.0)

    def start_queued(self) -> None:
        """Start the queued requests that the slots and the rate limit allow now."""
        now = self._clock.now()
        while self._queue and self.running < self.limit:
            request = self._next_queued(now)
            if not self._may_start(request):
                if self._has_slot(request):
                    self._schedule_start()
                break
            self._remove(request)
            # The host may have become slow since the request arrived.
            if request.decline_if_slow and self.slowdown_estimator.is_slow(now):
                request.on_decision(Verdict.SLOW)
            elif now > self.latest_start(request):
                self._refuse(request, Verdict.TOO_LATE)
            else:
                self._start(request)
        if self._queue and self.shares.active:
            self._refuse_hopeless(now)

    def _next_queued(self, now: float) -> AdmissionRequest:
        """Return the first request of the queue, or the first that has a slot, if there is one."""
        key = self._order(now)
        first = min(self._queue, key=key)
        if self._has_slot(first) or not self.shares.active:
            return first
        # A starved request goes first, but only urgent ones may use the reserved slots.
        with_slot = [queued for queued in self._queue if self._has_slot(queued)]
        return min(with_slot, key=key, default=first)

    def _refuse_hopeless(self, now: float) -> None:
        """Refuse queued requests that others have passed by until no time is left for them."""
        mean_s = self._overall_run_time.mean_s / max(self.limit, 1)
        ahead = 0
        for request in sorted(self._queue, key=self._order(now)):
            wait_s = max(ahead * mean_s, self._rate_wait_s(ahead))
            if now + wait_s > self.latest_start(request):
                self._remove(request)
                self._refuse(request, Verdict.TOO_LATE)
            else:
                ahead += 1

    def refuse_stalled(self) -> None:
        """Refuse queued requests in whose time too little has moved: another instance may be sound.

        An instance that hangs ends no run, and the forecasts of its queue are not checked again.
        """
        if not self.shares.active:
            return
        now = self._clock.now()
        last_start_at = self._started_at[-1] if self._started_at else 0.0
        for request in list(self._queue):
            still_s = now - max(request.arrived_at, last_start_at)
            if still_s > STALL_SHARE * (request.deadline - request.arrived_at):
                self._remove(request)
                self._refuse(request, Verdict.TOO_LATE)

    def _schedule_start(self) -> None:
        """Request a call of `start_queued` for when the rate limit admits a request."""
        self.on_rate_wait(self._rate_wait_s(0))

    def _start(self, request: AdmissionRequest) -> None:
        self.local_instance.rate_limit.take()
        self.cold_limit.record_start()
        self._running.add(request)
        request.started_at = self._clock.now()
        self._started_at.append(request.started_at)
        self._recently_started(request.started_at)
        self.shares.settle(request.claimant, True, request.returned, request.started_at)
        self._urgent_load.started(request.priority, request.started_at)
        request.running_at_start = self.running
        request.slowdown_at_start = self.slowdown()
        request.on_decision(Verdict.RUN)
        if self.cold_limit.needs_check():
            self.on_cold_check()


def _new_ejection() -> Ejection:
    return Ejection(random.Random(), EJECTION_MIN_S, EJECTION_MAX_S)
