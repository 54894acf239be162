"""Decodes the operators' document in the platform's format."""

from __future__ import annotations

import math
from typing import Any

from peridottrack import log
from peridottrack.accounts.model import Account, AccountName, AccountTable
from peridottrack.exceptions import InvalidDocument
from peridottrack.jsondata import (
    MAX_INT64,
    decode_json,
    require_integer,
    require_list,
    require_number,
    require_text,
)
from peridottrack.routing import CallerLimits, Route, RouteTable, ServiceRule, Share
from peridottrack.types import ServiceName

MAX_PATH_LENGTH = 8 << 10
MAX_TIMEOUT_S = 1e6
"""Longest time that a timer is set to."""
MAX_PRIORITY = 0xFF
MAX_WEIGHT = 1e12
IDEMPOTENT_BY_KIND = {"idempotent": True, "non_idempotent": False, "upload": False}
MAX_RATE = 1e9
MAX_KEY_LENGTH = 4 << 10


def read_document(data: bytes) -> RouteTable:
    """Decode a document, the value of the configuration row in the store.

    Raises
    ------
    InvalidDocument
        If the document cannot be decoded or a route is invalid.
    """
    try:
        config = decode_json(data)
        services = {
            ServiceName(require_text(row["name"], "name")): ServiceRule(
                require_text(row["health_path"], "health_path", MAX_PATH_LENGTH),
                require_integer(row["max_connections"], "max_connections", 0, MAX_INT64),
                require_number(row.get("warmup_s", 0), "warmup_s", 0, MAX_TIMEOUT_S),
                _limit(row, "warmup_per_s"),
            )
            for row in _rows(config["services"])
        }
        routes = [_route(row, services) for row in _rows(config["routes"])]
        version = require_integer(config["version"], "version", 0, MAX_INT64)
        accounts = _accounts(config.get("tenants"))
        return RouteTable(version, routes, services, _limits(config.get("limits")), accounts)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidDocument([f"{type(error).__name__}: {error}"]) from None


def _rows(table: Any) -> list[dict[str, Any]]:
    """Return the rows as dicts by column name; a null value means that the field is absent."""
    columns = require_list(table["columns"], "columns")
    return [
        {name: value for name, value in zip(columns, row, strict=True) if value is not None}
        for row in require_list(table["rows"], "rows")
    ]


def _route(row: dict[str, Any], services: dict[ServiceName, ServiceRule]) -> Route:
    split = row.get("split") or [{"service": row["service"], "weight": 1}]
    shares = tuple(
        Share(
            ServiceName(require_text(part["service"], "service")),
            require_number(part["weight"], "weight", 0, MAX_WEIGHT),
        )
        for part in require_list(split, "split")
    )
    unknown = [share.service for share in shares if share.service not in services]
    prefix = require_text(row["prefix"], "prefix", MAX_PATH_LENGTH)
    host = require_text(row["host"], "host", MAX_PATH_LENGTH)
    if unknown:
        raise ValueError(f"route {row['name']}: service {unknown[0]} is not defined")
    if not sum(share.weight for share in shares):
        raise ValueError(f"route {row['name']}: weights must not be all zero")
    if not host or not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"route {row['name']}: host or prefix is malformed")
    timeout_s = require_number(row["timeout_s"], "timeout_s", 0, MAX_TIMEOUT_S)
    if timeout_s <= 0:
        raise ValueError(f"route {row['name']}: timeout must be positive")
    return Route(
        require_text(row["name"], "name"),
        host.lower(),
        prefix,
        _is_idempotent(row),
        shares,
        timeout_s,
        require_number(
            row.get("target_latency_s", timeout_s), "target_latency_s", 0, MAX_TIMEOUT_S
        ),
        require_integer(row.get("priority", 0), "priority", 0, MAX_PRIORITY),
        require_integer(row["attempts"], "attempts", 1, MAX_INT64),
        row.get("allow_anonymous", False) is True,
    )


def _is_idempotent(row: dict[str, Any]) -> bool:
    """Return whether the requests of a route may be repeated; those of an unknown kind may not."""
    kind = require_text(row["kind"], "kind")
    if kind not in IDEMPOTENT_BY_KIND:
        log.warning("kind of a route is not known", route=str(row["name"])[:200], kind=kind)
    return IDEMPOTENT_BY_KIND.get(kind, False)


def _accounts(table: Any) -> AccountTable | None:
    if table is None:
        return None
    accounts = AccountTable(_account(row) for row in _rows(table))
    if accounts.shared_keys:
        log.warning("keys of several accounts are refused", keys=accounts.shared_keys)
    return accounts


def _account(row: dict[str, Any]) -> tuple[Account, list[str]]:
    name = require_text(row["name"], "name")
    if not (name.isascii() and name.isprintable()):
        raise ValueError("the name of an account has characters other than printable ASCII")
    priority = row.get("priority")
    if priority is not None:
        priority = require_integer(priority, "priority", 0, MAX_PRIORITY)
    burst = require_number(row.get("burst", 0), "burst", 0, MAX_RATE)
    keys = [
        require_text(key, "key of an account", MAX_KEY_LENGTH)
        for key in require_list(row.get("api_keys", []), "api_keys")
    ]
    return Account(AccountName(name), priority, _limit(row, "rate_per_s"), burst), keys


def _limit(row: dict[str, Any], name: str) -> float:
    """Return a rate, infinite if it is 0 or absent."""
    return require_number(row.get(name, 0), name, 0, MAX_RATE) or math.inf


def _limits(config: dict[str, Any] | None) -> CallerLimits:
    if config is None:
        return CallerLimits()
    return CallerLimits(
        require_integer(config["max_header_bytes"], "max_header_bytes", 1, MAX_INT64),
        require_integer(config["max_body_bytes"], "max_body_bytes", 0, MAX_INT64),
        require_number(config["header_timeout_s"], "header_timeout_s", 0, MAX_TIMEOUT_S),
        require_number(config["idle_timeout_s"], "idle_timeout_s", 0, MAX_TIMEOUT_S),
    )
