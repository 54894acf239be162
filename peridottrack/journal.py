"""Claims in per-shard journals, for rates at which one table row per claim is too expensive.

Each shard has one owner at a time, which appends batches of claims and outcomes as table rows
and answers from memory. The membership decides which node should own a shard; a wrong or stale
membership only costs time. Safety rests on a fencing token, the shard's epoch, which is the version
of the fence row in the table: each takeover increments it, each append is conditional on the
owner's epoch being current, and a new owner reads the whole journal after the increment.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from peridottrack import log
from peridottrack.background import log_failure
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


@dataclass(slots=True)
class _Tenure:
    """One epoch of an owner: the shard as read at its start, and what waits to be appended.

    An entry is checked against one tenure and appended in the same one or not at all, since other
    nodes may have appended between two tenures.
    """

    epoch: int
    state: ShardState
    pending: list[_PendingEntry] = field(default_factory=list)
    pending_by_id: dict[str, _PendingEntry] = field(default_factory=dict)
    flush_task: asyncio.Task[None] | None = None

    def entry(self, claim: ClaimId) -> JournalEntry | None:
        """Return the latest state of a claim, including what waits to be appended."""
        pending = self.pending_by_id.get(claim.text)
        if pending is not None:
            return pending.applied
        return self.state.entry_by_id.get(claim.text)


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
        self._tenure: _Tenure | None = None
        self._takeover_lock = asyncio.Lock()

    @property
    def owned(self) -> bool:
        """Whether this node considers itself the owner of the shard."""
        return self._tenure is not None

    async def claim(self, entry: JournalEntry) -> ClaimReply:
        """Grant a claim unless another attempt holds it."""
        tenure = await self._ensure_owned()
        if tenure is None:
            return ClaimReply(ClaimStatus.REFUSED)
        held = tenure.entry(entry.record.id)
        if held is not None and held.record.state is not ClaimState.VOID:
            return ClaimReply(ClaimStatus.HELD, record=held.record)
        if held is not None and entry.writer in held.withdrawn:
            return ClaimReply(ClaimStatus.REFUSED)
        outcome = await self._append(tenure, entry)
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
        tenure = await self._ensure_owned()
        if tenure is None or entry.record.id.text in tenure.pending_by_id:
            return False
        held = tenure.entry(entry.record.id)
        if held is not None and held.writer == entry.writer:
            if held.record.state is not ClaimState.CLAIMED:
                return True
        elif held is not None and entry.writer in held.withdrawn:
            return True
        elif not withdraw or (held is not None and held.record.state in FINAL_STATES):
            # This claim has ended already or was never written, and it cannot be granted later,
            # unless the state in memory is stale.
            return await self._is_current(tenure)
        elif held is not None and held.record.state is ClaimState.CLAIMED:
            # Another attempt holds the key and may void it, so this one must be marked as well.
            entry = replace(held, withdrawn=frozenset({entry.writer}))
        return await self._append(tenure, entry) is WriteOutcome.APPLIED

    async def _is_current(self, tenure: _Tenure) -> bool:
        """Check in the table that a tenure's epoch is the current one."""
        try:
            row = await self._table.get(fence_key(self._shard))
        except StoreUnavailable:
            return False
        if row is None or row.version != tenure.epoch:
            self._end(tenure)
            return False
        return True

    def _end(self, tenure: _Tenure) -> None:
        if self._tenure is tenure:
            self._tenure = None

    async def _append(self, tenure: _Tenure, entry: JournalEntry) -> WriteOutcome:
        done: asyncio.Future[WriteOutcome] = asyncio.get_running_loop().create_future()
        pending = _PendingEntry(entry, entry.after(tenure.entry(entry.record.id)), done)
        tenure.pending.append(pending)
        tenure.pending_by_id[entry.record.id.text] = pending
        if tenure.flush_task is None or tenure.flush_task.done():
            tenure.flush_task = asyncio.ensure_future(self._flush(tenure))
        return await done

    async def _flush(self, tenure: _Tenure) -> None:
        while tenure.pending:
            await asyncio.sleep(self._flush_s)
            batch = tenure.pending[:MAX_BATCH_ENTRIES]
            del tenure.pending[:MAX_BATCH_ENTRIES]
            outcome = WriteOutcome.UNKNOWN
            try:
                outcome = await self._write(tenure, [item.entry for item in batch])
            except Exception as error:
                log_failure(self._write, error)
                self._end(tenure)
            for item in batch:
                text = item.entry.record.id.text
                # A later entry of the same claim may wait for the next batch.
                if tenure.pending_by_id.get(text) is item:
                    del tenure.pending_by_id[text]
                if not item.done.done():
                    item.done.set_result(outcome)
            # Inside the loop, so that entries added while the snapshot is written are flushed too.
            try:
                await self._compact(tenure)
            except Exception as error:
                log_failure(self._compact, error)
                self._end(tenure)

    async def _write(self, tenure: _Tenure, entries: list[JournalEntry]) -> WriteOutcome:
        if self._tenure is not tenure:
            return WriteOutcome.REFUSED
        state = tenure.state
        batch_key = entry_key(self._shard, state.next_sequence)
        writes = [
            Write(WriteAction.CHECK, fence_key(self._shard), tenure.epoch),
            Write(WriteAction.PUT, batch_key, ABSENT_VERSION, encode_entries(entries)),
        ]
        # The next owner may move the row into a snapshot and delete it.
        settled = await transact_settled(
            self._table, writes, batch_key, new_writer_id(), row_may_be_deleted=True
        )
        if settled.outcome is WriteOutcome.APPLIED:
            state.next_sequence += 1
            for entry in entries:
                state.apply(entry)
        elif settled.outcome is not WriteOutcome.REFUSED:
            # Another node took over, or the outcome of the append is unknown: only a takeover with
            # a new epoch shows what the journal contains.
            self._end(tenure)
        return settled.outcome

    async def _ensure_owned(self) -> _Tenure | None:
        if self._tenure is not None:
            return self._tenure
        async with self._takeover_lock:
            if self._tenure is None:
                with contextlib.suppress(StoreUnavailable):
                    self._tenure = await self._take_over()
            return self._tenure

    async def _take_over(self) -> _Tenure | None:
        """Increment the epoch in the fence row, then read everything appended before."""
        key = fence_key(self._shard)
        row = await self._table.get(key)
        epoch = row.version if row is not None else ABSENT_VERSION
        increment_epoch = Write(WriteAction.PUT, key, epoch, self._local_node.encode())
        settled = await transact_settled(self._table, [increment_epoch], key, new_writer_id())
        if settled.outcome is not WriteOutcome.APPLIED:
            return None
        state = await read_shard(self._table, self._objects, self._shard)
        tenure = _Tenure(epoch + 1, state)
        log.event("claim shard taken over", shard=self._shard, epoch=tenure.epoch)
        return tenure

    async def _compact(self, tenure: _Tenure) -> None:
        """Replace a long journal by a snapshot, dropping claims past their retention."""
        if self._tenure is not tenure:
            return
        state = tenure.state
        if state.next_sequence - state.first_sequence < ROWS_TO_COMPACT:
            return
        oldest_s = self._clock.wall() - RETENTION_S
        retained = {
            text: entry
            for text, entry in state.entry_by_id.items()
            if (entry.record.ended_wall_s or entry.record.claimed_wall_s) >= oldest_s
        }
        name = f"claims/{self._shard:04d}/{tenure.epoch:06d}-{state.next_sequence:012d}"
        body = encode_entries(list(retained.values()))
        if await self._objects.put_if_absent(name, body) is not WriteOutcome.APPLIED:
            return
        pointer = {"object": name, "next_sequence": state.next_sequence}
        key = snapshot_key(self._shard)
        writes = [
            Write(WriteAction.CHECK, fence_key(self._shard), tenure.epoch),
            Write(WriteAction.PUT, key, state.snapshot_version, json.dumps(pointer).encode()),
        ]
        settled = await transact_settled(self._table, writes, key, new_writer_id())
        if settled.outcome is not WriteOutcome.APPLIED:
            self._end(tenure)
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
