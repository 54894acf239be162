"""Stand-ins for the users' platform on loopback, and the nodes as processes of the deploy file.

The nodes run as `python3 -m peridottrack mesh` with the settings that `deploy/node.json` gives. The
store, the instances and the clients are parts of the script's own process. Each machine has an
address of its own in 127.0.0.0/8, and all machines use the same ports.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        self._file.flush()
        print(text, flush=True)


@dataclass
class Request:
    """A request as a stand-in server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Answer = tuple[int, dict[str, str], bytes] | None


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {key.strip().lower(): value.strip() for key, _, value in pairs}


class Server:
    """An HTTP/1.1 server with one request at a time on a connection.

    A handler is cancelled when its connection closes; an answer of None is never given.
    """

    def __init__(self, handler: Callable[[Request], Awaitable[Answer]]) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=1024, limit=1 << 20
        )

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                request = Request(method, target, headers, body)
                answer = await self._handle(request, reader)
                if answer is None:
                    return
                status, more, data = answer
                fields = {"Content-Length": str(len(data)), **more}
                text = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
                writer.write(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode("latin-1"))
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass  # the connection, or the script, has ended
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, request: Request, reader: asyncio.StreamReader) -> Answer:
        """Return the handler's answer; None if the connection closes before."""
        task = asyncio.ensure_future(self._handler(request))
        # Nothing may follow before the answer, so that only the end of the connection is read.
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((task, closed), return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                return None
            return task.result()
        finally:
            for one in (task, closed):
                one.cancel()
            await asyncio.gather(task, closed, return_exceptions=True)


class Store:
    """The platform's store of rows with its feed.

    Attributes
    ----------
    lose
        Decides on each write, by its rows, whether its answer is lost and after how many seconds it
        is done; None if it is answered.
    """

    def __init__(self) -> None:
        self.ver = 0
        self.rows: dict[tuple[str, str, str], dict[str, object]] = {}
        self._changed = asyncio.Event()
        self._server = Server(self._answer)
        self.lose: Callable[[list[dict[str, str]]], float | None] = lambda rows: None

    async def start(self, host: str, port: int) -> None:
        await self._server.start(host, port)
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        self._server.stop()

    def put(self, rows: list[dict[str, str]], removed: Sequence[dict[str, str]] = ()) -> None:
        self.ver += 1
        for row in rows:
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows[key] = {**row, "part": key[1], "ver": self.ver}
        for row in removed:
            key = (row["table"], row.get("part", ""), row["key"])
            if key in self.rows:
                self.rows[key] = {
                    "table": key[0],
                    "part": key[1],
                    "key": key[2],
                    "ver": self.ver,
                    "removed": True,
                }
        self._changed.set()
        self._changed = asyncio.Event()

    def put_config(self, config: dict[str, object]) -> None:
        value = base64.b64encode(json.dumps(config).encode()).decode()
        self.put([{"table": "op", "part": "", "key": "config", "value": value}])

    async def _answer(self, request: Request) -> Answer:
        path, _, query_text = request.target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query_text.split("&") if pair)
        await asyncio.sleep(0.004)
        if path == "/v1/rows-tx":
            return await self._tx(json.loads(request.body))
        if path == "/v1/rows-get":
            table, part = query["table"], query.get("part", "")
            rows = sorted(
                (row for key, row in self.rows.items() if key[:2] == (table, part)),
                key=lambda row: str(row["key"]),
            )
            return self._page([row for row in rows if not row.get("removed")])
        if path == "/v1/rows-feed":
            table, after = query["table"], int(query["after"])
            ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                changed = self._changed
                rows = [
                    row for key, row in self.rows.items() if key[0] == table and row["ver"] > after
                ]
                left_s = ends_at - time.monotonic()
                if rows or left_s <= 0:
                    return self._page(sorted(rows, key=lambda row: row["ver"]))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await changed.wait()
        return 404, {}, b"{}"

    async def _tx(self, call: dict[str, list[dict[str, str]]]) -> Answer:
        late_s = self.lose(call.get("writes", []))
        if late_s is not None:
            asyncio.get_running_loop().call_later(
                late_s, self.put, call.get("writes", []), call.get("remove", [])
            )
            await asyncio.sleep(60)
            return None
        for row in call.get("precondition", []):
            known = self.rows.get((row["table"], row.get("part", ""), row["key"]))
            if (known["ver"] if known and not known.get("removed") else 0) != row["ver"]:
                return 412, JSON, json.dumps({"rows": [known] if known else []}).encode()
        self.put(call.get("writes", []), call.get("remove", []))
        return 200, JSON, json.dumps({"ver": self.ver, "now_s": time.monotonic()}).encode()

    def _page(self, rows: list[dict[str, object]]) -> Answer:
        data = {"rows": rows, "truncated": False, "ver": self.ver, "now_s": time.monotonic()}
        return 200, JSON, json.dumps(data).encode()


JSON = {"Content-Type": "application/json"}


@dataclass
class Run:
    """One request that an instance began to work on."""

    id: str
    target: str
    at: float
    instance: str
    headers: dict[str, str]
    ended: str = ""
    ended_at: float | None = None


class Instance:
    """A sound instance: slots, a short queue, the echo of the id, deadlines, and heartbeats.

    Attributes
    ----------
    work
        Returns the seconds of work for a request, and its answer's body.
    leaving
        Whether it has begun to report that it leaves.
    """

    def __init__(self, name: str, service: str, zone: str, slots: int, record: Record) -> None:
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self._record = record
        self.leaving = False
        self._server = Server(self._answer)
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._beats: asyncio.Task[None] | None = None
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self.rejected: list[tuple[float, str]] = []
        self.work: Callable[[Request], tuple[float, bytes]] = lambda request: (0.02, b"answer")

    async def start(self, host: str, port: int, control: str) -> None:
        await self._server.start(host, port)
        self._host, self._port, self._control = host, port, control
        self._beats = asyncio.create_task(self._beat())

    def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        self._server.stop()

    async def _beat(self) -> None:
        while True:
            acknowledged = await self.report()
            await asyncio.sleep(1.5 if acknowledged else 0.1)

    async def report(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        state = "draining" if self.leaving else "ready"
        body = {
            "address": f"{self._host}:{self._port}",
            "born": self.born,
            "node_info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max_concurrent": self.slots,
            },
            "status": {"state": state, "sequence": self.sequence, "warmup_left_s": 0},
        }
        return await self._call("heartbeat", body)

    async def deregister(self) -> bool:
        """Say that it is about to exit; return whether that was acknowledged."""
        self.sequence += 1
        return await self._call("deregister", {"born": self.born})

    async def _call(self, call: str, body: dict[str, object]) -> bool:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                caller = await Caller.connect(self._control)
                path = f"/v1/instances/{self.name}/{call}"
                status, _, _ = await caller.send("POST", path, {}, json.dumps(body).encode())
                caller.close()
                return status == 200
        return False

    async def _answer(self, request: Request) -> Answer:
        if request.target == "/healthz":
            await asyncio.sleep(0.006)
            status = 503 if self.leaving else 200
            return status, {"Instance-Id": self.name, **self._load()}, b""
        request_id = request.headers.get("request-id", "")
        if not request_id:
            return 400, {"Not-Executed": "1"}, b""
        if request.headers.get("target-instance", self.name) != self.name:
            return 421, self._fields(request_id, not_run=True), b""
        if self._waiting >= 2 * self.slots:
            self.rejected.append((self._record.now(), request_id))
            return 503, self._fields(request_id, not_run=True), b""
        left_s = int(request.headers.get("request-deadline", "60000")) / 1000
        ends_at = time.monotonic() + left_s
        self._waiting += 1
        try:
            async with asyncio.timeout(left_s):
                await self._free.acquire()
        except TimeoutError:
            return 503, self._fields(request_id, not_run=True), b""
        finally:
            self._waiting -= 1
        self._running += 1
        run = Run(request_id, request.target, self._record.now(), self.name, request.headers)
        self.runs.append(run)
        self._record.write(f"run    {self.name} {request_id} {request.method} {request.target}")
        try:
            seconds, body = self.work(request)
            status = 200
            if time.monotonic() + seconds > ends_at:
                seconds, status, body = ends_at - time.monotonic(), 504, b"the deadline has passed"
            await asyncio.sleep(seconds)
            run.ended = "done"
        finally:
            run.ended_at = self._record.now()
            if not run.ended:
                run.ended = "dropped"
                self._record.write(f"drop   {self.name} {request_id}")
            self._running -= 1
            self._free.release()
        signed = {**self._fields(request_id), "Response-Signature": f"s.{request_id}"}
        return status, signed, body

    def _fields(self, request_id: str, not_run: bool = False) -> dict[str, str]:
        fields = {"Request-Id": request_id, **self._load()}
        if not_run:
            fields["Not-Executed"] = "1"
        if self.leaving:
            fields["Connection"] = "close"
        return fields

    def _load(self) -> dict[str, str]:
        return {"Instance-Load": f"{self._running},{self._waiting},{self.slots}"}


class Caller:
    """A client's connection, with one request at a time unless the parts are used alone."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: str) -> Caller:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 20))

    def write(self, method: str, path: str, headers: dict[str, str], body: bytes = b"") -> None:
        fields = {"Host": HOST_NAME, **headers}
        if body:
            fields["Content-Length"] = str(len(body))
        text = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode("latin-1") + body)

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        """Read one answer.

        Raises
        ------
        asyncio.IncompleteReadError
            If the connection ends before the answer is complete.
        """
        head = await read_head(self.reader)
        if head is None:
            raise asyncio.IncompleteReadError(b"", None)
        line, headers = head
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return int(line.split(" ")[1]), headers, body

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        self.write(method, path, headers, body)
        return await self.read()

    def close(self) -> None:
        self.writer.close()

    def abort(self) -> None:
        self.writer.transport.abort()


@dataclass
class Machine:
    """A machine: its addresses, its node's process, its instance."""

    ip: str
    zone: str
    service: str
    instance: Instance
    settings_path: Path
    process: subprocess.Popen[bytes] | None = None
    ports: dict[str, int] = field(default_factory=dict)

    def address(self, name: str) -> str:
        return f"{self.ip}:{self.ports[name]}"

    @property
    def callers(self) -> str:
        return self.address("callers")

    def signal(self, number: int) -> None:
        assert self.process is not None
        os.kill(self.process.pid, number)

    async def ready(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                caller = await Caller.connect(self.address("ready"))
                status, _, _ = await caller.send("GET", "/v1/readyz", {})
                caller.close()
                return status == 200
        return False


PORT_NAMES = ("callers", "link", "ready", "control", "app", "gossip", "metrics")


def free_ports(count: int) -> list[int]:
    """Return ports that are free on loopback now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class World:
    """A small deployment: a store, machines with nodes and instances, and what they did."""

    def __init__(self, folder: Path, config: dict[str, object], **settings: object) -> None:
        self.record = Record(folder)
        self.config = config
        self.store = Store()
        self.machines: list[Machine] = []
        self._settings = settings
        self._files = tempfile.TemporaryDirectory()
        self._ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES)), strict=True))
        self._net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"

    async def start(self) -> None:
        await self.store.start(f"{self._net}.250", free_ports(1)[0])
        self.store.put_config(self.config)

    async def add(
        self, service: str, slots: int = 18, zone: str = "a", **settings: object
    ) -> Machine:
        """Start a machine: its node and its instance."""
        number = len(self.machines) + 1
        instance = Instance(f"i-{service}-{number}", service, zone, slots, self.record)
        path = Path(self._files.name) / f"node-{number}.json"
        machine = Machine(f"{self._net}.{number}", zone, service, instance, path, None, self._ports)
        values = {
            "callers_address": machine.callers,
            "link_address": machine.address("link"),
            "ready_address": machine.address("ready"),
            "announce_address": machine.address("control"),
            "gossip_address": machine.address("gossip"),
            "metrics_address": machine.address("metrics"),
            "upstream_address": machine.address("app"),
            "service": service,
            "failure_domain": zone,
            "region": "east",
            "store_url": f"http://{self.store.address}",
            "message_keys": ["peridottrack-nodes-of-one-deployment"],
            "probes_per_s": 20,
            "memory_mb": 300,
            "max_fds": 4100,
            "shutdown_s": 6,
            "second_ratio": 0.2,
            "second_slack": 60,
            "second_window_s": 10,
            **self._settings,
            **settings,
        }
        path.write_text(json.dumps(values), encoding="utf-8")
        self.machines.append(machine)
        self.start_node(machine)
        await instance.start(machine.ip, self._ports["app"], machine.address("control"))
        return machine

    def start_node(self, machine: Machine) -> None:
        """Start the program of the deploy file, as the platform does."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PERIDOTTRACK_CONFIG"] = str(machine.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = Path(f"{machine.settings_path}.log").open("ab")  # noqa: SIM115
        machine.process = subprocess.Popen(
            ["python3", "-m", "peridottrack", "mesh"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.record.write(f"start  node {machine.ip} pid {machine.process.pid}")

    def log_of(self, machine: Machine) -> str:
        return Path(f"{machine.settings_path}.log").read_text(encoding="utf-8", errors="replace")

    async def until_ready(self, machines: list[Machine], settle_s: float = 2.0) -> None:
        """Wait until the nodes are ready, and some seconds longer for their links."""
        async with asyncio.timeout(20):
            for machine in machines:
                while not await machine.ready():
                    await asyncio.sleep(0.05)
        await asyncio.sleep(settle_s)

    @property
    def runs(self) -> list[Run]:
        return [run for machine in self.machines for run in machine.instance.runs]

    async def stop(self) -> None:
        keep = os.environ.get("KEEP_LOGS")
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
            machine.instance.stop()
            if keep:
                Path(keep, Path(f"{machine.settings_path}.log").name).write_text(
                    self.log_of(machine)
                )
        self.store.stop()
        self._files.cleanup()


def config(
    routes: list[dict[str, object]], tenants: list[dict[str, object]] | None = None
) -> dict[str, object]:
    """Return a configuration in the form of the users' store."""
    services = sorted({str(route["service"]) for route in routes})
    route_columns = [
        "name",
        "host",
        "prefix",
        "kind",
        "timeout_s",
        "target_latency_s",
        "priority",
        "attempts",
        "service",
        "allow_anonymous",
    ]
    data: dict[str, object] = {
        "version": 7,
        "routes": {
            "columns": route_columns,
            "rows": [
                [{"host": HOST_NAME, "priority": 1, **route}.get(name) for name in route_columns]
                for route in routes
            ],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [[service, "/healthz", 240] for service in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 5,
            "idle_timeout_s": 15,
        },
    }
    if tenants is not None:
        columns = ["name", "api_keys", "rate_per_s", "burst"]
        data["tenants"] = {
            "columns": columns,
            "rows": [[tenant.get(name) for name in columns] for tenant in tenants],
        }
    return data


def main(folder: str, play: Callable[[Path], Awaitable[bool]]) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def bounded() -> bool:
        async with asyncio.timeout(115):
            return await play(Path(folder).resolve())

    try:
        broken = asyncio.run(bounded())
    except BaseException as error:  # the case could not run
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)
