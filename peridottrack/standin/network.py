"""A simulated lossy network that connects memberships in virtual time, without sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

from peridottrack.membership import TICK_S, Membership
from peridottrack.messages import MemberState, MemberUpdate, Message
from peridottrack.types import Endpoint, FailureDomain, NodeId, Region

DELAY_LOW_S = 0.0005
DELAY_HIGH_S = 0.003
FAILURE_DOMAIN_COUNT = 7
REGION_COUNT = 2


def member_update(number: int, incarnation: int = 1) -> MemberUpdate:
    """Return a member update of a synthetic node; the number determines its address and domain."""
    host = f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"
    domain = number % FAILURE_DOMAIN_COUNT
    return MemberUpdate(
        NodeId(f"{host}:7000"),
        incarnation,
        MemberState.ALIVE,
        Endpoint(host, 7001),
        FailureDomain(f"domain-{domain}"),
        Region(f"region-{domain % REGION_COUNT}"),
    )


class SimulatedNetwork:
    """A network of memberships that exchange messages.

    Parameters
    ----------
    loss
        Probability that a message is lost.

    Attributes
    ----------
    sent, sent_by_kind, updates_sent
        Number of messages sent, also of each type of body, and of the member updates in them;
        messages that are lost count as well.
    on_send
        Called with each message that is sent, also if it is lost.
    is_partitioned
        Returns whether messages from one node to another are dropped.
    stopped
        Nodes that were stopped and neither send nor receive.
    """

    def __init__(self, nodes: int, seed: int = 1, loss: float = 0.0) -> None:
        self.loss = loss
        self.now_s = 0.0
        self.sent = 0
        self.sent_by_kind: Counter[str] = Counter()
        self.updates_sent = 0
        self.on_send: Callable[[Message], None] = lambda message: None
        self.is_partitioned: Callable[[NodeId, NodeId], bool] = lambda sender, receiver: False
        self.stopped: set[NodeId] = set()
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.membership_by_node: dict[NodeId, Membership] = {}
        updates = [member_update(number) for number in range(nodes)]
        for update in updates:
            self._add(update, updates)

    def _add(self, update: MemberUpdate, known: Iterable[MemberUpdate]) -> Membership:
        node = update.node
        membership = Membership(
            update,
            random.Random(f"{node} {update.incarnation}"),
            lambda receiver, message: self._send(node, receiver, message),
        )
        membership.join(known, self.now_s)
        # The other nodes read these members as well, so there is no need to gossip them.
        membership.discard_queued_updates()
        self.membership_by_node[node] = membership
        self.schedule(self.now_s + self._rng.random() * TICK_S, lambda: self._tick(membership))
        return membership

    def start(self, update: MemberUpdate, known: Iterable[MemberUpdate]) -> Membership:
        """Start or restart a node that initially knows the given members."""
        self.stopped.discard(update.node)
        return self._add(update, known)

    def stop(self, node: NodeId) -> None:
        """Stop a node: it neither sends nor receives until it is resumed or restarted."""
        self.stopped.add(node)

    def resume(self, node: NodeId) -> None:
        """Resume a stopped node with the state that it had."""
        self.stopped.discard(node)

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        """Advance the virtual time and run the actions that are due."""
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.1
    ) -> float:
        """Advance the time until a condition holds; return the seconds, infinity past the limit."""
        started_s = self.now_s
        while not condition():
            if self.now_s - started_s >= limit_s:
                return float("inf")
            self.run(step_s)
        return self.now_s - started_s

    def running_memberships(self) -> list[Membership]:
        """Return the memberships of all nodes that are not stopped."""
        return [
            membership
            for node, membership in self.membership_by_node.items()
            if node not in self.stopped
        ]

    def count_states(self, node: NodeId) -> Counter[MemberState]:
        """Count the states in which the running nodes list a node."""
        return Counter(
            membership.member_by_node[node].update.state
            for membership in self.running_memberships()
            if node in membership.member_by_node
        )

    def has_converged(self) -> bool:
        """Return whether all running nodes have the same view."""
        return len({membership.digest() for membership in self.running_memberships()}) == 1

    def _tick(self, membership: Membership) -> None:
        node = membership.local_member.node
        if self.membership_by_node[node] is not membership:
            return  # the node was restarted with a new membership, which has its own ticks
        self.schedule(self.now_s + TICK_S, lambda: self._tick(membership))
        if node not in self.stopped:
            membership.tick(self.now_s)

    def _send(self, sender: NodeId, receiver: NodeId, message: Message) -> None:
        self.sent += 1
        self.sent_by_kind[type(message.body).__name__] += 1
        self.updates_sent += len(message.updates)
        self.on_send(message)
        if self._rng.random() < self.loss or self.is_partitioned(sender, receiver):
            return
        delay_s = self._rng.uniform(DELAY_LOW_S, DELAY_HIGH_S)
        self.schedule(self.now_s + delay_s, lambda: self._deliver(receiver, message))

    def _deliver(self, receiver: NodeId, message: Message) -> None:
        membership = self.membership_by_node.get(receiver)
        if membership is None or receiver in self.stopped:
            return
        membership.receive(message, self.now_s)
        if message.document_version > membership.document_version:
            # Nodes fetch changed sections from each other over HTTP; here the fetch takes no time.
            membership.set_document_version(message.document_version, self.now_s)
