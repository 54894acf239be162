"""HTTP applications for the instance's announcements and the platform's readiness checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web

from peridottrack import log
from peridottrack.config import parse_endpoint
from peridottrack.controllers.localinstance import (
    UNKNOWN_START,
    InstanceReport,
    LocalInstanceController,
    ReportResult,
)
from peridottrack.jsondata import (
    MAX_INT64,
    MAX_UINT16,
    decode_json,
    require_integer,
    require_number,
    require_object,
    require_text,
)
from peridottrack.types import InstanceId, InstanceState, ServiceName

STATE_BY_NAME = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
# A stale report was delivered, so it is no error for the instance.
STATUS_BY_RESULT = {
    ReportResult.APPLIED: 200,
    ReportResult.HELD: 200,
    ReportResult.STALE: 200,
    ReportResult.FOREIGN: 400,
}
MAX_BODY_BYTES = 64 << 10
MAX_WARMUP_S = 1e6


def read_report(instance: str, body: bytes) -> InstanceReport:
    """Decode a heartbeat, the announcement with which the instance reports its state.

    Raises
    ------
    ValueError
        If a field is missing or has the wrong type, or the state is unknown.
    """
    data = require_object(decode_json(body), "body")
    info = require_object(data.get("node_info"), "node_info")
    status = require_object(data.get("status"), "status")
    if not parse_endpoint(require_text(data.get("address"), "address")).port:
        raise ValueError("address has no port")
    require_text(info.get("zone"), "zone")
    require_text(info.get("version"), "version")
    state = require_text(status.get("state"), "state")
    if state not in STATE_BY_NAME:
        raise ValueError(f"state {state!r} is not known")
    return InstanceReport(
        _instance_id(instance),
        ServiceName(require_text(info.get("service"), "service")),
        require_integer(info.get("max_concurrent"), "max_concurrent", 1, MAX_UINT16),
        STATE_BY_NAME[state],
        require_integer(status.get("sequence"), "sequence", 0, MAX_INT64),
        _start_time(data),
        require_number(status.get("warmup_left_s", 0), "warmup_left_s", 0, MAX_WARMUP_S),
    )


def read_deregistration(body: bytes) -> int:
    """Decode the body of a deregistration; return the start time of the instance.

    Raises
    ------
    ValueError
        If the body is neither empty nor an object with a valid start time.
    """
    return _start_time(require_object(decode_json(body), "body")) if body else UNKNOWN_START


def _start_time(data: dict[str, Any]) -> int:
    # Some platforms do not send the field `born`.
    return require_integer(data.get("born", UNKNOWN_START), "born", 0, MAX_INT64)


def _instance_id(text: str) -> InstanceId:
    """Return the id of an instance, which is also sent in a header."""
    if not (text.isascii() and text.isprintable()) or " " in text:
        raise ValueError("the id of the instance has characters other than printable ASCII")
    return InstanceId(require_text(text, "id"))


def announce_app(local_instance: LocalInstanceController) -> web.Application:
    """Build the application of the announce address: heartbeats and deregistration."""

    async def heartbeat(request: web.Request) -> web.Response:
        try:
            report = read_report(request.match_info["id"], await request.read())
        except ValueError as error:
            log.warning("announcement refused", error=str(error)[:200])
            return web.json_response({"error": str(error)[:200]}, status=400)
        return web.json_response({}, status=STATUS_BY_RESULT[await local_instance.receive(report)])

    async def deregister(request: web.Request) -> web.Response:
        try:
            instance = _instance_id(request.match_info["id"])
            start_time = read_deregistration(await request.read())
        except ValueError as error:
            log.warning("announcement refused", error=str(error)[:200])
            return web.json_response({"error": str(error)[:200]}, status=400)
        local_instance.record_leaving(instance, start_time)
        return web.json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_post("/v1/instances/{id}/heartbeat", heartbeat)
    app.router.add_post("/v1/instances/{id}/deregister", deregister)
    return app


def ready_app(ready: Callable[[], bool]) -> web.Application:
    """Build the application of the readiness address."""

    async def get_ready(request: web.Request) -> web.Response:
        return web.Response(status=200 if ready() else 503)

    app = web.Application()
    app.router.add_get("/v1/readyz", get_ready)
    return app
