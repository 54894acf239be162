"""Sends a request to the chosen instance and reads its response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from peridottrack import log
from peridottrack.call import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    Call,
    Response,
)
from peridottrack.errors import RAN_HEADER, ErrorKind, Ran
from peridottrack.exceptions import BrokeOff, NotConnected, RequestError
from peridottrack.headernames import HeaderNames
from peridottrack.headers import end_to_end_headers
from peridottrack.httpstatus import is_final
from peridottrack.instanceheaders import InstanceHeaderReader, InstanceHeaders
from peridottrack.metrics import Metrics
from peridottrack.poison import PoisonList, incarnation
from peridottrack.types import Clock, Instance

MAX_BUFFERED_BYTES = 256 << 10
STREAM_CHUNK_BYTES = 64 << 10
BODILESS_STATUSES = frozenset({204, 304})


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that prevents the retries of `aiohttp`'s client.

    The client retries GET, PUT and DELETE by itself after a connection error. Neither the retry
    budget nor the crash count would see the first try, and only the second error would be raised.
    A middleware sees each try, and raises exceptions after which the client does not retry.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise NotConnected(str(error)) from None
    except (aiohttp.ClientError, OSError) as error:
        raise BrokeOff(type(error).__name__) from error


@dataclass(slots=True)
class ConnectionUse:
    """How a request was sent.

    Parameters
    ----------
    reused
        Whether its connection had carried another request before.
    """

    reused: bool = False


def trace_reuse() -> aiohttp.TraceConfig:
    """Return a trace configuration that records the `ConnectionUse` of each request."""

    async def record(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        if isinstance(context.trace_request_ctx, ConnectionUse):
            context.trace_request_ctx.reused = True

    config = aiohttp.TraceConfig()
    config.on_connection_reuseconn.append(record)
    return config


def check_deadline(call: Call, now: float) -> None:
    """Refuse to send a request after its deadline.

    The process may have been paused since the request was admitted or its claim was granted.
    A pause between this check and the write to the socket is not covered; only an upstream that
    checks the deadline header can reject such a late request.

    Raises
    ------
    RequestError
        ``TOO_LATE``, not run.
    """
    if now >= call.deadline:
        raise RequestError(ErrorKind.TOO_LATE)


class Dispatcher:
    """The last step of the filter chain.

    Parameters
    ----------
    keepalive_session, one_shot_session
        Client sessions with keep-alive connections and with a new connection for each request.
        The first one has the trace configuration of `trace_reuse`.
        Non-idempotent calls use a new one: if the upstream closed a reused connection just as the
        request is sent, it would be unknown whether the request ran.
    on_statements
        Called with what each response says of its instance.
    """

    def __init__(
        self,
        keepalive_session: aiohttp.ClientSession,
        one_shot_session: aiohttp.ClientSession,
        poison: PoisonList,
        metrics: Metrics,
        clock: Clock,
        on_statements: Callable[[Instance, InstanceHeaders], None],
    ) -> None:
        self._on_statements = on_statements
        self._header_reader = InstanceHeaderReader(HeaderNames())
        self._keepalive_session = keepalive_session
        self._one_shot_session = one_shot_session
        self._poison = poison
        self._metrics = metrics
        self._clock = clock

    async def __call__(self, call: Call) -> Response:
        """Send the request once."""
        assert call.chosen is not None
        instance = call.chosen.instance
        check_deadline(call, self._clock.now())
        call.progress.tried.add(instance.instance_id)
        self._metrics.attempt(call.service, call.reason).inc()
        response = await self._send(call, instance)
        self._on_statements(instance, self._header_reader.read(response.raw_headers))
        try:
            return await self._read(call, response)
        except BaseException:
            response.close()
            raise

    async def _send(self, call: Call, instance: Instance) -> aiohttp.ClientResponse:
        call.progress.dispatched.append(instance.instance_id)
        session = self._keepalive_session if call.idempotent else self._one_shot_session
        use = ConnectionUse()
        try:
            response = await self._request(session, call, instance, use)
            if _belongs_to(call, response, use):
                return response
            response.close()
            log.warning("response of another call", instance=instance.instance_id)
            if not call.replayable:
                call.progress.outcome_unknown = True
                raise RequestError(ErrorKind.UPSTREAM_ANSWER_INVALID)
        except NotConnected as error:
            call.progress.dispatched.remove(instance.instance_id)
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, str(error)) from None
        except BrokeOff as error:
            if not call.replayable:
                raise self._disconnected(call, error) from None
        except (asyncio.CancelledError, RequestError):
            call.progress.outcome_unknown = True
            raise
        return await self._resend(call, instance)

    async def _resend(self, call: Call, instance: Instance) -> aiohttp.ClientResponse:
        """Resend on a new connection, to distinguish a stale connection from a crash.

        The upstream may close a keep-alive connection just as a request is sent on it, or send a
        response to an earlier call there. If a new connection works, the instance did not crash.
        """
        call.progress.outcome_unknown = True
        try:
            use = ConnectionUse()
            response = await self._request(self._one_shot_session, call, instance, use)
        except (NotConnected, BrokeOff) as error:
            raise self._disconnected(call, error) from None
        if not _belongs_to(call, response, use):
            response.close()
            raise RequestError(ErrorKind.UPSTREAM_ANSWER_INVALID)
        return response

    async def _request(
        self, session: aiohttp.ClientSession, call: Call, instance: Instance, use: ConnectionUse
    ) -> aiohttp.ClientResponse:
        return await session.request(
            call.request.method,
            URL(f"http://{instance.endpoint}{call.request.raw_path}", encoded=True),
            headers=self._headers(call),
            data=self._body(call),
            allow_redirects=False,
            trace_request_ctx=use,
        )

    def _headers(self, call: Call) -> CIMultiDict[str]:
        headers = end_to_end_headers(call.request.headers)
        headers.popall("Expect", None)
        headers.popall("Content-Length", None)
        left_ms = max(1, int((call.deadline - self._clock.now()) * 1000))
        headers[DEADLINE_HEADER] = str(left_ms)
        headers[ATTEMPT_HEADER] = str(call.attempt)
        headers[REQUEST_ID_HEADER] = call.request_id
        return headers

    def _body(self, call: Call) -> bytes | AsyncIterator[bytes] | None:
        if call.body is not None:
            return call.body or None
        return _bounded_body(call)

    async def _read(self, call: Call, response: aiohttp.ClientResponse) -> Response:
        if not is_final(response.status):
            call.progress.outcome_unknown = True
            raise RequestError(ErrorKind.UPSTREAM_ANSWER_INVALID, f"status {response.status:03}")
        if _is_refusal(response):
            response.release()
            if not call.progress.outcome_unknown:
                call.progress.dispatched.remove(call.chosen.instance.instance_id)  # type: ignore
            raise RequestError(ErrorKind.UPSTREAM_SHED)
        headers = end_to_end_headers(response.headers)
        if call.request.method == "HEAD" or response.status in BODILESS_STATUSES:
            return await self._buffered(call, response, headers)
        length = response.content_length
        if length is None and "chunked" not in response.headers.get("Transfer-Encoding", ""):
            # Without a length or chunks a broken connection looks like the end of the response.
            call.progress.outcome_unknown = True
            raise RequestError(ErrorKind.UPSTREAM_ANSWER_INVALID)
        if length is not None and length <= MAX_BUFFERED_BYTES:
            return await self._buffered(call, response, headers)
        return self._streamed(response, headers, length)

    async def _buffered(
        self, call: Call, response: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> Response:
        try:
            body = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise self._disconnected(call, error) from None
        self._poison.clear(call.fingerprint)
        return Response(response.status, headers, body)

    def _streamed(
        self, response: aiohttp.ClientResponse, headers: CIMultiDict[str], length: int | None
    ) -> Response:
        def close(complete: bool) -> None:
            if complete:
                response.release()
            else:
                response.close()

        stream = response.content.iter_chunked(STREAM_CHUNK_BYTES)
        return Response(response.status, headers, None, aiter(stream), length, close)

    def _disconnected(self, call: Call, error: Exception) -> RequestError:
        assert call.chosen is not None
        call.progress.outcome_unknown = True
        crashed = incarnation(call.chosen.instance.instance_id)
        self._poison.record_local_crash(call.fingerprint, crashed)
        return RequestError(ErrorKind.UPSTREAM_FAILED, type(error).__name__)


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    return response.headers.get(RAN_HEADER) == Ran.NO.value and response.status >= 400


def _belongs_to(call: Call, response: aiohttp.ClientResponse, use: ConnectionUse) -> bool:
    """Return whether a response is certainly the one to this call.

    A faulty upstream may repeat an earlier response on a kept connection. The id tells, if the
    upstream echoes it; without an id, a refusal counts only on a new connection.
    """
    echoed_id = response.headers.get(REQUEST_ID_HEADER)
    if echoed_id is not None:
        return echoed_id == call.request_id
    return not (use.reused and _is_refusal(response))


async def _bounded_body(call: Call) -> AsyncIterator[bytes]:
    assert call.route is not None
    remaining = call.route.max_body_bytes
    async for chunk in call.request.content.iter_chunked(STREAM_CHUNK_BYTES):
        remaining -= len(chunk)
        if remaining < 0:
            raise RequestError(ErrorKind.UPSTREAM_FAILED, "The body outgrew the route's limit.")
        yield chunk
