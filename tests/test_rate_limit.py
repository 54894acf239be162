"""Instances that name a rate limit, and nodes that share it."""

from __future__ import annotations

import asyncio

import pytest
from mesh_world import World

WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5
"""What an instance may get at the most in any window: this many times its limit, and the slack."""


@pytest.fixture
async def world():
    environment = World()
    await environment.start(2)
    yield environment
    await environment.stop()


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
