"""Routes, services and limits of the operators' document, prepared for lookup."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from peridottrack.accounts.model import AccountTable
from peridottrack.types import ServiceName

MAX_ROUTE_SEGMENTS = 32
"""Maximum number of path segments of a prefix; a lookup examines no more."""


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight in the split of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests to a host under a path prefix are handled.

    Parameters
    ----------
    shares
        One service, or several among which the requests are split by weight.
    timeout_s
        Seconds within which a caller gets a final response.
    target_s
        Target latency in seconds; later responses have less value to the caller.
    priority
        Priority when a service is short of slots; 0 goes first.
    attempts
        Maximum number of instances that one request is sent to.
    anonymous
        Whether requests without a key are admitted although the document has client accounts.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    priority: int
    attempts: int
    anonymous: bool = False

    def service_at(self, point: float) -> ServiceName:
        """Return the service at a point of the interval [0, 1), which is divided by weight."""
        remaining = point * sum(share.weight for share in self.shares)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0 and share.weight > 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Settings of all instances of a service.

    Parameters
    ----------
    cold_s
        Seconds after its start in which an instance is cold.
    cold_per_s
        Requests a second that a cold instance takes from all nodes together, infinite for no limit.
    """

    health_path: str
    connections: int
    cold_s: float = 0.0
    cold_per_s: float = math.inf


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits of a caller's requests."""

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the document in the form that nodes use for lookup.

    Parameters
    ----------
    accounts
        The client accounts; None if the document has none, so that requests need no key.
    """

    version: int
    routes: Sequence[Route]
    service_by_name: dict[ServiceName, ServiceRule]
    limits: CallerLimits = CallerLimits()
    accounts: AccountTable | None = None
    _route_by_host_and_prefix: dict[tuple[str, str], Route] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._route_by_host_and_prefix[(route.host, route.prefix)] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, in time linear in the segments."""
        end = len(path)
        for _ in range(MAX_ROUTE_SEGMENTS):
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._route_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
