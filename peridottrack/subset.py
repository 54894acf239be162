"""Which instances of a service one node calls, balanced and stable when members change."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from peridottrack.types import Instance, NodeId


def choose_subset(
    node: NodeId, instances: Iterable[Instance], size: int, domain: str
) -> list[Instance]:
    """Pick instances by rendezvous hashing, those of the own failure domain first.

    Half of the subset at most is kept for other domains, so that losing the own domain leaves
    instances to call at once.

    Parameters
    ----------
    size
        Instances that are wanted; all are returned if there are fewer.
    """
    candidates = list(instances)
    if len(candidates) <= size:
        return candidates
    ranked = sorted(candidates, key=lambda instance: _weight(node, instance))
    near = [instance for instance in ranked if instance.domain == domain]
    far = [instance for instance in ranked if instance.domain != domain]
    near_count = max(size - len(far), min(len(near), (size + 1) // 2))
    return near[:near_count] + far[: size - near_count]


def _weight(node: NodeId, instance: Instance) -> bytes:
    text = f"{node} {instance.instance_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
