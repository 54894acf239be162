"""Stand-ins for the scripts of this review: store, instances, clients and platform on loopback.

The programs under test are started as the deploy file says, as processes of their own. All that
runs in the script's process are the outside systems, by the users' pages.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import errno
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
HEARTBEAT_S = 1.5
READY_INTERVAL_S = 1.0
RESTART_S = 0.5
"""Delay after which the platform starts an ended process again."""
GRACE_S = 6.0
PORTS = ("callers", "link", "ready", "announce", "gossip", "metrics", "instance")
MEMORY_CHECK_S = 0.02


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        """Write one line with the seconds since the start."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {what} {words}\n")

    def close(self) -> None:
        """End the record."""
        self._file.close()


# -- the platform's store ------------------------------------------------------------------


class Store:
    """The platform's store of rows, with its feed (PROTOCOL.md)."""

    def __init__(self) -> None:
        self.ver = 0
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        own_ip, own_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{own_ip}:{own_port}"

    def put(self, table: str, part: str, key: str, value: str) -> None:
        """Write a row."""
        self.ver += 1
        self.rows[(table, part, key)] = {
            "table": table, "part": part, "key": key, "value": value, "ver": self.ver,
        }  # fmt: skip
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                method, target, headers, body = await read_request(reader)
                path, _, query = target.partition("?")
                words = dict(part.split("=", 1) for part in query.split("&") if part)
                status, data = await self._call(path, words, body)
                text = json.dumps(data).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        writer.close()

    async def _call(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            rows = [
                row for (table, _, _), row in sorted(self.rows.items()) if table == query["table"]
            ]
            rows = [row for row in rows if not row.get("removed")]
            return 200, self._page(rows) | {"truncated": False}
        if path == "/v1/rows-feed":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while not (rows := self._newer(query["table"], after)):
                left = end - time.monotonic()
                if left <= 0:
                    break
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
            return 200, self._page(rows)
        if path == "/v1/rows-tx":
            data = json.loads(body)
            for row in data["precondition"]:
                present = self.rows.get((row["table"], row.get("part", ""), row["key"]))
                if row["ver"] != (present["ver"] if present else 0):
                    return 412, {"rows": []}
            for row in data["writes"]:
                self.put(row["table"], row.get("part", ""), row["key"], row["value"])
            for row in data["remove"]:
                self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
            return 200, {"ver": self.ver, "now_s": self._now()}
        return 404, {}

    def _newer(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [row for (name, _, _), row in self.rows.items() if name == table]
        return sorted((row for row in rows if row["ver"] > after), key=lambda row: row["ver"])

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        return {"rows": rows, "ver": self.ver, "now_s": self._now()}

    @staticmethod
    def _now() -> float:
        return round(time.monotonic(), 3)


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Read one request with a length or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.split("\r\n")
    method, target, _ = line.split(" ", 2)
    headers = {}
    for text in lines:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


# -- instances ---------------------------------------------------------------------------


@dataclass
class Run:
    """A request that an instance began to work on."""

    request_id: str
    instance: str
    caller: str
    started_at: float
    ended: str = "running"


class Instance:
    """A sound instance: its slots, a queue, its answers, health check and heartbeats.

    The path of a request tells its work in ms and the size of its answer in bytes:
    ``/service/.../WORK/SIZE``.
    """

    def __init__(self, name: str, service: str, zone: str, slots: int, record: Record) -> None:
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.record = record
        self.queue_limit = 4 * slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs: dict[str, list[Run]] = {}
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._tasks: list[asyncio.Task[Any]] = []
        self._transports: set[Any] = set()

    async def start(self, ip: str, port: int, announce: str) -> None:
        """Listen, and send heartbeats to the node."""
        self.address, self._announce = f"{ip}:{port}", announce
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _InstanceProtocol(self), ip, port)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def start_again(self, down_s: float) -> None:
        """Break all connections and be back after some seconds, under the same id."""
        self.record.write("exit", instance=self.name)
        self.stop()
        self._tasks.clear()
        self._server.close()
        for transport in list(self._transports):
            transport.abort()
        await asyncio.sleep(down_s)
        self.born, self.sequence = int(time.time() * 1000), 0
        self.state, self.running = "ready", 0
        self._waiting.clear()
        ip, _, port = self.address.rpartition(":")
        await self.start(ip, int(port), self._announce)
        self.record.write("back", instance=self.name)

    async def _beat(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        return await self.send_report(self.make_report())

    def make_report(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "address": self.address,
            "born": self.born,
            "node_info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max_concurrent": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left_s": 0},
        }

    async def send_report(self, body: dict[str, Any]) -> bool:
        """Send a heartbeat, perhaps late; return whether it was acknowledged."""
        path = f"/v1/instances/{self.name}/heartbeat"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, _ = await asyncio.wait_for(call_json(self._announce, path, body), 1.0)
            return 200 <= status < 300
        return False

    async def deregister(self) -> bool:
        """Send no more heartbeats, and deregister; return whether that was acknowledged."""
        self.stop()
        self.state = "draining"
        path = f"/v1/instances/{self.name}/deregister"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, _ = await asyncio.wait_for(
                call_json(self._announce, path, {"born": self.born}), 1.0
            )
            return 200 <= status < 300
        return False

    async def slot(self) -> None:
        """Wait for a slot."""
        if self.running < self.slots and not self._waiting:
            self.running += 1
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.free()
            else:
                with contextlib.suppress(ValueError):
                    self._waiting.remove(future)
            raise

    def free(self) -> None:
        """Pass a slot on."""
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def load(self) -> bytes:
        """Return the header Instance-Load."""
        return b"%d,%d,%d,100" % (self.running, self.waiting, self.slots)

    def stop(self) -> None:
        """End the heartbeats."""
        for task in self._tasks:
            task.cancel()


class _InstanceProtocol(asyncio.Protocol):
    """A connection to an instance: one request at a time."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._buffer = bytearray()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport
        self._instance._transports.add(transport)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if self._task is not None and not self._task.done():
            return
        self._next()

    def _next(self) -> None:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        line, *lines = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
        headers = {}
        for text in lines:
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = end + 4 + int(headers.get("content-length", "0"))
        if len(self._buffer) < size:
            return
        del self._buffer[:size]
        method, target, _ = line.split(" ", 2)
        self._task = asyncio.create_task(self._handle(target, headers))
        self._task.add_done_callback(lambda task: task.cancelled() or self._next())

    def connection_lost(self, exc: Exception | None) -> None:
        self._instance._transports.discard(self._transport)
        if self._task is not None:
            self._task.cancel()

    async def _handle(self, target: str, headers: dict[str, str]) -> None:
        instance = self._instance
        if target == "/healthz":
            status = 200 if instance.state == "ready" else 503
            self._answer(status, "", b"", b"Instance-Id: %b\r\n" % instance.name.encode())
            return
        request_id = headers.get("request-id", "")
        wanted = headers.get("target-instance", "")
        if wanted and wanted != instance.name:
            self._answer(421, request_id, b"", b"")
            return
        if instance.running >= instance.slots and instance.waiting >= instance.queue_limit:
            self._answer(503, request_id, b"", b"Not-Executed: 1\r\n")
            return
        deadline = time.monotonic() + int(headers.get("request-deadline", "60000")) / 1000
        await instance.slot()
        try:
            if time.monotonic() >= deadline:
                self._answer(503, request_id, b"", b"Not-Executed: 1\r\n")
                return
            work_ms, size = target.partition("?")[0].split("/")[-2:]
            run = Run(
                request_id, instance.name, headers.get("caller-service", ""), time.monotonic()
            )
            instance.runs.setdefault(request_id, []).append(run)
            instance.record.write("run", id=request_id, instance=instance.name)
            try:
                left_s = deadline - time.monotonic()
                work_s = int(work_ms) / 1000
                await asyncio.sleep(min(work_s, left_s))
                run.ended = "done" if work_s <= left_s else "deadline"
            except asyncio.CancelledError:
                run.ended = "dropped"
                raise
            finally:
                instance.record.write("ran", id=request_id, instance=instance.name, end=run.ended)
        finally:
            instance.free()
        if run.ended == "done":
            self._answer(200, request_id, _body(int(size)), b"")
        else:
            self._answer(504, request_id, b"", b"")

    def _answer(self, status: int, request_id: str, body: bytes, more: bytes) -> None:
        instance = self._instance
        signature = b"%b.%d" % (instance.name.encode(), len(body))
        parts = [b"HTTP/1.1 %d X\r\n" % status, more]
        if request_id:
            parts.append(b"Request-Id: %b\r\n" % request_id.encode())
            parts.append(b"Response-Signature: %b\r\n" % signature)
        parts.append(b"Instance-Load: %b\r\n" % instance.load())
        parts.append(b"Content-Length: %d\r\n\r\n" % len(body))
        self._transport.write(b"".join(parts))
        if body:
            self._transport.write(body)


_NOISE = random.Random(2).randbytes(1 << 20)


def _body(size: int) -> bytes:
    """Return bytes that do not compress."""
    return (_NOISE * (size // len(_NOISE) + 1))[:size]


# -- nodes and their platform ------------------------------------------------------------


@dataclass
class Host:
    """A machine: an instance and the node beside it."""

    name: str
    ip: str
    ports: dict[str, int]
    service: str
    zone: str
    instance: Instance
    settings: Path
    log: Path
    folder: Path
    memory_mb: int
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    ready: bool = False
    misses: int = 2
    held_down: bool = False
    terminating: bool = False
    peak_mb: float = 0.0
    killed_for_memory: bool = False
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)

    def address(self, port: str) -> str:
        """Return an address of this machine."""
        return f"{self.ip}:{self.ports[port]}"

    @property
    def takes_clients(self) -> bool:
        """Whether clients send here."""
        return self.misses < 2


class World:
    """A small deployment, and the platform that runs it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder / "record.txt")
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.hosts: list[Host] = []
        self._deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._block = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
        self._base = random.randint(20_000, 27_000)

    async def start(
        self, hosts: list[tuple[str, str, str]], slots: int, document: dict, memory_mb: int = 300
    ) -> None:
        """Start all machines: (name, service, zone) of each."""
        if not (ROOT / "target" / "deps").exists():
            raise CannotRun("the build of the deploy file has not run")
        await self.store.start(f"{self._block}.250")
        for number, (name, service, zone) in enumerate(hosts):
            self._add(number, name, service, zone, slots, memory_mb)
        for host in self.hosts:
            await host.instance.start(host.ip, host.ports["instance"], host.address("announce"))
            await self._spawn(host)
            host.tasks.append(asyncio.create_task(self._check_ready(host)))
            host.tasks.append(asyncio.create_task(self._check_memory(host)))
        self.publish(document)

    def publish(self, document: dict) -> None:
        """Write a configuration, as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.store.put("op", "", "config", value)
        self.record.write("config", version=document["version"])

    def _add(
        self, number: int, name: str, service: str, zone: str, slots: int, memory: int
    ) -> None:
        ip = f"{self._block}.{number + 1}"
        ports = {port: self._base + index for index, port in enumerate(PORTS)}
        for port in ports.values():
            _require_free(ip, port)
        instance = Instance(f"i-{name}", service, zone, slots, self.record)
        settings = self.temp / f"{name}.json"
        log = self.temp / f"{name}.log"
        own = self.temp / name
        own.mkdir()
        host = Host(name, ip, ports, service, zone, instance, settings, log, own, memory)
        # What deploy/node.json makes of the fields of a small deployment (DEPLOY.md).
        settings.write_text(
            json.dumps(
                {
                    "callers_address": host.address("callers"),
                    "link_address": host.address("link"),
                    "ready_address": host.address("ready"),
                    "announce_address": host.address("announce"),
                    "gossip_address": host.address("gossip"),
                    "metrics_address": host.address("metrics"),
                    "upstream_address": host.address("instance"),
                    "service": service,
                    "failure_domain": zone,
                    "region": "tr-east",
                    "store_url": f"http://{self.store.address}",
                    "message_keys": ["peridottrack-nodes-of-one-deployment"],
                    "probes_per_s": 20,
                    "memory_mb": memory,
                    "max_fds": 4100,
                    "shutdown_s": GRACE_S,
                    "second_ratio": 0.2,
                    "second_slack": 60,
                    "second_window_s": 10,
                }
            )
        )
        self.hosts.append(host)

    async def _spawn(self, host: Host) -> None:
        program, *arguments = self._deploy["roles"]["node"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(host.folder),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "TMPDIR": str(host.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PERIDOTTRACK_CONFIG": str(host.settings),
        }
        with host.log.open("ab") as output:
            host.process = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        host.starts += 1
        self.record.write("start", node=host.name, pid=host.process.pid)
        host.tasks.append(asyncio.create_task(self._watch(host, host.process)))

    async def _watch(self, host: Host, process: asyncio.subprocess.Process) -> None:
        """Start an ended process again after a short delay."""
        code = await process.wait()
        self.record.write("end", node=host.name, code=code)
        if host.process is process:
            host.process = None
        if not host.terminating:
            await asyncio.sleep(RESTART_S)
            while host.held_down:
                await asyncio.sleep(0.05)
            await self._spawn(host)

    def kill(self, host: Host) -> None:
        """Kill a process; the platform starts it again."""
        if host.process is not None:
            self.record.write("kill", node=host.name)
            host.process.kill()

    def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to a node."""
        if host.process is not None:
            self.record.write("signal", node=host.name, signal=number.name)
            host.process.send_signal(number)

    async def _check_ready(self, host: Host) -> None:
        """Ask each second whether the node is ready; after two misses it gets no new clients."""
        while True:
            started_at = time.monotonic()
            host.ready = await self._is_ready(host)
            host.misses = 0 if host.ready else host.misses + 1
            await asyncio.sleep(max(0.0, READY_INTERVAL_S - (time.monotonic() - started_at)))

    async def _is_ready(self, host: Host) -> bool:
        try:
            status, _ = await asyncio.wait_for(get(host.address("ready"), "/v1/readyz"), 0.9)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def _check_memory(self, host: Host) -> None:
        """Kill a process that exceeds its memory, as the platform does, without shared pages."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            process = host.process
            if process is None:
                continue
            with contextlib.suppress(OSError, ValueError, IndexError):
                _, resident, shared = Path(f"/proc/{process.pid}/statm").read_text().split()[:3]
                used_mb = (int(resident) - int(shared)) * page / 1e6
                host.peak_mb = max(host.peak_mb, used_mb)
                if used_mb > host.memory_mb and not host.killed_for_memory:
                    host.killed_for_memory = True
                    self.record.write("over memory", node=host.name, mb=round(used_mb))
                    process.kill()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all nodes are ready."""
        end = time.monotonic() + timeout_s
        while not all(host.ready for host in self.hosts):
            if time.monotonic() > end:
                raise CannotRun("nodes did not become ready")
            await asyncio.sleep(0.05)

    async def dump(self, host: Host) -> dict[str, Any]:
        """Return the state that a node tells at its metrics address."""
        _, body = await asyncio.wait_for(get(host.address("metrics"), "/dump"), 2.0)
        return json.loads(body)

    async def stop(self, keep: bool = False) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.terminating = True
            for task in host.tasks:
                task.cancel()
            host.instance.stop()
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                await host.process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.temp}", file=sys.stderr)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def _require_free(ip: str, port: int) -> None:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError as error:
                if error.errno == errno.EADDRINUSE:
                    raise CannotRun(f"{ip}:{port} is in use") from error
                raise


# -- clients ------------------------------------------------------------------------------


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one answer with a length, as the node sends it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.split("\r\n")
    headers = {}
    for text in lines:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(line.split(" ")[1]), headers, body


async def get(address: str, path: str) -> tuple[int, bytes]:
    """Make a GET on a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        status, _, body = await read_answer(reader)
        return status, body
    finally:
        writer.close()


async def call_json(address: str, path: str, data: Any) -> tuple[int, bytes]:
    """Make a POST on a connection of its own."""
    host, _, port = address.rpartition(":")
    text = json.dumps(data).encode()
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
        writer.write(head.encode() + text)
        status, _, body = await read_answer(reader)
        return status, body
    finally:
        writer.close()


@dataclass
class Sent:
    """One client attempt and what came of it: a status, ``closed``, or ``timeout``."""

    request_id: str
    host: str
    path: str
    kept: bool
    sent_at: float
    outcome: str = "pending"
    signed: bool = False
    complete: bool = False
    ended_at: float = 0.0


class Clients:
    """The clients of one machine, which keep connections open for many requests."""

    _numbers = itertools.count(1)

    def __init__(self, world: World, host: Host) -> None:
        self._world, self.host = world, host
        self._idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()
        self.sent: list[Sent] = []

    async def send(
        self, path: str, method: str = "GET", deadline_ms: int = 2500, new: bool = False
    ) -> Sent:
        """Send one request and wait for its answer, until its deadline."""
        number = next(self._numbers)
        sent = Sent(f"{number:08x}", self.host.name, path, False, time.monotonic())
        self.sent.append(sent)
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                connection = None if new else self._take()
                sent.kept = connection is not None
                host, _, port = self.host.address("callers").rpartition(":")
                reader, writer = connection or await asyncio.open_connection(host, int(port))
                sent.sent_at = time.monotonic()
                body = b"" if method == "GET" else b"order"
                head = f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                head += f"Request-Id: {sent.request_id}\r\nRequest-Deadline: {deadline_ms}\r\n"
                if body:
                    head += f"Content-Length: {len(body)}\r\n"
                self._world.record.write("sent", id=sent.request_id, node=sent.host, path=path)
                writer.write(head.encode() + b"\r\n" + body)
                status, headers, answer = await read_answer(reader)
                sent.outcome = str(status)
                sent.signed = "response-signature" in headers
                sent.complete = True
                if headers.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self._idle.append((reader, writer))
        except TimeoutError:
            sent.outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError):
            sent.outcome = "closed"
        except asyncio.CancelledError:
            sent.outcome = "left"
            raise
        finally:
            if writer is not None and not sent.complete:
                writer.close()
            sent.ended_at = time.monotonic()
            self._world.record.write(
                "answered", id=sent.request_id, outcome=sent.outcome,
                s=round(sent.ended_at - sent.sent_at, 3),
            )  # fmt: skip
        return sent

    def _take(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return None


def document(version: int, routes: list[list[Any]], services: list[str]) -> dict[str, Any]:
    """Return a configuration.

    A route is its name, prefix, kind, timeout, target, priority, attempts and service.
    """
    return {
        "version": version,
        "routes": {
            "columns": [
                "name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority",
                "attempts", "service",
            ],
            "rows": [[row[0], HOST_NAME, *row[1:]] for row in routes],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [[name, "/healthz", 240] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }  # fmt: skip


def run_case(main: Any) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(sys.argv[1]).resolve()

    async def run() -> int:
        world = World(folder)
        try:
            async with asyncio.timeout(115):
                return await main(world, trouble)
        finally:
            await world.stop()

    try:
        sys.exit(asyncio.run(run()))
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
