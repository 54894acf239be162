"""Sends idempotent or not-run requests again, and hedges slow idempotent ones."""

from __future__ import annotations

import asyncio
import dataclasses

from peridottrack.call import Call, Proceed, Response, cancel_and_wait
from peridottrack.controllers.load import LoadController
from peridottrack.errors import RULE_BY_KIND, ErrorKind, Ran
from peridottrack.exceptions import RequestError
from peridottrack.poison import PoisonList
from peridottrack.retry import MAX_ATTEMPTS, backoff_s
from peridottrack.types import Clock, Random

# The instance did not run the request, so any request may be sent to another one.
NOT_RUN_KINDS = frozenset({ErrorKind.UPSTREAM_SHED, ErrorKind.UPSTREAM_UNREACHABLE})
# The request may have run, so only an idempotent one may be sent again.
BROKEN_KINDS = frozenset({ErrorKind.UPSTREAM_FAILED, ErrorKind.UPSTREAM_ANSWER_INVALID})


class RetryFilter:
    """Makes further attempts within the service's retry budget."""

    def __init__(self, load: LoadController, poison: PoisonList, clock: Clock, rng: Random) -> None:
        self._load = load
        self._poison = poison
        self._clock = clock
        self._rng = rng

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Try until there is an answer or no further attempt is due."""
        budget = self._load.budget(call.service)
        budget.record_call()
        while True:
            try:
                return await self._attempt(call, proceed)
            except RequestError as error:
                if not self._is_retried(call, error.kind) or not budget.take_retry():
                    raise self._truthful(call, error) from None
            call.attempt += 1
            call.reason = "retry"
            await asyncio.sleep(backoff_s(call.attempt, self._rng))

    def _is_retried(self, call: Call, kind: ErrorKind) -> bool:
        if call.attempt >= MAX_ATTEMPTS or call.body is None:
            return False
        if kind in NOT_RUN_KINDS:
            return not call.progress.outcome_unknown or call.idempotent
        if kind not in BROKEN_KINDS or not call.idempotent:
            return False
        return self._poison.quarantine_left_s(call.fingerprint) <= 0

    def _truthful(self, call: Call, error: RequestError) -> RequestError:
        """Never say "not run" of a request with an attempt that may have run."""
        if call.progress.outcome_unknown and RULE_BY_KIND[error.kind].ran is Ran.NO:
            return RequestError(ErrorKind.UPSTREAM_FAILED, error.detail)
        return error

    async def _attempt(self, call: Call, proceed: Proceed) -> Response:
        wait_s = self._load.hedge_after_s(call) if call.replayable else None
        if wait_s is None or self._clock.now() + wait_s >= call.deadline:
            return await proceed(call)
        return await self._hedged(call, proceed, wait_s)

    async def _hedged(self, call: Call, proceed: Proceed, wait_s: float) -> Response:
        loop = asyncio.get_running_loop()
        wake = Wake(loop.create_future())
        call.on_slow = wake
        first = loop.create_task(proceed(call))
        first.add_done_callback(wake)
        timer = loop.call_later(wait_s, wake)
        try:
            await wake.future
            if first.done() or not self._load.may_hedge(call):
                return await first
            hedge_call = dataclasses.replace(
                call, attempt=call.attempt + 1, reason="hedge", on_slow=None
            )
            hedge = loop.create_task(proceed(hedge_call))
        except asyncio.CancelledError:
            await cancel_and_wait(first)
            raise
        finally:
            timer.cancel()
        return await _first_answer(first, hedge)


class Wake:
    """Ends a wait at the first of several events; the later ones change nothing.

    It is called with whatever the event passes on, and costs less than tasks that wait.
    """

    def __init__(self, future: asyncio.Future[None]) -> None:
        self.future = future

    def __call__(self, *event: object) -> None:
        """Note that something happened."""
        if not self.future.done():
            self.future.set_result(None)


async def _first_answer(first: asyncio.Task[Response], hedge: asyncio.Task[Response]) -> Response:
    """Return whichever answers first, cancel the other; fail only if both do."""
    pending = {first, hedge}
    try:
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.exception() is None:
                    return task.result()
        return first.result()
    finally:
        for task in (first, hedge):
            if not task.done():
                await cancel_and_wait(task)
        _close_loser(first, hedge)


def _close_loser(first: asyncio.Task[Response], hedge: asyncio.Task[Response]) -> None:
    """Give up the second answer if both came at once."""
    answered = [
        task for task in (first, hedge) if not task.cancelled() and task.exception() is None
    ]
    for task in answered[1:]:
        close = task.result().close
        if close is not None:
            close(False)
