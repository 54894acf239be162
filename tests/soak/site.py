"""Hosts of the soak: each a node as a process of its own, its instance, and proxies around it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from mesh_world import ANNOUNCE, CALLERS, METRICS, READY, fresh_ip, mesh_settings
from users_platform import DOCUMENT, InstanceStandin, Store, document_bytes

from soak.proxy import Proxy, ProxyFault

SHUTDOWN_S = 6.0
"""Seconds that a planned stop may take."""
GONE_S = 15.0
"""Seconds after which a stopped process is killed, so that a run always ends."""
SECOND_RATIO, SECOND_SLACK, SECOND_WINDOW_S = 0.01, 2.0, 10.0
"""The limits of second sends that the nodes are given."""
STORE_TIMEOUT_S = 1.5
"""Seconds that nodes wait for the store: as by default."""
BEAT_S = 0.5
"""How often an instance announces itself."""
KEPT_VERSIONS = 6
"""Versions of the document whose routes a new one still has."""


@dataclass
class SoakHost:
    """One host.

    Attributes
    ----------
    disturbed_at
        When something last was done to it that excuses broken requests.
    stopping_at
        When its process was last asked to stop, None while it runs.
    start_count
        Counts the starts of its process.
    """

    number: int
    ip: str
    folder: Path
    instance: InstanceStandin
    store_proxy: Proxy
    link_proxy: Proxy
    upstream_proxy: Proxy
    disturbed_at: float = float("-inf")
    stopping_at: float | None = None
    frozen: bool = False
    start_count: int = 0
    instance_count: int = 1
    sequence: int = 0
    leaving: bool = False
    process: asyncio.subprocess.Process | None = None

    @property
    def proxies(self) -> tuple[Proxy, Proxy, Proxy]:
        return self.store_proxy, self.link_proxy, self.upstream_proxy

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def mark_disturbed(self) -> None:
        """Note that from now on broken requests are excused."""
        self.disturbed_at = time.monotonic()

    def disturbed_within(self, seconds: float) -> bool:
        """Tell whether it was harmed lately, or is."""
        lasting = self.frozen or any(proxy.fault != ProxyFault() for proxy in self.proxies)
        return lasting or time.monotonic() - self.disturbed_at < seconds

    def signal(self, number: int) -> None:
        if self.is_running:
            assert self.process is not None
            # It may have ended, and not be noticed yet.
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


@dataclass
class Site:
    """Store, document and hosts."""

    folder: Path
    broken: str = ""
    store: Store = field(default_factory=Store)
    hosts: list[SoakHost] = field(default_factory=list)
    version: int = 0
    left_at: dict[str, float] = field(default_factory=dict)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    _beats: list[asyncio.Task] = field(default_factory=list)

    async def start(self, hosts: int) -> None:
        await self.store.start()
        self.accept()
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0))
        for number in range(hosts):
            await self._add(number)
        self._beats = [asyncio.create_task(self._beat(host)) for host in self.hosts]

    async def _add(self, number: int) -> None:
        instance = InstanceStandin(f"i-{number}.1", checks_target=True)
        await instance.start()
        ip = fresh_ip()
        store_host, _, store_port = self.store.url.removeprefix("http://").partition(":")
        proxies = (
            Proxy(store_host, int(store_port)),
            Proxy(ip, 0),
            Proxy("127.0.0.1", instance.port),
        )
        store, upstream = await proxies[0].start(), await proxies[2].start()
        # A node has one address for all its ports.
        link = await proxies[1].start(ip)
        settings = mesh_settings(
            ip,
            upstream,
            store_url=f"http://{store}",
            store_timeout_s=STORE_TIMEOUT_S,
            advertised_link_port=int(link.rpartition(":")[2]),
            failure_domain="ab"[number % 2],
            shutdown_s=SHUTDOWN_S,
            second_ratio=SECOND_RATIO,
            second_slack=SECOND_SLACK,
            second_window_s=SECOND_WINDOW_S,
        )
        proxies[1].port = int(settings.link_address.rpartition(":")[2])
        folder = self.folder / f"host-{number}"
        folder.mkdir(parents=True)
        (folder / "node.json").write_text(json.dumps(settings.model_dump()))
        host = SoakHost(number, ip, folder, instance, *proxies)
        self.hosts.append(host)
        await self.start_node(host)

    async def start_node(self, host: SoakHost) -> None:
        """Start the node's process."""
        host.start_count += 1
        host.stopping_at = None
        host.mark_disturbed()
        program = ["-m", "soak.broken", self.broken] if self.broken else ["-m", "peridottrack"]
        path = str(Path(__file__).parent.parent)
        with (host.folder / f"log-{host.start_count}").open("wb") as output:
            host.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *program,
                "mesh",
                "--settings",
                str(host.folder / "node.json"),
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": path},
            )

    async def stop_node(self, host: SoakHost, number: int) -> int | None:
        """Stop a process with a signal and wait until it is gone; return its exit code."""
        if not host.is_running:
            return None
        assert host.process is not None
        if number == signal.SIGTERM:
            host.stopping_at = time.monotonic()
        else:
            host.mark_disturbed()
        host.signal(number)
        try:
            async with asyncio.timeout(GONE_S):
                return await host.process.wait()
        except TimeoutError:
            host.signal(signal.SIGKILL)
            await host.process.wait()
            return None

    def accept(self) -> None:
        """Accept a new version with a route of its own name."""
        self.version += 1
        rows = list(DOCUMENT["routes"]["rows"])
        first = max(1, self.version - KEPT_VERSIONS)
        for version in range(first, self.version + 1):
            prefix = f"/v{version}/"
            rows.append(
                [prefix, "shop.example", prefix, "idempotent", 2, 0.3, 2, None, 2, "katalog"]
            )
        routes = {**DOCUMENT["routes"], "rows": rows}
        self.store.put("op", "config", document_bytes(version=self.version, routes=routes))

    async def announce(self, host: SoakHost, state: str) -> bool:
        """Let an instance announce itself; True if the node has acknowledged it."""
        host.sequence += 1
        body = {
            "address": f"{host.ip}:{host.instance.port}",
            "born": host.instance_count * 1_000,
            "node_info": {"service": "katalog", "version": "v1", "zone": "a", "max_concurrent": 18},
            "status": {"state": state, "sequence": host.sequence, "warmup_left_s": 0},
        }
        name = host.instance.name
        url = f"http://{host.ip}:{ANNOUNCE}/v1/instances/{name}/heartbeat"
        try:
            async with self.session.post(url, data=json.dumps(body)) as answer:
                known = answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
        if known and state == "draining":
            self.left_at.setdefault(name, time.monotonic())
        return known

    def leave(self, host: SoakHost) -> None:
        """Let an instance begin to leave; from then on its health says so too."""
        host.leaving = True
        host.instance.script.healthy = False

    async def replace_instance(self, host: SoakHost) -> None:
        """Let another instance take the place of one that has left."""
        host.instance_count += 1
        host.sequence = 0
        host.instance.name = f"i-{host.number}.{host.instance_count}"
        host.leaving = False
        host.instance.script.healthy = True

    async def ready(self, host: SoakHost) -> bool:
        try:
            async with self.session.get(f"http://{host.ip}:{READY}/v1/readyz") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def dump(self, host: SoakHost) -> dict:
        async with self.session.get(f"http://{host.ip}:{METRICS}/dump") as answer:
            return await answer.json()

    def callers_url(self, host: SoakHost) -> str:
        return f"http://{host.ip}:{CALLERS}"

    async def _beat(self, host: SoakHost) -> None:
        while True:
            if host.is_running and not host.frozen:
                await self.announce(host, "draining" if host.leaving else "ready")
                if host.stopping_at is not None:
                    # The platform asks until it has heard that the node leaves.
                    await self.ready(host)
            await asyncio.sleep(BEAT_S if host.stopping_at is None else BEAT_S / 5)

    async def stop(self) -> None:
        """End all that was started here."""
        for task in self._beats:
            task.cancel()
        await asyncio.gather(*self._beats, return_exceptions=True)
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            await self.stop_node(host, signal.SIGKILL)
        for host in self.hosts:
            for proxy in host.proxies:
                await proxy.stop()
            await host.instance.stop()
        await self.session.close()
        await self.store.stop()
