"""Which nodes follow the store, and how others replace them when they stop responding."""

from __future__ import annotations

import asyncio
import random

from users_platform import document_bytes

from peridottrack.clock import LoopClock, run_virtual
from peridottrack.controllers.follow import WATCHERS, DocumentFollowController, select_watchers
from peridottrack.documentsource import DocumentUpdate
from peridottrack.messages import MemberState, MemberUpdate
from peridottrack.platform.document import read_document
from peridottrack.types import Endpoint


def member(number, unavailable=False):
    node = f"10.0.0.{number}:7600"
    admin = Endpoint(f"10.0.0.{number}", 8300)
    return MemberUpdate(
        node, 1, MemberState.ALIVE, admin, "a", "east", store_unavailable=unavailable
    )


class StubSource:
    """A store that returns one document and reports no change after it."""

    def __init__(self):
        self.reads = 0

    async def read(self):
        self.reads += 1
        return DocumentUpdate(7, document_bytes(version=7))

    async def follow(self, position):
        await asyncio.sleep(20)
        return DocumentUpdate(position, None)


def test_nodes_that_reach_the_store_are_selected_first():
    members = [member(number) for number in range(1, 13)]
    selected = select_watchers(members)
    assert len(selected) == WATCHERS
    with_unavailable = [
        member(number, unavailable=f"10.0.0.{number}:7600" in selected) for number in range(1, 13)
    ]
    assert not set(select_watchers(with_unavailable)) & set(selected)
    all_unavailable = [member(number, unavailable=True) for number in range(1, 13)]
    assert select_watchers(all_unavailable) == selected


def test_other_nodes_follow_when_all_watchers_stop_responding():
    """A low-ranked node reads the document once all higher-ranked ones stop responding."""
    members = [member(number) for number in range(1, 13)]
    selected = select_watchers(members)
    local_node = next(each.node for each in members if each.node not in selected)
    answering = list(members)
    applied_versions = []

    async def run():
        source = StubSource()
        follow = DocumentFollowController(
            local_node,
            source,
            read_document,
            lambda: answering,
            lambda unavailable: None,
            lambda table, frame, from_store: applied_versions.append(table.version),
            LoopClock(),
            random.Random(1),
        )
        follow.table = read_document(document_bytes(version=6))
        running = asyncio.create_task(follow.run())
        await asyncio.sleep(5)
        assert source.reads == 0
        while local_node not in select_watchers(answering):
            unresponsive = select_watchers(answering)
            answering[:] = [each for each in answering if each.node not in unresponsive]
        await asyncio.sleep(0.5)
        running.cancel()
        await asyncio.wait([running])

    run_virtual(run())
    assert applied_versions == [7]
