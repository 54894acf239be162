"""Claims keyed calls, so that each runs at most once."""

from __future__ import annotations

import asyncio

from peridottrack.call import IDEMPOTENCY_KEY_HEADER, Call, Proceed, Response, close_unread
from peridottrack.claims import claim_id
from peridottrack.controllers.claims import ClaimsController
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError

MAX_KEY_CHARS = 255


class ClaimFilter:
    """Passes keyed non-idempotent calls to the claims controller."""

    def __init__(self, claims: ClaimsController) -> None:
        self._claims = claims
        self._call_by_task: dict[asyncio.Task[Response], Call] = {}

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Claim the call if it is keyed; pass other calls on."""
        assert call.route is not None
        if call.idempotent:
            return await proceed(call)
        key = parse_key(call.request.headers.get(IDEMPOTENCY_KEY_HEADER))
        if key is None:
            if call.route.key == "required":
                raise RequestError(ErrorKind.KEY_REQUIRED)
            return await proceed(call)
        if not call.credential:
            raise RequestError(ErrorKind.CREDENTIAL_REQUIRED)
        if call.body is None:
            raise RequestError(ErrorKind.BODY_TOO_LARGE, "A keyed call must be small enough.")
        claim = claim_id(key, call.route.path, call.credential)
        call.claiming = True
        call.limited = asyncio.get_running_loop().create_future()
        if call.on_limited is not None and call.is_limited:
            call.on_limited()
        # A claimed call continues when its caller disconnects, so that a resend gets its response.
        task = asyncio.create_task(self._claims.run(call, claim, proceed))
        self._call_by_task[task] = call
        task.add_done_callback(self._on_done)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(close_unread)
            raise

    def _on_done(self, task: asyncio.Task[Response]) -> None:
        del self._call_by_task[task]
        # If the caller has disconnected nobody awaits the task. Its exception is read here, so that
        # asyncio does not log it as never retrieved.
        if not task.cancelled():
            task.exception()

    @property
    def running(self) -> int:
        """Number of claimed calls in progress, including those whose caller disconnected."""
        return len(self._call_by_task)

    @property
    def calls(self) -> list[Call]:
        """The claimed calls in progress."""
        return list(self._call_by_task.values())


def parse_key(header: str | None) -> str | None:
    """Parse an Idempotency-Key: a quoted string as in the IETF draft, or a bare token."""
    if header is None:
        return None
    key = header.strip()
    if len(key) >= 2 and key[0] == key[-1] == '"':
        key = key[1:-1]
    if not key or len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise RequestError(ErrorKind.BAD_REQUEST, f"{IDEMPOTENCY_KEY_HEADER} is not valid.")
    return key
