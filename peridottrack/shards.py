"""Layout of a claim shard in the table and the object store, and functions that read it."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field, replace
from typing import Any

from peridottrack.claims import AuditEntry, ClaimId, ClaimRecord, ClaimState, hash_key
from peridottrack.exceptions import StoreUnavailable
from peridottrack.store import scan
from peridottrack.types import ABSENT_VERSION, ObjectStore, RowKey, TableStore, WriterId

ENTRY_PREFIX = "entry/"


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Latest state of one claim in a journal.

    Parameters
    ----------
    writer
        Writer id of the attempt that may change the claim.
    withdrawn
        Writer ids of attempts that must not be granted, since a request for a claim can arrive
        after its withdrawal. A row of the journal holds those that it adds; memory and snapshots
        hold all of them.
    """

    record: ClaimRecord
    writer: WriterId
    withdrawn: frozenset[WriterId] = frozenset()

    def after(self, earlier: JournalEntry | None) -> JournalEntry:
        """Return this entry with the attempts withdrawn by it and by the entries before it."""
        withdrawn = self.withdrawn
        if earlier is not None:
            withdrawn |= earlier.withdrawn
        if self.record.state is ClaimState.VOID:
            withdrawn |= {self.writer}
        return replace(self, withdrawn=withdrawn)

    def to_data(self) -> dict[str, Any]:
        """Return the entry as data for JSON."""
        record = base64.b64encode(self.record.encode()).decode()
        data: dict[str, Any] = {"record": record, "writer": self.writer}
        if self.withdrawn:
            data["withdrawn"] = sorted(self.withdrawn)
        return data

    @staticmethod
    def from_data(data: dict[str, Any]) -> JournalEntry:
        """Create an entry from its JSON data."""
        record = ClaimRecord.decode(base64.b64decode(data["record"]))
        # Rows of earlier versions have no withdrawn attempts.
        withdrawn = frozenset(WriterId(writer) for writer in data.get("withdrawn", ()))
        return JournalEntry(record, WriterId(data["writer"]), withdrawn)


@dataclass(slots=True)
class ShardState:
    """Contents of one shard in the table and the object store.

    Parameters
    ----------
    next_sequence
        Sequence number of the next row to be appended.
    first_sequence
        Sequence number of the first row that the snapshot does not cover.
    snapshot_version
        Version of the row that points to the snapshot.
    """

    entry_by_id: dict[str, JournalEntry] = field(default_factory=dict)
    first_sequence: int = 1
    next_sequence: int = 1
    snapshot_version: int = ABSENT_VERSION

    def apply(self, entry: JournalEntry) -> None:
        """Make an entry the latest state of its claim."""
        text = entry.record.id.text
        self.entry_by_id[text] = entry.after(self.entry_by_id.get(text))


def shard_of(claim: ClaimId, shards: int) -> int:
    """Return the shard of a claim; all scopes of a key are in the same shard."""
    return int(claim.key[:8], 16) % shards


def shard_partition(shard: int) -> str:
    """Return the table partition of a shard."""
    return f"shard/{shard:04d}"


def entry_key(shard: int, sequence: int) -> RowKey:
    """Return the key of a journal row."""
    return RowKey(shard_partition(shard), f"{ENTRY_PREFIX}{sequence:012d}")


def fence_key(shard: int) -> RowKey:
    """Return the key of the fence row, whose version is the shard's epoch."""
    return RowKey(shard_partition(shard), "fence")


def snapshot_key(shard: int) -> RowKey:
    """Return the key of the row that points to the latest snapshot."""
    return RowKey(shard_partition(shard), "snapshot")


async def read_shard(table: TableStore, objects: ObjectStore, shard: int) -> ShardState:
    """Read a shard's snapshot and journal.

    Raises
    ------
    StoreUnavailable
        If a store does not answer.
    """
    state = ShardState()
    pointer_row = await table.get(snapshot_key(shard))
    if pointer_row is not None:
        pointer = json.loads(pointer_row.value)
        body = await objects.get(pointer["object"])
        if body is None:
            raise StoreUnavailable(f"snapshot {pointer['object']} is missing")
        _apply_entries(state, body)
        state.snapshot_version = pointer_row.version
        state.first_sequence = state.next_sequence = pointer["next_sequence"]
    after = entry_key(shard, state.first_sequence - 1).sort
    async for row in scan(table, shard_partition(shard), after):
        if not row.key.sort.startswith(ENTRY_PREFIX):
            break
        _apply_entries(state, row.value)
        state.next_sequence = int(row.key.sort.removeprefix(ENTRY_PREFIX)) + 1
    return state


async def read_journal_audit(
    table: TableStore, objects: ObjectStore, shards: int, key: str
) -> list[AuditEntry]:
    """Read the claims of an Idempotency-Key from the journals."""
    hashed = hash_key(key)
    state = await read_shard(table, objects, shard_of(ClaimId(hashed, ""), shards))
    return [
        AuditEntry(entry.record, wall_s=entry.record.claimed_wall_s)
        for text, entry in state.entry_by_id.items()
        if text.startswith(hashed)
    ]


def _apply_entries(state: ShardState, body: bytes) -> None:
    for data in json.loads(body):
        state.apply(JournalEntry.from_data(data))


def encode_entries(entries: list[JournalEntry]) -> bytes:
    """Serialize entries for a journal row or a snapshot."""
    return json.dumps([entry.to_data() for entry in entries]).encode()
