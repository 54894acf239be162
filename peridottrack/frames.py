"""Frames on a connection between two nodes: typed records; `framecodec` makes bytes of them."""

from __future__ import annotations

from dataclasses import dataclass

from peridottrack.errors import ErrorKind, Ran
from peridottrack.slowdown import DEFAULT_SLOW_PERIOD_S
from peridottrack.types import FailureDomain, InstanceId, NodeId, ServiceName


@dataclass(frozen=True, slots=True)
class GateLoad:
    """What a gate says of its instance.

    Parameters
    ----------
    open
        Whether new requests are taken.
    limit
        Requests that the gate lets run at the same time.
    slowdown
        How many times longer than usual work took when the instance last said so.
    slowdown_age_s
        Seconds since then.
    cold
        Whether the instance started a short while ago.
    mean_slowdown, spell_s
        Long-term mean of the slowdown, and how long a slow spell lasts.
    """

    instance: InstanceId
    service: ServiceName
    open: bool
    slots: int
    limit: int
    running: int
    waiting: int
    slowdown: float = 1.0
    slowdown_age_s: float = 0.0
    cold: bool = False
    mean_slowdown: float = 1.0
    spell_s: float = DEFAULT_SLOW_PERIOD_S


@dataclass(frozen=True, slots=True)
class Hello:
    """Sent first by the side that connects.

    Parameters
    ----------
    compressed
        Whether all frames after this one are compressed, in both directions.
    """

    node: NodeId
    domain: FailureDomain
    document_version: int
    compressed: bool = False


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request for the instance beside the receiver.

    Parameters
    ----------
    budget_s
        Seconds that were left when it was sent.
    sent_at
        Sender's monotonic clock, to notice frames that were held up on the way.
    target_s
        Seconds within which the answer is worth most, counted like ``budget_s``; negative if
        that time is over.
    priority
        0 goes first when the instance has no slot free.
    resent
        Whether it may have reached an instance before.
    decline_if_slow
        Whether the sender knows a gate that is not slow, so that a slow one should decline.
    decline_if_full
        Whether it knows one that has room besides, so that one without should decline.
    """

    number: int
    budget_s: float
    sent_at: float
    target_s: float
    route: str
    priority: int
    idempotent: bool
    resent: bool
    method: str
    path: bytes
    head: bytes
    body: bytes
    instance: InstanceId
    decline_if_slow: bool = False
    decline_if_full: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller has left."""

    number: int


@dataclass(frozen=True, slots=True)
class InstanceResponse:
    """The instance's whole answer.

    Parameters
    ----------
    run_s
        Seconds that the run would have taken at usual speed.
    """

    number: int
    status: int
    head: bytes
    body: bytes
    load: GateLoad
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request got no answer of the instance.

    Parameters
    ----------
    retry_after_s
        Seconds after which another try has better prospects, 0 if not known.
    """

    number: int
    kind: ErrorKind
    ran: Ran
    retry_after_s: float
    load: GateLoad


@dataclass(frozen=True, slots=True)
class HedgeHint:
    """A running request began in a slow spell, so that a second send would be answered first."""

    number: int


@dataclass(frozen=True, slots=True)
class LinkPing:
    """Asks for a `LinkPong` with the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class LinkPong:
    """Answers a `LinkPing`."""

    number: int


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Asks for the document if it is newer than ``have``."""

    known_version: int


@dataclass(frozen=True, slots=True)
class DocumentFrame:
    """The document, in the form in which its source holds it."""

    version: int
    data: bytes


Frame = (
    Hello
    | ForwardedRequest
    | Cancel
    | InstanceResponse
    | Refusal
    | GateLoad
    | HedgeHint
    | LinkPing
    | LinkPong
    | DocumentRequest
    | DocumentFrame
)
