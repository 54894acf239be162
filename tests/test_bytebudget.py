"""The limit on the bytes of all requests: what is dropped for others, and that the sum holds."""

from __future__ import annotations

import inspect

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridottrack import bytebudget
from peridottrack.bytebudget import (
    LARGE_BYTES,
    LARGE_SHARE,
    RUN_SHARE,
    STALL_S,
    ByteBudget,
    limit_bytes,
)

LIMIT = 10 * LARGE_BYTES
LARGE = 3 * LARGE_BYTES
CROWD = 2_000
"""Holdings of a crowd, more than calls can nest."""
MAX_LOOKS = 100
"""Most accesses to holdings in one update, however many there are."""


class FakeClock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class Budget:
    """A budget whose holdings have names, and the names of those dropped."""

    def __init__(self):
        self.clock = FakeClock()
        self.budget = ByteBudget(LIMIT, self.clock)
        self.dropped = []
        self.by_name = {}

    def hold(self, name, size, **options):
        if name not in self.by_name:
            self.by_name[name] = self.budget.open(lambda: self.dropped.append(name), **options)
        self.budget.update(self.by_name[name], size)


@pytest.fixture
def held():
    return Budget()


def test_smallest_host_has_room_for_the_largest_body():
    assert limit_bytes(200 * 10**6) * min(LARGE_SHARE, RUN_SHARE) > 64 << 20


def test_of_large_holdings_the_longest_stalled_goes_first(held):
    for name in "abc":
        held.hold(name, LARGE)
        held.clock.time += 1.0
    held.hold("a", LARGE)  # progresses, the others stand still
    held.hold("d", LARGE)
    assert held.dropped == ["b"]


def test_of_large_holdings_that_progress_the_newest_goes(held):
    for name in "abcd":
        held.hold(name, LARGE)
        held.clock.time += STALL_S / 10
    assert held.dropped == ["d"]


def test_small_holdings_stay_while_there_are_large_ones(held):
    held.hold("small", LARGE_BYTES)
    held.clock.time += 10.0
    for name in "abc":
        held.hold(name, LARGE)
    assert held.dropped == ["c"]


def test_large_requests_leave_room_for_small_ones(held):
    assert held.budget.reserve(3 * LARGE)
    assert not held.budget.reserve(LARGE_BYTES + 1)
    assert held.budget.reserve(LARGE_BYTES)
    held.hold("large", LARGE)
    assert held.dropped == ["large"]


def test_small_holdings_are_dropped_only_if_they_are_many(held):
    assert held.budget.reserve(3 * LARGE)
    assert held.budget.reserve(LARGE_BYTES)
    held.hold("a", LARGE_BYTES * 2 // 5)
    held.hold("b", LARGE_BYTES * 2 // 5)
    assert held.dropped == []
    held.clock.time += 1.0
    held.hold("b", LARGE_BYTES * 2 // 5)
    held.hold("c", LARGE_BYTES * 2 // 5)
    assert held.dropped == ["a"]


def test_answers_that_are_read_are_not_dropped(held):
    held.hold("answers", LARGE, is_answer=True)
    for name in "abc":
        held.hold(name, LARGE)
    assert held.dropped == ["c"]
    held.clock.time += STALL_S * 2
    for name in "abd":
        held.hold(name, LARGE)
    assert held.dropped == ["c", "answers"]


def test_complete_request_keeps_its_bytes_though_others_fill_the_rest(held):
    for name in "abc":
        held.hold(name, LARGE)
    assert held.budget.keep(held.by_name["a"], LARGE + 2 * LARGE_BYTES, 0)
    assert held.dropped == ["c"]
    assert held.budget.used == 2 * LARGE + 2 * LARGE_BYTES


def test_reservation_fails_rather_than_drop_what_makes_progress(held):
    for name in "abc":
        held.hold(name, LARGE)
    assert not held.budget.reserve(LARGE)
    held.clock.time += STALL_S * 2
    assert held.budget.reserve(LARGE)


def test_owners_that_update_others_while_they_are_dropped_do_not_nest(held):
    """As a connection does that answers 503 to the request that it gives up."""
    budget = held.budget

    def connect():
        answer = budget.open(lambda: None, is_answer=True)

        def drop():
            held.dropped.append(len(inspect.stack(0)))
            budget.update(answer, 1)

        budget.update(budget.open(drop), LIMIT // CROWD)

    for _ in range(CROWD):
        connect()
    held.clock.time += 1.0
    budget.add(2 * LIMIT)
    assert len(held.dropped) > CROWD / 2
    assert len(set(held.dropped)) == 1


@pytest.mark.parametrize("size", [1, LARGE_BYTES + 1])
def test_work_of_an_update_does_not_grow_with_the_holdings(monkeypatch, size):
    """Neither if nothing can be dropped, nor if there is room."""
    looks = []

    class ObservedHolding(bytebudget.Holding):
        def __getattribute__(self, name):
            looks.append(name)
            return super().__getattribute__(name)

    monkeypatch.setattr(bytebudget, "Holding", ObservedHolding)
    counts = []
    for number_of_holdings in (CROWD, 10 * CROWD):
        budget = ByteBudget(100 * CROWD * size, FakeClock())
        holdings = [budget.open(lambda: None) for _ in range(number_of_holdings)]
        for holding in holdings:
            budget.update(holding, size)
        for over in (False, True):
            if over:
                for holding in holdings:
                    holding.droppable = False
                    budget.update(holding, size)
                budget.add(200 * CROWD * size)
            looks.clear()
            budget.update(holdings[0], size)
            counts.append(len(looks))
    assert max(counts) < MAX_LOOKS


class BudgetMachine(RuleBasedStateMachine):
    """Random holdings and reservations against a plain sum of them."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.budget = ByteBudget(LIMIT, self.clock)
        self.size_by_holding = {}
        self.reserved = []

    @rule(is_answer=st.booleans())
    def open(self, is_answer):
        holding = None

        def drop():
            del self.size_by_holding[holding]

        holding = self.budget.open(drop, is_answer)
        self.size_by_holding[holding] = 0

    @rule(data=st.data(), size=st.integers(0, LIMIT), progressed=st.booleans())
    def update(self, data, size, progressed):
        if self.size_by_holding:
            holding = data.draw(st.sampled_from(list(self.size_by_holding)))
            self.size_by_holding[holding] = size
            self.budget.update(holding, size, progressed)

    @rule(data=st.data(), size=st.integers(0, LIMIT))
    def keep(self, data, size):
        if self.size_by_holding:
            holding = data.draw(st.sampled_from(list(self.size_by_holding)))
            self.size_by_holding[holding] = 0
            if self.budget.keep(holding, size, 0):
                self.reserved.append(size)

    @rule(data=st.data())
    def close(self, data):
        if self.size_by_holding:
            holding = data.draw(st.sampled_from(list(self.size_by_holding)))
            del self.size_by_holding[holding]
            self.budget.close(holding)

    @rule(size=st.integers(0, LIMIT))
    def reserve(self, size):
        if self.budget.reserve(size):
            self.reserved.append(size)

    @rule(size=st.integers(0, LIMIT))
    def add(self, size):
        self.budget.add(size)
        self.reserved.append(size)

    @rule()
    def release(self):
        if self.reserved:
            self.budget.release(self.reserved.pop())

    @rule(seconds=st.floats(0, 2))
    def wait(self, seconds):
        self.clock.time += seconds

    @invariant()
    def sum_holds(self):
        assert self.budget.used == sum(self.size_by_holding.values()) + sum(self.reserved)

    @rule()
    def all_large_ones_can_be_dropped(self):
        """A reserved byte too many drops all that is large, however little of it stands still."""
        self.budget.add(2 * LIMIT)
        holding = self.budget.open(lambda: None)
        self.budget.update(holding, 1)
        self.budget.close(holding)
        self.budget.release(2 * LIMIT)
        assert all(size <= LARGE_BYTES for size in self.size_by_holding.values())

    @invariant()
    def what_can_be_given_up_exceeds_the_limit_only_by_little(self):
        large = [holding.size for holding in self.size_by_holding if holding.size > LARGE_BYTES]
        assert self.budget.used <= LIMIT or not large


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
