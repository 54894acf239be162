"""What requests leave behind when they end, with the garbage collector off.

The collector runs rarely in a node, so what only it can free holds the bodies of many requests,
though the budget has released their bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections import Counter

import pytest
from mesh_world import CALLERS

from peridottrack.callerfilters.chain import RoutedRequest
from peridottrack.controllers.gate import _PendingRequest
from peridottrack.forwardstate import ForwardState
from peridottrack.frames import BodyPart, ForwardedRequest, InstanceResponse, Refusal
from peridottrack.gate import AdmissionRequest
from peridottrack.ingress import BufferedResponse, CallerConnection, _Exchange
from peridottrack.linkbodies import CollectedBody, IncomingAnswer, IncomingBody
from peridottrack.linkserver import MIN_SPLIT_BYTES, LinkServerConnection
from peridottrack.requestreader import CallerRequest, RequestReader, RequestRefused
from peridottrack.upstream import InstanceConnection, UpstreamResponse

OF_A_REQUEST = (
    CallerRequest,
    RequestRefused,
    _Exchange,
    BufferedResponse,
    RoutedRequest,
    ForwardState,
    ForwardedRequest,
    BodyPart,
    IncomingBody,
    IncomingAnswer,
    CollectedBody,
    _PendingRequest,
    AdmissionRequest,
    UpstreamResponse,
    InstanceResponse,
    Refusal,
)
"""Types of which there are objects only while requests are in progress."""
OF_A_CONNECTION = (CallerConnection, RequestReader, InstanceConnection, LinkServerConnection)
"""Types of which there are objects only while connections are open."""
REQUESTS = 5
SMALL_BODY = 60_000
LARGE_BODY = 2 * MIN_SPLIT_BYTES
SHORT_DEADLINE_MS = 300
SLOW_S = 30.0
"""Time of a run that does not end by itself in a test."""
GUARD_S = 15.0


class Left:
    """Objects that are there since the collector was switched off."""

    def __init__(self):
        self._before = [thing for thing in gc.get_objects() if type(thing) in OF_A_REQUEST]

    def count(self, types):
        """Return the number of objects of each type, by its name."""
        before = {id(thing) for thing in self._before}
        things = (thing for thing in gc.get_objects() if type(thing) in types)
        return Counter(type(thing).__name__ for thing in things if id(thing) not in before)

    async def after_all(self, types=OF_A_REQUEST):
        """Return what is left once all that ends has ended."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GUARD_S / 3):
                while self.count(types):
                    await asyncio.sleep(0.05)
        return self.count(types)


@pytest.fixture
def left():
    gc.collect()
    gc.disable()
    yield Left()
    gc.enable()


def post(number, size, deadline_ms=5_000):
    head = (
        f"POST /order/{number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: b{number}\r\n"
        f"Request-Deadline: {deadline_ms}\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + b"a" * size


def get(number, deadline_ms=5_000):
    return (
        f"GET /stock/{number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: b{number}\r\n"
        f"Request-Deadline: {deadline_ms}\r\n\r\n"
    ).encode()


def request(number, size, deadline_ms=5_000):
    """Return a read if there is no size, else an order with a body."""
    return get(number, deadline_ms) if size is None else post(number, size, deadline_ms)


class Callers:
    """Callers of the first of two nodes; instances of both may serve them."""

    def __init__(self, world):
        self.world = world
        self.caller_node, self.gate_node = world.hosts
        self.writers = []

    async def connect(self):
        reader, writer = await asyncio.open_connection(self.caller_node.ip, CALLERS)
        self.writers.append(writer)
        return reader, writer

    async def exchange(self, requests):
        """Send requests one after another on a connection; return the statuses."""
        reader, writer = await self.connect()
        statuses = []
        for request in requests:
            writer.write(request)
            statuses.append(await read_status(reader))
        return statuses

    async def leave_only_the_other_gate(self):
        """Close the gate of the callers' node, so that all requests take a link."""
        await self.caller_node.announce(self.world.session, "draining")

    def script(self, **behaviour):
        for host in self.world.hosts:
            for name, value in behaviour.items():
                setattr(host.instance.script, name, value)

    async def running(self, count):
        async with asyncio.timeout(GUARD_S):
            while sum(len(host.instance.received_at) for host in self.world.hosts) < count:
                await asyncio.sleep(0.01)

    def close(self):
        for writer in self.writers:
            writer.transport.abort()


async def read_status(reader):
    async with asyncio.timeout(GUARD_S):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await reader.readexactly(length)
        return int(head.split()[1])


@pytest.fixture
async def callers(world, left):
    acting = Callers(world)
    yield acting
    acting.close()


@pytest.mark.parametrize("size", [0, SMALL_BODY, LARGE_BODY])
@pytest.mark.parametrize("remote", [False, True])
async def test_served_requests_leave_nothing(callers, left, remote, size):
    if remote:
        await callers.leave_only_the_other_gate()
    callers.script(answer_bytes=size)
    requests = [post(number, size) for number in range(REQUESTS)]
    requests += [get(number) for number in range(REQUESTS)]
    assert set(await callers.exchange(requests)) == {200}
    assert await left.after_all() == {}


@pytest.mark.parametrize("fault", ["shed", "lose", "cut", "garbage", "unsigned", "fail"])
@pytest.mark.parametrize("size", [None, SMALL_BODY])
async def test_failed_requests_leave_nothing(callers, left, size, fault):
    callers.script(**{fault: 100})
    statuses = await callers.exchange([request(number, size) for number in range(REQUESTS)])
    assert all(status >= 500 for status in statuses)
    assert await left.after_all() == {}


@pytest.mark.parametrize("remote", [False, True])
@pytest.mark.parametrize("size", [None, SMALL_BODY])
async def test_requests_that_miss_their_deadline_leave_nothing(callers, left, remote, size):
    if remote:
        await callers.leave_only_the_other_gate()
    callers.script(work_s=SLOW_S)
    requests = [request(number, size, SHORT_DEADLINE_MS) for number in range(2)]
    assert all(status >= 500 for status in await callers.exchange(requests))
    assert await left.after_all() == {}


@pytest.mark.parametrize("size", [0, SMALL_BODY, LARGE_BODY])
@pytest.mark.parametrize("remote", [False, True])
async def test_callers_that_leave_leave_nothing(callers, left, remote, size):
    if remote:
        await callers.leave_only_the_other_gate()
    callers.script(work_s=SLOW_S)
    _, writer = await callers.connect()
    for number in range(REQUESTS):
        writer.write(post(number, size) + get(number))
    await callers.running(2)
    writer.transport.abort()
    assert await left.after_all((*OF_A_REQUEST, CallerConnection, RequestReader)) == {}


async def test_requests_that_wait_at_a_gate_leave_nothing(callers, left):
    await callers.leave_only_the_other_gate()
    callers.script(work_s=0.3, load="1,0,1,100")
    await callers.gate_node.announce(callers.world.session, slots=1)
    await callers.exchange([get(0)])
    await asyncio.gather(*(callers.exchange([get(n, 400)]) for n in range(1, 4 * REQUESTS)))
    assert await left.after_all() == {}


async def test_lost_links_leave_nothing(callers, left):
    await callers.leave_only_the_other_gate()
    callers.script(work_s=SLOW_S)
    requests = [[post(number, SMALL_BODY)] for number in range(REQUESTS)]
    requests += [[get(number)] for number in range(REQUESTS)]
    answers = asyncio.gather(*(callers.exchange(request) for request in requests))
    await callers.running(2 * REQUESTS)
    links = callers.gate_node.node.link_server.connections
    assert links
    for connection in list(links):
        connection.abort()
    del connection
    callers.script(work_s=0.0)
    await answers
    assert await left.after_all() == {}


async def test_input_that_is_refused_leaves_nothing(callers, left):
    reader, writer = await callers.connect()
    writer.write(get(1) + b"no request\r\n\r\n")
    assert [await read_status(reader), await read_status(reader)] == [200, 400]
    writer.transport.abort()
    assert await left.after_all((*OF_A_REQUEST, CallerConnection, RequestReader)) == {}


async def test_closed_connections_leave_nothing(callers, left):
    callers.script(answer_bytes=SMALL_BODY)
    statuses = await callers.exchange([post(1, SMALL_BODY), get(2)])
    assert statuses == [200, 200]
    for host in callers.world.hosts:
        await host.node.close()
        await host.instance.stop()
    callers.close()
    for host in callers.world.hosts:
        host.node.gate_controller.close()
    assert await left.after_all((*OF_A_REQUEST, *OF_A_CONNECTION)) == {}
