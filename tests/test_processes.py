"""Real processes over loopback that are killed, paused, terminated and restarted."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from dataclasses import dataclass, field

import aiohttp
import pytest

from peridottrack.httpstores import DynamoDbTable
from peridottrack.revisions import SectionEdit, accept
from peridottrack.standin.deployments import BUZULIP, LOOPBACK_IP, free_ports, node_settings
from peridottrack.types import SectionName

READY_S = 20.0
HEADERS = {"Authorization": "Bearer hut"}


@dataclass
class Host:
    """The node and the upstream of one host."""

    settings: object
    path: str
    node: subprocess.Popen | None = None
    upstream: subprocess.Popen | None = None

    @property
    def url(self):
        return f"http://{self.settings.callers_address}"


@dataclass
class Site:
    """A platform stand-in and hosts, each in its own processes, which the fixture ends."""

    folder: object
    session: aiohttp.ClientSession
    platform_url: str = ""
    hosts: list = field(default_factory=list)
    processes: list = field(default_factory=list)

    def run(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", "peridottrack", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

    async def start(self, hosts, service_ms="5"):
        ports = free_ports(1 + 4 * hosts)
        self.platform_url = f"http://{LOOPBACK_IP}:{ports[0]}"
        self.run("standin", "platform", "--listen", f"{LOOPBACK_IP}:{ports[0]}")
        await self.until(self.platform_url + "/peridottrack")
        table = DynamoDbTable(self.session, self.platform_url, "peridottrack", 5.0)
        text = BUZULIP.section_text_by_name["ordering"]
        await accept(table, SectionEdit(SectionName("ordering"), 0, text, "order-team", 0.0))
        for number in range(hosts):
            node_ports = ports[1 + 4 * number : 5 + 4 * number]
            settings = node_settings(
                BUZULIP, BUZULIP.domains[number % 3], self.platform_url, node_ports, drain_s=10.0
            )
            path = self.folder / f"node-{number}.json"
            path.write_text(json.dumps(settings.model_dump()))
            host = Host(settings, str(path))
            self.hosts.append(host)
            await self.start_node(host)
            host.upstream = self.run(
                "standin", "upstream", "--announce", settings.announce_address,
                "--service", "siparis", "--service-ms", service_ms,
            )  # fmt: skip
        for host in self.hosts:
            await self.until_knows(host, hosts)

    async def start_node(self, host):
        host.node = self.run("node", "--settings", host.path)
        await self.until(host.url + "/nowhere", status=404)

    async def until(self, url, status=200):
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    async with self.session.get(url) as response:
                        if response.status == status:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def until_knows(self, host, instances):
        """Wait until a node knows this number of instances."""
        async with asyncio.timeout(READY_S):
            while len(await self.known_instances(host)) != instances:
                await asyncio.sleep(0.1)

    async def known_instances(self, host):
        url = f"http://{host.settings.admin_address}/dump?topic=load"
        async with self.session.get(url) as response:
            services = json.loads(await response.text())["load"]
        return services.get("siparis", {}).get("instances", {})

    async def order(self, host, key):
        url = host.url + "/siparis/orders"
        headers = {**HEADERS, "Idempotency-Key": key}
        try:
            async with self.session.post(url, data=b"x", headers=headers) as response:
                return response.status, response.headers, await response.read()
        except aiohttp.ClientError:
            return None, {}, b""

    async def trace(self, key):
        """Return the trace of a key as printed by ``peridottrack trace``."""
        command = [sys.executable, "-m", "peridottrack", "trace", key, "--json"]
        process = await asyncio.create_subprocess_exec(
            *command, "--platform", self.platform_url, stdout=subprocess.PIPE
        )
        out, _ = await process.communicate()
        return [json.loads(line) for line in out.decode().splitlines()]


@pytest.fixture
async def site(tmp_path):
    async with aiohttp.ClientSession() as session:
        running = Site(tmp_path, session)
        yield running
        for process in running.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


async def test_killed_node_never_leads_to_a_second_run(site):
    """After a node dies with an order in flight, a resend to another node is answered "unknown"."""
    await site.start(2, service_ms="10000000")
    first = asyncio.ensure_future(site.order(site.hosts[0], "k-kill"))
    async with asyncio.timeout(READY_S):
        while not await site.trace("k-kill"):
            await asyncio.sleep(0.05)
    site.hosts[0].node.kill()
    assert (await first)[0] is None
    status, headers, _ = await site.order(site.hosts[1], "k-kill")
    assert (status, headers["Peridot-Ran"]) == (409, "unknown")
    records = [line for line in await site.trace("k-kill") if "state" in line]
    assert len(records) == 1


async def test_paused_node_is_removed_and_rejoins(site):
    await site.start(3)
    site.hosts[2].node.send_signal(signal.SIGSTOP)
    # Calls through the other nodes succeed at once, even before they detect that it is paused.
    for number in range(20):
        assert (await site.order(site.hosts[number % 2], f"k-stop-{number}"))[0] == 200
    await site.until_knows(site.hosts[0], 2)
    site.hosts[2].node.send_signal(signal.SIGCONT)
    await site.until_knows(site.hosts[0], 3)
    assert (await site.order(site.hosts[2], "k-stop-0"))[1]["Peridot-Replayed"] == "yes"


async def test_terminated_and_restarted_node(site):
    await site.start(2)
    node = site.hosts[0].node
    node.terminate()
    assert await asyncio.to_thread(node.wait, READY_S) == 0
    assert (await site.order(site.hosts[1], "k-term"))[0] == 200
    await site.start_node(site.hosts[0])
    await site.until_knows(site.hosts[0], 2)
    await site.until_knows(site.hosts[1], 2)
    assert (await site.order(site.hosts[0], "k-term"))[1]["Peridot-Replayed"] == "yes"


async def test_terminated_upstream_drains_and_exits(site):
    await site.start(2)
    upstream = site.hosts[1].upstream
    upstream.terminate()
    assert await asyncio.to_thread(upstream.wait, READY_S) == 0
    await site.until_knows(site.hosts[0], 1)
    assert (await site.order(site.hosts[0], "k-drain"))[0] == 200
