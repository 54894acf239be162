"""Claims in per-shard journals, for rates at which one table row per claim is too expensive.

Each shard has one owner at a time, which appends batches of claims and outcomes as table rows
and answers from memory. The membership decides which node should own a shard; a wrong or stale
membership only costs time. Safety rests on a fencing token, the shard's epoch, which is the version
of the fence row in the table: each takeover increments it, each append is conditional on the
owner's epoch being current, and a new owner reads the whole journal after the increment.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from peridottrack import log
from peridottrack.claims import (
    ClaimHandle,
    ClaimId,
    ClaimRecord,
    ClaimReply,
    ClaimState,
    ClaimStatus,
)
from peridottrack.exceptions import StoreUnavailable
from peridottrack.shards import (
    JournalEntry,
    ShardState,
    encode_entries,
    entry_key,
    fence_key,
    read_shard,
    shard_of,
    snapshot_key,
)
from peridottrack.store import new_writer_id, transact_settled
from peridottrack.types import (
    ABSENT_VERSION,
    Clock,
    NodeId,
    ObjectStore,
    TableStore,
    Write,
    WriteAction,
    WriteOutcome,
)

MAX_BATCH_ENTRIES = 500
ROWS_TO_COMPACT = 1_000
DELETES_PER_TRANSACTION = 50
RETENTION_S = 24 * 3600.0
FINAL_STATES = frozenset({ClaimState.DONE, ClaimState.UNKNOWN})
"""States in which a key is never claimed again."""


@dataclass(slots=True)
class _PendingEntry:
    """An entry to be appended, and the state of its claim once it is."""

    entry: JournalEntry
    applied: JournalEntry
    done: asyncio.Future[WriteOutcome]


class ShardOwner:
    """Serves one shard on the node that owns it, for as long as the owner's epoch is current.

    Parameters
    ----------
    flush_s
        Seconds for which entries are collected into a batch before they are appended.
    """

    def __init__(
        self,
        shard: int,
        local_node: NodeId,
        table: TableStore,
        objects: ObjectStore,
        clock: Clock,
        flush_s: float,
    ) -> None:
        self._shard = shard
        self._local_node = local_node
        self._table = table
        self._objects = objects
        self._clock = clock
        self._flush_s = flush_s
        self._epoch = ABSENT_VERSION
        self._state: ShardState | None = None
        self._pending: list[_PendingEntry] = []
        self._pending_by_id: dict[str, _PendingEntry] = {}
        self._takeover_lock = asyncio.Lock()
        self._flush_task: asyncio.Task[None] | None = None

    @property
    def owned(self) -> bool:
        """Whether this node considers itself the owner of the shard."""
        return self._state is not None

    async def claim(self, entry: JournalEntry) -> ClaimReply:
        """Grant a claim unless another attempt holds it."""
        if not await self._ensure_owned():
            return ClaimReply(ClaimStatus.REFUSED)
        held = self._entry(entry.record.id)
        if held is not None and held.record.state is not ClaimState.VOID:
            return ClaimReply(ClaimStatus.HELD, record=held.record)
        if held is not None and entry.writer in held.withdrawn:
            return ClaimReply(ClaimStatus.REFUSED)
        outcome = await self._append(entry)
        handle = ClaimHandle(entry.record, entry.writer, 0)
        if outcome is WriteOutcome.APPLIED:
            return ClaimReply(ClaimStatus.GRANTED, handle)
        if outcome is WriteOutcome.UNKNOWN:
            return ClaimReply(ClaimStatus.UNSETTLED, handle)
        return ClaimReply(ClaimStatus.REFUSED)

    async def finish(self, entry: JournalEntry, withdraw: bool = False) -> bool:
        """Record the outcome of a claim for its holder; return whether that is durable.

        Parameters
        ----------
        withdraw
            Whether the claim may never have been written; if so, the attempt is marked as
            withdrawn, so that it cannot be granted later.
        """
        if not await self._ensure_owned() or entry.record.id.text in self._pending_by_id:
            return False
        held = self._entry(entry.record.id)
        if held is not None and held.writer == entry.writer:
            if held.record.state is not ClaimState.CLAIMED:
                return True
        elif held is not None and entry.writer in held.withdrawn:
            return True
        elif not withdraw or (held is not None and held.record.state in FINAL_STATES):
            # This claim has ended already or was never written, and it cannot be granted later,
            # unless the state in memory is stale.
            return await self._is_still_owner()
        elif held is not None and held.record.state is ClaimState.CLAIMED:
            # Another attempt holds the key and may void it, so this one must be marked as well.
            entry = replace(held, withdrawn=frozenset({entry.writer}))
        return await self._append(entry) is WriteOutcome.APPLIED

    async def _is_still_owner(self) -> bool:
        """Check in the table that the state in memory belongs to the current epoch."""
        try:
            row = await self._table.get(fence_key(self._shard))
        except StoreUnavailable:
            return False
        if row is None or row.version != self._epoch:
            self._state = None
            return False
        return True

    def _entry(self, claim: ClaimId) -> JournalEntry | None:
        assert self._state is not None
        pending = self._pending_by_id.get(claim.text)
        if pending is not None:
            return pending.applied
        return self._state.entry_by_id.get(claim.text)

    async def _append(self, entry: JournalEntry) -> WriteOutcome:
        done: asyncio.Future[WriteOutcome] = asyncio.get_running_loop().create_future()
        pending = _PendingEntry(entry, entry.after(self._entry(entry.record.id)), done)
        self._pending.append(pending)
        self._pending_by_id[entry.record.id.text] = pending
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.ensure_future(self._flush())
        return await done

    async def _flush(self) -> None:
        while self._pending:
            await asyncio.sleep(self._flush_s)
            batch, self._pending = (
                self._pending[:MAX_BATCH_ENTRIES],
                self._pending[MAX_BATCH_ENTRIES:],
            )
            outcome = await self._write([item.entry for item in batch])
            for item in batch:
                text = item.entry.record.id.text
                # A later entry of the same claim may wait for the next batch.
                if self._pending_by_id.get(text) is item:
                    del self._pending_by_id[text]
                if not item.done.done():
                    item.done.set_result(outcome)
            # Inside the loop, so that entries added while the snapshot is written are flushed too.
            await self._compact()

    async def _write(self, entries: list[JournalEntry]) -> WriteOutcome:
        state = self._state
        if state is None:
            return WriteOutcome.REFUSED
        batch_key = entry_key(self._shard, state.next_sequence)
        writes = [
            Write(WriteAction.CHECK, fence_key(self._shard), self._epoch),
            Write(WriteAction.PUT, batch_key, ABSENT_VERSION, encode_entries(entries)),
        ]
        settled = await transact_settled(self._table, writes, batch_key, new_writer_id())
        if settled.outcome is WriteOutcome.APPLIED:
            state.next_sequence += 1
            for entry in entries:
                state.apply(entry)
        elif settled.outcome is not WriteOutcome.REFUSED:
            # Another node took over, or the outcome of the append is unknown: only a takeover with
            # a new epoch shows what the journal contains.
            self._state = None
        return settled.outcome

    async def _ensure_owned(self) -> bool:
        if self._state is not None:
            return True
        async with self._takeover_lock:
            if self._state is not None:
                return True
            try:
                return await self._take_over()
            except StoreUnavailable:
                return False

    async def _take_over(self) -> bool:
        """Increment the epoch in the fence row, then read everything appended before."""
        key = fence_key(self._shard)
        row = await self._table.get(key)
        epoch = row.version if row is not None else ABSENT_VERSION
        increment_epoch = Write(WriteAction.PUT, key, epoch, self._local_node.encode())
        settled = await transact_settled(self._table, [increment_epoch], key, new_writer_id())
        if settled.outcome is not WriteOutcome.APPLIED:
            return False
        state = await read_shard(self._table, self._objects, self._shard)
        self._epoch = epoch + 1
        self._state = state
        log.event("claim shard taken over", shard=self._shard, epoch=self._epoch)
        return True

    async def _compact(self) -> None:
        """Replace a long journal by a snapshot, dropping claims past their retention."""
        state = self._state
        if state is None or state.next_sequence - state.first_sequence < ROWS_TO_COMPACT:
            return
        oldest_s = self._clock.wall() - RETENTION_S
        retained = {
            text: entry
            for text, entry in state.entry_by_id.items()
            if (entry.record.ended_wall_s or entry.record.claimed_wall_s) >= oldest_s
        }
        name = f"claims/{self._shard:04d}/{self._epoch:06d}-{state.next_sequence:012d}"
        body = encode_entries(list(retained.values()))
        if await self._objects.put_if_absent(name, body) is not WriteOutcome.APPLIED:
            return
        pointer = {"object": name, "next_sequence": state.next_sequence}
        key = snapshot_key(self._shard)
        writes = [
            Write(WriteAction.CHECK, fence_key(self._shard), self._epoch),
            Write(WriteAction.PUT, key, state.snapshot_version, json.dumps(pointer).encode()),
        ]
        settled = await transact_settled(self._table, writes, key, new_writer_id())
        if settled.outcome is not WriteOutcome.APPLIED:
            self._state = None
            return
        first, state.first_sequence = state.first_sequence, state.next_sequence
        state.snapshot_version += 1
        state.entry_by_id = retained
        await self._delete_rows(first, state.first_sequence)

    async def _delete_rows(self, first: int, end: int) -> None:
        """Delete rows that the snapshot covers; readers skip those that could not be deleted."""
        for start in range(first, end, DELETES_PER_TRANSACTION):
            deletes = [
                Write(WriteAction.DELETE, entry_key(self._shard, sequence), ABSENT_VERSION + 1)
                for sequence in range(start, min(end, start + DELETES_PER_TRANSACTION))
            ]
            await self._table.transact(deletes, new_writer_id())


class ShardClient(Protocol):
    """Sends requests to a shard's owner on another node; None if no answer arrived."""

    async def claim(self, owner: NodeId, entry: JournalEntry) -> ClaimReply | None:
        """Request a claim."""
        ...

    async def finish(self, owner: NodeId, entry: JournalEntry, withdraw: bool) -> bool | None:
        """Report the outcome of a claim."""
        ...


class JournalClaimStore:
    """`ClaimStore` based on per-shard journals.

    Parameters
    ----------
    owner_of
        Returns the node that should own a shard, by this node's view of the membership.
    """

    def __init__(
        self,
        local_node: NodeId,
        shards: int,
        flush_s: float,
        table: TableStore,
        objects: ObjectStore,
        client: ShardClient,
        owner_of: Callable[[int], NodeId],
        clock: Clock,
    ) -> None:
        self._local_node = local_node
        self._shards = shards
        self._client = client
        self._owner_of = owner_of
        self._make_owner: Callable[[int], ShardOwner] = lambda shard: ShardOwner(
            shard, local_node, table, objects, clock, flush_s
        )
        self.owner_by_shard: dict[int, ShardOwner] = {}

    async def claim(self, record: ClaimRecord) -> ClaimReply:
        """Request a claim from the shard's owner."""
        # The attempt's writer id is created here, so that the claim can be withdrawn if no answer
        # arrives.
        entry = JournalEntry(record, new_writer_id())
        owner = self._owner_of(shard_of(record.id, self._shards))
        if owner == self._local_node:
            return await self.claim_as_owner(entry)
        reply = await self._client.claim(owner, entry)
        if reply is not None:
            return reply
        return ClaimReply(ClaimStatus.UNSETTLED, ClaimHandle(record, entry.writer, 0))

    async def finish(self, handle: ClaimHandle, record: ClaimRecord) -> bool:
        """Report the call's outcome to the shard's owner."""
        return await self._finish(JournalEntry(record, handle.writer), withdraw=False)

    async def withdraw(self, handle: ClaimHandle, record: ClaimRecord) -> bool:
        """Have the shard's owner void an unsettled claim."""
        return await self._finish(JournalEntry(record, handle.writer), withdraw=True)

    async def add_audit_note(self, claim: ClaimId, text: str) -> None:
        """Log the line; the journal has no space for notes on resends."""
        log.event("claim resent", claim=claim.text, note=text)

    async def claim_as_owner(self, entry: JournalEntry) -> ClaimReply:
        """Handle a claim as the owner of the entry's shard."""
        return await self._owner(entry).claim(entry)

    async def finish_as_owner(self, entry: JournalEntry, withdraw: bool) -> bool:
        """Record an outcome as the owner of the entry's shard."""
        return await self._owner(entry).finish(entry, withdraw)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {str(shard): owner.owned for shard, owner in self.owner_by_shard.items()}

    async def _finish(self, entry: JournalEntry, withdraw: bool) -> bool:
        owner = self._owner_of(shard_of(entry.record.id, self._shards))
        if owner == self._local_node:
            return await self.finish_as_owner(entry, withdraw)
        return await self._client.finish(owner, entry, withdraw) or False

    def _owner(self, entry: JournalEntry) -> ShardOwner:
        shard = shard_of(entry.record.id, self._shards)
        if shard not in self.owner_by_shard:
            self.owner_by_shard[shard] = self._make_owner(shard)
        return self.owner_by_shard[shard]
