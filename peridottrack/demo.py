"""The demo: runs a deployment under load, injects failures and checks the guarantees."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from peridottrack.call import IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER
from peridottrack.errors import CODE_HEADER, RAN_HEADER, Ran
from peridottrack.httpstores import DynamoDbTable
from peridottrack.revisions import SectionEdit, accept, read_document
from peridottrack.standin import faults, upstream
from peridottrack.standin.cluster import Cluster
from peridottrack.standin.deployments import DEPLOYMENT_BY_NAME, Deployment
from peridottrack.types import SectionName

Echo = Callable[[str], None]

READS_PER_S = 120.0
ORDERS_PER_S = 15.0
DUPLICATE_SHARE = 0.4
"""Share of the orders that two callers send at the same time, each to a random node."""
ORDER_TIMEOUT_S = 12.0
"""How long a caller retries an order before it stops."""
DRAIN_GRACE_S = 3.0
"""How long after its drain an instance may still receive requests."""
DOCUMENT_TIMEOUT_S = 5.0
"""Time within which an accepted document must be in force in all nodes."""
# The following five are shares of the run's length: when each event starts, and how long the
# store is down.
STRAGGLER_AT = 0.2
DRAIN_AT = 0.35
DOCUMENT_AT = 0.5
STORE_DOWN_AT = 0.6
STORE_DOWN_SHARE = 0.2


@dataclass
class ServiceResults:
    """Latencies and errors seen by the callers of one service."""

    latencies_s: list[float] = field(default_factory=list)
    error_counts: Counter[str] = field(default_factory=Counter)
    calls: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return a latency quantile of the successful responses, in milliseconds."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


@dataclass
class OrderResults:
    """The orders that callers sent, and the responses to them.

    Parameters
    ----------
    sent
        Number of requests, including duplicates and retries of the same order.
    keys
        Idempotency keys of all orders.
    answered_keys
        Keys of the orders that got a successful response.
    not_run_request_ids
        Ids of the requests that were reported to their caller as not run.
    """

    sent: int = 0
    keys: set[str] = field(default_factory=set)
    answered_keys: set[str] = field(default_factory=set)
    not_run_request_ids: set[str] = field(default_factory=set)


class Demo:
    """One run of the demo."""

    def __init__(self, deployment: Deployment, seconds: float, echo: Echo) -> None:
        self._deployment = deployment
        self._seconds = seconds
        self._echo = echo
        self._rng = random.Random(20)
        self._cluster = Cluster(deployment)
        self._results = {name: ServiceResults() for name in deployment.services}
        self._orders = OrderResults()
        self._violations: list[str] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession

    async def run(self) -> list[str]:
        """Run the demo and return the violated guarantees."""
        host_count = len(self._deployment.services) * self._deployment.instances
        self._echo(f"{self._deployment.name}: starting the platform and {host_count} hosts ...")
        await self._cluster.start()
        started = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            self._echo(f"sending requests for {self._seconds:.0f} s")
            events = [asyncio.create_task(event) for event in self._events()]
            await self._send_calls()
            await asyncio.gather(*events)
            if self._calls:
                await asyncio.wait(self._calls, timeout=ORDER_TIMEOUT_S)
        self._check_orders()
        self._check_load_report_budget(time.monotonic() - started)
        self._print_table(time.monotonic() - started)
        await self._cluster.stop()
        return self._violations

    # -- load --------------------------------------------------------------------------

    async def _send_calls(self) -> None:
        end = time.monotonic() + self._seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(READS_PER_S + ORDERS_PER_S))
            is_order = self._rng.random() < ORDERS_PER_S / (READS_PER_S + ORDERS_PER_S)
            self._spawn(self._send_order() if is_order else self._send_read())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _node_url(self) -> str:
        return self._rng.choice(self._cluster.hosts).url

    async def _send_read(self) -> None:
        path = f"{self._rng.choice(self._deployment.read_paths)}?n={self._rng.random()}"
        started = time.perf_counter()
        async with self._session.get(self._node_url() + path) as response:
            body = await response.read()
        self._record_response(path, response, time.perf_counter() - started)
        if response.status == 200 and path.encode() not in body:
            self._violations.append("a caller got the response to another request")

    async def _send_order(self) -> None:
        key = f"order-{self._rng.getrandbits(64):016x}"
        path = self._rng.choice(self._deployment.order_paths)
        self._orders.keys.add(key)
        sends = [self._send_until_answered(path, key)]
        if self._rng.random() < DUPLICATE_SHARE:
            sends.append(self._send_until_answered(path, key))
        await asyncio.gather(*sends)

    async def _send_until_answered(self, path: str, key: str) -> None:
        """Send an order, each time to a random node, until it gets a successful response."""
        timeout_at = time.monotonic() + ORDER_TIMEOUT_S
        headers = {IDEMPOTENCY_KEY_HEADER: f'"{key}"', "Authorization": "Bearer demo"}
        while time.monotonic() < timeout_at:
            started = time.perf_counter()
            self._orders.sent += 1
            url = self._node_url() + path
            async with self._session.post(url, data=key.encode(), headers=headers) as response:
                body = await response.read()
            self._record_response(path, response, time.perf_counter() - started)
            if response.status == 200:
                self._orders.answered_keys.add(key)
                if key.encode() not in body:
                    self._violations.append("an order got the response to another order")
                return
            if response.headers.get(RAN_HEADER) == Ran.NO.value:
                self._orders.not_run_request_ids.add(response.headers[REQUEST_ID_HEADER])
            await asyncio.sleep(0.3 + 0.4 * self._rng.random())

    def _record_response(
        self, path: str, response: aiohttp.ClientResponse, latency_s: float
    ) -> None:
        service = path.split("/")[1]
        results = self._results[next(name for name in self._results if name == service)]
        results.calls += 1
        if response.status == 200:
            results.latencies_s.append(latency_s)
        else:
            results.error_counts[response.headers.get(CODE_HEADER, str(response.status))] += 1

    # -- events ------------------------------------------------------------------------

    def _events(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._start_straggler(),
            self._drain_instance(),
            self._change_document(),
            self._stop_store(),
        ]

    async def _wait_until(self, share: float, text: str) -> None:
        await asyncio.sleep(self._seconds * share)
        self._echo(f"  {self._seconds * share:5.1f} s  {text}")

    async def _start_straggler(self) -> None:
        instance = self._cluster.hosts[0].upstream
        await self._wait_until(STRAGGLER_AT, f"{instance.instance_id} becomes 20 times slower")
        instance.behaviour.fault = upstream.UpstreamFault.STRAGGLE

    async def _drain_instance(self) -> None:
        instance = self._cluster.hosts[-1].upstream
        await self._wait_until(DRAIN_AT, f"{instance.instance_id} starts draining")
        await instance.drain()
        await asyncio.sleep(DRAIN_GRACE_S)
        requests_before = instance.received_requests
        await asyncio.sleep(max(1.0, self._seconds * 0.2))
        if instance.received_requests != requests_before:
            self._violations.append(f"{instance.instance_id} received new requests after its drain")

    async def _change_document(self) -> None:
        section = SectionName(next(iter(self._deployment.section_text_by_name)))
        await self._wait_until(DOCUMENT_AT, f"a changed section {section} is accepted")
        table = DynamoDbTable(self._session, self._cluster.platform_url, "peridottrack", 2.0)
        head, revisions = await read_document(table)
        old = revisions[section]
        owner = old.data["owners"][0]
        text = old.text.replace("3000", "2900")
        await accept(table, SectionEdit(section, old.version, text, owner, time.time()))
        started = time.monotonic()
        while time.monotonic() < started + DOCUMENT_TIMEOUT_S:
            if all(host.node.document.version > head.version for host in self._cluster.hosts):
                elapsed_s = time.monotonic() - started
                self._echo(f"           in force in all nodes after {elapsed_s:.2f} s")
                return
            await asyncio.sleep(0.02)
        self._violations.append(
            f"the document was not in force in all nodes within {DOCUMENT_TIMEOUT_S:.0f} s"
        )

    async def _stop_store(self) -> None:
        await self._wait_until(STORE_DOWN_AT, "the platform's store becomes unavailable")
        self._cluster.platform.faults.default = faults.StoreFault.DOWN
        await asyncio.sleep(self._seconds * STORE_DOWN_SHARE)
        self._cluster.platform.faults.default = faults.StoreFault.NONE
        self._echo("           the store is available again")

    # -- guarantees --------------------------------------------------------------------

    def _check_orders(self) -> None:
        runs = self._cluster.run_log.runs_by_key
        repeated = [key for key, count in runs.items() if count > 1]
        if repeated:
            self._violations.append(f"{len(repeated)} orders ran more than once")
        miscounted = [key for key in self._orders.answered_keys if runs[key] != 1]
        if miscounted:
            self._violations.append(
                f"{len(miscounted)} orders got a response but did not run exactly once"
            )
        if self._orders.not_run_request_ids & self._cluster.run_log.instances_by_request_id.keys():
            self._violations.append("a request that was reported as not run did run")
        unanswered = self._orders.keys - self._orders.answered_keys
        if unanswered:
            self._violations.append(f"{len(unanswered)} orders got no successful response in time")

    def _check_load_report_budget(self, elapsed_s: float) -> None:
        limit = self._load_report_limit_bytes(elapsed_s)
        for host in self._cluster.hosts:
            if host.node.load_reports.budget.sent_bytes > limit:
                self._violations.append("a node exceeded its budget for load reports")

    def _load_report_limit_bytes(self, elapsed_s: float) -> float:
        budget = self._cluster.hosts[0].node.load_reports.budget
        return budget.bytes_per_s * (elapsed_s + budget.BURST_S)

    def _print_table(self, elapsed_s: float) -> None:
        echo = self._echo
        columns = ("service", "requests", "p50 ms", "p99 ms", "retries", "hedges")
        echo("")
        echo("".join(f"{column:>12}" for column in columns) + "  errors")
        for name, results in self._results.items():
            values = (
                name,
                str(results.calls),
                f"{results.quantile_ms(0.5):.1f}",
                f"{results.quantile_ms(0.99):.1f}",
                f"{self._attempts(name, 'retry'):.0f}",
                f"{self._attempts(name, 'hedge'):.0f}",
            )
            errors = ", ".join(f"{kind} {count}" for kind, count in results.error_counts.items())
            echo("".join(f"{value:>12}" for value in values) + f"  {errors or '-'}")
        runs = self._cluster.run_log.runs_by_key.total()
        orders = self._orders
        max_sent = max(host.node.load_reports.budget.sent_bytes for host in self._cluster.hosts)
        limit = self._cluster.hosts[0].node.load_reports.budget.bytes_per_s
        echo("")
        echo(f"orders: {orders.sent} sent, {len(orders.keys)} distinct, {runs} run")
        echo(
            f"load reports: at most {max_sent / elapsed_s:.0f} bytes/s per node, budget {limit:.0f}"
        )
        echo(
            "guarantees: "
            + ("VIOLATED: " + "; ".join(self._violations) if self._violations else "all held")
        )

    def _attempts(self, service: str, reason: str) -> float:
        return sum(
            host.node.metrics.registry.get_sample_value(
                "peridottrack_attempts_total", {"service": service, "reason": reason}
            )
            or 0.0
            for host in self._cluster.hosts
        )


async def run_demo(deployment: str, seconds: float, echo: Echo) -> list[str]:
    """Run the demo and return the violated guarantees."""
    return await Demo(DEPLOYMENT_BY_NAME[deployment], seconds, echo).run()
