"""Bounds the time that a request may take."""

from __future__ import annotations

import asyncio

from peridottrack.call import DEADLINE_HEADER, Call, Proceed, Response
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError


async def deadline_filter(call: Call, proceed: Proceed) -> Response:
    """Take the caller's deadline, bounded by the route's, and hold the request to it."""
    assert call.route is not None
    wait_s = call.route.deadline_ms / 1000
    asked = call.request.headers.get(DEADLINE_HEADER)
    if asked is not None:
        if not asked.isascii() or not asked.isdigit():
            raise RequestError(ErrorKind.BAD_REQUEST, f"{DEADLINE_HEADER} takes milliseconds.")
        wait_s = min(wait_s, int(asked) / 1000)
    call.deadline = call.started_at + wait_s
    try:
        async with asyncio.timeout_at(call.deadline):
            return await proceed(call)
    except TimeoutError:
        if call.progress.dispatched:
            raise RequestError(ErrorKind.DEADLINE_PASSED) from None
        if call.claiming:
            raise RequestError(ErrorKind.CLAIM_UNSETTLED) from None
        raise RequestError(ErrorKind.TOO_LATE) from None
