"""HTTP/1.1 server for callers: pipelined requests run concurrently, responses keep their order.

`aiohttp.web` handles one request of a connection at a time, so this server combines the parser of
`httptools` with an `asyncio.Protocol`.
"""

from __future__ import annotations

import asyncio
import resource
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from peridottrack import log
from peridottrack.bytebudget import ByteBudget
from peridottrack.headerblock import Header, header_value, pack
from peridottrack.piecewriter import PieceWriter
from peridottrack.requestreader import CallerRequest as CallerRequest
from peridottrack.requestreader import RequestReader, RequestRefused
from peridottrack.routing import CallerLimits
from peridottrack.types import Clock

MAX_PIPELINED = 32
"""Unanswered requests of one connection from which no further ones are taken."""
MAX_PIPELINED_BYTES = 4 << 20
"""Body bytes of these requests above which no further ones are taken, to bound memory per
connection."""
CROWDED = 512
"""Requests in work in the process from which one request of a connection is taken at a time."""
READ_BYTES = 32 << 10
"""Most bytes that are read and parsed at once, so that a fast sender does not hold up the loop."""
MIN_READ_BYTES = 1 << 10
"""Most bytes that are read from a connection if many are read from."""
TURN_BYTES = 128 << 10
"""Bytes that are read from all connections in an iteration of the event loop, beside the
`MIN_READ_BYTES` of each. In chunks of one byte they cost tens of times as much time as in one
piece."""
CONNECTION_BYTES = 12 << 10
"""Memory that a connection takes without a request."""
RECEIVE_BUFFER_BYTES = 8 << 10
"""Receive buffer of a connection, which bounds what a crowd has sent and the process has not read.
Callers are on the same host, so that it need not cover a time in transit."""
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
"""Most bytes that the kernel holds in such a buffer (socket(7): it doubles the size)."""
REQUEST_BYTES = 8 << 10
"""Memory that a request in work takes beside its body and what was read of its head."""
CALLERS_SHARE = 0.75
"""Share of the descriptors of a process that callers may take; the rest is for links, instances,
the store and files."""
BACKLOG = 1024
"""Connections that wait to be accepted."""
ACCEPT_BATCH = 16
"""Connections that are accepted at a time: others may have to be closed for them first."""
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
class BufferedResponse:
    """A response whose body is complete before its first byte is sent."""

    status: int
    headers: list[Header]
    body: bytes | bytearray
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

    @property
    def unsent_bytes(self) -> int:
        """Size of the response if it waits to be sent."""
        return len(self.response.body) if self.response is not None else 0


class ReadShares:
    """Divides what is read in an iteration of the event loop among the connections.

    Other connections wait for the end of the iteration several times: to be accepted, to be read,
    and for each step of their requests.
    """

    def __init__(self) -> None:
        self._readers = 0
        self._previous_readers = 0
        self._read_bytes = 0

    def next_size(self) -> int:
        """Return how many bytes the next connection may read."""
        if not self._readers:
            asyncio.get_running_loop().call_soon(self._end_iteration)
        self._readers += 1
        share = TURN_BYTES // max(self._readers, self._previous_readers)
        return max(MIN_READ_BYTES, min(READ_BYTES, share, TURN_BYTES - self._read_bytes))

    def record(self, size: int) -> None:
        """Count bytes that were read."""
        self._read_bytes += size

    def _end_iteration(self) -> None:
        self._previous_readers, self._readers = self._readers, 0
        self._read_bytes = 0


class Ingress:
    """Listens for callers and tracks their connections.

    Parameters
    ----------
    handler
        Handles one request; must not raise.
    make_rejection
        Builds the response to invalid input from a status and a reason.
    budget
        Counts the bytes of all requests; without one they are not limited together.
    max_descriptors
        Descriptors of the process, None for the limit that the system states.

    Attributes
    ----------
    in_flight
        Number of requests that were read and are not answered yet.
    read_while_closing
        Number of requests read since `begin_close`.
    last_read_at
        Time of the node's clock, in seconds, at which the last request was read.
    body_timeout_s
        Returns the seconds from the first byte of a request within which its body must arrive.
    """

    def __init__(
        self,
        handler: Handler,
        make_rejection: MakeRejection,
        clock: Clock,
        budget: ByteBudget | None = None,
        max_descriptors: int | None = None,
    ) -> None:
        self.handler = handler
        self.make_rejection = make_rejection
        self.clock = clock
        self.budget = budget or ByteBudget(float("inf"), clock)
        self.read_shares = ReadShares()
        self._max_descriptors = max_descriptors
        self.limits = CallerLimits()
        self.body_timeout_s: Callable[[CallerRequest], float] = (
            lambda request: self.limits.idle_timeout_s
        )
        self.closing = False
        self.in_flight = 0
        self.read_while_closing = 0
        self.last_read_at = float("-inf")
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        # Accepted connections inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # The loop accepts as many connections at a time as its own backlog, which it also sets.
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=listener, backlog=ACCEPT_BATCH
        )
        listener.listen(BACKLOG)
        return int(listener.getsockname()[1])

    @property
    def full(self) -> bool:
        """Whether callers have taken their share of the descriptors."""
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if self._max_descriptors is not None:
            allowed = min(allowed, self._max_descriptors)
        return len(self.connections) > allowed * CALLERS_SHARE

    def admit(self, connection: CallerConnection) -> bool:
        """Add a connection; if there are too many, the one without progress for longest goes."""
        self.connections.add(connection)
        return not self.full or self.budget.drop_longest_stalled()

    def record_read(self) -> None:
        """Count a request that was read completely."""
        self.in_flight += 1
        self.read_while_closing += self.closing
        self.last_read_at = self.clock.now()

    def record_end(self, reserved_bytes: int) -> None:
        """Count a request as ended."""
        self.in_flight -= 1
        self.budget.release(reserved_bytes)

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


class CallerConnection(asyncio.BufferedProtocol):
    """Protocol of one caller's connection."""

    # Shared by all connections: received bytes are parsed before another one can be read.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress
        self._reader = RequestReader(lambda: ingress.limits, ingress.clock)
        self._reader.on_begin = self._start_header_timer
        self._reader.on_head = self._on_head
        self._reader.on_request = self._on_request
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_Exchange] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._rejected = False
        # Received bytes that are not parsed yet; while there are some, nothing is read.
        self._unparsed = b""
        self._offered_bytes = 0
        # Whether the kernel probably holds more.
        self._more_waits = False
        self._pending_body_bytes = 0
        self._caller = ""
        # Whether a request that ends the connection was read; what follows it is ignored.
        self._last_request_read = False
        self._closes_when_sent = False

    # -- asyncio.BufferedProtocol ------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = PieceWriter(transport)
        peer = transport.get_extra_info("peername")
        self._caller = str(peer[0]) if peer else ""
        if not self._ingress.admit(self):
            log.event("caller dropped", caller=self._caller, why="too many connections")
            transport.abort()
        budget = self._ingress.budget
        self._input = budget.open(self._drop_input)
        self._output = budget.open(self._drop_output, is_answer=True)
        self._start_idle_timer()
        self._account()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests."""
        self._cancel_timer()
        self._ingress.connections.discard(self)
        self._transport = None
        self._writer.discard()
        self._reader.close()
        self._unparsed = b""
        self._ingress.budget.close(self._input)
        self._ingress.budget.close(self._output)
        self._cancel_exchanges()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        self._offered_bytes = self._ingress.read_shares.next_size()
        return self._read_buffer[: self._offered_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        self._ingress.read_shares.record(nbytes)
        self._more_waits = nbytes == self._offered_bytes
        self._parse(self._read_buffer[:nbytes])

    def pause_writing(self) -> None:
        """Stop sending responses until the caller reads."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Send the responses that are ready."""
        self._writer.resume()
        self._account(sent=True)
        if self._writer.unsent_bytes or self._transport is None:
            return
        if self._closes_when_sent:
            self._finish()
        else:
            self._flush()

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        if self._writer.unsent_bytes:
            self._closes_when_sent = True
        elif self._transport is not None:
            self._transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled, and all responses are sent."""
        return not (self._exchanges or self._reader.in_progress or self._writer.unsent_bytes)

    # -- reading -----------------------------------------------------------------------

    @property
    def _ignores_input(self) -> bool:
        return self._rejected or self._last_request_read or self._transport is None

    def _parse(self, data: memoryview) -> None:
        position = 0
        while position < len(data) and not self._ignores_input:
            if self._at_limit:
                # The end of the connection is noticed until the caller sends more than it may.
                self._unparsed = bytes(data[position:])
                break
            try:
                position += self._reader.feed(data[position:])
            except RequestRefused as refusal:
                self._reject(refusal.status, str(refusal))
        self._update_transport()
        self._account(received=True)

    @property
    def _at_limit(self) -> bool:
        pipelined = MAX_PIPELINED if self._ingress.in_flight < CROWDED else 1
        return len(self._exchanges) >= pipelined or self._pending_body_bytes > MAX_PIPELINED_BYTES

    def _update_reading(self) -> None:
        """Parse what was held back, as far as the limits allow."""
        if self._unparsed and not self._ignores_input and not self._at_limit:
            data, self._unparsed = self._unparsed, b""
            self._parse(memoryview(data))

    def _update_transport(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._unparsed:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _on_head(self, request: CallerRequest) -> None:
        """Wait for the body, and send 100 Continue if the caller expects it."""
        elapsed_s = self._ingress.clock.now() - request.received_at
        self._start_timer(self._ingress.body_timeout_s(request) - elapsed_s, self._on_body_timeout)
        expect = header_value(request.headers, b"expect")
        # While earlier requests are pending, an interim response would precede their responses.
        if expect is not None and expect.lower() == b"100-continue" and not self._exchanges:
            self._writer.write(CONTINUE)

    def _on_request(self, request: CallerRequest, last: bool) -> None:
        """Start handling a request."""
        self._cancel_timer()
        if self._last_request_read:
            # It arrived in one piece with the last request.
            return
        self._last_request_read = last = self._ingress.closing or last
        body_bytes = len(request.body)
        reserved = REQUEST_BYTES + request.held_bytes
        if not self._ingress.budget.keep(self._input, reserved, CONNECTION_BYTES):
            raise RequestRefused(503, "the node holds too many requests")
        exchange = _Exchange(request.method == "HEAD", last, body_bytes)
        self._pending_body_bytes += body_bytes
        self._exchanges.append(exchange)
        self._ingress.record_read()
        exchange.task = asyncio.create_task(self._handle(exchange, request))
        exchange.task.add_done_callback(lambda _: self._ingress.record_end(reserved))

    # -- bytes that are held -----------------------------------------------------------

    def _account(self, received: bool = False, sent: bool = False) -> None:
        """Report the bytes that are held for this connection; this may drop it."""
        if self._transport is None:
            return
        budget = self._ingress.budget
        unsent = sum(exchange.unsent_bytes for exchange in self._exchanges)
        budget.update(self._output, unsent + self._writer.unsent_bytes, sent)
        # A connection with requests in work alone is not given up.
        self._input.droppable = self._reader.in_progress or self.idle
        held = CONNECTION_BYTES + self._reader.held_bytes + len(self._unparsed)
        if self._unparsed or self._more_waits:
            held += UNREAD_BYTES
        budget.update(self._input, held, received)

    def _drop_input(self) -> None:
        """Give up a request that is being read, or an idle connection."""
        if self._reader.in_progress and not self._rejected:
            self._reject(503, "the node holds too many bytes of requests")
        else:
            self.close()

    def _drop_output(self) -> None:
        """Give up a caller that does not read its answers."""
        log.event("caller dropped", caller=self._caller, why="it does not read its answers")
        if self._transport is not None:
            self._transport.abort()

    # -- responses ---------------------------------------------------------------------

    async def _handle(self, exchange: _Exchange, request: CallerRequest) -> None:
        exchange.response = await self._ingress.handler(request)
        self._flush()

    def _reject(self, status: int, reason: str) -> None:
        """Answer invalid input after all earlier responses, and stop parsing."""
        self._rejected = True
        self._reader.discard()
        self._unparsed = b""
        self._cancel_timer()
        log.event("input refused", caller=self._caller, status=status, reason=reason)
        exchange = _Exchange(False, True, 0)
        exchange.response = self._ingress.make_rejection(status, reason)
        self._exchanges.append(exchange)
        self._update_transport()
        self._flush()

    def _flush(self) -> None:
        while self._transport is not None and self._exchanges and not self._writer.unsent_bytes:
            exchange = self._exchanges[0]
            if exchange.response is None:
                break
            self._exchanges.popleft()
            self._pending_body_bytes -= exchange.body_bytes
            self._write(exchange, exchange.response)
        if self._transport is None:
            return
        self._update_reading()
        if not self._exchanges and not self._reader.in_progress and not self._rejected:
            self._start_idle_timer()
        self._account()

    def _write(self, exchange: _Exchange, response: BufferedResponse) -> None:
        # Pipelined requests behind this one may already run, so they are answered before closing.
        wants_close = response.close or self._ingress.closing
        reading = self._reader.in_progress or bool(self._unparsed)
        close = exchange.last or (wants_close and not self._exchanges and not reading)
        bodiless = exchange.bodiless or response.status in BODILESS_STATUSES
        reason = REASON_BY_STATUS.get(response.status, b"Unknown")
        parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason), pack(response.headers)]
        if response.status not in BODILESS_STATUSES:
            parts.append(b"Content-Length: %d\r\n" % len(response.body))
        parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        small = len(response.body) <= READ_BYTES
        if small and not bodiless:
            parts.append(bytes(response.body))
        self._writer.write(b"".join(parts))
        if not small and not bodiless:
            self._writer.write(response.body)
        if close:
            self._close_after_last()

    def _cancel_exchanges(self) -> None:
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
                # The task keeps the traceback of its cancellation, which refers to the exchange.
                exchange.task = None
        self._exchanges.clear()

    def _close_after_last(self) -> None:
        """Cancel the requests behind the last response and close the connection."""
        self._cancel_exchanges()
        if self._writer.unsent_bytes:
            self._closes_when_sent = True
            self._start_idle_timer()
        else:
            self._finish()

    def _finish(self) -> None:
        """Close the connection, since the last response is sent.

        After a rejection it is closed for writing only, until `LINGER_S` have passed.
        """
        assert self._transport is not None
        if self._rejected and not self._ingress.full:
            self._transport.write_eof()
            self._start_timer(LINGER_S, self.close)
        else:
            self._transport.close()
            self._transport = None

    # -- timeouts ----------------------------------------------------------------------

    def _start_idle_timer(self) -> None:
        self._start_timer(
            self._ingress.limits.idle_timeout_s + IDLE_MARGIN_S, self._on_idle_timeout
        )

    def _on_idle_timeout(self) -> None:
        if self.idle:
            self.close()
        elif not self._exchanges and not self._reader.in_progress:
            self._drop_output()

    def _start_header_timer(self) -> None:
        self._start_timer(self._ingress.limits.header_timeout_s, self._on_header_timeout)

    def _on_header_timeout(self) -> None:
        if self._unparsed:
            # The rest has been held back here.
            self._start_header_timer()
        elif self._reader.in_progress:
            self._reject(408, "the headers came too slowly")

    def _on_body_timeout(self) -> None:
        if self._reader.in_progress:
            self._reject(408, "the body came too slowly")

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(max(0.0, delay_s), callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
