"""Clients that no operator controls, against real processes over loopback.

Each test lets a crowd of them do one thing at a time to a node on the smallest host, and checks
that its process and that of the gate behind it live within their memory and descriptors, and that
an ordinary request is answered while the crowd is still connected.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import resource
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import pytest
from mesh_world import ANNOUNCE, CALLERS, fresh_ip, mesh_settings
from users_platform import DOCUMENT, InstanceStandin, Store, document_bytes

from peridottrack.config import MeshSettings

HOST_MEMORY_MB = 200
"""Memory of the smallest host that the users' pages name."""
HOST_DESCRIPTORS = 4_100
"""Descriptors of the smallest host that the users' pages name."""
CROWD = 24
"""Connections of an attack."""
LARGEST_BODY = 8 << 20
"""Largest body of the document: the crowd's bodies together are about as large as the host."""
PAGES_LARGEST_BODY = 64 << 20
"""Largest body that the users' pages name."""
SMALL_CHUNKED_BODY = 1 << 20
"""Size of a body in very small chunks."""
MIDDLE_BODY = 400_000
CROWD_OF_MIDDLE_BODIES = 480
"""Size and number of bodies that together are about as large as the host, too."""
ENDLESS_BYTES = 16 << 20
"""Bytes after which a client that would send without an end has shown what it can do."""
PIECE_BYTES = 16 << 10
SIZES_IN_A_ROW = (60_000, 100_000)
"""Sizes of bodies that follow each other on a connection: nodes pass on the first in one frame, the
second in parts."""
FEW_SENDERS, MANY_SENDERS = 20, 60
"""Connections that send them."""
MANY_PIPELINES = 2_000
"""Connections on which requests follow each other without a wait."""
SENDERS_OF_CHUNKS = 300
"""Connections that send chunks of one byte."""
FEW_DESCRIPTORS = 128
"""Limit of the descriptors of a process that a crowd of connections is to exhaust."""
MANY_CONNECTIONS = 600
"""Connections of that crowd: if each kept its place until it counts as idle, others would wait for
longer than `GUARD_S`."""
UNREAD_REQUESTS = 2_000
"""Requests that a client sends on one connection without reading an answer."""
UNREAD_LARGE_ANSWERS = 32
LARGE_ANSWER = 1 << 20
"""Number and size of answers that a client asks for and does not read."""
REQUEST_PAUSE_S = 0.1
"""Pause between two of these requests, so that the instance has room for them."""
ATTACK_S = 10.0
"""Longest time for which an attack sends; a client whose node stops reading sends no more."""
GUARD_S = 60.0
"""Time after which a test gives up waiting for a process that hangs."""
HEARTBEAT_S = 0.5
WATCH_S = 0.25
"""Pause between two looks at the memory of the processes."""

HEAD = (
    b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: h\r\nRequest-Deadline: 30000\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SIZED = HEAD + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY
SMALL_CHUNKS = b"8\r\nabcdefgh\r\n" * 1024
SMALL_CHUNKS_BODY = 8 * 1024
CHUNKS_OF_A_BYTE = b"1\r\na\r\n" * 4096
CHUNKS_OF_A_BYTE_BODY = 4096
LARGE_CHUNK = b"100000\r\n" + b"a" * (1 << 20) + b"\r\n"
UNREADING_CLIENT = [
    b"GET /stock/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: h%d\r\n\r\n" % (number, number)
    for number in range(UNREAD_REQUESTS)
]


def repeated(start: bytes, piece: bytes, total: int):
    """Return the pieces of what a client sends: a start, then a piece again and again."""
    yield start
    for _ in range(total // len(piece)):
        yield piece


def until_short_of_end(size: int):
    """Return a body without its end, in pieces."""
    return repeated(SIZED, b"a" * PIECE_BYTES, size - PIECE_BYTES)


ATTACKS = {
    "header line without end": lambda: repeated(HEAD + b"Big: ", b"a" * PIECE_BYTES, ENDLESS_BYTES),
    "header lines without end": lambda: repeated(HEAD, b"Ab: cd\r\n" * 2048, ENDLESS_BYTES),
    "empty lines without end": lambda: repeated(b"\r\n", b"\r\n" * 8192, ENDLESS_BYTES),
    "head over the limit": lambda: repeated(
        HEAD, b"Ab: " + b"c" * PIECE_BYTES + b"\r\n", 8 * PIECE_BYTES
    ),
    "trailer line without end": lambda: repeated(
        CHUNKED + b"0\r\nBig: ", b"a" * PIECE_BYTES, ENDLESS_BYTES
    ),
    "bodies that stop short, at once": lambda: [SIZED + b"a" * (LARGEST_BODY - 1)],
    "bodies that stop short, in pieces": lambda: until_short_of_end(LARGEST_BODY),
    "complete bodies": lambda: [SIZED + b"a" * LARGEST_BODY],
    "large chunks that stop short": lambda: repeated(CHUNKED, LARGE_CHUNK, 8 * len(LARGE_CHUNK)),
    "small chunks that stop short": lambda: repeated(
        CHUNKED, SMALL_CHUNKS, SMALL_CHUNKED_BODY // SMALL_CHUNKS_BODY * len(SMALL_CHUNKS)
    ),
    "answers that are not read": lambda: UNREADING_CLIENT,
}
"""What the clients of each attack send on a connection that they then keep open."""


@dataclass
class NodeProcess:
    """A node in its own process, and the address on which it listens to callers."""

    ip: str
    process: subprocess.Popen

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    def peak_memory_mb(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / 1e6

    def unread_bytes(self) -> int:
        """Return the bytes that the kernel has received for the process and it has not read."""
        inodes = set()
        for descriptor in Path(f"/proc/{self.process.pid}/fd").iterdir():
            # It may be closed meanwhile.
            with contextlib.suppress(FileNotFoundError):
                inodes.add(str(descriptor.readlink()).removeprefix("socket:[").removesuffix("]"))
        address = socket.inet_aton(self.ip)[::-1].hex().upper()
        total = 0
        for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = row.split()
            listens = fields[3] == "0A"
            waits_for_accept = fields[9] == "0" and fields[1].startswith(address)
            if (fields[9] in inodes and not listens) or waits_for_accept:
                total += int(fields[4].partition(":")[2], 16)
        return total

    def memory_with_unread_mb(self) -> float:
        """Return the memory of the process now, with the bytes that it has not read."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return (pages * resource.getpagesize() + self.unread_bytes()) / 1e6

    def descriptors(self) -> int:
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))


@dataclass
class Site:
    """The node under attack, which has no instance, and others beside one instance each."""

    folder: Path
    store: Store = field(default_factory=Store)
    instances: list[InstanceStandin] = field(default_factory=list)
    nodes: list[NodeProcess] = field(default_factory=list)
    clients: list[socket.socket] = field(default_factory=list)
    attacks: list[asyncio.Task] = field(default_factory=list)
    sequence: int = 0
    largest_memory_mb: float = 0.0

    @property
    def instance(self) -> InstanceStandin:
        return self.instances[0]

    async def start(
        self, largest_body: int = LARGEST_BODY, timeout_s: float = 4.0, gates: int = 1
    ) -> None:
        await self.store.start()
        self.instances += [InstanceStandin(f"i-{number}") for number in range(1, gates + 1)]
        for instance in self.instances:
            await instance.start()
        routes = {
            **DOCUMENT["routes"],
            "rows": [[*row[:4], timeout_s, *row[5:]] for row in DOCUMENT["routes"]["rows"]],
        }
        limits = {**DOCUMENT["limits"], "max_body_bytes": largest_body}
        self.store.put("op", "config", document_bytes(routes=routes, limits=limits))
        # Each ordinary request is on a connection of its own, which the node has to accept.
        connector = aiohttp.TCPConnector(force_close=True)
        timeout = aiohttp.ClientTimeout(total=GUARD_S)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        for number in range(1 + gates):
            self.nodes.append(self._start_node(number))
        self.heartbeats = asyncio.create_task(self._send_heartbeats())
        self.watch = asyncio.create_task(self._watch_memory())
        assert await self.answered("/stock/1")

    def _start_node(self, number: int) -> NodeProcess:
        ip = fresh_ip()
        # The instances are at the other nodes; there is none at the address of the first.
        upstream = f"127.0.0.1:{self.instances[number - 1].port}" if number else f"{ip}:9"
        limits = {
            name: value
            for name, value in (("memory_mb", HOST_MEMORY_MB), ("max_fds", HOST_DESCRIPTORS))
            if name in MeshSettings.model_fields
        }
        settings = mesh_settings(ip, upstream, store_url=self.store.url, **limits)
        path = self.folder / f"node-{number}.json"
        path.write_text(json.dumps(settings.model_dump()))
        with (self.folder / f"log-{number}").open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "peridottrack", "mesh", "--settings", str(path)],
                stdout=output,
                stderr=output,
            )
        return NodeProcess(ip, process)

    async def _send_heartbeats(self) -> None:
        while True:
            self.sequence += 1
            gates = zip(self.nodes[1:], self.instances, strict=True)
            await asyncio.gather(*(self._send_heartbeat(*gate) for gate in gates))
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self, gate: NodeProcess, instance: InstanceStandin) -> None:
        body = {
            "address": f"{gate.ip}:{instance.port}",
            "born": 1_000,
            "node_info": {
                "service": "katalog",
                "version": "v1",
                "zone": "a",
                "max_concurrent": 18,
            },
            "status": {"state": "ready", "sequence": self.sequence, "warmup_left_s": 0},
        }
        url = f"http://{gate.ip}:{ANNOUNCE}/v1/instances/{instance.name}/heartbeat"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.post(url, data=json.dumps(body)):
                pass

    async def _watch_memory(self) -> None:
        """Record the largest memory of a process with the bytes that it has not read."""
        while True:
            self._record_memory()
            await asyncio.sleep(WATCH_S)

    def _record_memory(self) -> None:
        for node in self.nodes:
            if node.alive:
                self.largest_memory_mb = max(self.largest_memory_mb, node.memory_with_unread_mb())

    async def request(self, path: str, method: str = "GET", body: bytes = b"") -> int:
        """Send one ordinary request to the node under attack; return the status, 0 for none."""
        headers = {"Host": "shop.example", "Request-Id": "r", "Request-Deadline": "30000"}
        url = f"http://{self.nodes[0].ip}:{CALLERS}{path}"
        try:
            async with self.session.request(method, url, headers=headers, data=body) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def answered(self, path: str) -> bool:
        """Return whether an ordinary request is answered, at the latest after some repeats."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GUARD_S):
                while all(node.alive for node in self.nodes):
                    if await self.request(path) == 200:
                        return True
                    await asyncio.sleep(0.1)
        return False

    async def attack(self, make_pieces, connections: int, pause_s: float = 0.0) -> None:
        """Let a crowd send until each has sent everything, was closed, or is no longer read."""
        self.attacks = [
            asyncio.create_task(self._send(make_pieces(), pause_s)) for _ in range(connections)
        ]
        await asyncio.wait(self.attacks, timeout=ATTACK_S)

    async def _send(self, pieces, pause_s: float) -> socket.socket:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self.clients.append(client)
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, (self.nodes[0].ip, CALLERS))
            for piece in pieces:
                await loop.sock_sendall(client, piece)
                if pause_s:
                    await asyncio.sleep(pause_s)
        return client

    async def send_again_and_again(self, make_pieces) -> None:
        """Send on a new connection whenever the node has closed the one before."""
        while True:
            client = await self._send(make_pieces(), 0.0)
            await self.status(client)
            client.close()

    async def status(self, client: socket.socket) -> int:
        """Return the status of a client's first response, 0 if its connection ends without one."""
        with contextlib.suppress(OSError):
            async with asyncio.timeout(GUARD_S):
                head = await asyncio.get_running_loop().sock_recv(client, PIECE_BYTES)
            return int(head.split()[1]) if head else 0
        return 0

    def check_processes(self) -> None:
        """Check that both processes live, within the memory and descriptors of their hosts."""
        assert all(node.alive for node in self.nodes), [node.alive for node in self.nodes]
        facts = [(node.peak_memory_mb(), node.descriptors()) for node in self.nodes]
        self._record_memory()
        print("peak memory in MB, descriptors:", facts)
        print("largest memory in MB with unread bytes:", self.largest_memory_mb)
        assert max(memory for memory, _ in facts) < HOST_MEMORY_MB, facts
        assert self.largest_memory_mb < HOST_MEMORY_MB
        assert max(descriptors for _, descriptors in facts) < HOST_DESCRIPTORS, facts

    async def stop(self) -> None:
        for task in self.attacks:
            task.cancel()
        await asyncio.gather(*self.attacks, return_exceptions=True)
        for client in self.clients:
            client.close()
        self.heartbeats.cancel()
        self.watch.cancel()
        await self.session.close()
        for node in self.nodes:
            node.process.kill()
            node.process.wait()
        for instance in self.instances:
            await instance.stop()
        await self.store.stop()


@pytest.fixture
async def site(tmp_path):
    running = Site(tmp_path)
    yield running
    await running.stop()


@pytest.mark.parametrize("make_pieces", ATTACKS.values(), ids=ATTACKS)
async def test_crowd_is_borne(site, make_pieces):
    await site.start()
    await site.attack(make_pieces, CROWD)
    assert await site.answered("/stock/1")
    site.check_processes()


async def test_complete_bodies_are_run_or_refused(site):
    await site.start()
    await site.attack(ATTACKS["complete bodies"], CROWD)
    statuses = await asyncio.gather(*(site.status(client) for client in site.clients))
    print("statuses:", sorted(statuses))
    # A connection that is closed while its client still sends may lose the answer.
    assert set(statuses) <= {200, 503, 0}
    runs = [run for run in site.instance.runs if run.method == "POST"]
    assert len(runs) == statuses.count(200) > 0
    assert all(len(run.body) == LARGEST_BODY for run in runs)
    site.check_processes()


@pytest.mark.parametrize(
    ("size", "connections"), [(LARGEST_BODY, CROWD), (MIDDLE_BODY, CROWD_OF_MIDDLE_BODIES)]
)
async def test_crowd_that_comes_back_is_borne(site, size, connections):
    await site.start()
    head = HEAD + b"Content-Length: %d\r\n\r\n" % size
    site.attacks = [
        asyncio.create_task(
            site.send_again_and_again(lambda: repeated(head, b"a" * PIECE_BYTES, size - 1))
        )
        for _ in range(connections)
    ]
    await asyncio.wait(site.attacks, timeout=ATTACK_S)
    assert await site.answered("/stock/1")
    site.check_processes()


async def test_crowd_that_pipelines_is_borne(site):
    await site.start()
    await site.attack(lambda: UNREADING_CLIENT, MANY_PIPELINES)
    assert await site.answered("/stock/1")
    site.check_processes()


async def test_small_chunks_on_many_connections_are_borne(site):
    await site.start()
    pieces = [CHUNKED, *[CHUNKS_OF_A_BYTE] * (SMALL_CHUNKED_BODY // CHUNKS_OF_A_BYTE_BODY)]
    await site.attack(lambda: pieces, SENDERS_OF_CHUNKS)
    assert await site.answered("/stock/1")
    site.check_processes()


@pytest.mark.parametrize("connections", [FEW_SENDERS, MANY_SENDERS])
@pytest.mark.parametrize("size", SIZES_IN_A_ROW)
async def test_bodies_one_after_another_are_borne(site, size, connections):
    await site.start(gates=2)
    for instance in site.instances:
        instance.keeps_runs = False
    request = HEAD + b"Content-Length: %d\r\n\r\n" % size + b"a" * size
    await site.attack(lambda: itertools.repeat(request), connections)
    assert await site.answered("/stock/1")
    site.check_processes()


async def test_connections_that_send_nothing_leave_descriptors_to_others(site):
    await site.start()
    limits = (FEW_DESCRIPTORS, FEW_DESCRIPTORS)
    resource.prlimit(site.nodes[0].process.pid, resource.RLIMIT_NOFILE, limits)
    await site.attack(lambda: [b""], MANY_CONNECTIONS)
    assert await site.answered("/stock/1")
    site.check_processes()


async def test_large_answers_that_are_not_read_are_borne(site):
    await site.start()
    site.instance.script.answer_bytes = LARGE_ANSWER
    requests = UNREADING_CLIENT[:UNREAD_LARGE_ANSWERS]
    await site.attack(lambda: requests, CROWD, REQUEST_PAUSE_S)
    assert await site.answered("/stock/1")
    site.check_processes()


async def test_one_body_of_the_pages_limit_is_served(site):
    await site.start(PAGES_LARGEST_BODY, timeout_s=30.0)
    body = b"a" * PAGES_LARGEST_BODY
    assert await site.request("/order/1", "POST", body) == 200
    assert [len(run.body) for run in site.instance.runs if run.method == "POST"] == [len(body)]
    site.check_processes()
