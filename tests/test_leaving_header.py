"""Instances that say in their responses that they leave."""

from __future__ import annotations

import pytest
from mesh_world import World
from test_mesh import open_only, routes, wait_until


@pytest.fixture
async def world():
    environment = World()
    await environment.start(2)
    yield environment
    await environment.stop()


# Guards against requests to an instance that has said in a response that it leaves.
@pytest.mark.parametrize("caller_number", [0, 1])
async def test_instance_that_says_that_it_leaves_gets_no_more_requests(world, caller_number):
    caller, leaving = world.hosts[caller_number], world.hosts[1]
    open_only(world, 1)
    await wait_until(lambda: sum(route.load.open for route in routes(caller)) == 1)
    leaving.instance.script.leaving = True
    assert (await world.call(caller))[0] == 200
    # Sent before the instance left, delivered after that.
    assert await leaving.announce(world.session, "ready") == 200
    for path, method in [("/stock/1", "GET"), ("/order/1", "POST")]:
        status, _, headers = await world.call(caller, path, method)
        assert (status, headers["Peridot-Ran"]) == (503, "no")
    assert len(leaving.instance.runs) == 1


async def test_next_incarnation_gets_requests_again(world):
    caller, leaving = world.hosts
    open_only(world, 1)
    await wait_until(lambda: sum(route.load.open for route in routes(caller)) == 1)
    leaving.instance.script.leaving = True
    assert (await world.call(caller))[0] == 200
    leaving.instance.script.leaving = False
    assert await leaving.announce(world.session, "ready", born=2_000) == 200
    await wait_until(lambda: sum(route.load.open for route in routes(caller)) == 1)
    assert (await world.call(caller))[0] == 200
