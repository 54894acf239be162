"""Two owners of one shard over a table that takes time to answer, in drawn histories.

Requests arrive every few milliseconds, so that claims and voids of a key arrive while others are
being written. The table of `test_claim_machine` answers at once unless a fault is injected.
"""

from __future__ import annotations

import asyncio
import random

import pytest
from test_journal import ended, entry, owners

from peridottrack import journal
from peridottrack.claims import ClaimState, ClaimStatus
from peridottrack.clock import run_virtual
from peridottrack.shards import read_shard
from peridottrack.standin.faults import StoreFault
from peridottrack.standin.memory import MemoryTable

HISTORIES = 100
STEPS = 200
ONE_WAY_S = 0.005
RETRY_S = 0.02
SETTLE_S = 60.0
PAUSES_S = (0.0, 0.003, 0.007, 0.01, 0.02)
KEYS = ("k1", "k2")


class DistantTable(MemoryTable):
    """A table whose requests and responses take time on their way."""

    async def get(self, key):
        return await self._over_network(super().get, key)

    async def query(self, *arguments):
        return await self._over_network(super().query, *arguments)

    async def transact(self, writes, writer):
        return await self._over_network(super().transact, writes, writer)

    async def _over_network(self, operation, *arguments):
        await asyncio.sleep(ONE_WAY_S)
        result = await operation(*arguments)
        await asyncio.sleep(ONE_WAY_S)
        return result


class History:
    """Claims and voids two keys at two owners; most requests go to the current one."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.table = DistantTable()
        self.objects, self.owners = owners(self.table)
        self.granted_by_key = {key: [] for key in KEYS}
        self.current = 0

    def owner(self):
        return self.owners[self.current if self.rng.random() < 0.9 else 1 - self.current]

    async def play(self):
        tasks = []
        for _ in range(STEPS):
            if self.rng.random() < 0.04:
                self.current = 1 - self.current
            key, drawn = self.rng.choice(KEYS), self.rng.random()
            if drawn < 0.4:
                tasks.append(asyncio.ensure_future(self.claim(key)))
            elif drawn < 0.6:
                if self.granted_by_key[key]:
                    tasks.append(asyncio.ensure_future(self.void(self.granted_by_key[key].pop())))
            elif drawn < 0.63:
                self.table.faults.queue([self.rng.choice(list(StoreFault))])
            elif drawn < 0.68:
                tasks.append(asyncio.ensure_future(self.claim_late(key)))
            await asyncio.sleep(self.rng.choice(PAUSES_S))
        self.table.faults.queued.clear()
        async with asyncio.timeout(SETTLE_S):
            await asyncio.gather(*tasks)

    async def claim(self, key):
        attempt = entry(key)
        reply = await self.owner().claim(attempt)
        if reply.status is ClaimStatus.GRANTED:
            self.granted_by_key[key].append(attempt)
            assert len(self.granted_by_key[key]) == 1, "granted twice"
        elif reply.status is ClaimStatus.UNSETTLED:
            await self.void(attempt, withdraw=True)

    async def claim_late(self, key):
        """The request for a claim arrives after its withdrawal."""
        attempt = entry(key)
        await self.void(attempt, withdraw=True)
        await asyncio.sleep(self.rng.choice(PAUSES_S))
        reply = await self.owner().claim(attempt)
        assert reply.status is not ClaimStatus.GRANTED, "granted after its withdrawal"

    async def void(self, attempt, withdraw=False):
        while not await self.owner().finish(ended(attempt), withdraw):
            await asyncio.sleep(RETRY_S)

    async def claimed_writers(self):
        state = await read_shard(self.table, self.objects, 0)
        entries = state.entry_by_id.values()
        return {one.writer for one in entries if one.record.state is ClaimState.CLAIMED}


def test_owners_grant_a_key_to_one_attempt_and_forget_none(monkeypatch):
    # Compact often, so that rows are deleted while responses are on their way.
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", 3)

    async def run(seed):
        history = History(seed)
        await history.play()
        granted = {one.writer for held in history.granted_by_key.values() for one in held}
        assert await history.claimed_writers() == granted, "claim was not settled"

    for seed in range(HISTORIES):
        try:
            run_virtual(run(seed))
        except AssertionError as error:
            pytest.fail(f"seed {seed}: {error}")
