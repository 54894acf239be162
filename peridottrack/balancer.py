"""The decision core: which instance gets a request, and when a second one is worth sending.

It does no I/O. Time and random numbers are passed in, so that others can embed it and tests can
replay it. One `Balancer` serves one service in one node.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterable
from enum import Enum

from peridottrack.document import ServiceConfig
from peridottrack.ejection import EjectionState, ejections_allowed
from peridottrack.instanceview import (
    Attempt,
    InstanceView,
    LatencyWindow,
    Rate,
    ReportedSlowness,
    new_view,
)
from peridottrack.retry import RetryBudget
from peridottrack.types import Clock, FailureDomain, Instance, InstanceId, InstanceState, Random

CANDIDATES = 4
USUAL_LATENCY_S = 0.02
STRAGGLER_FACTOR = 4.0
AVOID_LOAD = 1.2
HEDGE_LOAD_FULL = 0.55
HEDGE_LOAD_NONE = 0.85
NEWS_MIN_SERVICE_S = 0.008
QUEUE_WEIGHT = 1.0
OLD_FACTOR = 2.0
CENSORED_FACTOR = 2.0
COLD_START_SHARE = 0.1


class AttemptResult(Enum):
    """How an attempt on an instance ended."""

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


# Results that speak against the instance.
FAILURES = frozenset({AttemptResult.ERROR, AttemptResult.UNREACHABLE, AttemptResult.TIMEOUT})


class Balancer:
    """Chooses instances of one service.

    Parameters
    ----------
    part
        The service's limits in the document.
    distance_s
        Returns the seconds that a call to a failure domain takes longer than one within the own.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        part: ServiceConfig,
        distance_s: Callable[[FailureDomain], float] = lambda domain: 0.0,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._distance_s = distance_s
        self._numbers = itertools.count(1)
        self._rate = Rate()
        self.part = part
        self.callers = 1
        self.budget = RetryBudget(part.retry_share, part.hedge_share)
        self.latencies = LatencyWindow()
        self.view_by_id: dict[InstanceId, InstanceView] = {}

    def set_part(self, part: ServiceConfig) -> None:
        """Take in changed limits."""
        self.part = part
        self.budget.share = part.retry_share
        self.budget.hedge_share = part.hedge_share

    def set_instances(self, instances: Iterable[Instance], callers: int) -> None:
        """Take in the instances that may get calls, and how many nodes share them."""
        now = self._clock.now()
        self.callers = max(1, callers)
        known = bool(self.view_by_id)
        fresh: dict[InstanceId, InstanceView] = {}
        for instance in instances:
            view = self.view_by_id.get(instance.instance_id)
            if view is None:
                # All instances are new to a node that just started; that makes none cold.
                cold = known or instance.state is InstanceState.COLD
                view = new_view(instance, self.callers, now, cold, self._rng)
            view.instance = instance
            view.limit.set_share(instance.slots, instance.connections, self.callers)
            fresh[instance.instance_id] = view
        self.view_by_id = fresh

    def load(self) -> float:
        """Return the estimated share of the service's slots in use, by all callers."""
        return self._load_over(self.view_by_id.values(), self._clock.now())

    def median_latency_s(self) -> float:
        """Return the median latency of the service."""
        return self.latencies.quantile(0.5) or USUAL_LATENCY_S

    def begin(self, exclude: Collection[InstanceId] = ()) -> Attempt | None:
        """Choose an instance and count a request on it; None if none has room."""
        now = self._clock.now()
        usable = [
            view
            for view in self.view_by_id.values()
            if view.instance.instance_id not in exclude and self._has_room(view, now)
        ]
        if not usable:
            return None
        view = self._cheapest(self._sample(usable), now)
        attempt = Attempt(next(self._numbers), view, now)
        view.in_flight += 1
        view.used_since_report = True
        view.attempt_by_number[attempt.number] = attempt
        view.ejection.record_start()
        return attempt

    def end(self, attempt: Attempt, result: AttemptResult) -> None:
        """Take in how an attempt ended."""
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
        """Return when a second request is worth sending, None if it is not.

        The share of hedges shrinks as load rises, and there are none near overload.
        """
        load = self.load()
        if load >= HEDGE_LOAD_NONE or len(self.view_by_id) < 2:
            return None
        wait_s = self.latencies.tail_latency_s()
        if wait_s is None:
            return None
        if load > HEDGE_LOAD_FULL:
            wait_s *= 1.0 + (load - HEDGE_LOAD_FULL) / (HEDGE_LOAD_NONE - HEDGE_LOAD_FULL)
        return wait_s

    def may_hedge(self, tried: Collection[InstanceId]) -> bool:
        """Ask to send a second request now, to an instance not tried yet."""
        if self.load() >= HEDGE_LOAD_NONE:
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
            if view.instance.instance_id not in tried and self._has_room(view, now)
        )
        # An instance known to be slow would not answer first.
        if not any(view.slowness.factor_at(now) <= 1.0 for view in others):
            return False
        return self.budget.take_hedge(urgent)

    def record_slowness(self, instance: InstanceId, news: ReportedSlowness) -> None:
        """Take in word that an instance runs slow, or is well again."""
        view = self.view_by_id.get(instance)
        if view is None or news.since < view.slowness.since:
            return
        was_slow = view.slowness.factor_at(news.since) > 1.0
        view.slowness = news
        if not was_slow and news.factor > 1.0:
            self._hurry(view, news)

    def record_load(self, instance: InstanceId, others_in_flight: float) -> None:
        """Take in how many requests of others an instance has in flight."""
        view = self.view_by_id.get(instance)
        if view is not None:
            view.others_in_flight = max(0.0, others_in_flight)
            view.others_at = self._clock.now()

    def ejected(self) -> list[InstanceId]:
        """Return the instances that get no ordinary calls for now."""
        return [
            view.instance.instance_id
            for view in self.view_by_id.values()
            if view.ejection.state is not EjectionState.ACTIVE
        ]

    def _hurry(self, view: InstanceView, news: ReportedSlowness) -> None:
        """Call back for requests that would now wait longer than a second one takes.

        The youngest come first, since they have most of their work before them and hedges may
        run out. One that is nearly done would gain nothing.
        """
        usual_s = self.median_latency_s()
        if usual_s < NEWS_MIN_SERVICE_S:
            return
        too_old = news.since - usual_s * (1.0 - 1.0 / news.factor)
        for attempt in reversed(list(view.attempt_by_number.values())):
            if attempt.started_at < too_old:
                return
            if attempt.on_slow is not None:
                attempt.on_slow()

    def _has_room(self, view: InstanceView, now: float) -> bool:
        if now < view.paused_until or not view.ejection.allows(now):
            return False
        return view.in_flight < self._limit_now(view, now)

    def _limit_now(self, view: InstanceView, now: float) -> float:
        limit = view.limit.limit
        if not view.cold or self.part.ramp_s <= 0:
            return limit
        grown = COLD_START_SHARE + (now - view.added_at) / self.part.ramp_s
        if grown >= 1.0:
            view.cold = False
            return limit
        return max(1.0, limit * grown)

    def _sample(self, usable: list[InstanceView]) -> list[InstanceView]:
        if len(usable) <= CANDIDATES:
            return usable
        chosen = []
        rest = list(usable)
        for _ in range(CANDIDATES):
            chosen.append(rest.pop(self._rng.randrange(len(rest))))
        return chosen

    def _cheapest(self, views: list[InstanceView], now: float) -> InstanceView:
        usual_s = self.median_latency_s()
        heed_news = self._heeds_news(usual_s, now)
        best = views[0]
        best_cost = float("inf")
        for view in views:
            cost = self._cost(view, usual_s, heed_news, now)
            # A little noise breaks ties, so that nodes do not all pick the same instance.
            cost *= 1.0 + 0.02 * self._rng.random()
            if cost < best_cost:
                best, best_cost = view, cost
        return best

    def _cost(self, view: InstanceView, usual_s: float, heed_news: bool, now: float) -> float:
        expected_s = view.latency_estimate_s(usual_s, now)
        oldest_s = view.oldest_age_s(now)
        if oldest_s > OLD_FACTOR * usual_s:
            # A request that should have been answered long ago speaks before its answer does.
            expected_s = max(expected_s, oldest_s)
        if heed_news:
            expected_s = max(expected_s, usual_s * view.slowness.factor_at(now))
        slots = view.instance.slots
        share = max(1.0, slots / self.callers)
        busy = view.in_flight / share
        waiting = max(0.0, view.total_in_flight(now) + 1.0 - slots) / slots
        cost = expected_s * (1.0 + QUEUE_WEIGHT * busy + waiting)
        return cost + self._distance_s(view.instance.domain)

    def _heeds_news(self, usual_s: float, now: float) -> bool:
        if usual_s < NEWS_MIN_SERVICE_S:
            # The news is older than the whole service time: acting on it comes too late.
            return False
        well = [view for view in self.view_by_id.values() if view.slowness.factor_at(now) <= 1.0]
        if len(well) == len(self.view_by_id):
            return False
        return bool(well) and self._load_over(well, now) < AVOID_LOAD

    def _load_over(self, views: Iterable[InstanceView], now: float) -> float:
        slots = sum(
            view.instance.slots for view in views if view.ejection.state is EjectionState.ACTIVE
        )
        if not slots:
            return 1.0
        # Calls a second times seconds a call are the slots that they need (Little's law). The
        # median does not rise with each burst of slowness, as the number in flight would.
        return self._rate.per_s(now) * self.median_latency_s() * self.callers / slots

    def _succeeded(self, view: InstanceView, latency_s: float, now: float) -> None:
        if view.ejection.state is EjectionState.TRIAL:
            # What it was like before it was set aside must not decide about its return.
            view.latency_s = None
        view.record_latency(latency_s, now)
        view.limit.record_success(view.in_flight)
        self.latencies.add(latency_s)
        self._rate.add(now)
        if self._is_straggler(view, now):
            self._eject_if_bounded(view, now)
        else:
            view.ejection.record_success()

    def _failed(self, view: InstanceView, now: float) -> None:
        if view.ejection.record_failure():
            self._eject_if_bounded(view, now)

    def _cancelled(self, view: InstanceView, latency_s: float, now: float) -> None:
        view.ejection.record_inconclusive()
        # It would have taken longer still; how much is not known, so take it for twice as long.
        at_least_s = CENSORED_FACTOR * latency_s
        if latency_s > self.median_latency_s() and at_least_s > (view.latency_s or 0.0):
            view.record_latency(at_least_s, now)
            if self._is_straggler(view, now):
                self._eject_if_bounded(view, now)

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

    def _eject_if_bounded(self, view: InstanceView, now: float) -> None:
        out = sum(
            other.ejection.state is not EjectionState.ACTIVE
            for other in self.view_by_id.values()
            if other is not view
        )
        if out < ejections_allowed(len(self.view_by_id), self.part.set_aside_share):
            view.ejection.eject(now)
