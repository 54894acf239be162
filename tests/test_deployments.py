"""Steps of scenarios/deployments.feature, over loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from dataclasses import dataclass, field, replace

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridottrack.exceptions import StoreUnavailable
from peridottrack.httpstores import DynamoDbTable
from peridottrack.node import Node
from peridottrack.revisions import SectionEdit, accept
from peridottrack.standin.cluster import Cluster
from peridottrack.standin.deployments import DEPLOYMENT_BY_NAME
from peridottrack.standin.faults import StoreFault
from peridottrack.types import SectionName

scenarios("scenarios/deployments.feature")

DRAIN_GRACE_S = 3.0
MAX_ATTEMPTS = 60


@dataclass
class Site:
    """The deployment under test, its callers and their results."""

    runner: asyncio.Runner
    cluster: Cluster | None = None
    session: aiohttp.ClientSession | None = None
    lookups: Counter = field(default_factory=Counter)
    orders: set = field(default_factory=set)
    stop_load: bool = False
    error: Exception | None = None
    requests_after_drain: int = 0
    drained = None  # the upstream that was drained

    def run(self, work):
        return self.runner.run(work)

    async def lookup(self, number):
        """Send a lookup to one node after the other until one responds with success."""
        path = f"{self.cluster.deployment.read_paths[0]}/{number}"
        for attempt in range(MAX_ATTEMPTS):
            host = self.cluster.hosts[(number + attempt) % len(self.cluster.hosts)]
            try:
                async with self.session.get(host.url + path) as response:
                    body = await response.read()
                if response.status == 200:
                    assert path.encode() in body
                    self.lookups["answered"] += 1
                    return
            except aiohttp.ClientConnectorError:
                pass
            await asyncio.sleep(0.05)
        self.lookups["lost"] += 1

    async def order(self, number):
        key = f"order-{number}"
        headers = {"Idempotency-Key": key, "Authorization": "Bearer club"}
        self.orders.add(key)
        for attempt in range(MAX_ATTEMPTS):
            host = self.cluster.hosts[(number + attempt) % len(self.cluster.hosts)]
            url = host.url + self.cluster.deployment.order_paths[0]
            try:
                async with self.session.post(url, data=b"x", headers=headers) as response:
                    await response.read()
                if response.status == 200:
                    return
            except (aiohttp.ClientConnectorError, aiohttp.ServerDisconnectedError):
                pass
            await asyncio.sleep(0.05)

    async def load(self, orders=False):
        for number in itertools.count():
            if self.stop_load:
                return
            work = [self.lookup(number)]
            if orders:
                work.append(self.order(number))
            await asyncio.gather(*work)
            await asyncio.sleep(0.02)


@pytest.fixture
def site():
    with asyncio.Runner() as runner:
        site = Site(runner)
        yield site
        if site.session is not None:
            runner.run(site.session.close())
            runner.run(site.cluster.stop())


@given(parsers.parse("the {name} deployment with one service"))
def deployment(site, name):
    complete = DEPLOYMENT_BY_NAME[name]
    service = complete.services[1]
    reduced = replace(
        complete,
        services=(service,),
        read_paths=(complete.read_paths[1],),
        section_text_by_name={"ordering": complete.section_text_by_name["ordering"]},
    )

    async def start():
        site.cluster = Cluster(reduced, service_s=0.002, drain_s=8.0)
        await site.cluster.start()
        site.session = aiohttp.ClientSession()

    site.run(start())


@when("an instance crashes")
def crash(site):
    site.run(site.cluster.hosts[0].upstream.crash())


@then(parsers.parse("{count:d} lookups all get complete responses"))
def lookups_answered(site, count):
    async def send():
        for number in range(count):
            await site.lookup(number)

    site.run(send())
    assert site.lookups == {"answered": count}


@when("an instance drains while lookups are sent")
def drain(site):
    async def run():
        site.drained = site.cluster.hosts[0].upstream
        load = asyncio.ensure_future(site.load())
        await asyncio.sleep(0.3)
        await site.drained.drain()
        await asyncio.sleep(DRAIN_GRACE_S)
        site.requests_after_drain = site.drained.received_requests
        await asyncio.sleep(1.0)
        site.stop_load = True
        await load

    site.run(run())


@then("it receives no new requests from 3 seconds after the drain")
def no_new_requests(site):
    assert site.drained.received_requests == site.requests_after_drain


@then("every lookup got a response")
def every_lookup(site):
    assert site.lookups["answered"] > 0
    assert site.lookups["lost"] == 0


@when("all nodes are restarted one after the other while orders and lookups are sent")
def rolling_restart(site):
    async def run():
        load = asyncio.ensure_future(site.load(orders=True))
        for host in site.cluster.hosts:
            assert await host.node.leave()
            host.node = Node(host.node.settings)
            await host.node.start()
            await asyncio.sleep(1.5)
        site.stop_load = True
        await load

    site.run(run())


@then("every order ran once")
def orders_once(site):
    runs = site.cluster.run_log.runs_by_key
    assert site.orders
    assert {key: runs[key] for key in site.orders} == dict.fromkeys(site.orders, 1)


def make_table(site):
    return DynamoDbTable(site.session, site.cluster.platform_url, "peridottrack", 2.0)


def new_section(name):
    text = json.dumps({"owners": ["team"], "services": {name: {}}})
    return SectionEdit(SectionName(name), 0, text, "team", 0.0)


@when("two teams each accept a new section at the same time")
def two_teams(site):
    async def run():
        table = make_table(site)
        await asyncio.gather(*(accept(table, new_section(name)) for name in ("one", "two")))

    site.run(run())


@then("both sections are in force in all nodes")
def in_force(site):
    async def wait():
        async with asyncio.timeout(10):
            for host in site.cluster.hosts:
                while host.node.document.version < 3:
                    await asyncio.sleep(0.02)

    site.run(wait())
    for host in site.cluster.hosts:
        assert {"one", "two"} <= host.node.document.snapshot.document.service_by_name.keys()


@when("the store is unavailable and a team accepts a section")
def accept_while_down(site):
    async def run():
        site.cluster.platform.faults.default = StoreFault.DOWN
        try:
            await accept(make_table(site), new_section("one"))
        except StoreUnavailable as error:
            site.error = error
        await asyncio.sleep(1.0)

    site.run(run())


@then("the team gets an error that the store is unavailable")
def accept_failed(site):
    assert site.error is not None


@then("the old document is in force in all nodes")
def old_in_force(site):
    assert {host.node.document.version for host in site.cluster.hosts} == {1}
