"""Tests of probes to the local instance, with a fake connection pool."""

from __future__ import annotations

import asyncio

import pytest

from peridottrack.clock import ManualClock
from peridottrack.controllers.probe import Health, ProbeFailure, Prober
from peridottrack.exceptions import BrokeOff
from peridottrack.headernames import HeaderNames
from peridottrack.upstream import UpstreamResponse

HEADER_NAMES = HeaderNames()
HEALTHY = [(b"peridot-load", b"1,0,3,100"), (b"peridot-instance", b"i-1")]
SLOW = [(b"peridot-load", b"1,0,3,500"), (b"peridot-instance", b"i-1")]


class Pool:
    """Fake pool and connection; answers with the headers that the test queues."""

    def __init__(self, clock):
        self.clock = clock
        self.latency_s = 0.0
        self.responses = asyncio.Queue()
        self.probes = 0

    async def acquire(self, at_most_once):
        return self

    def release(self, connection):
        assert connection is self

    async def exchange(self, request, request_id, id_name, bodiless):
        self.probes += 1
        headers = await self.responses.get()
        if headers is None:
            raise BrokeOff("reset")
        self.clock.advance(self.latency_s)
        return UpstreamResponse(200, headers, b"", False)


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
async def pool(clock):
    return Pool(clock)


@pytest.fixture
async def prober(pool, clock):
    new_prober = Prober(pool, lambda: "/healthz", HEADER_NAMES, 20.0, clock)
    new_prober.reports = []
    new_prober.on_response = lambda stated, instance: new_prober.reports.append(stated.load)
    return new_prober


async def test_late_probe_times_out_and_its_load_is_recorded(prober, pool):
    assert await prober.probe_briefly() is ProbeFailure.TIMEOUT
    assert await prober.probe_briefly() is ProbeFailure.TIMEOUT
    assert pool.probes == 1
    pool.responses.put_nowait(SLOW)
    health = await prober.probe_briefly()
    assert isinstance(health, Health)
    assert [figures.slowdown for figures in prober.reports] == [5.0]


async def test_usual_latency_is_learnt_from_healthy_hosts_only(prober, pool, clock):
    pool.latency_s = 0.006
    before_s = prober._usual_latency_s
    pool.responses.put_nowait(SLOW)
    await prober.probe_briefly()
    assert prober._usual_latency_s == before_s
    for _ in range(100):
        clock.advance(0.1)
        pool.responses.put_nowait(HEALTHY)
        await prober.probe_briefly()
    assert prober._usual_latency_s == pytest.approx(0.006, rel=0.01)


async def test_probes_stay_within_the_budget_and_broken_responses_fail(prober, pool, clock):
    for _ in range(20):
        pool.responses.put_nowait(None)
        assert await prober.probe_briefly() is ProbeFailure.FAILED
    assert await prober.probe_briefly() is ProbeFailure.OVER_BUDGET
    clock.advance(0.1)
    pool.responses.put_nowait(HEALTHY)
    assert isinstance(await prober.probe_briefly(), Health)
    assert pool.probes == 21
