"""The HTTP server for callers over raw sockets: pipelining, limits, invalid input, closing."""

from __future__ import annotations

import asyncio
import gc
import socket
import sys
import weakref
from collections import Counter

import pytest

from peridottrack.bytebudget import STALL_S, ByteBudget
from peridottrack.clock import LoopClock
from peridottrack.ingress import (
    CROWDED,
    MAX_PIPELINED,
    READ_BYTES,
    BufferedResponse,
    CallerConnection,
    Ingress,
)
from peridottrack.requestreader import SLICE_BYTES
from peridottrack.routing import CallerLimits

SENDERS = 100
FEW_SENDERS = 8
SMALL_CHUNKS = b"1\r\na\r\n" * 10_000


class IngressHarness:
    """An ingress whose responses are set by the test."""

    def __init__(self):
        self.requests = []
        self.responses = {}
        self.cancelled = []
        self.ingress = Ingress(self.handle, self.make_rejection, LoopClock())

    async def handle(self, request):
        self.requests.append(request)
        future = self.responses.setdefault(request.target, asyncio.Future())
        try:
            return await future
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise

    def make_rejection(self, status, reason):
        return BufferedResponse(status, [], reason.encode())

    def limit_bytes(self, limit):
        self.ingress.budget = ByteBudget(limit, LoopClock())

    def respond(self, target, body=b"ok", **extra):
        future = self.responses.setdefault(target, asyncio.Future())
        future.set_result(BufferedResponse(200, [], body, **extra))

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)


@pytest.fixture
async def server():
    harness = IngressHarness()
    harness.port = await harness.ingress.start("127.0.0.1", 0)
    yield harness
    await harness.ingress.stop()


@pytest.fixture
async def caller(server):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    yield reader, writer
    writer.close()


def get(target, extra=""):
    return f"GET {target} HTTP/1.1\r\nHost: a\r\n{extra}\r\n".encode()


async def read_response(reader):
    async with asyncio.timeout(5):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        return int(head.split()[1]), head, await reader.readexactly(length)


async def test_pipelined_requests_are_worked_on_at_once_and_answered_in_order(server, caller):
    reader, writer = caller
    writer.write(get("/1") + get("/2") + get("/3"))
    await server.until(lambda: len(server.requests) == 3)
    server.respond(b"/3", b"three")
    server.respond(b"/2", b"two")
    await asyncio.sleep(0.02)
    server.respond(b"/1", b"one")
    assert [(await read_response(reader))[2] for _ in range(3)] == [b"one", b"two", b"three"]


async def test_pipelining_is_bounded(server, caller):
    reader, writer = caller
    for number in range(MAX_PIPELINED + 20):
        writer.write(get(f"/{number}"))
        await asyncio.sleep(0)
    await server.until(lambda: len(server.requests) >= MAX_PIPELINED)
    await asyncio.sleep(0.05)
    read = len(server.requests)
    assert read <= MAX_PIPELINED + 20
    for number in range(MAX_PIPELINED + 20):
        server.respond(f"/{number}".encode())
    for _ in range(MAX_PIPELINED + 20):
        assert (await read_response(reader))[0] == 200


async def test_pipelined_requests_that_arrive_at_once_are_bounded(server, caller):
    reader, writer = caller
    count = 1_000
    writer.write(b"".join(get(f"/{number}") for number in range(count)))
    await server.until(lambda: len(server.requests) >= MAX_PIPELINED)
    await asyncio.sleep(0.05)
    # Those that are parsed together are taken.
    assert len(server.requests) <= MAX_PIPELINED + SLICE_BYTES // len(get("/1"))
    for number in range(count):
        server.respond(f"/{number}".encode(), b"%d" % number)
    for number in range(count):
        assert (await read_response(reader))[2] == b"%d" % number


async def test_callers_of_a_crowded_node_get_one_request_at_a_time(server, caller):
    reader, writer = caller
    server.ingress.in_flight = CROWDED
    writer.write(get("/1") + get("/2", f"Big: {'a' * SLICE_BYTES}\r\n"))
    await server.until(lambda: server.requests)
    await asyncio.sleep(0.02)
    assert len(server.requests) == 1
    server.respond(b"/1")
    server.respond(b"/2")
    assert [(await read_response(reader))[0] for _ in range(2)] == [200, 200]


async def test_caller_that_leaves_cancels_its_requests(server, caller):
    _, writer = caller
    writer.write(get("/1") + get("/2"))
    await server.until(lambda: len(server.requests) == 2)
    writer.close()
    await server.until(lambda: sorted(server.cancelled) == [b"/1", b"/2"])
    assert server.ingress.in_flight == 0


async def test_caller_of_a_large_body_that_leaves_cancels_its_request(server, caller):
    _, writer = caller
    body = b"x" * (6 << 20)
    writer.write(b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    await server.until(lambda: len(server.requests) == 1)
    writer.close()
    await server.until(lambda: server.cancelled == [b"/1"])
    assert server.ingress.in_flight == 0


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nBig: " + b"x" * 600 + b"\r\n\r\n", 431),
    ],
)
async def test_input_that_is_no_request_is_refused_and_runs_nothing(server, caller, sent, status):
    server.ingress.limits = CallerLimits(500, 100, 3.0, 15.0)
    reader, writer = caller
    writer.write(sent)
    assert (await read_response(reader))[0] == status
    assert await reader.read() == b""
    assert server.ingress.in_flight == 0


async def test_smuggled_request_behind_bad_framing_is_not_read(server, caller):
    reader, writer = caller
    writer.write(
        b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n" + get("/smuggled")
    )
    assert (await read_response(reader))[0] == 400
    assert server.requests == []


async def test_slow_headers_end_with_408(server, caller):
    server.ingress.limits = CallerLimits(500, 100, 0.05, 15.0)
    reader, writer = caller
    writer.write(b"GET / HTTP/1.1\r\nHost:")
    assert (await read_response(reader))[0] == 408


async def test_body_that_stops_short_ends_with_408_at_the_deadline(server, caller):
    server.ingress.body_timeout_s = lambda request: 0.05
    reader, writer = caller
    writer.write(b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcd")
    assert (await read_response(reader))[0] == 408
    assert await reader.read() == b""
    assert server.requests == []


async def test_bodies_beyond_the_budget_are_refused_and_others_served(server):
    body = 256 << 10
    head = b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (body + 1)
    server.limit_bytes(4 * body)
    callers = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(6)]
    for _, writer in callers:
        writer.write(head + bytes(body))
        await writer.drain()
        await asyncio.sleep(0.02)
    refused = [reader for reader, _ in callers if reader._buffer]
    assert 2 <= len(refused) <= 4
    for reader in refused:
        assert (await read_response(reader))[0] == 503
    assert server.ingress.budget.used <= 4 * body
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(get("/small"))
    server.respond(b"/small")
    assert (await read_response(reader))[0] == 200
    for _, other in (*callers, (reader, writer)):
        other.close()
    await server.until(lambda: server.ingress.budget.used == 0)


async def test_headers_of_a_request_in_work_are_counted(server, caller):
    """Many short headers take far more memory than they have bytes."""
    _, writer = caller
    writer.write(get("/1", "".join(f"a{number}: b\r\n" for number in range(1_500))))
    await server.until(lambda: server.requests)
    headers = server.requests[0].headers
    parts = [part for header in headers for part in (header, *header)]
    assert server.ingress.budget.used > sys.getsizeof(headers) + sum(map(sys.getsizeof, parts))


async def test_caller_that_does_not_read_is_closed_if_others_need_the_room(server):
    answer = 8 << 20  # more than the operating system buffers
    server.limit_bytes(answer)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port, limit=1)
    server.respond(b"/1", bytes(answer))
    server.respond(b"/2", bytes(answer))
    writer.write(get("/1") + get("/2"))
    await server.until(lambda: len(server.requests) == 2)
    await asyncio.sleep(2 * STALL_S)
    other_reader, other_writer = await asyncio.open_connection("127.0.0.1", server.port)
    other_writer.write(get("/3"))
    server.respond(b"/3")
    assert (await read_response(other_reader))[0] == 200
    with pytest.raises(ConnectionError):
        while await reader.read(1 << 20):
            pass
        raise ConnectionResetError
    other_writer.close()
    await server.until(lambda: server.ingress.budget.used == 0)


async def test_oldest_idle_connection_makes_room_for_a_new_one(server):
    server.ingress._max_descriptors = 4  # three for callers
    callers = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(3)]
    await server.until(lambda: len(server.ingress.connections) == 3)
    callers[0][1].write(get("/1"))
    await server.until(lambda: server.requests)
    new_reader, new_writer = await asyncio.open_connection("127.0.0.1", server.port)
    assert await callers[1][0].read() == b""
    new_writer.write(get("/2"))
    server.respond(b"/2")
    server.respond(b"/1")
    assert (await read_response(new_reader))[0] == 200
    assert (await read_response(callers[0][0]))[0] == 200
    for _, writer in (*callers, (new_reader, new_writer)):
        writer.close()


async def test_crowd_of_senders_leaves_the_loop_to_others(server, monkeypatch):
    """A step of the loop reads from a crowd at most what it reads from a few fast senders."""
    bytes_by_step = Counter()
    bytes_by_connection = Counter()
    step = 0
    buffer_updated = CallerConnection.buffer_updated

    def record(connection, nbytes):
        bytes_by_step[step] += nbytes
        bytes_by_connection[connection] += nbytes
        buffer_updated(connection, nbytes)

    monkeypatch.setattr(CallerConnection, "buffer_updated", record)
    clients = [socket.create_connection(("127.0.0.1", server.port)) for _ in range(SENDERS)]
    chunks = b"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + SMALL_CHUNKS
    for client in clients:
        client.setblocking(False)
        client.send(chunks)
    for step in range(SENDERS):  # noqa: B007
        await asyncio.sleep(0)
    for client in clients:
        client.close()
    assert len(bytes_by_connection) == SENDERS
    assert max(bytes_by_step.values()) <= FEW_SENDERS * READ_BYTES


@pytest.mark.parametrize("sent", [b"", get("/1"), get("/1") + b"GET /2", b"nonsense\r\n\r\n"])
async def test_closed_connection_is_freed_without_the_garbage_collector(server, sent):
    gc.disable()
    try:
        server.respond(b"/1")
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(sent)
        await server.until(lambda: server.ingress.connections)
        await asyncio.sleep(0.02)
        connection = weakref.ref(next(iter(server.ingress.connections)))
        writer.close()
        await server.until(lambda: connection() is None)
    finally:
        gc.enable()


async def test_idle_connection_outlives_the_idle_timeout(server, caller):
    server.ingress.limits = CallerLimits(500, 100, 3.0, 0.05)
    reader, writer = caller
    writer.write(get("/1"))
    server.respond(b"/1")
    await read_response(reader)
    await asyncio.sleep(0.2)
    writer.write(get("/2"))
    server.respond(b"/2")
    assert (await read_response(reader))[0] == 200


async def test_begin_close_answers_all_pending_requests_first(server, caller):
    reader, writer = caller
    writer.write(get("/1") + get("/2"))
    await server.until(lambda: len(server.requests) == 2)
    server.ingress.begin_close()
    server.respond(b"/1")
    status, head, _ = await read_response(reader)
    assert (status, b"connection: close" in head.lower()) == (200, False)
    server.respond(b"/2")
    status, head, _ = await read_response(reader)
    assert (status, b"connection: close" in head.lower()) == (200, True)
    assert await reader.read() == b""


async def test_request_that_arrives_with_the_last_one_of_a_closing_node_is_not_run(server, caller):
    reader, writer = caller
    writer.write(get("/1"))
    server.respond(b"/1")
    await read_response(reader)
    server.ingress.begin_close()
    writer.write(get("/2") + get("/3"))
    await server.until(lambda: len(server.requests) > 1)
    server.respond(b"/2")
    assert (await read_response(reader))[2] == b"ok"
    assert await reader.read() == b""
    assert [request.target for request in server.requests] == [b"/1", b"/2"]
    assert server.ingress.in_flight == 0


async def test_request_behind_one_that_asked_to_close_is_not_run(server, caller):
    reader, writer = caller
    writer.write(get("/1", "Connection: close\r\n") + get("/2"))
    server.respond(b"/1")
    assert (await read_response(reader))[0] == 200
    assert await reader.read() == b""
    assert [request.target for request in server.requests] == [b"/1"]


async def test_expected_continue_is_sent(server, caller):
    reader, writer = caller
    writer.write(
        b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    )
    async with asyncio.timeout(5):
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
    writer.write(b"ab")
    server.respond(b"/1")
    assert (await read_response(reader))[0] == 200
    assert server.requests[0].body == b"ab"


async def test_upgrade_is_ignored_and_the_connection_stays_open(server, caller):
    reader, writer = caller
    writer.write(get("/1", "Upgrade: h2c\r\nConnection: upgrade\r\n") + get("/2"))
    server.respond(b"/1", b"one")
    server.respond(b"/2", b"two")
    assert [(await read_response(reader))[2] for _ in range(2)] == [b"one", b"two"]
