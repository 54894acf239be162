"""Claim journals: fencing, batches, recovery, snapshots and retention."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from claim_world import LoopWallClock

from peridottrack import journal
from peridottrack.claims import ClaimRecord, ClaimState, ClaimStatus, claim_id
from peridottrack.clock import run_virtual
from peridottrack.journal import ShardOwner
from peridottrack.shards import JournalEntry, read_journal_audit, read_shard, shard_of
from peridottrack.standin.faults import StoreFault
from peridottrack.standin.memory import MemoryObjects, MemoryTable
from peridottrack.store import new_writer_id
from peridottrack.types import NodeId, WriteAction


def entry(key, wall_s=0.0):
    record = ClaimRecord(
        claim_id(key, "/orders", "c"), ClaimState.CLAIMED, "f", "c", "r", "node", wall_s
    )
    return JournalEntry(record, new_writer_id())


def ended(claimed, state=ClaimState.VOID):
    return replace(claimed, record=replace(claimed.record, state=state, ended_wall_s=1.0))


class UnfencedTable(MemoryTable):
    """Drops the epoch check, so that any node can append."""

    async def transact(self, writes, writer):
        remaining = [write for write in writes if write.action is not WriteAction.CHECK]
        return await super().transact(remaining, writer)


def owners(table, count=2, flush_s=0.01):
    objects = MemoryObjects()
    made = [
        ShardOwner(0, NodeId(f"n{number}"), table, objects, LoopWallClock(), flush_s)
        for number in range(count)
    ]
    return objects, made


async def claim_after_compaction(table):
    """Claim a key at an old owner after a new owner took over and compacted the journal."""
    _, (old, new) = owners(table)
    assert (await old.claim(entry("k0"))).status is ClaimStatus.GRANTED
    for key in ("k1", "k2", "k3"):
        assert (await new.claim(entry(key))).status is ClaimStatus.GRANTED
    return (await old.claim(entry("k1"))).status


def test_old_owner_cannot_grant_after_compaction(monkeypatch):
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", 3)
    assert run_virtual(claim_after_compaction(MemoryTable())) is not ClaimStatus.GRANTED
    # Without the fence the claim is granted twice, which shows that the fence prevents it.
    assert run_virtual(claim_after_compaction(UnfencedTable())) is ClaimStatus.GRANTED


def test_claims_are_written_in_batches():
    async def run():
        table = MemoryTable()
        _, (owner, _) = owners(table)
        await owner.claim(entry("first"))
        before = table.writes
        replies = await asyncio.gather(*(owner.claim(entry(f"k{n}")) for n in range(100)))
        assert {reply.status for reply in replies} == {ClaimStatus.GRANTED}
        assert table.writes - before == 1

    run_virtual(run())


@pytest.mark.parametrize("rows_to_compact", [5, 10_000])
def test_new_owner_knows_what_the_old_one_granted(monkeypatch, rows_to_compact):
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", rows_to_compact)

    async def run():
        table = MemoryTable()
        objects, (old, new) = owners(table)
        for number in range(20):
            await old.claim(entry(f"k{number}"))
        for number in range(20):
            reply = await new.claim(entry(f"k{number}"))
            assert reply.status is ClaimStatus.HELD
        state = await read_shard(table, objects, 0)
        assert len(state.entry_by_id) == 20
        shards = 1
        assert shard_of(entry("k7").record.id, shards) == 0
        assert len(await read_journal_audit(table, objects, shards, "k7")) == 1

    run_virtual(run())


def test_old_claims_are_dropped_with_a_snapshot(monkeypatch):
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", 5)
    monkeypatch.setattr(journal, "RETENTION_S", 100.0)

    async def run():
        table = MemoryTable()
        objects, (owner, _) = owners(table)
        for number in range(5):
            await owner.claim(entry(f"old{number}", 0.0))
        await asyncio.sleep(200)
        for number in range(6):
            await owner.claim(entry(f"new{number}", 200.0))
        state = await read_shard(table, objects, 0)
        remaining = [item.record.claimed_wall_s for item in state.entry_by_id.values()]
        assert remaining == [200.0] * 6

    run_virtual(run())


def test_unknown_append_ends_the_epoch_and_settles():
    async def run():
        table = MemoryTable()
        _, (owner, _) = owners(table)
        await owner.claim(entry("k0"))
        table.faults.queue([StoreFault.LATE] * 3 + [StoreFault.DOWN])
        lost = entry("k1")
        assert (await owner.claim(lost)).status is ClaimStatus.UNSETTLED
        assert not owner.owned
        void = JournalEntry(
            ClaimRecord(
                lost.record.id, ClaimState.VOID, "f", "c", "r", "node", 0.0, ended_wall_s=1.0
            ),
            lost.writer,
        )
        assert await owner.finish(void, withdraw=True)
        await asyncio.sleep(10)
        assert (await owner.claim(entry("k1"))).status is ClaimStatus.GRANTED

    run_virtual(run())


async def withdraw_two(owner, late, other):
    """Another attempt is withdrawn after the late one."""
    assert await owner.finish(ended(late), withdraw=True)
    assert await owner.finish(ended(other), withdraw=True)


async def withdraw_while_held(owner, late, other):
    """Another attempt holds the key at the withdrawal and is voided later."""
    assert (await owner.claim(other)).status is ClaimStatus.GRANTED
    assert await owner.finish(ended(late), withdraw=True)
    assert (await owner.claim(entry("k"))).status is ClaimStatus.HELD
    assert await owner.finish(ended(other))


@pytest.mark.parametrize("rows_to_compact", [1, 10_000])
@pytest.mark.parametrize("history", [withdraw_two, withdraw_while_held])
def test_claim_that_arrives_after_its_withdrawal_is_refused(monkeypatch, history, rows_to_compact):
    """The withdrawal is known to the next owner too, while another attempt is still granted."""
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", rows_to_compact)

    async def run():
        _, (old, new) = owners(MemoryTable())
        late, other = entry("k"), entry("k")
        await history(old, late, other)
        assert (await old.claim(late)).status is ClaimStatus.REFUSED
        assert (await new.claim(late)).status is ClaimStatus.REFUSED
        assert (await new.claim(entry("k"))).status is ClaimStatus.GRANTED

    run_virtual(run())


def test_one_claim_is_granted_after_a_slow_void():
    """One attempt claims while the void is written, another one after it."""

    async def run():
        table = MemoryTable()
        _, (owner, _) = owners(table)
        first = entry("k")
        assert (await owner.claim(first)).status is ClaimStatus.GRANTED
        table.faults.queue([StoreFault.SLOW])
        void = asyncio.ensure_future(owner.finish(ended(first)))
        await asyncio.sleep(0.1)
        during = asyncio.ensure_future(owner.claim(entry("k")))
        assert await void
        after = await owner.claim(entry("k"))
        statuses = [(await during).status, after.status]
        assert statuses == [ClaimStatus.GRANTED, ClaimStatus.HELD]

    run_virtual(run())


def test_entry_is_not_appended_in_a_later_epoch():
    """Between check and append another node takes the shard, grants the key and loses it again."""

    async def run():
        _, (first, second) = owners(MemoryTable())
        await first.claim(entry("k0"))
        assert (await second.claim(entry("k"))).status is ClaimStatus.GRANTED
        stale = asyncio.ensure_future(first.claim(entry("k")))
        await asyncio.sleep(0)
        # Without an entry the owner looks at the fence and finds that its epoch has passed.
        assert not await first.finish(ended(entry("k1")))
        assert (await first.claim(entry("k2"))).status is ClaimStatus.GRANTED
        assert (await stale).status is ClaimStatus.REFUSED
        assert (await first.claim(entry("k"))).status is ClaimStatus.HELD

    run_virtual(run())


def test_append_whose_row_another_owner_compacted_is_not_refused(monkeypatch):
    """The response to an append is lost; before its retry its row moves into a snapshot."""
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", 2)

    async def run():
        table = MemoryTable()
        _, (first, second) = owners(table)
        await first.claim(entry("k0"))
        table.faults.queue([StoreFault.LOST_AFTER])
        lost = entry("k")
        claim = asyncio.ensure_future(first.claim(lost))
        await asyncio.sleep(0.05)
        await second.claim(entry("k1"))
        assert (await claim).status is ClaimStatus.UNSETTLED
        assert await second.finish(ended(lost), withdraw=True)
        assert (await second.claim(entry("k"))).status is ClaimStatus.GRANTED

    run_virtual(run())


class FailingTable(MemoryTable):
    """Raises an exception in its n-th transaction."""

    failing = 0

    async def transact(self, writes, writer):
        self.failing -= 1
        if self.failing == 0:
            raise RuntimeError("a transaction that cannot be sent")
        return await super().transact(writes, writer)


# An error while a batch or a snapshot was written left the claims behind it without an answer.
@pytest.mark.parametrize("failing", [1, 4], ids=["batch", "snapshot"])
def test_claims_are_answered_after_a_write_that_failed(failing, monkeypatch):
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", 2)

    async def run():
        table = FailingTable()
        _, (owner,) = owners(table, count=1)
        assert (await owner.claim(entry("k0"))).status is ClaimStatus.GRANTED
        table.failing = failing
        claims = []
        for number in range(1, 9):
            claims.append(asyncio.create_task(owner.claim(entry(f"k{number}"))))
            await asyncio.sleep(0.003)
        done, pending = await asyncio.wait(claims, timeout=60.0)
        assert not pending
        assert {task.result().status for task in done} >= {ClaimStatus.GRANTED}
        return (await owner.claim(entry("last"))).status

    assert run_virtual(run()) is ClaimStatus.GRANTED
