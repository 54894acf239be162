"""HTTP connections of a gate to the local instance, with one request at a time on each.

A connection is reused only after one complete response to the request that was sent on it, with no
bytes left over. `aiohttp`'s client takes bytes that arrive between two requests for the start of
the next response, so this module uses the parser of `httptools`, as `peridottrack.ingress` does.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass

import httptools

from peridottrack.exceptions import BrokeOff, InvalidStatus, NotConnected, ResponseTooLarge
from peridottrack.headerblock import Header, header_value
from peridottrack.httpstatus import is_final, is_interim
from peridottrack.piecewriter import PIECE_BYTES, PieceWriter
from peridottrack.types import Clock, Endpoint

CONNECT_TIMEOUT_S = 1.0
"""The instance is on the same host: a longer wait means that its accept queue is full."""
IDLE_LIMIT_S = 8.0
"""How long an idle connection is kept if the instance does not announce a timeout."""
IDLE_MARGIN = 0.8
"""Share of the instance's Keep-Alive timeout after which a connection is not reused."""
MAX_TIMEOUT_DIGITS = 9
"""Most digits of the instance's Keep-Alive timeout; a longer number is not taken for one."""
MAX_IDLE_AT_MOST_ONCE_S = 1.0
"""A connection idle for longer is not used for a request that may run at most once."""
READ_BYTES = 32 << 10
"""Most bytes that are read and parsed at once, so that a fast sender does not hold up the loop."""
RECEIVE_BUFFER_BYTES = 64 << 10
"""Receive buffer of a connection to an instance on the same host, for the same reason as that of a
link (`peridottrack.frameconnection`)."""
MAX_OVERHEAD_BYTES = 32 << 10
"""Most bytes of one exchange beside bodies: heads, interim responses, chunk framing, trailers."""
OVERHEAD_SHARE = 1 / 8
"""Share of the body's size that these bytes may take in addition, since long bodies have more
chunks; that of very small chunks is larger, as each of them costs processor time."""
MAX_RESPONSE_BYTES = 16 << 20
"""Largest response body: a node holds several copies while it passes one on, and a process may have
as little as 200 MB."""
MAX_BUFFERED_BYTES = 32 << 20
"""Most body bytes of all incomplete responses of an instance, for the same reason."""
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class UpstreamResponse:
    """One complete response of an instance.

    Parameters
    ----------
    new_connection
        Whether the request was the first on its connection, so that no earlier response can be
        on it.
    """

    status: int
    headers: list[Header]
    body: bytes | bytearray
    new_connection: bool


class InstanceConnection(asyncio.BufferedProtocol):
    """One connection to an instance."""

    # Shared by all connections: received bytes are parsed before another one can be read.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, clock: Clock, buffered: BufferedBodies) -> None:
        self._clock = clock
        self._buffered = buffered
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[UpstreamResponse] | None = None
        self._expected_id = b""
        self._head_only = False
        self._id_header = b""
        self.requests = 0
        self.usable = True
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_LIMIT_S
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        # Not a list of pieces, since each piece would take some 40 bytes more.
        self._body = bytearray()
        self._body_bytes = 0
        self._received_bytes = 0
        self._headers_done = False
        self._is_complete = False
        self._framed = False

    @property
    def is_unanswered(self) -> bool:
        """Whether the instance has not sent a byte on this connection, which had one request."""
        return self.requests == 1 and self._received_bytes == 0

    # -- asyncio.BufferedProtocol ------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = PieceWriter(transport)

    def pause_writing(self) -> None:
        """Send nothing until the instance reads."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Send more of the request."""
        self._writer.resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; close the connection if they belong to no request."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._received_bytes += nbytes
        try:
            self._parser.feed_data(self._read_buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(BrokeOff(f"the answer is malformed: {error}"))
            return
        if not self._is_complete:
            self._check_limits()

    def _check_limits(self) -> None:
        overhead_bytes = self._received_bytes - self._body_bytes
        if overhead_bytes > MAX_OVERHEAD_BYTES + OVERHEAD_SHARE * self._body_bytes:
            self.reject("head or chunk framing exceeds the limit")
        elif self._body_bytes > MAX_RESPONSE_BYTES:
            self.reject("the body exceeds the limit")
        else:
            self._buffered.update(self, len(self._body))

    def eof_received(self) -> bool:
        """Treat the end of the stream as the end of a response without a length."""
        if self._waiter is not None and self._headers_done and not self._framed:
            self.usable = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is in progress."""
        self.usable = False
        self._transport = None
        self._fail(BrokeOff(f"the connection ended: {exc or 'closed by the instance'}"))
        # It refers back to this connection, whose memory is to be freed at once.
        del self._parser

    # -- parser callbacks --------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Stop parsing if a second response follows a complete one."""
        if self._is_complete:
            raise ValueError("bytes follow the response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which the parser reports as headers too, are ignored."""
        if not self._is_complete and not self._headers_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine what marks the end of the body."""
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if is_interim(status):
            self._headers = []
            return
        if not is_final(status):
            self._fail(InvalidStatus(f"{status:03} is no status of HTTP"))
            raise ValueError("the response is rejected")
        self._headers_done = True
        names = {key.lower() for key, _ in self._headers}
        coding = (header_value(self._headers, b"transfer-encoding") or b"").lower()
        bodiless = status in BODILESS_STATUSES
        # Otherwise only the end of the stream marks the end of the body.
        self._framed = b"content-length" in names or coding.endswith(b"chunked") or bodiless
        if self._head_only:
            self.usable = False
            self._complete()
            return
        length = header_value(self._headers, b"content-length") or b""
        if not bodiless and length.isdigit() and int(length) > MAX_RESPONSE_BYTES:
            self.reject("the declared length exceeds the limit")
            raise ValueError("the response is rejected")

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body."""
        if self._is_complete:
            return
        self._body_bytes += len(body)
        self._body += body

    def on_message_complete(self) -> None:
        """Complete the exchange if this is its response."""
        if self._headers_done and not self._is_complete:
            self._complete()

    # -- exchanges ---------------------------------------------------------------------

    async def exchange(
        self,
        data: bytes,
        request_id: bytes,
        id_header: bytes,
        head_only: bool,
        body: bytes | bytearray = b"",
    ) -> UpstreamResponse:
        """Send one request and wait for its response.

        Parameters
        ----------
        data
            The head of the request.

        Raises
        ------
        BrokeOff
            If no complete response arrived; the request may have run.
        InvalidStatus
            If the response has no status of HTTP; the request may have run.
        ResponseTooLarge
            If the response exceeded a limit before its end; the request may have run.
        """
        if self._transport is None or self._transport.is_closing():
            raise NotConnected("the connection is closed")
        self._expected_id, self._id_header, self._head_only = request_id, id_header, head_only
        self._reset_parser()
        self._waiter = asyncio.get_running_loop().create_future()
        self.requests += 1
        if len(body) <= PIECE_BYTES:
            self._writer.write(data + body)
        else:
            self._writer.write(data)
            self._writer.write(body)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            # The instance drops a request when its connection closes.
            self.abort()
            raise
        finally:
            self._drop_body()
            self._waiter = None
            self.idle_since = self._clock.now()

    def _drop_body(self) -> None:
        self._body = bytearray()
        self._buffered.remove(self)

    def _complete(self) -> None:
        headers = self._headers
        echoed_id = header_value(headers, self._id_header)
        if echoed_id is not None and echoed_id != self._expected_id:
            # A second response to an earlier request: the expected one may still arrive.
            self.usable = False
            self._headers = []
            self._drop_body()
            self._headers_done = False
            if not self._framed:
                self._fail(BrokeOff("an answer to another request ended the connection"))
            return
        self._is_complete = True
        connection = (header_value(headers, b"connection") or b"").lower()
        if b"close" in connection or not self._framed or not self._parser.should_keep_alive():
            self.usable = False
        if self._transport is not None and self._writer.unsent_bytes:
            self.usable = False
        self._apply_keep_alive(header_value(headers, b"keep-alive"))
        if self._waiter is not None and not self._waiter.done():
            status = self._parser.get_status_code()
            self._waiter.set_result(
                UpstreamResponse(status, headers, self._body, self.requests == 1)
            )

    def _apply_keep_alive(self, value: bytes | None) -> None:
        for part in (value or b"").split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit() and len(number) <= MAX_TIMEOUT_DIGITS:
                self.idle_limit_s = int(number) * IDLE_MARGIN

    def reject(self, reason: str) -> None:
        """Fail the exchange in progress because its response exceeds a limit."""
        self._fail(ResponseTooLarge(reason))

    def _fail(self, error: BrokeOff | InvalidStatus | ResponseTooLarge) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
        self._drop_body()
        # An instance that reads nothing would keep a connection open that has bytes to send.
        self.abort()

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        if self._transport is not None:
            self._writer.discard()
            self._transport.close()

    def abort(self) -> None:
        """Close the connection and discard what is not sent yet."""
        self.usable = False
        if self._transport is not None:
            self._writer.discard()
            self._transport.abort()


class BufferedBodies:
    """Limits the body bytes that the incomplete responses of an instance take together."""

    def __init__(self) -> None:
        self._bytes_by_connection: dict[InstanceConnection, int] = {}
        self._bytes = 0

    def update(self, connection: InstanceConnection, size: int) -> None:
        """Set the bytes of a connection; beyond the limit, reject the largest responses.

        A response without an end outgrows the others, so the others can be completed.
        """
        by_connection = self._bytes_by_connection
        self._bytes += size - by_connection.get(connection, 0)
        by_connection[connection] = size
        while self._bytes > MAX_BUFFERED_BYTES:
            largest = max(by_connection, key=by_connection.__getitem__)
            largest.reject("the responses of the instance together exceed the limit")

    def remove(self, connection: InstanceConnection) -> None:
        """Discount the bytes of a connection."""
        self._bytes -= self._bytes_by_connection.pop(connection, 0)


class ConnectionPool:
    """The idle connections to one instance; the most recently used is reused first."""

    def __init__(self, endpoint: Endpoint, clock: Clock) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._idle: deque[InstanceConnection] = deque()
        self._buffered = BufferedBodies()

    async def acquire(self, at_most_once: bool) -> InstanceConnection:
        """Return a connection without a request in progress.

        Parameters
        ----------
        at_most_once
            Whether the request may run at most once. A connection that the instance may be
            closing at this moment is then not reused.

        Raises
        ------
        NotConnected
            If the instance accepts no connection.
        """
        self._drop_stale()
        if self._idle:
            newest = self._idle[-1]
            if not at_most_once or self._clock.now() - newest.idle_since < MAX_IDLE_AT_MOST_ONCE_S:
                return self._idle.pop()
        return await self._connect()

    async def connect(self) -> InstanceConnection:
        """Open a new connection."""
        return await self._connect()

    def release(self, connection: InstanceConnection) -> None:
        """Return a connection to the pool after an exchange."""
        if connection.usable:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _drop_stale(self) -> None:
        now = self._clock.now()
        kept: deque[InstanceConnection] = deque()
        for connection in self._idle:
            if connection.usable and now - connection.idle_since < connection.idle_limit_s:
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    async def _connect(self) -> InstanceConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, connection = await loop.create_connection(
                    lambda: InstanceConnection(self._clock, self._buffered),
                    self._endpoint.host,
                    self._endpoint.port,
                )
        except (OSError, TimeoutError) as error:
            raise NotConnected(f"{self._endpoint}: {error!r}") from error
        opened = transport.get_extra_info("socket")
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return connection
