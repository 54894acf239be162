"""Hosts of the soak: each runs a node as a separate process, its instance, and proxies."""

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
"""Seconds that a graceful shutdown of a node (by SIGTERM, a planned stop) may take."""
EXIT_TIMEOUT_S = 15.0
"""Seconds after which a process that has not exited is killed, so that a run always ends."""
RESEND_RATIO, RESEND_SLACK, RESEND_WINDOW_S = 0.01, 2.0, 10.0
"""Limits of the resend budget in the settings of the nodes."""
STORE_TIMEOUT_S = 1.5
"""Timeout of store requests in the settings of the nodes: the default of the setting."""
HEARTBEAT_S = 0.5
"""Interval of the heartbeats of an instance."""
EARLIER_VERSIONS = 6
"""Number of earlier document versions whose routes a new version still has."""


@dataclass
class SoakHost:
    """One host: a node, its instance, and proxies before store, link listener and instance.

    Attributes
    ----------
    disturbed_at
        Time of the last fault or start, after which requests without a response are excused.
    stopping_at
        When its process was sent SIGTERM; reset to None by a start.
    start_count
        Number of starts of its process.
    instance_count
        Number of instances that the host has had so far.
    sequence
        Sequence number of the last heartbeat of the instance.
    leaving
        Whether the instance announces that it is draining.
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
        """Excuse requests without a response for some time, because of a fault or a start."""
        self.disturbed_at = time.monotonic()

    def disturbed_within(self, seconds: float) -> bool:
        """Return whether a fault affects the host now or ended in the last `seconds`."""
        ongoing = self.frozen or any(proxy.fault != ProxyFault() for proxy in self.proxies)
        return ongoing or time.monotonic() - self.disturbed_at < seconds

    def signal(self, signal_number: int) -> None:
        if self.is_running:
            assert self.process is not None
            # The process may have exited without asyncio having noticed yet.
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)


@dataclass(frozen=True)
class NamedRateLimit:
    """A rate limit that the instance of a host named for some time."""

    host: int
    per_s: float
    since: float
    until: float


@dataclass
class Site:
    """Store, document and hosts.

    Attributes
    ----------
    broken
        Name of a switch of `soak.broken` for all nodes, empty for the real program.
    version
        Newest version of the document.
    left_at
        When the node acknowledged that an instance leaves, by name of the instance.
    rate_limits
        The rate limits that instances have named and no longer name.
    """

    folder: Path
    broken: str = ""
    store: Store = field(default_factory=Store)
    hosts: list[SoakHost] = field(default_factory=list)
    version: int = 0
    left_at: dict[str, float] = field(default_factory=dict)
    rate_limits: list[NamedRateLimit] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    _heartbeat_tasks: list[asyncio.Task] = field(default_factory=list)

    async def start(self, hosts: int) -> None:
        await self.store.start()
        self.accept()
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0))
        for number in range(hosts):
            await self._add(number)
        self._heartbeat_tasks = [
            asyncio.create_task(self._send_heartbeats(host)) for host in self.hosts
        ]

    async def _add(self, number: int) -> None:
        instance = InstanceStandin(f"i-{number}.1", checks_target=True)
        await instance.start()
        ip = fresh_ip()
        store_host, _, store_port = self.store.url.removeprefix("http://").partition(":")
        proxies = (
            Proxy(store_host, int(store_port)),
            # Its port is known, and set below, once the settings exist.
            Proxy(ip, 0),
            Proxy("127.0.0.1", instance.port),
        )
        store, upstream = await proxies[0].start(), await proxies[2].start()
        # Peers expect all ports of a node on one IP address, so the proxy of the links uses it too.
        link = await proxies[1].start(ip)
        settings = mesh_settings(
            ip,
            upstream,
            store_url=f"http://{store}",
            store_timeout_s=STORE_TIMEOUT_S,
            advertised_link_port=int(link.rpartition(":")[2]),
            failure_domain="ab"[number % 2],  # two domains, alternating
            shutdown_s=SHUTDOWN_S,
            second_ratio=RESEND_RATIO,
            second_slack=RESEND_SLACK,
            second_window_s=RESEND_WINDOW_S,
        )
        proxies[1].port = int(settings.link_address.rpartition(":")[2])
        folder = self.folder / f"host-{number}"
        folder.mkdir(parents=True)
        (folder / "node.json").write_text(json.dumps(settings.model_dump()))
        host = SoakHost(number, ip, folder, instance, *proxies)
        self.hosts.append(host)
        await self.start_node(host)

    async def start_node(self, host: SoakHost) -> None:
        """Start the process of a node."""
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

    async def stop_node(self, host: SoakHost, signal_number: int) -> int | None:
        """Send a signal to the process of a node and wait until it has exited.

        Return its exit code, None if it did not run or had to be killed.
        """
        if not host.is_running:
            return None
        assert host.process is not None
        if signal_number == signal.SIGTERM:
            host.stopping_at = time.monotonic()
        else:
            host.mark_disturbed()
        host.signal(signal_number)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                return await host.process.wait()
        except TimeoutError:
            host.signal(signal.SIGKILL)
            await host.process.wait()
            return None

    def accept(self) -> None:
        """Accept a new document version, which adds a route named after it."""
        self.version += 1
        self.write_document()

    def write_document(self) -> None:
        """Write the newest document version to the store."""
        rows = list(DOCUMENT["routes"]["rows"])
        first = max(1, self.version - EARLIER_VERSIONS)
        for version in range(first, self.version + 1):
            prefix = f"/v{version}/"
            # The columns are those of DOCUMENT["routes"].
            rows.append(
                [prefix, "shop.example", prefix, "idempotent", 2, 0.3, 2, None, 2, "katalog"]
            )
        routes = {**DOCUMENT["routes"], "rows": rows}
        self.store.put("op", "config", document_bytes(version=self.version, routes=routes))

    async def announce(self, host: SoakHost, state: str) -> bool:
        """Send a heartbeat of the instance; return whether the node has acknowledged it."""
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
            async with self.session.post(url, data=json.dumps(body)) as response:
                acknowledged = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
        if acknowledged and state == "draining":
            self.left_at.setdefault(name, time.monotonic())
        return acknowledged

    def leave(self, host: SoakHost) -> None:
        """Let the instance leave: from now on its heartbeats and all its responses say so."""
        host.leaving = True
        host.instance.script.healthy = False
        host.instance.script.leaving = True

    async def replace_instance(self, host: SoakHost) -> None:
        """Rename the stand-in, so that it appears as a new instance after one has left."""
        host.instance_count += 1
        host.sequence = 0
        host.instance.name = f"i-{host.number}.{host.instance_count}"
        host.leaving = False
        host.instance.script.healthy = True
        host.instance.script.leaving = False

    async def ready(self, host: SoakHost) -> bool:
        try:
            async with self.session.get(f"http://{host.ip}:{READY}/v1/readyz") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def dump(self, host: SoakHost) -> dict:
        async with self.session.get(f"http://{host.ip}:{METRICS}/dump") as response:
            return await response.json()

    def callers_url(self, host: SoakHost) -> str:
        return f"http://{host.ip}:{CALLERS}"

    async def _send_heartbeats(self, host: SoakHost) -> None:
        while True:
            if host.is_running and not host.frozen:
                await self.announce(host, "draining" if host.leaving else "ready")
                if host.stopping_at is not None:
                    # The platform polls the readiness until the node reports that it leaves.
                    await self.ready(host)
            await asyncio.sleep(HEARTBEAT_S if host.stopping_at is None else HEARTBEAT_S / 5)

    async def stop(self) -> None:
        """Stop everything that the site has started."""
        for task in self._heartbeat_tasks:
            task.cancel()
        await asyncio.gather(*self._heartbeat_tasks, return_exceptions=True)
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            await self.stop_node(host, signal.SIGKILL)
        for host in self.hosts:
            for proxy in host.proxies:
                await proxy.stop()
            await host.instance.stop()
        await self.session.close()
        await self.store.stop()
