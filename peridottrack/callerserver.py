"""Serves callers: runs each request through the filter chain and sends its answer."""

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
KEEPALIVE_S = 30.0
# How long a refused request's body is still read, so that the caller sees the answer.
LINGER_S = 2.0
MAX_LINE_BYTES = 8 << 10
UNROUTED = "none"


class CallerServer:
    """The callers' side of a node.

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
        """Answer one request."""
        call = Call(request, _request_id(request), self._clock.now())
        self._drain.call_started()
        outcome = "abandoned"
        try:
            answer = await self._answer(call)
            outcome = answer.headers.get("Peridot-Error", "ok")
            return await self._send(call, answer)
        finally:
            self._drain.call_ended()
            self._account(call, outcome)

    async def _answer(self, call: Call) -> Response:
        try:
            return await self._chain(call)
        except RequestError as error:
            return _problem_answer(call, error.kind, error.detail, error.retry_after_s)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.logger.exception("request failed", request_id=call.request_id)
            kind = ErrorKind.UPSTREAM_FAILED if call.progress.dispatched else ErrorKind.NOT_READY
            return _problem_answer(call, kind, type(error).__name__, None)

    async def _send(self, call: Call, answer: Response) -> web.StreamResponse:
        answer.headers[REQUEST_ID_HEADER] = call.request_id
        if self._drain.is_leaving:
            answer.headers["Connection"] = "close"
        if answer.stream is not None:
            return await self._send_stream(call, answer)
        if call.request.method == "HEAD":
            return await _send_head(call, answer)
        answer.headers.popall("Content-Length", None)
        return web.Response(status=answer.status, headers=answer.headers, body=answer.body)

    async def _send_stream(self, call: Call, answer: Response) -> web.StreamResponse:
        assert answer.stream is not None
        response = web.StreamResponse(status=answer.status, headers=answer.headers)
        whole = False
        try:
            if answer.length is not None:
                response.content_length = answer.length
            else:
                response.headers.popall("Content-Length", None)
                response.enable_chunked_encoding()
            await response.prepare(call.request)
            async for chunk in answer.stream:
                await response.write(chunk)
            await response.write_eof()
            whole = True
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # The start was sent, so the only honest end is a broken connection.
            log.warning("answer broke off", request_id=call.request_id, error=repr(error))
            if call.request.transport is not None:
                call.request.transport.abort()
        finally:
            if answer.close is not None:
                answer.close(whole)
        return response

    def _account(self, call: Call, outcome: str) -> None:
        service = call.route.service if call.route else UNROUTED
        seconds = self._clock.now() - call.started_at
        self._metrics.call_outcome(service, outcome).inc()
        self._metrics.call_duration(service).observe(seconds)
        log.debug(
            "route",
            "call ended",
            request_id=call.request_id,
            service=service,
            outcome=outcome,
            seconds=round(seconds, 6),
            instances=call.progress.dispatched,
        )


async def _send_head(call: Call, answer: Response) -> web.StreamResponse:
    length = answer.headers.popall("Content-Length", None)
    response = web.StreamResponse(status=answer.status, headers=answer.headers)
    if length:
        response.content_length = int(length[0])
    await response.prepare(call.request)
    await response.write_eof()
    return response


def _request_id(request: web.BaseRequest) -> RequestId:
    given = request.headers.get(REQUEST_ID_HEADER, "")
    if REQUEST_ID_PATTERN.fullmatch(given):
        return RequestId(given)
    return RequestId(secrets.token_hex(8))


def _problem_answer(
    call: Call, kind: ErrorKind, detail: str, retry_after_s: int | None
) -> Response:
    made = problem(kind, detail, call.request_id, retry_after_s)
    return Response(made.status, CIMultiDict(made.headers), made.body)
