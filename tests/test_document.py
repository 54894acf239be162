"""The document: validation, acceptance under races and faults, and monotonic versions."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from peridottrack.clock import LoopClock, VirtualLoop, run_virtual
from peridottrack.controllers.document import DocumentController
from peridottrack.document import parse_document
from peridottrack.exceptions import (
    AcceptConflict,
    AcceptOutcomeUnknown,
    InvalidDocument,
    NotOwner,
    StoreUnavailable,
)
from peridottrack.metrics import Metrics
from peridottrack.revisions import SectionEdit, accept, read_document, read_head, read_history
from peridottrack.standin.faults import FaultPlan, StoreFault
from peridottrack.standin.memory import MemoryTable
from peridottrack.types import NodeId, SectionName


def text_of(service, deadline_ms=1_000, owner="team", path=None):
    part = {
        "owners": [owner],
        "services": {service: {}},
        "routes": [{"path": path or f"/{service}", "service": service, "deadline_ms": deadline_ms}],
    }
    return "// a comment\n" + json.dumps(part)


def edit(section, base, deadline_ms=1_000, operator="team", **kwargs):
    text = text_of(section, deadline_ms, **kwargs)
    return SectionEdit(SectionName(section), base, text, operator, 0.0)


def faults_of(text):
    with pytest.raises(InvalidDocument) as caught:
        parse_document(text, "doc")
    return caught.value.faults


def test_faults_are_listed_with_section_and_path():
    text = """{
      "a": {"owners": ["x"], "services": {"s": {"retry_share": 9}}, "typo": 1},
      "b": {"owners": [], "routes": [{"path": "no-slash", "service": "s"}]},
    }"""
    faults = "\n".join(faults_of(text))
    assert "doc: a: services.s.retry_share" in faults
    assert "doc: a: typo: unknown key" in faults
    assert "doc: b: owners" in faults
    assert "doc: b: routes.0.path" in faults


def test_whole_document_is_checked():
    text = """{
      "a": {"owners": ["x"], "services": {"s": {}}, "routes": [{"path": "/p", "service": "s"}]},
      "b": {"owners": ["x"], "services": {"s": {}},
            "routes": [{"path": "/p/", "service": "gone"}]},
    }"""
    faults = "\n".join(faults_of(text))
    assert "b: services.s: is defined in section a too" in faults
    assert "b: routes.0.service: no section defines service gone" in faults
    assert "b: routes.0.path: GET /p/ is taken by a: routes.0" in faults


def test_longest_prefix_wins():
    text = """{"a": {"owners": ["x"], "services": {"s": {}, "t": {}}, "routes": [
      {"path": "/", "service": "s"}, {"path": "/t", "service": "t"}]}}"""
    document = parse_document(text, "doc")
    found = {path: document.find_route("GET", path)[0].service for path in ("/t", "/t/1", "/tt")}
    assert found == {"/t": "t", "/t/1": "t", "/tt": "s"}
    assert document.find_route("POST", "/t") == (None, True)


def test_same_section_conflicts_and_shows_both_changes():
    async def run():
        table = MemoryTable()
        await accept(table, edit("a", 0))
        await accept(table, edit("a", 1, 2_000))
        with pytest.raises(AcceptConflict) as caught:
            await accept(table, edit("a", 1, 3_000))
        assert "+" in caught.value.diff
        assert "2000" in caught.value.diff and "3000" in caught.value.diff

    run_virtual(run())


def test_other_sections_race_and_both_succeed():
    async def run():
        table = MemoryTable()
        await asyncio.gather(*(accept(table, edit(name, 0)) for name in ("a", "b", "c", "d")))
        head, revisions = await read_document(table)
        assert head.version == 4
        assert set(revisions) == {"a", "b", "c", "d"}

    run_virtual(run())


def test_racing_edits_cannot_make_the_document_invalid():
    """Of two sections that are valid alone but have overlapping routes, only one is accepted."""

    async def run():
        table = MemoryTable()
        edits = [edit("a", 0, path="/same"), edit("b", 0, path="/same")]
        results = await asyncio.gather(
            *(accept(table, item) for item in edits), return_exceptions=True
        )
        assert sum(isinstance(result, InvalidDocument) for result in results) == 1

    run_virtual(run())


def test_only_owners_change_a_section():
    async def run():
        table = MemoryTable()
        await accept(table, edit("a", 0))
        with pytest.raises(NotOwner):
            await accept(table, edit("a", 1, operator="other"))

    run_virtual(run())


@pytest.mark.parametrize(
    ("faults", "error"),
    [
        ([StoreFault.LOST_AFTER], None),
        ([StoreFault.LOST_BEFORE], None),
        ([StoreFault.LATE], None),
        ([StoreFault.DOWN], StoreUnavailable),
        ([StoreFault.LOST_BEFORE] * 3 + [StoreFault.DOWN], AcceptOutcomeUnknown),
        ([StoreFault.LATE] * 3, AcceptOutcomeUnknown),
    ],
)
def test_reported_accept_outcome_is_true(faults, error):
    async def run():
        plan = FaultPlan()
        table = MemoryTable(plan)
        await accept(table, edit("a", 0))
        # The reads of head and section at the start of accept() succeed.
        plan.queue([StoreFault.NONE, StoreFault.NONE, *faults])
        if error is None:
            revision = await accept(table, edit("a", 1, 2_000))
            assert revision.version == 2
        else:
            with pytest.raises(error):
                await accept(table, edit("a", 1, 2_000))
        await asyncio.sleep(10)
        head = await read_head(table)
        expected = {None: {2}, StoreUnavailable: {1}, AcceptOutcomeUnknown: {1, 2}}[error]
        assert head.version in expected
        assert len(await read_history(table, SectionName("a"))) == head.version

    run_virtual(run())


class Peers:
    """Answers document requests from the controllers of the nodes."""

    def __init__(self):
        self.controller_by_node = {}

    async def fetch(self, node, have):
        controller = self.controller_by_node.get(node)
        return controller.changes_for_peer(have) if controller else None


class DocumentMachine(RuleBasedStateMachine):
    """No node returns to an older version; all reach the newest one once faults end.

    The table may be restored from an older copy: what a node has in force stays in force, unless
    its operators accept the section anew.
    """

    NODES = ("n1", "n2", "n3")

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.faults = FaultPlan()
        self.table = MemoryTable(self.faults)
        self.peers = Peers()
        self.highest = dict.fromkeys(self.NODES, 0)
        self.accepted = 0
        self.copy = self.table.copy()
        self.tasks = []
        self.do(self.start_all())

    def do(self, work):
        return self.loop.run_until_complete(work)

    async def start_all(self):
        for name in self.NODES:
            self.peers.controller_by_node[name] = self.new_node()

    def new_node(self):
        return DocumentController(
            self.table, self.peers, 4.0, LoopClock(), random.Random(1), Metrics()
        )

    @rule(section=st.sampled_from(["a", "b"]), deadline_ms=st.integers(10, 9_999))
    def accept(self, section, deadline_ms):
        async def run():
            head = await read_head(self.table)
            base = head.version_by_section.get(SectionName(section), 0)
            revision = await accept(self.table, edit(section, base, deadline_ms))
            self.accepted = max(self.accepted, revision.document_version)

        with contextlib.suppress(StoreUnavailable, AcceptOutcomeUnknown):
            self.do(run())

    @rule(fault=st.sampled_from(list(StoreFault)))
    def fault(self, fault):
        self.faults.default = fault

    @rule()
    def copy_table(self):
        self.copy = self.table.copy()

    @rule()
    def restore_table(self):
        self.table.restore(self.copy)

    @rule(node=st.sampled_from(NODES))
    def poll(self, node):
        self.do(self.peers.controller_by_node[node].poll())

    @rule(node=st.sampled_from(NODES), peer=st.sampled_from(NODES))
    def receive_peer_version(self, node, peer):
        version = self.peers.controller_by_node[peer].version

        async def run():
            self.peers.controller_by_node[node].record_peer_version(NodeId(peer), version)
            await asyncio.sleep(0.3)

        self.do(run())

    @rule(node=st.sampled_from(NODES))
    def restart(self, node):
        """A restarted node has no document; it reads the table, or else asks its peers."""

        async def run():
            fresh = self.new_node()
            if not await fresh.poll():
                await fresh.fetch_from_peers([NodeId(name) for name in self.NODES if name != node])
            self.peers.controller_by_node[node] = fresh

        self.do(run())
        self.highest[node] = self.peers.controller_by_node[node].version

    @invariant()
    def versions_only_grow(self):
        for name, controller in self.peers.controller_by_node.items():
            assert controller.version >= self.highest[name]
            self.highest[name] = controller.version

    def teardown(self):
        self.faults.default = StoreFault.NONE
        self.do(asyncio.sleep(10))
        controllers = self.peers.controller_by_node.values()
        held = [name for one in controllers for name in one.snapshot.data_by_section]
        # Each node may write back what the others do not have.
        for _ in self.NODES:
            for controller in controllers:
                self.do(controller.poll())
        head, revision_by_section = self.do(read_document(self.table))
        assert set(held) <= set(revision_by_section)
        for controller in controllers:
            assert controller.version == head.version
            assert controller.snapshot.data_by_section == {
                name: revision.data for name, revision in revision_by_section.items()
            }
        self.loop.close()


def test_versions_only_grow_and_reach_all():
    run_state_machine_as_test(
        DocumentMachine,
        settings=settings(
            max_examples=60,
            stateful_step_count=30,
            derandomize=True,
            database=None,
            deadline=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )
