"""Stand-ins for the users' platform, its instances and its clients, on loopback and the real clock.

Only the standard library is used. The programs under test are separate processes, started with the
command and the settings template of the deploy file; these stand-ins run in the script's process.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
NAMES = ("outbound", "inbound", "readiness", "control", "app")
BOUNDS = {"grace_s": 6, "budget_ratio": 0.2, "budget_slack": 60, "budget_window_s": 10}
MEMORY_MB = 300
HEARTBEAT_S = 1.5
PROBE_S = 1.0  # keep-alive of the processes under test: a probe each second,
KEEPALIVE_S = 3.0  # and the end of the connection after two that aren't answered
HOST = "shop.example"


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def __call__(self, what: str, **facts: Any) -> None:
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()


# -- a small HTTP/1.1 server and client --------------------------------------------------


class Message:
    """A request or a response."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at the end of the stream before its first byte."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionResetError("the connection ended within a head") from None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except asyncio.IncompleteReadError:
            raise ConnectionResetError("the connection ended within a body") from None
    return Message(lines[0], headers, body)


def pack(first: str, headers: dict[str, str], body: bytes) -> bytes:
    fields = {**headers, "Content-Length": str(len(body))}
    head = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    return f"{first}\r\n{head}\r\n".encode("latin-1") + body


async def call(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 1.0, **headers: str
) -> Message:
    """Make one call on a new connection."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": address, **{k.replace("_", "-"): v for k, v in headers.items()}}
            writer.write(pack(f"{method} {path} HTTP/1.1", fields, body))
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionResetError("no answer")
            return answer
        finally:
            writer.close()


# -- the platform's store ----------------------------------------------------------------


class Store:
    """The platform's table store: rows-get, rows-feed and rows-tx, as its page says."""

    def __init__(self) -> None:
        self.ver = 0
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.feeds: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._started_at = time.monotonic()
        self.address = ""

    async def start(self, ip: str) -> None:
        server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 20)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: bytes) -> int:
        self.ver += 1
        self.rows[(table, key)] = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self.ver,
        }
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.ver

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                method, target, _ = request.first.split(" ")
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&") if part)
                status, data = await self._answer(path, query, request.body)
                await asyncio.sleep(0.004)
                body = json.dumps(data).encode()
                writer.write(
                    pack(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, body)
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        if path == "/v1/rows-tx":
            entry = json.loads(body)
            for row in entry.get("precondition", []):
                found = self.rows.get((row["table"], row["key"]))
                if (found["ver"] if found else 0) != row["ver"]:
                    return 412, self._stamp({"rows": []})
            for row in entry.get("writes", []):
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in entry.get("remove", []):
                self.rows.pop((row["table"], row["key"]), None)
            return 200, self._stamp({})
        if path == "/v1/rows-get":
            rows = [row for (table, _), row in sorted(self.rows.items()) if table == query["table"]]
            return 200, self._stamp({"rows": rows, "truncated": False})
        if path == "/v1/rows-feed":
            table, after = query["table"], int(query["after"])
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                rows = [
                    row
                    for (name, _), row in self.rows.items()
                    if name == table and row["ver"] > after
                ]
                left_s = end - time.monotonic()
                if rows or left_s <= 0:
                    return 200, self._stamp({"rows": rows})
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    pass
        return 404, {}

    def _stamp(self, data: dict[str, Any]) -> dict[str, Any]:
        return {**data, "ver": self.ver, "now_s": time.monotonic() - self._started_at}


class Proxy:
    """Passes the connections of one machine on to an address; may cut the machine off silently.

    While it is cut, bytes are held back and connections hang, as behind a partition. The keep-alive
    probes of a process are answered by this end of its connections, so the proxy does what unanswered
    ones would do: it ends each connection KEEPALIVE_S after its last answered probe or byte.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.address = ""
        self._active_at: dict[asyncio.StreamWriter, float] = {}
        self.on_request: Callable[[bytes], None] = lambda data: None

    async def start(self, ip: str) -> None:
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        self._open.clear()
        now = time.monotonic()
        for writer, active_at in self._active_at.items():
            last_probe_at = now - (now - active_at) % PROBE_S
            delay_s = last_probe_at + KEEPALIVE_S - now
            asyncio.get_running_loop().call_later(delay_s, self._end_if_cut, writer)

    def _end_if_cut(self, writer: asyncio.StreamWriter) -> None:
        if not self._open.is_set():
            writer.transport.abort()

    def heal(self) -> None:
        self._open.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        self._active_at[writer] = time.monotonic()

        def seen(data: bytes) -> None:
            self._active_at[writer] = time.monotonic()

        def seen_request(data: bytes) -> None:
            seen(data)
            self.on_request(data)

        try:
            await asyncio.gather(
                self._pass(reader, far_writer, seen_request),
                self._pass(far_reader, writer, seen),
            )
        finally:
            del self._active_at[writer]

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        seen: Callable[[bytes], None],
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                seen(data)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# -- instances ---------------------------------------------------------------------------


class Instance:
    """An instance as the pages describe it: slots, a queue, health, heartbeats.

    Attributes
    ----------
    runs
        Request id and time of each request that it ran.
    crash_path
        Path of a request that crashes the instance; empty for none.
    crashes
        Request id and time of each crash.
    ended
        When each of these runs ended or was dropped, by request id.
    state
        ``ready``, ``draining`` or ``gone``.
    """

    def __init__(
        self, name: str, service: str, record: Record, slots: int = 18, work_s: float = 0.1
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.record = record
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.runs: list[tuple[str, float]] = []
        self.ended: dict[str, float] = {}
        self.crash_path = ""
        self.crashes: list[tuple[str, float]] = []
        self.running = 0
        self.waiting = 0
        self.zone = ""
        self.address = self.control = ""
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)

    def stop(self) -> None:
        """End the process: all its connections end with it."""
        self.state = "gone"
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self, request_id: str, down_s: float = 2.0) -> None:
        """End at once, and start again under the same id some seconds later, knowing nothing."""
        self.crashes.append((request_id, self.record.now()))
        self.record("instance crashed", at=self.name, by=request_id, running=self.running)
        self.stop()

        async def start_again() -> None:
            await asyncio.sleep(down_s)
            self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
            await self.start(self.address)
            self.record("instance started again", at=self.name, born=self.born)
            await self.beats()

        task = asyncio.create_task(start_again())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def beat_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "address": self.address,
                "born": self.born,
                "node_info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "max_concurrent": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "warmup_left_s": 0,
                },
            }
        ).encode()

    async def beat(self, body: bytes | None = None) -> int:
        """Send a heartbeat; return the status, 0 without an answer."""
        path = f"/v1/instances/{self.name}/heartbeat"
        try:
            body = body or self.beat_body()
            answer = await call(
                self.control, "POST", path, body, 1.0, Content_Type="application/json"
            )
        except (OSError, TimeoutError):
            return 0
        return answer.status

    async def beats(self) -> None:
        """Send heartbeats until the instance says that it leaves."""
        while self.state == "ready":
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self) -> int:
        """Say that this instance leaves; it goes on serving for a while."""
        self.state = "draining"
        path = f"/v1/instances/{self.name}/deregister"
        body = json.dumps({"born": self.born}).encode()
        try:
            answer = await call(
                self.control, "POST", path, body, 1.0, Content_Type="application/json"
            )
        except (OSError, TimeoutError):
            return 0
        return answer.status

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request, reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _load(self) -> str:
        return f"{self.running},{self.waiting},{self.slots},100"

    async def _answer(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        path = request.first.split(" ")[1]
        headers = {"Instance-Load": self._load(), "Keep-Alive": "timeout=10"}
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return pack(f"HTTP/1.1 {status} X", {**headers, "Instance-Id": self.name}, b"")
        request_id = request.headers.get("request-id", "")
        headers["Request-Id"] = request_id
        if request.headers.get("target-instance", self.name) != self.name:
            return pack("HTTP/1.1 421 Misdirected", {**headers, "Not-Executed": "1"}, b"")
        if self.running >= self.slots:
            return pack("HTTP/1.1 503 Full", {**headers, "Not-Executed": "1"}, b"")
        self.runs.append((request_id, self.record.now()))
        self.record(
            "run", id=request_id, at=self.name, service=self.service, bytes=len(request.body)
        )
        if self.crash_path and path == self.crash_path:
            self.crash(request_id)
            return None
        self.running += 1
        try:
            await self._work(request_id, reader)
        finally:
            self.running -= 1
            self.ended[request_id] = self.record.now()
        if self.state == "draining":
            headers["Connection"] = "close"
        headers["Response-Signature"] = f"{self.name}.{request_id}"
        return pack("HTTP/1.1 200 OK", headers, f"done {request_id}".encode())

    async def _work(self, request_id: str, reader: asyncio.StreamReader) -> None:
        """Work; a request is dropped when its connection closes."""
        end = time.monotonic() + self.work_s
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof():
                self.record("run dropped", id=request_id, at=self.name)
                raise ConnectionResetError
            await asyncio.sleep(min(left_s, 0.02))


# -- machines ----------------------------------------------------------------------------


class Machine:
    """A machine with one process of the system and one instance.

    Its process runs the command of the deploy file with the deploy file's settings template.
    """

    _numbers = itertools.count(1)
    _block = 1 + os.getpid() % 200

    def __init__(self, instance: Instance, zone: str, record: Record, folder: Path) -> None:
        self.instance = instance
        self.zone = instance.zone = zone
        self.record = record
        self.ip = f"127.{60 + os.getpid() // 200 % 100}.{self._block}.{next(self._numbers)}"
        ports = free_ports(self.ip, len(NAMES) + 2)
        self.addresses = {name: f"{self.ip}:{port}" for name, port in zip(NAMES, ports)}
        self._inner_ports = ports[-2:]
        self.gossip = f"{self.ip}:{ports[-2]}"
        self._settings = folder / f"{self.ip}.json"
        self._log = (folder / f"{self.ip}.log").open("wb")
        self.log_path = folder / f"{self.ip}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        instance.control = self.addresses["control"]

    @property
    def name(self) -> str:
        return self.instance.name

    def write_settings(self, store: str) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = (ROOT / deploy["roles"]["node"]["template"]).read_text()
        values = {
            **{f"listen_addrs.{name}": address for name, address in self.addresses.items()},
            "ip": self.ip,
            "port_range.0": self._inner_ports[0],
            "port_range.1": self._inner_ports[1],
            "app_addr": self.addresses["app"],
            "service": self.instance.service,
            "zone": self.zone,
            "region": "east",
            "platform.address": store,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(values[match[1]]), template)
        self._settings.write_text(text)

    async def start(self) -> None:
        """Start the process, as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "PERIDOTTRACK_CONFIG": str(self._settings),
            },
        )
        self.started_at = self.record.now()
        self.record("process started", machine=self.name, pid=self.process.pid)

    async def kill(self) -> None:
        assert self.process is not None
        self.record("process killed", machine=self.name, pid=self.process.pid)
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def ready(self) -> bool:
        try:
            answer = await call(self.addresses["readiness"], "GET", "/v1/readyz")
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def memory_mb(self) -> float:
        """Return the memory that the process uses now, 0 once it has ended."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that are free for TCP and UDP, below the ephemeral range."""
    found: list[int] = []
    for port in random.sample(range(15_000, 30_000), 2_000):
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                stream.bind((ip, port))
                datagrams.bind((ip, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


class World:
    """A store, machines and the operator.

    Parameters
    ----------
    folder
        Folder of the case, for its record.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.machines: list[Machine] = []
        self.proxies: dict[str, Proxy] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self._ids = itertools.count(1)

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add(self, instance: Instance, zone: str) -> Machine:
        """Add a machine with its way to the store; nothing is started yet."""
        machine = Machine(instance, zone, self.record, self.folder)
        proxy = Proxy(self.store.address)
        await proxy.start(machine.ip)
        self.proxies[machine.name] = proxy
        machine.write_settings(proxy.address)
        await instance.start(machine.addresses["app"])
        self.machines.append(machine)
        return machine

    async def start_all(self) -> None:
        """Start all processes, and the heartbeats once a process listens."""
        for machine in self.machines:
            await machine.start()
        async with asyncio.timeout(30):
            while not all([await machine.ready() for machine in self.machines]):
                await asyncio.sleep(0.2)
        for machine in self.machines:
            self.spawn(machine.instance.beats())
        await asyncio.sleep(2.5)

    def request_id(self) -> str:
        return f"r{next(self._ids):05d}"

    async def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                await machine.kill()
        self._temporary.cleanup()

    async def request(
        self, machine: Machine, method: str, path: str, body: bytes = b"", deadline_ms: int = 2000
    ) -> tuple[str, int]:
        """Send a request of a client on a machine; return its id and status, 0 for none."""
        request_id = self.request_id()
        self.record("sent", id=request_id, to=machine.name, request=f"{method}_{path}")
        try:
            answer = await call(
                machine.addresses["outbound"],
                method,
                path,
                body,
                deadline_ms / 1000 + 1,
                Host=HOST,
                Request_Id=request_id,
                Request_Deadline=str(deadline_ms),
            )
            status = answer.status
        except (OSError, TimeoutError) as error:
            self.record("not answered", id=request_id, error=repr(error))
            return request_id, 0
        self.record("answered", id=request_id, status=status)
        return request_id, status


def document(version: int, routes: list[list[Any]], services: list[str]) -> bytes:
    """Return a configuration; routes are name, prefix, kind, timeout, target, attempts, service."""
    columns = "name host prefix kind timeout_s target_latency_s priority split attempts service"
    rows = [
        [name, HOST, prefix, kind, timeout_s, target_s, 1, None, attempts, service]
        for name, prefix, kind, timeout_s, target_s, attempts, service in routes
    ]
    return json.dumps(
        {
            "version": version,
            "routes": {"columns": columns.split(), "rows": rows},
            "services": {
                "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
                "rows": [[name, "/healthz", 240, "h1", False] for name in services],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
        }
    ).encode()


def main(folder: str, play: Callable[[World, bool], Awaitable[int]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(Path(folder).resolve())
        try:
            async with asyncio.timeout(110):
                return await play(world, trouble)
        except Exception as error:  # noqa: BLE001
            world.record("could not run", error=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await world.stop()

    sys.exit(asyncio.run(run()))
