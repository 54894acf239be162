"""Claims under store faults, node pauses, kills and resends, in virtual time.

PERIDOTTRACK_CLAIM_STEPS sets the number of random steps; `make soak-claims` raises it.
"""

from __future__ import annotations

import os
from dataclasses import replace

import pytest
from claim_world import LoopWallClock, World, make_journal_claims, make_row_claims
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from peridottrack import journal
from peridottrack.claims import ClaimState, RowClaimStore
from peridottrack.filters.dispatch import check_deadline
from peridottrack.standin.faults import StoreFault
from peridottrack.types import ABSENT_VERSION, WriteOutcome

STEPS = int(os.environ.get("PERIDOTTRACK_CLAIM_STEPS", "20000"))
STEPS_PER_RUN = 50
BEHAVIOURS = ("ok", "ok", "shed", "break_before", "break_after", "queue", "hang")
numbers = st.integers(0, 1)


def run_machine(machine, steps=STEPS):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=max(1, steps // STEPS_PER_RUN),
            stateful_step_count=STEPS_PER_RUN,
            derandomize=True,
            database=None,
            deadline=None,
            # Shrinking a failing run takes minutes, and the run is short enough to read as it is.
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )


class ClaimMachine(RuleBasedStateMachine):
    make_store = staticmethod(make_row_claims)
    check_deadline = staticmethod(check_deadline)

    def __init__(self):
        super().__init__()
        self.world = World(type(self).make_store, type(self).check_deadline)

    @rule(
        key=st.sampled_from(["k1", "k2", "k3"]),
        body=st.sampled_from([b"a", b"a", b"a", b"b"]),
        number=numbers,
        behaviour=st.sampled_from(BEHAVIOURS),
    )
    def send(self, key, body, number, behaviour):
        self.world.upstream.behaviours.append(behaviour)
        self.world.send(key, body, number)

    @rule(faults=st.lists(st.sampled_from(list(StoreFault)), min_size=1, max_size=4))
    def faults(self, faults):
        self.world.faults.queue(faults)

    @rule(fault=st.sampled_from(list(StoreFault)))
    def lasting_fault(self, fault):
        self.world.faults.default = fault

    @rule()
    def clear_lasting_fault(self):
        self.world.faults.default = StoreFault.NONE

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.06, 0.5, 2.0, 10.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(seconds=st.sampled_from([1.0, 5.0]))
    def freeze(self, seconds):
        self.world.loop.freeze(seconds)

    @rule(number=numbers)
    def pause(self, number):
        self.world.nodes[number].table.awake.clear()

    @rule(number=numbers)
    def wake(self, number):
        self.world.nodes[number].table.awake.set()

    @rule(number=numbers)
    def kill(self, number):
        self.world.kill(number)

    @invariant()
    def guarantees_hold(self):
        self.world.check()

    def teardown(self):
        self.world.faults.default = StoreFault.NONE
        try:
            self.world.settle()
        finally:
            self.world.close()


def test_no_order_runs_twice_and_reported_outcomes_are_true():
    run_machine(ClaimMachine)


class UnconditionalTable:
    """Ignores version conditions: writes over any version of a row."""

    def __init__(self, table):
        self._table = table
        self.get, self.query = table.get, table.query

    async def transact(self, writes, writer):
        current = [await self._table.get(write.key) for write in writes]
        forced = [
            replace(write, expected_version=row.version if row else ABSENT_VERSION)
            for write, row in zip(writes, current, strict=True)
        ]
        return await self._table.transact(forced, writer)


class OptimisticTable:
    """Reports a write of unknown outcome as applied."""

    def __init__(self, table):
        self._table = table
        self.get, self.query = table.get, table.query

    async def transact(self, writes, writer):
        outcome = await self._table.transact(writes, writer)
        return WriteOutcome.APPLIED if outcome is WriteOutcome.UNKNOWN else outcome


class NoWithdrawClaimStore(RowClaimStore):
    """Does not void a claim whose write may be applied late."""

    async def withdraw(self, handle, record):
        return True


def make_no_withdraw_store(world, node):
    return NoWithdrawClaimStore(node.table, LoopWallClock())


class JournalMachine(ClaimMachine):
    """Checks the same guarantees for journals whose shard owners change at any moment."""

    make_store = staticmethod(make_journal_claims)

    @rule()
    def change_owner(self):
        self.world.owner += 1

    @rule(lost=st.lists(st.booleans(), min_size=1, max_size=4))
    def lose_messages(self, lost):
        self.world.lost_messages.extend(lost)


def test_journals_give_the_same_guarantees(monkeypatch):
    # Compact after every second row, so that the run includes snapshots.
    monkeypatch.setattr(journal, "ROWS_TO_COMPACT", 2)
    run_machine(JournalMachine)


def store_over(table_type):
    return lambda world, node: RowClaimStore(table_type(node.table), LoopWallClock())


def send_to_two_nodes(world):
    """Two nodes receive the same order at the same moment."""
    world.send("k1", b"a", 0)
    world.send("k1", b"a", 1)
    world.advance(1)


def lose_claim_write(world):
    """The write of a claim is lost before it is applied; the order is resent to another node."""
    world.faults.queue([StoreFault.LOST_BEFORE])
    world.send("k1", b"a", 0)
    world.advance(1)
    world.send("k1", b"a", 1)
    world.advance(1)


def apply_claim_late(world):
    """The write of a claim is applied after its caller received an unknown outcome."""
    world.faults.queue([StoreFault.LATE] * 3)
    world.send("k1", b"a", 0)
    world.advance(60)


def freeze_after_claim(world):
    """The process freezes after the claim is granted, until the deadline has passed."""
    world.upstream.before_check = lambda: world.loop.freeze(5)
    world.send("k1", b"a", 0)
    world.advance(5)


@pytest.mark.parametrize(
    ("history", "disabled", "violation"),
    [
        (send_to_two_nodes, {"make_store": store_over(UnconditionalTable)}, "ran twice"),
        (lose_claim_write, {"make_store": store_over(OptimisticTable)}, "ran twice"),
        (apply_claim_late, {"make_store": make_no_withdraw_store}, "claim was not settled"),
        (freeze_after_claim, {"check_deadline": lambda call, now: None}, "after its deadline"),
    ],
    ids=["condition", "read-back", "void in its place", "clock check"],
)
def test_each_guard_is_needed(history, disabled, violation):
    """A history violates no guarantee with all guards, and the named one with a guard disabled."""
    intact = World()
    history(intact)
    intact.settle()
    intact.close()
    world = World(**disabled)
    with pytest.raises(AssertionError, match=violation):
        history(world)
        world.settle()
    world.close()


def test_claim_in_a_journal_is_settled_after_a_lost_message():
    """The shard's owner changes and pauses while one message between the nodes is lost.

    The order was reported as unknown and never ran, and the node that claimed it lives on, so its
    claim must not stay unfinished for good.
    """
    world = World(make_journal_claims)
    world.owner += 1
    world.faults.queue([StoreFault.SLOW, StoreFault.DOWN])
    world.upstream.behaviours += ["hang", "break_after", "break_after"]
    world.send("k1", b"a", 0)
    world.kill(0)
    world.send("k1", b"a", 1)
    world.send("k2", b"a", 0)
    world.owner += 1
    world.nodes[0].table.awake.clear()
    world.lost_messages.append(True)
    world.advance(10.0)
    try:
        world.settle()
    finally:
        world.close()


def test_order_resent_while_its_claim_is_voided_runs_once():
    """The upstream sheds an order; it is resent while its void is written, and again after it."""
    world = World(make_journal_claims)
    world.send("k0", b"a")
    world.advance(1)
    world.upstream.behaviours.append("shed")
    world.send("k1", b"a")
    world.advance(0.025)
    world.faults.queue([StoreFault.SLOW])
    world.advance(0.05)
    world.send("k1", b"a", 1)
    while len(world.results) < 2:
        world.advance(0.005)
    world.send("k1", b"a")
    world.advance(2)
    try:
        world.settle()
    finally:
        world.close()


def refuse_void(world):
    """The table refuses the void of an unsettled claim once, before the claim is applied late."""
    world.faults.queue([StoreFault.LATE] * 3 + [StoreFault.NONE] * 2 + [StoreFault.DOWN])
    world.send("k1", b"a")
    world.advance(1)


def pause_before_void(world):
    """The node pauses between look and void, until the unsettled claim is applied late."""
    world.faults.queue([StoreFault.LATE] * 3 + [StoreFault.NONE, StoreFault.SLOW])
    world.send("k1", b"a")
    world.advance(0.5)
    world.nodes[0].table.awake.clear()
    world.advance(5)


@pytest.mark.parametrize("history", [refuse_void, pause_before_void])
def test_claim_row_is_settled_after_a_late_write(history):
    world = World()
    history(world)
    try:
        world.settle()
        assert [record.state for record in world.records()] == [ClaimState.VOID]
    finally:
        world.close()
