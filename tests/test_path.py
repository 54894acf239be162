"""Requests through a cluster on loopback: responses, rejections, and orders that run once."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp.web import HTTPForbidden
from conftest import SMALL, Harness
from endless import ENDLESS_BODIES, ENDLESS_HEADS, by_name
from helpers import raw_exchange, read_request
from yarl import URL

from peridottrack.admin import announce_app
from peridottrack.call import DEADLINE_HEADER
from peridottrack.config import parse_endpoint
from peridottrack.standin.cluster import Cluster
from peridottrack.standin.faults import StoreFault
from peridottrack.standin.upstream import UpstreamFault

ORDER_HEADERS = {"Idempotency-Key": '"k-1"', "Authorization": "Bearer hut"}


async def get(harness, path, **kwargs):
    url = URL(harness.node().url + path, encoded=True)
    async with harness.session.get(url, **kwargs) as response:
        return response.status, response.headers, await response.read()


async def order(harness, number=0, body=b"12 m", headers=ORDER_HEADERS):
    url = harness.node(number).url + "/siparis/orders"
    async with harness.session.post(url, data=body, headers=headers) as response:
        return response.status, response.headers, await response.read()


async def serve_raw(handler):
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def responding(*parts: bytes, hold_open: bool = False):
    async def handle(reader, writer):
        await read_request(reader)
        for part in parts:
            writer.write(part)
        await writer.drain()
        if not hold_open:
            writer.close()

    return handle


async def test_read_gets_complete_response(harness):
    status, headers, body = await get(harness, "/siparis/mine?a=%2F")
    assert status == 200
    assert b'"/siparis/mine?a=%2F"' in body
    assert "Peridot-Request-Id" in headers


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "/nowhere", 404, "no_route"),
        ("GET", "/siparissheet", 404, "no_route"),
        ("DELETE", "/siparis/mine", 405, "method_not_allowed"),
        ("POST", "/siparis/orders", 400, "key_required"),
        ("GET", "/siparis/../siparis/orders", 400, "bad_request"),
    ],
)
async def test_rejections_are_problem_documents(harness, method, path, status, code):
    address = parse_endpoint(harness.node().node.settings.callers_address)
    request = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    response = await raw_exchange(address.host, address.port, request.encode())
    head = response.split(b"\r\n\r\n")[0].decode()
    assert head.startswith(f"HTTP/1.1 {status} ")
    assert f"Peridot-Error: {code}" in head
    assert "Peridot-Ran: no" in head


async def test_order_resent_to_every_node_runs_once(harness):
    responses = await asyncio.gather(*(order(harness, number % 3) for number in range(9)))
    assert harness.cluster.run_log.runs_by_key["k-1"] == 1
    statuses = {status for status, _, _ in responses}
    assert statuses <= {200, 409}
    resent = await order(harness, 1)
    assert resent[0] == 200
    assert resent[1]["Peridot-Replayed"] == "yes"
    assert harness.cluster.run_log.runs_by_key["k-1"] == 1


async def test_key_is_scoped_by_credential_and_body(harness):
    await order(harness)
    assert (await order(harness, 1, body=b"13 m"))[1]["Peridot-Error"] == "key_reused"
    other = {**ORDER_HEADERS, "Authorization": "Bearer somebody else"}
    _, headers, _ = await order(harness, 1, headers=other)
    assert "Peridot-Replayed" not in headers
    bare = {"Idempotency-Key": "k-1"}
    assert (await order(harness, headers=bare))[1]["Peridot-Error"] == "credential_required"


async def test_store_down_rejects_orders_and_serves_reads(harness):
    await order(harness)
    harness.cluster.platform.faults.default = StoreFault.DOWN
    fresh = {**ORDER_HEADERS, "Idempotency-Key": '"k-2"'}
    status, headers, _ = await order(harness, headers=fresh)
    assert (status, headers["Peridot-Ran"]) == (503, "no")
    assert "Retry-After" in headers
    assert harness.cluster.run_log.runs_by_key["k-2"] == 0
    assert (await get(harness, "/siparis/mine"))[0] == 200
    # The claim is in this node's memory, so its response can still be replayed.
    assert (await order(harness))[1]["Peridot-Replayed"] == "yes"


async def test_truncated_response_is_an_error(harness):
    for pair in harness.cluster.hosts:
        pair.upstream.behaviour.fault = UpstreamFault.SHORT_ANSWER
    status, headers, _ = await get(harness, "/siparis/mine")
    assert (status, headers["Peridot-Ran"]) == (502, "unknown")
    status, headers, _ = await order(harness)
    assert (status, headers["Peridot-Ran"]) == (502, "unknown")
    assert harness.cluster.run_log.runs_by_key["k-1"] == 1
    status, headers, _ = await order(harness, 1)
    assert (status, headers["Peridot-Error"]) == (409, "outcome_unknown")
    assert harness.cluster.run_log.runs_by_key["k-1"] == 1


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([b"HTTP/1.1 200 OK\r\n\r\nhalf an ans"], id="no length"),
        pytest.param(
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"5\r\nhello\r\n"],
            id="chunks without an end",
        ),
        pytest.param(
            [b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n", b"x" * 300_000],
            id="large and short",
        ),
        pytest.param([b"HTTP/1.1 200"], id="half a head"),
        pytest.param([b"GARBAGE\r\n\r\n"], id="not HTTP"),
    ],
)
async def test_broken_upstream_responses_are_errors(harness, parts):
    server, port = await serve_raw(responding(*parts))
    await harness.only_upstream(port)
    try:
        status, headers, _ = await get(harness, "/siparis/mine")
    except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
        # The head was forwarded already, so the failure shows as a broken connection.
        pass
    else:
        assert (status, headers["Peridot-Ran"]) == (502, "unknown")
    server.close()


# These responses have no request id by which a node could tell them from the one that it waits for.
ENDLESS = ENDLESS_HEADS | ENDLESS_BODIES
del ENDLESS["responses to another request"]


# Guards against a response without an end that is passed on for as long as its caller reads.
@pytest.mark.parametrize(("start", "piece"), by_name(ENDLESS))
async def test_response_without_end_ends_at_the_deadline(harness, start, piece):
    closed = asyncio.Event()

    async def handle(reader, writer):
        await read_request(reader)
        writer.write(start)
        try:
            while True:
                writer.write(piece * (16_384 // len(piece)))
                await writer.drain()
                await asyncio.sleep(0.001)
        except ConnectionError:
            closed.set()

    server, port = await serve_raw(handle)
    await harness.only_upstream(port)
    async with asyncio.timeout(3):
        try:
            status, headers, _ = await get(
                harness, "/siparis/mine", headers={DEADLINE_HEADER: "500"}
            )
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
            # The head was forwarded already, so the failure shows as a broken connection.
            pass
        else:
            assert (status // 100, headers["Peridot-Ran"]) == (5, "unknown")
        await closed.wait()
    server.close()


async def test_late_response_is_not_sent_for_another_request(harness):
    """A response that arrives after its deadline must not be sent for the next request."""
    served_paths = []

    async def handle(reader, writer):
        while True:
            head = await read_request(reader)
            path = head.split(b" ")[1]
            served_paths.append(path)
            if b"slow" in path:
                await asyncio.sleep(0.2)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(path), path))
            await writer.drain()

    server, port = await serve_raw(handle)
    await harness.only_upstream(port)
    status, headers, _ = await get(harness, "/siparis/slow", headers={DEADLINE_HEADER: "60"})
    assert (status, headers["Peridot-Error"]) == (504, "deadline_passed")
    for number in range(20):
        path = f"/siparis/{number}"
        assert (await get(harness, path))[2] == path.encode()
    server.close()


@pytest.mark.parametrize(
    "head",
    [
        pytest.param(b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", id="both lengths"),
        pytest.param(b"Content-Length: 4\r\nContent-Length: 5\r\n", id="two lengths"),
        pytest.param(b"Transfer-Encoding: xchunked\r\n", id="unknown coding"),
        pytest.param(b"Content-Length: +4\r\n", id="signed length"),
        pytest.param(b"Bad Name: x\r\n", id="space in a name"),
    ],
)
async def test_request_smuggling_is_rejected(harness, head):
    address = parse_endpoint(harness.node().node.settings.callers_address)
    before = sum(pair.upstream.received_requests for pair in harness.cluster.hosts)
    request = b"POST /siparis/mine HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n0\r\n\r\nGET /x"
    response = await raw_exchange(address.host, address.port, request)
    assert response.startswith(b"HTTP/1.1 400 ") or response.startswith(b"HTTP/1.0 400 ")
    assert sum(pair.upstream.received_requests for pair in harness.cluster.hosts) == before


async def test_hop_by_hop_headers_are_not_forwarded(harness):
    seen = []

    async def handle(reader, writer):
        seen.append(await read_request(reader))
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: x-private\r\n"
            b"X-Private: 1\r\nX-Public: 2\r\n\r\nok"
        )
        await writer.drain()

    server, port = await serve_raw(handle)
    await harness.only_upstream(port)
    sent = {"Connection": "keep-alive, X-Hop", "X-Hop": "1", "TE": "trailers", "X-End": "2"}
    _, headers, _ = await get(harness, "/siparis/mine", headers=sent)
    assert b"X-Hop" not in seen[0] and b"TE:" not in seen[0]
    assert b"X-End: 2" in seen[0]
    assert "X-Private" not in headers and headers["X-Public"] == "2"
    server.close()


async def test_head_has_length_and_no_body(harness):
    url = harness.node().url + "/siparis/mine"
    async with harness.session.head(url) as response:
        assert response.status == 200
        assert int(response.headers["Content-Length"]) > 0


async def test_large_bodies_stream_both_ways(harness):
    size = 3 << 20

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(size // 65_536):
            writer.write(b"10000\r\n" + b"y" * 65_536 + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    server, port = await serve_raw(handle)
    await harness.only_upstream(port)
    status, _, body = await get(harness, "/siparis/mine")
    assert (status, len(body)) == (200, size)
    server.close()


async def test_body_over_the_routes_limit_is_rejected(harness):
    headers = {**ORDER_HEADERS, "Content-Length": str(1 << 40)}
    address = parse_endpoint(harness.node().node.settings.callers_address)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    request = f"POST /siparis/orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{lines}\r\n"
    response = await raw_exchange(address.host, address.port, request.encode())
    assert response.startswith(b"HTTP/1.1 413 ")


async def test_caller_disconnect_cancels_upstream_request(harness):
    disconnected = asyncio.Event()

    async def handle(reader, writer):
        await read_request(reader)
        if not await reader.read(1):
            disconnected.set()

    server, port = await serve_raw(handle)
    await harness.only_upstream(port)
    address = parse_endpoint(harness.node().node.settings.callers_address)
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"GET /siparis/mine HTTP/1.1\r\nHost: x\r\n\r\n")
    await writer.drain()
    await asyncio.sleep(0.1)
    writer.close()
    await asyncio.wait_for(disconnected.wait(), 10)
    server.close()


async def test_shed_order_is_sent_to_another_instance(harness):
    harness.cluster.hosts[0].upstream.behaviour.fault = UpstreamFault.SHED
    harness.cluster.hosts[1].upstream.behaviour.fault = UpstreamFault.SHED
    for number in range(6):
        headers = {**ORDER_HEADERS, "Idempotency-Key": f'"shed-{number}"'}
        status, response_headers, _ = await order(harness, headers=headers)
        assert status == 200 or response_headers["Peridot-Ran"] == "no"
        runs = harness.cluster.run_log.runs_by_key[f"shed-{number}"]
        assert runs == (1 if status == 200 else 0)


async def test_reads_survive_a_crashed_instance(harness):
    await harness.cluster.hosts[1].upstream.crash()
    for number in range(30):
        assert (await get(harness, f"/siparis/{number}"))[0] == 200


async def test_poison_request_stops_at_two_instances(harness):
    statuses = []
    for number in range(6):
        url = harness.node(number % 3).url + "/siparis/poison"
        async with harness.session.get(url) as response:
            statuses.append(response.headers.get("Peridot-Error"))
            await response.read()
        await asyncio.sleep(0.05)
    crashed = sum(pair.upstream._crashed for pair in harness.cluster.hosts)
    assert crashed == 2
    assert statuses[-1] == "held_off"
    assert (await get(harness, "/siparis/mine"))[0] == 200


async def test_order_runs_once_with_journals():
    cluster = Cluster(SMALL, service_s=0.002, claims="journal", claim_flush_s=0.005)
    await cluster.start()
    async with aiohttp.ClientSession() as session:
        harness = Harness(cluster, session)
        for number in range(6):
            headers = {**ORDER_HEADERS, "Idempotency-Key": f"j-{number}"}
            responses = [
                await order(harness, node_number, headers=headers) for node_number in range(3)
            ]
            assert [status for status, _, _ in responses] == [200, 200, 200]
            assert len({body for _, _, body in responses}) == 1
            assert cluster.run_log.runs_by_key[f"j-{number}"] == 1
    await cluster.stop()


async def test_too_many_header_bytes_are_rejected(harness):
    address = parse_endpoint(harness.node().node.settings.callers_address)
    lines = "".join(f"X-{number}: {'v' * 7_000}\r\n" for number in range(6))
    request = f"GET /siparis/mine HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{lines}\r\n"
    response = await raw_exchange(address.host, address.port, request.encode())
    assert response.startswith(b"HTTP/1.1 431 ")
    assert b"Peridot-Ran: no" in response


async def test_admin_address_serves_metrics_and_state(harness):
    await get(harness, "/siparis/mine")
    admin = f"http://{harness.node().node.settings.admin_address}"
    async with harness.session.get(admin + "/metrics") as response:
        metrics = await response.text()
    assert 'peridottrack_calls_total{outcome="ok",service="siparis"} 1.0' in metrics
    async with harness.session.get(admin + "/dump") as response:
        dump = json.loads(await response.text())
    assert len(dump["load"]["siparis"]["instances"]) == 3
    assert len(dump["members"]["members"]) == 3
    assert dump["document"]["version"] == 1


async def test_only_local_upstreams_may_announce(harness):
    node = harness.node().node
    announce = f"http://{node.settings.announce_address}/instances/strange"
    announcement = {"service": "siparis", "port": 1, "slots": 0, "connections": 240}
    async with harness.session.put(announce, json=announcement) as response:
        assert response.status == 400
    app = announce_app(node.announce, "10.9.9.9")
    guard = app.middlewares[0]
    with pytest.raises(HTTPForbidden):
        await guard(SimpleNamespace(remote="10.1.1.1"), None)


async def test_incomplete_body_ends_at_the_deadline(harness):
    address = parse_endpoint(harness.node().node.settings.callers_address)
    lines = "".join(f"{name}: {value}\r\n" for name, value in ORDER_HEADERS.items())
    request = (
        "POST /siparis/orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"{DEADLINE_HEADER}: 200\r\nContent-Length: 10\r\n{lines}\r\nabc"
    )
    response = await raw_exchange(address.host, address.port, request.encode())
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Peridot-Error: too_late" in response
    assert b"Peridot-Ran: no" in response
    assert harness.cluster.run_log.runs_by_key["k-1"] == 0
