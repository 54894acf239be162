"""The document that operators write: its sections, services and routes, and its validation."""

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


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceConfig(_StrictModel):
    """Limits of one service.

    Parameters
    ----------
    retry_share
        Upper limit of retries and hedges together, as a share of calls.
    hedge_share
        Upper limit of hedges, as a share of calls.
    set_aside_share
        Largest share of the instances that may be ejected at the same time.
    subset_size
        Largest number of instances that one node calls.
    """

    retry_share: Annotated[float, Field(ge=0, le=0.5)] = 0.1
    hedge_share: Annotated[float, Field(ge=0, le=0.2)] = 0.05
    set_aside_share: Annotated[float, Field(ge=0, le=0.5)] = 0.34
    subset_size: Annotated[int, Field(ge=2, le=200)] = 12
    ramp_s: Annotated[float, Field(ge=0, le=600)] = 5.0


class RouteConfig(_StrictModel):
    """Settings for requests with a path prefix.

    Parameters
    ----------
    deadline_ms
        Milliseconds that a request may take; a caller may set a shorter deadline.
    idempotent
        Whether a request may be sent more than once; overrides the default of its method.
    key
        Whether a non-idempotent call requires an Idempotency-Key.
    priority
        0 (first) to 9 (last): order in which waiting requests get free slots of the service.
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
        """Return whether a request may be sent to an upstream more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


class SectionConfig(_StrictModel):
    """One section of the document, owned by one team."""

    owners: Annotated[list[Name], Field(min_length=1)]
    services: dict[Name, ServiceConfig] = {}
    routes: list[RouteConfig] = []


class Document:
    """All sections, validated as a whole, with routes ordered for lookup."""

    def __init__(self, section_by_name: Mapping[SectionName, SectionConfig]) -> None:
        self.section_by_name = dict(section_by_name)
        self.service_by_name: dict[ServiceName, ServiceConfig] = {}
        routes: list[RouteConfig] = []
        for section in self.section_by_name.values():
            for name, service in section.services.items():
                self.service_by_name[ServiceName(name)] = service
            routes.extend(section.routes)
        # The longest prefix is matched first, so that a team can take over part of a path.
        self.routes = sorted(routes, key=lambda route: -len(route.path))
        self._routes_by_first_segment = _group_by_first_segment(self.routes)

    def find_route(self, method: str, path: str) -> tuple[RouteConfig | None, bool]:
        """Find the route of a request.

        Returns
        -------
        tuple
            The route or None, and whether any route matches the path, regardless of method.
        """
        path_matched = False
        candidates = self._routes_by_first_segment.get(_first_segment(path), ())
        for route in (*candidates, *self._routes_by_first_segment.get("", ())):
            if not _prefix_matches(route.path, path):
                continue
            if method in route.methods:
                return route, True
            path_matched = True
        return None, path_matched


def _first_segment(path: str) -> str:
    return path.split("/", 2)[1] if path.startswith("/") else ""


def _group_by_first_segment(routes: Iterable[RouteConfig]) -> dict[str, list[RouteConfig]]:
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
    """Parse and validate the text of one section on its own.

    Raises
    ------
    InvalidDocument
        With all errors, one line each.
    """
    try:
        return jsonc.check(SectionConfig, jsonc.parse(text, origin), origin)
    except InvalidInput as error:
        raise InvalidDocument(error.faults) from None


def section_from_data(data: Any, origin: str) -> SectionConfig:
    """Validate a section that is already parsed."""
    try:
        return jsonc.check(SectionConfig, data, origin)
    except InvalidInput as error:
        raise InvalidDocument(error.faults) from None


def check_document(section_by_name: Mapping[SectionName, SectionConfig]) -> Document:
    """Validate the rules that span several sections.

    Raises
    ------
    InvalidDocument
        With section, key path and reason for each error.
    """
    errors = [
        *_service_errors(section_by_name),
        *_route_errors(section_by_name),
        *_overlap_errors(section_by_name),
    ]
    if errors:
        raise InvalidDocument(errors)
    return Document(section_by_name)


def parse_document(text: str, origin: str) -> Document:
    """Parse and validate a whole document, a mapping from section name to section."""
    data = _parse_sections(text, origin)
    section_by_name = {}
    errors: list[str] = []
    for name, section_data in data.items():
        try:
            section_by_name[SectionName(name)] = section_from_data(
                section_data, f"{origin}: {name}"
            )
        except InvalidDocument as error:
            errors.extend(error.faults)
    if errors:
        raise InvalidDocument(errors)
    return check_document(section_by_name)


def _parse_sections(text: str, origin: str) -> dict[str, Any]:
    try:
        data = jsonc.parse(text, origin)
    except InvalidInput as error:
        raise InvalidDocument(error.faults) from None
    if not isinstance(data, dict):
        raise InvalidDocument([f"{origin}: (top): must be an object of sections"])
    return data


def _service_errors(section_by_name: Mapping[SectionName, SectionConfig]) -> list[str]:
    errors = []
    section_by_service: dict[str, SectionName] = {}
    for name, section in section_by_name.items():
        for service in section.services:
            other = section_by_service.setdefault(service, name)
            if other != name:
                errors.append(f"{name}: services.{service}: is defined in section {other} too")
    return errors


def _route_errors(section_by_name: Mapping[SectionName, SectionConfig]) -> list[str]:
    known = {service for section in section_by_name.values() for service in section.services}
    errors = []
    for name, section in section_by_name.items():
        for index, route in enumerate(section.routes):
            place = f"{name}: routes.{index}"
            if route.service not in known:
                errors.append(f"{place}.service: no section defines service {route.service}")
            if route.key == "required" and route.idempotent is True:
                errors.append(f"{place}.key: an idempotent route needs no key")
    return errors


def _overlap_errors(section_by_name: Mapping[SectionName, SectionConfig]) -> list[str]:
    errors = []
    place_by_match: dict[tuple[str, str], str] = {}
    for name, section in section_by_name.items():
        for index, route in enumerate(section.routes):
            place = f"{name}: routes.{index}"
            for method in route.methods:
                match = (method, route.path.rstrip("/") or "/")
                other = place_by_match.setdefault(match, place)
                if other != place:
                    errors.append(f"{place}.path: {method} {route.path} is taken by {other}")
    return errors
