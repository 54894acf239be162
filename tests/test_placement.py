"""Where work goes and who may send twice, without network."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import pytest

from peridottrack.clock import ManualClock
from peridottrack.frames import GateLoad
from peridottrack.placement import Placement
from peridottrack.resendbudget import SPENDABLE_SHARE, ResendBudget

RUN_S, TARGET_S = 0.1, 0.3


@dataclass
class Way:
    """A way to a gate with figures set by the test."""

    load: GateLoad | None
    domain: str = "a"
    received_at: float = 0.0
    usable: bool = True
    unheard: int = 0

    def sent_since_report(self) -> int:
        return self.unheard


IDLE = {"open": True, "slots": 10, "limit": 10, "running": 0, "waiting": 0}


def gate(name, **figures):
    return GateLoad(name, "katalog", **{**IDLE, **figures})


@pytest.fixture
def clock():
    return ManualClock(0.0)


@pytest.fixture
def placement(clock):
    return Placement("a", clock, random.Random(7))


def chosen(placement, ways, **more):
    choice = placement.choose(ways, RUN_S, TARGET_S, **more)
    return choice.load.instance if choice else None


def test_slow_host_is_left_while_the_news_is_fresh(placement, clock):
    ways = [Way(gate("slow", slowdown=5.0)), Way(gate("well", running=5), domain="b")]
    assert chosen(placement, ways) == "well"
    clock.advance(0.3)
    assert chosen(placement, ways) == "slow"


def test_own_failure_domain_is_preferred_until_it_costs_more(placement):
    ways = [Way(gate("far"), domain="b"), Way(gate("near", running=4))]
    assert chosen(placement, ways) == "near"
    ways[1] = Way(gate("near", running=10, waiting=6))
    assert chosen(placement, ways) == "far"


def test_requests_sent_since_the_figures_came_count(placement):
    ways = [Way(gate("a"), unheard=14), Way(gate("b", running=9))]
    assert chosen(placement, ways) == "b"


@pytest.mark.parametrize(
    "way",
    [
        Way(None),
        Way(gate("x", open=False)),
        Way(gate("x"), usable=False),
        Way(gate("tried")),
    ],
)
def test_closed_unknown_suspected_and_tried_gates_get_nothing(placement, way):
    assert chosen(placement, [way], exclude={"tried"}) is None


def test_instance_that_fails_fast_draws_nothing_and_is_tried_again(placement, clock):
    ways = [Way(gate("fails")), Way(gate("well", running=9), domain="b")]
    for _ in range(5):
        placement.record_outcome("fails", True)
    assert chosen(placement, ways) == "well"
    clock.advance(15.0)
    assert chosen(placement, ways) == "fails"


def test_cold_instance_gets_less(placement):
    ways = [Way(gate("cold", cold=True)), Way(gate("warm", running=3))]
    assert chosen(placement, ways) == "warm"


def test_burst_spreads_over_equal_gates(placement):
    ways = [Way(gate(name)) for name in "abc"]
    for _ in range(30):
        name = chosen(placement, ways)
        way = next(one for one in ways if one.load.instance == name)
        way.load = replace(way.load, running=way.load.running + 1)
    assert max(way.load.running for way in ways) <= 12


@pytest.mark.parametrize("nodes", [1, 12, 77])
def test_second_sends_of_all_nodes_stay_within_the_budget(clock, nodes):
    ratio, slack, window_s = 0.2, 60.0, 10.0
    budgets = [ResendBudget(ratio, slack, window_s, clock) for _ in range(nodes)]
    for budget in budgets:
        budget.node_count = nodes
    requests = taken = 0
    for step in range(2_000):
        budget = budgets[step % nodes]
        budget.record_first_send()
        requests += 1
        taken += budget.take() + budget.take()
        clock.advance(window_s / 2_500)
    assert 0 < taken <= SPENDABLE_SHARE * (ratio * requests + slack) + nodes


def test_second_sends_come_back_after_the_window(clock):
    budget = ResendBudget(0.2, 10.0, 10.0, clock)
    while budget.take():
        pass
    clock.advance(10.1)
    assert budget.take()


@pytest.mark.parametrize(
    ("other", "well", "room"),
    [
        ({}, True, True),
        ({"running": 10}, True, False),
        ({"slowdown": 5.0}, False, False),
        ({"open": False}, False, False),
    ],
)
def test_tells_whether_another_gate_is_well_and_has_room(placement, other, well, room):
    ways = [Way(gate("chosen")), Way(gate("other", **other), domain="b")]
    choice = placement.choose(ways, RUN_S, TARGET_S)
    assert choice.load.instance == "chosen"
    assert (choice.healthy_elsewhere, choice.capacity_elsewhere) == (well, room)


def test_records_of_instances_that_are_gone_or_healed_do_not_pile_up(placement, clock):
    for number in range(100):
        placement.record_outcome(f"i-{number}", True)
        placement.record_outcome(f"well-{number}", False)
        clock.advance(1.0)
    # A record of one failure is forgotten after some 16 s.
    assert len(placement._record_by_instance) < 20
