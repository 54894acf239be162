"""Which node should hold a slot: the one with the highest weight for it (rendezvous hashing)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from peridottrack.quotas.limits import Slot
from peridottrack.types import NodeId


@lru_cache(maxsize=32_768)
def _weight(slot: Slot, node: NodeId) -> bytes:
    return hashlib.blake2b(f"{slot} {node}".encode(), digest_size=8).digest()


def choose_holder(slot: Slot, nodes: Iterable[NodeId]) -> NodeId | None:
    """Return the node that should hold a slot, None without nodes."""
    return max(nodes, key=lambda node: _weight(slot, node), default=None)
