"""HTTP/1.1 server for callers: pipelined requests run concurrently, responses keep their order.

`aiohttp.web` handles one request of a connection at a time, so this server combines the parser of
`httptools` with an `asyncio.Protocol`.
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
"""Unanswered requests of one connection at which reading pauses."""
MAX_PIPELINED_BYTES = 4 << 20
"""Body bytes of these requests above which reading pauses, to bound memory per connection."""
IDLE_MARGIN_S = 2.0
"""How much longer than the document's idle timeout an idle connection is kept.

Callers may reuse a connection until the timeout; closing it then would race with their request.
"""
LINGER_S = 0.5
"""How long input of a rejected caller is still read and discarded.

Closing at once can reset the connection before the caller has read the response.
"""
STEPS_TO_CONNECTION = 4
"""Iterations of the event loop in which an accepted connection reaches its protocol."""

REASON_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller.

    Parameters
    ----------
    target
        Path and query as sent.
    received_at
        Time of the node's clock, in seconds, at which its first byte was read.
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
    """A response whose body is complete before its first byte is sent."""

    status: int
    headers: list[Header]
    body: bytes
    close: bool = False


Handler = Callable[[CallerRequest], Coroutine[Any, Any, BufferedResponse]]
MakeRejection = Callable[[int, str], BufferedResponse]


class _Exchange:
    """A request and its response, queued in the order of a connection.

    Parameters
    ----------
    bodiless
        Whether the response has no body because the method is HEAD.
    last
        Whether the connection is closed after this response.
    """

    __slots__ = ("bodiless", "body_bytes", "last", "response", "task")

    def __init__(self, bodiless: bool, last: bool, body_bytes: int) -> None:
        self.bodiless = bodiless
        self.last = last
        self.body_bytes = body_bytes
        self.response: BufferedResponse | None = None
        self.task: asyncio.Task[None] | None = None


class Ingress:
    """Listens for callers and tracks their connections.

    Parameters
    ----------
    handler
        Handles one request; must not raise.
    make_rejection
        Builds the response to invalid input from a status and a reason.

    Attributes
    ----------
    in_flight
        Number of requests that were read and are not answered yet.
    read_while_closing
        Number of requests read since `begin_close`.
    last_read_at
        Time of the node's clock, in seconds, at which the last request was read.
    """

    def __init__(self, handler: Handler, make_rejection: MakeRejection, clock: Clock) -> None:
        self.handler = handler
        self.make_rejection = make_rejection
        self.clock = clock
        self.limits = CallerLimits()
        self.closing = False
        self.in_flight = 0
        self.read_while_closing = 0
        self.last_read_at = float("-inf")
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )
        return int(self._server.sockets[0].getsockname()[1])

    def record_read(self) -> None:
        """Count a request that was read completely."""
        self.in_flight += 1
        self.read_while_closing += self.closing
        self.last_read_at = self.clock.now()

    def begin_close(self) -> None:
        """From now on, close a connection with the response to its last pending request.

        Idle connections stay open until their next request or `close_idle`.
        """
        self.closing = True

    async def stop_accepting(self) -> None:
        """Stop accepting connections, and wait until those accepted before are known."""
        if self._server is not None:
            self._server.close()
        for _ in range(STEPS_TO_CONNECTION):
            await asyncio.sleep(0)

    def close_idle(self) -> bool:
        """Close the connections that are idle by now; return whether none is left.

        A connection is left until all bytes of its last response are sent.
        """
        for connection in list(self.connections):
            if connection.idle:
                connection.close()
        return not self.connections

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
        await asyncio.sleep(0)


class CallerConnection(asyncio.Protocol):
    """Protocol of one caller's connection."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_Exchange] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._reading = False
        self._rejected = False
        self._paused = False
        self._writable = True
        self._pending_body_bytes = 0
        self._caller = ""
        # Whether a request that ends the connection was read; what follows it is ignored.
        self._last_request_read = False
        self._start_message()

    # -- asyncio.Protocol --------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._caller = str(peer[0]) if peer else ""
        self._ingress.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests."""
        self._cancel_timer()
        self._ingress.connections.discard(self)
        self._transport = None
        for exchange in self._exchanges:
            if exchange.task is not None and exchange.response is None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._rejected:
            return
        if not self._reading:
            self._reading = True
            self._received_at = self._ingress.clock.now()
            self._start_header_timer()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # A server may ignore the Upgrade header (RFC 9110, section 7.8).
            self._parser = httptools.HttpRequestParser(self)
            remainder = data[upgrade.args[0] :]
            if remainder:
                self.data_received(remainder)
        except httptools.HttpParserError as error:
            self._reject(self._error_status, self._error_reason or f"malformed request: {error}")

    def pause_writing(self) -> None:
        """Stop sending responses until the caller reads."""
        self._writable = False

    def resume_writing(self) -> None:
        """Send the responses that are ready."""
        self._writable = True
        self._flush()

    def close(self) -> None:
        """Close the connection once its write buffer is sent."""
        if self._transport is not None:
            self._transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled."""
        return not self._exchanges and not self._reading

    # -- parser callbacks --------------------------------------------------------------

    def _start_message(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._error_reason = ""
        self._error_status = 400

    def on_message_begin(self) -> None:
        """Reset the state of the request being parsed."""
        self._start_message()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._ingress.limits.header_bytes:
            self._fail(431, "headers are larger than the limit")

    def on_headers_complete(self) -> None:
        """Validate the headers that frame the request and send 100 Continue if expected."""
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
        # While earlier requests are pending, an interim response would precede their responses.
        if expect is not None and expect.lower() == b"100-continue" and not self._exchanges:
            assert self._transport is not None
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._ingress.limits.body_bytes:
            self._fail(413, "the body is larger than the limit")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Start handling the request."""
        self._reading = False
        if self._last_request_read:
            return
        method = self._parser.get_method().decode("latin-1")
        last = self._ingress.closing or not self._parser.should_keep_alive()
        self._last_request_read = last
        request = CallerRequest(
            method, self._target, self._headers, b"".join(self._body), self._received_at
        )
        # A pipelined request may follow in the same data; it counts as received now.
        self._received_at = self._ingress.clock.now()
        exchange = _Exchange(method == "HEAD", last, self._body_bytes)
        self._pending_body_bytes += self._body_bytes
        self._exchanges.append(exchange)
        self._ingress.record_read()
        exchange.task = asyncio.create_task(self._handle(exchange, request))
        self._update_reading()

    def _fail(self, status: int, reason: str) -> None:
        self._error_status, self._error_reason = status, reason
        raise ValueError(reason)

    # -- responses ---------------------------------------------------------------------

    async def _handle(self, exchange: _Exchange, request: CallerRequest) -> None:
        try:
            exchange.response = await self._ingress.handler(request)
        finally:
            self._ingress.in_flight -= 1
        self._flush()

    def _reject(self, status: int, reason: str) -> None:
        """Answer invalid input after all earlier responses, and stop parsing."""
        self._rejected = True
        self._reading = False
        self._cancel_timer()
        log.event("input refused", caller=self._caller, status=status, reason=reason)
        exchange = _Exchange(False, True, 0)
        exchange.response = self._ingress.make_rejection(status, reason)
        self._exchanges.append(exchange)
        self._flush()

    def _flush(self) -> None:
        while self._transport is not None and self._exchanges and self._writable:
            exchange = self._exchanges[0]
            if exchange.response is None:
                break
            self._exchanges.popleft()
            self._pending_body_bytes -= exchange.body_bytes
            self._write(exchange, exchange.response)
        if self._transport is None:
            return
        self._update_reading()
        if self.idle and not self._rejected:
            self._start_idle_timer()

    def _write(self, exchange: _Exchange, response: BufferedResponse) -> None:
        assert self._transport is not None
        # Pipelined requests behind this one may already run, so they are answered before closing.
        wants_close = response.close or self._ingress.closing
        close = exchange.last or (wants_close and not self._exchanges and not self._reading)
        bodiless = exchange.bodiless or response.status in BODILESS_STATUSES
        reason = REASON_BY_STATUS.get(response.status, b"Unknown")
        parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason), pack(response.headers)]
        if response.status not in BODILESS_STATUSES:
            parts.append(b"Content-Length: %d\r\n" % len(response.body))
        parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        if not bodiless:
            parts.append(response.body)
        self._transport.write(b"".join(parts))
        if close:
            self._close_after_last()

    def _close_after_last(self) -> None:
        """Cancel the requests behind the last response and close the connection.

        After a rejection it is closed for writing only, until `LINGER_S` have passed.
        """
        assert self._transport is not None
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        if self._rejected:
            self._transport.write_eof()
            self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.close)
        else:
            self._transport.close()
            self._transport = None

    # -- flow control and timeouts -----------------------------------------------------

    def _update_reading(self) -> None:
        if self._transport is None or self._rejected:
            return
        at_limit = (
            len(self._exchanges) >= MAX_PIPELINED or self._pending_body_bytes > MAX_PIPELINED_BYTES
        )
        if at_limit and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        elif self._paused and not at_limit:
            self._paused = False
            self._transport.resume_reading()

    def _start_idle_timer(self) -> None:
        self._start_timer(
            self._ingress.limits.idle_timeout_s + IDLE_MARGIN_S, self._on_idle_timeout
        )

    def _on_idle_timeout(self) -> None:
        if self.idle:
            self.close()

    def _start_header_timer(self) -> None:
        self._start_timer(self._ingress.limits.header_timeout_s, self._on_header_timeout)

    def _on_header_timeout(self) -> None:
        if self._reading:
            self._reject(408, "the headers came too slowly")

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
