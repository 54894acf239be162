"""Instances that name a rate limit, and nodes that share it."""

from __future__ import annotations

import asyncio
import time

from mesh_world import World
from test_mesh import routes, wait_until

from peridottrack.mesh import MeshNode
from peridottrack.platform import ADAPTER

WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5
"""What an instance may get at the most in any window: this many times its limit, and the slack."""


def allowed(per_s: float) -> float:
    return ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_SLACK


def most_in_a_window(times: list[float]) -> int:
    """Return the largest number of times within any `WINDOW_S`."""
    return max(sum(0 <= time - start <= WINDOW_S for time in times) for start in times)


async def call_for(world: World, seconds: float, per_s: float) -> list[int]:
    """Send reads and orders to all nodes in turn at a rate; return the statuses."""
    calls = []
    for number in range(int(seconds * per_s)):
        host = world.hosts[number % len(world.hosts)]
        what = ("/order/1", "POST") if number % 4 == 0 else ("/stock/1", "GET")
        calls.append(asyncio.create_task(world.call(host, *what)))
        await asyncio.sleep(1 / per_s)
    return [status for status, _, _ in await asyncio.gather(*calls)]


# Guards against instances that get more requests than the limit that they name.
async def test_limited_instances_get_no_more_requests_than_they_take(world):
    for host in world.hosts:
        host.instance.script.rate_limit = "4"
    await asyncio.gather(*(world.call(host) for host in world.hosts))
    statuses = await call_for(world, 4.5, 50)
    received = [most_in_a_window(host.instance.received_at) for host in world.hosts]
    assert max(received) <= allowed(4)
    # What the limit does not allow is refused as not run, and only that.
    assert set(statuses) == {200, 503}
    assert statuses.count(200) >= 2 * 4 * 4


async def limit_all(world: World, per_s: str) -> None:
    """Let all instances name a rate limit, and wait until all nodes know it."""
    for host in world.hosts:
        host.instance.script.rate_limit = per_s
        await host.node.prober.probe()
    await wait_until(
        lambda: all(
            route.load.rate_limit == float(per_s) for host in world.hosts for route in routes(host)
        )
    )


async def test_requests_beyond_the_limit_are_refused_at_once_and_told_when_to_return(world):
    await limit_all(world, "0")
    started_at = time.monotonic()
    status, _, headers = await world.call(world.hosts[0])
    assert (status, headers["Peridot-Error"]) == (503, "instance_limited")
    assert headers["Peridot-Ran"] == "no"
    assert float(headers["Retry-After"]) > 0
    assert time.monotonic() - started_at < 0.5


async def test_lifted_limit_is_noticed_without_any_request(world):
    await limit_all(world, "0")
    for host in world.hosts:
        host.instance.script.rate_limit = ""
    await wait_until(
        lambda: not any(
            host.node.gate_controller.gate.local_instance.rate_limit.limited for host in world.hosts
        )
    )
    assert (await world.call(world.hosts[0]))[0] == 200


async def test_unreadable_limit_leaves_the_previous_one_in_force(world):
    await limit_all(world, "3")
    for text in ("many", "-1", "nan", "inf"):
        world.hosts[0].instance.script.rate_limit = text
        await world.hosts[0].node.prober.probe()
        assert world.hosts[0].node.gate_controller.gate.local_instance.rate_limit.per_s == 3


# Guards against a restarted node that sends its instance more than the limit before it knows it.
async def test_restarted_node_keeps_the_limit_that_it_did_not_hear_named(world):
    caller, restarted = world.hosts
    caller.node.gate_controller.gate.close()
    restarted.instance.script.rate_limit = "2"
    restarted.instance.script.work_s = 0.3
    calls = asyncio.create_task(call_for(World(world.store, [caller]), 4.5, 30))
    await asyncio.sleep(1.5)
    await restarted.node.close()
    restarted.node = MeshNode(restarted.node.settings, ADAPTER)
    await restarted.node.start()
    await restarted.announce(world.session)
    await calls
    assert most_in_a_window(restarted.instance.received_at) <= allowed(2)
