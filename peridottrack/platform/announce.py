"""Calls that the instance and the platform make to a node: announcements and readiness."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from aiohttp import web

from peridottrack import log
from peridottrack.controllers.localinstance import (
    InstanceReport,
    LocalInstanceController,
    ReportResult,
)
from peridottrack.types import InstanceId, InstanceState, ServiceName

STATE_BY_WORD = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
STATUS_BY_HEARD = {ReportResult.APPLIED: 200, ReportResult.STALE: 200, ReportResult.FOREIGN: 400}
MAX_BODY_BYTES = 64 << 10


def read_report(instance: str, body: bytes) -> InstanceReport:
    """Decode an announcement.

    Raises
    ------
    ValueError
        If a field is missing or of another type, or names a state that is not known.
    """
    data = _typed(json.loads(body), dict, "body")
    info = _typed(data.get("node_info"), dict, "node_info")
    status = _typed(data.get("status"), dict, "status")
    _typed(data.get("address"), str, "address")
    _typed(info.get("zone"), str, "zone")
    _typed(info.get("version"), str, "version")
    word = _typed(status.get("state"), str, "state")
    if word not in STATE_BY_WORD:
        raise ValueError(f"state {word!r} is not known")
    slots = _typed(info.get("max_concurrent"), int, "max_concurrent")
    if slots < 1:
        raise ValueError(f"max_concurrent {slots} is below 1")
    # The field `born` may be missing where a platform does not send it.
    born = data.get("born", 0)
    return InstanceReport(
        InstanceId(instance),
        ServiceName(_typed(info.get("service"), str, "service")),
        slots,
        STATE_BY_WORD[word],
        _typed(status.get("sequence"), int, "sequence"),
        _typed(born, int, "born"),
        float(_typed(status.get("warmup_left_s", 0), (int, float), "warmup_left_s")),
    )


def _typed(value: Any, kind: Any, name: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, kind):
        raise ValueError(f"{name} is missing or of another type")
    return value


def announce_app(beside: LocalInstanceController) -> web.Application:
    """Build the application of the announce address."""

    async def heartbeat(request: web.Request) -> web.Response:
        try:
            report = read_report(request.match_info["id"], await request.read())
        except ValueError as error:
            log.warning("announcement refused", error=str(error)[:200])
            return web.json_response({"error": str(error)[:200]}, status=400)
        return web.json_response({}, status=STATUS_BY_HEARD[beside.apply(report)])

    async def deregister(request: web.Request) -> web.Response:
        beside.deregister(InstanceId(request.match_info["id"]))
        return web.json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_post("/v1/instances/{id}/heartbeat", heartbeat)
    app.router.add_post("/v1/instances/{id}/deregister", deregister)
    return app


def ready_app(ready: Callable[[], bool]) -> web.Application:
    """Build the application of the readiness address."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=200 if ready() else 503)

    app = web.Application()
    app.router.add_get("/v1/readyz", answer)
    return app
