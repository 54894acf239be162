"""Messages between nodes, as typed records; `peridottrack.datagramcodec` encodes them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from peridottrack.types import Endpoint, FailureDomain, Instance, InstanceId, NodeId, Region


class MemberState(Enum):
    """What is believed of a node."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """News of one node; a higher incarnation, or a worse state in the same one, wins.

    Parameters
    ----------
    node
        The node's gossip address, ``IP:PORT``.
    incarnation
        Set by the node itself; a restart and every change make it higher.
    store_unavailable
        Whether the platform's store did not answer the node's last call.
    """

    node: NodeId
    incarnation: int
    state: MemberState
    admin: Endpoint
    domain: FailureDomain
    region: Region
    instances: tuple[Instance, ...] = ()
    store_unavailable: bool = False

    def supersedes(self, other: MemberUpdate) -> bool:
        """Tell whether this is newer than what another update says of the same node."""
        mine = (self.incarnation, self.state.value)
        return mine > (other.incarnation, other.state.value)


@dataclass(frozen=True, slots=True)
class Rumor:
    """Carries updates only."""


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an `Ack` with the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`."""

    number: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping a third node and pass its answer on."""

    number: int
    target: NodeId


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """Digests of parts of the membership, to find where two nodes differ."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for all updates of some buckets; brings the sender's own."""

    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LoadEntry:
    """In-flight requests of an instance: the sender's own, or all callers' sum.

    Parameters
    ----------
    sender_count
        Nodes that the sum covers; 0 in a report.
    """

    instance: InstanceId
    in_flight: int
    sender_count: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A caller's node tells the instance's node its requests in flight."""

    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True, slots=True)
class LoadReply:
    """The instance's node answers with the sum over all senders."""

    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True, slots=True)
class SlownessReport:
    """The instance's node tells its callers' nodes that it runs slow, or well again.

    Parameters
    ----------
    factor
        How much longer work takes; 1.0 when well.
    valid_ms
        Milliseconds for which it counts unless renewed.
    number
        Grows with each such message of an instance, so that a late one is ignored.
    """

    instance: InstanceId
    factor: float
    valid_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An instance broke off while it ran a request with this fingerprint."""

    fingerprint: str
    instance: InstanceId


Body = (
    Rumor
    | Ping
    | Ack
    | PingRequest
    | BucketDigests
    | Pull
    | LoadReport
    | LoadReply
    | SlownessReport
    | CrashReport
)


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram's content.

    Parameters
    ----------
    digest
        Digest of the sender's membership, 64 bits.
    """

    sender: NodeId
    body: Body
    document_version: int = 0
    digest: int = 0
    updates: tuple[MemberUpdate, ...] = ()


Send = Callable[[NodeId, Message], object]
