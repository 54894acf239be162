"""The members that a node knows: their latest updates, a ring of the active ones, and digests."""

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
    """The latest update of a node and when it was received.

    Parameters
    ----------
    applied_at
        Local time at which the update was applied.
    """

    update: MemberUpdate
    applied_at: float


class MemberList:
    """All members, with the ring and the digests derived from them.

    Attributes
    ----------
    digest
        Equal for lists with the same updates of active nodes; different for others, except for
        hash collisions.
    bucket_digests
        The same for each of the `BUCKET_COUNT` buckets into which node ids are hashed.
    """

    def __init__(self) -> None:
        self._ring: list[tuple[int, NodeId]] = []
        self.member_by_node: dict[NodeId, Member] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.digest = 0

    def __len__(self) -> int:
        """Return the number of active nodes."""
        return len(self._ring)

    def put(self, update: MemberUpdate, now: float) -> None:
        """Store an update in place of the previous one of the same node."""
        old = self.member_by_node.get(update.node)
        change = _update_hash(update)
        if old is not None:
            change ^= _update_hash(old.update)
        self._toggle_digest(update.node, change)
        self.member_by_node[update.node] = Member(update, now)
        self._set_on_ring(update.node, update.state not in INACTIVE_STATES)

    def remove(self, node: NodeId) -> None:
        """Remove a node."""
        member = self.member_by_node.pop(node)
        self._toggle_digest(node, _update_hash(member.update))
        self._set_on_ring(node, False)

    def active_members(self) -> list[MemberUpdate]:
        """Return the updates of all active nodes."""
        return [
            member.update
            for member in self.member_by_node.values()
            if member.update.state not in INACTIVE_STATES
        ]

    def in_buckets(self, buckets: Iterable[int]) -> list[NodeId]:
        """Return the nodes whose ids hash into one of ``buckets``."""
        selected = set(buckets)
        return [node for node in self.member_by_node if _bucket(node) in selected]

    def successors(self, node: NodeId, count: int) -> list[NodeId]:
        """Return the nodes that follow ``node`` on the ring, ``count`` at most."""
        ring = self._ring
        position = bisect.bisect_right(ring, (_hash(node), node))
        successors: list[NodeId] = []
        for step in range(len(ring)):
            other = ring[(position + step) % len(ring)][1]
            if other != node:
                successors.append(other)
            if len(successors) == count:
                break
        return successors

    def sample(self, count: int, exclude: tuple[NodeId, ...], rng: Random) -> list[NodeId]:
        """Return up to ``count`` random active nodes, possibly fewer if many are excluded."""
        chosen: list[NodeId] = []
        for _ in range(min(len(self._ring), count * 3)):
            node = self._ring[rng.randrange(len(self._ring))][1]
            if node not in exclude and node not in chosen:
                chosen.append(node)
            if len(chosen) == count:
                break
        return chosen

    def _toggle_digest(self, node: NodeId, change: int) -> None:
        self.bucket_digests[_bucket(node)] ^= change
        self.digest ^= change

    def _set_on_ring(self, node: NodeId, active: bool) -> None:
        entry = (_hash(node), node)
        index = bisect.bisect_left(self._ring, entry)
        listed = index < len(self._ring) and self._ring[index] == entry
        if active and not listed:
            self._ring.insert(index, entry)
        elif listed and not active:
            del self._ring[index]


@lru_cache(maxsize=8_192)
def _hash(node: NodeId) -> int:
    return int.from_bytes(hashlib.blake2b(node.encode(), digest_size=HASH_BYTES).digest(), "big")


def _bucket(node: NodeId) -> int:
    return _hash(node) % BUCKET_COUNT


def _update_hash(update: MemberUpdate) -> int:
    if update.state in INACTIVE_STATES:
        # Nodes drop inactive members at different times, which must not count as a difference.
        return 0
    text = f"{update.node} {update.incarnation} {update.state.value}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), "big")
