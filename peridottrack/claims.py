"""At-most-once execution of calls that carry an Idempotency-Key.

Defines the claim records, the `ClaimStore` protocol and a store with one table row per claim.

A claim is written on condition that no row exists, before any byte is sent to an upstream. Only
the attempt that wrote it may change it, and it never passes to another attempt. The guarantee
therefore depends only on the table's conditional writes, not on clocks or leases.
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
    """Progress of a claimed call.

    ``VOID``: the call did not run and its key may be claimed again. ``DONE``: the upstream's
    response is recorded. ``UNKNOWN``: the call may have run.
    """

    CLAIMED = "claimed"
    VOID = "void"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimId:
    """Identity of a claim.

    Parameters
    ----------
    key
        Hash of the caller's Idempotency-Key; the same in all scopes, so that an audit finds every
        claim of a key.
    scope
        Hash of the route and the caller's credential.
    """

    key: ClaimKey
    scope: str

    @property
    def text(self) -> str:
        """Key and scope as one string."""
        return self.key + self.scope

    @property
    def row_key(self) -> RowKey:
        """Key of the claim's table row."""
        return RowKey(PARTITION_PREFIX + self.key[:2], self.text)


def hash_key(key: str) -> ClaimKey:
    """Hash an Idempotency-Key, which may be secret."""
    return ClaimKey(hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest())


def claim_id(key: str, route: str, credential_hash: str) -> ClaimId:
    """Return the id of a claim; a different route or credential gives a different claim."""
    scope = hashlib.blake2b(f"{route}\n{credential_hash}".encode(), digest_size=SCOPE_DIGEST_BYTES)
    return ClaimId(hash_key(key), scope.hexdigest())


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """An upstream's complete response; ``body`` is None if it was too large to store."""

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
        Hash of the caller's credential.
    node
        Node that made the claim, with the node's incarnation.
    claimed_wall_s, ended_wall_s
        Seconds since the Unix epoch by the node's wall clock; at-most-once execution does not
        depend on them.
    instances
        Instances that the request was dispatched to, in order of dispatch.
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
        """Serialize the record as the value of its row."""
        data = asdict(self)
        data["state"] = self.state.value
        if self.answer and self.answer.body is not None:
            data["answer"]["body"] = base64.b64encode(self.answer.body).decode()
        return json.dumps(data, separators=(",", ":")).encode()

    @staticmethod
    def decode(value: bytes) -> ClaimRecord:
        """Deserialize the value of a claim's row."""
        data = json.loads(value)
        data["id"] = ClaimId(**data["id"])
        data["state"] = ClaimState(data["state"])
        if data["answer"] is not None:
            response = RecordedResponse(**data["answer"])
            if response.body is not None:
                response = replace(response, body=base64.b64decode(response.body))
            data["answer"] = response
        return ClaimRecord(**data)


class ClaimStatus(Enum):
    """Outcome of a request for a claim.

    The call may run only if the claim is ``GRANTED``. ``HELD``: another attempt has claimed the
    key. ``REFUSED``: nothing was written and nothing will be. ``UNSETTLED``: the claim may have
    been written, so it has to be withdrawn.
    """

    GRANTED = "granted"
    HELD = "held"
    REFUSED = "refused"
    UNSETTLED = "unsettled"


@dataclass(slots=True)
class ClaimHandle:
    """Right to change one claim and, if the claim was granted, to run its call once.

    Parameters
    ----------
    writer
        Writer id of the claim; a row with it is this handle's.
    version
        Version of the claim's row as last written through this handle, or the version that an
        unsettled write of the claim produces if it is applied.
    """

    record: ClaimRecord
    writer: WriterId
    version: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Result of a request for a claim."""

    status: ClaimStatus
    handle: ClaimHandle | None = None
    record: ClaimRecord | None = None


class ClaimStore(Protocol):
    """Storage of claims. No method raises an exception when the platform fails."""

    async def claim(self, record: ClaimRecord) -> ClaimReply:
        """Request the right to run a call."""
        ...

    async def finish(self, handle: ClaimHandle, record: ClaimRecord) -> bool:
        """Record the call's outcome or void the claim; return whether that is durable."""
        ...

    async def withdraw(self, handle: ClaimHandle, record: ClaimRecord) -> bool:
        """Void an unsettled claim, written or not; return whether that is durable."""
        ...

    async def add_audit_note(self, claim: ClaimId, text: str) -> None:
        """Add a line to the claim's audit trail; best effort."""
        ...


class RowClaimStore:
    """Stores each claim as one table row: two writes per call."""

    def __init__(self, table: TableStore, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    async def claim(self, record: ClaimRecord) -> ClaimReply:
        """Write the row if it is absent or void."""
        reply = await self._put(record, ABSENT_VERSION)
        held = reply.record
        if reply.status is not ClaimStatus.HELD or held is None:
            return reply
        if held.state is not ClaimState.VOID:
            return reply
        return await self._claim_voided(record)

    async def finish(self, handle: ClaimHandle, record: ClaimRecord) -> bool:
        """Write the claim's new state on condition that this handle wrote the row last."""
        return await self._put_over(handle, handle.version, record)

    async def _put_over(self, handle: ClaimHandle, version: int, record: ClaimRecord) -> bool:
        """Write over a version of the claim's row; return whether the claim has ended durably."""
        key = record.id.row_key
        # All retries of a step share one writer id, so that an earlier write that was applied late
        # is recognized. It differs from the claim's own id, so that a read of the row shows which
        # of the two writes was applied.
        writer = WriterId(f"{handle.writer}-{record.state.value}")
        settled = await put_settled(self._table, key, version, record.encode(), writer)
        if settled.outcome is WriteOutcome.APPLIED:
            handle.version = version + 1
            handle.record = record
            return True
        # Only this handle may write over its claim, and it does so once. Others only write over a
        # void row. A newer row by another writer therefore means that this write was a void and
        # was applied, and that the key was then claimed again. A newer row by this handle is the
        # claim itself, applied between a look at the row and the void: it still has to be voided.
        row = settled.row
        return row is not None and row.version > version and row.writer != handle.writer

    async def withdraw(self, handle: ClaimHandle, record: ClaimRecord) -> bool:
        """Write a void row in the claim's place, or over the claim if it was written.

        The void row also prevents a late write of the claim from being applied, because that
        write expects an older version.
        """
        try:
            row = await self._table.get(record.id.row_key)
        except StoreUnavailable:
            return False
        was_written = row is not None and row.writer == handle.writer
        version = row.version if row is not None else ABSENT_VERSION
        if not was_written and version >= handle.version:
            # Another writer has already produced the version that this claim would have, so this
            # claim can no longer be applied.
            return True
        # The handle keeps the claim's own version until the void is written: a retry compares
        # with it again.
        return await self._put_over(handle, version, record)

    async def add_audit_note(self, claim: ClaimId, text: str) -> None:
        """Write the line as a separate row."""
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
        # If the write is applied late, this handle still allows the claim to be voided.
        handle = ClaimHandle(record, writer, expected + 1)
        return ClaimReply(ClaimStatus.UNSETTLED, handle)


def _held(row: Row | None) -> ClaimReply:
    record = ClaimRecord.decode(row.value) if row else None
    return ClaimReply(ClaimStatus.HELD, record=record)


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One claim, or one note on a claim, in the audit of an Idempotency-Key."""

    record: ClaimRecord | None
    note: str = ""
    wall_s: float = 0.0


async def read_audit(table: TableStore, key: str) -> AsyncIterator[AuditEntry]:
    """Read everything the table holds on an Idempotency-Key: each claim, followed by its notes.

    Raises
    ------
    StoreUnavailable
        If the table does not answer.
    """
    hashed = hash_key(key)
    async for row in scan(table, PARTITION_PREFIX + hashed[:2], hashed):
        if not row.key.sort.startswith(hashed):
            return
        yield _audit_entry(row)


def _audit_entry(row: Row) -> AuditEntry:
    _, separator, suffix = row.key.sort.partition(NOTE_SEPARATOR)
    if separator:
        return AuditEntry(None, row.value.decode(), int(suffix.split("-")[0]) / 1000)
    record = ClaimRecord.decode(row.value)
    return AuditEntry(record, wall_s=record.claimed_wall_s)


def audit_fields(record: ClaimRecord) -> dict[str, Any]:
    """Return the fields of a record that an audit shows: no secrets and no bodies."""
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
