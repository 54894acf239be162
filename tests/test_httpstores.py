"""The HTTP clients of the stores against the stand-in platform, and the circuit breaker."""

from __future__ import annotations

import random

import aiohttp
import pytest

from peridottrack.clock import ManualClock
from peridottrack.exceptions import StoreUnavailable
from peridottrack.httpstores import DynamoDbTable, S3ObjectStore
from peridottrack.standin.faults import StoreFault
from peridottrack.standin.platform import serve_platform
from peridottrack.store import OPEN_MAX_S, BreakerState, CircuitBreaker, new_writer_id, scan
from peridottrack.types import ABSENT_VERSION, RowKey, Write, WriteAction, WriteOutcome


@pytest.fixture
async def platform():
    standin, runner, port = await serve_platform("127.0.0.1", 0)
    async with aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{port}"
        yield standin, DynamoDbTable(session, url, "t", 2.0), S3ObjectStore(session, url, "b", 2.0)
    await runner.cleanup()


def put(sort, expected=ABSENT_VERSION, value=b"v"):
    return Write(WriteAction.PUT, RowKey("p", sort), expected, value)


async def test_transactions_are_atomic(platform):
    _, table, _ = platform
    assert await table.transact([put("a"), put("b")], new_writer_id()) is WriteOutcome.APPLIED
    assert await table.transact([put("c"), put("a")], new_writer_id()) is WriteOutcome.CONFLICT
    assert await table.get(RowKey("p", "c")) is None
    check = Write(WriteAction.CHECK, RowKey("p", "a"), 1)
    delete = Write(WriteAction.DELETE, RowKey("p", "b"), 1)
    writer = new_writer_id()
    assert await table.transact([check, delete, put("d")], writer) is WriteOutcome.APPLIED
    row = await table.get(RowKey("p", "d"))
    assert (row.value, row.version, row.writer) == (b"v", 1, writer)
    assert [row.key.sort async for row in scan(table, "p")] == ["a", "d"]


async def test_range_queries_come_in_pages(platform):
    _, table, _ = platform
    for number in range(25):
        await table.transact([put(f"{number:03d}")], new_writer_id())
    page = await table.query("p", "004", limit=10)
    assert [row.key.sort for row in page.rows] == [f"{number:03d}" for number in range(5, 15)]
    assert page.after == "014"
    assert (await table.query("p", "020", limit=10)).after is None


async def test_objects_are_put_once(platform):
    _, _, objects = platform
    assert await objects.put_if_absent("x/1", b"one") is WriteOutcome.APPLIED
    assert await objects.put_if_absent("x/1", b"two") is WriteOutcome.CONFLICT
    await objects.put_if_absent("x/2", b"three")
    assert await objects.get("x/1") == b"one"
    assert await objects.get("x/9") is None
    assert await objects.list("x/") == ["x/1", "x/2"]
    assert await objects.list("x/", after="x/1") == ["x/2"]
    await objects.delete("x/1")
    assert await objects.list("x/") == ["x/2"]


@pytest.mark.parametrize(
    ("fault", "outcome", "written"),
    [
        (StoreFault.DOWN, WriteOutcome.REFUSED, False),
        (StoreFault.THROTTLED, WriteOutcome.REFUSED, False),
        (StoreFault.LOST_BEFORE, WriteOutcome.UNKNOWN, False),
        (StoreFault.LOST_AFTER, WriteOutcome.UNKNOWN, True),
    ],
)
async def test_faults_map_to_outcomes(platform, fault, outcome, written):
    standin, table, objects = platform
    standin.faults.queue([fault])
    assert await table.transact([put("a")], new_writer_id()) is outcome
    assert (await table.get(RowKey("p", "a")) is not None) is written
    standin.faults.queue([StoreFault.DOWN])
    with pytest.raises(StoreUnavailable):
        await table.get(RowKey("p", "a"))
    standin.faults.queue([StoreFault.DOWN])
    with pytest.raises(StoreUnavailable):
        await objects.get("x")


async def test_refused_connection_means_nothing_was_written():
    async with aiohttp.ClientSession() as session:
        table = DynamoDbTable(session, "http://127.0.0.1:1", "t", 1.0)
        assert await table.transact([put("a")], new_writer_id()) is WriteOutcome.REFUSED


async def test_rate_limit_of_the_platform_is_enforced(platform):
    _, table, _ = platform
    outcomes = [
        await table.transact([put(f"{start + n}") for n in range(100)], new_writer_id())
        for start in range(0, 1_500, 100)
    ]
    assert WriteOutcome.REFUSED in outcomes
    assert outcomes[0] is WriteOutcome.APPLIED


def test_half_open_breaker_allows_one_call():
    clock = ManualClock()
    breaker = CircuitBreaker(clock, random.Random(1))
    for _ in range(3):
        assert breaker.try_acquire()
        breaker.record_failure()
    assert breaker.state is BreakerState.OPEN
    assert not breaker.try_acquire()
    clock.advance(OPEN_MAX_S * 2)
    assert [breaker.try_acquire() for _ in range(5)] == [True, False, False, False, False]
    breaker.record_failure()
    assert not breaker.try_acquire()
    clock.advance(OPEN_MAX_S * 2)
    assert breaker.try_acquire()
    breaker.record_success()
    assert all(breaker.try_acquire() for _ in range(5))
