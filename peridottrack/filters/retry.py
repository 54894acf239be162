"""Retries idempotent or not-run requests, and hedges slow idempotent ones."""

from __future__ import annotations

import asyncio
import dataclasses

from peridottrack.call import Call, Proceed, Response, cancel_and_wait, close_unread
from peridottrack.controllers.load import LoadController
from peridottrack.errors import RULE_BY_KIND, ErrorKind, Ran
from peridottrack.exceptions import RequestError
from peridottrack.poison import PoisonList
from peridottrack.retry import MAX_ATTEMPTS, backoff_s
from peridottrack.types import Clock, Random

# The instance did not run the request, so any request may be retried on another instance.
NOT_RUN_KINDS = frozenset({ErrorKind.UPSTREAM_SHED, ErrorKind.UPSTREAM_UNREACHABLE})
# The request may have run, so only an idempotent request may be retried.
MAY_HAVE_RUN_KINDS = frozenset({ErrorKind.UPSTREAM_FAILED, ErrorKind.UPSTREAM_ANSWER_INVALID})


class RetryFilter:
    """Retries and hedges within the service's retry budget."""

    def __init__(self, load: LoadController, poison: PoisonList, clock: Clock, rng: Random) -> None:
        self._load = load
        self._poison = poison
        self._clock = clock
        self._rng = rng

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Attempt the call until there is a response or no further attempt is allowed."""
        budget = self._load.budget(call.service)
        budget.record_call()
        while True:
            try:
                return await self._attempt(call, proceed)
            except RequestError as error:
                if not self._may_retry(call, error.kind) or not budget.take_retry():
                    raise self._correct_not_run(call, error) from None
            call.attempt += 1
            call.reason = "retry"
            await asyncio.sleep(backoff_s(call.attempt, self._rng))

    def _may_retry(self, call: Call, kind: ErrorKind) -> bool:
        if call.attempt >= MAX_ATTEMPTS or call.body is None:
            return False
        if kind in NOT_RUN_KINDS:
            return not call.progress.outcome_unknown or call.idempotent
        if kind not in MAY_HAVE_RUN_KINDS or not call.idempotent:
            return False
        return self._poison.quarantine_left_s(call.fingerprint) <= 0

    def _correct_not_run(self, call: Call, error: RequestError) -> RequestError:
        """Replace a "not run" error if any attempt of the request may have run."""
        if call.progress.outcome_unknown and RULE_BY_KIND[error.kind].ran is Ran.NO:
            return RequestError(ErrorKind.UPSTREAM_FAILED, error.detail)
        return error

    async def _attempt(self, call: Call, proceed: Proceed) -> Response:
        hedge_after_s = self._load.hedge_after_s(call) if call.replayable else None
        if hedge_after_s is None or self._clock.now() + hedge_after_s >= call.deadline:
            return await proceed(call)
        return await self._hedged(call, proceed, hedge_after_s)

    async def _hedged(self, call: Call, proceed: Proceed, hedge_after_s: float) -> Response:
        loop = asyncio.get_running_loop()
        first_event = FirstEvent(loop.create_future())
        call.on_slow = first_event
        first = loop.create_task(proceed(call))
        first.add_done_callback(first_event)
        timer = loop.call_later(hedge_after_s, first_event)
        attempts, used = [first], None
        try:
            await first_event.future
            if not first.done() and self._load.may_hedge(call):
                hedge_call = dataclasses.replace(
                    call, attempt=call.attempt + 1, reason="hedge", on_slow=None
                )
                attempts.append(loop.create_task(proceed(hedge_call)))
            used = await _first_success(attempts)
            return used.result()
        finally:
            timer.cancel()
            for attempt in attempts:
                if attempt is not used:
                    # Also one that has ended in the step in which the caller left.
                    attempt.add_done_callback(close_unread)
                    if not attempt.done():
                        await cancel_and_wait(attempt)


class FirstEvent:
    """A callback that resolves a future at the first of several events and ignores later ones.

    It accepts the arguments of any event, and is cheaper than a waiting task for each event.
    """

    def __init__(self, future: asyncio.Future[None]) -> None:
        self.future = future

    def __call__(self, *event: object) -> None:
        """Resolve the future unless it is resolved already."""
        if not self.future.done():
            self.future.set_result(None)


async def _first_success(attempts: list[asyncio.Task[Response]]) -> asyncio.Task[Response]:
    """Return the first attempt that gets a response; the first one of all if none does."""
    pending = set(attempts)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.exception() is None:
                return task
    return attempts[0]
