"""Instances and stores that stop in the middle of a response's head and close the connection."""

from __future__ import annotations

import asyncio

import pytest
from helpers import read_request
from test_mesh import open_only, routes, wait_until
from test_repeated_refusal import NODE_RESPONSE, RESPONSE, header_of, replace_instance

from peridottrack.exceptions import StoreUnavailable
from peridottrack.platform.adapter import ADAPTER
from peridottrack.platform.store import StoreClient

HEADS = {
    "length": RESPONSE.replace(b"ID", b"%b"),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: %b\r\n"
    b"Response-Signature: i-1\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\nResponse-Signature: i-1\r\nRequest-Id: %b\r\n\r\n",
    "after an interim response": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    b"Request-Id: %b\r\nResponse-Signature: i-1\r\nContent-Length: 5\r\n\r\nhello",
}


# Guards against a success with an empty or short body when an instance stops within the head.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("name", HEADS)
async def test_response_that_ends_within_its_head(world, name, kept):
    caller, owner = world.hosts
    open_only(world, 1)
    cut = 0

    async def serve(reader, writer):
        while True:
            request_id = header_of(await read_request(reader), b"request-id")
            if kept and request_id == b"whole":
                writer.write(RESPONSE.replace(b"ID", request_id))
                continue
            writer.write((HEADS[name] % request_id)[:cut])
            await writer.drain()
            writer.close()
            return

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    await replace_instance(owner, server.sockets[0].getsockname()[1])
    await wait_until(lambda: sum(route.load.open for route in routes(caller)) == 1)
    owner.node.gate_controller.gate._eject = lambda: None
    length = len(HEADS[name] % b"cut") - (0 if name == "no length" else 1)
    for cut in range(length):
        if kept:
            assert (await world.call(caller, Request_Id="whole"))[0] == 200
        status, _, headers = await world.call(caller, "/order/1", "POST", Request_Id="cut")
        assert status == 502, cut
        assert headers["Peridot-Ran"] == "unknown"
    server.close()


# Guards against an empty page, or a write taken for accepted, when the store stops within the head.
async def test_store_response_that_ends_within_its_head():
    whole = (
        b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
        b'Content-Length: 22\r\n\r\n{"rows": [], "ver": 3}'
    )
    cut = 0

    async def serve(reader, writer):
        await read_request(reader)
        writer.write(whole[:cut])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with ADAPTER.session() as session:
        client = StoreClient(session, url, 1.0, lambda operation, outcome: None)
        for length in range(len(whole)):
            cut = length
            with pytest.raises(StoreUnavailable):
                await client.read_page("nodes", "/v1/rows-get", {"table": "t", "part": ""})
            with pytest.raises(StoreUnavailable):
                await client.call("enter", "POST", "/v1/rows-tx", body={})
            assert client.era == 0
    server.close()


# Guards against the same on `peridottrack node`, whose HTTP client parses the response.
async def test_upstream_response_of_a_node_that_ends_within_its_head(harness):
    cut = 0

    async def serve(reader, writer):
        await read_request(reader)
        writer.write(NODE_RESPONSE[:cut])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    await harness.only_upstream(server.sockets[0].getsockname()[1])
    url = harness.node().url + "/siparis/mine"
    for cut in range(len(NODE_RESPONSE)):
        async with harness.session.get(url) as answer:
            assert answer.status >= 500, cut
    server.close()
