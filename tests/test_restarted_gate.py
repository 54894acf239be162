"""Nodes that restart beside an instance that leaves, or beside one that does not."""

from __future__ import annotations

import asyncio

import pytest
from mesh_world import Host, World
from test_mesh import open_only, routes, wait_until

from peridottrack.frames import LeftInstance
from peridottrack.mesh import MeshNode
from peridottrack.platform import ADAPTER
from peridottrack.types import InstanceId

AT_ONCE_S = 1.0
"""Time in which a node that has the document sends requests to a sound instance."""
SETTLE_S = 0.5
"""Time for which a gate is watched that must stay closed; many health checks fit into it."""


@pytest.fixture
async def leaving(world: World) -> Host:
    """The second of two hosts, the only one whose gate is open."""
    open_only(world, 1)
    await wait_until(lambda: sum(r.load.open for r in routes(world.hosts[0])) == 1)
    return world.hosts[1]


async def end_process(host: Host, how: str) -> None:
    if how == "terminated":
        await host.node.leave()
    else:
        await host.node.close()


async def restart(world: World, host: Host, how: str = "killed") -> None:
    """Replace the process of a node; its instance goes on."""
    await end_process(host, how)
    host.node = MeshNode(host.node.settings, ADAPTER)
    await host.node.start()


async def say_leaving(world: World, host: Host, how: str) -> None:
    """Let an instance say that it leaves; return once the node has acknowledged that."""
    if how == "draining":
        assert await host.announce(world.session, "draining") == 200
    elif how == "deregistered":
        assert await host.deregister(world.session) == 200
    else:
        host.instance.script.leaving = True
        assert (await world.call(host))[0] == 200
    host.instance.script.healthy = False


async def settle(world: World, host: Host) -> None:
    """Wait until a restarted node has the document, and the other node a link to it."""
    other = next(each for each in world.hosts if each is not host)
    async with asyncio.timeout(10):
        while host.node.document_follower.table is None or not any(
            link.usable for link in other.node.links._link_by_node.values()
        ):
            await asyncio.sleep(0.01)


def is_open(host: Host) -> bool:
    return host.node.gate_controller.gate.is_open


async def assert_no_new_requests(world: World, host: Host) -> None:
    runs = len(host.instance.runs)
    async with asyncio.timeout(SETTLE_S + 5):
        for _ in range(5):
            for caller in world.hosts:
                for path, method in [("/stock/1", "GET"), ("/order/1", "POST")]:
                    status, _, headers = await world.call(caller, path, method)
                    assert (status, headers.get("Peridot-Ran")) == (503, "no")
            await asyncio.sleep(SETTLE_S / 5)
    assert len(host.instance.runs) == runs
    assert not is_open(host)


# Guards against a report that was sent before the instance left, and arrives at the next process
# of its node, which knows nothing of the leaving.
@pytest.mark.parametrize("ended", ["killed", "terminated"])
@pytest.mark.parametrize("said", ["draining", "deregistered", "in a response"])
async def test_late_report_does_not_open_the_gate_after_a_restart(world, leaving, said, ended):
    await leaving.announce(world.session, "ready")
    late = leaving.sequence
    await say_leaving(world, leaving, said)
    await restart(world, leaving, ended)
    await settle(world, leaving)
    assert await leaving.announce(world.session, "ready", sequence=late) == 200
    await assert_no_new_requests(world, leaving)


# Guards against the same after a second restart, and more than one late report.
async def test_late_reports_do_not_open_the_gate_after_two_restarts(world, leaving):
    await leaving.announce(world.session, "ready")
    late = leaving.sequence
    await say_leaving(world, leaving, "deregistered")
    for sequence in (late - 1, late):
        await restart(world, leaving)
        await settle(world, leaving)
        assert await leaving.announce(world.session, "ready", sequence=sequence) == 200
    await assert_no_new_requests(world, leaving)


# Guards against the same while the store is away, and with no other node that knows of it.
@pytest.mark.parametrize("all_restart", [False, True])
async def test_late_report_does_not_open_the_gate_without_the_store(world, leaving, all_restart):
    await leaving.announce(world.session, "ready")
    await say_leaving(world, leaving, "deregistered")
    world.store.status = 503
    await restart(world, leaving)
    await settle(world, leaving)
    if all_restart:
        world.hosts[0].instance.script.healthy = False
        await restart(world, world.hosts[0])
        await settle(world, world.hosts[0])
    assert await leaving.announce(world.session, "ready", sequence=leaving.sequence) == 200
    await assert_no_new_requests(world, leaving)


# Guards against a leaving that is said only to the restarted process, and a report from before it.
@pytest.mark.parametrize("said", ["draining", "deregistered", "in a response"])
async def test_leaving_said_after_the_restart_closes_the_gate(world, leaving, said):
    await restart(world, leaving)
    await settle(world, leaving)
    await wait_until(lambda: is_open(leaving))
    await say_leaving(world, leaving, said)
    assert await leaving.announce(world.session, "ready", sequence=2) == 200
    await assert_no_new_requests(world, leaving)


# Guards against a node that learns of a leaving from its instance's health check alone: that of a
# faulty instance may pass.
async def test_other_nodes_tell_a_restarted_one_of_the_leaving(world, leaving):
    await leaving.announce(world.session, "ready", born=1_000)
    await say_leaving(world, leaving, "deregistered")
    leaving.instance.script.healthy = True
    await restart(world, leaving)
    await settle(world, leaving)
    assert await leaving.announce(world.session, "ready", born=1_000) == 200
    await wait_until(lambda: not is_open(leaving))
    await assert_no_new_requests(world, leaving)


# Guards against a late report of an instance that was replaced while its node restarted.
async def test_late_report_of_another_instance_does_not_open_the_gate(world, leaving):
    old_name, leaving.instance.name = leaving.instance.name, "i-next"
    await restart(world, leaving)
    leaving.instance.name = old_name
    await leaving.announce(world.session, "ready")
    leaving.instance.name = "i-next"
    await settle(world, leaving)
    await wait_until(lambda: is_open(leaving))
    assert leaving.node.gate_controller.gate.local_instance.instance == "i-next"


# Guards against a wait for the next report, for the store or for other nodes.
@pytest.mark.parametrize("store_status", [200, 503])
@pytest.mark.parametrize("ended", ["killed", "terminated"])
async def test_sound_instance_gets_requests_at_once_after_a_restart(
    world, leaving, ended, store_status
):
    await leaving.announce(world.session, "ready")
    world.store.status = store_status
    await restart(world, leaving, ended)
    await settle(world, leaving)
    async with asyncio.timeout(AT_ONCE_S):
        while (await world.call(leaving))[0] != 200:
            await asyncio.sleep(0.01)


async def test_sound_instance_is_confirmed_by_a_later_health_check(world, leaving):
    leaving.instance.script.healthy = False
    await restart(world, leaving)
    await settle(world, leaving)
    assert await leaving.announce(world.session, "ready") == 200
    await asyncio.sleep(0.05)
    assert not is_open(leaving)
    leaving.instance.script.healthy = True
    async with asyncio.timeout(AT_ONCE_S):
        await wait_until(lambda: is_open(leaving))


# Guards against an instance that gets no requests for good, since its start time was not known
# when it left and its first report was lost.
@pytest.mark.parametrize("sequence", [1, 2])
async def test_instance_started_again_under_its_id_gets_requests_at_its_first_report(
    world, leaving, sequence
):
    await restart(world, leaving)
    await settle(world, leaving)
    await wait_until(lambda: is_open(leaving))
    assert await leaving.deregister(world.session, born=1_000) == 200
    leaving.instance.script.healthy = False
    await assert_no_new_requests(world, leaving)
    leaving.instance.script.healthy = True
    assert await leaving.announce(world.session, "ready", born=2_000, sequence=sequence) == 200
    assert (await world.call(leaving))[0] == 200
    async with asyncio.timeout(AT_ONCE_S):
        while (await world.call(world.hosts[0]))[0] != 200:
            await asyncio.sleep(0.01)


# Guards against other nodes that go on to tell of the leaving of an earlier incarnation.
async def test_instance_started_again_gets_requests_after_one_more_restart(world, leaving):
    await leaving.announce(world.session, "ready", born=1_000)
    await say_leaving(world, leaving, "draining")
    leaving.instance.script.healthy = True
    assert await leaving.announce(world.session, "ready", born=2_000, sequence=1) == 200
    await wait_until(lambda: routes(world.hosts[0])[-1].load.start_time == 2_000)
    await restart(world, leaving)
    await settle(world, leaving)
    async with asyncio.timeout(AT_ONCE_S):
        for caller in world.hosts:
            while (await world.call(caller))[0] != 200:
                await asyncio.sleep(0.01)


# Guards against a leaving that is forgotten with the link of a node that the membership removed.
async def test_leaving_is_remembered_while_its_node_is_no_member(world, leaving):
    await leaving.announce(world.session, "ready", born=1_000)
    await say_leaving(world, leaving, "deregistered")
    links = world.hosts[0].node.links
    member = leaving.node.members.membership.local_member
    links.set_members([])
    links.set_members([member])
    assert links._link_by_node[member.node].left_instance == LeftInstance("i-1", 1_000)


# Guards against an acknowledged leaving that no other node knows of, since the process ended first.
async def test_other_nodes_are_told_before_the_leaving_is_acknowledged(world, leaving, monkeypatch):
    sent = []
    monkeypatch.setattr(
        leaving.node.link_server, "broadcast", lambda frame, max_nodes: sent.append(frame) or 0
    )
    leaving.node.gate_controller.gate.close()
    assert not sent
    leaving.node.local_instance.record_leaving(InstanceId("i-1"))
    assert sent[0].leaving
