"""A document is in force in time on every node that reaches the store, whatever others do."""

from __future__ import annotations

import asyncio
import signal
import time

import aiohttp
import pytest
from fleet import IN_FORCE_S, REFUSED, SILENT, TOUCH_S, Fleet
from soak.proxy import ProxyFault
from soak.site import Site

from peridottrack.clock import LoopClock
from peridottrack.mesh import MeshNode
from peridottrack.platform import ADAPTER

HOSTS = 12
"""Hosts of the smallest deployment."""
MANY_HOSTS = 20
"""More hosts than there are candidates for following the store."""
FOLLOW_S = 6.0
"""Longest wait for a document that comes too late, so that its lag is known."""


@pytest.fixture
async def fleet():
    environment = Fleet()
    await environment.start(HOSTS)
    yield environment
    await environment.stop()


def others(fleet, hosts):
    return [host for host in fleet.hosts if host not in hosts]


async def test_document_is_in_force_in_calm(fleet):
    assert await fleet.lag_s(fleet.hosts, FOLLOW_S) < IN_FORCE_S


# Nodes stayed on an older document since only those that follow the store, and had lost it, were
# expected to read it.
@pytest.mark.parametrize("fault", [REFUSED, SILENT], ids=["refused", "silent"])
async def test_document_is_in_force_while_all_followers_have_lost_the_store(fleet, fault):
    for _ in range(3):
        lost = fleet.followers()
        fleet.fault_store(lost, fault)
        await asyncio.sleep(0.1)
        assert await fleet.lag_s(others(fleet, lost), FOLLOW_S) < IN_FORCE_S
        fleet.fault_store(lost, ProxyFault())
        await asyncio.sleep(TOUCH_S)
        assert fleet.hosts[0].node.document_follower.version == fleet.version


# Nodes that had noticed an outage were never expected to read the store again: the same four were
# chosen to follow it when they alone had lost it.
async def test_document_is_in_force_when_followers_lose_the_store_after_an_outage(fleet):
    fleet.fault_store(fleet.hosts, REFUSED)
    await asyncio.sleep(4.0)
    fleet.fault_store(fleet.hosts, ProxyFault())
    await asyncio.sleep(8.0)
    lost = fleet.followers()
    fleet.fault_store(lost, REFUSED)
    await asyncio.sleep(0.2)
    assert await fleet.lag_s(others(fleet, lost), FOLLOW_S) < IN_FORCE_S


# Nodes that are cut off from all others and are not among the candidates for following the store
# never read it.
async def test_document_is_in_force_at_nodes_that_reach_only_the_store():
    fleet = Fleet()
    await fleet.start(MANY_HOSTS)
    try:
        for host in fleet.hosts:
            fleet.isolate(host)
        await asyncio.sleep(TOUCH_S)
        assert await fleet.lag_s(fleet.hosts, FOLLOW_S) < IN_FORCE_S
        assert await fleet.lag_s(fleet.hosts, FOLLOW_S) < IN_FORCE_S
    finally:
        await fleet.stop()


class SteppedClock(LoopClock):
    """A clock whose time of day is an hour behind."""

    def wall(self):
        return time.time() - 3600


# Guards against a node that stays on an older document since the others reject its datagrams: it
# was restarted after its time of day had been set back.
async def test_document_is_in_force_at_a_node_restarted_with_an_earlier_time_of_day(fleet):
    stepped = others(fleet, fleet.followers())[0]
    await stepped.node.close()
    stepped.node = MeshNode(stepped.node.settings, ADAPTER, SteppedClock())
    await stepped.node.start()
    await asyncio.sleep(TOUCH_S)
    for _ in range(3):
        assert await fleet.lag_s(fleet.hosts, FOLLOW_S) < IN_FORCE_S
        await asyncio.sleep(TOUCH_S)


class Processes:
    """The hosts of a site, whose nodes are processes of their own."""

    def __init__(self, folder):
        self.site = Site(folder)
        self._busy = []

    async def start(self, hosts):
        await self.site.start(hosts)
        async with asyncio.timeout(120):
            while not all([await self.site.ready(host) for host in self.site.hosts]):
                await asyncio.sleep(0.1)
        await asyncio.sleep(TOUCH_S)

    async def followers(self):
        nodes = (await self.site.dump(self.site.hosts[0]))["document"]["watchers"]
        return [host for host in self.site.hosts if any(host.ip + ":" in node for node in nodes)]

    async def version(self, host):
        try:
            return (await self.site.dump(host))["document"]["version"]
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def lag_s(self, hosts):
        """Accept a new document; return the seconds until it is in force at all of ``hosts``."""
        self.site.accept()
        accepted_at = time.monotonic()
        while time.monotonic() < accepted_at + FOLLOW_S:
            versions = await asyncio.gather(*(self.version(host) for host in hosts))
            if min(versions) == self.site.version:
                return time.monotonic() - accepted_at
            await asyncio.sleep(0.02)
        return float("inf")

    async def freeze(self, host):
        host.frozen = True
        host.signal(signal.SIGSTOP)

    async def wake(self, host):
        host.signal(signal.SIGCONT)
        host.frozen = False

    async def kill(self, host):
        await self.site.stop_node(host, signal.SIGKILL)

    async def terminate(self, host):
        host.stopping_at = time.monotonic()
        host.signal(signal.SIGTERM)

    async def restart(self, host):
        await self.site.stop_node(host, signal.SIGKILL)
        await self.site.start_node(host)

    async def occupy(self, host):
        """Let a node run for a twentieth of the time."""

        async def alternate():
            while True:
                host.signal(signal.SIGSTOP)
                await asyncio.sleep(0.19)
                host.signal(signal.SIGCONT)
                await asyncio.sleep(0.01)

        self._busy.append(asyncio.create_task(alternate()))

    async def free(self, host):
        for task in self._busy:
            task.cancel()
        self._busy.clear()
        host.signal(signal.SIGCONT)

    async def silence(self, host):
        host.store_proxy.fault = host.link_proxy.fault = SILENT

    async def refuse(self, host):
        host.store_proxy.fault = REFUSED
        host.store_proxy.reset()

    async def heal(self, host):
        host.store_proxy.fault = host.link_proxy.fault = ProxyFault()


@pytest.fixture
async def processes(tmp_path):
    environment = Processes(tmp_path)
    await environment.start(HOSTS)
    yield environment
    for host in environment.site.hosts:
        await environment.free(host)
    await environment.site.stop()


# Nodes stayed on an older document while those that follow the store were unable to tell them.
async def test_document_is_in_force_whatever_happens_to_the_followers(processes):
    lags = {}
    for name, fault, end in (
        ("frozen", processes.freeze, processes.wake),
        ("killed", processes.kill, processes.restart),
        ("leaving", processes.terminate, processes.restart),
        ("busy", processes.occupy, processes.free),
        ("silent", processes.silence, processes.heal),
        ("refused", processes.refuse, processes.heal),
    ):
        affected = await processes.followers()
        await asyncio.gather(*(fault(host) for host in affected))
        await asyncio.sleep(0.4)
        rest = [host for host in processes.site.hosts if host not in affected]
        lags[name] = round(await processes.lag_s(rest), 2)
        await asyncio.gather(*(end(host) for host in affected))
        await asyncio.sleep(2 * TOUCH_S)
    assert {name: lag for name, lag in lags.items() if lag > IN_FORCE_S} == {}, lags
