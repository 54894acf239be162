"""`peridottrack node` restarts beside an upstream that leaves, or beside one that does not."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from conftest import Harness
from test_mesh import wait_until

from peridottrack.controllers.announce import Announcement
from peridottrack.node import Node
from peridottrack.standin.cluster import Host
from peridottrack.standin.faults import StoreFault

SETTLE_S = 1.5
"""Time in which a node hears from the others; a leaving upstream gets no new work after seconds."""


async def leave(host: Host, how: str) -> None:
    """Let an upstream announce that it leaves; it goes on serving."""
    upstream = host.upstream
    await upstream._stop_renewing()
    async with aiohttp.ClientSession() as session:
        if how == "drain":
            answer = await session.post(f"{upstream._announce_url}/drain")
        else:
            answer = await session.delete(upstream._announce_url)
    assert answer.status == 204


async def restart(host: Host, how: str) -> None:
    if how == "killed":
        await host.node.close()
    else:
        await host.node.leave()
    host.node = Node(host.node.settings)
    await host.node.start()


async def announce(host: Host) -> int:
    """Send an announcement as the upstream has sent before; return the status."""
    upstream = host.upstream
    body = Announcement(
        service=upstream.service,
        port=upstream.endpoint.port,
        slots=upstream.slots,
        connections=upstream.connections,
    )
    async with (
        aiohttp.ClientSession() as session,
        session.put(upstream._announce_url, json=body.model_dump()) as answer,
    ):
        return answer.status


async def requests_received(harness: Harness, host: Host) -> int:
    """Send requests to all nodes; return how many the upstream of a host got."""
    before = host.upstream.received_requests
    for _ in range(6):
        for other in harness.cluster.hosts:
            async with harness.session.get(f"{other.url}/siparis/mine") as answer:
                await answer.read()
    return host.upstream.received_requests - before


# Guards against an announcement that was sent before the upstream left, and arrives at the next
# process of its node, which knows nothing of the leaving.
@pytest.mark.parametrize("store_fault", [StoreFault.NONE, StoreFault.DOWN])
@pytest.mark.parametrize("ended", ["killed", "terminated"])
@pytest.mark.parametrize("said", ["drain", "deregister"])
async def test_late_announcement_after_a_restart(harness, said, ended, store_fault):
    leaving = harness.node(0)
    await leave(leaving, said)
    await restart(leaving, ended)
    harness.cluster.platform.faults.default = store_fault
    await announce(leaving)
    await asyncio.sleep(SETTLE_S)
    await announce(leaving)
    assert await requests_received(harness, leaving) == 0


# Guards against the same without a restart, after the upstream was removed from the list.
async def test_late_announcement_after_a_deregistration(harness):
    leaving = harness.node(0)
    await leave(leaving, "deregister")
    assert await announce(leaving) == 409
    await asyncio.sleep(SETTLE_S)
    assert await requests_received(harness, leaving) == 0


async def test_sound_upstream_gets_requests_at_its_first_announcement(harness):
    host = harness.node(0)
    await host.upstream._stop_renewing()
    await restart(host, "killed")
    assert await announce(host) == 204
    await wait_until(lambda: host.node.load.service_by_name)
    assert await requests_received(harness, host) > 0
