"""Instance selection: which instance of a service gets a request, and when to hedge it.

Performs no I/O. Time and random numbers are passed in, so that the module can be embedded and
tests can replay it. One `Balancer` serves one service in one node.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterable
from enum import Enum

from peridottrack import log
from peridottrack.document import ServiceConfig
from peridottrack.ejection import EjectionState, ejections_allowed
from peridottrack.instanceheaders import InstanceHeaders
from peridottrack.instanceview import (
    Attempt,
    InstanceView,
    LatencyWindow,
    Rate,
    ReportedSlowness,
    new_view,
)
from peridottrack.ratelimit import finite, token_wait_s
from peridottrack.retry import RetryBudget
from peridottrack.types import Clock, FailureDomain, Instance, InstanceId, InstanceState, Random

CANDIDATE_COUNT = 4
"""Instances sampled at random for each choice; the cheapest of them is chosen."""
DEFAULT_LATENCY_S = 0.02
"""Assumed median latency before there are enough samples."""
STRAGGLER_FACTOR = 4.0
"""An instance is ejected if its latency exceeds the median of its peers by this factor."""
AVOID_SLOW_MAX_LOAD = 1.2
"""Slow instances are avoided only while the load (see `Balancer.load`) on the others is lower."""
HEDGE_REDUCE_LOAD = 0.55
"""Load above which the hedge delay grows."""
HEDGE_STOP_LOAD = 0.85
"""Load from which no hedges are sent."""
SLOWNESS_MIN_LATENCY_S = 0.008
"""Services with a lower median latency ignore slowness reports."""
IN_FLIGHT_WEIGHT = 1.0
"""Weight, in the cost of an instance, of this node's requests in flight per slot of its share."""
OVERDUE_FACTOR = 2.0
"""A request in flight is overdue after this many median latencies."""
CENSORED_FACTOR = 2.0
"""A cancelled attempt counts as this many times the time that it had run."""
LEAVING_S = 30.0
"""Seconds for which an instance gets no calls after it said that it leaves; by then it is gone, or
an instance that has started again under its id says so no more."""
COLD_START_SHARE = 0.1
"""Share of the concurrency limit at which the ramp-up of a cold instance starts."""


class AttemptResult(Enum):
    """How an attempt on an instance ended."""

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


# Results that count as a failure of the instance.
FAILURES = frozenset({AttemptResult.ERROR, AttemptResult.UNREACHABLE, AttemptResult.TIMEOUT})


class Balancer:
    """Chooses instances of one service.

    Parameters
    ----------
    config
        The service's limits in the document.
    distance_s
        Returns how many seconds longer a call to a failure domain takes than one within the
        node's own domain.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        config: ServiceConfig,
        distance_s: Callable[[FailureDomain], float] = lambda domain: 0.0,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._distance_s = distance_s
        self._attempt_numbers = itertools.count(1)
        self._rate = Rate()
        self.config = config
        self.callers = 1
        self.budget = RetryBudget(config.retry_share, config.hedge_share)
        self.latencies = LatencyWindow()
        self.view_by_id: dict[InstanceId, InstanceView] = {}

    def set_config(self, config: ServiceConfig) -> None:
        """Apply changed limits."""
        self.config = config
        self.budget.share = config.retry_share
        self.budget.hedge_limit.share = config.hedge_share

    def set_instances(self, instances: Iterable[Instance], callers: int) -> None:
        """Replace the instances to choose from, and the number of nodes that call them."""
        self.callers = max(1, callers)
        had_instances = bool(self.view_by_id)
        views: dict[InstanceId, InstanceView] = {}
        for instance in instances:
            view = self.view_by_id.get(instance.instance_id)
            if view is None:
                # At node start all instances are new to this node, which does not make them cold.
                cold = had_instances or instance.state is InstanceState.COLD
                view = new_view(instance, self.callers, self._clock, cold, self._rng)
            view.instance = instance
            view.limit.set_share(instance.slots, instance.connections, self.callers)
            view.set_rate_limit(view.named_rate_limit, self.callers)
            views[instance.instance_id] = view
        self.view_by_id = views

    def load(self) -> float:
        """Return the estimated load: the slots that all nodes use, as a share of those that exist.

        Above 1 the calls need more slots than the service has.
        """
        return self._load_on(self.view_by_id.values(), self._clock.now())

    def median_latency_s(self) -> float:
        """Return the median latency of the service, or a default before there are samples."""
        return self.latencies.quantile(0.5) or DEFAULT_LATENCY_S

    def begin(self, exclude: Collection[InstanceId] = ()) -> Attempt | None:
        """Choose an instance and count an attempt on it; None if none has free capacity."""
        now = self._clock.now()
        usable = [
            view
            for view in self.view_by_id.values()
            if view.instance.instance_id not in exclude and self._has_capacity(view, now)
        ]
        if not usable:
            return None
        view = self._cheapest(self._sample(usable), now)
        attempt = Attempt(next(self._attempt_numbers), view, now)
        view.in_flight += 1
        view.rate_limit.take()
        view.used_since_report = True
        view.attempt_by_number[attempt.number] = attempt
        view.ejection.record_start()
        return attempt

    def end(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record how an attempt ended."""
        now = self._clock.now()
        view = attempt.view
        if view.attempt_by_number.pop(attempt.number, None) is None:
            return
        latency_s = now - attempt.started_at
        if result is AttemptResult.OK:
            self._succeeded(view, latency_s, now)
        elif result is AttemptResult.SHED:
            view.limit.record_shed(now)
            view.ejection.record_inconclusive()
            view.pause_after_shed(self.median_latency_s(), now, self._rng)
        elif result in FAILURES:
            self._failed(view, now)
        else:
            self._cancelled(view, latency_s, now)
        view.in_flight -= 1

    def hedge_after_s(self) -> float | None:
        """Return the delay after which to send a hedge, None to send none.

        The delay grows with load, so that fewer requests are hedged. Near overload none are
        hedged.
        """
        load = self.load()
        if load >= HEDGE_STOP_LOAD or len(self.view_by_id) < 2:
            return None
        wait_s = self.latencies.tail_latency_s()
        if wait_s is None:
            return None
        if load > HEDGE_REDUCE_LOAD:
            wait_s *= 1.0 + (load - HEDGE_REDUCE_LOAD) / (HEDGE_STOP_LOAD - HEDGE_REDUCE_LOAD)
        return wait_s

    def may_hedge(self, tried: Collection[InstanceId]) -> bool:
        """Take a hedge from the budget if an instance not tried yet can serve it."""
        if self.load() >= HEDGE_STOP_LOAD:
            return False
        now = self._clock.now()
        urgent = any(
            view.slowness.factor_at(now) > 1.0
            for instance_id, view in self.view_by_id.items()
            if instance_id in tried
        )
        others = (
            view
            for view in self.view_by_id.values()
            if view.instance.instance_id not in tried and self._has_capacity(view, now)
        )
        # A hedge on an instance known to be slow would not finish first.
        if not any(view.slowness.factor_at(now) <= 1.0 for view in others):
            return False
        return self.budget.take_hedge(urgent)

    def record_slowness(self, instance: InstanceId, report: ReportedSlowness) -> None:
        """Record a report that an instance is slow, or runs at normal speed again."""
        view = self.view_by_id.get(instance)
        if view is None or report.since < view.slowness.since:
            return
        was_slow = view.slowness.factor_at(report.since) > 1.0
        view.slowness = report
        if not was_slow and report.factor > 1.0:
            self._notify_slow_attempts(view, report)

    def record_load(self, instance: InstanceId, others_in_flight: float) -> None:
        """Record how many requests of other nodes an instance has in flight."""
        view = self.view_by_id.get(instance)
        if view is not None:
            view.others_in_flight = max(0.0, others_in_flight)
            view.others_at = self._clock.now()

    def record_statements(self, instance: InstanceId, stated: InstanceHeaders) -> None:
        """Record what an instance says of itself in a response."""
        view = self.view_by_id.get(instance)
        if view is None:
            return
        if stated.rate_limit is not None and stated.rate_limit != view.named_rate_limit:
            log.event("upstream limited", instance=instance, per_s=finite(stated.rate_limit))
            view.set_rate_limit(stated.rate_limit, self.callers)
        now = self._clock.now()
        if stated.leaving and now >= view.leaving_until:
            log.event("upstream leaving", instance=instance)
            view.leaving_until = now + LEAVING_S

    def all_leave(self) -> bool:
        """Return whether all instances have said that they leave."""
        now = self._clock.now()
        return all(now < view.leaving_until for view in self.view_by_id.values())

    def rate_wait_s(self, waiting: int) -> float:
        """Return the seconds until the rate limits admit a call behind ``waiting`` others."""
        limits = [view.rate_limit for view in self.view_by_id.values()]
        if not limits or not all(limit.limited for limit in limits):
            return 0.0
        available = sum(limit.available() for limit in limits)
        return token_wait_s(available - waiting, sum(limit.per_s for limit in limits))

    def ejected(self) -> list[InstanceId]:
        """Return the instances that are ejected or on trial."""
        return [
            view.instance.instance_id
            for view in self.view_by_id.values()
            if view.ejection.state is not EjectionState.ACTIVE
        ]

    def _notify_slow_attempts(self, view: InstanceView, report: ReportedSlowness) -> None:
        """Call `on_slow` of the attempts that a hedge is likely to overtake.

        The most recent come first, since they have the most work left and the hedge budget may
        run out. An attempt that is nearly done would gain nothing.
        """
        median_s = self.median_latency_s()
        if median_s < SLOWNESS_MIN_LATENCY_S:
            return
        oldest_start = report.since - median_s * (1.0 - 1.0 / report.factor)
        for attempt in reversed(list(view.attempt_by_number.values())):
            if attempt.started_at < oldest_start:
                return
            if attempt.on_slow is not None:
                attempt.on_slow()

    def _has_capacity(self, view: InstanceView, now: float) -> bool:
        if now < view.leaving_until or view.rate_limit.available() < 1.0:
            return False
        if now < view.paused_until or not view.ejection.allows(now):
            return False
        return view.in_flight < self._effective_limit(view, now)

    def _effective_limit(self, view: InstanceView, now: float) -> float:
        limit = view.limit.limit
        if not view.cold or self.config.ramp_s <= 0:
            return limit
        ramp_share = COLD_START_SHARE + (now - view.added_at) / self.config.ramp_s
        if ramp_share >= 1.0:
            view.cold = False
            return limit
        return max(1.0, limit * ramp_share)

    def _sample(self, usable: list[InstanceView]) -> list[InstanceView]:
        if len(usable) <= CANDIDATE_COUNT:
            return usable
        chosen = []
        rest = list(usable)
        for _ in range(CANDIDATE_COUNT):
            chosen.append(rest.pop(self._rng.randrange(len(rest))))
        return chosen

    def _cheapest(self, views: list[InstanceView], now: float) -> InstanceView:
        median_s = self.median_latency_s()
        avoid_slow = self._avoids_slow(median_s, now)
        best = views[0]
        best_cost = float("inf")
        for view in views:
            cost = self._cost(view, median_s, avoid_slow, now)
            # Random noise breaks ties, so that nodes do not all choose the same instance.
            cost *= 1.0 + 0.02 * self._rng.random()
            if cost < best_cost:
                best, best_cost = view, cost
        return best

    def _cost(self, view: InstanceView, median_s: float, avoid_slow: bool, now: float) -> float:
        expected_s = view.latency_estimate_s(median_s, now)
        oldest_s = view.oldest_age_s(now)
        if oldest_s > OVERDUE_FACTOR * median_s:
            # An overdue request shows that the instance is slow before its response arrives.
            expected_s = max(expected_s, oldest_s)
        if avoid_slow:
            expected_s = max(expected_s, median_s * view.slowness.factor_at(now))
        slots = view.instance.slots
        share = max(1.0, slots / self.callers)
        busy = view.in_flight / share
        waiting = max(0.0, view.total_in_flight(now) + 1.0 - slots) / slots
        cost = expected_s * (1.0 + IN_FLIGHT_WEIGHT * busy + waiting)
        return cost + self._distance_s(view.instance.domain)

    def _avoids_slow(self, median_s: float, now: float) -> bool:
        if median_s < SLOWNESS_MIN_LATENCY_S:
            # A report arrives later than such short requests end, so acting on it is too late.
            return False
        healthy = [view for view in self.view_by_id.values() if view.slowness.factor_at(now) <= 1.0]
        if len(healthy) == len(self.view_by_id):
            return False
        return bool(healthy) and self._load_on(healthy, now) < AVOID_SLOW_MAX_LOAD

    def _load_on(self, views: Iterable[InstanceView], now: float) -> float:
        slots = sum(
            view.instance.slots for view in views if view.ejection.state is EjectionState.ACTIVE
        )
        if not slots:
            return 1.0
        # Calls per second times seconds per call is the number of slots in use (Little's law).
        # Unlike the number in flight, the median does not rise with each slow period.
        return self._rate.per_s(now) * self.median_latency_s() * self.callers / slots

    def _succeeded(self, view: InstanceView, latency_s: float, now: float) -> None:
        if view.ejection.state is EjectionState.TRIAL:
            # Latency from before the ejection must not decide whether the instance returns.
            view.latency_s = None
        view.record_latency(latency_s, now)
        view.limit.record_success(view.in_flight)
        self.latencies.add(latency_s)
        self._rate.add(now)
        if self._is_straggler(view, now):
            self._eject_within_limit(view, now)
        else:
            view.ejection.record_success()

    def _failed(self, view: InstanceView, now: float) -> None:
        if view.ejection.record_failure():
            self._eject_within_limit(view, now)

    def _cancelled(self, view: InstanceView, latency_s: float, now: float) -> None:
        view.ejection.record_inconclusive()
        # A censored sample: the latency would have been longer by an unknown amount, so it counts
        # as twice the time observed.
        at_least_s = CENSORED_FACTOR * latency_s
        if latency_s > self.median_latency_s() and at_least_s > (view.latency_s or 0.0):
            view.record_latency(at_least_s, now)
            if self._is_straggler(view, now):
                self._eject_within_limit(view, now)

    def _is_straggler(self, view: InstanceView, now: float) -> bool:
        if view.slowness.factor_at(now) > 1.0 or view.latency_s is None:
            return False
        peers = sorted(
            other.latency_s
            for other in self.view_by_id.values()
            if other is not view and other.latency_s is not None
        )
        if not peers:
            return False
        return view.latency_s > STRAGGLER_FACTOR * peers[len(peers) // 2]

    def _eject_within_limit(self, view: InstanceView, now: float) -> None:
        ejected_count = sum(
            other.ejection.state is not EjectionState.ACTIVE
            for other in self.view_by_id.values()
            if other is not view
        )
        if ejected_count < ejections_allowed(len(self.view_by_id), self.config.set_aside_share):
            view.ejection.eject(now)
