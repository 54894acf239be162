"""The callers' side: HTTP/1.1 with pipelining, answered in order while worked on at once.

`aiohttp.web` takes one request of a connection at a time, so this side uses the parser of
`httptools` with the protocol classes of `asyncio`.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httptools

from peridottrack import log
from peridottrack.headerblock import Header, header_value, pack
from peridottrack.routing import CallerLimits
from peridottrack.types import Clock

MAX_PIPELINED = 32
"""Requests of one connection that are read before the first of them is answered."""
MAX_PIPELINED_BYTES = 4 << 20
"""Body bytes of such requests, so that one connection cannot take the node's memory."""
IDLE_MARGIN_S = 2.0
"""How much longer than the document's idle limit a connection is kept: callers reuse until it."""
LINGER_S = 0.5
"""How long what a refused caller still sends is read, so that it sees the answer."""

REASON_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class CallerRequest:
    """One whole request of a caller.

    Parameters
    ----------
    target
        Path and query as sent.
    received_at
        Seconds of the node's clock at which its first byte was read.
    """

    method: str
    target: bytes
    headers: list[Header]
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class BufferedResponse:
    """An answer, complete before its first byte is sent."""

    status: int
    headers: list[Header]
    body: bytes
    close: bool = False


Handler = Callable[[CallerRequest], Coroutine[Any, Any, BufferedResponse]]
MakeRejection = Callable[[int, str], BufferedResponse]


class _Exchange:
    """A request's place in its connection's order."""

    __slots__ = ("answer", "bodiless", "last", "size", "task")

    def __init__(self, bodiless: bool, last: bool, size: int) -> None:
        self.bodiless = bodiless
        self.last = last
        self.size = size
        self.answer: BufferedResponse | None = None
        self.task: asyncio.Task[None] | None = None


class Ingress:
    """Listens for callers and keeps their connections.

    Parameters
    ----------
    handler
        Answers one request; never raises.
    make_rejection
        Makes the answer to input that is no valid request, from status and reason.
    """

    def __init__(self, handler: Handler, refusal: MakeRejection, clock: Clock) -> None:
        self.handler = handler
        self.make_rejection = refusal
        self.clock = clock
        self.limits = CallerLimits()
        self.closing = False
        self.in_flight = 0
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )
        return int(self._server.sockets[0].getsockname()[1])

    def begin_close(self) -> None:
        """Ask callers to leave: from now on each answer ends its connection."""
        self.closing = True

    def close_idle(self) -> None:
        """Accept no more connections and close those on which nothing is asked."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.idle:
                connection.abort()

    async def stop(self) -> None:
        """Close the listener and what is left of the connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)


class CallerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_Exchange] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._reading = False
        self._refused = False
        self._paused = False
        self._writable = True
        self._held_bytes = 0
        self._caller = ""
        # Set by a request after which the connection closes; what follows it is not read.
        self._last_seen = False
        self._start_message()

    # -- asyncio.Protocol --------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._caller = str(peer[0]) if peer else ""
        self._ingress.connections.add(self)
        self._arm_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up everything that the caller still waited for."""
        self._cancel_timer()
        self._ingress.connections.discard(self)
        self._transport = None
        for exchange in self._exchanges:
            if exchange.task is not None and exchange.answer is None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._refused:
            return
        if not self._reading:
            self._reading = True
            self._read_at = self._ingress.clock.now()
            self._arm_header()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # An offer to change the protocol may be ignored (RFC 9110, section 7.8).
            self._parser = httptools.HttpRequestParser(self)
            rest = data[upgrade.args[0] :]
            if rest:
                self.data_received(rest)
        except httptools.HttpParserError as error:
            self._refuse(self._fault_status, self._fault or f"malformed request: {error}")

    def pause_writing(self) -> None:
        """Hold answers back until the caller reads."""
        self._writable = False

    def resume_writing(self) -> None:
        """Go on with answers."""
        self._writable = True
        self._flush()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._exchanges and not self._reading

    # -- parser callbacks --------------------------------------------------------------

    def _start_message(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._fault = ""
        self._fault_status = 400

    def on_message_begin(self) -> None:
        """Start a request."""
        self._start_message()

    def on_url(self, url: bytes) -> None:
        """Take in a piece of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._ingress.limits.header_bytes:
            self._fail(431, "headers are larger than the limit")

    def on_headers_complete(self) -> None:
        """Check what frames the request."""
        self._cancel_timer()
        names = [key.lower() for key, _ in self._headers]
        if names.count(b"host") != 1:
            self._fail(400, "exactly one Host header is required")
        if names.count(b"content-length") > 1:
            self._fail(400, "more than one Content-Length")
        if b"content-length" in names and b"transfer-encoding" in names:
            self._fail(400, "both Content-Length and Transfer-Encoding")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            self._fail(400, "HTTP/1.1 is required")
        length = header_value(self._headers, b"content-length")
        if length is not None and int(length) > self._ingress.limits.body_bytes:
            self._fail(413, "the body is larger than the limit")
        expect = header_value(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue" and not self._exchanges:
            assert self._transport is not None
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take in a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._ingress.limits.body_bytes:
            self._fail(413, "the body is larger than the limit")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Begin to work on the request."""
        self._reading = False
        if self._last_seen:
            return
        method = self._parser.get_method().decode("latin-1")
        last = self._ingress.closing or not self._parser.should_keep_alive()
        self._last_seen = last
        request = CallerRequest(
            method, self._target, self._headers, b"".join(self._body), self._read_at
        )
        self._read_at = self._ingress.clock.now()
        exchange = _Exchange(method == "HEAD", last, self._body_bytes)
        self._held_bytes += self._body_bytes
        self._exchanges.append(exchange)
        self._ingress.in_flight += 1
        exchange.task = asyncio.create_task(self._work(exchange, request))
        self._balance_reading()

    def _fail(self, status: int, reason: str) -> None:
        self._fault_status, self._fault = status, reason
        raise ValueError(reason)

    # -- answers -----------------------------------------------------------------------

    async def _work(self, exchange: _Exchange, request: CallerRequest) -> None:
        try:
            exchange.answer = await self._ingress.handler(request)
        finally:
            self._ingress.in_flight -= 1
        self._flush()

    def _refuse(self, status: int, reason: str) -> None:
        """Answer input that is no request, after all earlier answers, and stop reading."""
        self._refused = True
        self._reading = False
        self._cancel_timer()
        log.event("input refused", caller=self._caller, status=status, reason=reason)
        exchange = _Exchange(False, True, 0)
        exchange.answer = self._ingress.make_rejection(status, reason)
        self._exchanges.append(exchange)
        self._flush()

    def _flush(self) -> None:
        while self._transport is not None and self._exchanges and self._writable:
            exchange = self._exchanges[0]
            if exchange.answer is None:
                break
            self._exchanges.popleft()
            self._held_bytes -= exchange.size
            self._write(exchange, exchange.answer)
        if self._transport is None:
            return
        self._balance_reading()
        if self.idle and not self._refused:
            self._arm_idle()

    def _write(self, exchange: _Exchange, answer: BufferedResponse) -> None:
        assert self._transport is not None
        # Requests behind this one may be at work already, so they are answered first.
        leaving = answer.close or self._ingress.closing
        close = exchange.last or (leaving and not self._exchanges and not self._reading)
        bodiless = exchange.bodiless or answer.status in BODILESS_STATUSES
        reason = REASON_BY_STATUS.get(answer.status, b"Unknown")
        parts = [b"HTTP/1.1 %d %b\r\n" % (answer.status, reason), pack(answer.headers)]
        if answer.status not in BODILESS_STATUSES:
            parts.append(b"Content-Length: %d\r\n" % len(answer.body))
        parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        if not bodiless:
            parts.append(answer.body)
        self._transport.write(b"".join(parts))
        if close:
            self._finish()

    def _finish(self) -> None:
        """Close after the last answer; what was sent behind it was not read."""
        assert self._transport is not None
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        if self._refused:
            self._transport.write_eof()
            self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)
        else:
            self._transport.close()
            self._transport = None

    # -- pacing ------------------------------------------------------------------------

    def _balance_reading(self) -> None:
        if self._transport is None or self._refused:
            return
        full = len(self._exchanges) >= MAX_PIPELINED or self._held_bytes > MAX_PIPELINED_BYTES
        if full and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        elif self._paused and not full:
            self._paused = False
            self._transport.resume_reading()

    def _arm_idle(self) -> None:
        self._arm(self._ingress.limits.idle_timeout_s + IDLE_MARGIN_S, self._idle_over)

    def _idle_over(self) -> None:
        if self.idle:
            self.abort()

    def _arm_header(self) -> None:
        self._arm(self._ingress.limits.header_timeout_s, self._header_over)

    def _header_over(self) -> None:
        if self._reading:
            self._refuse(408, "the headers came too slowly")

    def _arm(self, delay_s: float, call: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
