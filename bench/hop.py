"""What one hop through a node costs: added latency, processor time, memory, highest rate.

Calls are made directly and through a node in turn, in one run, each with keep-alive and a body
of 512 bytes; the added time is the difference of the quantiles.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from contextlib import ExitStack
from dataclasses import dataclass

import aiohttp

from bench.processes import (
    accept_document,
    cpu_s,
    module_process,
    node_process,
    peridottrack_process,
    resident_mib,
    wait_for_status,
)
from bench.report import Report
from peridottrack.standin.deployments import BUZULIP, LOOPBACK_IP, free_ports, node_settings

CALLS_PER_S = 210.0
BODY = b"x" * 512
TARGET_ADDED_P99_MS = 0.73
TARGET_CONTROL_SHARE = 0.036
TARGET_MEMORY_MIB = 128.0
IDLE_S = 5.0
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


async def measure(seconds: float) -> None:
    """Run the benchmark and end the program, non-zero if a target was missed."""
    ports = free_ports(7)
    platform_url = f"http://{LOOPBACK_IP}:{ports[4]}"
    settings = node_settings(BUZULIP, BUZULIP.domains[0], platform_url, ports[:4])
    direct = Load(f"http://{LOOPBACK_IP}:{ports[5]}{PATH}", [])
    bare = Load(f"http://{LOOPBACK_IP}:{ports[6]}{PATH}", [])
    hop = Load(f"http://{settings.callers_address}{PATH}", [])
    upstream = (
        "standin", "upstream", "--listen", f"{LOOPBACK_IP}:{ports[5]}",
        "--announce", settings.announce_address, "--service", "katalog", "--service-ms", "0",
    )  # fmt: skip
    with ExitStack() as stack:
        stack.enter_context(
            peridottrack_process("standin", "platform", "--listen", f"{LOOPBACK_IP}:{ports[4]}")
        )
        await accept_document(platform_url, BUZULIP)
        node = stack.enter_context(node_process(settings))
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            await wait_for_status(session, f"http://{settings.admin_address}/version")
            stack.enter_context(peridottrack_process(*upstream))
            relay = stack.enter_context(module_process("bench.relay", str(ports[6]), direct.url))
            await wait_for_status(session, hop.url)
            await wait_for_status(session, bare.url)
            loads = [direct, bare, hop]
            await paced(session, loads, 2.0)
            for load in loads:
                load.latencies_s.clear()
            began, before, before_relay = time.perf_counter(), cpu_s(node), cpu_s(relay)
            await paced(session, loads, seconds)
            calls = len(hop.latencies_s)
            passed_s = time.perf_counter() - began
            used_s, used_relay_s = cpu_s(node) - before, cpu_s(relay) - before_relay
            idle_before = cpu_s(node)
            await asyncio.sleep(IDLE_S)
            idle_share = (cpu_s(node) - idle_before) / IDLE_S
            rate = await highest_rate(session, hop.url, 3.0)
            bare_rate = await highest_rate(session, bare.url, 3.0)
            report = Report()
            for load in loads:
                print(f"{load.url}: {len(load.latencies_s)} calls")
            print_added(report, direct, bare, hop)
            own_us = (used_s - idle_share * passed_s) / calls * 1e6
            print(f"processor: {own_us:.0f} us a call, bare relay {used_relay_s / calls * 1e6:.0f}")
            print(f"idle: {idle_share:.1%} of a core; memory {resident_mib(node):.0f} MiB")
            print(f"highest rate: {rate:.0f} calls/s, bare relay {bare_rate:.0f}")
            report.check("idle share of a core", idle_share, TARGET_CONTROL_SHARE)
            report.check("memory MiB", resident_mib(node), TARGET_MEMORY_MIB)
    report.finish(f"seed {SEED}")


def print_added(report: Report, direct: Load, bare: Load, hop: Load) -> None:
    """Print what a hop adds, beside the bare relay and the target."""
    for share in (0.5, 0.99):
        base_ms = direct.quantile_ms(share)
        added_ms = hop.quantile_ms(share) - base_ms
        bare_ms = bare.quantile_ms(share) - base_ms
        print(
            f"p{share * 100:.0f}: direct {base_ms:.2f} ms, added by a hop {added_ms:.2f} ms,"
            f" by the bare relay {bare_ms:.2f} ms, ratio {added_ms / bare_ms:.2f}"
        )
        if share == 0.99:
            report.check("added at p99, ms", added_ms, TARGET_ADDED_P99_MS)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    asyncio.run(measure(parser.parse_args().seconds))


if __name__ == "__main__":
    main()
