"""The operators' document: sections, services and routes, and its checks."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from peridottrack import jsonc
from peridottrack.exceptions import InvalidDocument, InvalidInput
from peridottrack.types import SectionName, ServiceName

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
METHOD_PATTERN = r"^[A-Z]{3,10}$"
PATH_PATTERN = r"^/[^?#]*$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Method = Annotated[str, Field(pattern=METHOD_PATTERN)]
PathPrefix = Annotated[str, Field(pattern=PATH_PATTERN)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceConfig(_Part):
    """Limits of one service.

    Parameters
    ----------
    retry_share
        Retries and hedges as a share of calls.
    set_aside_share
        Largest share of the instances that may be set aside at the same time.
    subset_size
        Instances that one node calls at most.
    """

    retry_share: Annotated[float, Field(ge=0, le=0.5)] = 0.1
    hedge_share: Annotated[float, Field(ge=0, le=0.2)] = 0.05
    set_aside_share: Annotated[float, Field(ge=0, le=0.5)] = 0.34
    subset_size: Annotated[int, Field(ge=2, le=200)] = 12
    ramp_s: Annotated[float, Field(ge=0, le=600)] = 5.0


class RouteConfig(_Part):
    """How requests with a path prefix are treated.

    Parameters
    ----------
    deadline_ms
        Milliseconds that a request may take; a caller may ask for less.
    idempotent
        Overrides what follows from the method.
    key
        Whether a non-idempotent call has to bring an Idempotency-Key.
    priority
        0 is served first when a service is short of slots.
    """

    path: PathPrefix
    methods: Annotated[list[Method], Field(min_length=1)] = ["GET", "HEAD"]
    service: Name
    deadline_ms: Annotated[int, Field(ge=10, le=600_000)] = 5_000
    idempotent: bool | None = None
    key: Annotated[str, Field(pattern="^(required|optional)$")] = "optional"
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    max_body_bytes: Annotated[int, Field(ge=0, le=1 << 30)] = 16 << 20

    def is_idempotent(self, method: str) -> bool:
        """Tell whether a request may be sent to an upstream more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


class SectionConfig(_Part):
    """One team's part of the document."""

    owners: Annotated[list[Name], Field(min_length=1)]
    services: dict[Name, ServiceConfig] = {}
    routes: list[RouteConfig] = []


class Document:
    """All sections, checked as a whole, with routes ordered for lookup."""

    def __init__(self, section_by_name: Mapping[SectionName, SectionConfig]) -> None:
        self.section_by_name = dict(section_by_name)
        self.service_by_name: dict[ServiceName, ServiceConfig] = {}
        routes: list[RouteConfig] = []
        for section in self.section_by_name.values():
            for name, service in section.services.items():
                self.service_by_name[ServiceName(name)] = service
            routes.extend(section.routes)
        # The longest prefix wins, so that a team can split off part of a path.
        self.routes = sorted(routes, key=lambda route: -len(route.path))
        self._routes_by_first = _grouped_by_first_segment(self.routes)

    def find_route(self, method: str, path: str) -> tuple[RouteConfig | None, bool]:
        """Find the route of a request.

        Returns
        -------
        tuple
            The route or None, and whether the path matched with another method.
        """
        path_matched = False
        candidates = self._routes_by_first.get(_first_segment(path), ())
        for route in (*candidates, *self._routes_by_first.get("", ())):
            if not _prefix_matches(route.path, path):
                continue
            if method in route.methods:
                return route, True
            path_matched = True
        return None, path_matched


def _first_segment(path: str) -> str:
    return path.split("/", 2)[1] if path.startswith("/") else ""


def _grouped_by_first_segment(routes: Iterable[RouteConfig]) -> dict[str, list[RouteConfig]]:
    grouped: dict[str, list[RouteConfig]] = {}
    for route in routes:
        grouped.setdefault(_first_segment(route.path), []).append(route)
    return grouped


def _prefix_matches(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    # "/orders" covers "/orders" and "/orders/7", but not "/ordersheet".
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def parse_section(text: str, origin: str) -> SectionConfig:
    """Parse and check the text of one section by itself.

    Raises
    ------
    DocumentFaulty
        With all faults, one line each.
    """
    try:
        return jsonc.check(SectionConfig, jsonc.parse(text, origin), origin)
    except InvalidInput as fault:
        raise InvalidDocument(fault.faults) from None


def section_from_data(data: Any, origin: str) -> SectionConfig:
    """Check a section that was parsed already."""
    try:
        return jsonc.check(SectionConfig, data, origin)
    except InvalidInput as fault:
        raise InvalidDocument(fault.faults) from None


def check_document(section_by_name: Mapping[SectionName, SectionConfig]) -> Document:
    """Check what can only be told from all sections together.

    Raises
    ------
    DocumentFaulty
        With section, path of the key and reason for each fault.
    """
    faults = [
        *_service_faults(section_by_name),
        *_route_faults(section_by_name),
        *_overlap_faults(section_by_name),
    ]
    if faults:
        raise InvalidDocument(faults)
    return Document(section_by_name)


def parse_document(text: str, origin: str) -> Document:
    """Parse a whole document, a mapping from section name to section."""
    data = _parse_sections(text, origin)
    section_by_name = {}
    faults: list[str] = []
    for name, part in data.items():
        try:
            section_by_name[SectionName(name)] = section_from_data(part, f"{origin}: {name}")
        except InvalidDocument as fault:
            faults.extend(fault.faults)
    if faults:
        raise InvalidDocument(faults)
    return check_document(section_by_name)


def _parse_sections(text: str, origin: str) -> dict[str, Any]:
    try:
        data = jsonc.parse(text, origin)
    except InvalidInput as fault:
        raise InvalidDocument(fault.faults) from None
    if not isinstance(data, dict):
        raise InvalidDocument([f"{origin}: (top): must be an object of sections"])
    return data


def _service_faults(section_by_name: Mapping[SectionName, SectionConfig]) -> list[str]:
    faults = []
    section_by_service: dict[str, SectionName] = {}
    for name, section in section_by_name.items():
        for service in section.services:
            other = section_by_service.setdefault(service, name)
            if other != name:
                faults.append(f"{name}: services.{service}: is defined in section {other} too")
    return faults


def _route_faults(section_by_name: Mapping[SectionName, SectionConfig]) -> list[str]:
    known = {service for section in section_by_name.values() for service in section.services}
    faults = []
    for name, section in section_by_name.items():
        for index, route in enumerate(section.routes):
            place = f"{name}: routes.{index}"
            if route.service not in known:
                faults.append(f"{place}.service: no section defines service {route.service}")
            if route.key == "required" and route.idempotent is True:
                faults.append(f"{place}.key: an idempotent route needs no key")
    return faults


def _overlap_faults(section_by_name: Mapping[SectionName, SectionConfig]) -> list[str]:
    faults = []
    place_by_match: dict[tuple[str, str], str] = {}
    for name, section in section_by_name.items():
        for index, route in enumerate(section.routes):
            place = f"{name}: routes.{index}"
            for method in route.methods:
                match = (method, route.path.rstrip("/") or "/")
                other = place_by_match.setdefault(match, place)
                if other != place:
                    faults.append(f"{place}.path: {method} {route.path} is taken by {other}")
    return faults
