"""At-most-once claims of keyed calls: records, the store's protocol, and one row a claim.

A claim is put under the condition that no row exists, before a byte goes to an upstream. Only
the attempt that put it may change it, and nobody ever takes it over. The guarantee therefore
rests on the table's conditions alone, not on clocks or leases.
"""

from __future__ import annotations

import base64
import hashlib
import json
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass, field, replace
from enum import Enum
from typing import Any, Protocol

from peridottrack.exceptions import StoreUnavailable
from peridottrack.store import new_writer_id, put_settled, scan
from peridottrack.types import (
    ABSENT_VERSION,
    ClaimKey,
    Clock,
    Row,
    RowKey,
    TableStore,
    Write,
    WriteAction,
    WriteOutcome,
    WriterId,
)

PARTITION_PREFIX = "claim/"
KEY_DIGEST_BYTES = 8
SCOPE_DIGEST_BYTES = 8
NOTE_SEPARATOR = "/"


class ClaimState(Enum):
    """How far a claimed call has come."""

    CLAIMED = "claimed"
    VOID = "void"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimId:
    """What a claim is made for.

    Parameters
    ----------
    key
        The caller's key, hashed; shared by all scopes so that an audit finds it.
    scope
        Route and caller's credential, hashed.
    """

    key: ClaimKey
    scope: str

    @property
    def text(self) -> str:
        """Key and scope in one string."""
        return self.key + self.scope

    @property
    def row_key(self) -> RowKey:
        """Where the claim's row lives."""
        return RowKey(PARTITION_PREFIX + self.key[:2], self.text)


def hash_key(key: str) -> ClaimKey:
    """Hash an Idempotency-Key, which may be secret."""
    return ClaimKey(hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest())


def claim_id(key: str, route: str, credential_hash: str) -> ClaimId:
    """Build the id of a claim; another route or credential makes another claim."""
    scope = hashlib.blake2b(f"{route}\n{credential_hash}".encode(), digest_size=SCOPE_DIGEST_BYTES)
    return ClaimId(hash_key(key), scope.hexdigest())


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """An upstream's whole answer; ``body`` is None if it was too large to keep."""

    status: int
    headers: list[list[str]]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The durable state of one claim.

    Parameters
    ----------
    fingerprint
        Digest of method, path and body.
    credential
        The caller's credential, hashed.
    node
        Node that made the claim, with the number of its start.
    claimed_wall_s, ended_wall_s
        Seconds since the Unix epoch, for people.
    instances
        Instances that the request was dispatched to, in order.
    """

    id: ClaimId
    state: ClaimState
    fingerprint: str
    credential: str
    request_id: str
    node: str
    claimed_wall_s: float
    instances: list[str] = field(default_factory=list)
    ended_wall_s: float | None = None
    answer: RecordedResponse | None = None

    def encode(self) -> bytes:
        """Return the row's value."""
        data = asdict(self)
        data["state"] = self.state.value
        if self.answer and self.answer.body is not None:
            data["answer"]["body"] = base64.b64encode(self.answer.body).decode()
        return json.dumps(data, separators=(",", ":")).encode()

    @staticmethod
    def decode(value: bytes) -> ClaimRecord:
        """Read a row's value."""
        data = json.loads(value)
        data["id"] = ClaimId(**data["id"])
        data["state"] = ClaimState(data["state"])
        if data["answer"] is not None:
            answer = RecordedResponse(**data["answer"])
            if answer.body is not None:
                answer = replace(answer, body=base64.b64decode(answer.body))
            data["answer"] = answer
        return ClaimRecord(**data)


class ClaimStatus(Enum):
    """What came of asking for a claim.

    ``REFUSED``: nothing was written and nothing will be. ``UNSETTLED``: the row may bear this
    attempt's id; it does not run all the same.
    """

    GRANTED = "granted"
    HELD = "held"
    REFUSED = "refused"
    UNSETTLED = "unsettled"


@dataclass(slots=True)
class ClaimHandle:
    """The right to run one claimed request once; only its holder changes the claim.

    Parameters
    ----------
    version
        Version of the claim's row as this ticket last wrote it.
    """

    record: ClaimRecord
    writer: WriterId
    version: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The answer to a request for a claim."""

    status: ClaimStatus
    handle: ClaimHandle | None = None
    record: ClaimRecord | None = None


class ClaimStore(Protocol):
    """Where claims are kept. No method raises for a fault of the platform."""

    async def claim(self, record: ClaimRecord) -> ClaimReply:
        """Ask for the right to run a request."""
        ...

    async def finish(self, ticket: ClaimHandle, record: ClaimRecord) -> bool:
        """Record how the request ended or that the claim is void; True if it is durable."""
        ...

    async def withdraw(self, ticket: ClaimHandle, record: ClaimRecord) -> bool:
        """Make an unsettled claim void, whether it was written or not; True if durable."""
        ...

    async def add_audit_note(self, claim: ClaimId, text: str) -> None:
        """Add a line to the claim's trail; it may be lost."""
        ...


class RowClaimStore:
    """One row of the table for each claim: two writes a call."""

    def __init__(self, table: TableStore, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    async def claim(self, record: ClaimRecord) -> ClaimReply:
        """Put the row if it is absent or void."""
        reply = await self._put(record, ABSENT_VERSION)
        held = reply.record
        if reply.status is not ClaimStatus.HELD or held is None:
            return reply
        if held.state is not ClaimState.VOID:
            return reply
        return await self._claim_voided(record)

    async def finish(self, ticket: ClaimHandle, record: ClaimRecord) -> bool:
        """Write the claim's new state under the condition that it is this ticket's."""
        key = record.id.row_key
        # The same id for each try of the same step, so that an earlier try that landed late is
        # recognised; another id than the claim's, so that a read-back can tell them apart.
        writer = WriterId(f"{ticket.writer}-{record.state.value}")
        settled = await put_settled(self._table, key, ticket.version, record.encode(), writer)
        if settled.outcome is WriteOutcome.APPLIED:
            ticket.version += 1
            ticket.record = record
            return True
        # Only this ticket may write on top of its claim, and it takes one step only. A newer row
        # by someone else therefore means that this step, a void, was made and then built upon.
        return settled.row is not None and settled.row.version > ticket.version

    async def withdraw(self, ticket: ClaimHandle, record: ClaimRecord) -> bool:
        """Write a void row in the claim's place, or over the claim if it was written.

        A void row in its place also keeps a late write of the claim from applying, since that
        expects an older version.
        """
        try:
            row = await self._table.get(record.id.row_key)
        except StoreUnavailable:
            return False
        written = row is not None and row.writer == ticket.writer
        version = row.version if row is not None else ABSENT_VERSION
        if not written and version >= ticket.version:
            # Someone else's claim or void is there, so ours can never apply.
            return True
        ticket.version = version
        return await self.finish(ticket, record)

    async def add_audit_note(self, claim: ClaimId, text: str) -> None:
        """Put a row of its own for the line."""
        wall_ms = int(self._clock.wall() * 1000)
        sort = f"{claim.text}{NOTE_SEPARATOR}{wall_ms:015d}-{new_writer_id()[:6]}"
        key = RowKey(claim.row_key.partition, sort)
        await self._table.transact(
            [Write(WriteAction.PUT, key, ABSENT_VERSION, text.encode())], new_writer_id()
        )

    async def _claim_voided(self, record: ClaimRecord) -> ClaimReply:
        try:
            row = await self._table.get(record.id.row_key)
        except StoreUnavailable:
            return ClaimReply(ClaimStatus.REFUSED)
        if row is None:
            return ClaimReply(ClaimStatus.REFUSED)
        if ClaimRecord.decode(row.value).state is not ClaimState.VOID:
            return _held(row)
        return await self._put(record, row.version)

    async def _put(self, record: ClaimRecord, expected: int) -> ClaimReply:
        writer = new_writer_id()
        key = record.id.row_key
        settled = await put_settled(self._table, key, expected, record.encode(), writer)
        if settled.outcome is WriteOutcome.APPLIED:
            return ClaimReply(ClaimStatus.GRANTED, ClaimHandle(record, writer, expected + 1))
        if settled.outcome is WriteOutcome.CONFLICT:
            return _held(settled.row)
        if settled.outcome is WriteOutcome.REFUSED:
            return ClaimReply(ClaimStatus.REFUSED)
        # Should the write land late, the holder of this ticket can void it later.
        ticket = ClaimHandle(record, writer, expected + 1)
        return ClaimReply(ClaimStatus.UNSETTLED, ticket)


def _held(row: Row | None) -> ClaimReply:
    record = ClaimRecord.decode(row.value) if row else None
    return ClaimReply(ClaimStatus.HELD, record=record)


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One line of the audit of a key."""

    record: ClaimRecord | None
    note: str = ""
    wall_s: float = 0.0


async def read_audit(table: TableStore, key: str) -> AsyncIterator[AuditEntry]:
    """Read all that the table knows of an Idempotency-Key, claims first, then their notes.

    Raises
    ------
    StoreUnavailable
        If the table does not answer.
    """
    hashed = hash_key(key)
    async for row in scan(table, PARTITION_PREFIX + hashed[:2], hashed):
        if not row.key.sort.startswith(hashed):
            return
        yield _trail_line(row)


def _trail_line(row: Row) -> AuditEntry:
    _, separator, stamp = row.key.sort.partition(NOTE_SEPARATOR)
    if separator:
        return AuditEntry(None, row.value.decode(), int(stamp.split("-")[0]) / 1000)
    record = ClaimRecord.decode(row.value)
    return AuditEntry(record, wall_s=record.claimed_wall_s)


def audit_fields(record: ClaimRecord) -> dict[str, Any]:
    """Return a record's fields for an audit, without secrets and bodies."""
    return {
        "claim": record.id.text,
        "state": record.state.value,
        "credential": record.credential,
        "request_id": record.request_id,
        "node": record.node,
        "claimed_wall_s": record.claimed_wall_s,
        "instances": record.instances,
        "ended_wall_s": record.ended_wall_s,
        "status": record.answer.status if record.answer else None,
    }
