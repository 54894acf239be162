"""Queue of member updates to gossip, and how many of them fit into one datagram."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from peridottrack.memberlist import Member
from peridottrack.messages import MemberUpdate
from peridottrack.types import NodeId

GOSSIP_ROUNDS = 3
"""Rounds in which a node sends an update; `make bench-members` shows that 1,100 nodes get it."""
GOSSIP_INTERVAL_TICKS = 2
"""Ticks between these rounds, in which the receivers of the update already forward it."""
MAX_UPDATES_BYTES = 1_150
"""Space for updates in a datagram small enough not to be fragmented on common networks."""
UPDATE_BYTES = 75
"""Approximate encoded size of an update without instances, with names of usual length."""
INSTANCE_BYTES = 60
"""Approximate encoded size of each instance in an update, with names of usual length."""


@dataclass(slots=True)
class _Entry:
    """Remaining sends of one member's update."""

    rounds_left: int
    next_tick: int


class GossipQueue:
    """The members whose updates are still to be sent, in the order in which they were added."""

    def __init__(self) -> None:
        self._entry_by_node: dict[NodeId, _Entry] = {}

    def add(self, node: NodeId, tick: int) -> None:
        """Queue the update of a member; resets the remaining rounds if the member is queued."""
        self._entry_by_node[node] = _Entry(GOSSIP_ROUNDS, tick)

    def due(self, tick: int) -> list[NodeId]:
        """Return the members whose update is to be sent in this tick."""
        return [node for node, entry in self._entry_by_node.items() if entry.next_tick <= tick]

    def mark_sent(self, nodes: Iterable[NodeId], tick: int) -> None:
        """Record that the updates of some members were sent; drop those sent often enough."""
        for node in nodes:
            entry = self._entry_by_node[node]
            entry.rounds_left -= 1
            entry.next_tick = tick + GOSSIP_INTERVAL_TICKS
            if entry.rounds_left <= 0:
                del self._entry_by_node[node]

    def discard(self, node: NodeId) -> None:
        """Remove a member from the queue."""
        self._entry_by_node.pop(node, None)

    def clear(self) -> None:
        """Empty the queue."""
        self._entry_by_node.clear()


def pop_batch(nodes: list[NodeId], member_by_node: Mapping[NodeId, Member]) -> list[NodeId]:
    """Remove and return from the front of ``nodes`` as many members as fit into one datagram.

    At least one is returned unless ``nodes`` is empty.
    """
    free_bytes = MAX_UPDATES_BYTES
    count = 0
    for node in nodes:
        free_bytes -= _encoded_size(member_by_node[node].update)
        if free_bytes < 0 and count:
            break
        count += 1
    batch = nodes[:count]
    del nodes[:count]
    return batch


def _encoded_size(update: MemberUpdate) -> int:
    """Return the approximate bytes of an update in a datagram."""
    return UPDATE_BYTES + INSTANCE_BYTES * len(update.instances)
