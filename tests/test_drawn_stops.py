"""Planned stops in the midst of pipelined requests, drawn from seeds.

Callers use their connections until these end. They send bursts of requests that are cut anywhere,
some with malformed input behind them, while the node that they call, another node that passes
requests to its instance, or both at once are stopped.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
from dataclasses import dataclass, field

import aiohttp
import pytest
from conftest import SMALL, Harness
from helpers import read_request
from mesh_world import CALLERS, World

from peridottrack.config import parse_endpoint
from peridottrack.headerblock import header_value
from peridottrack.standin.cluster import Cluster
from peridottrack.types import ServiceName

DRAWS = int(os.environ.get("PERIDOTTRACK_STOP_DRAWS", "3"))
"""Number of seeds for each test."""
CONNECTIONS = 8
MAX_BURST = 5
MAX_PIECES = 4
MAX_PIECE_PAUSE_S = 0.03
MALFORMED_SHARE = 0.15
MALFORMED = (b"GET /\r\n\r\n", b"\x00\x01\r\n\r\n", b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
START_BEFORE_STOP_S = 0.4
"""Time from the first burst to the stop; connections start in it and for half of it after."""
WORK_S = (0.02, 0.4)
"""Bounds of the time for which an instance works on a request."""
SHUTDOWN_S = 5.0
GIVE_UP_S = 15.0


@dataclass(frozen=True)
class Answer:
    """A complete response."""

    status: int
    request_id: str
    ran: str


def parse_answers(data: bytes, id_header: bytes) -> tuple[list[Answer], bytes]:
    """Return the complete responses in received bytes, and what is left."""
    answers = []
    while b"\r\n\r\n" in data:
        head, _, rest = data.partition(b"\r\n\r\n")
        status_line, *lines = head.split(b"\r\n")
        headers = [tuple(line.split(b": ", 1)) for line in lines]
        length = int(header_value([(k.lower(), v) for k, v in headers], b"content-length") or 0)
        if len(rest) < length:
            break
        value = {key.lower(): text.decode() for key, text in headers}
        answers.append(
            Answer(
                int(status_line.split()[1]),
                value.get(id_header, ""),
                value.get(b"peridot-ran", ""),
            )
        )
        data = rest[length:]
    return answers, data


@dataclass
class PipeliningCaller:
    """Sends bursts on one connection until it ends.

    Attributes
    ----------
    sent
        Ids of the requests whose last byte has been sent, in order.
    """

    name: str
    rng: random.Random
    path: str
    id_header: str
    sent: list[str] = field(default_factory=list)
    received: bytes = b""
    ended: bool = False
    malformed: bool = False

    def answers(self) -> tuple[list[Answer], bytes]:
        return parse_answers(self.received, self.id_header.lower().encode())

    async def run(self, host: str, port: int, stopped: asyncio.Event) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 1.5 * START_BEFORE_STOP_S))
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return
        reading = asyncio.create_task(self._read(reader))
        with contextlib.suppress(ConnectionError):
            while not (self.ended or self.malformed or stopped.is_set()):
                await self._send_burst(writer)
                async with asyncio.timeout(GIVE_UP_S):
                    while not self.ended and len(self.answers()[0]) < len(self.sent):
                        await asyncio.sleep(0.005)
        writer.close()
        await reading

    async def _send_burst(self, writer: asyncio.StreamWriter) -> None:
        ids = [f"{self.name}-{len(self.sent) + n}" for n in range(self.rng.randint(1, MAX_BURST))]
        data = b"".join(self._request(request_id) for request_id in ids)
        self.malformed = self.rng.random() < MALFORMED_SHARE
        if self.malformed:
            data += self.rng.choice(MALFORMED)
        cuts = sorted(self.rng.randrange(len(data)) for _ in range(self.rng.randrange(MAX_PIECES)))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            writer.write(data[start:end])
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PIECE_PAUSE_S))
        self.sent += ids

    def _request(self, request_id: str) -> bytes:
        lines = [f"GET {self.path} HTTP/1.1", "Host: shop.example"]
        lines += [f"{self.id_header}: {request_id}", "Request-Deadline: 4000", "", ""]
        return "\r\n".join(lines).encode()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                self.received += data
        self.ended = True


def check(callers: list[PipeliningCaller], ran: set[str]) -> None:
    """Check that all that ran was answered, whole and in order, and that "not run" is true."""
    for caller in callers:
        answers, rest = caller.answers()
        assert rest == b"", caller.name
        own = [answer for answer in answers if answer.request_id.startswith(f"{caller.name}-")]
        answered = [answer.request_id for answer in own]
        assert answered == [f"{caller.name}-{n}" for n in range(len(own))], caller.name
        rejections = answers[len(own) :]
        assert own + rejections == answers, caller.name
        assert len(rejections) <= caller.malformed, caller.name
        assert {answer.status for answer in rejections} <= {400, 404, 503}, caller.name
        lost = {name for name in ran if name.rpartition("-")[0] == caller.name} - set(answered)
        assert not lost, caller.name
        assert not {answer.request_id for answer in answers if answer.ran == "no"} & ran


async def play(rng, endpoint, path, id_header, stops):
    """Let callers send to an endpoint while nodes stop; return the callers."""
    stopped = asyncio.Event()
    callers = [
        PipeliningCaller(f"c{number}", random.Random(rng.random()), path, id_header)
        for number in range(CONNECTIONS)
    ]
    runs = [asyncio.create_task(caller.run(*endpoint, stopped)) for caller in callers]
    await asyncio.sleep(START_BEFORE_STOP_S)
    assert all(await asyncio.gather(*(stop() for stop in stops)))
    stopped.set()
    async with asyncio.timeout(GIVE_UP_S):
        await asyncio.gather(*runs)
    return callers


# The second of two requests that arrived together in a shutdown ran, and its answer was dropped.
@pytest.mark.parametrize("stopping", [(0,), (1,), (0, 1)], ids=["node", "gate", "both"])
@pytest.mark.parametrize("seed", range(DRAWS))
async def test_requests_that_ran_are_answered_whatever_stops(seed, stopping):
    rng = random.Random(f"{seed} {stopping}")
    world = World()
    await world.start(0)
    try:
        for number in range(3):
            host = await world.add(f"i-{number}", shutdown_s=SHUTDOWN_S)
            host.instance.script.work_s = rng.uniform(*WORK_S)
        await world.settle()
        stops = [world.hosts[number].node.leave for number in stopping]
        endpoint = (world.hosts[0].ip, CALLERS)
        callers = await play(rng, endpoint, "/stock/1", "Request-Id", stops)
    finally:
        await world.stop()
    ran = {
        run.headers[b"request-id"].decode() for host in world.hosts for run in host.instance.runs
    }
    assert ran
    check(callers, ran)


class RecordingUpstream:
    """Answers each request after some time, and records its id."""

    def __init__(self, work_s: float) -> None:
        self.ran: set[str] = set()
        self._work_s = work_s

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await read_request(reader)).decode()
                request_id = head.partition("Peridot-Request-Id: ")[2].partition("\r\n")[0]
                self.ran.add(request_id)
                await asyncio.sleep(self._work_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()


@pytest.mark.parametrize("seed", range(DRAWS))
async def test_requests_that_ran_are_answered_whatever_stops_without_gates(seed):
    rng = random.Random(seed)
    cluster = Cluster(SMALL, service_s=0.002, drain_s=SHUTDOWN_S)
    await cluster.start(per_service=2)
    upstream = RecordingUpstream(rng.uniform(*WORK_S))
    server = await asyncio.start_server(upstream.handle, "127.0.0.1", 0)
    leaving = cluster.hosts[1]
    try:
        async with aiohttp.ClientSession() as session:
            await Harness(cluster, session).only_upstream(server.sockets[0].getsockname()[1])
        service = leaving.node.load.service_by_name[ServiceName("siparis")]
        async with asyncio.timeout(GIVE_UP_S):
            while service.balancer.view_by_id.keys() != {"raw"}:
                await asyncio.sleep(0.02)
        endpoint = parse_endpoint(leaving.node.settings.callers_address)
        callers = await play(
            rng,
            (endpoint.host, endpoint.port),
            "/siparis/mine",
            "Peridot-Request-Id",
            [leaving.node.leave],
        )
    finally:
        server.close()
        await cluster.stop()
    assert upstream.ran
    check(callers, upstream.ran)
