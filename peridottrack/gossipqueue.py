"""Which news of members is still told to others, and how much of it fits one datagram."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from peridottrack.memberlist import Member
from peridottrack.messages import MemberUpdate
from peridottrack.types import NodeId

RUMOR_ROUNDS = 3
"""Times that a node tells a piece of news; `make bench-members` shows that 1,100 nodes hear it."""
RUMOR_GAP_TICKS = 2
"""Ticks between two of them, so that others tell it meanwhile."""
DATAGRAM_ROOM_BYTES = 1_150
"""Room for updates in a datagram that no common network cuts in two."""
UPDATE_BYTES = 75
INSTANCE_BYTES = 60
"""Rough sizes of an update and of each instance in it, names of usual length included."""


@dataclass(slots=True)
class _Spread:
    """A rumour that is still told to others."""

    rounds_left: int
    next_tick: int


class GossipQueue:
    """The members whose news is still told, oldest news first."""

    def __init__(self) -> None:
        self._spread_by_node: dict[NodeId, _Spread] = {}

    def add(self, node: NodeId, tick: int) -> None:
        """Begin to tell the news of a member."""
        self._spread_by_node[node] = _Spread(RUMOR_ROUNDS, tick)

    def due(self, tick: int) -> list[NodeId]:
        """Return the members whose news is to be told now."""
        return [node for node, spread in self._spread_by_node.items() if spread.next_tick <= tick]

    def mark_sent(self, nodes: Iterable[NodeId], tick: int) -> None:
        """Note that the news of some members was told."""
        for node in nodes:
            spread = self._spread_by_node[node]
            spread.rounds_left -= 1
            spread.next_tick = tick + RUMOR_GAP_TICKS
            if spread.rounds_left <= 0:
                del self._spread_by_node[node]

    def discard(self, node: NodeId) -> None:
        """Tell no more of a member."""
        self._spread_by_node.pop(node, None)

    def clear(self) -> None:
        """Tell nothing more."""
        self._spread_by_node.clear()


def take_batch(nodes: list[NodeId], member_by_node: Mapping[NodeId, Member]) -> list[NodeId]:
    """Take from the front as many members as fit one datagram."""
    room = DATAGRAM_ROOM_BYTES
    count = 0
    for node in nodes:
        room -= _size(member_by_node[node].update)
        if room < 0 and count:
            break
        count += 1
    batch = nodes[:count]
    del nodes[:count]
    return batch


def _size(update: MemberUpdate) -> int:
    """Return roughly the bytes of an update in a datagram."""
    return UPDATE_BYTES + INSTANCE_BYTES * len(update.instances)
