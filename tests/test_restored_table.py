"""The table of nodes without a gate, restored from an older copy."""

from __future__ import annotations

import random

import pytest
from claim_world import World
from test_document import edit

from peridottrack.clock import LoopClock, run_virtual
from peridottrack.controllers.document import DocumentController
from peridottrack.metrics import Metrics
from peridottrack.revisions import accept
from peridottrack.standin.memory import MemoryTable


@pytest.fixture
def world():
    made = World()
    yield made
    made.close()


# Guards against an accepted section that is not in force, since the restored table has given its
# version out before.
def test_section_accepted_after_a_restore_comes_into_force():
    async def run():
        table = MemoryTable()
        document = DocumentController(table, None, 1.0, LoopClock(), random.Random(1), Metrics())
        await accept(table, edit("a", 0))
        copy = table.copy()
        await accept(table, edit("b", 0))
        await document.poll()
        table.restore(copy)
        await accept(table, edit("c", 0))
        await document.poll()
        assert "c" in document.snapshot.data_by_section

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
