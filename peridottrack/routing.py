"""What the operators' document says of requests: routes, services and limits, ready for lookup."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from peridottrack.types import ServiceName

MAX_ROUTE_SEGMENTS = 32
"""Path segments that a lookup looks at; no longer prefix is accepted."""


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight among those that share a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of a host under a path prefix are treated.

    Parameters
    ----------
    shares
        One service, or several that share the requests by weight.
    timeout_s
        Seconds after which a caller gets a final answer.
    target_s
        Seconds within which an answer is worth most to its caller.
    priority
        0 goes first when a service is short of slots.
    attempts
        Instances that one request may be sent to at most.
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

    def at(self, draw: float) -> ServiceName:
        """Return the service at a point of [0, 1) in which each has room by its weight."""
        left = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            left -= share.weight
            if left < 0 and share.weight > 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """What holds for all instances of a service."""

    health_path: str
    connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the document as the nodes use it."""

    version: int
    routes: Sequence[Route]
    service_by_name: dict[ServiceName, ServiceRule]
    limits: CallerLimits = CallerLimits()
    _route_by_place: dict[tuple[str, str], Route] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._route_by_place[(route.host, route.prefix)] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, in time of the path's segments."""
        end = len(path)
        for _ in range(MAX_ROUTE_SEGMENTS):
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._route_by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
