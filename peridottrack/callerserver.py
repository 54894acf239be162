"""HTTP server for callers: runs each request through the filter chain and sends the response."""

from __future__ import annotations

import asyncio
import re
import secrets

from aiohttp import web
from multidict import CIMultiDict

from peridottrack import log
from peridottrack.call import REQUEST_ID_HEADER, Call, Proceed, Response
from peridottrack.controllers.drain import DrainController
from peridottrack.errors import ErrorKind, problem
from peridottrack.exceptions import RequestError
from peridottrack.metrics import Metrics
from peridottrack.types import Clock, RequestId

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
# How long an idle connection is kept.
KEEPALIVE_S = 30.0
# How long the body of a rejected request is still read: closing at once can reset the connection
# before the caller has read the response.
LINGER_S = 2.0
# Limit of the request line and of each header.
MAX_LINE_BYTES = 8 << 10
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
        self._drain.call_started()
        outcome = "abandoned"
        try:
            response = await self._respond(call)
            outcome = response.headers.get("Peridot-Error", "ok")
            return await self._send(call, response)
        finally:
            self._drain.call_ended()
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
