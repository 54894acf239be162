"""Two reference deployments: services, sizes, failure domains and documents."""

from __future__ import annotations

import itertools
import json
import os
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from peridottrack.config import Settings
from peridottrack.types import FailureDomain, Region, ServiceName

MESSAGE_KEY = "stand-in key, not secret"
LOOPBACK_IP = "127.0.0.1"
FIRST_PORT = 10_000
START_PORT_STEP = 997
"""Distance between the first candidate ports of processes with successive ids.

It is prime, so that the start points spread over the whole range.
"""
PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_PORT = 32_768
"""First port of Linux's default range for outgoing connections."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment.

    Parameters
    ----------
    instances
        Number of instances of each service.
    slots, connections
        Limits that each instance announces.
    read_paths, order_paths
        Paths of idempotent reads, and of orders that require an idempotency key.
    section_text_by_name
        The document, as the text of each section.
    """

    name: str
    region: Region
    domains: tuple[FailureDomain, ...]
    services: tuple[ServiceName, ...]
    instances: int
    slots: int
    connections: int
    read_paths: tuple[str, ...]
    order_paths: tuple[str, ...]
    section_text_by_name: dict[str, str]


def _section(owner: str, service: str, *routes: dict[str, Any]) -> str:
    section = {
        "owners": [owner],
        "services": {service: {"ramp_s": 1}},
        "routes": [{"service": service, **route} for route in routes],
    }
    return json.dumps(section, indent=2) + "\n"


def _read(path: str) -> dict[str, Any]:
    return {"path": path, "methods": ["GET", "HEAD"], "deadline_ms": 3_000}


def _order(path: str) -> dict[str, Any]:
    return {
        "path": path,
        "methods": ["POST"],
        "deadline_ms": 6_000,
        "key": "required",
        "priority": 0,
    }


BUZULIP = Deployment(
    "buzulip",
    Region("tr-east"),
    tuple(FailureDomain(f"tr-east-{letter}") for letter in "abc"),
    tuple(ServiceName(name) for name in ("katalog", "siparis", "sertifika", "parti")),
    instances=3,
    slots=18,
    connections=240,
    read_paths=("/katalog/ip-9", "/siparis/mine", "/sertifika/77", "/parti/2026-11"),
    order_paths=("/siparis/orders", "/siparis/reservations"),
    section_text_by_name={
        "stock": _section("stock-team", "katalog", _read("/katalog")),
        "ordering": _section(
            "order-team",
            "siparis",
            _read("/siparis"),
            _order("/siparis/orders"),
            _order("/siparis/reservations"),
        ),
        "certificates": _section("records-team", "sertifika", _read("/sertifika")),
        "records": _section("records-team", "parti", _read("/parti")),
    },
)

KAROO = Deployment(
    "karoo",
    Region("za-north"),
    tuple(FailureDomain(f"za-north-{number}") for number in range(1, 5)),
    tuple(ServiceName(name) for name in ("catalogue", "orders", "proofing", "history")),
    instances=4,
    slots=12,
    connections=240,
    read_paths=("/catalogue/flights", "/orders/mine", "/proofing/12", "/history/2026"),
    order_paths=("/orders/print", "/orders/charges"),
    section_text_by_name={
        "catalogue": _section("catalogue-team", "catalogue", _read("/catalogue")),
        "ordering": _section(
            "order-team",
            "orders",
            _read("/orders"),
            _order("/orders/print"),
            _order("/orders/charges"),
        ),
        "proofing": _section("proof-team", "proofing", _read("/proofing")),
        "history": _section("records-team", "history", _read("/history")),
    },
)

DEPLOYMENT_BY_NAME = {deployment.name: deployment for deployment in (BUZULIP, KAROO)}


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing on this host listens, neither by TCP nor by UDP.

    They lie below the kernel's range for outgoing connections, so that no such connection can take
    one between this call and the start of the listener.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_port_candidates)
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            ports.append(port)
    return ports


def _cycle_ports() -> Iterator[int]:
    """Cycle through the ports below the kernel's range, from a start set by the process id."""
    count = _first_ephemeral_port() - FIRST_PORT
    for step in itertools.count(os.getpid() * START_PORT_STEP):
        yield FIRST_PORT + step % count


def _first_ephemeral_port() -> int:
    """Return the first port of the kernel's range for outgoing connections."""
    try:
        return int(PORT_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_PORT


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe_socket:
        try:
            probe_socket.bind((LOOPBACK_IP, port))
        except OSError:
            return False
    return True


_port_candidates = _cycle_ports()


def node_settings(
    deployment: Deployment,
    domain: FailureDomain,
    platform_url: str,
    ports: list[int],
    **changes: Any,
) -> Settings:
    """Return the settings of one node on loopback.

    Parameters
    ----------
    ports
        Ports of the callers, admin, announce and gossip addresses, in this order.
    changes
        Settings that replace the defaults.
    """
    callers, admin, announce, gossip = ports
    fields: dict[str, Any] = {
        "callers_address": f"{LOOPBACK_IP}:{callers}",
        "admin_address": f"{LOOPBACK_IP}:{admin}",
        "announce_address": f"{LOOPBACK_IP}:{announce}",
        "gossip_address": f"{LOOPBACK_IP}:{gossip}",
        "failure_domain": domain,
        "region": deployment.region,
        "table_url": platform_url,
        "object_url": platform_url,
        "message_keys": [MESSAGE_KEY],
        "document_poll_s": 1.0,
        **changes,
    }
    return Settings.model_validate(fields)


def instance_placements(deployment: Deployment) -> Iterator[tuple[ServiceName, FailureDomain, int]]:
    """Yield service, failure domain and number of each instance; domains are assigned in turn."""
    for service in deployment.services:
        for number in range(deployment.instances):
            yield service, deployment.domains[number % len(deployment.domains)], number
