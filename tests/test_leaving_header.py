"""Instances that say in their responses that they leave."""

from __future__ import annotations

import pytest
from test_mesh import open_only, routes, wait_until

from peridottrack.mesh import MeshNode
from peridottrack.platform import ADAPTER
from peridottrack.types import InstanceId, ServiceName


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


# Guards against requests from a node that passed on that an instance leaves, once the instance's
# node has restarted and knows no more of it.
async def test_node_that_knows_of_the_leaving_sends_nothing_after_a_restart_of_the_gate(world):
    caller, leaving = world.hosts
    open_only(world, 1)
    await wait_until(lambda: sum(route.load.open for route in routes(caller)) == 1)
    await leaving.announce(world.session, "ready", born=1_000)
    leaving.instance.script.leaving = True
    assert (await world.call(caller))[0] == 200
    await leaving.node.close()
    leaving.node = MeshNode(leaving.node.settings, ADAPTER)
    await leaving.node.start()
    gate = leaving.node.gate_controller.gate
    await wait_until(lambda: gate.local_instance.leaving)
    # The restarted gate would not open by itself (test_restarted_gate).
    leaving.instance.script.leaving = leaving.instance.script.healthy = False
    gate.open(InstanceId("i-1"), ServiceName("katalog"), 18, 0.0, 1_000)
    await wait_until(lambda: any(r.usable and r.load.open for r in routes(caller)))
    status, _, headers = await world.call(caller)
    assert (status, headers["Peridot-Ran"]) == (503, "no")
    assert len(leaving.instance.runs) == 1
    # The instance starts again under its id.
    assert await leaving.announce(world.session, "ready", born=2_000, sequence=1) == 200
    await wait_until(lambda: routes(caller)[-1].load.start_time == 2_000)
    assert (await world.call(caller))[0] == 200
