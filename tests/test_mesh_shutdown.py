"""Requests at the end of a shutdown of a node with a gate, and other ends of connections."""

from __future__ import annotations

import asyncio

import pytest
from mesh_world import World
from test_mesh import document_with_timeout, open_only, read_until_close, routes, wait_until

from peridottrack.runtimes import RunTime
from peridottrack.types import InstanceId, ServiceName

LARGE_BODY_BYTES = 12 << 20
"""More than the socket buffers of both ends hold, so that a part waits in the node."""


@pytest.fixture
async def world():
    environment = World()
    await environment.start(2)
    yield environment
    await environment.stop()


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
    node.forwarder.limit_deadlines(asyncio.get_running_loop().time() + 0.5)
    status, _, headers = await world.call(world.hosts[0], "/order/1", "POST")
    assert (status, headers["Peridot-Error"]) == (502, "node_stopped")
