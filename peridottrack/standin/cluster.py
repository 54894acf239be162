"""A complete deployment in one process: platform, nodes and upstreams over loopback."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp import web

from peridottrack.config import parse_endpoint
from peridottrack.document import parse_section
from peridottrack.httpstores import DynamoDbTable
from peridottrack.node import Node
from peridottrack.revisions import SectionEdit, accept
from peridottrack.standin.deployments import (
    LOOPBACK_IP,
    Deployment,
    free_ports,
    instance_placements,
    node_settings,
)
from peridottrack.standin.platform import PlatformStandin, serve_platform
from peridottrack.standin.upstream import Behaviour, RunLog, UpstreamStandin
from peridottrack.types import Endpoint, FailureDomain, InstanceId, SectionName, ServiceName

READY_TIMEOUT_S = 10.0
PORTS_PER_NODE = 4


@dataclass
class Host:
    """A host with one upstream and its local node."""

    node: Node
    upstream: UpstreamStandin

    @property
    def url(self) -> str:
        """Base URL at which callers reach the node."""
        return f"http://{self.node.settings.callers_address}"


class Cluster:
    """A deployment on loopback.

    Parameters
    ----------
    service_s
        Mean service time of the upstreams in seconds.
    settings
        Settings of the nodes that differ from those of `node_settings`.

    Attributes
    ----------
    run_log
        The requests that the upstreams ran.
    """

    def __init__(self, deployment: Deployment, service_s: float = 0.01, **settings: Any) -> None:
        self.deployment = deployment
        self.run_log = RunLog()
        self.hosts: list[Host] = []
        self._service_s = service_s
        self._settings = settings
        self._platform_runner: web.AppRunner | None = None
        self.platform: PlatformStandin
        self.platform_url = ""

    async def start(self, per_service: int | None = None) -> None:
        """Start the platform and the hosts; return when each node knows all instances.

        Parameters
        ----------
        per_service
            Maximum number of instances of each service; None for all of the deployment.
        """
        self.platform, self._platform_runner, port = await serve_platform(LOOPBACK_IP, 0)
        self.platform_url = f"http://{LOOPBACK_IP}:{port}"
        await self.accept_document()
        chosen = [
            placement
            for placement in instance_placements(self.deployment)
            if per_service is None or placement[2] < per_service
        ]
        ports = free_ports(PORTS_PER_NODE * len(chosen))
        for index, (service, domain, number) in enumerate(chosen):
            host_ports = ports[index * PORTS_PER_NODE : (index + 1) * PORTS_PER_NODE]
            await self.add_host(service, domain, number, host_ports)
        await self.wait_ready()

    async def add_host(
        self, service: ServiceName, domain: FailureDomain, number: int, ports: list[int]
    ) -> Host:
        """Start a host: its node, then its upstream."""
        settings = node_settings(
            self.deployment, domain, self.platform_url, ports, **self._settings
        )
        node = Node(settings)
        await node.start()
        upstream = UpstreamStandin(
            InstanceId(f"{service}-{number}-{ports[0]}"),
            service,
            self.deployment.slots,
            self.deployment.connections,
            Behaviour(service_s=self._service_s),
            self.run_log,
        )
        await upstream.start(LOOPBACK_IP, 0, self.announce_endpoint(node))
        host = Host(node, upstream)
        self.hosts.append(host)
        return host

    async def accept_document(self) -> None:
        """Accept the deployment's document, section by section."""
        async with aiohttp.ClientSession() as session:
            table = DynamoDbTable(session, self.platform_url, "peridottrack", 5.0)
            for name, text in self.deployment.section_text_by_name.items():
                owner = _first_owner(text)
                await accept(table, SectionEdit(SectionName(name), 0, text, owner, 0.0))

    async def wait_ready(self) -> None:
        """Wait until each node has the document and knows every instance."""
        expected = {host.upstream.instance_id for host in self.hosts}
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts:
                while not self._is_ready(host.node, expected):
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop the upstreams, then the nodes without a drain, then the platform."""
        for host in self.hosts:
            await host.upstream.stop()
        await asyncio.gather(*(host.node.close() for host in self.hosts))
        if self._platform_runner is not None:
            await self._platform_runner.cleanup()

    @staticmethod
    def announce_endpoint(node: Node) -> Endpoint:
        """Return the address at which a node accepts announcements of its upstream."""
        return parse_endpoint(node.settings.announce_address)

    @staticmethod
    def _is_ready(node: Node, expected: set[InstanceId]) -> bool:
        # A node knows the services, and so their instances, only once it has the document.
        known = {
            instance_id
            for service in node.load.service_by_name.values()
            for instance_id in service.balancer.view_by_id
        }
        return expected <= known


def _first_owner(text: str) -> str:
    return parse_section(text, "section").owners[0]
