"""What one hop through a node costs: added latency, processor time, memory, highest rate.

Calls are made directly and through a node in turn, in one run, each with keep-alive and a body
of 512 bytes; the added time is the difference of the quantiles.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from dataclasses import dataclass

import aiohttp

from bench.processes import (
    HOST,
    accept_document,
    cpu_s,
    node_program,
    program,
    resident_mib,
    until_answered,
)
from peridottrack.standin.deployments import BUZULIP, free_ports, node_settings

CALLS_PER_S = 210.0
BODY = b"x" * 512
TARGET_ADDED_P99_MS = 0.73
SEED = 7
PATH = "/katalog/ip-9"


@dataclass
class Load:
    """Latencies of calls to one URL."""

    url: str
    latencies_s: list[float]

    def quantile_ms(self, share: float) -> float:
        """Return a quantile in milliseconds."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


async def call(session: aiohttp.ClientSession, load: Load) -> None:
    """Make one call and note its latency."""
    started = time.perf_counter()
    async with session.request("GET", load.url, data=BODY) as answer:
        await answer.read()
        assert answer.status == 200, answer.status
    load.latencies_s.append(time.perf_counter() - started)


async def paced(session: aiohttp.ClientSession, loads: list[Load], seconds: float) -> None:
    """Make calls at the target's rate to each load, at random moments, in turn."""
    rng = random.Random(SEED)
    tasks: set[asyncio.Task[None]] = set()
    due = time.perf_counter()
    end = due + seconds
    turn = 0
    while due < end:
        due += rng.expovariate(CALLS_PER_S * len(loads))
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        task = asyncio.create_task(call(session, loads[turn % len(loads)]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        turn += 1
    if tasks:
        await asyncio.wait(tasks)


async def highest_rate(session: aiohttp.ClientSession, url: str, seconds: float) -> float:
    """Return the calls a second that a few callers in closed loops get through."""
    load = Load(url, [])
    end = time.perf_counter() + seconds

    async def caller() -> None:
        while time.perf_counter() < end:
            await call(session, load)

    await asyncio.gather(*(caller() for _ in range(8)))
    return len(load.latencies_s) / seconds


async def measure(seconds: float) -> bool:
    """Run the benchmark; False if the target was missed."""
    ports = free_ports(6)
    platform_url = f"http://{HOST}:{ports[4]}"
    settings = node_settings(BUZULIP, BUZULIP.domains[0], platform_url, ports[:4])
    direct = Load(f"http://{HOST}:{ports[5]}{PATH}", [])
    hop = Load(f"http://{settings.callers_address}{PATH}", [])
    upstream = (
        "standin", "upstream", "--listen", f"{HOST}:{ports[5]}",
        "--announce", settings.announce_address, "--service", "katalog", "--service-ms", "0",
    )  # fmt: skip
    with program("standin", "platform", "--listen", f"{HOST}:{ports[4]}"):
        await accept_document(platform_url, BUZULIP)
        with node_program(settings) as node:
            async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
                await until_answered(session, f"http://{settings.admin_address}/version")
                with program(*upstream):
                    await until_answered(session, hop.url)
                    await paced(session, [direct, hop], 2.0)
                    direct.latencies_s.clear()
                    hop.latencies_s.clear()
                    cpu_before, started = cpu_s(node), time.perf_counter()
                    await paced(session, [direct, hop], seconds)
                    used_s = cpu_s(node) - cpu_before
                    passed_s = time.perf_counter() - started
                    memory = resident_mib(node)
                    idle_before = cpu_s(node)
                    await asyncio.sleep(5.0)
                    idle_share = (cpu_s(node) - idle_before) / 5.0
                    rate = await highest_rate(session, hop.url, 3.0)
    return report(direct, hop, used_s, passed_s, memory, idle_share, rate)


def report(
    direct: Load,
    hop: Load,
    used_s: float,
    passed_s: float,
    memory: float,
    idle_share: float,
    rate: float,
) -> bool:
    """Print the figures beside their targets; False if one was missed."""
    added = {share: hop.quantile_ms(share) - direct.quantile_ms(share) for share in (0.5, 0.99)}
    calls = len(hop.latencies_s)
    own_us = (used_s - idle_share * passed_s) / calls * 1e6
    kept = added[0.99] <= TARGET_ADDED_P99_MS
    print(f"calls: {calls} through the node in {passed_s:.1f} s, as many directly")
    print(f"direct: p50 {direct.quantile_ms(0.5):.2f} ms, p99 {direct.quantile_ms(0.99):.2f} ms")
    print(f"hop:    p50 {hop.quantile_ms(0.5):.2f} ms, p99 {hop.quantile_ms(0.99):.2f} ms")
    print(
        f"added:  p50 {added[0.5]:.2f} ms, p99 {added[0.99]:.2f} ms (target {TARGET_ADDED_P99_MS})"
    )
    print(f"processor: {own_us:.0f} us a call, idle {idle_share:.1%} of a core")
    print(f"memory: {memory:.0f} MiB resident")
    print(f"highest rate: {rate:.0f} calls/s")
    print("target kept" if kept else "TARGET MISSED: added p99")
    return kept


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    seconds = parser.parse_args().seconds
    sys.exit(0 if asyncio.run(measure(seconds)) else 1)


if __name__ == "__main__":
    main()
