"""Bytes that another writer left where `peridottrack node` reads: the others hold."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest
from conftest import SMALL
from odd_entries import DEEP_LISTS, ODD_BYTES, changed_entries, encoded
from test_mesh import wait_until
from test_odd_entries import odd_rows
from test_restarted_node import announce

from peridottrack.document import parse_section
from peridottrack.httpstores import DynamoDbTable
from peridottrack.jsondata import decode_json, require_object
from peridottrack.revisions import HEAD_KEY, SectionEdit, accept, read_document
from peridottrack.standin.cluster import Cluster
from peridottrack.standin.deployments import free_ports
from peridottrack.store import new_writer_id
from peridottrack.types import RowKey, SectionName, ServiceName, Write, WriteAction

IN_FORCE_S = 6.0
"""Time in which an accepted document must be in force: a poll of the table and a fetch."""
HEAD = {"version": 9, "sections": {"ordering": 1}, "writers": {"ordering": ["w"]}}


async def put(cluster: Cluster, key: RowKey, value: bytes) -> None:
    """Write a row whatever its version is."""
    row = await cluster.platform.table.get(key)
    expected = row.version if row is not None else 0
    write = Write(WriteAction.PUT, key, expected, value)
    await cluster.platform.table.transact([write], new_writer_id())


async def change_document(cluster: Cluster) -> int:
    """Accept a section again; return the document's version."""
    async with aiohttp.ClientSession() as session:
        table = DynamoDbTable(session, cluster.platform_url, "peridottrack", 5.0)
        head, _ = await read_document(table)
        name = SectionName("ordering")
        text = SMALL.section_text_by_name[name]
        owner = parse_section(text, name).owners[0]
        base = head.version_by_section[name]
        revision = await accept(table, SectionEdit(name, base, text + "\n", owner, 0.0))
        return revision.document_version


async def assert_follows(cluster: Cluster) -> None:
    """Check that a change comes into force, and that a new host is found by all."""
    version = await change_document(cluster)
    async with asyncio.timeout(IN_FORCE_S):
        await wait_until(lambda: all(h.node.document.version >= version for h in cluster.hosts))
    service = ServiceName("siparis")
    domain = cluster.deployment.domains[0]
    await cluster.add_host(service, domain, len(cluster.hosts), free_ports(4))
    await cluster.wait_ready()


# Guards against nodes that end at their start, since one entry among those of the nodes cannot be
# read.
async def test_odd_rows_while_all_nodes_start():
    cluster = Cluster(SMALL, service_s=0.002, document_poll_s=0.5)
    original = cluster.accept_document

    async def accept_and_leave_odd_rows() -> None:
        await original()
        for number, value in enumerate(odd_rows().values()):
            await put(cluster, RowKey("member", f"odd-{number:05d}"), value)

    cluster.accept_document = accept_and_leave_odd_rows
    await cluster.start()
    known = {node for h in cluster.hosts for node in h.node.members.membership.member_by_node}
    assert known == {host.node.settings.gossip_address for host in cluster.hosts}
    await assert_follows(cluster)
    await cluster.stop()


# Guards against nodes that no longer poll the document after a row that cannot be read.
async def test_odd_rows_of_the_document(harness):
    cluster = harness.cluster
    good = await cluster.platform.table.get(HEAD_KEY)
    node = harness.node().node
    heads = encoded(changed_entries(HEAD))
    # Heads of an earlier release name neither.
    for name in ("version missing", "writers missing", "sections object", "writers object"):
        heads.pop(name, None)
    for name in [name for name in heads if name.startswith("writers.")]:
        heads.pop(name)
    for value in heads.values():
        await put(cluster, HEAD_KEY, value)
        await node.document.poll()
    await put(cluster, HEAD_KEY, good.value)
    await assert_follows(cluster)


@pytest.mark.parametrize("name", ODD_BYTES)
async def test_odd_reply_of_another_node(harness, name, monkeypatch):
    document = harness.node().node.document

    async def fetch(node, known_head):
        return ODD_BYTES[name]

    monkeypatch.setattr(document._peers, "fetch", fetch)
    assert not await document._fetch(harness.node(1).node.members.membership.local_member.node)


async def test_odd_announcements(harness):
    host = harness.node()
    url = host.upstream._announce_url
    valid = {"service": "siparis", "port": 9_000, "slots": 4, "connections": 9}
    bodies = encoded(changed_entries(valid))
    bodies["port 70000"] = json.dumps({**valid, "port": 70_000}).encode()
    for name, body in bodies.items():
        async with harness.session.put(url, data=body) as answer:
            assert answer.status == 400, name
    assert await announce(host) == 204


ODD_TABLE_BODIES = {
    **ODD_BYTES,
    "item without a body": b'{"Item": {"pk": {"S": "x"}}, "Items": [{"pk": 1}]}',
    "items null": b'{"Items": null, "Item": null}',
    "version huge": b'{"Item": {"pk": {"S": "x"}, "sk": {"S": "y"}, "body": {"B": ""}, "ver": '
    b'{"N": "' + b"9" * 5_000 + b'"}, "writer": {"S": ""}}, "Items": []}',
}


@pytest.mark.parametrize("name", ODD_TABLE_BODIES)
async def test_odd_response_of_the_table(harness, name, monkeypatch):
    table = harness.node().node.table
    inner = table._inner if hasattr(table, "_inner") else table._table

    async def post(operation, body):
        return 200, require_object(decode_json(ODD_TABLE_BODIES[name]), "body")

    with monkeypatch.context() as patch:
        patch.setattr(inner, "_post", post)
        assert not await harness.node().node.document.poll() or name == "items null"
    await assert_follows(harness.cluster)


def test_deep_text_is_deeper_than_the_decoder():
    with pytest.raises(RecursionError):
        json.loads(DEEP_LISTS)
