"""Messages between nodes, as typed records; `peridottrack.datagramcodec` encodes them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from peridottrack.evacuation import EvacuationSet
from peridottrack.types import (
    Endpoint,
    FailureDomain,
    Incarnation,
    Instance,
    InstanceId,
    NodeId,
    Region,
    ServiceName,
)


class MemberState(Enum):
    """State of a node as its peers see it."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of one node; a higher incarnation, or a worse state in the same one, takes precedence.

    Parameters
    ----------
    node
        The node's gossip address, ``IP:PORT``.
    incarnation
        Set by the node itself; increases with each restart and each change.
    service
        Service of the instance behind the node's gate; empty on a node without a gate.
    """

    node: NodeId
    incarnation: int
    state: MemberState
    admin: Endpoint
    domain: FailureDomain
    region: Region
    instances: tuple[Instance, ...] = ()
    service: ServiceName = ServiceName("")

    def supersedes(self, other: MemberUpdate) -> bool:
        """Return whether this update takes precedence over another of the same node."""
        own = (self.incarnation, self.state.value)
        return own > (other.incarnation, other.state.value)


@dataclass(frozen=True, slots=True)
class Rumor:
    """A message with updates only."""


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an `Ack` with the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`."""

    number: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Requests the receiver to ping a third node and to relay its `Ack`."""

    number: int
    target: NodeId


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """Digests of the buckets of the member list, to find those in which two nodes differ."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Pull:
    """Requests the updates of all members in some buckets."""

    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LoadEntry:
    """In-flight requests at an instance: the sender's own, or the sum over all nodes.

    Parameters
    ----------
    sender_count
        Number of nodes that the sum covers; 0 in a `LoadReport`.
    """

    instance: InstanceId
    in_flight: int
    sender_count: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A node that sends requests to instances reports those in flight to the instances' node."""

    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True, slots=True)
class LoadReply:
    """The node on the instances' host replies with the sum over all sending nodes."""

    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True, slots=True)
class SlownessReport:
    """The node on an instance's host reports that the instance became slow or recovered.

    It is sent to the nodes that send requests to the instance.

    Parameters
    ----------
    factor
        Factor by which runs take longer than usual; 1.0 at normal speed.
    valid_ms
        Milliseconds for which the report is valid unless renewed.
    number
        Sequence number of the instance's reports, so that one that arrives late is ignored.
    """

    instance: InstanceId
    factor: float
    valid_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An instance broke the connection while it ran the request with this fingerprint."""

    fingerprint: str
    crashed: Incarnation


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """An instance has announced that it leaves."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class QuotaAskEntry:
    """An ask for tokens of one client account.

    Parameters
    ----------
    account
        Digest of the account's name.
    need, want
        Requests that wait for a token, and tokens for requests that are expected soon.
    refused
        Requests that the sender has refused without asking.
    """

    account: int
    need: int
    want: int
    refused: int


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """A node lends its share of quotas to the receiver and asks it for tokens.

    Parameters
    ----------
    number
        Number of the ask, which the `QuotaGrant` repeats.
    stamp
        The newest stamp of the receiver's messages; 0 if unknown.
    slots
        Number of slots into which the sender divides the accounts.
    lent, credited
        Slots that are lent, and those of them whose loan entitles to tokens at once, as bits.
    loan_ms
        Milliseconds from the stamp for which the loan holds.
    """

    number: int
    stamp: int
    slots: int
    lent: int
    credited: int
    loan_ms: int
    entries: tuple[QuotaAskEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class QuotaGrantEntry:
    """Tokens of one client account.

    Parameters
    ----------
    tokens
        Tokens granted, which expire a fixed time after the ask.
    retry_ms
        Milliseconds after which a request that got none would pass.
    hold_ms
        Milliseconds for which the receiver need not ask again.
    unsettled
        Whether the sender cannot tell how much of the quota is left.
    """

    account: int
    tokens: int
    retry_ms: int
    hold_ms: int
    unsettled: bool


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Response to a `QuotaAsk`.

    Parameters
    ----------
    stamp
        Time of the sender, which means nothing to others.
    released
        Whether the sender gives up all loans of the receiver.
    """

    number: int
    stamp: int
    released: bool
    entries: tuple[QuotaGrantEntry, ...] = ()


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
    | LeavingReport
    | QuotaAsk
    | QuotaGrant
)


@dataclass(frozen=True, slots=True)
class Message:
    """Content of one datagram.

    Parameters
    ----------
    document_version
        Version of the document in force on the sender.
    digest
        64-bit digest of the sender's member list.
    document_confirmed_ms
        Latest time of the store's clock, in milliseconds, at which the sender knows that the store
        had no newer document; 0 if unknown.
    evacuations
        The evacuated failure domains as the sender knows them, None if none ever was.
    """

    sender: NodeId
    body: Body
    document_version: int = 0
    digest: int = 0
    updates: tuple[MemberUpdate, ...] = ()
    document_confirmed_ms: int = 0
    evacuations: EvacuationSet | None = None


Send = Callable[[NodeId, Message], object]
