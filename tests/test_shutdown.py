"""The graceful shutdown of a node: each request that reaches it gets a final answer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
from collections import Counter
from types import SimpleNamespace

import aiohttp
import pytest
from conftest import SMALL, Harness
from helpers import read_request

from peridottrack import callerserver
from peridottrack.config import parse_endpoint
from peridottrack.controllers import drain
from peridottrack.node import Node
from peridottrack.standin.cluster import Cluster
from peridottrack.types import ServiceName

REQUEST = b"GET /siparis/mine HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER_S = 10.0
"""Longest time for an answer or for the end of a connection."""
CALLERS = 8
RESTARTS = 8
DRAIN_S = 2.0
"""Duration of a shutdown that is shorter than the deadline of an order."""
CLOSE_S = 1.5
"""Time beyond `DRAIN_S` for the node to close."""
ORDER_HEADERS = {"Idempotency-Key": "k-1", "Authorization": "Bearer club"}


@pytest.fixture
def short_grace(monkeypatch):
    monkeypatch.setattr(drain, "LEAVE_GRACE_S", 0.1)


@pytest.fixture
async def host(short_grace):
    """The only host of a cluster."""
    cluster = Cluster(SMALL, service_s=0.002)
    await cluster.start(per_service=1)
    yield cluster.hosts[0]
    await cluster.stop()


def connect(host):
    """Connect to a node within one step of the event loop."""
    endpoint = parse_endpoint(host.node.settings.callers_address)
    connection = socket.create_connection((endpoint.host, endpoint.port), ANSWER_S)
    connection.setblocking(False)
    return connection


async def read_answer(connection):
    """Read until the head of a response is complete, or until the peer closes."""
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(ANSWER_S):
        while b"\r\n\r\n" not in data:
            chunk = await loop.sock_recv(connection, 65_536)
            if not chunk:
                break
            data += chunk
    return data


def assert_not_run(answer):
    assert answer.startswith(b"HTTP/1.1 503 ")
    for header in (b"Peridot-Error: draining", b"Peridot-Ran: no", b"Retry-After: 1"):
        assert header in answer
    assert b"Connection: close" in answer


async def close_listener(node):
    await node.caller_listener.finish()
    await node.caller_listener.close()


async def let_run(steps):
    for _ in range(steps):
        await asyncio.sleep(0)


# A connection was reset that the kernel had completed but the node not yet taken up.
@pytest.mark.parametrize("steps", range(6))
async def test_connection_made_in_the_moment_of_the_close_is_answered(host, steps):
    host.node.drain.leave(ANSWER_S)
    await host.node.drain.wait_idle(ANSWER_S)
    with connect(host) as connection:
        connection.send(REQUEST)
        await let_run(steps)
        closing = asyncio.ensure_future(close_listener(host.node))
        assert_not_run(await read_answer(connection))
        await closing


@pytest.fixture
async def kept(host):
    """A node that rejects new calls, and a kept connection to it."""
    with connect(host) as connection:
        connection.send(REQUEST)
        assert (await read_answer(connection)).startswith(b"HTTP/1.1 200 ")
        host.node.drain.leave(ANSWER_S)
        await host.node.drain.wait_idle(ANSWER_S)
        yield host.node, connection


# A request on a kept connection was dropped without an answer while the node closed.
@pytest.mark.parametrize("steps", range(-4, 8))
async def test_request_on_a_kept_connection_during_the_close_is_answered(kept, steps):
    node, connection = kept
    if steps < 0:
        connection.send(REQUEST)
        await let_run(-steps)
    closing = asyncio.ensure_future(close_listener(node))
    if steps >= 0:
        await let_run(steps)
        connection.send(REQUEST)
    assert_not_run(await read_answer(connection))
    await closing


# A kept connection was reset if a request arrived in the moment of its close.
@pytest.mark.parametrize("steps", range(10))
async def test_kept_connection_ends_without_a_reset(kept, monkeypatch, steps):
    monkeypatch.setattr(callerserver, "LAST_REQUESTS_S", 0.0)
    node, connection = kept
    closing = asyncio.ensure_future(close_listener(node))
    await let_run(steps)
    with contextlib.suppress(BrokenPipeError):
        connection.send(REQUEST)
    answer = await read_answer(connection)
    if answer:
        assert_not_run(answer)
    await closing


# Restarts under load reset connections of callers, or ended them without an answer.
async def test_restarts_under_load_answer_each_caller(host):
    results = Counter()

    async def send_orders(session, caller):
        for number in itertools.count():
            if results["stop"]:
                return
            headers = {"Idempotency-Key": f"{caller}-{number}", "Authorization": "Bearer club"}
            url = host.url + "/siparis/orders"
            try:
                async with session.post(url, data=b"x", headers=headers) as response:
                    await response.read()
                    results[response.status] += 1
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(0.001)
            except aiohttp.ClientError as error:
                results[repr(error)] += 1

    async with aiohttp.ClientSession() as session:
        callers = [asyncio.ensure_future(send_orders(session, name)) for name in range(CALLERS)]
        for _ in range(RESTARTS):
            await asyncio.sleep(0.1)
            assert await host.node.leave()
            host.node = Node(host.node.settings)
            await host.node.start()
        results["stop"] = 1
        await asyncio.gather(*callers)
    assert results.keys() <= {"stop", 200, 503}
    assert results[200] and results[503]


@pytest.fixture
async def busy(short_grace):
    """Two nodes and a caller; both nodes' only instance is a server that answers when told to."""
    cluster = Cluster(SMALL, service_s=0.002, drain_s=DRAIN_S)
    await cluster.start(per_service=2)
    upstream = HeldUpstream()
    server = await asyncio.start_server(upstream.handle, "127.0.0.1", 0)
    async with aiohttp.ClientSession() as session:
        harness = Harness(cluster, session)
        await harness.only_upstream(server.sockets[0].getsockname()[1], slots=1)
        service = cluster.hosts[1].node.load.service_by_name[ServiceName("siparis")]
        async with asyncio.timeout(ANSWER_S):
            while service.balancer.view_by_id.keys() != {"raw"}:
                await asyncio.sleep(0.02)
        yield SimpleNamespace(
            leaving=cluster.hosts[1], staying=cluster.hosts[0], session=session, upstream=upstream
        )
    upstream.release.set()
    server.close()
    await cluster.stop()


class HeldUpstream:
    """Holds each request until it is released."""

    def __init__(self):
        self.received = asyncio.Event()
        self.release = asyncio.Event()

    async def handle(self, reader, writer):
        await read_request(reader)
        self.received.set()
        await self.release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()


async def send_order(busy, host, key="k-1"):
    headers = {**ORDER_HEADERS, "Idempotency-Key": key}
    url = host.url + "/siparis/orders"
    async with busy.session.post(url, data=b"x", headers=headers) as response:
        await response.read()
        return response.status, response.headers


async def leave_in_time(node):
    async with asyncio.timeout(DRAIN_S + CLOSE_S):
        return await node.leave()


# A running order outlasted the shutdown.
async def test_order_that_outlasts_the_shutdown_is_answered_as_unknown(busy):
    order = asyncio.ensure_future(send_order(busy, busy.leaving))
    await asyncio.wait_for(busy.upstream.received.wait(), ANSWER_S)
    assert await leave_in_time(busy.leaving.node)
    status, headers = await order
    assert (status, headers["Peridot-Ran"]) == (504, "unknown")
    status, headers = await send_order(busy, busy.staying)
    assert (status, headers["Peridot-Error"]) == (409, "outcome_unknown")


# An order that waited for a slot outlasted the shutdown.
async def test_order_that_waits_beyond_the_shutdown_is_refused_as_not_run(busy):
    running = asyncio.ensure_future(send_order(busy, busy.leaving))
    await asyncio.wait_for(busy.upstream.received.wait(), ANSWER_S)
    waiting = asyncio.ensure_future(send_order(busy, busy.leaving, "k-2"))
    service = busy.leaving.node.load.service_by_name["siparis"]
    async with asyncio.timeout(ANSWER_S):
        while not service.queue:
            await asyncio.sleep(0.01)
    assert await leave_in_time(busy.leaving.node)
    status, headers = await waiting
    assert (status, headers["Peridot-Error"], headers["Peridot-Ran"]) == (503, "draining", "no")
    assert "Retry-After" in headers
    await running
    busy.upstream.release.set()
    assert (await send_order(busy, busy.staying, "k-2"))[0] == 200


# A read taken while the node left outlasted the shutdown.
async def test_read_taken_while_leaving_is_answered_before_the_end(busy, monkeypatch):
    monkeypatch.setattr(drain, "LEAVE_GRACE_S", DRAIN_S / 4)
    leaving = asyncio.ensure_future(leave_in_time(busy.leaving.node))
    await asyncio.sleep(0.1)
    async with busy.session.get(busy.leaving.url + "/siparis/mine") as response:
        assert (response.status, response.headers["Peridot-Ran"]) == (504, "unknown")
    assert await leaving


# The outcome of an order whose caller had disconnected was lost, and its claim stayed open.
async def test_shutdown_waits_for_an_order_whose_caller_disconnected(busy):
    order = asyncio.ensure_future(send_order(busy, busy.leaving))
    await asyncio.wait_for(busy.upstream.received.wait(), ANSWER_S)
    order.cancel()
    await asyncio.wait([order])
    leaving = asyncio.ensure_future(leave_in_time(busy.leaving.node))
    await asyncio.sleep(0.5)
    busy.upstream.release.set()
    assert await leaving
    status, headers = await send_order(busy, busy.staying)
    assert (status, headers.get("Peridot-Replayed")) == (200, "yes")


# A node with a short `drain_s` served until its end and never reached an orderly stop.
async def test_grace_ends_within_a_short_shutdown(busy, monkeypatch):
    monkeypatch.setattr(drain, "LEAVE_GRACE_S", 3.0)
    assert await leave_in_time(busy.leaving.node)


class UnevenUpstream:
    """Answers each request after a short time, and one in ten after a long one."""

    def __init__(self):
        self.ran = []
        self._rng = random.Random(39)

    async def handle(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while request := await read_request(reader):
                request_id = request.lower().partition(b"request-id: ")[2].partition(b"\r\n")[0]
                self.ran.append(request_id.decode())
                await asyncio.sleep(2.0 if self._rng.random() < 0.1 else 0.05)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        writer.close()


# Calls with runs of uneven length were taken by a leaving node, and answered by it as unknown while
# their instance was at work.
async def test_calls_taken_by_a_leaving_node_are_answered_by_their_instance():
    cluster = Cluster(SMALL, service_s=0.002, drain_s=6.0)
    await cluster.start(per_service=2)
    upstream = UnevenUpstream()
    server = await asyncio.start_server(upstream.handle, "127.0.0.1", 0)
    statuses = {}
    leaving = cluster.hosts[1]

    async def send_reads(session, name):
        for number in itertools.count():
            request_id = f"{name}-{number}"
            headers = {"Peridot-Request-Id": request_id, "Peridot-Deadline-Ms": "9000"}
            try:
                async with session.get(leaving.url + "/siparis/mine", headers=headers) as response:
                    await response.read()
                    statuses[request_id] = response.status
            except aiohttp.ClientError:
                return
            await asyncio.sleep(0.02)

    async with aiohttp.ClientSession() as session:
        harness = Harness(cluster, session)
        await harness.only_upstream(server.sockets[0].getsockname()[1])
        service = leaving.node.load.service_by_name[ServiceName("siparis")]
        async with asyncio.timeout(ANSWER_S):
            while service.balancer.view_by_id.keys() != {"raw"}:
                await asyncio.sleep(0.02)
        callers = [asyncio.ensure_future(send_reads(session, f"c{n}")) for n in range(8)]
        await asyncio.sleep(4.0)
        assert await leaving.node.leave()
        await asyncio.gather(*callers)
    server.close()
    await cluster.stop()
    not_answered = {name for name in upstream.ran if statuses.get(name, 200) != 200}
    assert not_answered == set()
    assert set(statuses.values()) == {200, 503}
    assert len(upstream.ran) > 100
