"""HTTP server for callers: runs each request through the filter chain and sends the response."""

from __future__ import annotations

import asyncio
import re
import secrets
import select
import socket
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from peridottrack import log
from peridottrack.call import REQUEST_ID_HEADER, Call, Proceed, Response
from peridottrack.controllers.drain import DrainController
from peridottrack.errors import ErrorKind, problem
from peridottrack.exceptions import RequestError
from peridottrack.metrics import Metrics
from peridottrack.types import Clock, Endpoint, RequestId

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
# How long an idle connection is kept.
KEEPALIVE_S = 30.0
# How long the body of a rejected request is still read: closing at once can reset the connection
# before the caller has read the response.
LINGER_S = 2.0
# Limit of the request line and of each header.
MAX_LINE_BYTES = 8 << 10
# Connections that may wait to be accepted.
BACKLOG = 128
# How long the listener waits for open requests when it closes, after the drain.
LISTENER_SHUTDOWN_S = 2.0
# How long a closing listener waits for requests on its connections, to answer them.
LAST_REQUESTS_S = 0.5
# How long a closing listener then waits until its connections have ended.
LAST_ANSWERS_S = 0.5
CLOSE_POLL_INTERVAL_S = 0.01
# Steps of the event loop from an accepted connection or a received request to its handler, at most.
STEPS_TO_HANDLER = 4
# Metric label of requests without a route.
UNROUTED_SERVICE = "none"


class CallerServer:
    """Handles the requests of a node's callers.

    Parameters
    ----------
    chain
        The composed filter chain.
    """

    def __init__(
        self, chain: Proceed, drain: DrainController, clock: Clock, metrics: Metrics
    ) -> None:
        self._chain = chain
        self._drain = drain
        self._clock = clock
        self._metrics = metrics
        self._busy: set[web.RequestHandler] = set()

    def is_idle(self, connection: web.RequestHandler) -> bool:
        """Whether no response is due on a connection; while leaving, a response also ends it."""
        return connection not in self._busy

    def server(self) -> web.Server:
        """Return the HTTP server, not yet listening."""
        return web.Server(
            self.handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=LINGER_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            access_log=None,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        call = Call(request, _request_id(request), self._clock.now())
        self._drain.call_started(call)
        self._busy.add(request.protocol)
        outcome = "abandoned"
        try:
            response = await self._respond(call)
            outcome = response.headers.get("Peridot-Error", "ok")
            return await self._send(call, response)
        finally:
            self._drain.call_ended(call)
            if not self._drain.is_leaving:
                self._busy.discard(request.protocol)
            self._record_outcome(call, outcome)

    async def _respond(self, call: Call) -> Response:
        try:
            return await self._chain(call)
        except RequestError as error:
            return _error_response(call, error.kind, error.detail, error.retry_after_s)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.logger.exception("request failed", request_id=call.request_id)
            kind = ErrorKind.UPSTREAM_FAILED if call.progress.dispatched else ErrorKind.NOT_READY
            return _error_response(call, kind, type(error).__name__, None)

    async def _send(self, call: Call, response: Response) -> web.StreamResponse:
        response.headers[REQUEST_ID_HEADER] = call.request_id
        if self._drain.is_leaving:
            response.headers["Connection"] = "close"
        if response.stream is not None:
            return await self._send_stream(call, response)
        if call.request.method == "HEAD":
            return await _send_head(call, response)
        response.headers.popall("Content-Length", None)
        return web.Response(status=response.status, headers=response.headers, body=response.body)

    async def _send_stream(self, call: Call, response: Response) -> web.StreamResponse:
        assert response.stream is not None
        stream_response = web.StreamResponse(status=response.status, headers=response.headers)
        complete = False
        try:
            if response.length is not None:
                stream_response.content_length = response.length
            else:
                stream_response.headers.popall("Content-Length", None)
                stream_response.enable_chunked_encoding()
            # The deadline filter ends with the head; the body is due by the same deadline.
            async with asyncio.timeout_at(call.deadline):
                await stream_response.prepare(call.request)
                async for chunk in response.stream:
                    await stream_response.write(chunk)
                await stream_response.write_eof()
            complete = True
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # The headers are sent already, so only an aborted connection can signal the failure.
            log.warning("response stream failed", request_id=call.request_id, error=repr(error))
            if call.request.transport is not None:
                call.request.transport.abort()
        finally:
            if response.close is not None:
                response.close(complete)
        return stream_response

    def _record_outcome(self, call: Call, outcome: str) -> None:
        service = call.route.service if call.route else UNROUTED_SERVICE
        duration_s = self._clock.now() - call.started_at
        self._metrics.call_outcome(service, outcome).inc()
        self._metrics.call_duration(service).observe(duration_s)
        log.debug(
            "route",
            "call ended",
            request_id=call.request_id,
            service=service,
            outcome=outcome,
            seconds=round(duration_s, 6),
            instances=call.progress.dispatched,
        )


class CallerListener:
    """Accepts callers' connections and hands them to the HTTP server."""

    def __init__(self, caller_server: CallerServer) -> None:
        self._caller_server = caller_server
        self._server = caller_server.server()
        self._runner = web.ServerRunner(self._server, shutdown_timeout=LISTENER_SHUTDOWN_S)

    async def start(self, endpoint: Endpoint) -> None:
        """Start to listen."""
        family = socket.AF_INET6 if ":" in endpoint.host else socket.AF_INET
        self._socket = socket.create_server(
            (endpoint.host, endpoint.port), family=family, backlog=BACKLOG
        )
        await self._runner.setup()
        self._site = web.SockSite(self._runner, self._socket, backlog=BACKLOG)
        await self._site.start()

    async def finish(self) -> None:
        """Stop listening, answer the requests that have reached this host, and close.

        The node must be leaving by then, so that each response ends its connection.
        """
        await self._stop_accepting()
        await _wait_until(lambda: not self._server.connections, LAST_REQUESTS_S)
        await self._close_idle()
        await _wait_until(lambda: not self._server.connections, LAST_ANSWERS_S)

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        await self._runner.cleanup()

    async def _stop_accepting(self) -> None:
        """Close the listening socket after accepting the connections in its queue.

        The kernel resets those that are left in the queue.
        """
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        # A connection that was accepted just now gets its transport in the next step. It would get
        # none, and be reset, once the site has stopped.
        await asyncio.sleep(0)
        accepted = [
            loop.connect_accepted_socket(self._server, connection)
            for connection in _accept_all(self._socket)
        ]
        await self._site.stop()
        await asyncio.gather(*accepted, return_exceptions=True)
        await _run_steps(STEPS_TO_HANDLER)

    async def _close_idle(self) -> None:
        """End the connections on which no request has arrived.

        Closing a socket with unread bytes resets its connection. Therefore reading is paused
        until it is known which connections have none.
        """
        transports = {
            connection: connection.transport
            for connection in self._server.connections
            if connection.transport is not None and self._caller_server.is_idle(connection)
        }
        for transport in transports.values():
            transport.pause_reading()
        await _run_steps(STEPS_TO_HANDLER)
        for connection, transport in transports.items():
            if self._caller_server.is_idle(connection) and not _has_unread_bytes(transport):
                if transport.can_write_eof():
                    transport.write_eof()
                connection.close()
            transport.resume_reading()


async def _wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds or the time is over."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while not condition() and loop.time() < end:
        await asyncio.sleep(CLOSE_POLL_INTERVAL_S)


async def _run_steps(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    """Accept the connections in the queue of a listening socket."""
    connections = []
    while True:
        try:
            connections.append(listening.accept()[0])
        except ConnectionAbortedError:
            continue
        except OSError:
            # The queue is empty, or the process may not open more files.
            return connections


def _has_unread_bytes(transport: asyncio.Transport) -> bool:
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def _send_head(call: Call, response: Response) -> web.StreamResponse:
    length = response.headers.popall("Content-Length", None)
    stream_response = web.StreamResponse(status=response.status, headers=response.headers)
    if length:
        stream_response.content_length = int(length[0])
    await stream_response.prepare(call.request)
    await stream_response.write_eof()
    return stream_response


def _request_id(request: web.BaseRequest) -> RequestId:
    given = request.headers.get(REQUEST_ID_HEADER, "")
    if REQUEST_ID_PATTERN.fullmatch(given):
        return RequestId(given)
    return RequestId(secrets.token_hex(8))


def _error_response(
    call: Call, kind: ErrorKind, detail: str, retry_after_s: int | None
) -> Response:
    error = problem(kind, detail, call.request_id, retry_after_s)
    return Response(error.status, CIMultiDict(error.headers), error.body)
