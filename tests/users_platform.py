"""Stand-ins for the users' platform on loopback: its store, and instances that can misbehave."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import struct
import time
from dataclasses import dataclass, field
from typing import Any

import httptools
from aiohttp import web

ENDLESS_WRITE_BYTES = 64 << 10
"""Bytes of an endless response that an instance writes at a time if it sends without a pause."""

DOCUMENT = {
    "version": 7,
    "routes": {
        "columns": [
            "name",
            "host",
            "prefix",
            "kind",
            "timeout_s",
            "target_latency_s",
            "priority",
            "split",
            "attempts",
            "service",
        ],
        "rows": [
            ["read", "shop.example", "/stock/", "idempotent", 2, 0.3, 2, None, 2, "katalog"],
            ["order", "shop.example", "/order/", "non_idempotent", 2, 0.4, 1, None, 2, "katalog"],
        ],
    },
    "services": {
        "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
        "rows": [["katalog", "/healthz", 240, "h1", False]],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}


def document_bytes(**changes: Any) -> bytes:
    """Return the operators' document with some top-level fields replaced."""
    return json.dumps({**DOCUMENT, **changes}).encode()


def _now_s() -> float:
    """Return the steady clock of the store."""
    return round(asyncio.get_running_loop().time(), 3)


@dataclass(frozen=True)
class StoreCopy:
    """Content of a store at one moment."""

    ver: int
    rows: dict[tuple[str, str, str], dict[str, Any]]


class Store:
    """The platform's store of versioned rows with a change feed.

    Attributes
    ----------
    ver
        Version of the last write.
    calls
        Operations of all calls so far.
    status
        Status of all responses; a store with another status than 200 applies no write.
    lose_responses
        Whether connections are reset after a call has been applied.
    silent
        Whether the feed hangs.
    oldest_version
        Oldest version from which the feed still knows the changes; before it, it responds 410, and
        also after a version that it does not have.
    era
        Value of the header Store-Era in all responses; rises with each restored copy.
    page_rows
        Most rows in one response.
    odd_bodies
        Bodies of the next responses to reads, in place of their own.
    """

    def __init__(self) -> None:
        self.ver = 0
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.calls: list[str] = []
        self.status = 200
        self.lose_responses = False
        self.silent = False
        self.oldest_version = 0
        self.era = 1
        self.odd_bodies: list[bytes] = []
        self.page_rows = 2
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.url = ""

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/v1/rows-get", self._get)
        app.router.add_get("/v1/rows-feed", self._feed)
        app.router.add_post("/v1/rows-tx", self._tx)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.url = f"http://127.0.0.1:{port}"

    async def stop(self) -> None:
        assert self._runner is not None
        self._changed.set()
        await self._runner.cleanup()

    def put(self, table: str, key: str, value: bytes) -> None:
        self.ver += 1
        self.rows[(table, "", key)] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self.ver,
        }
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Remove a row; the feed still tells of it."""
        if self._present(table, key) is None:
            return
        self.ver += 1
        self.rows[(table, "", key)] = {
            "table": table,
            "part": "",
            "key": key,
            "ver": self.ver,
            "removed": True,
        }
        self._notify()

    def _present(self, table: str, key: str) -> dict[str, Any] | None:
        row = self.rows.get((table, "", key))
        return None if row is None or row.get("removed") else row

    def forget_history(self) -> None:
        self.oldest_version = self.ver + 1

    def copy(self) -> StoreCopy:
        """Return a copy, from which the store can be restored."""
        return StoreCopy(self.ver, dict(self.rows))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later writes are lost, and their versions are given out again."""
        self.ver, self.rows = copy.ver, dict(copy.rows)
        self.oldest_version = min(self.oldest_version, self.ver)
        self.era += 1
        self._notify()

    def _notify(self) -> None:
        """Wake the feed calls that wait."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(
        self, request: web.Request, call: str, data: Any, status: int = 200
    ) -> web.Response:
        self.calls.append(call)
        headers = {"Store-Era": str(self.era)}
        if self.status != 200:
            return web.json_response({}, status=self.status, headers=headers)
        if self.lose_responses and request.transport is not None:
            request.transport.abort()
        if call != "tx" and self.odd_bodies:
            body = self.odd_bodies.pop(0)
            return web.Response(body=body, headers=headers, content_type="application/json")
        return web.json_response(data, status=status, headers=headers)

    async def _get(self, request: web.Request) -> web.Response:
        table, start = request.query["table"], request.query.get("from", "")
        rows = [row for (name, _, key), row in sorted(self.rows.items()) if name == table]
        rows = [row for row in rows if row["key"] >= start and not row.get("removed")]
        page, truncated = rows[: self.page_rows], len(rows) > self.page_rows
        data = {"rows": page, "truncated": truncated, "ver": self.ver, "now_s": _now_s()}
        return await self._respond(request, f"get {table}", data)

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        if self.silent:
            await asyncio.sleep(3600)
        if after < self.oldest_version or after > self.ver:
            return await self._respond(request, "feed", {}, 410)
        changed = self._changed
        if not self._newer(table, after) and self.status == 200:
            try:
                async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        rows = self._newer(table, after)
        return await self._respond(
            request, "feed", {"rows": rows, "ver": self.ver, "now_s": _now_s()}
        )

    def _newer(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            row for (name, _, _), row in self.rows.items() if name == table and row["ver"] > after
        ]

    async def _tx(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["precondition"]:
            present = self._present(row["table"], row["key"])
            if self.status == 200 and row["ver"] != (present["ver"] if present else 0):
                return await self._respond(request, "tx", {"rows": []}, 412)
        if self.status == 200:
            for row in body["writes"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in body["remove"]:
                self.remove(row["table"], row["key"])
        return await self._respond(request, "tx", {"ver": self.ver, "now_s": _now_s()})


@dataclass
class Script:
    """Behaviour of an instance.

    The integer fields are counters: each request that is handled as described decrements one.

    Attributes
    ----------
    lose
        Run, then reset the connection without a response.
    cut
        Close the connection before the end of the response.
    double
        Send the response twice.
    late_double
        Respond, and send the same response again just before that to the next request.
    garbage
        Send bytes that are not HTTP.
    shed
        Reject with 503 and the header Not-Executed, which says that the request has not run.
    unframed
        Respond without a Content-Length, and end the body by closing the connection.
    unframed_reset
        Respond without a Content-Length, and reset the connection within the body.
    unsigned
        Respond without Response-Signature, the header with the name of the instance.
    misdirect
        Reject with 421 and the name of another instance.
    fail, busy_after_run
        Run, then respond 500, or 503 without the header Not-Executed.
    no_id
        Respond without the id of the request.
    endless, endless_after_response
        Run, then send `endless_start`, or a complete response, and then `endless_piece` again and
        again until the connection closes.
    endless_pause_s
        Time between two pieces; 0 sends them as fast as the connection takes them.
    answer_bytes
        Size of the body of a response, 0 for a short text.
    work_s
        Time that a request takes.
    healthy
        Whether the health check responds 200 instead of 503.
    crash_path
        Target of a request that stops the instance.
    load, keep_alive, rate_limit
        Values of the headers Instance-Load, Keep-Alive and Server-Limit, the requests a second that
        the instance takes from all nodes together; empty for none.
    warm_in
        Value of the header Warmup-Remaining in health responses, in milliseconds; empty for none.
    leaving
        Whether all responses have the header Server-Leaving.
    """

    lose: int = 0
    cut: int = 0
    double: int = 0
    late_double: int = 0
    garbage: int = 0
    shed: int = 0
    unframed: int = 0
    unframed_reset: int = 0
    unsigned: int = 0
    misdirect: int = 0
    fail: int = 0
    busy_after_run: int = 0
    no_id: int = 0
    endless: int = 0
    endless_after_response: int = 0
    endless_start: bytes = b""
    endless_piece: bytes = b""
    endless_pause_s: float = 0.0
    answer_bytes: int = 0
    work_s: float = 0.0
    healthy: bool = True
    crash_path: bytes = b""
    load: str = "1,0,18,100"
    keep_alive: str = ""
    rate_limit: str = ""
    warm_in: str = ""
    leaving: bool = False


@dataclass
class Run:
    """One request that an instance ran."""

    method: str
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    instance: str = ""
    at: float = field(default_factory=time.monotonic)


@dataclass
class InstanceStandin:
    """An instance that follows the protocol of the users' platform.

    Attributes
    ----------
    checks_target
        Whether requests for another instance are rejected with 421.
    keeps_runs
        Whether ``runs`` has each request, with its body.
    received_at
        When each request arrived, by `time.monotonic`, also those that were rejected or probes.
    aborted_runs
        Number of requests whose connection was closed while they ran.
    connections
        Number of connections accepted so far.
    """

    name: str = "i-1"
    checks_target: bool = False
    keeps_runs: bool = True
    script: Script = field(default_factory=Script)
    runs: list[Run] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)
    aborted_runs: int = 0
    connections: int = 0
    port: int = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _InstanceProtocol(self), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def start_again(self) -> None:
        """Start again at the same address after a stop."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _InstanceProtocol(self), "127.0.0.1", self.port
        )

    async def stop(self) -> None:
        self._server.close()
        await asyncio.sleep(0)


class _InstanceProtocol(asyncio.Protocol):
    def __init__(self, instance: InstanceStandin) -> None:
        self._instance = instance
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._delayed_response = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._instance.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None and not self._task.done():
            self._instance.aborted_runs += 1
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._target, self._headers, self._body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode()
        run = Run(method, self._target, self._headers, bytes(self._body))
        self._task = asyncio.create_task(self._work(run))

    async def _work(self, run: Run) -> None:
        script = self._instance.script
        self._instance.received_at.append(time.monotonic())

        def consume(name: str) -> bool:
            left = getattr(script, name)
            setattr(script, name, max(0, left - 1))
            return left > 0

        request_id = run.headers.get(b"request-id", b"")
        if run.target == b"/healthz":
            more = b"Instance-Id: %b\r\n" % self._instance.name.encode()
            if script.warm_in:
                more += b"Warmup-Remaining: %b\r\n" % script.warm_in.encode()
            self._send(200 if script.healthy else 503, b"", b"", more)
            return
        if consume("shed"):
            self._send(503, request_id, b"", b"Not-Executed: 1\r\n")
            return
        if consume("misdirect"):
            self._send(421, b"", b"", b"Instance-Id: i-other\r\n")
            return
        name = self._instance.name.encode()
        if self._instance.checks_target and run.headers.get(b"target-instance") != name:
            self._send(421, b"", b"", b"Instance-Id: %b\r\n" % name)
            return
        run.instance = self._instance.name
        run.at = time.monotonic()
        if self._instance.keeps_runs:
            self._instance.runs.append(run)
        if script.crash_path and run.target == script.crash_path:
            await self._instance.stop()
            self._reset()
            return
        if script.work_s:
            await asyncio.sleep(script.work_s)
        body = b"a" * script.answer_bytes or b"answer to " + request_id
        delayed, self._delayed_response = self._delayed_response, b""
        if delayed:
            self._transport.write(delayed)
        if consume("lose"):
            self._reset()
        elif consume("cut"):
            response = self._build_response(200, request_id, body)
            self._transport.write(response[:-4])
            self._transport.close()
        elif consume("garbage"):
            self._transport.write(b"\x00\x01not http\r\n\r\n")
        elif consume("unframed"):
            self._transport.write(self._build_response(200, request_id, body, framed=False))
            self._transport.close()
        elif consume("unframed_reset"):
            self._transport.write(self._build_response(200, request_id, body[:4], framed=False))
            await asyncio.sleep(0.02)
            self._reset()
        elif consume("unsigned"):
            self._send(200, request_id, body, signed=False)
        elif consume("no_id"):
            self._send(200, b"", body)
        elif consume("endless"):
            self._transport.write(script.endless_start)
            await self._send_endless(script)
        elif consume("endless_after_response"):
            self._send(200, request_id, body)
            await self._send_endless(script)
        elif consume("busy_after_run"):
            self._send(503, request_id, b"busy")
        elif consume("fail"):
            self._send(500, request_id, b"failed")
        else:
            self._send(200, request_id, body)
        if consume("double"):
            self._send(200, request_id, body)
        if consume("late_double"):
            self._delayed_response = self._build_response(200, request_id, body)

    async def _send_endless(self, script: Script) -> None:
        """Send pieces until the connection closes, which cancels this task."""
        piece = script.endless_piece
        if not script.endless_pause_s:
            piece *= ENDLESS_WRITE_BYTES // len(piece)
        self._transport.set_write_buffer_limits(0)
        while True:
            if not self._transport.get_write_buffer_size():
                self._transport.write(piece)
            await asyncio.sleep(script.endless_pause_s)

    def _reset(self) -> None:
        """Close the connection with RST instead of FIN."""
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    def _send(
        self,
        status: int,
        request_id: bytes,
        body: bytes,
        extra_headers: bytes = b"",
        signed: bool = True,
    ) -> None:
        self._transport.write(
            self._build_response(status, request_id, body, extra_headers, signed=signed)
        )

    def _build_response(
        self,
        status: int,
        request_id: bytes,
        body: bytes,
        extra_headers: bytes = b"",
        *,
        framed: bool = True,
        signed: bool = True,
    ) -> bytes:
        script = self._instance.script
        lines = [b"HTTP/1.1 %d Whatever\r\n" % status, extra_headers]
        if request_id:
            lines.append(b"Request-Id: %b\r\n" % request_id)
        if signed:
            lines.append(b"Response-Signature: %b\r\n" % self._instance.name.encode())
        if script.load:
            lines.append(b"Instance-Load: %b\r\n" % script.load.encode())
        if script.keep_alive:
            lines.append(b"Keep-Alive: %b\r\n" % script.keep_alive.encode())
        if script.rate_limit:
            lines.append(b"Server-Limit: %b\r\n" % script.rate_limit.encode())
        if script.leaving:
            lines.append(b"Server-Leaving: 1\r\n")
        lines.append(b"Content-Length: %d\r\n" % len(body) if framed else b"Connection: close\r\n")
        return b"".join([*lines, b"\r\n", body])
