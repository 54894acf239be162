"""The table of nodes without a gate, restored from an older copy."""

from __future__ import annotations

import asyncio
import random

import pytest
from claim_world import World
from test_document import edit

from peridottrack.clock import LoopClock, run_virtual
from peridottrack.controllers.document import DocumentController
from peridottrack.metrics import Metrics
from peridottrack.revisions import accept, read_head
from peridottrack.standin.faults import StoreFault
from peridottrack.standin.memory import MemoryTable


@pytest.fixture
def world():
    made = World()
    yield made
    made.close()


def new_document(table):
    return DocumentController(table, None, 1.0, LoopClock(), random.Random(1), Metrics())


async def in_force(document):
    """Poll the table and return the deadline of each section's route."""
    await document.poll()
    return {
        name: section["routes"][0]["deadline_ms"]
        for name, section in document.snapshot.data_by_section.items()
    }


# Guards against an accepted section that is not in force, since the restored table has given its
# version out before, and against a lost section that is not in force any more.
def test_section_accepted_after_a_restore_comes_into_force():
    async def run():
        table = MemoryTable()
        document = new_document(table)
        await accept(table, edit("a", 0, 10))
        copy = table.copy()
        await accept(table, edit("b", 0, 20))
        await document.poll()
        version = document.version
        table.restore(copy)
        await accept(table, edit("c", 0, 30))
        assert await in_force(document) == {"a": 10, "b": 20, "c": 30}
        assert document.version > version
        assert await in_force(new_document(table)) == {"a": 10, "b": 20, "c": 30}

    run_virtual(run())


# Guards against a node that keeps the lost revision of a section, which has the same version as the
# one that was accepted after the restore.
@pytest.mark.parametrize("lost", [1, 3])
def test_section_accepted_anew_after_a_restore_replaces_the_lost_revisions(lost):
    async def run():
        table = MemoryTable()
        document = new_document(table)
        await accept(table, edit("a", 0, 10))
        copy = table.copy()
        for number in range(lost):
            await accept(table, edit("a", 1 + number, 20))
        await document.poll()
        table.restore(copy)
        await accept(table, edit("a", 1, 30))
        assert await in_force(document) == {"a": 30}
        head = await read_head(table)
        assert head.version_by_section["a"] > 1 + lost
        await accept(table, edit("a", head.version_by_section["a"], 40))
        assert await in_force(document) == {"a": 40}

    run_virtual(run())


# Guards against lost sections that come back although they contradict what was accepted since: no
# document would be valid, so none could be accepted any more.
def test_lost_section_that_contradicts_an_accepted_one_stays_lost():
    async def run():
        table = MemoryTable()
        document = new_document(table)
        await accept(table, edit("a", 0, 10))
        copy = table.copy()
        await accept(table, edit("b", 0, 20, path="/same"))
        await document.poll()
        table.restore(copy)
        await accept(table, edit("c", 0, 30, path="/same"))
        assert await in_force(document) == {"a": 10, "c": 30}

    run_virtual(run())


# Guards against a poll that takes a document that a peer sent meanwhile for a sign of a restore.
def test_document_received_during_a_poll_is_no_sign_of_a_restore():
    async def run():
        table = MemoryTable()
        await accept(table, edit("a", 0, 10))
        first, second = new_document(table), new_document(table)
        await second.poll()
        table.faults.queue([StoreFault.SLOW])
        polling = asyncio.create_task(first.poll())
        await asyncio.sleep(0)
        await accept(table, edit("a", 1, 20))
        await second.poll()
        first._adopt(second.snapshot.head, second.snapshot.data_by_section)
        await polling
        assert (await read_head(table)).version == 2

    run_virtual(run())


# Guards against an order that runs twice, since its claim was lost when the table was restored.
def test_order_whose_claim_a_restore_has_lost_runs_once(world):
    copy = world.table.copy()
    world.send("k", b"12 m")
    world.advance(2)
    world.table.restore(copy)
    world.send("k", b"12 m", number=1)
    world.advance(2)
    world.check()
