"""Connections of a gate to an instance that sends bytes without end instead of a response."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest
from endless import CHUNKED, ENDLESS_BODIES, ENDLESS_HEADS, HEAD, REQUEST_ID, by_name
from helpers import MOST_UNREAD_BYTES, unread_bytes
from users_platform import InstanceStandin

from peridottrack.clock import LoopClock
from peridottrack.controllers.probe import Prober
from peridottrack.exceptions import BrokeOff, InvalidStatus, ResponseTooLarge
from peridottrack.headernames import HeaderNames
from peridottrack.types import Endpoint
from peridottrack.upstream import ConnectionPool

GIVE_UP_S = 1.5
"""Below the timeouts of the routes: a response without end is failed by its size, not by time."""
MAX_HEAD_MEMORY_BYTES = 4 << 20
"""For one response without a body; 18 of them at a time are 72 MB."""
MAX_BODIES_MEMORY_BYTES = 100 << 20
"""For all bodies: half of the 200 MB that the smallest process may use, which itself needs 60."""
CONCURRENT = 8
LARGE_ANSWER = 8 << 20
FAST_ANSWERS = 20
TRACED_GIVE_UP_S = 10.0
"""For the tests of the memory of bodies, as tracing it takes time."""


@pytest.fixture
async def instance():
    standin = InstanceStandin()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def pool(instance):
    new_pool = ConnectionPool(Endpoint("127.0.0.1", instance.port), LoopClock())
    yield new_pool
    new_pool.close()


async def exchange(pool, path="/stock/1", request_id=REQUEST_ID, give_up_s=GIVE_UP_S):
    connection = await pool.acquire(at_most_once=False)
    request = f"GET {path} HTTP/1.1\r\nHost: a\r\nRequest-Id: {request_id.decode()}\r\n\r\n"
    try:
        async with asyncio.timeout(give_up_s):
            return await connection.exchange(request.encode(), request_id, b"request-id", False)
    finally:
        pool.release(connection)


def send_endless(instance, start, piece, pause_s=0.0):
    script = instance.script
    script.endless, script.endless_start, script.endless_piece = 1_000, start, piece
    script.endless_pause_s = pause_s


async def until_closed(instance, count=1):
    """Wait until the instance no longer sends, because its connections were closed."""
    async with asyncio.timeout(1):
        while instance.aborted_runs < count:
            await asyncio.sleep(0.01)


# Guards against memory that grows, and a slot that stays taken, until the caller's deadline.
@pytest.mark.parametrize(("start", "piece"), by_name(ENDLESS_HEADS))
async def test_response_without_end_outside_its_body_is_failed_at_the_limit(
    instance, pool, start, piece
):
    send_endless(instance, start, piece)
    tracemalloc.start()
    try:
        with pytest.raises(ResponseTooLarge):
            await exchange(pool)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_HEAD_MEMORY_BYTES
    await until_closed(instance)


# Guards against a body that fills the memory of the process, or that a caller takes for complete.
@pytest.mark.parametrize(("start", "piece"), by_name(ENDLESS_BODIES))
async def test_bodies_without_end_are_failed_within_the_memory_of_a_process(
    instance, pool, start, piece
):
    send_endless(instance, start, piece)
    tracemalloc.start()
    try:
        outcomes = await asyncio.gather(
            *(exchange(pool, give_up_s=TRACED_GIVE_UP_S) for _ in range(CONCURRENT)),
            return_exceptions=True,
        )
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_BODIES_MEMORY_BYTES
    assert [type(outcome) for outcome in outcomes] == [ResponseTooLarge] * CONCURRENT
    await until_closed(instance, CONCURRENT)


# Guards against a limit of all bodies that fails the small responses instead of the endless ones.
async def test_small_response_is_complete_beside_bodies_without_end(instance, pool):
    send_endless(instance, *ENDLESS_BODIES["body that the connection ends"])
    endless = [asyncio.create_task(exchange(pool)) for _ in range(CONCURRENT)]
    while len(instance.runs) < CONCURRENT:
        await asyncio.sleep(0)
    instance.script.endless = 0
    while not all(task.done() for task in endless):
        assert (await exchange(pool)).body == b"answer to r1"
    assert {type(task.exception()) for task in endless} == {ResponseTooLarge}


# Guards against bytes after a response that are read for as long as the connection is kept.
@pytest.mark.parametrize("piece", [b"a", b"\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
async def test_bytes_without_end_after_a_response_close_the_connection(instance, pool, piece):
    instance.script.endless_after_response, instance.script.endless_piece = 1, piece
    for _ in range(3):
        response = await exchange(pool)
        assert (response.status, response.body) == (200, b"answer to r1")
        await asyncio.sleep(0.05)
    await until_closed(instance)
    assert instance.connections == 2


# Guards against limits that reject complete responses.
@pytest.mark.parametrize(
    ("head", "size", "chunk_size"),
    [
        pytest.param(b"HTTP/1.1 100 Continue\r\n\r\n" * 100 + CHUNKED, 50, 10, id="interim"),
        pytest.param(HEAD + b"A: b\r\n" * 3_000 + CHUNKED[len(HEAD) :], 50, 10, id="head"),
        pytest.param(CHUNKED, 30_000, 7, id="very small chunks"),
        pytest.param(CHUNKED, 4_000_000, 64, id="small chunks"),
    ],
)
async def test_unusual_but_complete_response_is_accepted(instance, pool, head, size, chunk_size):
    body = bytes(number % 251 for number in range(size))
    pieces = [body[at : at + chunk_size] for at in range(0, size, chunk_size)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    send_endless(instance, head + chunks + b"0\r\n\r\n", b"\r\n", pause_s=1)
    response = await exchange(pool)
    assert response.body == body


# Guards against a probe that fails with an exception nobody expects.
async def test_probe_without_an_end_of_its_response_fails(instance, pool):
    send_endless(instance, *ENDLESS_HEADS["header lines"])
    prober = Prober(pool, lambda: "/stock/1", HeaderNames(), 20.0, LoopClock())
    assert await prober.probe() is None
    await until_closed(instance)


@pytest.mark.parametrize(
    "status", [b"000", b"001", b"020", b"099", b"0", b"20", b"600", b"999", b"1000", b"-20", b"abc"]
)
@pytest.mark.parametrize("headers", [b"Content-Length: 2\r\n\r\nok", b"Connection: close\r\n\r\n"])
async def test_answer_without_a_status_of_http_is_none(pool, instance, status, headers):
    start = b"HTTP/1.1 %b OK\r\nRequest-Id: r1\r\n%b" % (status, headers)
    # The pieces that follow are far apart.
    send_endless(instance, start, b"x", pause_s=10.0)
    with pytest.raises((BrokeOff, InvalidStatus)):
        await exchange(pool)


async def test_bytes_that_a_busy_gate_has_not_read_are_bounded(instance, pool):
    """The kernel enlarges the buffer of a connection that was read fast before."""
    instance.script.answer_bytes = LARGE_ANSWER
    for _ in range(FAST_ANSWERS):
        await exchange(pool)
    connection = await pool.acquire(at_most_once=False)
    transport = connection._transport
    transport.pause_reading()
    asking = asyncio.create_task(
        connection.exchange(b"GET /stock/1 HTTP/1.1\r\n\r\n", REQUEST_ID, b"request-id", False)
    )
    await asyncio.sleep(0.2)
    assert 0 < unread_bytes(transport) < MOST_UNREAD_BYTES
    asking.cancel()
