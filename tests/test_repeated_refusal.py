"""Faulty instances write an earlier response once more on a kept connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from helpers import read_request
from mesh_world import Host
from test_mesh import open_only, routes, wait_until

from peridottrack.errors import RAN_HEADER
from peridottrack.retry import RetryBudget
from peridottrack.types import InstanceId


def header_of(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


@dataclass
class FaultyInstance:
    """A raw server that refuses the first request and repeats that refusal before a later response.

    Attributes
    ----------
    refusal
        The refusal; ``ID`` in it is replaced by the id of the refused request.
    delay_s
        Time from the repeated refusal to the response.
    refuses_later
        Whether it refuses all requests after the repeated refusal.
    closes
        Whether it closes the connection after the repeated refusal, while the request runs.
    runs
        Ids of the requests that ran.
    """

    refusal: bytes
    response: bytes
    id_header: bytes
    delay_s: float = 0.02
    closes: bool = False
    refuses_later: bool = False
    runs: list[bytes] = field(default_factory=list)
    refused: list[bytes] = field(default_factory=list)

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await read_request(reader)
                request_id = header_of(head, self.id_header)
                if b" /healthz " in head:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nInstance-Load: 0,0,18,100\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    continue
                if not self.refused or (self.refuses_later and self.runs):
                    self.refused.append(request_id)
                    writer.write(self.refusal.replace(b"ID", request_id))
                    continue
                self.runs.append(request_id)
                if len(self.runs) == 1:
                    writer.write(self.refusal.replace(b"ID", self.refused[0]))
                    await writer.drain()
                    await asyncio.sleep(self.delay_s)
                    if self.closes:
                        return
                writer.write(self.response.replace(b"ID", request_id))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


REFUSALS = {
    "503 with the id": b"HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "429": b"HTTP/1.1 429 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "421": b"HTTP/1.1 421 Other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "421 without a header": b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
}
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: i-1\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)


async def replace_instance(host: Host, port: int) -> None:
    """Let a raw server stand beside a node in place of its instance."""
    pool = host.node.gate_controller.pool
    pool.close()
    pool._endpoint = type(pool._endpoint)("127.0.0.1", port)


# Guards against "not run" for a request that the instance runs, and against a second run of it.
@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("caller_number", [0, 1])
@pytest.mark.parametrize("name", REFUSALS)
async def test_refusal_repeated_on_a_kept_connection(world, name, caller_number, method, closes):
    caller, owner = world.hosts[caller_number], world.hosts[1]
    open_only(world, 1)
    instance = FaultyInstance(REFUSALS[name], RESPONSE, b"request-id", closes=closes)
    await replace_instance(owner, await instance.start())
    await wait_until(lambda: sum(route.load.open for route in routes(caller)) == 1)
    path = "/stock/1" if method == "GET" else "/order/1"
    assert (await world.call(caller, path, method))[0] == 503
    gate = owner.node.gate_controller.gate
    if not gate.is_open:
        # A 421 says that another instance listens there.
        gate.open(InstanceId("i-1"), gate.local_instance.service, 18, 0.0, 1_000)
        await wait_until(lambda: sum(route.load.open for route in routes(caller)) == 1)
    status, body, _ = await world.call(caller, path, method)
    assert (status, body) == (200, b"hello") or status == 502
    assert len(instance.runs) == 1


NODE_REFUSAL = (
    b"HTTP/1.1 503 Full\r\n" + f"{RAN_HEADER}: no".encode() + (b"\r\nContent-Length: 0\r\n\r\n")
)
NODE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


# Guards against "not run" for a call that the upstream of `peridottrack node` runs.
@pytest.mark.parametrize("closes", [False, True])
async def test_refusal_repeated_on_a_kept_connection_of_a_node(harness, closes):
    instance = FaultyInstance(NODE_REFUSAL, NODE_RESPONSE, b"peridot-request-id", closes=closes)
    await harness.only_upstream(await instance.start())
    url = harness.node().url + "/siparis/mine"
    statuses = []
    for _ in range(4):
        async with harness.session.get(url) as answer:
            statuses.append((answer.status, answer.headers.get(RAN_HEADER), await answer.read()))
    refused = [each for each in statuses if each[1] == "no"]
    assert len(refused) <= len(instance.refused)
    assert all(status == 200 for status, _, _ in statuses[1:])


# Guards against "not run" for a call that may have run, when no retry is allowed.
async def test_call_that_may_have_run_is_not_called_not_run(harness, monkeypatch):
    monkeypatch.setattr(RetryBudget, "take_retry", lambda budget: False)
    instance = FaultyInstance(
        NODE_REFUSAL, NODE_RESPONSE, b"peridot-request-id", closes=True, refuses_later=True
    )
    await harness.only_upstream(await instance.start())
    url = harness.node().url + "/siparis/mine"
    ran = []
    for _ in range(2):
        async with harness.session.get(url) as answer:
            ran.append(answer.headers.get(RAN_HEADER))
    assert len(instance.runs) == 1
    assert ran == ["no", "unknown"]


# Guards against the response to another call on a kept connection.
async def test_response_repeated_on_a_kept_connection_of_a_node(harness):
    first = b"HTTP/1.1 200 OK\r\nPeridot-Request-Id: ID\r\nContent-Length: 5\r\n\r\nother"
    response = b"HTTP/1.1 200 OK\r\nPeridot-Request-Id: ID\r\nContent-Length: 5\r\n\r\nhello"
    instance = FaultyInstance(first, response, b"peridot-request-id")
    await harness.only_upstream(await instance.start())
    url = harness.node().url + "/siparis/mine"
    bodies = []
    for _ in range(4):
        async with harness.session.get(url) as answer:
            assert answer.status == 200
            bodies.append(await answer.read())
    assert bodies == [b"other", b"hello", b"hello", b"hello"]
