"""Claims in journals by shard, for rates at which one row a claim is too much.

Each shard has one owner at a time, which appends batches of claims and outcomes as rows of the
table and answers from memory. Who should own a shard follows from the membership, which may be
wrong or late; that only costs time. What makes it safe is the fence: each takeover raises a
number in the table, each append holds under the condition that the number is still the owner's,
and a new owner reads the whole journal after it has raised it.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
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

BATCH_MAX = 500
ENTRIES_TO_COMPACT = 1_000
DELETES_PER_TRANSACTION = 50
RETENTION_S = 24 * 3600.0


@dataclass(slots=True)
class _Pending:
    entry: JournalEntry
    done: asyncio.Future[WriteOutcome]


class ShardOwner:
    """One shard in the node that owns it, for as long as its epoch lasts.

    Parameters
    ----------
    flush_s
        Seconds for which claims are collected before they are appended.
    """

    def __init__(
        self,
        shard: int,
        me: NodeId,
        table: TableStore,
        objects: ObjectStore,
        clock: Clock,
        flush_s: float,
    ) -> None:
        self._shard = shard
        self._me = me
        self._table = table
        self._objects = objects
        self._clock = clock
        self._flush_s = flush_s
        self._epoch = ABSENT_VERSION
        self._state: ShardState | None = None
        self._pending: list[_Pending] = []
        self._pending_by_id: dict[str, JournalEntry] = {}
        self._taking_over = asyncio.Lock()
        self._flushing: asyncio.Task[None] | None = None

    @property
    def owned(self) -> bool:
        """Whether this node believes that it owns the shard."""
        return self._state is not None

    async def claim(self, entry: JournalEntry) -> ClaimReply:
        """Grant a claim if nobody holds it."""
        if not await self._ensure_owned():
            return ClaimReply(ClaimStatus.REFUSED)
        held = self._entry(entry.record.id)
        if held is not None and held.record.state is not ClaimState.VOID:
            return ClaimReply(ClaimStatus.HELD, record=held.record)
        if held is not None and held.writer == entry.writer:
            # This very attempt was withdrawn before its claim arrived.
            return ClaimReply(ClaimStatus.REFUSED)
        outcome = await self._append(entry)
        ticket = ClaimHandle(entry.record, entry.writer, 0)
        if outcome is WriteOutcome.APPLIED:
            return ClaimReply(ClaimStatus.GRANTED, ticket)
        if outcome is WriteOutcome.UNKNOWN:
            return ClaimReply(ClaimStatus.UNSETTLED, ticket)
        return ClaimReply(ClaimStatus.REFUSED)

    async def finish(self, entry: JournalEntry, withdraw: bool = False) -> bool:
        """Record a claim's end for the attempt that holds it; True if it is durable.

        Parameters
        ----------
        withdraw
            Whether the claim may not have been made at all; then a void keeps it out.
        """
        if not await self._ensure_owned() or entry.record.id.text in self._pending_by_id:
            return False
        held = self._entry(entry.record.id)
        if held is not None and held.writer == entry.writer:
            if held.record.state is not ClaimState.CLAIMED:
                return True
        elif not withdraw or (held is not None and held.record.state is not ClaimState.VOID):
            # Another's claim is there, or none any more: ours ended before, or never came to be.
            return await self._is_still_owner()
        return await self._append(entry) is WriteOutcome.APPLIED

    async def _is_still_owner(self) -> bool:
        """Make sure that the memory is not that of an epoch gone by."""
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
        return pending or self._state.entry_by_id.get(claim.text)

    async def _append(self, entry: JournalEntry) -> WriteOutcome:
        done: asyncio.Future[WriteOutcome] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(entry, done))
        self._pending_by_id[entry.record.id.text] = entry
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.ensure_future(self._flush())
        return await done

    async def _flush(self) -> None:
        while self._pending:
            await asyncio.sleep(self._flush_s)
            batch, self._pending = self._pending[:BATCH_MAX], self._pending[BATCH_MAX:]
            outcome = await self._write([item.entry for item in batch])
            for item in batch:
                self._pending_by_id.pop(item.entry.record.id.text, None)
                if not item.done.done():
                    item.done.set_result(outcome)
            # Within the loop, since claims may come while the snapshot is written.
            await self._compact()

    async def _write(self, entries: list[JournalEntry]) -> WriteOutcome:
        state = self._state
        if state is None:
            return WriteOutcome.REFUSED
        proof = entry_key(self._shard, state.next_sequence)
        writes = [
            Write(WriteAction.CHECK, fence_key(self._shard), self._epoch),
            Write(WriteAction.PUT, proof, ABSENT_VERSION, encode_entries(entries)),
        ]
        settled = await transact_settled(self._table, writes, proof, new_writer_id())
        if settled.outcome is WriteOutcome.APPLIED:
            state.next_sequence += 1
            state.entry_by_id.update({entry.record.id.text: entry for entry in entries})
        elif settled.outcome is not WriteOutcome.REFUSED:
            # Another owner, or a row of which nobody knows: only a new epoch makes it certain.
            self._state = None
        return settled.outcome

    async def _ensure_owned(self) -> bool:
        if self._state is not None:
            return True
        async with self._taking_over:
            if self._state is not None:
                return True
            try:
                return await self._take_over()
            except StoreUnavailable:
                return False

    async def _take_over(self) -> bool:
        """Raise the fence, then read all that was appended before."""
        key = fence_key(self._shard)
        row = await self._table.get(key)
        epoch = row.version if row is not None else ABSENT_VERSION
        raise_fence = Write(WriteAction.PUT, key, epoch, self._me.encode())
        settled = await transact_settled(self._table, [raise_fence], key, new_writer_id())
        if settled.outcome is not WriteOutcome.APPLIED:
            return False
        state = await read_shard(self._table, self._objects, self._shard)
        self._epoch = epoch + 1
        self._state = state
        log.event("claim shard taken over", shard=self._shard, epoch=self._epoch)
        return True

    async def _compact(self) -> None:
        """Move a long journal to a snapshot, without what is past its retention."""
        state = self._state
        if state is None or state.next_sequence - state.first_sequence < ENTRIES_TO_COMPACT:
            return
        oldest_s = self._clock.wall() - RETENTION_S
        kept = {
            text: entry
            for text, entry in state.entry_by_id.items()
            if (entry.record.ended_wall_s or entry.record.claimed_wall_s) >= oldest_s
        }
        name = f"claims/{self._shard:04d}/{self._epoch:06d}-{state.next_sequence:012d}"
        body = encode_entries(list(kept.values()))
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
        state.entry_by_id = kept
        await self._delete_rows(first, state.first_sequence)

    async def _delete_rows(self, first: int, end: int) -> None:
        """Delete rows that the snapshot covers; what fails stays and is skipped by readers."""
        for start in range(first, end, DELETES_PER_TRANSACTION):
            deletes = [
                Write(WriteAction.DELETE, entry_key(self._shard, sequence), ABSENT_VERSION + 1)
                for sequence in range(start, min(end, start + DELETES_PER_TRANSACTION))
            ]
            await self._table.transact(deletes, new_writer_id())


class ShardClient(Protocol):
    """Asks the owner of a shard in another node; None if its answer did not come."""

    async def claim(self, owner: NodeId, entry: JournalEntry) -> ClaimReply | None:
        """Ask for a claim."""
        ...

    async def finish(self, owner: NodeId, entry: JournalEntry, withdraw: bool) -> bool | None:
        """Tell a claim's end."""
        ...


class JournalClaimStore:
    """`ClaimStore` over journals by shard.

    Parameters
    ----------
    owner_of
        Which node should own a shard, by this node's view of the membership.
    """

    def __init__(
        self,
        me: NodeId,
        shards: int,
        flush_s: float,
        table: TableStore,
        objects: ObjectStore,
        client: ShardClient,
        owner_of: Callable[[int], NodeId],
        clock: Clock,
    ) -> None:
        self._me = me
        self._shards = shards
        self._client = client
        self._owner_of = owner_of
        self._make_owner: Callable[[int], ShardOwner] = lambda shard: ShardOwner(
            shard, me, table, objects, clock, flush_s
        )
        self.owner_by_shard: dict[int, ShardOwner] = {}

    async def claim(self, record: ClaimRecord) -> ClaimReply:
        """Ask the shard's owner for a claim."""
        # The attempt's id is made here, so that it can be withdrawn if no answer comes.
        entry = JournalEntry(record, new_writer_id())
        owner = self._owner_of(shard_of(record.id, self._shards))
        if owner == self._me:
            return await self.claim_as_owner(entry)
        reply = await self._client.claim(owner, entry)
        if reply is not None:
            return reply
        return ClaimReply(ClaimStatus.UNSETTLED, ClaimHandle(record, entry.writer, 0))

    async def finish(self, ticket: ClaimHandle, record: ClaimRecord) -> bool:
        """Tell the shard's owner how the request ended."""
        return await self._finish(JournalEntry(record, ticket.writer), withdraw=False)

    async def withdraw(self, ticket: ClaimHandle, record: ClaimRecord) -> bool:
        """Have the shard's owner make an unsettled claim void."""
        return await self._finish(JournalEntry(record, ticket.writer), withdraw=True)

    async def add_audit_note(self, claim: ClaimId, text: str) -> None:
        """Log the line: a journal has no room for resends."""
        log.event("claim resent", claim=claim.text, note=text)

    async def claim_as_owner(self, entry: JournalEntry) -> ClaimReply:
        """Answer as the owner of the entry's shard."""
        return await self._owner(entry).claim(entry)

    async def finish_as_owner(self, entry: JournalEntry, withdraw: bool) -> bool:
        """Record as the owner of the entry's shard."""
        return await self._owner(entry).finish(entry, withdraw)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {str(shard): owner.owned for shard, owner in self.owner_by_shard.items()}

    async def _finish(self, entry: JournalEntry, withdraw: bool) -> bool:
        owner = self._owner_of(shard_of(entry.record.id, self._shards))
        if owner == self._me:
            return await self.finish_as_owner(entry, withdraw)
        return await self._client.finish(owner, entry, withdraw) or False

    def _owner(self, entry: JournalEntry) -> ShardOwner:
        shard = shard_of(entry.record.id, self._shards)
        if shard not in self.owner_by_shard:
            self.owner_by_shard[shard] = self._make_owner(shard)
        return self.owner_by_shard[shard]
