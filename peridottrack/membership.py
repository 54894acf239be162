"""Membership of nodes: failure detection and spread of news, without I/O.

Each node pings two neighbours on a ring of hashed addresses, so the cost for a node does not
grow with their number and each node is watched by two others. News travels as rumours to a few
random nodes at once; digests in each ping find what a rumour missed. The ways of the SWIM
protocol (indirect pings, suspicion, refutation by incarnation) keep busy nodes in. Suspicion
stays with the watcher, which asks on until it is answered or sure: told to all, it would cost the
most when datagrams are lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from peridottrack.gossipqueue import RUMOR_ROUNDS, GossipQueue, take_batch
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
"""How often `Membership.tick` is called."""
PING_EVERY_TICKS = 2
"""Ticks between two pings to the neighbours, one of the two in turn."""
PING_TIMEOUT_S = 0.45
INDIRECT_TIMEOUT_S = 0.5
"""How long an answer is waited for, directly and then through others."""
INDIRECT_NODES = 3
"""Nodes that are asked to ping one that did not answer."""
SUSPICION_S = 2.5
"""How long a node that answers nobody is asked on before it counts as dead."""
ISOLATED_S = 1.5
"""Time without any answer from which this node takes itself to be cut off."""
FANOUT = 4
"""Random nodes that are told of news in one round."""
DATAGRAMS_PER_ROUND = 2
"""Datagrams to each of them, so that a burst of news does not burst the network."""
MISMATCHES_TO_COMPARE = 3
"""Differing digests in a row after which views are compared: right after news they differ."""
COMPARE_GAP_S = 2.0
"""Least time between two comparisons."""
RECONTACT_GAP_S = 5.0
"""Time between two pings to nodes beyond the neighbours."""
TOMBSTONE_RETENTION_S = 6 * 3600.0
"""How long a node that is gone is remembered: longer than regions are usually apart."""
PAUSE_S = 1.0
"""Time between two ticks from which this process itself is taken to have stood still."""


@dataclass(slots=True)
class _Probe:
    """A ping that waits for its answer, for this node or on behalf of another."""

    target: NodeId
    sent_at: float
    indirect: bool = False
    on_behalf_of: tuple[NodeId, int] | None = None


class Membership:
    """One node's view of all nodes.

    Parameters
    ----------
    send
        Called for each message that has to go out; may drop it.
    changed
        Called with each update taken in.
    measured
        Called with a node and the seconds that a direct ping to it took.
    """

    def __init__(
        self,
        me: MemberUpdate,
        rng: Random,
        send: Send,
        changed: Callable[[MemberUpdate], None] = lambda update: None,
        measured: Callable[[MemberUpdate, float], None] = lambda update, round_trip_s: None,
    ) -> None:
        self._rng = rng
        self._send_out = send
        self._changed = changed
        self._measured = measured
        self._tick = 0
        self._ticked_at: float | None = None
        self._now = 0.0
        self._number = 0
        self._roster = MemberList()
        self._probe_by_number: dict[int, _Probe] = {}
        self._rumors = GossipQueue()
        self._version_rounds_left = 0
        self._mismatches = 0
        self._compared_at = float("-inf")
        self._recontacted_at = 0.0
        self._leaving = False
        self._suspected_since: dict[NodeId, float] = {}
        self._answered_at = 0.0
        self.document_version = 0
        self.member_by_node = self._roster.member_by_node
        self.local_member = me
        self._roster.put(me, self._now)

    # -- what this node says of itself -------------------------------------------------

    def set_local_member(self, me: MemberUpdate, now: float) -> None:
        """Change what this node announces; its incarnation grows."""
        self._now = now
        self._say_of_me(replace(me, incarnation=self.local_member.incarnation + 1))

    def leave(self, now: float) -> None:
        """Tell all that this node leaves."""
        self._now = now
        self._leaving = True
        self._say_of_me(
            replace(
                self.local_member,
                state=MemberState.LEFT,
                incarnation=self.local_member.incarnation + 1,
            )
        )

    def set_document_version(self, version: int, now: float) -> None:
        """Tell others that this node has a newer document."""
        self._now = now
        if version > self.document_version:
            self.document_version = version
            self._version_rounds_left = RUMOR_ROUNDS
            self._tell_round([])

    def join(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Take in nodes read from the table."""
        self._now = now
        for update in updates:
            self._take_in(update)

    def contact_seeds(self, nodes: Iterable[NodeId], now: float) -> None:
        """Ping nodes by address alone, to join through them."""
        self._now = now
        for node in nodes:
            if node != self.local_member.node:
                self._send(node, Ping(self._next_number()), (self.local_member,))

    def discard_queued_updates(self) -> None:
        """Tell nobody of what was taken in so far, since it came from where all can read it."""
        self._rumors.clear()
        self._rumors.add(self.local_member.node, self._tick)

    # -- queries -----------------------------------------------------------------------

    def active_members(self) -> list[MemberUpdate]:
        """Return all nodes that are not gone, this one included."""
        return self._roster.active_members()

    def digest(self) -> int:
        """Return a digest of the whole view, equal in nodes that agree."""
        return self._roster.digest

    # -- time --------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do what is due; to be called every `TICK_S` seconds."""
        paused = self._ticked_at is not None and now - self._ticked_at > PAUSE_S
        self._now = now
        self._ticked_at = now
        self._tick += 1
        if paused:
            # Answers were missed because this node slept, which says nothing of others.
            self._probe_by_number.clear()
            self._suspected_since.clear()
        self._check_probes()
        self._check_suspicions()
        if self._tick % PING_EVERY_TICKS == 0 and not self._leaving:
            self._ping_neighbour()
        self._tell_due()
        self._recontact()

    def receive(self, message: Message, now: float) -> None:
        """Take in a message."""
        self._now = now
        for update in message.updates:
            self._take_in(update)
        body = message.body
        if message.sender not in self.member_by_node and len(self._roster) == 1:
            # This node knows nobody, so it joins through the first one that it hears.
            self._send(message.sender, Pull(tuple(range(BUCKET_COUNT))), (self.local_member,))
        if isinstance(body, Ping):
            self._answer_ping(message.sender, body)
        elif isinstance(body, Ack):
            self._take_ack(body)
            self._compare(message)
        elif isinstance(body, PingRequest):
            self._probe(body.target, on_behalf_of=(message.sender, body.number))
        elif isinstance(body, BucketDigests):
            self._pull_differing(message.sender, body)
        elif isinstance(body, Pull):
            self._answer_pull(message.sender, body)

    # -- pings -------------------------------------------------------------------------

    def _ping_neighbour(self) -> None:
        neighbours = self._roster.successors(self.local_member.node, 2)
        if neighbours:
            turn = self._tick // PING_EVERY_TICKS
            self._probe(neighbours[turn % len(neighbours)])

    def _probe(
        self,
        target: NodeId,
        *,
        on_behalf_of: tuple[NodeId, int] | None = None,
    ) -> int:
        number = self._next_number()
        probe = _Probe(target, self._now, on_behalf_of=on_behalf_of)
        self._probe_by_number[number] = probe
        self._send(target, Ping(number), self._news_for(target))
        return number

    def _answer_ping(self, sender: NodeId, ping: Ping) -> None:
        self._send(sender, Ack(ping.number), self._news_for(sender))
        if sender not in self.member_by_node:
            # A stranger that did not introduce itself: tell it of us, it will answer.
            self._send(sender, Rumor(), (self.local_member,))

    def _take_ack(self, ack: Ack) -> None:
        probe = self._probe_by_number.pop(ack.number, None)
        if probe is None:
            return
        self._answered_at = self._now
        self._suspected_since.pop(probe.target, None)
        member = self.member_by_node.get(probe.target)
        if member is not None and not probe.indirect:
            self._measured(member.update, self._now - probe.sent_at)
        if probe.on_behalf_of is not None:
            requester, number = probe.on_behalf_of
            self._send(requester, Ack(number))

    def _check_probes(self) -> None:
        for number, probe in list(self._probe_by_number.items()):
            age_s = self._now - probe.sent_at
            if not probe.indirect and age_s >= PING_TIMEOUT_S:
                self._go_indirect(number, probe)
            elif probe.indirect and age_s >= PING_TIMEOUT_S + INDIRECT_TIMEOUT_S:
                del self._probe_by_number[number]
                self._suspect(probe.target)

    def _go_indirect(self, number: int, probe: _Probe) -> None:
        if probe.on_behalf_of is not None:
            del self._probe_by_number[number]
            return
        probe.indirect = True
        self._ask_helpers(number, probe.target)

    def _ask_helpers(self, number: int, target: NodeId) -> None:
        for helper in self._sample(INDIRECT_NODES, exclude=target):
            self._send(helper, PingRequest(number, target))

    def _suspect(self, node: NodeId) -> None:
        member = self.member_by_node.get(node)
        if member is not None and member.update.state is MemberState.ALIVE:
            self._suspected_since.setdefault(node, self._now)

    def _check_suspicions(self) -> None:
        # A node that nobody answers is itself cut off, and must not accuse the rest.
        isolated = self._now - self._answered_at > ISOLATED_S and len(self._roster) > 2
        for node, since in list(self._suspected_since.items()):
            member = self.member_by_node.get(node)
            if member is None or member.update.state is not MemberState.ALIVE:
                del self._suspected_since[node]
            elif self._now - since < SUSPICION_S or isolated:
                self._ask_helpers(self._probe(node), node)
            else:
                del self._suspected_since[node]
                # The instances of a dead node are vouched for by nobody.
                gone = replace(member.update, state=MemberState.DEAD, instances=())
                self._take_in(gone)

    def _recontact(self) -> None:
        """Ping nodes beyond the neighbours now and then.

        One that is gone, so that a healed network is noticed, and one that is present, so that
        all distances get known.
        """
        if self._now - self._recontacted_at < RECONTACT_GAP_S or self._leaving:
            return
        self._recontacted_at = self._now
        gone = []
        for node, member in list(self.member_by_node.items()):
            if member.update.state not in INACTIVE_STATES:
                continue
            if self._now - member.since > TOMBSTONE_RETENTION_S:
                self._forget(node)
            elif member.update.state is MemberState.DEAD:
                gone.append(member.update)
        if gone:
            update = gone[self._rng.randrange(len(gone))]
            self._send(update.node, Ping(self._next_number()), (self.local_member, update))
        for node in self._sample(1, exclude=self.local_member.node):
            self._probe(node)

    # -- news --------------------------------------------------------------------------

    def _take_in(self, update: MemberUpdate) -> None:
        if update.node == self.local_member.node:
            self._refute(update)
            return
        known = self.member_by_node.get(update.node)
        if known is not None and not update.supersedes(known.update):
            return
        self._roster.put(update, self._now)
        self._rumors.add(update.node, self._tick)
        self._changed(update)

    def _refute(self, update: MemberUpdate) -> None:
        stale = update.incarnation < self.local_member.incarnation
        if stale or update == self.local_member or self._leaving:
            return
        self._say_of_me(replace(self.local_member, incarnation=update.incarnation + 1))

    def _say_of_me(self, me: MemberUpdate) -> None:
        self.local_member = me
        self._roster.put(me, self._now)
        self._rumors.add(me.node, self._tick)
        self._changed(me)

    def _tell_due(self) -> None:
        due = self._rumors.due(self._tick)
        for _ in range(DATAGRAMS_PER_ROUND):
            batch = take_batch(due, self.member_by_node)
            if batch or self._version_rounds_left:
                self._tell_round(batch)

    def _tell_round(self, nodes: list[NodeId]) -> None:
        if self._version_rounds_left:
            self._version_rounds_left -= 1
        self._rumors.mark_sent(nodes, self._tick)
        updates = [self.member_by_node[node].update for node in nodes]
        for receiver in self._sample(FANOUT, exclude=self.local_member.node):
            self._send(receiver, Rumor(), tuple(updates))
        for update in updates:
            # The one concerned must hear it, or it could not refute.
            if update.state is MemberState.DEAD:
                self._send(update.node, Rumor(), (update,))

    def _news_for(self, receiver: NodeId) -> tuple[MemberUpdate, ...]:
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
        # Right after news two views differ for a moment; only a lasting difference counts.
        lasting = self._mismatches >= MISMATCHES_TO_COMPARE
        if lasting and self._now - self._compared_at >= COMPARE_GAP_S:
            self._compared_at = self._now
            self._send(message.sender, BucketDigests(tuple(self._roster.bucket_digests)))

    def _pull_differing(self, sender: NodeId, body: BucketDigests) -> None:
        differing = [
            index
            for index, digest in enumerate(body.digests[:BUCKET_COUNT])
            if digest != self._roster.bucket_digests[index]
        ]
        if differing:
            self._send(sender, Pull(tuple(differing)))
            self._send_buckets(sender, differing)

    def _answer_pull(self, sender: NodeId, body: Pull) -> None:
        self._send_buckets(sender, body.buckets)

    def _send_buckets(self, receiver: NodeId, buckets: Iterable[int]) -> None:
        nodes = self._roster.in_buckets(buckets)
        while batch := take_batch(nodes, self.member_by_node):
            told = tuple(self.member_by_node[node].update for node in batch)
            self._send(receiver, Rumor(), told)

    # -- sending ----------------------------------------------------------------------

    def _forget(self, node: NodeId) -> None:
        self._roster.remove(node)
        self._rumors.discard(node)

    def _sample(self, count: int, exclude: NodeId) -> list[NodeId]:
        return self._roster.sample(count, (exclude, self.local_member.node), self._rng)

    def _next_number(self) -> int:
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number

    def _send(
        self,
        receiver: NodeId,
        body: Rumor | Ping | Ack | PingRequest | BucketDigests | Pull,
        updates: tuple[MemberUpdate, ...] = (),
    ) -> None:
        message = Message(
            self.local_member.node, body, self.document_version, self.digest(), updates
        )
        self._send_out(receiver, message)
