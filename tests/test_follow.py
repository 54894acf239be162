"""Who follows the store, and what happens when those who do fall silent."""

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


def member(number, away=False):
    node = f"10.0.0.{number}:7600"
    end = Endpoint(f"10.0.0.{number}", 8300)
    return MemberUpdate(node, 1, MemberState.ALIVE, end, "a", "east", store_unavailable=away)


class Source:
    """A store that tells one document and then nothing."""

    def __init__(self):
        self.reads = 0

    async def read(self):
        self.reads += 1
        return DocumentUpdate(7, document_bytes(version=7))

    async def follow(self, position):
        await asyncio.sleep(20)
        return DocumentUpdate(position, None)


def test_nodes_that_the_store_answers_go_first():
    members = [member(number) for number in range(1, 13)]
    first = select_watchers(members)
    assert len(first) == WATCHERS
    turned_away = [member(number, away=f"10.0.0.{number}:7600" in first) for number in range(1, 13)]
    assert not set(select_watchers(turned_away)) & set(first)
    all_away = [member(number, away=True) for number in range(1, 13)]
    assert select_watchers(all_away) == first


def test_others_follow_when_all_who_did_fall_silent():
    """A node far down the order reads the document once those above it answer no more."""
    members = [member(number) for number in range(1, 13)]
    first = select_watchers(members)
    me = next(one.node for one in members if one.node not in first)
    answering = list(members)
    taken = []

    async def play():
        source = Source()
        follow = DocumentFollowController(
            me,
            source,
            read_document,
            lambda: answering,
            lambda away: None,
            lambda table, frame, from_store: taken.append(table.version),
            LoopClock(),
            random.Random(1),
        )
        follow.table = read_document(document_bytes(version=6))
        running = asyncio.create_task(follow.run())
        await asyncio.sleep(5)
        assert source.reads == 0
        while me not in select_watchers(answering):
            silent = select_watchers(answering)
            answering[:] = [one for one in answering if one.node not in silent]
        await asyncio.sleep(0.5)
        running.cancel()
        await asyncio.wait([running])

    run_virtual(play())
    assert taken == [7]
