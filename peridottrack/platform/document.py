"""Decodes the operators' document in the platform's format."""

from __future__ import annotations

import json
from typing import Any

from peridottrack.exceptions import InvalidDocument
from peridottrack.routing import CallerLimits, Route, RouteTable, ServiceRule, Share
from peridottrack.types import ServiceName

IDEMPOTENT_BY_KIND = {"idempotent": True, "non_idempotent": False}


def read_document(data: bytes) -> RouteTable:
    """Decode a document, the value of the configuration row in the store.

    Raises
    ------
    InvalidDocument
        If the document cannot be decoded or a route is invalid.
    """
    try:
        config = json.loads(data)
        services = {
            ServiceName(row["name"]): ServiceRule(row["health_path"], int(row["max_connections"]))
            for row in _rows(config["services"])
        }
        routes = [_route(row, services) for row in _rows(config["routes"])]
        return RouteTable(int(config["version"]), routes, services, _limits(config.get("limits")))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise InvalidDocument([f"{type(error).__name__}: {error}"]) from None


def _rows(table: Any) -> list[dict[str, Any]]:
    """Return the rows as dicts by column name; a null value means that the field is absent."""
    columns = table["columns"]
    return [
        {name: value for name, value in zip(columns, row, strict=True) if value is not None}
        for row in table["rows"]
    ]


def _route(row: dict[str, Any], services: dict[ServiceName, ServiceRule]) -> Route:
    split = row.get("split") or [{"service": row["service"], "weight": 1}]
    shares = tuple(Share(ServiceName(part["service"]), float(part["weight"])) for part in split)
    unknown = [share.service for share in shares if share.service not in services]
    prefix = row["prefix"]
    if unknown:
        raise ValueError(f"route {row['name']}: service {unknown[0]} is not defined")
    if min(share.weight for share in shares) < 0 or not sum(share.weight for share in shares):
        raise ValueError(f"route {row['name']}: weights must not be negative or all zero")
    if not row["host"] or not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"route {row['name']}: host or prefix is malformed")
    timeout_s, attempts = float(row["timeout_s"]), int(row["attempts"])
    if timeout_s <= 0 or attempts < 1:
        raise ValueError(f"route {row['name']}: timeout and attempts must be positive")
    return Route(
        row["name"],
        row["host"].lower(),
        prefix,
        IDEMPOTENT_BY_KIND[row["kind"]],
        shares,
        timeout_s,
        float(row.get("target_latency_s", timeout_s)),
        int(row.get("priority", 0)),
        attempts,
    )


def _limits(config: dict[str, Any] | None) -> CallerLimits:
    if config is None:
        return CallerLimits()
    return CallerLimits(
        int(config["max_header_bytes"]),
        int(config["max_body_bytes"]),
        float(config["header_timeout_s"]),
        float(config["idle_timeout_s"]),
    )
