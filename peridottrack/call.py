"""A request in the filter chain, and its response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from peridottrack.document import RouteConfig
from peridottrack.errors import Ran
from peridottrack.instanceview import Attempt
from peridottrack.types import InstanceId, RequestId, ServiceName

DEADLINE_HEADER = "Peridot-Deadline-Ms"
ATTEMPT_HEADER = "Peridot-Attempt"
REQUEST_ID_HEADER = "Peridot-Request-Id"
REPLAYED_HEADER = "Peridot-Replayed"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


@dataclass(slots=True)
class Response:
    """A response for the caller, with a buffered or a streamed body.

    Parameters
    ----------
    body
        The whole body, or None if it comes from ``stream``.
    length
        Content-Length of a streamed body, None for chunked.
    close
        Called once the response was sent or abandoned, with whether it was sent completely.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes | None = None
    stream: AsyncIterator[bytes] | None = None
    length: int | None = None
    close: Callable[[bool], None] | None = None
    ran: Ran = Ran.YES


@dataclass(slots=True)
class Progress:
    """What has happened to a request so far, over all its attempts.

    Parameters
    ----------
    tried
        Instances that were chosen for an attempt.
    dispatched
        Instances that a byte of the request may have reached, in order.
    outcome_unknown
        Whether an attempt ended without showing whether the request ran.
    """

    tried: set[InstanceId] = field(default_factory=set)
    dispatched: list[InstanceId] = field(default_factory=list)
    outcome_unknown: bool = False


@dataclass(slots=True)
class Call:
    """One request of a caller.

    Parameters
    ----------
    started_at, deadline
        Times of the node's monotonic clock, in seconds.
    body
        The whole body, or None if it is streamed and cannot be sent twice.
    caller
        Hash of the caller's credential, or its address; used for fair queueing.
    fingerprint
        Digest of method, path and body.
    reason
        Why this attempt is made: first, retry or hedge.
    claiming
        Whether a claim was requested. From then on "not run" may be reported only once the claim
        is void.
    run_by, settle_s
        Time at which a shutdown ends the call, and seconds after it to settle its claim.
    limited, on_limited
        Resolved and called when a shutdown limits the call.
    on_slow
        Called when the chosen instance is reported slow; None if no hedge is possible.
    """

    request: web.BaseRequest
    request_id: RequestId
    started_at: float
    deadline: float = float("inf")
    route: RouteConfig | None = None
    idempotent: bool = False
    body: bytes | None = b""
    caller: str = ""
    credential: str = ""
    fingerprint: str = ""
    attempt: int = 1
    reason: str = "first"
    progress: Progress = field(default_factory=Progress)
    chosen: Attempt | None = None
    on_slow: Callable[[], object] | None = None
    claiming: bool = False
    run_by: float = float("inf")
    settle_s: float = 0.0
    limited: asyncio.Future[None] | None = None
    on_limited: Callable[[], None] | None = None

    def limit(self, run_by: float, settle_s: float) -> None:
        """Bring the deadline forward, because the node ends."""
        self.run_by = run_by
        self.settle_s = settle_s
        self.deadline = min(self.deadline, run_by)
        if self.limited is not None and not self.limited.done():
            self.limited.set_result(None)
        if self.on_limited is not None:
            self.on_limited()

    @property
    def is_limited(self) -> bool:
        """Whether the end of the node, not the caller's deadline, limits the call."""
        return self.deadline >= self.run_by

    @property
    def answer_by(self) -> float:
        """Time by which the caller gets an answer."""
        return self.deadline + self.settle_s if self.is_limited and self.claiming else self.deadline

    @property
    def service(self) -> ServiceName:
        """The service of the route; available after routing."""
        assert self.route is not None
        return ServiceName(self.route.service)

    @property
    def replayable(self) -> bool:
        """Whether the request may be sent to an instance more than once."""
        return self.idempotent and self.body is not None


Proceed = Callable[[Call], Coroutine[Any, Any, Response]]
Filter = Callable[[Call, Proceed], Coroutine[Any, Any, Response]]


def build_chain(filters: list[Filter], last: Proceed) -> Proceed:
    """Compose filters so that each one wraps those after it."""
    proceed = last
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, proceed: Proceed) -> Proceed:
    def bound(call: Call) -> Coroutine[Any, Any, Response]:
        return item(call, proceed)

    return bound


async def cancel_and_wait(task: asyncio.Task[Response]) -> None:
    """Cancel a task and wait until it has cleaned up."""
    task.cancel()
    await asyncio.wait([task])


def close_unread(task: asyncio.Task[Response]) -> None:
    """Close the response of a finished task that nobody will read, if it has one.

    A streamed response holds a slot of its instance until it is closed.
    """
    if task.cancelled() or task.exception() is not None:
        return
    close = task.result().close
    if close is not None:
        close(False)
