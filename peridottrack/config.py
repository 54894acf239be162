"""Settings of a node, read from JSON with comments."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from peridottrack import jsonc
from peridottrack.exceptions import InvalidInput, InvalidSettings
from peridottrack.types import Endpoint

MIN_KEY_CHARS = 16


def parse_endpoint(text: str) -> Endpoint:
    """Split ``IP:PORT``.

    Raises
    ------
    ValueError
        For a host name, or a missing or invalid port.
    """
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError("must be IP:PORT with an IP number") from None
    if not separator or not 0 <= number <= 65_535:
        raise ValueError("must be IP:PORT with a port from 0 to 65535")
    return Endpoint(host.strip("[]"), number)


def _endpoint_text(text: str) -> str:
    parse_endpoint(text)
    return text


def _http_url(text: str) -> str:
    scheme, separator, rest = text.partition("://")
    if not separator or scheme not in ("http", "https") or not rest.strip("/"):
        raise ValueError("must be a URL with http:// or https://")
    return text.rstrip("/")


def _message_key(text: str) -> str:
    if len(text) < MIN_KEY_CHARS:
        raise ValueError(f"must have at least {MIN_KEY_CHARS} characters")
    return text


EndpointText = Annotated[str, AfterValidator(_endpoint_text)]
UrlText = Annotated[str, AfterValidator(_http_url)]
KeyText = Annotated[str, AfterValidator(_message_key)]


class Settings(BaseModel):
    """Settings of a node without a gate: each field has its bounds, default and description."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    callers_address: EndpointText = Field(description="Where callers connect (HTTP).")
    admin_address: EndpointText = Field(
        description="Metrics, state dump and calls of other nodes (HTTP)."
    )
    announce_address: EndpointText = Field(
        description="Where local upstreams announce themselves (HTTP)."
    )
    gossip_address: EndpointText = Field(
        description="Datagrams between nodes: gossip and reports (UDP)."
    )
    failure_domain: str = Field(description="Failure domain of this host.")
    region: str = Field(description="Region of this host.")
    table_url: UrlText = Field(description="URL of the platform's table service.")
    object_url: UrlText = Field(description="URL of the platform's object store.")
    table_name: str = Field("peridottrack", description="Table that holds all rows.")
    bucket_name: str = Field("peridottrack", description="Bucket of the object store.")
    message_keys: list[KeyText] = Field(
        min_length=1,
        max_length=3,
        description="Keys that sign datagrams; the first signs, all are accepted.",
    )
    seeds: list[EndpointText] = Field(
        [],
        max_length=32,
        description="Gossip addresses to join through when the table is unavailable.",
    )
    store_timeout_s: float = Field(
        1.0, ge=0.05, le=30, description="Timeout of a call to the store, in seconds."
    )
    document_poll_s: float = Field(
        4.0, ge=0.2, le=60, description="Interval between polls of the document, in seconds."
    )
    measuring_messages_per_s: float = Field(
        16.0, ge=0, le=1_000, description="Maximum datagrams of load reports per second."
    )
    measuring_bytes_per_s: float = Field(
        2_000.0,
        ge=0,
        le=1_000_000,
        description="Maximum bytes of load reports per second, headers included.",
    )
    queue_length: int = Field(
        256, ge=0, le=100_000, description="Maximum number of queued requests per service."
    )
    drain_s: float = Field(
        25.0, ge=1, le=600, description="Maximum duration of a graceful shutdown, in seconds."
    )
    announce_lease_s: float = Field(
        5.0,
        ge=0.5,
        le=60,
        description="Seconds without a renewal after which an upstream is removed.",
    )
    claims: Literal["rows", "journal"] = Field(
        "rows", description="Where claims are stored: a row each, or journals by shard."
    )
    claim_shards: int = Field(
        16, ge=1, le=4_096, description="Shards of the claim journal; the same on all nodes."
    )
    claim_flush_s: float = Field(
        0.05,
        ge=0.001,
        le=5,
        description="Seconds for which a shard collects claims into one write.",
    )
    log_level: Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = Field(
        "INFO", description="Lowest level that is logged."
    )
    debug: list[Literal["route", "choice", "claim", "member", "document"]] = Field(
        [], description="Topics whose debug output is logged."
    )


class MeshSettings(BaseModel):
    """Settings of a node with a gate: each field has its bounds, default and description."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    callers_address: EndpointText = Field(description="Where callers connect (HTTP).")
    link_address: EndpointText = Field(description="Where other nodes connect (TCP).")
    advertised_link_port: int | None = Field(
        None,
        ge=1,
        le=65_535,
        description="Port that other nodes connect to, if not the one of link_address.",
    )
    ready_address: EndpointText = Field(
        description="Where the platform checks whether the node is ready (HTTP)."
    )
    announce_address: EndpointText = Field(
        description="Where the local instance announces itself (HTTP)."
    )
    gossip_address: EndpointText = Field(
        description="Datagrams between nodes: gossip and reports (UDP)."
    )
    metrics_address: EndpointText | None = Field(None, description="Metrics and state dump (HTTP).")
    upstream_address: EndpointText = Field(description="Where the local instance listens.")
    service: str = Field(description="Service of the local instance.")
    failure_domain: str = Field(description="Failure domain of this host.")
    region: str = Field(description="Region of this host.")
    store_url: UrlText = Field(description="URL of the platform's store.")
    store_timeout_s: float = Field(
        1.5, ge=0.05, le=30, description="Timeout of a call to the store, in seconds."
    )
    document_lag_s: float = Field(
        2.0,
        ge=0.5,
        le=60,
        description="Seconds within which an accepted document must be in force.",
    )
    key_validity_s: float | None = Field(
        None,
        gt=0,
        le=600,
        description="Seconds after which a key that was taken away from its account must not work "
        "on any node, cut off or not; null for no bound.",
    )
    quota_window_s: float = Field(
        5.0, ge=2, le=60, description="Window over which quotas of accounts hold, in seconds."
    )
    quota_over: float = Field(
        0.1,
        ge=0.05,
        le=1,
        description="Share by which an account may exceed its quota in a window.",
    )
    quota_slack: float = Field(
        20.0,
        ge=0,
        le=100_000,
        description="Requests by which an account may exceed it beyond quota_over.",
    )
    message_keys: list[KeyText] = Field(
        min_length=1,
        max_length=3,
        description="Keys that sign datagrams; the first signs, all are accepted.",
    )
    shutdown_s: float = Field(
        6.0, ge=0.5, le=600, description="Seconds from SIGTERM until the process must have ended."
    )
    probes_per_s: float = Field(
        20.0, ge=0, le=1_000, description="Maximum probes of the local instance per second."
    )
    second_ratio: float = Field(
        0.2,
        ge=0,
        le=1,
        description="Retries and hedges of all nodes, as a share of a service's requests.",
    )
    second_slack: float = Field(
        60,
        ge=0,
        le=100_000,
        description="Retries and hedges of all nodes per window, beyond second_ratio.",
    )
    second_window_s: float = Field(
        10.0,
        ge=0.1,
        le=600,
        description="Window over which retries and hedges are counted, in seconds.",
    )
    hedge_share: float | None = Field(
        None,
        ge=0,
        le=0.2,
        description="Hedges of all nodes, as a share of a service's requests, within second_ratio; "
        "null: no limit of their own, and only those that a gate hints at.",
    )
    share_without_accounts: bool = Field(
        False,
        description="Whether routes and calling hosts share a full instance also where requests "
        "have no account.",
    )
    memory_mb: int | None = Field(
        None,
        ge=100,
        le=1_000_000,
        description="Memory of the host in MB: what the node holds of all requests together is "
        "limited to 90% of it less 86 MB. Without it, what the operating system reports.",
    )
    max_fds: int | None = Field(
        None,
        ge=64,
        le=10_000_000,
        description="Descriptors of the process, of which callers get three quarters; without it, "
        "the limit of the operating system.",
    )
    log_level: Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = Field(
        "INFO", description="Lowest level that is logged."
    )
    debug: list[Literal["member", "gate", "link"]] = Field(
        [], description="Topics whose debug output is logged."
    )


def parse_mesh_settings(text: str, origin: str) -> MeshSettings:
    """Parse and validate the settings of a node with a gate.

    Raises
    ------
    InvalidSettings
        With all faults, one line each.
    """
    try:
        return jsonc.check(MeshSettings, jsonc.parse(text, origin), origin)
    except InvalidInput as error:
        raise InvalidSettings(error.faults) from None


def parse_settings(text: str, origin: str) -> Settings:
    """Parse and validate the settings of a node without a gate.

    Raises
    ------
    InvalidSettings
        With all faults, one line each.
    """
    try:
        return jsonc.check(Settings, jsonc.parse(text, origin), origin)
    except InvalidInput as error:
        raise InvalidSettings(error.faults) from None


def load_settings(path: Path) -> Settings:
    """Read a settings file from disk."""
    return parse_settings(path.read_text(encoding="utf-8"), str(path))


def settings_reference(model: type[BaseModel] = Settings) -> str:
    """Return the settings reference, a Markdown table generated from the fields."""
    lines = ["| setting | default | meaning |", "|---|---|---|"]
    for name, field in model.model_fields.items():
        default = "required" if field.is_required() else f"`{field.default!r}`"
        lines.append(f"| `{name}` | {default} | {field.description} |")
    return "\n".join(lines) + "\n"
