"""Claims keyed calls, so that each runs at most once."""

from __future__ import annotations

import asyncio

from peridottrack.call import IDEMPOTENCY_KEY_HEADER, Call, Proceed, Response
from peridottrack.claims import claim_id
from peridottrack.controllers.claims import ClaimsController
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError

MAX_KEY_CHARS = 255


class ClaimFilter:
    """Hands keyed non-idempotent calls to the claims controller."""

    def __init__(self, claims: ClaimsController) -> None:
        self._claims = claims
        self._running: set[asyncio.Task[Response]] = set()

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Claim the call if it is keyed; let others pass."""
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
        # A claimed call goes on when its caller goes away, so that a resend finds its answer.
        task = asyncio.create_task(self._claims.run(call, claim, proceed))
        self._running.add(task)
        task.add_done_callback(self._ended)
        return await asyncio.shield(task)

    def _ended(self, task: asyncio.Task[Response]) -> None:
        self._running.discard(task)
        # The caller may be gone; an error that nobody waits for is no fault.
        if not task.cancelled():
            task.exception()

    @property
    def running(self) -> int:
        """Claimed calls that are being worked on, their caller present or not."""
        return len(self._running)


def parse_key(header: str | None) -> str | None:
    """Read an Idempotency-Key, a quoted string by the IETF draft or a bare token."""
    if header is None:
        return None
    key = header.strip()
    if len(key) >= 2 and key[0] == key[-1] == '"':
        key = key[1:-1]
    if not key or len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise RequestError(ErrorKind.BAD_REQUEST, f"{IDEMPOTENCY_KEY_HEADER} is not valid.")
    return key
