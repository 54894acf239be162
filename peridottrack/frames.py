"""The frames that two nodes exchange, as typed records; `framecodec` encodes them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from peridottrack.errors import ErrorKind, Ran
from peridottrack.evacuation import EvacuationSet
from peridottrack.slowdown import DEFAULT_SLOW_PERIOD_S
from peridottrack.types import FailureDomain, InstanceId, NodeId, ServiceName


@dataclass(frozen=True, slots=True)
class GateLoad:
    """A gate's report on its instance and its load.

    Parameters
    ----------
    open
        Whether new requests are admitted.
    limit
        Number of requests that the gate lets run concurrently.
    slowdown
        Factor by which work took longer than normal, as the instance last reported it.
    slowdown_age_s
        Seconds since that report.
    cold
        Whether the instance started recently and may still be slower than usual.
    mean_slowdown, spell_s
        Long-term mean of the slowdown, and the usual length of a slow period in seconds.
    rate_limit
        Requests a second that the instance takes from all nodes together, infinite for no limit.
    admissible
        Requests that the rate limit admits now; negative if others wait for it.
    start_time
        When the instance started by its own report, 0 if unknown; a later start has a higher one.
    leaving
        Whether the instance has announced that it leaves.
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
    rate_limit: float = math.inf
    admissible: float = 0.0
    start_time: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class LeftInstance:
    """An incarnation of an instance that has announced that it leaves.

    Parameters
    ----------
    start_time
        When it started by its own report, 0 if unknown.
    """

    instance: InstanceId
    start_time: int


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame on a connection, sent by the side that connects.

    Parameters
    ----------
    compressed
        Whether all frames after this one are compressed, in both directions.
    left_instance
        Instance of the receiver of which the sender knows that it leaves. The receiver may have
        restarted and not know of it.
    """

    node: NodeId
    domain: FailureDomain
    document_version: int
    compressed: bool = False
    left_instance: LeftInstance | None = None


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request for the instance behind the receiver's gate.

    Parameters
    ----------
    budget_s
        Seconds left until the deadline when the frame was sent.
    sent_at
        Sender's monotonic clock, for the receiver to detect frames that were delayed in transit.
    target_s
        Seconds left until the target latency when the frame was sent; negative if it has passed.
    priority
        Requests with a lower number are served first when the instance has no free slot.
    resent
        Whether an earlier send of the request may have reached an instance.
    decline_if_slow
        Whether the gate should decline while its host is slow: the sender knows a gate that is
        not known to be slow.
    decline_if_full
        Whether the gate should decline instead of queueing: the sender knows a gate with free
        capacity or is comparing queue lengths.
    account
        Name of the client account that asks, empty if there is none.
    returned
        Whether the caller has been refused before.
    body_bytes
        Size of a body that follows in `BodyPart` frames, 0 if ``body`` holds it.
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
    body: bytes | bytearray
    instance: InstanceId
    decline_if_slow: bool = False
    decline_if_full: bool = False
    account: str = ""
    returned: bool = False
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class BodyPart:
    """The next part of a body that is too large for the frame of its request or response.

    Parameters
    ----------
    number
        Number of the request; parts of its response come from the other side.
    """

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a request whose response is no longer needed."""

    number: int


@dataclass(frozen=True, slots=True)
class InstanceResponse:
    """The instance's complete response.

    Parameters
    ----------
    run_s
        Seconds that the run would have taken at normal speed.
    body_bytes
        Size of a body that follows in `BodyPart` frames, 0 if ``body`` holds it.
    """

    number: int
    status: int
    head: bytes
    body: bytes | bytearray
    load: GateLoad
    run_s: float = 0.0
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request ended without a response from the instance.

    Parameters
    ----------
    retry_after_s
        Seconds after which a retry is more likely to succeed, 0 if unknown.
    """

    number: int
    kind: ErrorKind
    ran: Ran
    retry_after_s: float
    load: GateLoad


@dataclass(frozen=True, slots=True)
class HedgeHint:
    """A running request started in a slow period, so that a hedge would be answered sooner."""

    number: int


@dataclass(frozen=True, slots=True)
class LinkPing:
    """Requests a `LinkPong` with the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class LinkPong:
    """Answers a `LinkPing`."""

    number: int


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Requests the document if it is newer than ``known_version``."""

    known_version: int


@dataclass(frozen=True, slots=True)
class DocumentFrame:
    """The document, encoded as its source stores it.

    Parameters
    ----------
    evacuations
        The evacuated failure domains as the sender knows them, None if none ever was.
    """

    version: int
    data: bytes
    evacuations: EvacuationSet | None = None


Frame = (
    Hello
    | ForwardedRequest
    | BodyPart
    | Cancel
    | InstanceResponse
    | Refusal
    | GateLoad
    | HedgeHint
    | LinkPing
    | LinkPong
    | DocumentRequest
    | DocumentFrame
    | EvacuationSet
)
