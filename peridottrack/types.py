"""Identifiers, enums, small records and protocols that several modules share."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NewType, Protocol

NodeId = NewType("NodeId", str)
InstanceId = NewType("InstanceId", str)
ServiceName = NewType("ServiceName", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
SectionName = NewType("SectionName", str)
RequestId = NewType("RequestId", str)
ClaimKey = NewType("ClaimKey", str)
WriterId = NewType("WriterId", str)
Incarnation = NewType("Incarnation", str)
"""One start of an instance, which may keep its id when it starts again."""

ABSENT_VERSION = 0
"""The version of a row that does not exist."""


class Clock(Protocol):
    """Source of time.

    Notes
    -----
    ``now`` is monotonic and used for every duration within a process. ``wall`` is for stored
    timestamps, their age and incarnation numbers: clocks of different nodes may disagree.
    """

    def now(self) -> float:
        """Return monotonic seconds."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class Random(Protocol):
    """The subset of `random.Random` that the decision logic uses."""

    def random(self) -> float:
        """Return a float in [0, 1)."""
        ...

    def randrange(self, stop: int, /) -> int:
        """Return an integer in [0, stop)."""
        ...


class InstanceState(Enum):
    """What an instance has announced about itself."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Instance:
    """One upstream as announced to its local node.

    Parameters
    ----------
    instance_id
        Unique for each start of the upstream, so that a restart is a new instance.
    slots
        Maximum number of requests that the upstream runs at the same time.
    connections
        Maximum number of TCP connections that the upstream accepts.
    """

    instance_id: InstanceId
    service: ServiceName
    endpoint: Endpoint
    slots: int
    connections: int
    domain: FailureDomain
    state: InstanceState = InstanceState.READY


@dataclass(frozen=True, slots=True)
class RowKey:
    """Key of a row; the rows of one partition are ordered by ``sort``."""

    partition: str
    sort: str


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read from the table service."""

    key: RowKey
    value: bytes
    version: int
    writer: WriterId


@dataclass(frozen=True, slots=True)
class Page:
    """One page of a range query; ``after`` is the cursor of the next, None on the last."""

    rows: Sequence[Row]
    after: str | None


class WriteAction(Enum):
    """What a write does if its condition holds."""

    PUT = "put"
    DELETE = "delete"
    CHECK = "check"


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write of a transaction.

    Parameters
    ----------
    expected_version
        Version that the row must have, `ABSENT_VERSION` if it must not exist. A put sets the
        version to ``expected_version + 1``.
    """

    action: WriteAction
    key: RowKey
    expected_version: int
    value: bytes = b""


class WriteOutcome(Enum):
    """What is known about a transaction after its call."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class TableStore(Protocol):
    """The platform's transactional table service.

    Reads raise `StoreUnavailable`. Writes never raise for a failure of the store:
    ``REFUSED`` means that nothing was written, ``UNKNOWN`` that it may have been written or may
    still be.
    """

    async def get(self, key: RowKey) -> Row | None:
        """Read one row with a consistent read."""
        ...

    async def query(self, partition: str, after: str | None = None, limit: int = 100) -> Page:
        """Read the rows of a partition that sort behind ``after``, in order."""
        ...

    async def transact(self, writes: Sequence[Write], writer: WriterId) -> WriteOutcome:
        """Apply all writes or none; each row put records ``writer``."""
        ...


class ObjectStore(Protocol):
    """The platform's object store. Stored objects never change."""

    async def put_if_absent(self, name: str, body: bytes) -> WriteOutcome:
        """Store an object unless one of that name exists."""
        ...

    async def get(self, name: str) -> bytes | None:
        """Read an object; None if it does not exist."""
        ...

    async def list(self, prefix: str, after: str | None = None, limit: int = 100) -> Sequence[str]:
        """List the names that sort behind ``after``, in order."""
        ...

    async def delete(self, name: str) -> None:
        """Delete an object; a missing one is not an error."""
        ...
