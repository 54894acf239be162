"""The demo: a deployment under load while things break, and a check of the promises."""

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

Say = Callable[[str], None]

READS_PER_S = 120.0
ORDERS_PER_S = 15.0
RESEND_SHARE = 0.4
ORDER_PATIENCE_S = 12.0
LEAVING_GRACE_S = 3.0
IN_FORCE_S = 5.0
STRAGGLER_AT = 0.2
DRAIN_AT = 0.35
DOCUMENT_AT = 0.5
STORE_DOWN_AT = 0.6
STORE_DOWN_SHARE = 0.2


@dataclass
class ServiceResults:
    """What the callers of one service saw."""

    latencies_s: list[float] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)
    calls: int = 0

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latency of good answers, in milliseconds."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


@dataclass
class OrderLog:
    """What callers know of their orders.

    Parameters
    ----------
    told_not_run
        Ids of the requests of which they were told that they did not run.
    """

    sent: int = 0
    keys: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)
    told_not_run: set[str] = field(default_factory=set)


class Demo:
    """One run of the demo."""

    def __init__(self, deployment: Deployment, seconds: float, say: Say) -> None:
        self._deployment = deployment
        self._seconds = seconds
        self._say = say
        self._rng = random.Random(20)
        self._cluster = Cluster(deployment)
        self._results = {name: ServiceResults() for name in deployment.services}
        self._orders = OrderLog()
        self._broken: list[str] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession

    async def run(self) -> list[str]:
        """Run and return the promises that were broken."""
        pairs = len(self._deployment.services) * self._deployment.instances
        self._say(f"{self._deployment.name}: starting the platform and {pairs} hosts ...")
        await self._cluster.start()
        started = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            self._say(f"sending calls for {self._seconds:.0f} s")
            events = [asyncio.create_task(event) for event in self._events()]
            await self._send_calls()
            await asyncio.gather(*events)
            if self._calls:
                await asyncio.wait(self._calls, timeout=ORDER_PATIENCE_S)
        self._check_orders()
        self._check_measuring(time.monotonic() - started)
        self._print_table(time.monotonic() - started)
        await self._cluster.stop()
        return self._broken

    # -- load --------------------------------------------------------------------------

    async def _send_calls(self) -> None:
        end = time.monotonic() + self._seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(READS_PER_S + ORDERS_PER_S))
            is_order = self._rng.random() < ORDERS_PER_S / (READS_PER_S + ORDERS_PER_S)
            self._spawn(self._order() if is_order else self._read())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _node_url(self) -> str:
        return self._rng.choice(self._cluster.hosts).url

    async def _read(self) -> None:
        path = f"{self._rng.choice(self._deployment.read_paths)}?n={self._rng.random()}"
        started = time.perf_counter()
        async with self._session.get(self._node_url() + path) as answer:
            body = await answer.read()
        self._note(path, answer, time.perf_counter() - started)
        if answer.status == 200 and path.encode() not in body:
            self._broken.append("a caller got the answer of another request")

    async def _order(self) -> None:
        key = f"order-{self._rng.getrandbits(64):016x}"
        path = self._rng.choice(self._deployment.order_paths)
        self._orders.keys.add(key)
        sends = [self._order_until_answered(path, key)]
        if self._rng.random() < RESEND_SHARE:
            sends.append(self._order_until_answered(path, key))
        await asyncio.gather(*sends)

    async def _order_until_answered(self, path: str, key: str) -> None:
        """Send an order, to another node each time, until its answer came."""
        give_up_at = time.monotonic() + ORDER_PATIENCE_S
        headers = {IDEMPOTENCY_KEY_HEADER: f'"{key}"', "Authorization": "Bearer demo"}
        while time.monotonic() < give_up_at:
            started = time.perf_counter()
            self._orders.sent += 1
            url = self._node_url() + path
            async with self._session.post(url, data=key.encode(), headers=headers) as answer:
                body = await answer.read()
            self._note(path, answer, time.perf_counter() - started)
            if answer.status == 200:
                self._orders.answered.add(key)
                if key.encode() not in body:
                    self._broken.append("an order got the answer of another")
                return
            if answer.headers.get(RAN_HEADER) == Ran.NO.value:
                self._orders.told_not_run.add(answer.headers[REQUEST_ID_HEADER])
            await asyncio.sleep(0.3 + 0.4 * self._rng.random())

    def _note(self, path: str, answer: aiohttp.ClientResponse, latency_s: float) -> None:
        service = path.split("/")[1]
        results = self._results[next(name for name in self._results if name == service)]
        results.calls += 1
        if answer.status == 200:
            results.latencies_s.append(latency_s)
        else:
            results.refusals[answer.headers.get(CODE_HEADER, str(answer.status))] += 1

    # -- what goes wrong ---------------------------------------------------------------

    def _events(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._make_straggler(),
            self._drain_one(),
            self._change_document(),
            self._cut_store(),
        ]

    async def _at(self, share: float, text: str) -> None:
        await asyncio.sleep(self._seconds * share)
        self._say(f"  {self._seconds * share:5.1f} s  {text}")

    async def _make_straggler(self) -> None:
        victim = self._cluster.hosts[0].upstream
        await self._at(STRAGGLER_AT, f"{victim.instance_id} becomes 20 times slower")
        victim.behaviour.fault = upstream.UpstreamFault.STRAGGLE

    async def _drain_one(self) -> None:
        victim = self._cluster.hosts[-1].upstream
        await self._at(DRAIN_AT, f"{victim.instance_id} drains")
        await victim.drain()
        await asyncio.sleep(LEAVING_GRACE_S)
        calls_then = victim.received_requests
        await asyncio.sleep(max(1.0, self._seconds * 0.2))
        if victim.received_requests != calls_then:
            self._broken.append(f"{victim.instance_id} got new work after it left")

    async def _change_document(self) -> None:
        section = SectionName(next(iter(self._deployment.section_text_by_name)))
        await self._at(DOCUMENT_AT, f"section {section} is changed and accepted")
        table = DynamoDbTable(self._session, self._cluster.platform_url, "peridottrack", 2.0)
        head, revisions = await read_document(table)
        old = revisions[section]
        owner = old.data["owners"][0]
        text = old.text.replace("3000", "2900")
        await accept(table, SectionEdit(section, old.version, text, owner, time.time()))
        started = time.monotonic()
        while time.monotonic() < started + IN_FORCE_S:
            if all(pair.node.document.version > head.version for pair in self._cluster.hosts):
                passed_s = time.monotonic() - started
                self._say(f"           in force in all nodes after {passed_s:.2f} s")
                return
            await asyncio.sleep(0.02)
        self._broken.append(f"the document was not in force everywhere within {IN_FORCE_S:.0f} s")

    async def _cut_store(self) -> None:
        await self._at(STORE_DOWN_AT, "the platform's store is cut off")
        self._cluster.platform.faults.default = faults.StoreFault.DOWN
        await asyncio.sleep(self._seconds * STORE_DOWN_SHARE)
        self._cluster.platform.faults.default = faults.StoreFault.NONE
        self._say("           the store is back")

    # -- the promises ------------------------------------------------------------------

    def _check_orders(self) -> None:
        runs = self._cluster.ledger.runs_by_key
        twice = [key for key, count in runs.items() if count > 1]
        if twice:
            self._broken.append(f"{len(twice)} orders ran more than once")
        never = [key for key in self._orders.answered if runs[key] != 1]
        if never:
            self._broken.append(f"{len(never)} orders were answered but did not run once")
        if self._orders.told_not_run & self._cluster.ledger.instances_by_request_id.keys():
            self._broken.append("a request ran of which its caller was told that it did not")
        unanswered = self._orders.keys - self._orders.answered
        if unanswered:
            self._broken.append(f"{len(unanswered)} orders got no answer in time")

    def _check_measuring(self, passed_s: float) -> None:
        limit = self._measuring_limit_bytes(passed_s)
        for pair in self._cluster.hosts:
            if pair.node.load_reports.budget.sent_bytes > limit:
                self._broken.append("a node spent more on measuring than its budget")

    def _measuring_limit_bytes(self, passed_s: float) -> float:
        budget = self._cluster.hosts[0].node.load_reports.budget
        return budget.bytes_per_s * (passed_s + budget.BURST_S)

    def _print_table(self, passed_s: float) -> None:
        say = self._say
        columns = ("service", "calls", "p50 ms", "p99 ms", "retries", "hedges")
        say("")
        say("".join(f"{column:>12}" for column in columns) + "  refused")
        for name, results in self._results.items():
            figures = (
                name,
                str(results.calls),
                f"{results.quantile_ms(0.5):.1f}",
                f"{results.quantile_ms(0.99):.1f}",
                f"{self._attempts(name, 'retry'):.0f}",
                f"{self._attempts(name, 'hedge'):.0f}",
            )
            refused = ", ".join(f"{kind} {count}" for kind, count in results.refusals.items())
            say("".join(f"{figure:>12}" for figure in figures) + f"  {refused or '-'}")
        runs = self._cluster.ledger.runs_by_key.total()
        orders = self._orders
        spent = max(pair.node.load_reports.budget.sent_bytes for pair in self._cluster.hosts)
        limit = self._cluster.hosts[0].node.load_reports.budget.bytes_per_s
        say("")
        say(f"orders: sent {orders.sent}, distinct {len(orders.keys)}, run {runs}")
        say(f"measuring: at most {spent / passed_s:.0f} bytes/s a node, budget {limit:.0f}")
        say("promises: " + ("BROKEN: " + "; ".join(self._broken) if self._broken else "all kept"))

    def _attempts(self, service: str, reason: str) -> float:
        return sum(
            pair.node.metrics.registry.get_sample_value(
                "peridottrack_attempts_total", {"service": service, "reason": reason}
            )
            or 0.0
            for pair in self._cluster.hosts
        )


async def run_demo(deployment: str, seconds: float, say: Say) -> list[str]:
    """Run the demo and return the promises that were broken."""
    return await Demo(DEPLOYMENT_BY_NAME[deployment], seconds, say).run()
