"""Requests that wait at a full gate until they can no longer be served in time."""

from __future__ import annotations

import asyncio

import pytest

from peridottrack.clock import LoopClock, run_virtual
from peridottrack.controllers.gate import GateController
from peridottrack.errors import ErrorKind, Ran
from peridottrack.frames import ForwardedRequest, Refusal
from peridottrack.gate import MIN_RUN_SHARE, AdmissionRequest
from peridottrack.headernames import HeaderNames
from peridottrack.types import Endpoint

RUN_S = 0.4
BUDGET_S = 1.0
SOON_S = 0.01
SAME_STEP_S = 1e-10
"""Below the resolution of the loop's clock, so that a timer fires in the step of the one before."""


def frame(number, priority):
    return ForwardedRequest(
        number, BUDGET_S, 0.0, BUDGET_S, "read", priority, True, False, "GET", b"/", b"", b"", "i-1"
    )


# An overtaken request waited to its deadline, when its sender could no longer tell that it had not
# run, and answered 504.
@pytest.mark.parametrize("per_s", [None, 0.5])
def test_request_that_is_overtaken_is_refused_while_its_sender_can_still_tell(per_s):
    async def run():
        clock = LoopClock()
        controller = GateController(Endpoint("127.0.0.1", 1), HeaderNames(), clock)
        gate = controller.gate
        gate.open("i-1", "katalog", 1, 0.0)
        gate.local_instance.has_responded = True
        first = AdmissionRequest("read", 1, 9.0, 9.0, lambda verdict: None)
        gate.submit(first, "i-1")
        gate._run_time_by_route["read"] = gate._overall_run_time
        gate._overall_run_time.add(RUN_S)
        if per_s is not None:
            gate.record_rate_limit(per_s)
            gate.local_instance.rate_limit.take()
        started_at = clock.now()
        replies = []
        # The second one has a higher priority and goes ahead.
        tasks = [
            controller.start(
                frame(number, priority),
                lambda reply: replies.append((clock.now() - started_at, reply)),
                lambda hint: None,
            )
            for number, priority in ((1, 2), (2, 1))
        ]
        for task in tasks:
            await task
        return replies

    replies = run_virtual(run())
    assert len(replies) == 2
    for at, reply in replies:
        assert isinstance(reply, Refusal)
        assert reply.kind in (ErrorKind.TOO_LATE, ErrorKind.INSTANCE_LIMITED)
        assert reply.ran is Ran.NO
        assert at <= BUDGET_S - MIN_RUN_SHARE * RUN_S + 0.01


# The gate starts a queued request when a slot is free, also one whose task was cancelled in the
# same step and has not run since. Its slot was never released.
@pytest.mark.parametrize("ended", ["cancelled", "timed out"])
def test_request_that_starts_in_the_step_that_ends_it_gives_its_slot_back(ended):
    async def run():
        loop = asyncio.get_running_loop()
        controller = GateController(Endpoint("127.0.0.1", 1), HeaderNames(), LoopClock())
        gate = controller.gate
        gate.open("i-1", "katalog", 1, 0.0)
        gate.local_instance.has_responded = True
        first = AdmissionRequest("read", 1, 9.0, 9.0, lambda verdict: None)
        gate.submit(first, "i-1")
        gate._overall_run_time.add(RUN_S)
        wait = controller.start(frame(1, 1), lambda reply: None, lambda hint: None)
        await asyncio.sleep(0)
        assert gate.waiting == 1
        if ended == "cancelled":
            wait.cancel()
            gate.release(first, False)
        else:
            gives_up_at = loop.time() + BUDGET_S - MIN_RUN_SHARE * RUN_S
            loop.call_at(gives_up_at - SOON_S, gate._overall_run_time.add, 0.0)
            loop.call_at(gives_up_at + SAME_STEP_S, gate.release, first, False)
        await asyncio.gather(wait, return_exceptions=True)
        return gate.running, gate.waiting

    assert run_virtual(run()) == (0, 0)
