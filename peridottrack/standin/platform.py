"""HTTP server of the platform stand-in: table service, object store and fault injection."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote
from xml.sax.saxutils import escape

from aiohttp import web

from peridottrack.bucket import TokenBucket
from peridottrack.clock import LoopClock
from peridottrack.exceptions import StoreUnavailable
from peridottrack.httpstores import (
    CONDITION_ABSENT,
    CONDITION_VERSION,
    ITEM_KIND_BY_ACTION,
    JSON_TYPE,
    TARGET_HEADER,
    TARGET_PREFIX,
    item_to_key,
    item_to_row,
    key_to_item,
    row_to_item,
)
from peridottrack.standin.faults import FaultPlan, StoreFault
from peridottrack.standin.memory import MemoryObjects, MemoryTable
from peridottrack.types import ABSENT_VERSION, RowKey, Write, WriteAction, WriteOutcome, WriterId

READS_PER_S = 2_000.0
WRITES_PER_S = 500.0
"""Rate limits of the table; calls beyond them are throttled."""
BURST_S = 1.0
"""Seconds of unused rate that the limits save up for a burst."""
ACTION_BY_ITEM_KIND = {kind: action for action, kind in ITEM_KIND_BY_ACTION.items()}
S3_STATUS_BY_OUTCOME = {
    WriteOutcome.APPLIED: 200,
    WriteOutcome.CONFLICT: 412,
    WriteOutcome.REFUSED: 503,
    WriteOutcome.UNKNOWN: 500,
}


class PlatformStandin:
    """Serves the in-memory stores over HTTP, at the rates that the platform grants.

    ``POST /_faults`` with ``{"fault": "down"}`` sets the fault of all later calls;
    ``{"fault": "none"}`` ends it.
    """

    def __init__(self) -> None:
        self.faults = FaultPlan()
        self.table = MemoryTable(self.faults)
        self.objects = MemoryObjects(self.faults)
        clock = LoopClock()
        self._read_bucket = TokenBucket(clock, READS_PER_S, READS_PER_S * BURST_S)
        self._write_bucket = TokenBucket(clock, WRITES_PER_S, WRITES_PER_S * BURST_S)
        self._handler_by_operation: dict[str, Callable[[Any], Awaitable[web.Response]]] = {
            "GetItem": self._get_item,
            "Query": self._query,
            "TransactWriteItems": self._transact,
        }

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/_faults", self._set_fault)
        app.router.add_post("/", self._handle_table_call)
        app.router.add_get("/{bucket}", self._list_objects)
        app.router.add_route("*", "/{bucket}/{name:.+}", self._handle_object)
        return app

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.faults.default = StoreFault((await request.json())["fault"])
        return web.json_response({"fault": self.faults.default.value})

    async def _handle_table_call(self, request: web.Request) -> web.Response:
        operation = request.headers.get(TARGET_HEADER, "").removeprefix(TARGET_PREFIX)
        handler = self._handler_by_operation.get(operation)
        if handler is None:
            return _table_error("UnknownOperationException")
        try:
            return await handler(json.loads(await request.read()))
        except StoreUnavailable:
            return _table_error("InternalServerError", status=500)

    async def _get_item(self, body: Any) -> web.Response:
        if not self._read_bucket.take(1):
            return _table_error("ThrottlingException")
        row = await self.table.get(item_to_key(body["Key"]))
        return _table_response({"Item": row_to_item(row)} if row else {})

    async def _query(self, body: Any) -> web.Response:
        if not self._read_bucket.take(1):
            return _table_error("ThrottlingException")
        partition = body["ExpressionAttributeValues"][":pk"]["S"]
        start = body.get("ExclusiveStartKey")
        after = item_to_key(start).sort if start else None
        page = await self.table.query(partition, after, body["Limit"])
        response: dict[str, Any] = {"Items": [row_to_item(row) for row in page.rows]}
        if page.after is not None:
            response["LastEvaluatedKey"] = key_to_item(RowKey(partition, page.after))
        return _table_response(response)

    async def _transact(self, body: Any) -> web.Response:
        parsed = [_parse_transact_item(item) for item in body["TransactItems"]]
        writes = [write for write, _ in parsed]
        if not self._write_bucket.take(len(writes)):
            return _table_error("ThrottlingException")
        writer = next((writer for _, writer in parsed if writer), WriterId(""))
        outcome = await self.table.transact(writes, writer)
        if outcome is WriteOutcome.APPLIED:
            return _table_response({})
        if outcome is WriteOutcome.REFUSED:
            return _table_error("ThrottlingException")
        if outcome is WriteOutcome.UNKNOWN:
            return _table_error("InternalServerError", status=500)
        reasons = [{"Code": "ConditionalCheckFailed"}]
        return _table_error("TransactionCanceledException", CancellationReasons=reasons)

    async def _list_objects(self, request: web.Request) -> web.Response:
        names = await self.objects.list(
            request.query.get("prefix", ""),
            request.query.get("start-after"),
            int(request.query.get("max-keys", "1000")),
        )
        keys = "".join(f"<Contents><Key>{escape(name)}</Key></Contents>" for name in names)
        text = f'<?xml version="1.0"?><ListBucketResult>{keys}</ListBucketResult>'
        return web.Response(text=text, content_type="application/xml")

    async def _handle_object(self, request: web.Request) -> web.Response:
        name = unquote(request.match_info["name"])
        try:
            return await self._object_response(request, name)
        except StoreUnavailable:
            return web.Response(status=503)

    async def _object_response(self, request: web.Request, name: str) -> web.Response:
        if request.method == "PUT":
            outcome = await self.objects.put_if_absent(name, await request.read())
            return web.Response(status=S3_STATUS_BY_OUTCOME[outcome])
        if request.method == "DELETE":
            await self.objects.delete(name)
            return web.Response(status=204)
        body = await self.objects.get(name)
        return web.Response(status=404) if body is None else web.Response(body=body)


def _parse_transact_item(item: dict[str, Any]) -> tuple[Write, WriterId | None]:
    ((kind, fields),) = item.items()
    action = ACTION_BY_ITEM_KIND[kind]
    expected = _parse_condition(fields)
    if action is not WriteAction.PUT:
        return Write(action, item_to_key(fields["Key"]), expected), None
    row = item_to_row(fields["Item"])
    return Write(action, row.key, expected, row.value), row.writer


def _parse_condition(fields: dict[str, Any]) -> int:
    condition = fields["ConditionExpression"]
    if condition == CONDITION_ABSENT:
        return ABSENT_VERSION
    if condition == CONDITION_VERSION:
        return int(fields["ExpressionAttributeValues"][":ver"]["N"])
    raise web.HTTPBadRequest(text=f"unsupported ConditionExpression: {condition}")


def _table_response(body: dict[str, Any]) -> web.Response:
    return web.Response(body=json.dumps(body).encode(), content_type=JSON_TYPE)


def _table_error(name: str, *, status: int = 400, **fields: Any) -> web.Response:
    body = {"__type": f"com.amazonaws.dynamodb.v20120810#{name}", **fields}
    return web.Response(status=status, body=json.dumps(body).encode(), content_type=JSON_TYPE)


async def serve_platform(host: str, port: int) -> tuple[PlatformStandin, web.AppRunner, int]:
    """Start the platform stand-in.

    Returns
    -------
    tuple
        The stand-in, its runner, which the caller cleans up, and the port on which it listens.
    """
    standin = PlatformStandin()
    runner = web.AppRunner(standin.app(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    await asyncio.sleep(0)
    return standin, runner, runner.addresses[0][1]
