"""Bytes that another writer left where a node with a gate reads: the others hold."""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import AsyncIterator

import pytest
from mesh_world import ANNOUNCE, LINK, Host, World
from odd_entries import DEEP_LISTS, DEEP_OBJECTS, ODD_BYTES, changed_entries, encoded
from test_mesh import wait_until
from users_platform import DOCUMENT, document_bytes

from peridottrack.controllers.members import update_to_data
from peridottrack.datagramcodec import MAX_DATAGRAM_BYTES
from peridottrack.framecodec import LENGTH, encode
from peridottrack.frames import DocumentFrame, Hello
from peridottrack.messages import MemberState, MemberUpdate, Message, Rumor
from peridottrack.types import Endpoint, FailureDomain, NodeId, Region, ServiceName

NODES_TABLE = "peridottrack-nodes"
IN_FORCE_S = 2.0
"""Time in which an accepted document must be in force."""
FOUND_S = 5.0
"""Time in which a node that starts must be known to the others."""
FOREIGN = MemberUpdate(
    NodeId("127.0.99.1:20005"),
    1_000,
    MemberState.ALIVE,
    Endpoint("127.0.99.1", 20_002),
    FailureDomain("a"),
    Region("east"),
    service=ServiceName("katalog"),
)
FOREIGN_ENTRY = update_to_data(FOREIGN)
INSTANCE = {
    "id": "i-9",
    "service": "katalog",
    "address": "127.0.99.1:9000",
    "slots": 18,
    "connections": 240,
    "state": "ready",
}


def odd_rows() -> dict[str, bytes]:
    """Return values of rows of the nodes' table that name no node to use, by description."""
    rows = encoded(changed_entries(FOREIGN_ENTRY))
    addresses = ("127.0.99.1:99999", "127.0.99.1:-1", "127.0.99.1:0", "host:1", "127.0.99.1", ":")
    for key in ("node", "admin"):
        for address in addresses:
            rows[f"{key} {address}"] = json.dumps({**FOREIGN_ENTRY, key: address}).encode()
    for name, instance in changed_entries(INSTANCE).items():
        entry = {**FOREIGN_ENTRY, "instances": [instance]}
        rows[f"instance {name}"] = json.dumps(entry).encode()
    # Entries of nodes without a gate name no service.
    del rows["service missing"]
    rows["instance port"] = json.dumps(
        {**FOREIGN_ENTRY, "instances": [{**INSTANCE, "address": "127.0.99.1:70000"}]}
    ).encode()
    return rows


def odd_documents() -> dict[str, bytes]:
    """Return values of the row of the document that are no document."""
    documents = encoded(changed_entries({**DOCUMENT, "version": 8}))
    # These are valid.
    for name in ("missing", "null", "header_timeout_s float", "idle_timeout_s float"):
        documents.pop(f"limits {name}", None)
        documents.pop(f"limits.{name}", None)
    for index, column in enumerate(DOCUMENT["routes"]["columns"]):
        for odd_name, odd in (("1e400", 1e400), ("huge", 10**400), ("list", [[]]), ("bool", True)):
            row = [*DOCUMENT["routes"]["rows"][0]]
            row[index] = odd
            routes = {**DOCUMENT["routes"], "rows": [row]}
            text = json.dumps({**DOCUMENT, "version": 8, "routes": routes})
            documents[f"{column} {odd_name}"] = text.replace("Infinity", "1e400").encode()
    services = {**DOCUMENT["services"], "rows": [["katalog", "/healthz", 10**400, "h1", False]]}
    documents["connections"] = json.dumps({**DOCUMENT, "version": 8, "services": services}).encode()
    return documents


async def assert_follows(world: World) -> None:
    """Check that a new document comes into force, and that a new node is found by all."""
    version = 2 + max(host.node.document_follower.version for host in world.hosts)
    version = max(version, 20)
    world.store.put("op", "config", document_bytes(version=version))
    async with asyncio.timeout(IN_FORCE_S):
        await wait_until(
            lambda: all(h.node.document_follower.version == version for h in world.hosts)
        )
    await world.add(f"i-{len(world.hosts)}")
    async with asyncio.timeout(FOUND_S):
        await world.settle()
        for host in world.hosts:
            while (await world.call(host))[0] != 200:
                await asyncio.sleep(0.02)


@pytest.fixture
async def empty_world() -> AsyncIterator[World]:
    """A world without hosts."""
    environment = World()
    await environment.start(0)
    yield environment
    await environment.stop()


# Guards against nodes that end, or learn of no member or change, since one entry among those of
# the nodes cannot be read.
async def test_odd_rows_while_all_nodes_start(empty_world):
    world = empty_world
    for number, value in enumerate(odd_rows().values()):
        world.store.put(NODES_TABLE, f"odd-{number:05d}", value)
    world.store.page_rows = 1_000
    await asyncio.gather(*(world.add(f"i-{number}") for number in range(3)))
    await world.settle()
    known = {node for host in world.hosts for node in host.node.members.membership.member_by_node}
    assert known == {host.node.settings.gossip_address for host in world.hosts}
    await assert_follows(world)


# Guards against a row about a running node itself: an incarnation that it cannot exceed.
@pytest.mark.parametrize("incarnation", [2**53, 2**63, 2**64 - 1, 2**64, 10**400])
@pytest.mark.parametrize("state", ["alive", "dead", "left"])
async def test_odd_row_about_a_running_node(world, incarnation, state):
    target = world.hosts[0].node.members.membership.local_member
    entry = {**update_to_data(target), "incarnation": incarnation, "state": state}
    world.store.put(NODES_TABLE, "odd", json.dumps(entry).encode())
    await assert_follows(world)


# Guards against nodes that stop following the store after a document that cannot be read.
async def test_odd_documents_in_the_feed(world):
    for value in odd_documents().values():
        world.store.put("op", "config", value)
        await asyncio.sleep(0.01)
    assert all(host.node.document_follower.version == 7 for host in world.hosts)
    await assert_follows(world)


@pytest.mark.parametrize("name", ["deep lists", "infinite number", "limits missing"])
async def test_odd_document_while_all_nodes_start(empty_world, name):
    world = empty_world
    documents = {**odd_documents(), "limits missing": b'{"version": 3}'}
    world.store.put("op", "config", documents[name])
    await asyncio.gather(*(world.add(f"i-{number}") for number in range(2)))
    await asyncio.sleep(0.5)
    await assert_follows(world)


@pytest.mark.parametrize("value", [None, 7, "%"])
async def test_odd_fields_of_a_row_in_the_feed(world, value):
    for table, key in (("op", "config"), (NODES_TABLE, "odd")):
        world.store.put(table, key, document_bytes(version=9))
        row = world.store.rows[(table, "", key)]
        row["value"] = value
        if value is None:
            del row["value"]
    await asyncio.sleep(0.2)
    await assert_follows(world)


ODD_PAGES = {
    **ODD_BYTES,
    "no rows": b'{"ver": 3}',
    "rows null": b'{"rows": null, "ver": 3}',
    "row text": b'{"rows": ["x"], "ver": 3}',
    "ver huge": b'{"rows": [], "ver": 1e999}',
    "ver text": b'{"rows": [], "ver": "x"}',
    "ver missing": b'{"rows": []}',
    "truncated without rows": b'{"rows": [], "ver": 3, "truncated": true}',
}


# Guards against a response of the store that cannot be read.
@pytest.mark.parametrize("name", ODD_PAGES)
async def test_odd_response_of_the_store(world, name):
    world.store.odd_bodies = [ODD_PAGES[name]] * 3
    world.store.put("op", "note", b"wake")
    await wait_until(lambda: not world.store.odd_bodies)
    await assert_follows(world)


@pytest.mark.parametrize("name", ODD_PAGES)
async def test_odd_response_of_the_store_while_all_nodes_start(empty_world, name):
    empty_world.store.odd_bodies = [ODD_PAGES[name]] * 4
    await asyncio.gather(*(empty_world.add(f"i-{number}") for number in range(2)))
    await wait_until(lambda: not empty_world.store.odd_bodies)
    await assert_follows(empty_world)


def valid_report(host: Host) -> dict:
    return {
        "address": f"{host.ip}:{host.instance.port}",
        "born": 1_000,
        "node_info": {"service": "katalog", "version": "v1", "zone": "a", "max_concurrent": 18},
        "status": {"state": "ready", "sequence": 1_000, "warmup_left_s": 0},
    }


# Guards against a report that cannot be read, or that other nodes cannot be told of.
async def test_odd_reports_of_the_instance(world):
    host = world.hosts[0]
    url = f"http://{host.ip}:{ANNOUNCE}/v1/instances/i-0"
    reports = encoded(changed_entries(valid_report(host)))
    for address in ("127.0.0.1:99999", "127.0.0.1:0", "name:80"):
        reports[address] = json.dumps({**valid_report(host), "address": address}).encode()
    # The field may be absent on other platforms.
    for optional in ("born missing", "status.warmup_left_s missing"):
        reports.pop(optional)
    accepted = {}
    for name, body in reports.items():
        async with world.session.post(f"{url}/heartbeat", data=body) as answer:
            if answer.status != 400:
                accepted[name] = answer.status
    too_large = {name for name, body in reports.items() if len(body) > 60_000}
    assert all(status == 413 for name, status in accepted.items() if name in too_large)
    assert accepted.keys() - too_large <= {"status.warmup_left_s float"}
    for name in ("deep lists", "number", "list"):
        async with world.session.post(f"{url}/deregister", data=ODD_BYTES[name]) as answer:
            assert answer.status == 400
    async with world.session.post(f"{url}%0d%0aX: y/heartbeat", data=b"{}") as answer:
        assert answer.status == 400
    assert host.node.gate_controller.gate.is_open
    assert await host.announce(world.session, sequence=2_000) == 200
    await assert_follows(world)


# Guards against values that do not fit into the fields of a datagram or of a frame.
@pytest.mark.parametrize("incarnation", [2**63, 2**64 - 1])
async def test_odd_datagram_about_a_running_node(world, incarnation):
    target, other = world.hosts
    update = target.node.members.membership.local_member
    odd = MemberUpdate(
        update.node, incarnation, MemberState.DEAD, update.admin, update.domain, update.region
    )
    sender = other.node.members.membership.local_member.node
    other.node.datagrams.send(update.node, Message(sender, Rumor(), 2**64 - 1, 0, (odd,)))
    await asyncio.sleep(0.6)
    await assert_follows(world)


async def test_random_datagrams(world, seeded_random):
    target, other = world.hosts
    node = target.node.members.membership.local_member.node
    sender = other.node.members.membership.local_member.node
    message = Message(sender, Rumor(), 7, 0, (FOREIGN,))
    for _ in range(300):
        data = bytearray(other.node.datagrams.sign(node, message))
        for _ in range(seeded_random.randrange(1, 6)):
            data[seeded_random.randrange(len(data))] = seeded_random.randrange(256)
        other.node.datagrams.send_signed(node, bytes(data[:MAX_DATAGRAM_BYTES]))
    await asyncio.sleep(0.2)
    await assert_follows(world)


async def send_to_link(host: Host, data: bytes) -> None:
    """Send bytes to a node's link address, and wait until it has read them."""
    _, writer = await asyncio.open_connection(host.ip, LINK)
    writer.write(data)
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.close()


def frame(data: bytes) -> bytes:
    return LENGTH.pack(len(data)) + data


# Guards against frames and documents of another sender that cannot be read.
async def test_odd_frames(world, seeded_random):
    host = world.hosts[0]
    hello = frame(encode(Hello(NodeId("127.0.99.1:1"), FailureDomain("a"), 0)))
    await send_to_link(host, b"\xff" * 64)
    await send_to_link(host, hello + frame(b"\xff" * 1_000))
    for data in (DEEP_LISTS, DEEP_OBJECTS, *odd_documents().values()):
        document = encode(DocumentFrame(2**63, zlib.compress(data)))
        await send_to_link(host, hello + frame(document))
    for _ in range(50):
        data = bytearray(hello)
        data[seeded_random.randrange(len(data))] = seeded_random.randrange(256)
        await send_to_link(host, bytes(data))
    assert host.node.document_follower.version == 7
    await assert_follows(world)


ODD_LOADS = ["9" * 400 + ",0,18,100", "1,0,18," + "9" * 400, "1,0," + "9" * 30, "9" * 5000, "x"]
ODD_KEEP_ALIVES = ["timeout=" + "9" * 400, "timeout=" + "9" * 5_000, "timeout=-1", "timeout=x"]
ODD_LIMITS = ["9" * 5_000, "1e999", "nan", "-1", "x"]


# Guards against a header of a response that cannot be read: the response still counts.
@pytest.mark.parametrize(
    "field, value",
    [
        *(("load", value) for value in ODD_LOADS),
        *(("keep_alive", value) for value in ODD_KEEP_ALIVES),
        *(("rate_limit", value) for value in ODD_LIMITS),
    ],
    ids=lambda value: value[:20],
)
async def test_odd_header_of_a_response(world, field, value):
    for host in world.hosts:
        setattr(host.instance.script, field, value)
    for _ in range(3):
        for host in world.hosts:
            for path, method in [("/stock/1", "GET"), ("/order/1", "POST")]:
                assert (await world.call(host, path, method))[0] == 200
    for host in world.hosts:
        setattr(host.instance.script, field, "")
    await assert_follows(world)


# Guards against background work that ends after an unexpected fault, while the process goes on.
async def test_background_work_goes_on_after_a_fault(world):
    members = world.hosts[0].node.members.membership
    original, faults = members.tick, iter([ValueError("fault")] * 2)

    def tick(now: float) -> None:
        for fault in faults:
            raise fault
        original(now)

    members.tick = tick
    await wait_until(lambda: next(faults, None) is None)
    await assert_follows(world)
