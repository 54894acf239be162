"""HTTP applications for the instance's announcements and the platform's readiness checks."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from aiohttp import web

from peridottrack import log
from peridottrack.controllers.localinstance import (
    UNKNOWN_START,
    InstanceReport,
    LocalInstanceController,
    ReportResult,
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


def read_report(instance: str, body: bytes) -> InstanceReport:
    """Decode a heartbeat, the announcement with which the instance reports its state.

    Raises
    ------
    ValueError
        If a field is missing or has the wrong type, or the state is unknown.
    """
    data = _require_type(json.loads(body), dict, "body")
    info = _require_type(data.get("node_info"), dict, "node_info")
    status = _require_type(data.get("status"), dict, "status")
    _require_type(data.get("address"), str, "address")
    _require_type(info.get("zone"), str, "zone")
    _require_type(info.get("version"), str, "version")
    state = _require_type(status.get("state"), str, "state")
    if state not in STATE_BY_NAME:
        raise ValueError(f"state {state!r} is not known")
    slots = _require_type(info.get("max_concurrent"), int, "max_concurrent")
    if slots < 1:
        raise ValueError(f"max_concurrent {slots} is below 1")
    return InstanceReport(
        InstanceId(instance),
        ServiceName(_require_type(info.get("service"), str, "service")),
        slots,
        STATE_BY_NAME[state],
        _require_type(status.get("sequence"), int, "sequence"),
        _start_time(data),
        float(_require_type(status.get("warmup_left_s", 0), (int, float), "warmup_left_s")),
    )


def read_deregistration(body: bytes) -> int:
    """Decode the body of a deregistration; return the start time of the instance.

    Raises
    ------
    ValueError
        If the body is neither empty nor an object with a valid start time.
    """
    return _start_time(_require_type(json.loads(body), dict, "body")) if body else UNKNOWN_START


def _start_time(data: dict[str, Any]) -> int:
    # Some platforms do not send the field `born`.
    return int(_require_type(data.get("born", UNKNOWN_START), int, "born"))


def _require_type(value: Any, kind: Any, name: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, kind):
        raise ValueError(f"{name} is missing or of another type")
    return value


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
            start_time = read_deregistration(await request.read())
        except ValueError as error:
            log.warning("announcement refused", error=str(error)[:200])
            return web.json_response({"error": str(error)[:200]}, status=400)
        local_instance.record_leaving(InstanceId(request.match_info["id"]), start_time)
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
