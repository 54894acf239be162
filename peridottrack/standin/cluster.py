"""A whole deployment in one process: platform, nodes and upstreams over loopback."""

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

READY_S = 10.0
PORTS_PER_NODE = 4


@dataclass
class Host:
    """One host: an upstream and the node beside it."""

    node: Node
    upstream: UpstreamStandin

    @property
    def url(self) -> str:
        """Where callers reach the node."""
        return f"http://{self.node.settings.callers_address}"


class Cluster:
    """A deployment on loopback.

    Attributes
    ----------
    ledger
        What the upstreams really ran.
    """

    def __init__(self, deployment: Deployment, service_s: float = 0.01, **settings: Any) -> None:
        self.deployment = deployment
        self.ledger = RunLog()
        self.hosts: list[Host] = []
        self._service_s = service_s
        self._settings = settings
        self._platform_runner: web.AppRunner | None = None
        self.platform: PlatformStandin
        self.platform_url = ""

    async def start(self, per_service: int | None = None) -> None:
        """Start everything and wait until each node knows all instances."""
        self.platform, self._platform_runner, port = await serve_platform(LOOPBACK_IP, 0)
        self.platform_url = f"http://{LOOPBACK_IP}:{port}"
        await self.accept_document()
        wanted = [
            place
            for place in instance_placements(self.deployment)
            if per_service is None or place[2] < per_service
        ]
        ports = free_ports(PORTS_PER_NODE * len(wanted))
        for index, (service, domain, number) in enumerate(wanted):
            own = ports[index * PORTS_PER_NODE : (index + 1) * PORTS_PER_NODE]
            await self.add_host(service, domain, number, own)
        await self.wait_ready()

    async def add_host(
        self, service: ServiceName, domain: FailureDomain, number: int, ports: list[int]
    ) -> Host:
        """Start one host's node and upstream."""
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
            self.ledger,
        )
        await upstream.start(LOOPBACK_IP, 0, self.announce_endpoint(node))
        pair = Host(node, upstream)
        self.hosts.append(pair)
        return pair

    async def accept_document(self) -> None:
        """Accept the deployment's document, section by section."""
        async with aiohttp.ClientSession() as session:
            table = DynamoDbTable(session, self.platform_url, "peridottrack", 5.0)
            for name, text in self.deployment.section_text_by_name.items():
                owner = _first_owner(text)
                await accept(table, SectionEdit(SectionName(name), 0, text, owner, 0.0))

    async def wait_ready(self) -> None:
        """Wait until each node has the document and knows every instance."""
        wanted = {pair.upstream.instance_id for pair in self.hosts}
        async with asyncio.timeout(READY_S):
            for pair in self.hosts:
                while not self._is_ready(pair.node, wanted):
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop everything at once."""
        for pair in self.hosts:
            await pair.upstream.stop()
        await asyncio.gather(*(pair.node.close() for pair in self.hosts))
        if self._platform_runner is not None:
            await self._platform_runner.cleanup()

    @staticmethod
    def announce_endpoint(node: Node) -> Endpoint:
        """Return where a node's upstream announces itself."""
        return parse_endpoint(node.settings.announce_address)

    @staticmethod
    def _is_ready(node: Node, wanted: set[InstanceId]) -> bool:
        known = {
            instance_id
            for service in node.load.service_by_name.values()
            for instance_id in service.balancer.view_by_id
        }
        return wanted <= known


def _first_owner(text: str) -> str:
    return parse_section(text, "section").owners[0]
