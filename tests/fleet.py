"""Test environment: nodes with gates, each with its own faults on its way to store and nodes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from mesh_world import Host, World
from soak.proxy import Proxy, ProxyFault
from users_platform import document_bytes

IN_FORCE_S = 2.0
"""Time in which an accepted document must be in force: `config_s` of the smallest deployments."""
TOUCH_S = 3.0
"""Time after the end of a fault from which a node is bound by it: their `touch_s`."""
SETTLE_S = 1.5
"""Time after the start in which the nodes begin to follow the store."""
REFUSED = ProxyFault(refuse=True)
SILENT = ProxyFault(mute_up=True, mute_down=True)


@dataclass
class Fleet:
    """Hosts, each with a proxy before the store.

    Attributes
    ----------
    store_proxy_by_ip
        The proxies by the address of their host.
    """

    world: World = field(default_factory=World)
    store_proxy_by_ip: dict[str, Proxy] = field(default_factory=dict)
    version: int = 7

    @property
    def hosts(self) -> list[Host]:
        return self.world.hosts

    async def start(self, hosts: int) -> None:
        await self.world.start(0)
        await asyncio.gather(*(self.add() for _ in range(hosts)))
        self.world.settled_routes = hosts
        await self.world.settle()
        await asyncio.sleep(SETTLE_S)

    async def add(self) -> Host:
        """Start one more host."""
        proxy = Proxy(*_host_and_port(self.world.store.url))
        address = await proxy.start()
        name = f"i-{len(self.store_proxy_by_ip)}"
        self.store_proxy_by_ip[address] = proxy
        host = await self.world.add(name, store_url=f"http://{address}", store_timeout_s=1.0)
        self.store_proxy_by_ip[host.ip] = self.store_proxy_by_ip.pop(address)
        return host

    async def stop(self) -> None:
        await self.world.stop()
        for proxy in self.store_proxy_by_ip.values():
            await proxy.stop()

    def followers(self) -> list[Host]:
        """Return the hosts whose nodes follow the store."""
        nodes = self.hosts[0].node.document_follower.dump()["watchers"]
        return [host for host in self.hosts if host.node.settings.gossip_address in nodes]

    def fault_store(self, hosts: list[Host], fault: ProxyFault) -> None:
        """Set the fault between some hosts and the store; a refusal ends open connections too."""
        for host in hosts:
            proxy = self.store_proxy_by_ip[host.ip]
            proxy.fault = fault
            if fault.refuse:
                proxy.reset()

    def isolate(self, host: Host) -> None:
        """Cut a host off from all other hosts, but not from the store."""
        node = host.node
        for other in self.hosts:
            if other is not host:
                _block(other, node.settings.gossip_address)
                _block(host, other.node.settings.gossip_address)
        node.links.set_members([])
        node.links.set_members = lambda members, watchers=(): None
        for connection in list(node.link_server.connections):
            connection.close()
        node.link_server.stop()

    def accept(self) -> float:
        """Accept a new document; return the time of its acknowledgement."""
        self.version += 1
        self.world.store.put("op", "config", document_bytes(version=self.version))
        return time.monotonic()

    async def lag_s(self, hosts: list[Host], timeout_s: float) -> float:
        """Accept a new document; return the seconds until it is in force at all of ``hosts``.

        Infinite if that takes longer than ``timeout_s``.
        """
        accepted_at = self.accept()
        while time.monotonic() < accepted_at + timeout_s:
            if all(host.node.document_follower.version >= self.version for host in hosts):
                return time.monotonic() - accepted_at
            await asyncio.sleep(0.01)
        return float("inf")


def _host_and_port(url: str) -> tuple[str, int]:
    host, _, port = url.removeprefix("http://").partition(":")
    return host, int(port)


def _block(host: Host, receiver: str) -> None:
    """Drop the datagrams from a host to a node."""
    send = host.node.datagrams.send_signed

    def send_to_others(node: str, data: bytes) -> int:
        return 0 if node == receiver else send(node, data)

    host.node.datagrams.send_signed = send_to_others
