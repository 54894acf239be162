"""Questions to the instance beside a node, with connections of the test's own."""

from __future__ import annotations

import asyncio

import pytest

from peridottrack.clock import ManualClock
from peridottrack.controllers.probe import Health, Prober, Unheard
from peridottrack.exceptions import BrokeOff
from peridottrack.headernames import HeaderNames
from peridottrack.upstream import UpstreamResponse

DIALECT = HeaderNames()
WELL = [(b"peridot-load", b"1,0,3,100"), (b"peridot-instance", b"i-1")]
SLOW = [(b"peridot-load", b"1,0,3,500"), (b"peridot-instance", b"i-1")]


class Pool:
    """Hands out itself; answers when it is told to."""

    def __init__(self, clock):
        self.clock = clock
        self.takes_s = 0.0
        self.answers = asyncio.Queue()
        self.asked = 0

    async def acquire(self, at_most_once):
        return self

    def release(self, connection):
        assert connection is self

    async def exchange(self, request, request_id, id_name, bodiless):
        self.asked += 1
        headers = await self.answers.get()
        if headers is None:
            raise BrokeOff("reset")
        self.clock.advance(self.takes_s)
        return UpstreamResponse(200, headers, b"", False)


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
async def pool(clock):
    return Pool(clock)


@pytest.fixture
async def prober(pool, clock):
    made = Prober(pool, lambda: "/healthz", DIALECT, 20.0, clock)
    made.words = []
    made.on_load = made.words.append
    return made


async def test_a_host_that_does_not_answer_in_time_is_silent_and_heard_later(prober, pool):
    assert await prober.ask_soon() is Unheard.SILENT
    assert await prober.ask_soon() is Unheard.SILENT
    assert pool.asked == 1
    pool.answers.put_nowait(SLOW)
    answer = await prober.ask_soon()
    assert isinstance(answer, Health)
    assert [figures.slowdown for figures in prober.words] == [5.0]


async def test_the_usual_time_is_learnt_from_hosts_that_are_well(prober, pool, clock):
    pool.takes_s = 0.006
    before_s = prober._usual_s
    pool.answers.put_nowait(SLOW)
    await prober.ask_soon()
    assert prober._usual_s == before_s
    for _ in range(100):
        clock.advance(0.1)
        pool.answers.put_nowait(WELL)
        await prober.ask_soon()
    assert prober._usual_s == pytest.approx(0.006, rel=0.01)


async def test_beyond_the_budget_nothing_is_asked_and_a_broken_answer_tells_nothing(
    prober, pool, clock
):
    for _ in range(20):
        pool.answers.put_nowait(None)
        assert await prober.ask_soon() is Unheard.FAILED
    assert await prober.ask_soon() is Unheard.NOT_ASKED
    clock.advance(0.1)
    pool.answers.put_nowait(WELL)
    assert isinstance(await prober.ask_soon(), Health)
    assert pool.asked == 21
