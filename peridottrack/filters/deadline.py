"""Enforces the deadline of a request."""

from __future__ import annotations

import asyncio

from peridottrack.call import DEADLINE_HEADER, Call, Proceed, Response
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError


async def deadline_filter(call: Call, proceed: Proceed) -> Response:
    """Enforce the caller's deadline, which cannot exceed that of the route."""
    assert call.route is not None
    timeout_s = call.route.deadline_ms / 1000
    requested_ms = call.request.headers.get(DEADLINE_HEADER)
    if requested_ms is not None:
        if not requested_ms.isascii() or not requested_ms.isdigit():
            raise RequestError(ErrorKind.BAD_REQUEST, f"{DEADLINE_HEADER} takes milliseconds.")
        timeout_s = min(timeout_s, int(requested_ms) / 1000)
    call.deadline = min(call.started_at + timeout_s, call.run_by)
    try:
        async with asyncio.timeout_at(call.answer_by) as timeout:

            def reschedule() -> None:
                if not timeout.expired():
                    timeout.reschedule(call.answer_by)

            call.on_limited = reschedule
            try:
                return await proceed(call)
            finally:
                call.on_limited = None
    except TimeoutError:
        if call.progress.dispatched:
            detail = "The node is leaving." if call.is_limited else ""
            raise RequestError(ErrorKind.DEADLINE_PASSED, detail) from None
        if call.claiming:
            raise RequestError(ErrorKind.CLAIM_UNSETTLED) from None
        raise RequestError(ErrorKind.DRAINING if call.is_limited else ErrorKind.TOO_LATE) from None
