"""Chooses among the gates of a service by expected cost. Performs no I/O.

Hosts become slow for a few hundred milliseconds and recover. A gate's reported slowdown therefore
counts only while the report is recent, requests sent since the report are added to the reported
load, and another failure domain is chosen if it saves more time than the distance costs.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from peridottrack.frames import GateLoad
from peridottrack.gateroute import GateRoute
from peridottrack.ratelimit import burst_of, token_wait_s
from peridottrack.slowdown import SLOWDOWN_THRESHOLD, expected_slowdown
from peridottrack.types import Clock, FailureDomain, InstanceId, Random

CROSS_DOMAIN_SHARE = 0.5
"""Share of the run time that another failure domain must save: sending bytes between them costs."""
CROWDING_SHARE = 0.5
"""Share of the run time added for a full instance even without a queue: it may slow down."""
COLD_FACTOR = 2.0
"""Slowdown factor assumed of an instance that started recently and names no limit: one with a limit
gets its share within that, and reports itself how slow it is."""
FAILURE_WEIGHT = 0.2
"""Weight of one outcome in the moving average of failures."""
FAILURE_HALF_LIFE_S = 2.0
"""Half-life of the failure rate, so that a recovered instance is tried again."""
NEGLIGIBLE_RATE = 0.001
"""Failure rate below which it no longer affects the choice and is dropped."""
LEAVING_MEMORY_S = 120.0
"""Seconds for which an instance that leaves is remembered: longer than it goes on serving."""
COST_JITTER = 0.04
"""Maximum random increase of a cost, so that nodes do not all choose the same instance."""


@dataclass(slots=True)
class FailureRate:
    """Decaying failure rate of one instance, as observed by this node."""

    value: float = 0.0
    updated_at: float = 0.0

    def current(self, now: float) -> float:
        """Return the failure rate, decayed to ``now``."""
        return self.value * 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE_S)

    def add(self, failed: bool, now: float) -> None:
        """Record one outcome."""
        self.value = self.current(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self.updated_at = now


@dataclass(frozen=True, slots=True)
class _LeavingInstance:
    """What is remembered of an instance that leaves, in case its gate restarts and forgets it."""

    start_time: int
    known_at: float


@dataclass(frozen=True, slots=True)
class Choice:
    """A gate with its expected waiting and run time.

    Parameters
    ----------
    wait_s, run_s
        Expected seconds before and during the run.
    rate_limited
        Whether the wait is due to the instance's rate limit rather than to its slots.
    healthy_elsewhere
        Whether another gate's last report, of whatever age, does not show a slow host.
    capacity_elsewhere
        Whether such a gate is also expected to have free capacity.
    """

    route: GateRoute
    load: GateLoad
    wait_s: float
    run_s: float
    rate_limited: bool = False
    healthy_elsewhere: bool = False
    capacity_elsewhere: bool = False


class Placement:
    """Chooses gates for the requests of one node.

    Parameters
    ----------
    domain
        The failure domain of the node.

    Attributes
    ----------
    evacuated
        Failure domains to which nothing is sent.
    """

    def __init__(self, domain: FailureDomain, clock: Clock, rng: Random) -> None:
        self._domain = domain
        self.evacuated: frozenset[FailureDomain] = frozenset()
        self._clock = clock
        self._rng = rng
        self._failure_rate_by_instance: dict[InstanceId, FailureRate] = {}
        self._leaving_by_instance: dict[InstanceId, _LeavingInstance] = {}

    def choose(
        self,
        routes: Iterable[GateRoute],
        run_s: float,
        target_s: float,
        exclude: Collection[InstanceId] = (),
    ) -> Choice | None:
        """Return the gate with the lowest expected cost, None if there is none.

        Parameters
        ----------
        run_s
            Usual run time of the request.
        target_s
            Target latency of the request; a failure is assumed to cost twice this time.
        """
        now = self._clock.now()
        best: Choice | None = None
        best_cost = float("inf")
        healthy = with_capacity = 0
        for route in routes:
            load = route.load
            if load is None or load.instance in exclude or self._is_leaving(load, now):
                continue
            if not load.open or not route.usable or route.domain in self.evacuated:
                continue
            choice = self._estimate(route, load, run_s, now)
            healthy += load.slowdown < SLOWDOWN_THRESHOLD
            with_capacity += _has_capacity(choice)
            cost = self._cost(choice, target_s, now)
            if cost < best_cost:
                best, best_cost = choice, cost
        if best is None:
            return None
        return replace(
            best,
            healthy_elsewhere=healthy > (best.load.slowdown < SLOWDOWN_THRESHOLD),
            capacity_elsewhere=with_capacity > _has_capacity(best),
        )

    def record_load(self, load: GateLoad) -> None:
        """Record from a load report that an instance leaves."""
        if load.leaving:
            self._is_leaving(load, self._clock.now())

    def _is_leaving(self, load: GateLoad, now: float) -> bool:
        """Return whether this incarnation of the instance is known to leave."""
        known = self._leaving_by_instance.get(load.instance)
        if load.leaving and (known is None or known.start_time < load.start_time):
            self._forget_left(now)
            self._leaving_by_instance[load.instance] = _LeavingInstance(load.start_time, now)
            return True
        if known is not None and load.start_time > known.start_time:
            # A later incarnation, whose start time is unknown for a moment if its node restarts.
            del self._leaving_by_instance[load.instance]
            return False
        return known is not None

    def _forget_left(self, now: float) -> None:
        for instance, known in list(self._leaving_by_instance.items()):
            if now - known.known_at > LEAVING_MEMORY_S:
                del self._leaving_by_instance[instance]

    def record_outcome(self, instance: InstanceId, failed: bool) -> None:
        """Record the outcome of a request at an instance."""
        now = self._clock.now()
        rate = self._failure_rate_by_instance.get(instance)
        if rate is None:
            if not failed:
                return
            self._drop_negligible(now)
            rate = self._failure_rate_by_instance[instance] = FailureRate(updated_at=now)
        rate.add(failed, now)

    def _drop_negligible(self, now: float) -> None:
        """Drop negligible failure rates, so that removed instances do not accumulate."""
        for instance, rate in list(self._failure_rate_by_instance.items()):
            if rate.current(now) < NEGLIGIBLE_RATE:
                del self._failure_rate_by_instance[instance]

    def _estimate(self, route: GateRoute, load: GateLoad, run_s: float, now: float) -> Choice:
        age_s = load.slowdown_age_s + max(0.0, now - route.received_at)
        slowdown = expected_slowdown(load.slowdown, load.mean_slowdown, age_s, load.spell_s)
        if load.cold and not math.isfinite(load.rate_limit):
            slowdown = max(slowdown, COLD_FACTOR)
        occupied = load.running + load.waiting + route.sent_since_report()
        limit = max(load.limit, 1)
        crowding = CROWDING_SHARE * min(1.0, occupied / limit) ** 2
        slot_wait_s = max(0, occupied + 1 - limit) * run_s * slowdown / limit
        rate_wait_s = _rate_wait_s(route, load, now)
        return Choice(
            route,
            load,
            max(slot_wait_s, rate_wait_s),
            run_s * slowdown * (1.0 + crowding),
            rate_wait_s > slot_wait_s,
        )

    def _cost(self, choice: Choice, target_s: float, now: float) -> float:
        cost = choice.wait_s + choice.run_s
        rate = self._failure_rate_by_instance.get(choice.load.instance)
        if rate is not None:
            cost += 2.0 * target_s * rate.current(now)
        if choice.route.domain != self._domain:
            cost += CROSS_DOMAIN_SHARE * choice.run_s
        return cost * (1.0 + COST_JITTER * self._rng.random())


def _rate_wait_s(route: GateRoute, load: GateLoad, now: float) -> float:
    """Return the seconds until the instance's rate limit admits a request sent now."""
    if not math.isfinite(load.rate_limit):
        return 0.0
    admitted_since = max(0.0, now - route.load_received_at) * load.rate_limit
    admissible = min(burst_of(load.rate_limit), load.admissible + admitted_since)
    return token_wait_s(admissible - route.sent_since_report(), load.rate_limit)


def _has_capacity(choice: Choice) -> bool:
    return choice.load.slowdown < SLOWDOWN_THRESHOLD and choice.wait_s <= 0
