"""What the table and the object store hold of one claim shard, and how it is read."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field

from peridottrack.claims import AuditEntry, ClaimId, ClaimRecord, hash_key
from peridottrack.exceptions import StoreUnavailable
from peridottrack.store import scan
from peridottrack.types import ABSENT_VERSION, ObjectStore, RowKey, TableStore, WriterId

ENTRY_PREFIX = "entry/"


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One claim's newest state in a journal.

    Parameters
    ----------
    writer
        The ticket that may change the claim.
    """

    record: ClaimRecord
    writer: WriterId

    def to_data(self) -> dict[str, str]:
        """Return the entry for JSON."""
        record = base64.b64encode(self.record.encode()).decode()
        return {"record": record, "writer": self.writer}

    @staticmethod
    def from_data(data: dict[str, str]) -> JournalEntry:
        """Read an entry."""
        record = ClaimRecord.decode(base64.b64decode(data["record"]))
        return JournalEntry(record, WriterId(data["writer"]))


@dataclass(slots=True)
class ShardState:
    """All that the table and the object store hold of one shard.

    Parameters
    ----------
    next_sequence
        Number of the row that is appended next.
    first_sequence
        Number of the first row that is not in the snapshot.
    """

    entry_by_id: dict[str, JournalEntry] = field(default_factory=dict)
    first_sequence: int = 1
    next_sequence: int = 1
    snapshot_version: int = ABSENT_VERSION


def shard_of(claim: ClaimId, shards: int) -> int:
    """Return the shard of a claim; all scopes of a key share it."""
    return int(claim.key[:8], 16) % shards


def shard_partition(shard: int) -> str:
    """Return the table's partition of a shard."""
    return f"shard/{shard:04d}"


def entry_key(shard: int, sequence: int) -> RowKey:
    """Return where a journal row lives."""
    return RowKey(shard_partition(shard), f"{ENTRY_PREFIX}{sequence:012d}")


def fence_key(shard: int) -> RowKey:
    """Return where the fence lives; its version is the epoch."""
    return RowKey(shard_partition(shard), "fence")


def snapshot_key(shard: int) -> RowKey:
    """Return where the pointer to the newest snapshot lives."""
    return RowKey(shard_partition(shard), "snapshot")


async def read_shard(table: TableStore, objects: ObjectStore, shard: int) -> ShardState:
    """Read a shard's snapshot and journal.

    Raises
    ------
    StoreUnavailable
        If a store does not answer.
    """
    state = ShardState()
    pointer = await table.get(snapshot_key(shard))
    if pointer is not None:
        told = json.loads(pointer.value)
        body = await objects.get(told["object"])
        if body is None:
            raise StoreUnavailable(f"snapshot {told['object']} is missing")
        _take_in(state, body)
        state.snapshot_version = pointer.version
        state.first_sequence = state.next_sequence = told["next_sequence"]
    after = entry_key(shard, state.first_sequence - 1).sort
    async for row in scan(table, shard_partition(shard), after):
        if not row.key.sort.startswith(ENTRY_PREFIX):
            break
        _take_in(state, row.value)
        state.next_sequence = int(row.key.sort.removeprefix(ENTRY_PREFIX)) + 1
    return state


async def read_journal_audit(
    table: TableStore, objects: ObjectStore, shards: int, key: str
) -> list[AuditEntry]:
    """Read what the journals know of an Idempotency-Key."""
    hashed = hash_key(key)
    state = await read_shard(table, objects, shard_of(ClaimId(hashed, ""), shards))
    return [
        AuditEntry(entry.record, wall_s=entry.record.claimed_wall_s)
        for text, entry in state.entry_by_id.items()
        if text.startswith(hashed)
    ]


def _take_in(state: ShardState, body: bytes) -> None:
    for data in json.loads(body):
        entry = JournalEntry.from_data(data)
        state.entry_by_id[entry.record.id.text] = entry


def encode_entries(entries: list[JournalEntry]) -> bytes:
    """Return entries as one body, for a row or a snapshot."""
    return json.dumps([entry.to_data() for entry in entries]).encode()
