"""Large bodies over a link: in parts, by turns, counted, and dropped when nobody waits for them."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from helpers import MOST_UNREAD_BYTES, unread_bytes

from peridottrack.bytebudget import ByteBudget
from peridottrack.clock import LoopClock
from peridottrack.errors import ErrorKind, Ran
from peridottrack.frames import (
    BodyPart,
    Cancel,
    ForwardedRequest,
    GateLoad,
    Hello,
    InstanceResponse,
    Refusal,
)
from peridottrack.link import Link, LinkHooks
from peridottrack.linkbodies import MIN_SPLIT_BYTES, PART_BYTES, OutgoingBodies
from peridottrack.linkserver import REQUEST_BYTES, LinkServer
from peridottrack.types import Endpoint

LOAD = GateLoad("i-1", "katalog", True, 18, 18, 0, 0)
PATH = b"/1"
HEAD = b"A: " + b"a" * 1000 + b"\r\n"
SIZE = 20 * PART_BYTES + 1
LIMIT = int(1.5 * SIZE)
MIDDLE_BODY = 60_000
MANY_REQUESTS = 200
FAST_TRANSFERS = 100


def make_request(number, body, budget_s=5.0, again=False):
    return ForwardedRequest(
        number, budget_s, 0.0, 1.0, "r", 0, False, again, "POST", PATH, HEAD, body, "i-1"
    )


def test_bodies_are_sent_by_turns():
    bodies = OutgoingBodies()
    bodies.add(1, bytearray(2 * PART_BYTES + 1))
    bodies.add(2, bytearray(4 * PART_BYTES))
    bodies.add(3, bytearray(4 * PART_BYTES))
    parts = [bodies.next_part() for _ in range(4)]
    bodies.remove(3)
    while part := bodies.next_part():
        parts.append(part)
    assert [part.number for part in parts] == [1, 2, 3, 1, 2, 1, 2, 2]
    assert [len(part.data) for part in parts if part.number == 1] == [PART_BYTES, PART_BYTES, 1]


class FakeGate:
    """A gate that answers each request when the test says so."""

    def __init__(self):
        self.gate = SimpleNamespace(load=lambda: LOAD, is_open=True)
        self.frames = []
        self.delays = []
        self.cancelled = 0
        self.go = asyncio.Event()
        self.answer = b"done"

    def start(self, frame, reply, on_hedge_hint, transit_s=0.0, caller=""):
        self.frames.append(frame)
        self.delays.append(transit_s)
        return asyncio.create_task(self._serve(frame, reply))

    async def _serve(self, frame, reply):
        try:
            await self.go.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        reply(InstanceResponse(frame.number, 200, b"", self.answer, LOAD))


class Pair:
    """A link and the server behind it."""

    async def start(self):
        clock = LoopClock()
        self.caller_budget = ByteBudget(LIMIT, clock)
        hooks = LinkHooks(lambda: None, lambda frame, peer: None, budget=self.caller_budget)
        self.gate = FakeGate()
        self.budget = ByteBudget(LIMIT, clock)
        self.server = LinkServer(self.gate, hooks, clock, self.budget)
        port = await self.server.start("127.0.0.1", 0)
        self.link = Link(Endpoint("127.0.0.1", port), "a", lambda: Hello("n", "a", 0), hooks, clock)
        self.task = asyncio.create_task(self.link.run())
        await self.until(lambda: self.link.usable)

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    def send(self, number, body, **options):
        return asyncio.create_task(self.link.send_request(make_request(number, body, **options)))

    def hold_back_bodies(self):
        """Let no part of a body leave."""
        self.link._connection._writable = False

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.server.stop()


@pytest.fixture
async def pair():
    running = Pair()
    await running.start()
    yield running
    await running.stop()


async def test_large_body_arrives_whole_and_is_counted_until_the_answer(pair):
    body = bytearray(number % 251 for number in range(SIZE))
    sent = pair.send(1, body)
    await pair.until(lambda: pair.gate.frames)
    assert pair.gate.frames[0].body == body
    assert pair.budget.used == SIZE + len(PATH) + len(HEAD) + REQUEST_BYTES
    pair.gate.go.set()
    assert (await sent).body == b"done"
    await pair.until(lambda: pair.budget.used == 0)


def server_connection(pair):
    return next(iter(pair.server.connections))


async def test_large_answer_arrives_whole_and_is_counted_on_its_way(pair):
    pair.gate.go.set()
    pair.gate.answer = bytearray(number % 251 for number in range(SIZE))
    server_connection(pair)._writable = False
    sent = pair.send(1, b"")
    await pair.until(lambda: pair.caller_budget.used)
    assert pair.caller_budget.used == SIZE
    assert pair.budget.used == SIZE
    pair.gate.answer = b"small"
    assert (await pair.send(2, b"")).body == b"small"
    server_connection(pair).resume_writing()
    answer = await sent
    assert len(answer.body) == SIZE and answer.body[:300] == bytes(n % 251 for n in range(300))
    assert pair.caller_budget.used == pair.budget.used == 0


@pytest.mark.parametrize("lost", [False, True])
async def test_large_answer_that_nobody_waits_for_leaves_nothing_behind(pair, lost):
    pair.gate.go.set()
    pair.gate.answer = bytes(SIZE)
    server_connection(pair)._writable = False
    sent = pair.send(1, b"")
    await pair.until(lambda: pair.caller_budget.used and pair.budget.used)
    if lost:
        pair.link._connection.abort()
    else:
        sent.cancel()
    await asyncio.gather(sent, return_exceptions=True)
    await pair.until(lambda: pair.caller_budget.used == pair.budget.used == 0)
    if not lost:
        server_connection(pair).resume_writing()
        pair.gate.answer = b"next"
        assert (await pair.send(2, b"")).body == b"next"


async def test_other_requests_pass_a_body_that_is_being_sent(pair):
    pair.gate.go.set()
    pair.hold_back_bodies()
    large = pair.send(1, bytes(SIZE))
    assert isinstance(await pair.send(2, b"small"), InstanceResponse)
    assert not large.done()
    pair.link._connection.resume_writing()
    assert isinstance(await large, InstanceResponse)


async def test_body_without_room_is_refused_as_not_run_before_it_is_sent(pair):
    first = pair.send(1, bytes(SIZE))
    await pair.until(lambda: pair.gate.frames)
    pair.hold_back_bodies()
    refusal = await pair.send(2, bytes(SIZE))
    assert (refusal.kind, refusal.ran) == (ErrorKind.NODE_FULL, Ran.NO)
    assert refusal.retry_after_s > 0
    assert pair.link._connection._bodies.next_part() is None
    pair.gate.go.set()
    assert isinstance(await first, InstanceResponse)


async def test_body_for_a_closed_gate_is_refused_before_it_is_sent(pair):
    pair.gate.gate.is_open = False
    pair.hold_back_bodies()
    refusal = await pair.send(1, bytes(SIZE))
    assert (refusal.kind, refusal.ran) == (ErrorKind.NO_INSTANCE, Ran.NO)
    assert pair.budget.used == 0


async def test_body_that_stops_short_is_refused_at_the_deadline(pair):
    pair.hold_back_bodies()
    refusal = await pair.send(1, bytes(SIZE), budget_s=0.1)
    assert (refusal.kind, refusal.ran) == (ErrorKind.TOO_LATE, Ran.NO)
    assert pair.budget.used == 0 and not pair.gate.frames


@pytest.mark.parametrize("arrived", [False, True])
async def test_cancelled_request_leaves_nothing_behind(pair, arrived):
    if not arrived:
        pair.hold_back_bodies()
    sent = pair.send(1, bytes(SIZE))
    await pair.until(lambda: pair.budget.used > 0 and (not arrived or pair.gate.frames))
    sent.cancel()
    await pair.until(lambda: pair.budget.used == 0)
    assert pair.gate.cancelled == int(arrived)
    assert pair.server.in_flight == 0


async def test_lost_link_leaves_nothing_behind(pair):
    pair.hold_back_bodies()
    sent = pair.send(1, bytes(SIZE))
    await pair.until(lambda: pair.budget.used > 0)
    pair.link._connection.abort()
    await asyncio.gather(sent, return_exceptions=True)
    await pair.until(lambda: pair.budget.used == 0)


async def test_time_that_a_body_takes_counts_against_the_deadline(pair):
    pair.hold_back_bodies()
    sent = pair.send(1, bytes(SIZE))
    await asyncio.sleep(0.1)
    pair.link._connection.resume_writing()
    await pair.until(lambda: pair.gate.frames)
    assert pair.gate.delays[0] >= 0.09
    pair.gate.go.set()
    await sent


async def test_parts_of_unknown_requests_are_ignored(pair):
    pair.link.send(BodyPart(9, b"x"))
    pair.link.send(Cancel(9))
    pair.gate.go.set()
    assert isinstance(await pair.send(1, bytes(MIN_SPLIT_BYTES)), InstanceResponse)
    assert not isinstance(await pair.send(2, b""), Refusal)


async def test_bodies_for_a_peer_that_does_not_read_are_not_copied(pair):
    """Those of its requests are held, and counted, where they arrived from their callers."""
    server_connection(pair)._transport.pause_reading()
    for number in range(MANY_REQUESTS):
        pair.send(number, b"a" * MIDDLE_BODY)
    await asyncio.sleep(0.1)
    assert pair.link._connection.unsent_bytes() < MANY_REQUESTS * REQUEST_BYTES


@pytest.mark.parametrize("of_the_server", [True, False])
async def test_bytes_that_a_busy_node_has_not_read_are_bounded(pair, of_the_server):
    """The kernel enlarges the buffer of a connection that was read fast before."""
    pair.gate.go.set()
    pair.gate.answer = b"a" * SIZE
    for number in range(FAST_TRANSFERS):
        await pair.send(number, b"a" * SIZE)
    sender, receiver = server_connection(pair)._transport, pair.link._connection._transport
    if of_the_server:
        sender, receiver = receiver, sender
    receiver.pause_reading()
    sender.write(b"a" * (16 << 20))
    await asyncio.sleep(0.2)
    assert unread_bytes(receiver) < MOST_UNREAD_BYTES
    sender.abort()
    receiver.abort()
