"""Selects the gates that a node links to. Performs no I/O.

A link costs processor time and memory at both ends, so a node links to a bounded number of gates
of each service, however many there are: some of its own failure domain, and some of the others, so
that there are gates to send to at once when its own domain fails.

The gates of a service lie on a ring, in an order of their own for each service. The nodes of a
failure domain lie on it at equal distances, and each links to the gates that follow it. So each
gate has about as many links as any other of its domain, and a node that joins or leaves moves few
links of the others.

A service whose linked gates have no capacity left gets more of them, step by step, until its need
has passed.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from itertools import zip_longest

from peridottrack.messages import MemberUpdate
from peridottrack.types import Clock, FailureDomain, NodeId, ServiceName

NEAR_GATES = 8
"""Gates of a service in the own failure domain that a node links to."""
FAR_GATES = 4
"""The same in all other failure domains together."""
MAX_UNUSED_SERVICES = 8
"""Number of services up to which a node links also to gates that its callers do not use."""
USED_FOR_S = 60.0
"""Seconds after its last request for which a service counts as used."""
WIDENING_STEP = 4
"""Gates of a service that are linked at once when those linked have no capacity."""
WIDENING_INTERVAL_S = 0.25
"""Shortest time between two such steps, in which the new gates take requests, unless a request is
to be refused."""
MAX_EXTRA_GATES = 16
"""Gates of a service linked in this way; beyond it the first of them are replaced by others."""
REPLACEMENT_INTERVAL_S = 2.0
"""Shortest time between two replacements, which cost two changes of a link for each gate."""
NARROW_AFTER_S = 5.0
"""Seconds without need after which a service has its usual number of gates again."""
LINK_ALL_BELOW = 32
"""Number of other nodes up to which a node links to all of them."""


@dataclass(frozen=True, slots=True)
class _Gates:
    """The gates of a service in the own failure domain and in the others.

    Both are in the order in which they follow this node on their ring.
    """

    near: list[NodeId]
    far: list[NodeId]

    @property
    def usual_near(self) -> int:
        """Number of near gates that are linked without need."""
        return min(len(self.near), NEAR_GATES)

    @property
    def usual_far(self) -> int:
        """Number of far gates that are linked without need; they also replace missing near ones."""
        return min(len(self.far), FAR_GATES + NEAR_GATES - self.usual_near)

    @property
    def spare(self) -> int:
        """Number of gates that are linked under need only."""
        return len(self.near) + len(self.far) - self.usual_near - self.usual_far

    def selected(self, demand: _Demand) -> list[NodeId]:
        """Return the gates to link to."""
        # Near and far by turns: if the linked near ones are full, so may be the whole domain.
        pairs = zip_longest(self.near[self.usual_near :], self.far[self.usual_far :])
        spare = [gate for pair in pairs for gate in pair if gate is not None]
        spare = spare[demand.skipped :] + spare[: demand.skipped]
        usual = [*self.near[: self.usual_near], *self.far[: self.usual_far]]
        return usual + spare[: demand.extra]


@dataclass(slots=True)
class _Demand:
    """How many gates of a service are needed.

    Parameters
    ----------
    extra
        Number of gates needed in addition to the usual ones.
    skipped
        Number of the additional gates that were replaced by later ones.
    """

    used_at: float = float("-inf")
    widened_at: float = float("-inf")
    needed_at: float = float("-inf")
    extra: int = 0
    skipped: int = 0


class GateSubset:
    """The gates that one node links to.

    Parameters
    ----------
    node, domain
        The node itself and its failure domain.

    Attributes
    ----------
    evacuated
        Failure domains whose gates accept nothing; takes effect with the next `set_members`.
    """

    def __init__(self, node: NodeId, domain: FailureDomain, clock: Clock) -> None:
        self._node = node
        self._domain = domain
        self._clock = clock
        self._demand_by_service: defaultdict[ServiceName, _Demand] = defaultdict(_Demand)
        self.evacuated: frozenset[FailureDomain] = frozenset()
        self._others: list[MemberUpdate] = []
        # Nodes of an earlier release, which do not name their service, are all linked.
        self._unnamed: set[NodeId] = set()
        self._gates_by_service: dict[ServiceName, _Gates] = {}

    def set_members(self, members: Iterable[MemberUpdate]) -> None:
        """Set the active nodes, with or without this one."""
        self._others = [update for update in members if update.node != self._node]
        self._unnamed = {update.node for update in self._others if not update.service}
        near: defaultdict[ServiceName, list[NodeId]] = defaultdict(list)
        far: defaultdict[ServiceName, list[NodeId]] = defaultdict(list)
        for update in self._others:
            if not update.service or update.domain in self.evacuated:
                continue
            gates = near if update.domain == self._domain else far
            gates[update.service].append(update.node)
        neighbours = [update.node for update in self._others if update.domain == self._domain]
        self._gates_by_service = {
            service: _Gates(
                self._following(service, near[service], neighbours),
                self._following(service, far[service], neighbours),
            )
            for service in near.keys() | far.keys()
        }

    def _following(
        self, service: ServiceName, gates: Sequence[NodeId], neighbours: Sequence[NodeId]
    ) -> list[NodeId]:
        """Return the gates of a ring in the order in which they follow this node.

        Parameters
        ----------
        neighbours
            The other nodes of the own failure domain.
        """
        ring = sorted(gates, key=lambda gate: _hash(gate, service))
        own_hash = _hash(self._node, service)
        rank = sum(_hash(node, service) < own_hash for node in neighbours)
        start = rank * len(ring) // (len(neighbours) + 1)
        return ring[start:] + ring[:start]

    def use(self, service: ServiceName) -> bool:
        """Record a request to a service; return whether its gates have to be linked first."""
        demand, now = self._demand_by_service[service], self._clock.now()
        unused = not self._is_used(demand, now)
        demand.used_at = now
        return unused and len(self._gates_by_service) > MAX_UNUSED_SERVICES

    def widen(self, service: ServiceName, urgent: bool = False) -> bool:
        """Record that the linked gates have no capacity; return whether more are to be linked.

        Parameters
        ----------
        urgent
            Whether a request will be refused otherwise, so that more are to be linked at once.
        """
        demand, now = self._demand_by_service[service], self._clock.now()
        demand.needed_at = now
        gates = self._gates_by_service.get(service)
        if self._links_all or gates is None or demand.extra >= gates.spare:
            return False
        grows = demand.extra < MAX_EXTRA_GATES
        if not grows and not urgent:
            return False
        interval_s = WIDENING_INTERVAL_S if grows else REPLACEMENT_INTERVAL_S
        if now - demand.widened_at < interval_s and not (urgent and grows):
            return False
        demand.widened_at = now
        if grows:
            demand.extra += WIDENING_STEP
        else:
            demand.skipped = (demand.skipped + WIDENING_STEP) % gates.spare
        return True

    def narrow(self) -> bool:
        """Return whether a service needs fewer gates now than are selected."""
        now = self._clock.now()
        passed = [
            demand
            for demand in self._demand_by_service.values()
            if demand.extra and now - demand.needed_at > NARROW_AFTER_S
        ]
        for demand in passed:
            demand.extra = demand.skipped = 0
        return bool(passed)

    def selected(self) -> set[NodeId]:
        """Return the nodes to link to."""
        if self._links_all:
            return {update.node for update in self._others}
        now = self._clock.now()
        chosen = set(self._unnamed)
        few_services = len(self._gates_by_service) <= MAX_UNUSED_SERVICES
        for service, gates in self._gates_by_service.items():
            demand = self._demand_by_service[service]
            if few_services or self._is_used(demand, now):
                chosen.update(gates.selected(demand))
        return chosen

    @property
    def _links_all(self) -> bool:
        return len(self._others) <= LINK_ALL_BELOW

    @staticmethod
    def _is_used(demand: _Demand, now: float) -> bool:
        return now - demand.used_at < USED_FOR_S


@lru_cache(maxsize=65_536)
def _hash(node: NodeId, service: ServiceName) -> bytes:
    return hashlib.blake2b(f"{service} {node}".encode(), digest_size=8).digest()
