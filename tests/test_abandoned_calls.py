"""Calls whose caller leaves give their slots back, whenever their response arrives."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from peridottrack.call import Call, Response
from peridottrack.clock import LoopClock, run_virtual
from peridottrack.controllers.claims import MAX_STORED_BODY_BYTES
from peridottrack.filters.claim import ClaimFilter
from peridottrack.filters.retry import RetryFilter
from peridottrack.types import RequestId

HEDGE_AFTER_S = 0.1
RESPONSE_S = 0.2


class Upstream:
    """The rest of the chain; its streamed responses hold a slot until they are closed."""

    def __init__(self):
        self.held = 0
        self.on_response = lambda: None

    async def proceed(self, call):
        await asyncio.sleep(RESPONSE_S)
        self.held += 1
        self.on_response()
        return Response(200, CIMultiDict(), None, object(), MAX_STORED_BODY_BYTES + 1, self.close)

    def close(self, complete):
        self.held -= 1


def load_of(hedges):
    budget = SimpleNamespace(record_call=lambda: None)
    return SimpleNamespace(
        budget=lambda service: budget,
        hedge_after_s=lambda call: HEDGE_AFTER_S,
        may_hedge=lambda call: hedges,
    )


def a_call(**fields):
    route = SimpleNamespace(service="katalog", path="/orders", key="required")
    return Call(None, RequestId("r"), 0.0, route=route, **fields)


# The result of an attempt that ended in the step that cancelled its call was never closed.
@pytest.mark.parametrize("hedges", [False, True])
def test_response_that_arrives_in_the_step_that_cancels_its_call_is_closed(hedges):
    async def run():
        upstream, loop = Upstream(), asyncio.get_running_loop()
        retry = RetryFilter(load_of(hedges), None, LoopClock(), None)
        call = asyncio.create_task(retry(a_call(idempotent=True), upstream.proceed))
        upstream.on_response = lambda: loop.call_soon(call.cancel)
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(2 * RESPONSE_S)
        assert call.cancelled()
        return upstream.held

    assert run_virtual(run()) == 0


# A claimed call goes on without its caller; nobody closed a response that is too large to store.
def test_streamed_response_to_a_claimed_call_whose_caller_has_left_is_closed():
    async def run():
        upstream = Upstream()
        claims = SimpleNamespace(run=lambda call, claim, proceed: proceed(call))
        request = SimpleNamespace(headers={"Idempotency-Key": "k"})
        claimed = a_call(credential="me")
        claimed.request = request
        call = asyncio.create_task(ClaimFilter(claims)(claimed, upstream.proceed))
        await asyncio.sleep(RESPONSE_S / 2)
        call.cancel()
        await asyncio.sleep(2 * RESPONSE_S)
        assert call.cancelled()
        return upstream.held

    assert run_virtual(run()) == 0
