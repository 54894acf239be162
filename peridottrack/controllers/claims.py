"""Runs calls with an Idempotency-Key under a claim, and caches the claims of this node."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from multidict import CIMultiDict

from peridottrack import log
from peridottrack.call import REPLAYED_HEADER, Call, Proceed, Response, cancel_and_wait
from peridottrack.claims import (
    ClaimHandle,
    ClaimId,
    ClaimRecord,
    ClaimReply,
    ClaimState,
    ClaimStatus,
    ClaimStore,
    RecordedResponse,
)
from peridottrack.errors import RULE_BY_KIND, ErrorKind, Ran
from peridottrack.exceptions import RequestError
from peridottrack.metrics import Metrics
from peridottrack.types import Clock, Random

MAX_STORED_BODY_BYTES = 200 << 10
"""Largest response body that is recorded for resends."""
MAX_CACHED_CLAIMS = 2_048
MAX_CACHED_BYTES = 16 << 20
RECORD_WAIT_S = 1.0
"""Longest time for which a response is held back until its outcome is durable."""
REPAIR_MIN_S = 0.5
REPAIR_MAX_S = 30.0
REPAIR_CONCURRENCY = 8
LATE_RESPONSE_S = 2.0
"""How long after its deadline a response to a sent call is waited for, to be recorded."""
IN_PROGRESS_GRACE_S = 1.0 + LATE_RESPONSE_S
"""How long after a route's deadline a claim without an outcome is reported as in progress."""

# VOID is seen if another attempt claimed and voided the key while this one tried to claim it.
ERROR_BY_HELD_STATE = {
    ClaimState.CLAIMED: ErrorKind.IN_PROGRESS,
    ClaimState.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    ClaimState.VOID: ErrorKind.CLAIM_UNSETTLED,
}


@dataclass(slots=True)
class _CachedClaim:
    record: ClaimRecord
    body_bytes: int = 0


class ClaimsController:
    """Claims the key of a call, runs the call and records its outcome.

    Writes that the store did not accept at once are retried in the background, with jitter and
    bounded concurrency, until they are durable; such a task is called a repair.
    """

    def __init__(
        self, store: ClaimStore, node: str, clock: Clock, rng: Random, metrics: Metrics
    ) -> None:
        self._store = store
        self._node = node
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._cached_by_id: OrderedDict[str, _CachedClaim] = OrderedDict()
        self._cached_bytes = 0
        self._repairs: set[asyncio.Task[None]] = set()
        self._repair_slots = asyncio.Semaphore(REPAIR_CONCURRENCY)

    async def run(self, call: Call, claim: ClaimId, proceed: Proceed) -> Response:
        """Run a call, or answer from its claim if another attempt holds the claim."""
        cached = self._cached_by_id.get(claim.text)
        if cached is not None and cached.record.state is not ClaimState.VOID:
            return self._answer_from_record(call, cached.record)
        record = self._new_record(call, claim)
        self._cache(record)
        reply = await self._claim(call, record)
        self._metrics.claims.labels(reply.status.value).inc()
        if reply.status is ClaimStatus.GRANTED and reply.handle is not None:
            return await self._run_granted(call, reply.handle, proceed)
        self._uncache(claim)
        if reply.status is ClaimStatus.HELD:
            return self._answer_from_reply(call, claim, reply)
        if reply.status is ClaimStatus.REFUSED:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE)
        raise RequestError(ErrorKind.CLAIM_UNSETTLED)

    async def wait_for_repairs(self, within_s: float) -> bool:
        """Wait for pending writes to the store; return whether all of them are durable."""
        if not self._repairs:
            return True
        await asyncio.wait(self._repairs, timeout=within_s)
        return not self._repairs

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "remembered": len(self._cached_by_id),
            "kept_bytes": self._cached_bytes,
            "repairs": len(self._repairs),
        }

    async def _claim(self, call: Call, record: ClaimRecord) -> ClaimReply:
        """Request the claim; after the deadline, the store's reply is handled in the background."""
        task = asyncio.ensure_future(self._store.claim(record))
        await self._wait(call, task, lambda: call.deadline)
        if task.done():
            reply = task.result()
            if reply.status is ClaimStatus.UNSETTLED and reply.handle is not None:
                self._start_repair(self._void_unsettled(reply.handle))
            return reply
        self._start_repair(self._void_late(task))
        return ClaimReply(ClaimStatus.UNSETTLED)

    async def _run_granted(self, call: Call, handle: ClaimHandle, proceed: Proceed) -> Response:
        log.debug("claim", "claim granted", request_id=call.request_id, claim=handle.record.id.text)
        try:
            response = await self._run_until_deadline(call, proceed)
        except RequestError as error:
            if RULE_BY_KIND[error.kind].ran is Ran.NO and not call.progress.outcome_unknown:
                await self._void(handle)
            else:
                await self._record(handle, self._ended_record(call, handle, ClaimState.UNKNOWN))
            raise
        except BaseException:
            record = self._ended_record(call, handle, ClaimState.UNKNOWN)
            self._start_repair(self._finish_until_durable(handle, record))
            raise
        return await self._complete(call, handle, response)

    async def _run_until_deadline(self, call: Call, proceed: Proceed) -> Response:
        """Run a call that must not be sent after its deadline.

        If the call was sent, wait `LATE_RESPONSE_S` longer for its response, so that the response
        can be recorded for a resend by the caller.
        """
        task = asyncio.ensure_future(proceed(call))
        try:
            await self._wait(call, task, lambda: call.deadline)
            if not task.done() and call.progress.dispatched:
                late = self._clock.now() + LATE_RESPONSE_S
                await self._wait(call, task, lambda: min(late, call.run_by))
        finally:
            await cancel_and_wait(task)
        if not task.cancelled():
            return task.result()
        if call.progress.dispatched:
            detail = "The node is leaving." if call.is_limited else ""
            raise RequestError(ErrorKind.DEADLINE_PASSED, detail)
        raise RequestError(ErrorKind.DRAINING if call.is_limited else ErrorKind.TOO_LATE)

    async def _wait(self, call: Call, task: asyncio.Future[Any], end: Callable[[], float]) -> None:
        """Wait for a task until a time that comes earlier if a shutdown limits the call."""
        waited: list[asyncio.Future[Any]] = [task]
        if call.limited is not None and not call.limited.done():
            waited.append(call.limited)
        await asyncio.wait(
            waited, timeout=end() - self._clock.now(), return_when=asyncio.FIRST_COMPLETED
        )
        if len(waited) > 1 and call.limited is not None and call.limited.done():
            await asyncio.wait([task], timeout=end() - self._clock.now())

    async def _complete(self, call: Call, handle: ClaimHandle, response: Response) -> Response:
        if response.body is None and response.stream is not None:
            response = await self._buffer_response(call, handle, response)
        recorded = RecordedResponse(
            response.status,
            [[name, value] for name, value in response.headers.items()],
            (
                response.body
                if response.body is None or len(response.body) <= MAX_STORED_BODY_BYTES
                else None
            ),
        )
        record = replace(self._ended_record(call, handle, ClaimState.DONE), answer=recorded)
        await self._record(handle, record)
        return response

    async def _buffer_response(
        self, call: Call, handle: ClaimHandle, response: Response
    ) -> Response:
        """Read a streamed response completely, so that it can be stored, unless it is too large."""
        assert response.stream is not None
        if response.length is not None and response.length > MAX_STORED_BODY_BYTES:
            return response
        body = bytearray()
        try:
            async for chunk in response.stream:
                body += chunk
                if len(body) > MAX_STORED_BODY_BYTES:
                    response.stream = _prepend(bytes(body), response.stream)
                    return response
        except Exception as error:
            if response.close is not None:
                response.close(False)
            await self._record(handle, self._ended_record(call, handle, ClaimState.UNKNOWN))
            raise RequestError(ErrorKind.UPSTREAM_FAILED, type(error).__name__) from None
        if response.close is not None:
            response.close(True)
        return Response(response.status, response.headers, bytes(body))

    def _ended_record(self, call: Call, handle: ClaimHandle, state: ClaimState) -> ClaimRecord:
        return replace(
            handle.record,
            state=state,
            instances=list(call.progress.dispatched),
            ended_wall_s=self._clock.wall(),
        )

    async def _void(self, handle: ClaimHandle) -> None:
        """Void the claim, so that the call can be reported as not run and a resend can run.

        Raises
        ------
        RequestError
            ``CLAIM_UNSETTLED`` if the void is not durable yet.
        """
        record = replace(handle.record, state=ClaimState.VOID, ended_wall_s=self._clock.wall())
        if await self._store.finish(handle, record):
            self._metrics.claims.labels("voided").inc()
            self._uncache(record.id)
            return
        self._start_repair(self._finish_until_durable(handle, record))
        raise RequestError(ErrorKind.CLAIM_UNSETTLED)

    async def _record(self, handle: ClaimHandle, record: ClaimRecord) -> None:
        """Record the outcome; wait up to `RECORD_WAIT_S` for it to be durable before responding."""
        self._cache(record)
        task = self._start_repair(self._finish_until_durable(handle, record))
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    async def _finish_until_durable(self, handle: ClaimHandle, record: ClaimRecord) -> None:
        pause_s = REPAIR_MIN_S
        while not await self._finish(handle, record):
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            pause_s = min(REPAIR_MAX_S, pause_s * 2)
        self._metrics.claims.labels("recorded").inc()
        if record.state is ClaimState.VOID:
            self._uncache(record.id)

    async def _finish(self, handle: ClaimHandle, record: ClaimRecord) -> bool:
        async with self._repair_slots:
            return await self._store.finish(handle, record)

    async def _void_unsettled(self, handle: ClaimHandle) -> None:
        """Void a claim that may or may not have been written; its call does not run."""
        record = replace(handle.record, state=ClaimState.VOID, ended_wall_s=self._clock.wall())
        pause_s = REPAIR_MIN_S
        while not await self._store.withdraw(handle, record):
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            pause_s = min(REPAIR_MAX_S, pause_s * 2)

    async def _void_late(self, task: asyncio.Future[ClaimReply]) -> None:
        """Void a claim whose reply arrives after the deadline of its call."""
        reply = await task
        if reply.handle is None:
            return
        if reply.status is ClaimStatus.GRANTED:
            with contextlib.suppress(RequestError):
                await self._void(reply.handle)
        else:
            await self._void_unsettled(reply.handle)

    def _start_repair(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._repairs.add(task)
        task.add_done_callback(self._repairs.discard)
        return task

    def _new_record(self, call: Call, claim: ClaimId) -> ClaimRecord:
        return ClaimRecord(
            claim,
            ClaimState.CLAIMED,
            call.fingerprint,
            call.credential,
            call.request_id,
            self._node,
            self._clock.wall(),
        )

    def _cache(self, record: ClaimRecord) -> None:
        self._uncache(record.id)
        body = record.answer.body if record.answer else None
        cached = _CachedClaim(record, len(body or b""))
        self._cached_by_id[record.id.text] = cached
        self._cached_bytes += cached.body_bytes
        while self._exceeds_cache_limits():
            if not self._evict_oldest():
                return

    def _exceeds_cache_limits(self) -> bool:
        return len(self._cached_by_id) > MAX_CACHED_CLAIMS or self._cached_bytes > MAX_CACHED_BYTES

    def _evict_oldest(self) -> bool:
        """Evict the oldest claim that has ended; claims of running calls are never evicted."""
        for text, cached in self._cached_by_id.items():
            if cached.record.state is not ClaimState.CLAIMED:
                del self._cached_by_id[text]
                self._cached_bytes -= cached.body_bytes
                return True
        return False

    def _uncache(self, claim: ClaimId) -> None:
        cached = self._cached_by_id.pop(claim.text, None)
        if cached is not None:
            self._cached_bytes -= cached.body_bytes

    def _answer_from_reply(self, call: Call, claim: ClaimId, reply: ClaimReply) -> Response:
        if reply.record is None:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        return self._answer_from_record(call, reply.record)

    def _answer_from_record(self, call: Call, record: ClaimRecord) -> Response:
        try:
            response = self._recorded_response(call, record)
        except RequestError as error:
            self._add_audit_note(call, record.id, error.kind.value)
            raise
        self._add_audit_note(call, record.id, "recorded answer")
        return response

    def _recorded_response(self, call: Call, record: ClaimRecord) -> Response:
        if record.fingerprint != call.fingerprint:
            raise RequestError(ErrorKind.KEY_REUSED)
        if record.state is not ClaimState.DONE or record.answer is None:
            raise RequestError(self._held_error(call, record))
        if record.answer.body is None:
            raise RequestError(ErrorKind.ANSWER_NOT_KEPT)
        headers = CIMultiDict((name, value) for name, value in record.answer.headers)
        headers[REPLAYED_HEADER] = "yes"
        return Response(record.answer.status, headers, record.answer.body)

    def _held_error(self, call: Call, record: ClaimRecord) -> ErrorKind:
        if record.state is not ClaimState.CLAIMED:
            return ERROR_BY_HELD_STATE[record.state]
        assert call.route is not None
        runs_at_most_s = call.route.deadline_ms / 1000 + IN_PROGRESS_GRACE_S
        # A call cannot run for longer than this, so its node crashed or has not recorded the
        # outcome yet. Both errors report that the call may have run, so clock skew is harmless.
        if self._clock.wall() - record.claimed_wall_s > runs_at_most_s:
            return ErrorKind.OUTCOME_UNKNOWN
        return ErrorKind.IN_PROGRESS

    def _add_audit_note(self, call: Call, claim: ClaimId, result: str) -> None:
        text = f"resend {call.request_id} at {self._node} was told: {result}"
        self._start_repair(self._store.add_audit_note(claim, text))


async def _prepend(head: bytes, rest: Any) -> Any:
    yield head
    async for chunk in rest:
        yield chunk
