"""A store that comes back from an older copy, while nodes follow it and others start."""

from __future__ import annotations

import asyncio

from mesh_world import World
from test_mesh import wait_until
from users_platform import document_bytes

NODES_TABLE = "peridottrack-nodes"
IN_FORCE_S = 2.0
"""Time in which an accepted document must be in force."""


def versions(world: World) -> list[int]:
    return [host.node.document_follower.version for host in world.hosts]


async def take_store_away(world: World) -> None:
    """Make the store unavailable, and wait until the nodes that follow it know."""
    world.store.status = 503
    world.store._notify()
    await wait_until(lambda: all(followers_without_store(world)))


def followers_without_store(world: World) -> list[bool]:
    return [host.node.document_follower._store_unavailable for host in world.hosts]


# Guards against a document that is not in force because it has, in a store restored from a copy, a
# position that the store had given out before.
async def test_document_written_at_a_position_given_out_before_comes_into_force(world):
    copy = world.store.copy()
    for number in range(4):
        world.store.put("op", "note", b"%d" % number)
    world.store.put("op", "config", document_bytes(version=9))
    await wait_until(lambda: versions(world) == [9, 9])
    await take_store_away(world)
    position = world.store.ver
    world.store.restore(copy)
    world.store.put("op", "config", document_bytes(version=9))
    world.store.put("op", "config", document_bytes(version=12))
    while world.store.ver < position:
        world.store.put("servers", "i-1", b"{}")
    world.store.status = 200
    async with asyncio.timeout(IN_FORCE_S):
        await wait_until(lambda: versions(world) == [12, 12])


# Guards against a node that finds no other, since the entries of all others were lost with the
# store and nobody wrote them again.
async def test_node_that_starts_after_the_restore_finds_the_others(world):
    world.store.rows = {key: row for key, row in world.store.rows.items() if key[0] != NODES_TABLE}
    copy = world.store.copy()
    await take_store_away(world)
    world.store.restore(copy)
    world.store.status = 200
    await wait_until(lambda: not any(followers_without_store(world)))
    await asyncio.sleep(0.5)
    await world.add("i-2")
    async with asyncio.timeout(5):
        await world.settle()


# Guards against writes for all nodes after each restore, since their members' incarnations change
# when the store goes and comes while their entries do not.
async def test_entries_that_the_copy_has_are_not_written_again(world):
    copy = world.store.copy()
    await take_store_away(world)
    world.store.restore(copy)
    world.store.status = 200
    await wait_until(lambda: not any(followers_without_store(world)))
    await asyncio.sleep(1.0)
    assert world.store.calls.count("tx") == len(world.hosts)


# Guards against lost entries that nobody writes again, since the nodes that followed the store
# before are gone and the others did not hear of its era.
async def test_node_that_begins_to_follow_notices_that_the_store_was_restored(world):
    copy = world.store.copy()
    world.store.restore(copy)
    late = world.hosts[0].node.document_follower
    late._position = late._era = 0
    world.store.rows = {key: row for key, row in world.store.rows.items() if key[0] != NODES_TABLE}
    world.hosts[1].node.document_follower.on_restored = lambda: None
    world.store.put("op", "config", document_bytes(version=8))
    await wait_until(lambda: sum(key[0] == NODES_TABLE for key in world.store.rows) == 2)


async def test_restored_store_does_not_bring_an_older_document_back(world):
    copy = world.store.copy()
    world.store.put("op", "config", document_bytes(version=9))
    await wait_until(lambda: versions(world) == [9, 9])
    for _ in range(2):
        await take_store_away(world)
        world.store.restore(copy)
        world.store.status = 200
        await wait_until(lambda: not any(followers_without_store(world)))
        assert versions(world) == [9, 9]
    # A node that starts meanwhile reads the older one, and gets the newest from the others.
    await world.add("i-2")
    await wait_until(lambda: versions(world) == [9, 9, 9])
    world.store.put("op", "config", document_bytes(version=10))
    await wait_until(lambda: versions(world) == [10, 10, 10])
