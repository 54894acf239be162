"""SWIM-style cluster membership: failure detection and gossip. Performs no I/O.

Each node pings its two successors on a ring of hashed addresses, so the cost per node does not
grow with the size of the cluster and each node is monitored by two others. Updates are gossiped
to a few random nodes at a time; the digests in acks reveal updates that gossip missed.
Indirect pings, suspicion and refutation by incarnation, as in SWIM, keep slow but running nodes
from being removed. Unlike in SWIM, a suspicion is not gossiped: the node that raised it keeps
probing until the suspect answers or the suspicion times out. Gossiping suspicions would cause the
most traffic exactly when datagrams are being lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from peridottrack.evacuation import EvacuationSet
from peridottrack.gossipqueue import GOSSIP_ROUNDS, GossipQueue, pop_batch
from peridottrack.memberlist import BUCKET_COUNT, INACTIVE_STATES, MemberList
from peridottrack.messages import (
    Ack,
    BucketDigests,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    Pull,
    Rumor,
    Send,
)
from peridottrack.types import NodeId, Random

TICK_S = 0.25
"""Interval between calls of `Membership.tick`."""
PING_INTERVAL_TICKS = 2
"""Ticks between two pings; the two ring successors are pinged alternately."""
PING_TIMEOUT_S = 0.45
"""Time to wait for the ack of a direct ping before indirect pings are requested."""
INDIRECT_TIMEOUT_S = 0.5
"""Further time to wait for an ack relayed by other nodes before the target is suspected."""
INDIRECT_PROBE_COUNT = 3
"""Number of nodes requested to ping a target that did not answer."""
SUSPICION_TIMEOUT_S = 2.5
"""How long a suspected node is probed further before it is declared dead."""
ISOLATION_TIMEOUT_S = 1.5
"""Time without any ack after which this node assumes that it is partitioned itself."""
GOSSIP_FANOUT = 4
"""Number of random nodes that receive updates in one gossip round."""
MAX_EVACUATION_BYTES = 120
"""Largest size of the names of evacuated domains in a datagram. With more, nodes learn of them over
links and from the store alone."""
CONFIRMATION_FANOUT = 3
"""Number of random nodes to which a node passes a confirmation of the document at once; the others
get it from these, or with the pings."""
DATAGRAMS_PER_ROUND = 2
"""Datagrams per tick to each of them, so that a burst of updates does not flood the network."""
MISMATCHES_TO_COMPARE = 3
"""Consecutive differing digests before views are compared: they differ briefly after an update."""
COMPARE_INTERVAL_S = 2.0
"""Minimum time between two comparisons."""
RECONTACT_INTERVAL_S = 5.0
"""Interval between additional pings, to a dead and to a random active node."""
TOMBSTONE_RETENTION_S = 6 * 3600.0
"""How long a dead or departed node is retained: longer than a usual partition between regions."""
PAUSE_THRESHOLD_S = 1.0
"""Gap between two ticks above which this process itself is assumed to have been suspended."""


@dataclass(slots=True)
class _Probe:
    """An unanswered ping, sent for this node or on behalf of another."""

    target: NodeId
    sent_at: float
    indirect: bool = False
    on_behalf_of: tuple[NodeId, int] | None = None


def _text_bytes(evacuations: EvacuationSet) -> int:
    return sum(len(domain.encode()) for domain in evacuations.domains)


class Membership:
    """One node's view of all nodes in the cluster.

    Parameters
    ----------
    send
        Called with the receiver and each outgoing message; may drop it.
    on_change
        Called with each update that changed the view.
    on_round_trip
        Called with a node and the round-trip time in seconds of a direct ping to it.
    """

    def __init__(
        self,
        local_member: MemberUpdate,
        rng: Random,
        send: Send,
        on_change: Callable[[MemberUpdate], None] = lambda update: None,
        on_round_trip: Callable[[MemberUpdate, float], None] = lambda update, round_trip_s: None,
    ) -> None:
        self._rng = rng
        self._send_message = send
        self._on_change = on_change
        self._on_round_trip = on_round_trip
        self._tick = 0
        self._ticked_at: float | None = None
        self._now = 0.0
        self._last_number = 0
        self._members = MemberList()
        self._probe_by_number: dict[int, _Probe] = {}
        self._gossip = GossipQueue()
        self._version_rounds_left = 0
        self._mismatches = 0
        self._compared_at = float("-inf")
        self._recontacted_at = 0.0
        self._leaving = False
        self._suspected_since: dict[NodeId, float] = {}
        self._answered_at = 0.0
        self.document_version = 0
        self.document_confirmed_ms = 0
        self._evacuations: EvacuationSet | None = None
        self.member_by_node = self._members.member_by_node
        self.local_member = local_member
        self._members.put(local_member, self._now)

    # -- the local member --------------------------------------------------------------

    def set_local_member(self, local_member: MemberUpdate, now: float) -> None:
        """Replace what this node announces and increment its incarnation."""
        self._now = now
        self._update_local_member(
            replace(local_member, incarnation=self.local_member.incarnation + 1)
        )

    def leave(self, now: float) -> None:
        """Announce that this node leaves the cluster."""
        self._now = now
        self._leaving = True
        self._update_local_member(
            replace(
                self.local_member,
                state=MemberState.LEFT,
                incarnation=self.local_member.incarnation + 1,
            )
        )

    def set_document_version(self, version: int, now: float) -> None:
        """Record a newer document version and announce it to other nodes."""
        self._now = now
        if version > self.document_version:
            self.document_version = version
            self._version_rounds_left = GOSSIP_ROUNDS
            self._gossip_round([])

    def set_document_confirmed(self, confirmed_ms: int, now: float) -> None:
        """Record until when the document is known to be the newest; told with each message."""
        self._now = now
        self.document_confirmed_ms = confirmed_ms

    def set_evacuations(self, evacuations: EvacuationSet, changed: bool, now: float) -> None:
        """Record the evacuated failure domains; announce them if they have changed."""
        self._now = now
        self._evacuations = evacuations
        if changed:
            self._version_rounds_left = GOSSIP_ROUNDS
            self._gossip_round([])

    def tell_document_confirmed(self) -> None:
        """Tell a few random nodes at once."""
        for receiver in self._sample(CONFIRMATION_FANOUT, exclude=self.local_member.node):
            self._send(receiver, Rumor())

    def join(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Apply the updates read from the directory."""
        self._now = now
        for update in updates:
            self._apply_update(update)

    def contact_seeds(self, nodes: Iterable[NodeId], now: float) -> None:
        """Ping nodes of which only the address is known, to join through them."""
        self._now = now
        for node in nodes:
            if node != self.local_member.node:
                self._send(node, Ping(self._next_number()), (self.local_member,))

    def discard_queued_updates(self) -> None:
        """Drop all queued updates except this node's own.

        For use after `join` with the entries of the directory, which every node reads itself.
        """
        self._gossip.clear()
        self._gossip.add(self.local_member.node, self._tick)

    # -- queries -----------------------------------------------------------------------

    def active_members(self) -> list[MemberUpdate]:
        """Return all nodes that are neither dead nor left, this one included."""
        return self._members.active_members()

    def digest(self) -> int:
        """Return a digest of the whole view, equal on nodes that agree."""
        return self._members.digest

    # -- events ------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run the periodic work; to be called every `TICK_S` seconds."""
        paused = self._ticked_at is not None and now - self._ticked_at > PAUSE_THRESHOLD_S
        self._now = now
        self._ticked_at = now
        self._tick += 1
        if paused:
            # Acks were missed because this process was suspended, not because others failed.
            self._probe_by_number.clear()
            self._suspected_since.clear()
        self._check_probes()
        self._check_suspicions()
        if self._tick % PING_INTERVAL_TICKS == 0 and not self._leaving:
            self._ping_successor()
        self._gossip_due()
        self._recontact()

    def receive(self, message: Message, now: float) -> None:
        """Handle a message from another node."""
        self._now = now
        for update in message.updates:
            self._apply_update(update)
        body = message.body
        if message.sender not in self.member_by_node and len(self._members) == 1:
            # This node knows no other node yet, so it requests all members from the first sender.
            self._send(message.sender, Pull(tuple(range(BUCKET_COUNT))), (self.local_member,))
        if isinstance(body, Ping):
            self._handle_ping(message.sender, body)
        elif isinstance(body, Ack):
            self._handle_ack(body)
            self._compare(message)
        elif isinstance(body, PingRequest):
            self._probe(body.target, on_behalf_of=(message.sender, body.number))
        elif isinstance(body, BucketDigests):
            self._pull_differing_buckets(message.sender, body)
        elif isinstance(body, Pull):
            self._handle_pull(message.sender, body)

    # -- failure detection -------------------------------------------------------------

    def _ping_successor(self) -> None:
        successors = self._members.successors(self.local_member.node, 2)
        if successors:
            round_number = self._tick // PING_INTERVAL_TICKS
            self._probe(successors[round_number % len(successors)])

    def _probe(
        self,
        target: NodeId,
        *,
        on_behalf_of: tuple[NodeId, int] | None = None,
    ) -> int:
        number = self._next_number()
        probe = _Probe(target, self._now, on_behalf_of=on_behalf_of)
        self._probe_by_number[number] = probe
        self._send(target, Ping(number), self._updates_for(target))
        return number

    def _handle_ping(self, sender: NodeId, ping: Ping) -> None:
        self._send(sender, Ack(ping.number), self._updates_for(sender))
        if sender not in self.member_by_node:
            # The sender is unknown here and sent no update of its own. It gets this node's
            # update; its own arrives when it compares its view with the digests of the acks.
            self._send(sender, Rumor(), (self.local_member,))

    def _handle_ack(self, ack: Ack) -> None:
        probe = self._probe_by_number.pop(ack.number, None)
        if probe is None:
            return
        self._answered_at = self._now
        self._suspected_since.pop(probe.target, None)
        member = self.member_by_node.get(probe.target)
        if member is not None and not probe.indirect:
            self._on_round_trip(member.update, self._now - probe.sent_at)
        if probe.on_behalf_of is not None:
            requester, number = probe.on_behalf_of
            self._send(requester, Ack(number))

    def _check_probes(self) -> None:
        for number, probe in list(self._probe_by_number.items()):
            age_s = self._now - probe.sent_at
            if not probe.indirect and age_s >= PING_TIMEOUT_S:
                self._start_indirect_probe(number, probe)
            elif probe.indirect and age_s >= PING_TIMEOUT_S + INDIRECT_TIMEOUT_S:
                del self._probe_by_number[number]
                self._suspect(probe.target)

    def _start_indirect_probe(self, number: int, probe: _Probe) -> None:
        if probe.on_behalf_of is not None:
            del self._probe_by_number[number]
            return
        probe.indirect = True
        self._send_ping_requests(number, probe.target)

    def _send_ping_requests(self, number: int, target: NodeId) -> None:
        for relay in self._sample(INDIRECT_PROBE_COUNT, exclude=target):
            self._send(relay, PingRequest(number, target))

    def _suspect(self, node: NodeId) -> None:
        member = self.member_by_node.get(node)
        if member is not None and member.update.state is MemberState.ALIVE:
            self._suspected_since.setdefault(node, self._now)

    def _check_suspicions(self) -> None:
        # A node that receives no acks at all is partitioned itself and must not declare others
        # dead.
        isolated = self._now - self._answered_at > ISOLATION_TIMEOUT_S and len(self._members) > 2
        for node, since in list(self._suspected_since.items()):
            member = self.member_by_node.get(node)
            if member is None or member.update.state is not MemberState.ALIVE:
                del self._suspected_since[node]
            elif self._now - since < SUSPICION_TIMEOUT_S or isolated:
                self._send_ping_requests(self._probe(node), node)
            else:
                del self._suspected_since[node]
                # No running node answers for the instances of a dead one, so they go with it.
                dead = replace(member.update, state=MemberState.DEAD, instances=())
                self._apply_update(dead)

    def _recontact(self) -> None:
        """Periodically ping one dead node and one random active node.

        The dead one, so that the end of a partition is noticed; the active one, so that the
        distances to all nodes get measured. Also drops members whose retention has expired.
        """
        if self._now - self._recontacted_at < RECONTACT_INTERVAL_S or self._leaving:
            return
        self._recontacted_at = self._now
        dead = []
        for node, member in list(self.member_by_node.items()):
            if member.update.state not in INACTIVE_STATES:
                continue
            if self._now - member.applied_at > TOMBSTONE_RETENTION_S:
                self._remove_member(node)
            elif member.update.state is MemberState.DEAD:
                dead.append(member.update)
        if dead:
            update = dead[self._rng.randrange(len(dead))]
            self._send(update.node, Ping(self._next_number()), (self.local_member, update))
        for node in self._sample(1, exclude=self.local_member.node):
            self._probe(node)

    # -- gossip ------------------------------------------------------------------------

    def _apply_update(self, update: MemberUpdate) -> None:
        if update.node == self.local_member.node:
            self._refute(update)
            return
        known = self.member_by_node.get(update.node)
        if known is not None and not update.supersedes(known.update):
            return
        self._members.put(update, self._now)
        self._gossip.add(update.node, self._tick)
        self._on_change(update)

    def _refute(self, update: MemberUpdate) -> None:
        stale = update.incarnation < self.local_member.incarnation
        if stale or update == self.local_member or self._leaving:
            return
        self._update_local_member(replace(self.local_member, incarnation=update.incarnation + 1))

    def _update_local_member(self, local_member: MemberUpdate) -> None:
        self.local_member = local_member
        self._members.put(local_member, self._now)
        self._gossip.add(local_member.node, self._tick)
        self._on_change(local_member)

    def _gossip_due(self) -> None:
        due = self._gossip.due(self._tick)
        for _ in range(DATAGRAMS_PER_ROUND):
            batch = pop_batch(due, self.member_by_node)
            if batch or self._version_rounds_left:
                self._gossip_round(batch)

    def _gossip_round(self, nodes: list[NodeId]) -> None:
        if self._version_rounds_left:
            self._version_rounds_left -= 1
        self._gossip.mark_sent(nodes, self._tick)
        updates = [self.member_by_node[node].update for node in nodes]
        for receiver in self._sample(GOSSIP_FANOUT, exclude=self.local_member.node):
            self._send(receiver, Rumor(), tuple(updates))
        for update in updates:
            # A node declared dead must receive the update, or it could not refute it.
            if update.state is MemberState.DEAD:
                self._send(update.node, Rumor(), (update,))

    def _updates_for(self, receiver: NodeId) -> tuple[MemberUpdate, ...]:
        member = self.member_by_node.get(receiver)
        if member is None:
            return (self.local_member,)
        if member.update.state is not MemberState.ALIVE:
            return (self.local_member, member.update)
        return ()

    # -- comparing views ---------------------------------------------------------------

    def _compare(self, message: Message) -> None:
        if message.digest == self.digest():
            self._mismatches = 0
            return
        self._mismatches += 1
        # Views differ briefly after every update; only a persistent difference counts.
        persistent = self._mismatches >= MISMATCHES_TO_COMPARE
        if persistent and self._now - self._compared_at >= COMPARE_INTERVAL_S:
            self._compared_at = self._now
            self._send(message.sender, BucketDigests(tuple(self._members.bucket_digests)))

    def _pull_differing_buckets(self, sender: NodeId, body: BucketDigests) -> None:
        differing = [
            index
            for index, digest in enumerate(body.digests[:BUCKET_COUNT])
            if digest != self._members.bucket_digests[index]
        ]
        if differing:
            self._send(sender, Pull(tuple(differing)))
            self._send_buckets(sender, differing)

    def _handle_pull(self, sender: NodeId, body: Pull) -> None:
        self._send_buckets(sender, body.buckets)

    def _send_buckets(self, receiver: NodeId, buckets: Iterable[int]) -> None:
        nodes = self._members.in_buckets(buckets)
        while batch := pop_batch(nodes, self.member_by_node):
            updates = tuple(self.member_by_node[node].update for node in batch)
            self._send(receiver, Rumor(), updates)

    # -- sending ----------------------------------------------------------------------

    def _remove_member(self, node: NodeId) -> None:
        self._members.remove(node)
        self._gossip.discard(node)

    def _sample(self, count: int, exclude: NodeId) -> list[NodeId]:
        return self._members.sample(count, (exclude, self.local_member.node), self._rng)

    def _next_number(self) -> int:
        self._last_number = (self._last_number + 1) & 0xFFFFFFFF
        return self._last_number

    def _send(
        self,
        receiver: NodeId,
        body: Rumor | Ping | Ack | PingRequest | BucketDigests | Pull,
        updates: tuple[MemberUpdate, ...] = (),
    ) -> None:
        evacuations, confirmed_ms = self._evacuations, self.document_confirmed_ms
        if evacuations is not None and _text_bytes(evacuations) > MAX_EVACUATION_BYTES:
            # A confirmation says that nothing newer is known than what its message names.
            evacuations, confirmed_ms = None, 0
        message = Message(
            self.local_member.node,
            body,
            self.document_version,
            self.digest(),
            updates,
            confirmed_ms,
            evacuations,
        )
        self._send_message(receiver, message)
