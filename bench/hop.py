"""Measures one hop through a node: added latency, CPU time, memory and highest call rate.

One run makes calls directly to the upstream, through a minimal relay and through a node, in
rotation, over keep-alive connections and with a body of 512 bytes. The added latency is the
difference between the quantiles.
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
TARGET_IDLE_CPU_SHARE = 0.036
TARGET_MEMORY_MIB = 128.0
IDLE_PERIOD_S = 5.0
SEED = 7
PATH = "/katalog/ip-9"


@dataclass
class LatencyRecorder:
    """Latencies of the calls to one URL."""

    url: str
    latencies_s: list[float]

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the latencies in milliseconds."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] * 1000


async def call(session: aiohttp.ClientSession, recorder: LatencyRecorder) -> None:
    """Make one call and record its latency."""
    started_at = time.perf_counter()
    async with session.request("GET", recorder.url, data=BODY) as response:
        await response.read()
        assert response.status == 200, response.status
    recorder.latencies_s.append(time.perf_counter() - started_at)


async def run_open_loop(
    session: aiohttp.ClientSession, recorders: list[LatencyRecorder], seconds: float
) -> None:
    """Call the URLs in rotation with Poisson arrivals, each at ``CALLS_PER_S``.

    A new call starts on schedule, whether or not earlier ones have returned.
    """
    rng = random.Random(SEED)
    tasks: set[asyncio.Task[None]] = set()
    next_at = time.perf_counter()
    end_at = next_at + seconds
    call_count = 0
    while next_at < end_at:
        next_at += rng.expovariate(CALLS_PER_S * len(recorders))
        await asyncio.sleep(max(0.0, next_at - time.perf_counter()))
        task = asyncio.create_task(call(session, recorders[call_count % len(recorders)]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        call_count += 1
    if tasks:
        await asyncio.wait(tasks)


async def closed_loop_rate(session: aiohttp.ClientSession, url: str, seconds: float) -> float:
    """Return the calls per second of 8 callers that each start a call when the last returns."""
    recorder = LatencyRecorder(url, [])
    end_at = time.perf_counter() + seconds

    async def caller() -> None:
        while time.perf_counter() < end_at:
            await call(session, recorder)

    await asyncio.gather(*(caller() for _ in range(8)))
    return len(recorder.latencies_s) / seconds


async def measure(seconds: float) -> None:
    """Run the benchmark and exit, with 1 if a target was missed."""
    ports = free_ports(7)
    platform_url = f"http://{LOOPBACK_IP}:{ports[4]}"
    settings = node_settings(BUZULIP, BUZULIP.domains[0], platform_url, ports[:4])
    direct = LatencyRecorder(f"http://{LOOPBACK_IP}:{ports[5]}{PATH}", [])
    via_relay = LatencyRecorder(f"http://{LOOPBACK_IP}:{ports[6]}{PATH}", [])
    via_node = LatencyRecorder(f"http://{settings.callers_address}{PATH}", [])
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
            await wait_for_status(session, via_node.url)
            await wait_for_status(session, via_relay.url)
            recorders = [direct, via_relay, via_node]
            await run_open_loop(session, recorders, 2.0)
            for recorder in recorders:
                recorder.latencies_s.clear()
            started_at, node_cpu_before, relay_cpu_before = (
                time.perf_counter(),
                cpu_s(node),
                cpu_s(relay),
            )
            await run_open_loop(session, recorders, seconds)
            calls = len(via_node.latencies_s)
            elapsed_s = time.perf_counter() - started_at
            node_cpu_s, relay_cpu_s = cpu_s(node) - node_cpu_before, cpu_s(relay) - relay_cpu_before
            idle_cpu_before = cpu_s(node)
            await asyncio.sleep(IDLE_PERIOD_S)
            idle_share = (cpu_s(node) - idle_cpu_before) / IDLE_PERIOD_S
            node_rate = await closed_loop_rate(session, via_node.url, 3.0)
            relay_rate = await closed_loop_rate(session, via_relay.url, 3.0)
            report = Report()
            for recorder in recorders:
                print(f"{recorder.url}: {len(recorder.latencies_s)} calls")
            print_added_latency(report, direct, via_relay, via_node)
            # Without the CPU time that the node uses when idle.
            node_us = (node_cpu_s - idle_share * elapsed_s) / calls * 1e6
            print(f"processor: {node_us:.0f} us a call, bare relay {relay_cpu_s / calls * 1e6:.0f}")
            print(f"idle: {idle_share:.1%} of a core; memory {resident_mib(node):.0f} MiB")
            print(f"highest rate: {node_rate:.0f} calls/s, bare relay {relay_rate:.0f}")
            report.check("idle share of a core", idle_share, TARGET_IDLE_CPU_SHARE)
            report.check("memory MiB", resident_mib(node), TARGET_MEMORY_MIB)
    report.finish(f"seed {SEED}")


def print_added_latency(
    report: Report, direct: LatencyRecorder, via_relay: LatencyRecorder, via_node: LatencyRecorder
) -> None:
    """Print the latency that a hop adds, and the relay for comparison; check the target."""
    for quantile in (0.5, 0.99):
        direct_ms = direct.quantile_ms(quantile)
        added_ms = via_node.quantile_ms(quantile) - direct_ms
        relay_ms = via_relay.quantile_ms(quantile) - direct_ms
        print(
            f"p{quantile * 100:.0f}: direct {direct_ms:.2f} ms, added by a hop {added_ms:.2f} ms,"
            f" by the bare relay {relay_ms:.2f} ms, ratio {added_ms / relay_ms:.2f}"
        )
        if quantile == 0.99:
            report.check("added at p99, ms", added_ms, TARGET_ADDED_P99_MS)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    asyncio.run(measure(parser.parse_args().seconds))


if __name__ == "__main__":
    main()
