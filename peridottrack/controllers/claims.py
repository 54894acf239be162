"""Runs keyed calls under a claim, and remembers those of this node."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
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

MAX_KEPT_BYTES = 200 << 10
MEMORY_ENTRIES = 2_048
MEMORY_BYTES = 16 << 20
RECORD_WAIT_S = 1.0
REPAIR_FIRST_S = 0.5
REPAIR_MAX_S = 30.0
REPAIR_CONCURRENCY = 8
LATE_ANSWER_S = 2.0
IN_PROGRESS_GRACE_S = 1.0 + LATE_ANSWER_S

ERROR_BY_HELD_STATE = {
    ClaimState.CLAIMED: ErrorKind.IN_PROGRESS,
    ClaimState.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    ClaimState.VOID: ErrorKind.CLAIM_UNSETTLED,
}


@dataclass(slots=True)
class _Remembered:
    record: ClaimRecord
    kept_bytes: int = 0


class ClaimsController:
    """The life of a keyed call: claim, run, record.

    What the store did not take at once is repaired in the background, with jitter and bounded
    concurrency, until it is durable.
    """

    def __init__(
        self, store: ClaimStore, node: str, clock: Clock, rng: Random, metrics: Metrics
    ) -> None:
        self._store = store
        self._node = node
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._remembered_by_id: OrderedDict[str, _Remembered] = OrderedDict()
        self._kept_bytes = 0
        self._repairs: set[asyncio.Task[None]] = set()
        self._repairing = asyncio.Semaphore(REPAIR_CONCURRENCY)

    async def run(self, call: Call, claim: ClaimId, proceed: Proceed) -> Response:
        """Run a call if no other attempt holds its claim, else answer from the claim."""
        known = self._remembered_by_id.get(claim.text)
        if known is not None and known.record.state is not ClaimState.VOID:
            return self._answer_held(call, known.record)
        record = self._new_record(call, claim)
        self._remember(record)
        reply = await self._claim(call, record)
        self._metrics.claims.labels(reply.status.value).inc()
        if reply.status is ClaimStatus.GRANTED and reply.handle is not None:
            return await self._run_granted(call, reply.handle, proceed)
        self._forget(claim)
        if reply.status is ClaimStatus.HELD:
            return self._answer_reply(call, claim, reply)
        if reply.status is ClaimStatus.REFUSED:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE)
        raise RequestError(ErrorKind.CLAIM_UNSETTLED)

    async def wait_for_repairs(self, within_s: float) -> bool:
        """Wait until all that is owed to the store is durable."""
        if not self._repairs:
            return True
        await asyncio.wait(self._repairs, timeout=within_s)
        return not self._repairs

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "remembered": len(self._remembered_by_id),
            "kept_bytes": self._kept_bytes,
            "repairs": len(self._repairs),
        }

    async def _claim(self, call: Call, record: ClaimRecord) -> ClaimReply:
        """Ask the store; give the answer up at the deadline, but not the question."""
        task = asyncio.ensure_future(self._store.claim(record))
        done, _ = await asyncio.wait([task], timeout=call.deadline - self._clock.now())
        if done:
            reply = task.result()
            if reply.status is ClaimStatus.UNSETTLED and reply.handle is not None:
                self._repair(self._void_unsettled(reply.handle))
            return reply
        self._repair(self._void_late(task))
        return ClaimReply(ClaimStatus.UNSETTLED)

    async def _run_granted(self, call: Call, ticket: ClaimHandle, proceed: Proceed) -> Response:
        log.debug("claim", "claim granted", request_id=call.request_id, claim=ticket.record.id.text)
        try:
            answer = await self._in_time(call, proceed)
        except RequestError as error:
            if RULE_BY_KIND[error.kind].ran is Ran.NO and not call.progress.outcome_unknown:
                await self._void(ticket)
            else:
                await self._record(ticket, self._ended(call, ticket, ClaimState.UNKNOWN))
            raise
        except BaseException:
            record = self._ended(call, ticket, ClaimState.UNKNOWN)
            self._repair(self._finish_until_durable(ticket, record))
            raise
        return await self._run_ended(call, ticket, answer)

    async def _in_time(self, call: Call, proceed: Proceed) -> Response:
        """Run a call that must not be sent after its deadline.

        Once it was sent, its answer is waited for a little longer, for the sake of a resend.
        """
        task = asyncio.ensure_future(proceed(call))
        try:
            await asyncio.wait([task], timeout=call.deadline - self._clock.now())
            if not task.done() and call.progress.dispatched:
                await asyncio.wait([task], timeout=LATE_ANSWER_S)
        finally:
            await cancel_and_wait(task)
        if not task.cancelled():
            return task.result()
        if call.progress.dispatched:
            raise RequestError(ErrorKind.DEADLINE_PASSED)
        raise RequestError(ErrorKind.TOO_LATE)

    async def _run_ended(self, call: Call, ticket: ClaimHandle, answer: Response) -> Response:
        if answer.body is None and answer.stream is not None:
            answer = await self._collected(call, ticket, answer)
        recorded = RecordedResponse(
            answer.status,
            [[name, value] for name, value in answer.headers.items()],
            answer.body if answer.body is None or len(answer.body) <= MAX_KEPT_BYTES else None,
        )
        record = replace(self._ended(call, ticket, ClaimState.DONE), answer=recorded)
        await self._record(ticket, record)
        return answer

    async def _collected(self, call: Call, ticket: ClaimHandle, answer: Response) -> Response:
        """Read a streamed answer whole, so that it can be kept; a large one stays a stream."""
        assert answer.stream is not None
        if answer.length is not None and answer.length > MAX_KEPT_BYTES:
            return answer
        body = bytearray()
        try:
            async for chunk in answer.stream:
                body += chunk
                if len(body) > MAX_KEPT_BYTES:
                    answer.stream = _rejoined(bytes(body), answer.stream)
                    return answer
        except Exception as error:
            if answer.close is not None:
                answer.close(False)
            await self._record(ticket, self._ended(call, ticket, ClaimState.UNKNOWN))
            raise RequestError(ErrorKind.UPSTREAM_FAILED, type(error).__name__) from None
        if answer.close is not None:
            answer.close(True)
        return Response(answer.status, answer.headers, bytes(body))

    def _ended(self, call: Call, ticket: ClaimHandle, state: ClaimState) -> ClaimRecord:
        return replace(
            ticket.record,
            state=state,
            instances=list(call.progress.dispatched),
            ended_wall_s=self._clock.wall(),
        )

    async def _void(self, ticket: ClaimHandle) -> None:
        """Make the claim void, so that "not run" may be said and a resend may run.

        Raises
        ------
        RequestError
            ``CLAIM_UNSETTLED`` if it could not be made durable.
        """
        record = replace(ticket.record, state=ClaimState.VOID, ended_wall_s=self._clock.wall())
        if await self._store.finish(ticket, record):
            self._metrics.claims.labels("voided").inc()
            self._forget(record.id)
            return
        self._repair(self._finish_until_durable(ticket, record))
        raise RequestError(ErrorKind.CLAIM_UNSETTLED)

    async def _record(self, ticket: ClaimHandle, record: ClaimRecord) -> None:
        """Make the outcome durable before the caller has it, if the store is quick enough."""
        self._remember(record)
        task = self._repair(self._finish_until_durable(ticket, record))
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    async def _finish_until_durable(self, ticket: ClaimHandle, record: ClaimRecord) -> None:
        pause_s = REPAIR_FIRST_S
        while not await self._finish(ticket, record):
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            pause_s = min(REPAIR_MAX_S, pause_s * 2)
        self._metrics.claims.labels("recorded").inc()
        if record.state is ClaimState.VOID:
            self._forget(record.id)

    async def _finish(self, ticket: ClaimHandle, record: ClaimRecord) -> bool:
        async with self._repairing:
            return await self._store.finish(ticket, record)

    async def _void_unsettled(self, ticket: ClaimHandle) -> None:
        """Settle a claim that may or may not have been written, without running it."""
        record = replace(ticket.record, state=ClaimState.VOID, ended_wall_s=self._clock.wall())
        pause_s = REPAIR_FIRST_S
        while not await self._store.withdraw(ticket, record):
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            pause_s = min(REPAIR_MAX_S, pause_s * 2)

    async def _void_late(self, task: asyncio.Future[ClaimReply]) -> None:
        reply = await task
        if reply.handle is None:
            return
        if reply.status is ClaimStatus.GRANTED:
            with contextlib.suppress(RequestError):
                await self._void(reply.handle)
        else:
            await self._void_unsettled(reply.handle)

    def _repair(self, work: Any) -> asyncio.Task[None]:
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

    def _remember(self, record: ClaimRecord) -> None:
        self._forget(record.id)
        body = record.answer.body if record.answer else None
        kept = _Remembered(record, len(body or b""))
        self._remembered_by_id[record.id.text] = kept
        self._kept_bytes += kept.kept_bytes
        while self._over_memory():
            if not self._evict_oldest():
                return

    def _over_memory(self) -> bool:
        return len(self._remembered_by_id) > MEMORY_ENTRIES or self._kept_bytes > MEMORY_BYTES

    def _evict_oldest(self) -> bool:
        """Forget the oldest claim that has ended; those that run are never forgotten."""
        for text, kept in self._remembered_by_id.items():
            if kept.record.state is not ClaimState.CLAIMED:
                del self._remembered_by_id[text]
                self._kept_bytes -= kept.kept_bytes
                return True
        return False

    def _forget(self, claim: ClaimId) -> None:
        kept = self._remembered_by_id.pop(claim.text, None)
        if kept is not None:
            self._kept_bytes -= kept.kept_bytes

    def _answer_reply(self, call: Call, claim: ClaimId, reply: ClaimReply) -> Response:
        if reply.record is None:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        return self._answer_held(call, reply.record)

    def _answer_held(self, call: Call, record: ClaimRecord) -> Response:
        try:
            answer = self._held_answer(call, record)
        except RequestError as error:
            self._note(call, record.id, error.kind.value)
            raise
        self._note(call, record.id, "recorded answer")
        return answer

    def _held_answer(self, call: Call, record: ClaimRecord) -> Response:
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
        # Both answers say that it is unknown whether it ran, so wall clocks may disagree.
        if self._clock.wall() - record.claimed_wall_s > runs_at_most_s:
            return ErrorKind.OUTCOME_UNKNOWN
        return ErrorKind.IN_PROGRESS

    def _note(self, call: Call, claim: ClaimId, told: str) -> None:
        text = f"resend {call.request_id} at {self._node} was told: {told}"
        self._repair(self._store.add_audit_note(claim, text))


async def _rejoined(head: bytes, rest: Any) -> Any:
    yield head
    async for chunk in rest:
        yield chunk
