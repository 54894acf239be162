"""The nodes that one node knows: their newest updates, a ring of those present, and digests."""

from __future__ import annotations

import bisect
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from peridottrack.messages import MemberState, MemberUpdate
from peridottrack.types import NodeId, Random

BUCKET_COUNT = 32
HASH_BYTES = 8
INACTIVE_STATES = frozenset({MemberState.DEAD, MemberState.LEFT})


@dataclass(slots=True)
class Member:
    """What this node believes of another.

    Parameters
    ----------
    since
        Local time of the last change of state.
    """

    update: MemberUpdate
    since: float


class MemberList:
    """All members with what is derived from them, kept in step.

    Attributes
    ----------
    digest
        Equal in two rosters exactly if they hold the same updates of nodes that are not gone,
        but for chance.
    bucket_digests
        The same for each of `BUCKET_COUNT` parts.
    """

    def __init__(self) -> None:
        self._ring: list[tuple[int, NodeId]] = []
        self.member_by_node: dict[NodeId, Member] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.digest = 0

    def __len__(self) -> int:
        """Return the number of nodes that are not gone."""
        return len(self._ring)

    def put(self, update: MemberUpdate, now: float) -> None:
        """Take in an update in place of what was known."""
        old = self.member_by_node.get(update.node)
        change = _update_hash(update)
        if old is not None:
            change ^= _update_hash(old.update)
        self._change_digest(update.node, change)
        self.member_by_node[update.node] = Member(update, now)
        self._place_on_ring(update.node, update.state not in INACTIVE_STATES)

    def remove(self, node: NodeId) -> None:
        """Forget a node."""
        member = self.member_by_node.pop(node)
        self._change_digest(node, _update_hash(member.update))
        self._place_on_ring(node, False)

    def active_members(self) -> list[MemberUpdate]:
        """Return all nodes that are not gone."""
        return [
            member.update
            for member in self.member_by_node.values()
            if member.update.state not in INACTIVE_STATES
        ]

    def in_buckets(self, buckets: Iterable[int]) -> list[NodeId]:
        """Return the nodes of some buckets."""
        wanted = set(buckets)
        return [node for node in self.member_by_node if _bucket(node) in wanted]

    def successors(self, node: NodeId, count: int) -> list[NodeId]:
        """Return the nodes that come next on the ring."""
        ring = self._ring
        position = bisect.bisect_right(ring, (_hash(node), node))
        found: list[NodeId] = []
        for step in range(len(ring)):
            other = ring[(position + step) % len(ring)][1]
            if other != node:
                found.append(other)
            if len(found) == count:
                break
        return found

    def sample(self, count: int, exclude: tuple[NodeId, ...], rng: Random) -> list[NodeId]:
        """Return some nodes at random."""
        chosen: list[NodeId] = []
        for _ in range(min(len(self._ring), count * 3)):
            node = self._ring[rng.randrange(len(self._ring))][1]
            if node not in exclude and node not in chosen:
                chosen.append(node)
            if len(chosen) == count:
                break
        return chosen

    def _change_digest(self, node: NodeId, change: int) -> None:
        self.bucket_digests[_bucket(node)] ^= change
        self.digest ^= change

    def _place_on_ring(self, node: NodeId, present: bool) -> None:
        entry = (_hash(node), node)
        index = bisect.bisect_left(self._ring, entry)
        there = index < len(self._ring) and self._ring[index] == entry
        if present and not there:
            self._ring.insert(index, entry)
        elif there and not present:
            del self._ring[index]


@lru_cache(maxsize=8_192)
def _hash(node: NodeId) -> int:
    return int.from_bytes(hashlib.blake2b(node.encode(), digest_size=HASH_BYTES).digest(), "big")


def _bucket(node: NodeId) -> int:
    return _hash(node) % BUCKET_COUNT


def _update_hash(update: MemberUpdate) -> int:
    if update.state in INACTIVE_STATES:
        # Nodes forget the gone at different moments, which must not count as a difference.
        return 0
    text = f"{update.node} {update.incarnation} {update.state.value}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), "big")
