"""Buffers a body that is small enough to be sent again."""

from __future__ import annotations

import asyncio

from aiohttp import web

from peridottrack.call import Call, Proceed, Response
from peridottrack.document import RouteConfig
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError
from peridottrack.poison import fingerprint

MAX_BUFFERED_BYTES = 256 << 10


async def body_filter(call: Call, proceed: Proceed) -> Response:
    """Read the body within the deadline, and compute the request's fingerprint."""
    assert call.route is not None
    request = call.request
    try:
        call.body = await _read_body(request, call.route)
    except asyncio.IncompleteReadError:
        raise RequestError(ErrorKind.BAD_REQUEST, "The body ended early.") from None
    call.fingerprint = fingerprint(request.method, request.raw_path, call.body)
    return await proceed(call)


async def _read_body(request: web.BaseRequest, route: RouteConfig) -> bytes | None:
    if not request.body_exists:
        return b""
    length = request.content_length
    if length is not None and length > route.max_body_bytes:
        raise RequestError(ErrorKind.BODY_TOO_LARGE, f"At most {route.max_body_bytes} bytes.")
    if length is None or length > MAX_BUFFERED_BYTES:
        return None
    return await request.content.readexactly(length) if length else b""
