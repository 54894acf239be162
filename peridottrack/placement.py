"""Where work goes: the choice among the gates of a service, without network.

Answers the pattern of hosts that turn slow for a few hundred milliseconds and back: what a gate
told of its slowdown counts for as long as it is fresh, requests sent since then are added to what
it told, and another failure domain is taken when it saves more time than it costs.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from peridottrack.frames import GateLoad
from peridottrack.gateroute import GateRoute
from peridottrack.slowdown import SLOWDOWN_THRESHOLD, expected_slowdown
from peridottrack.types import Clock, FailureDomain, InstanceId, Random

DISTANCE_SHARE = 0.5
"""Share of a run time that another failure domain has to save: bytes between them cost."""
CROWDING_SHARE = 0.5
"""Share of the run time that a full instance costs even without a queue: it may slow down."""
COLD_FACTOR = 2.0
"""How much longer work takes at an instance that started a short while ago."""
FAILURE_WEIGHT = 0.2
"""Weight of one outcome in the moving share of failures."""
FAILURE_HALF_LIFE_S = 2.0
"""Time in which half of a bad record is forgotten, so that a healed instance is tried again."""
FORGOTTEN = 0.001
"""Share of failures from which a record changes no choice."""
TIE_NOISE = 0.04
"""Random share added to a cost, so that nodes do not all choose the same instance."""


@dataclass(slots=True)
class Record:
    """Moving share of failures of one instance as this node saw them."""

    failing: float = 0.0
    at: float = 0.0

    def share(self, now: float) -> float:
        """Return the share, less what time has made of it."""
        return self.failing * 0.5 ** ((now - self.at) / FAILURE_HALF_LIFE_S)

    def add(self, failed: bool, now: float) -> None:
        """Take in one outcome."""
        self.failing = self.share(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self.at = now


@dataclass(frozen=True, slots=True)
class Choice:
    """A gate with what it is expected to take.

    Parameters
    ----------
    wait_s, run_s
        Expected seconds before and during the run.
    healthy_elsewhere
        Whether another gate is not known to be slow.
    capacity_elsewhere
        Whether another gate is not known to be slow and is thought to have room.
    """

    route: GateRoute
    load: GateLoad
    wait_s: float
    run_s: float
    healthy_elsewhere: bool = False
    capacity_elsewhere: bool = False


class Placement:
    """Chooses gates for one node.

    Parameters
    ----------
    domain
        The failure domain of the node.
    """

    def __init__(self, domain: FailureDomain, clock: Clock, rng: Random) -> None:
        self._domain = domain
        self._clock = clock
        self._rng = rng
        self._record_by_instance: dict[InstanceId, Record] = {}

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
            Seconds within which the answer is worth most: what a failure costs.
        """
        now = self._clock.now()
        best: Choice | None = None
        best_cost = float("inf")
        well = roomy = 0
        for route in routes:
            load = route.load
            if load is None or not load.open or load.instance in exclude or not route.usable:
                continue
            choice = self._expect(route, load, run_s, now)
            well += load.slowdown < SLOWDOWN_THRESHOLD
            roomy += _has_room(choice)
            cost = self._cost(choice, target_s, now)
            if cost < best_cost:
                best, best_cost = choice, cost
        if best is None:
            return None
        return replace(
            best,
            healthy_elsewhere=well > (best.load.slowdown < SLOWDOWN_THRESHOLD),
            capacity_elsewhere=roomy > _has_room(best),
        )

    def record_outcome(self, instance: InstanceId, failed: bool) -> None:
        """Take in how a request at an instance ended."""
        now = self._clock.now()
        record = self._record_by_instance.get(instance)
        if record is None:
            if not failed:
                return
            self._forget_healed(now)
            record = self._record_by_instance[instance] = Record(at=now)
        record.add(failed, now)

    def _forget_healed(self, now: float) -> None:
        """Drop records that tell nothing any more, also those of instances that are gone."""
        for instance, record in list(self._record_by_instance.items()):
            if record.share(now) < FORGOTTEN:
                del self._record_by_instance[instance]

    def _expect(self, route: GateRoute, load: GateLoad, run_s: float, now: float) -> Choice:
        age_s = load.slowdown_age_s + max(0.0, now - route.received_at)
        factor = expected_slowdown(load.slowdown, load.mean_slowdown, age_s, load.spell_s)
        if load.cold:
            factor = max(factor, COLD_FACTOR)
        taken = load.running + load.waiting + route.sent_since_report()
        limit = max(load.limit, 1)
        crowding = CROWDING_SHARE * min(1.0, taken / limit) ** 2
        wait_s = max(0, taken + 1 - limit) * run_s * factor / limit
        return Choice(route, load, wait_s, run_s * factor * (1.0 + crowding))

    def _cost(self, choice: Choice, target_s: float, now: float) -> float:
        cost = choice.wait_s + choice.run_s
        record = self._record_by_instance.get(choice.load.instance)
        if record is not None:
            cost += 2.0 * target_s * record.share(now)
        if choice.route.domain != self._domain:
            cost += DISTANCE_SHARE * choice.run_s
        return cost * (1.0 + TIE_NOISE * self._rng.random())


def _has_room(choice: Choice) -> bool:
    return choice.load.slowdown < SLOWDOWN_THRESHOLD and choice.wait_s <= 0
