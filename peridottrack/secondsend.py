"""Decides on second sends: when, why, where and how many. Performs no I/O.

A second send starts while the first send of a repeatable request is still unanswered. The limit is
a share of a service's requests. Every node keeps the limit for its own requests, so all nodes
together keep it without messages.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum

from peridottrack.gateroute import GateRoute
from peridottrack.ratelimit import burst_of
from peridottrack.secondsendlimit import SecondSendLimit
from peridottrack.slowdown import SLOWDOWN_THRESHOLD
from peridottrack.types import Clock, InstanceId, ServiceName

MAX_SAMPLES = 128
"""Number of times of a route that are kept."""
MIN_SAMPLES = 20
"""Number of times from which on a quantile is known: one in twenty lies above the 95th."""
SAMPLE_AGE_S = 60.0
"""Age from which a time no longer counts."""
SLOW_QUANTILE = 0.95
"""Lowest quantile of the times of its route from which on a send counts as slow. The quantile is
higher if the limit is a smaller share, so that the slowest requests use it."""
EARLY_QUANTILE = 0.9
"""The same for a send of which a gate hints that it is slow, or which would miss the target while a
second one could still meet it."""
SECOND_RUN_FACTOR = SLOWDOWN_THRESHOLD
"""Multiple of the route's run time to be left until the target: a gate whose host is slower than
this gets no second send."""
MIN_FREE_SHARE = 0.25
"""Share of the slots of a service's fit instances that must be free: what the loss of one failure
domain of four takes is not spent on second sends."""
REPORT_AGE_S = 1.0
"""Age from which a load report no longer shows that a slot is free."""
MAX_CONSIDERED = 4
"""Times that a second send of one request is considered, each a run time later."""
SAVED = 2.0
"""Second sends that a node saves up for each service while none is needed."""


class Why(Enum):
    """Why a second send is considered; the values stand in log lines."""

    HINT = "hurry"
    TARGET = "target"
    SLOW = "slow"


class Denial(Enum):
    """Why a second send is not made."""

    NOT_ALLOWED = "not_allowed"
    CROWDED = "crowded"
    NO_ROOM = "no_room"
    LIMIT = "limit"
    BUDGET = "budget"


class RecentTimes:
    """The last times of a route, relative to its run time; bounded in number and age."""

    def __init__(self) -> None:
        self._times: deque[tuple[float, float]] = deque()
        self._sorted: list[float] = []

    def add(self, relative: float, now: float) -> None:
        """Record the time of one send."""
        self._times.append((now, relative))
        bisect.insort(self._sorted, relative)
        if len(self._times) > MAX_SAMPLES:
            self._remove_oldest()

    def quantile(self, share: float, now: float) -> float | None:
        """Return the time that ``share`` of the recent ones do not exceed, None if unknown."""
        while self._times and now - self._times[0][0] > SAMPLE_AGE_S:
            self._remove_oldest()
        count = len(self._sorted)
        if count < MIN_SAMPLES:
            return None
        return self._sorted[min(count, math.ceil(share * count)) - 1]

    def _remove_oldest(self) -> None:
        _, relative = self._times.popleft()
        del self._sorted[bisect.bisect_left(self._sorted, relative)]


@dataclass(frozen=True, slots=True)
class Trigger:
    """Seconds after the first send at which a second one is considered, and why."""

    after_s: float
    why: Why
    times_denied: int = 0

    def next(self, run_s: float) -> Trigger | None:
        """Return when it is considered again after it was denied, None for never.

        The requests that still run then are slower than those that run now.
        """
        if self.times_denied + 1 >= MAX_CONSIDERED:
            return None
        return Trigger(self.after_s + run_s, Why.SLOW, self.times_denied + 1)


class SecondSends:
    """Limit and times of the second sends of one node.

    Attributes
    ----------
    share
        Limit as a share of a service's requests; None if only gates' hints lead to second sends,
        which then have no limit but that of resends.
    """

    def __init__(self, share: float | None, clock: Clock) -> None:
        self.share = share
        self._clock = clock
        self._limit_by_service: dict[ServiceName, SecondSendLimit] = {}
        self._times_by_route: dict[str, RecentTimes] = {}
        self._all_times = RecentTimes()

    @property
    def enabled(self) -> bool:
        """Whether there is a limit."""
        return self.share is not None

    def set_share(self, share: float | None) -> None:
        """Change the limit; what was saved up stays."""
        self.share = share
        for limit in self._limit_by_service.values():
            limit.share = share or 0.0

    def record_request(self, service: ServiceName) -> None:
        """Record the first send of a request to a service."""
        if self.enabled:
            self.limit_of(service).record_request()

    def limit_of(self, service: ServiceName) -> SecondSendLimit:
        """Return the limit of a service."""
        limit = self._limit_by_service.get(service)
        if limit is None:
            limit = SecondSendLimit(self.share or 0.0, SAVED)
            self._limit_by_service[service] = limit
        return limit

    def record_time(self, route: str, took_s: float, run_s: float) -> None:
        """Record how long a first send took until its response, queueing included.

        One that was cancelled since the second was answered has taken at least ``took_s``. It is
        recorded like the others: it lies above the quantile that it has exceeded.
        """
        if self.enabled and run_s > 0:
            now = self._clock.now()
            self._times_by_route.setdefault(route, RecentTimes()).add(took_s / run_s, now)
            self._all_times.add(took_s / run_s, now)

    def trigger(self, route: str, run_s: float, target_left_s: float) -> Trigger | None:
        """Return when a second send is considered, None if too few times are known.

        Parameters
        ----------
        run_s
            Usual run time of the route.
        target_left_s
            Seconds from the first send to the target.
        """
        if not self.share:
            return None
        slow = self._quantile(route, max(SLOW_QUANTILE, 1.0 - self.share))
        early = self._quantile(route, EARLY_QUANTILE)
        if slow is None or early is None:
            return None
        meets_target_s = target_left_s - SECOND_RUN_FACTOR * run_s
        if early * run_s <= meets_target_s < slow * run_s:
            return Trigger(meets_target_s, Why.TARGET)
        return Trigger(slow * run_s, Why.SLOW)

    def after_hint(self, route: str, run_s: float, elapsed_s: float) -> Trigger | None:
        """Return when a second send is considered after a hint, None for at once.

        Slow periods may end within a run, so a hint alone does not use the limit.
        """
        early = self._quantile(route, EARLY_QUANTILE) if self.share else None
        if early is None or early * run_s <= elapsed_s:
            return None
        return Trigger(early * run_s, Why.HINT)

    def _quantile(self, route: str, share: float) -> float | None:
        """Return the quantile of a route's times, of all routes' if it has too few of its own."""
        now = self._clock.now()
        times = self._times_by_route.get(route)
        own = times.quantile(share, now) if times is not None else None
        return own if own is not None else self._all_times.quantile(share, now)


def free_routes(
    routes: Sequence[GateRoute], exclude: Collection[InstanceId], now: float
) -> list[GateRoute] | Denial:
    """Return the routes to gates known to have a free slot, or why there is none.

    None is returned while the service as a whole is short of room, wherever a slot is free.
    """
    slots = free_slots = 0
    free = []
    for route in routes:
        load = route.load
        if load is None or not load.open or load.leaving:
            continue
        if not _is_fit(route, now):
            continue
        room = _room(route)
        slots += load.limit
        free_slots += max(0, room)
        is_recent = now - route.load_received_at <= REPORT_AGE_S
        if room >= 1 and is_recent and load.instance not in exclude:
            free.append(route)
    if free_slots < MIN_FREE_SHARE * slots:
        return Denial.CROWDED
    return free or Denial.NO_ROOM


def _room(route: GateRoute) -> int:
    load = route.load
    if load is None or load.waiting:
        return 0
    return load.limit - load.running - route.sent_since_report()


def _is_fit(route: GateRoute, now: float) -> bool:
    """Return whether a run there would be fast and may start now."""
    load = route.load
    if load is None or not route.usable or load.cold or load.slowdown >= SLOWDOWN_THRESHOLD:
        return False
    if not math.isfinite(load.rate_limit):
        return True
    accrued = max(0.0, now - route.load_received_at) * load.rate_limit
    admissible = min(burst_of(load.rate_limit), load.admissible + accrued)
    return admissible - route.sent_since_report() >= 1.0
