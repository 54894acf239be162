"""Subsetting: which instances of a service one node calls.

Subsets are balanced over the instances, and change little when instances come or go.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from peridottrack.types import Instance, NodeId


def choose_subset(
    node: NodeId, instances: Iterable[Instance], size: int, domain: str
) -> list[Instance]:
    """Choose instances by rendezvous hashing, those of the own failure domain first.

    Up to half of the subset is reserved for other domains, so that there are instances to call
    at once when the own domain fails.

    Parameters
    ----------
    size
        Size of the subset; all instances are returned if there are fewer.
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
