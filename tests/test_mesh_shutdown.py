"""Requests at the end of a shutdown of a node with a gate, and other ends of connections."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import signal
import socket
import sys
from pathlib import Path

import pytest
from mesh_world import ANNOUNCE, CALLERS, READY, World, fresh_ip, mesh_settings
from test_mesh import document_with_timeout, open_only, read_until_close, routes, wait_until
from users_platform import Script

from peridottrack.runtimes import RunTime
from peridottrack.types import InstanceId, ServiceName

LARGE_BODY_BYTES = 12 << 20
"""More than the socket buffers of both ends hold, so that a part waits in the node."""


async def use_long_timeouts(world: World) -> None:
    world.store.put("op", "config", document_with_timeout(30, 10.0))
    await wait_until(lambda: all(host.node.document_follower.version == 30 for host in world.hosts))


async def call_in_shutdown(world: World, deadline_ms: int) -> bytes:
    """Return the answer to a call made while the last run at the leaving node's gate ends."""
    peer, other = world.hosts
    leaving = await world.add("i-leaving", shutdown_s=5.0)
    await world.settle()
    await use_long_timeouts(world)
    open_only(world, 2)
    leaving.instance.script.work_s = 3.0
    parent = asyncio.create_task(read_until_close(peer, "parent", 9_000))
    await wait_until(lambda: leaving.node.gate_controller.gate.running == 1)
    other.node.gate_controller.gate.open(InstanceId("i-1"), ServiceName("katalog"), 18, 0.0)
    await wait_until(lambda: any(r.load.open and r.load.instance == "i-1" for r in routes(leaving)))
    shutdown = asyncio.create_task(leaving.node.leave())
    await wait_until(lambda: not leaving.node.gate_controller.gate.is_open)
    # More than two seconds are left until the limit of the shutdown, and the run takes none.
    answer = await read_until_close(leaving, "call", deadline_ms)
    assert leaving.node.gate_controller.gate.running == 1
    parent.cancel()
    assert await shutdown
    return answer


async def test_call_with_a_deadline_before_the_end_of_the_shutdown_is_served(world):
    assert (await call_in_shutdown(world, 1_500)).startswith(b"HTTP/1.1 200 ")


# Calls of runs that were ending at the leaving node's gate were refused, and the runs failed: their
# deadline is that of another node's caller, but they take a few milliseconds.
async def test_call_with_a_deadline_after_the_end_of_the_shutdown_is_served(world):
    assert (await call_in_shutdown(world, 7_000)).startswith(b"HTTP/1.1 200 ")


async def test_request_read_after_sigterm_gets_the_end_of_the_shutdown_as_its_deadline(world):
    other = world.hosts[1]
    leaving = await world.add("i-leaving", shutdown_s=4.0)
    await world.settle()
    await use_long_timeouts(world)
    open_only(world, 1)
    other.instance.script.work_s = 8.0
    shutdown = asyncio.create_task(leaving.node.leave())
    await wait_until(lambda: leaving.node.forwarder.leaving)
    answer = await read_until_close(leaving, "read-after-sigterm", 9_000)
    assert await shutdown
    assert answer.startswith(b"HTTP/1.1 50")
    assert [int(run.headers[b"request-deadline"]) <= 3_600 for run in other.instance.runs] == [True]


# The gate of a leaving node started a run for another node and cut it at the end of the shutdown.
async def test_gate_of_a_leaving_node_starts_no_run_that_cannot_end_in_time(world):
    peer = world.hosts[0]
    leaving = await world.add("i-leaving", shutdown_s=4.0)
    await world.settle()
    await use_long_timeouts(world)
    open_only(world, 2)
    gate = leaving.node.gate_controller.gate
    gate._run_time_by_route["order"] = RunTime(5.0, 10)
    gate._overall_run_time = RunTime(5.0, 10)
    leaving.instance.script.work_s = 5.0
    shutdown = asyncio.create_task(leaving.node.leave())
    await asyncio.sleep(0.1)
    assert gate.is_open
    status, _, _ = await world.call(peer, "/order/1", "POST", request_deadline="9000")
    await shutdown
    assert (status, len(leaving.instance.runs), leaving.instance.aborted_runs) == (503, 0, 0)


# A request that the shutdown ended was reported as one whose own deadline had passed.
async def test_request_sent_after_sigterm_and_ended_by_the_shutdown_is_node_stopped(world):
    node = world.hosts[0].node
    for host in world.hosts:
        host.instance.script.work_s = 3.0
    node.forwarder.limit_deadlines(asyncio.get_running_loop().time() + 0.8)
    status, _, headers = await world.call(world.hosts[0], "/order/1", "POST")
    assert (status, headers["Peridot-Error"]) == (502, "node_stopped")


# The rest of a response was lost when the process ended before a slow caller had read it.
async def test_response_in_the_buffer_of_the_node_is_sent_before_the_process_ends(tmp_path):
    world = World()
    await world.start(0)

    async def respond(reader, writer):
        while head := (await reader.readuntil(b"\r\n\r\n")).decode():
            request_id = head.lower().partition("request-id: ")[2].partition("\r\n")[0]
            body = b"" if "/healthz" in head else b"x" * LARGE_BODY_BYTES
            lines = ["HTTP/1.1 200 OK", "Instance-Id: i-0", f"Content-Length: {len(body)}"]
            lines += [f"Request-Id: {request_id}", "Response-Signature: i-0", "", ""]
            writer.write("\r\n".join(lines).encode() + body)

    instance = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = instance.sockets[0].getsockname()[1]
    ip = fresh_ip()
    path = tmp_path / "node.json"
    settings = mesh_settings(ip, f"127.0.0.1:{port}", store_url=world.store.url)
    path.write_text(json.dumps(settings.model_dump()))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "peridottrack", "mesh", "--settings", str(path)),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(20):
            while await _ready_status(world, ip) != 200:
                await asyncio.sleep(0.05)
        report = {
            "address": f"{ip}:{port}",
            "born": 1_000,
            "node_info": {"service": "katalog", "version": "v1", "zone": "a", "max_concurrent": 18},
            "status": {"state": "ready", "sequence": 1, "warmup_left_s": 0},
        }
        url = f"http://{ip}:{ANNOUNCE}/v1/instances/i-0/heartbeat"
        async with world.session.post(url, data=json.dumps(report)) as answer:
            assert answer.status == 200
        sock = socket.create_connection((ip, CALLERS))
        sock.setblocking(False)
        lines = ("GET /stock/1 HTTP/1.1", "Host: shop.example", "Request-Id: large", "", "")
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, "\r\n".join(lines).encode())
        received = len(await loop.sock_recv(sock, 1 << 16))
        # The response has arrived at the node; its caller is slower than the node.
        await asyncio.sleep(0.5)
        process.send_signal(signal.SIGTERM)
        for _ in range(3):
            await asyncio.sleep(0.3)
            await _ready_status(world, ip)
        await asyncio.sleep(0.7)
        # Less than two of the six seconds of the shutdown have passed.
        while data := await loop.sock_recv(sock, 1 << 20):
            received += len(data)
        sock.close()
        assert received > LARGE_BODY_BYTES
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()
        instance.close()
        await world.stop()


async def _ready_status(world: World, ip: str) -> int:
    try:
        async with world.session.get(f"http://{ip}:{READY}/v1/readyz") as response:
            return response.status
    except OSError:
        return 0


# The process ended, since SIGHUP had its default action until the node was about to start.
async def test_process_that_is_starting_survives_sighup(tmp_path):
    world = World()
    await world.start(0)
    path, ip = tmp_path / "node.json", fresh_ip()
    settings = mesh_settings(ip, "127.0.0.1:9", store_url=world.store.url)
    path.write_text(json.dumps(settings.model_dump()))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "peridottrack", "mesh", "--settings", str(path)),
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        # The program runs and is still importing its modules.
        maps = Path(f"/proc/{process.pid}/maps")
        await wait_until(lambda: "pydantic_core" in maps.read_text(encoding="utf-8"))
        process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(20):
            while process.returncode is None and await _ready_status(world, ip) != 200:
                await asyncio.sleep(0.05)
        assert process.returncode is None
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        await world.stop()


# An order was answered 502 while it ran: datagrams of its node were lost, but its link responded.
async def test_request_on_a_responsive_link_survives_that_its_node_counts_as_dead(world):
    caller, owner = world.hosts
    await world.add("i-2")
    await world.settle()
    await use_long_timeouts(world)
    open_only(world, 1)
    owner.instance.script.work_s = 7.0
    request = asyncio.create_task(world.call(caller, "/order/1", "POST", request_deadline="9000"))
    await wait_until(lambda: owner.instance.runs)
    owner.node.datagrams.send = owner.node.datagrams.send_signed = lambda *arguments: 0
    membership = caller.node.members.membership
    await wait_until(lambda: len(membership.active_members()) == 2)
    assert (await request)[0] == 200


# A connection accepted as the listener closed was closed without a response to its request.
@pytest.mark.parametrize("iterations", [1, 2, 3, 4])
async def test_request_on_a_connection_accepted_as_the_listener_closes_is_not_cut(
    world, iterations
):
    leaving = await world.add("i-leaving", shutdown_s=4.0)
    await world.settle()
    open_only(world, 1)
    world.hosts[1].instance.script.work_s = 0.3
    wait, waits = leaving.node._wait_until, 0
    sockets = []

    async def wait_and_connect(condition, deadline) -> None:
        nonlocal waits
        waits += 1
        await wait(condition, deadline)
        if waits == 2:  # the gate is idle; the listener closes next
            sockets.append(socket.create_connection((leaving.ip, CALLERS)))
            lines = ("GET /stock/1 HTTP/1.1", "Host: shop.example", "Request-Id: r", "", "")
            sockets[0].sendall("\r\n".join(lines).encode())
            for _ in range(iterations):
                await asyncio.sleep(0)

    leaving.node._wait_until = wait_and_connect
    await leaving.node.leave()
    # A process ends now: what is not answered yet is cut.
    read = leaving.node.ingress.read_while_closing
    sockets[0].setblocking(False)
    try:
        answer = sockets[0].recv(1 << 16)
    except (BlockingIOError, ConnectionResetError):
        answer = b""
    sockets[0].close()
    runs = sum(len(host.instance.runs) for host in world.hosts)
    assert (read, runs) == (0, 0) or answer.startswith(b"HTTP/1.1 "), (read, runs, answer)


LONG_RUN_S = 2.0
"""Time of one in ten runs: less than what is left of a shutdown when the gate closes."""
SHORT_RUN_S = 0.1


class UnevenScript(Script):
    """One in ten runs takes long."""

    def __init__(self) -> None:
        super().__init__()
        self._rng = random.Random(39)

    @property
    def work_s(self) -> float:
        return LONG_RUN_S if self._rng.random() < 0.1 else SHORT_RUN_S

    @work_s.setter
    def work_s(self, seconds: float) -> None:
        """Ignore the default."""


async def send_orders(host, statuses: dict[str, int], name: str, kept: bool) -> None:
    """Send orders on kept or on new connections until the node accepts none.

    The status 0 stands for a connection that ended without a response.
    """
    loop = asyncio.get_running_loop()
    sock = None
    for number in itertools.count():
        await asyncio.sleep(0.02)
        if sock is None:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, (host.ip, CALLERS))
            except OSError:
                sock.close()
                return
        lines = ("POST /order/1 HTTP/1.1", "Host: shop.example", f"Request-Id: {name}-{number}")
        lines += ("Request-Deadline: 9000", "Content-Length: 0", "", "")
        try:
            await loop.sock_sendall(sock, "\r\n".join(lines).encode())
            head = await loop.sock_recv(sock, 65_536)
        except OSError:
            head = b""
        statuses[f"{name}-{number}"] = int(head.split(b" ")[1]) if head else 0
        if not kept or not head or b"connection: close" in head.lower():
            sock.close()
            sock = None


# Orders with runs of uneven length were passed on by a leaving node that stayed for the runs at its
# own gate, and answered 502 by it while their instance was at work.
@pytest.mark.parametrize("ready_interval_s", [0.2, 1.2, None])
async def test_orders_passed_on_by_a_leaving_node_are_answered_by_their_instance(
    world, ready_interval_s
):
    peer, other = world.hosts
    leaving = await world.add("i-leaving", shutdown_s=6.0)
    await world.settle()
    await use_long_timeouts(world)
    open_only(world, 1)
    statuses: dict[str, int] = {}
    other.instance.script = UnevenScript()
    tasks = [
        asyncio.create_task(send_orders(leaving, statuses, f"c{number}", number % 2 == 0))
        for number in range(8)
    ]
    await asyncio.sleep(4.0)
    # The leaving node's own instance works for callers of another node.
    leaving.instance.script.work_s = 5.2
    leaving.node.gate_controller.gate.open(InstanceId("i-leaving"), ServiceName("katalog"), 18, 0.0)
    await wait_until(
        lambda: any(r.load.open and r.load.instance == "i-leaving" for r in routes(peer))
    )
    other.node.gate_controller.gate.close()
    held = [asyncio.create_task(read_until_close(peer, f"held-{n}", 9_000)) for n in range(2)]
    # Orders of the callers may run there too while its gate is open.
    await wait_until(
        lambda: {b"held-0", b"held-1"}
        <= {run.headers[b"request-id"] for run in leaving.instance.runs}
    )
    other.node.gate_controller.gate.open(InstanceId("i-1"), ServiceName("katalog"), 18, 0.0)
    leaving.node.gate_controller.gate.close()
    shutdown = asyncio.create_task(leaving.node.leave())

    async def ask_ready() -> None:
        while ready_interval_s is not None:
            await leaving.ready(world.session)
            await asyncio.sleep(ready_interval_s)

    asking = asyncio.create_task(ask_ready())
    await shutdown
    asking.cancel()
    await asyncio.sleep(LONG_RUN_S + 0.5)
    for task in (*tasks, *held):
        task.cancel()
    await asyncio.gather(*tasks, *held, return_exceptions=True)
    ran = {run.headers[b"request-id"].decode() for run in other.instance.runs}
    cut = {name for name in ran if name in statuses and statuses[name] != 200}
    false = {name for name, status in statuses.items() if status == 503 and name in ran}
    refused = sum(status == 503 for status in statuses.values())
    assert (cut, false) == (set(), set())
    assert refused and len(ran) > 100
