"""Measures the cost of claims, which keep a call with an idempotency key from running twice.

Measured are the table writes and CPU time of a claim, the cost of reading a shard when a node takes
it over, and the latency that a claim adds to a call over loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from dataclasses import dataclass

import aiohttp

from bench.report import Report
from peridottrack import journal
from peridottrack.claims import ClaimRecord, ClaimState, ClaimStore, RowClaimStore, claim_id
from peridottrack.clock import LoopClock, run_virtual
from peridottrack.journal import JournalClaimStore, ShardOwner
from peridottrack.shards import JournalEntry, read_shard
from peridottrack.standin.cluster import Cluster
from peridottrack.standin.deployments import BUZULIP
from peridottrack.standin.memory import MemoryObjects, MemoryTable
from peridottrack.store import new_writer_id
from peridottrack.types import NodeId

# Assumed share of the several hundred writes/s that the platform grants.
STORE_WRITES_PER_S = 300.0
TARGET_NODES = 1_100
TARGET_CALLS_PER_S = 230_000
FLUSH_S = 0.05
CALLS_PER_RUN = 300


def make_record(number: int, state: ClaimState = ClaimState.CLAIMED) -> ClaimRecord:
    """Return a claim record of typical size."""
    claim = claim_id(f"order-{number}", "/siparis/orders", "c" * 24)
    return ClaimRecord(claim, state, "f" * 16, "c" * 24, "r" * 16, "10.0.0.1:7000/1", 0.0)


@dataclass(frozen=True, slots=True)
class StoreCost:
    """Cost of a claim in one claim store."""

    name: str
    writes_per_claim: float
    rate_per_s: float
    cpu_us: float


async def run_claims(name: str, store: ClaimStore, table: MemoryTable, rate: float) -> StoreCost:
    """Claim and finish at a fixed rate for 5 virtual seconds."""
    seconds = 5.0
    count = int(rate * seconds)
    writes_before = table.writes

    async def claim_and_finish(number: int) -> None:
        await asyncio.sleep(number / rate)
        reply = await store.claim(make_record(number))
        assert reply.handle is not None
        assert await store.finish(reply.handle, make_record(number, ClaimState.DONE))

    started_at = time.process_time()
    await asyncio.gather(*(claim_and_finish(number) for number in range(count)))
    cpu_us = (time.process_time() - started_at) / count * 1e6
    return StoreCost(name, (table.writes - writes_before) / count, rate, cpu_us)


def measure_rows(rate: float) -> StoreCost:
    """Measure the claim store that writes a table row for each claim."""

    async def run() -> StoreCost:
        table = MemoryTable()
        return await run_claims("row a claim", RowClaimStore(table, LoopClock()), table, rate)

    return run_virtual(run())


def measure_journal(rate: float, shards: int) -> StoreCost:
    """Measure the journal claim store on a node that owns all shards."""

    async def run() -> StoreCost:
        table = MemoryTable()
        node = NodeId("10.0.0.1:7000")
        store = JournalClaimStore(
            node, shards, FLUSH_S, table, MemoryObjects(), None, lambda shard: node, LoopClock()  # type: ignore[arg-type]
        )
        return await run_claims(f"journal, {shards} shards", store, table, rate)

    return run_virtual(run())


def measure_recovery(entries: int) -> tuple[float, float]:
    """Return the CPU seconds and table reads to recover a shard of ``entries`` claims."""

    async def run() -> tuple[float, float]:
        table, objects = MemoryTable(), MemoryObjects()
        owner = ShardOwner(0, NodeId("a"), table, objects, LoopClock(), 0.001)
        for start in range(0, entries, 100):
            batch = [
                JournalEntry(make_record(number), new_writer_id())
                for number in range(start, start + 100)
            ]
            await asyncio.gather(*(owner.claim(entry) for entry in batch))
        reads, started_at = table.reads, time.process_time()
        state = await read_shard(table, objects, 0)
        assert len(state.entry_by_id) == entries
        return time.process_time() - started_at, table.reads - reads

    return run_virtual(run())


async def measure_latency(**settings: object) -> tuple[list[float], list[float]]:
    """Return the sorted latencies of lookups and of keyed orders, called alternately."""
    cluster = Cluster(BUZULIP, service_s=0.0, **settings)
    await cluster.start(per_service=1)
    url = cluster.hosts[0].url
    lookups_s, orders_s = [], []
    async with aiohttp.ClientSession() as session:
        for number in range(CALLS_PER_RUN):
            started_at = time.perf_counter()
            async with session.get(url + "/siparis/mine") as response:
                await response.read()
            lookups_s.append(time.perf_counter() - started_at)
            headers = {"Idempotency-Key": f"b-{number}", "Authorization": "Bearer b"}
            started_at = time.perf_counter()
            async with session.post(url + "/siparis/orders", headers=headers) as response:
                await response.read()
                assert response.status == 200
            orders_s.append(time.perf_counter() - started_at)
    await cluster.stop()
    return sorted(lookups_s), sorted(orders_s)


def print_latency(name: str, **settings: object) -> None:
    """Print how much longer keyed orders take than lookups, at p50 and p99."""
    lookups_s, orders_s = asyncio.run(measure_latency(**settings))
    for quantile in (0.5, 0.99):
        index = int(quantile * CALLS_PER_RUN)
        added_ms = (orders_s[index] - lookups_s[index]) * 1000
        print(
            f"{name}: added at p{quantile * 100:.0f} {added_ms:.2f} ms"
            f" (lookup {lookups_s[index] * 1000:.2f} ms)"
        )


def main() -> None:
    """Run from the command line."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    report = Report()
    for cost in (
        measure_rows(200.0),
        measure_journal(200.0, 16),
        measure_journal(2_000.0, 16),
        measure_journal(2_000.0, 4),
    ):
        max_rate = STORE_WRITES_PER_S / cost.writes_per_claim
        print(
            f"{cost.name} at {cost.rate_per_s:.0f}/s: {cost.writes_per_claim:.3f} writes a claim"
            f" with its outcome, {cost.cpu_us:.0f} us; {STORE_WRITES_PER_S:.0f} writes/s carry"
            f" {max_rate:.0f} claims/s, {max_rate / TARGET_CALLS_PER_S:.2%} of the target's calls"
        )
        if cost.name.startswith("row"):
            report.check("rows: writes a claim", cost.writes_per_claim, 2.0)
    # Disables compaction, so that a recovery reads the rows of all claims.
    journal.ROWS_TO_COMPACT = 1_000_000
    for entries in (1_000, 4_000, 16_000):
        cpu_s, reads = measure_recovery(entries)
        print(f"taking over a shard of {entries} claims: {cpu_s * 1000:.0f} ms, {reads:.0f} reads")
    print_latency("row a claim")
    print_latency("journal, 5 ms flush", claims="journal", claim_flush_s=0.005)
    report.finish("store without delay; a store's round trips come on top")


if __name__ == "__main__":
    main()
