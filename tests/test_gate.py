"""The gate's decisions, in time set by hand."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from peridottrack.clock import ManualClock
from peridottrack.gate import AdmissionRequest, Gate, Verdict
from peridottrack.headernames import LoadFigures, read_load


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def gate(clock):
    made = Gate(clock)
    made.open("i-1", "katalog", 3, 0.0)
    assert made.limit == 2
    return made


def ticket(log, *, route="read", rank=1, target_at=110.0, deadline=110.0):
    return AdmissionRequest(route, rank, target_at, deadline, log.append)


def test_runs_up_to_the_slots_then_waits(gate):
    log = []
    for _ in range(3):
        gate.submit(ticket(log), "i-1")
    assert log == [Verdict.RUN, Verdict.RUN]
    assert (gate.running, gate.waiting) == (2, 1)


def test_urgent_goes_first_then_those_that_can_meet_their_target(gate):
    order, running = [], []
    waiting = (
        ("first", 1, 110.0, 110.0),
        ("second", 1, 110.0, 110.0),
        ("missed", 2, 99.0, 104.0),
        ("later", 2, 105.0, 109.0),
        ("soon", 2, 104.0, 109.0),
        ("urgent but missed", 1, 99.0, 109.0),
        ("urgent", 1, 108.0, 109.0),
    )
    for name, rank, target_at, deadline in waiting:
        made = AdmissionRequest("read", rank, target_at, deadline, lambda verdict: None)
        made.on_decision = lambda verdict, name=name, made=made: (
            order.append(name),
            running.append(made),
        )
        gate.submit(made, "i-1")
    while running:
        gate.release(running.pop(0), True)
    assert order[2:] == ["urgent", "urgent but missed", "soon", "later", "missed"]


def test_burst_makes_some_late_instead_of_all(clock):
    """Twice what two slots can do, targets of twice the run time."""
    gate = Gate(clock)
    gate.open("i-1", "katalog", 3, 0.0)
    gate.local_instance.concurrency_limit._tried_at = clock.now()
    ends, in_target = [], 0
    for step in range(400):
        now = clock.now()
        for end_at, made in [one for one in ends if one[0] <= now + 1e-9]:
            ends.remove((end_at, made))
            gate.release(made, True)
            in_target += end_at <= made.target_at + 1e-9
        if step < 300 and step % 3 != 0:
            made = AdmissionRequest("read", 1, now + 0.2, now + 2.0, lambda verdict: None)
            made.on_decision = lambda verdict, made=made: (
                ends.append((clock.now() + 0.1, made)) if verdict is Verdict.RUN else None
            )
            gate.submit(made, "i-1")
        clock.advance(0.025)
    could = 2 * 300 * 0.025 / 0.1
    assert in_target > 0.8 * could


def test_what_cannot_be_done_in_time_is_refused_at_once(gate, clock):
    log = []
    runs = [ticket(log), ticket(log)]
    for one in runs:
        gate.submit(one, "i-1")
    clock.advance(4.0)
    for one in runs:
        gate.release(one, True)
    log.clear()
    for _ in range(2):
        gate.submit(ticket(log, deadline=200.0), "i-1")
    gate.submit(ticket(log, deadline=104.5), "i-1")
    assert log == [Verdict.RUN, Verdict.RUN, Verdict.TOO_LATE]


def test_waiting_is_bounded(gate):
    log = []
    for _ in range(40):
        gate.submit(ticket(log, deadline=1_000.0), "i-1")
    assert log.count(Verdict.FULL) == 40 - 2 - 9


def test_leaving_instance_refuses_the_waiting_and_the_new(gate):
    log = []
    for _ in range(3):
        gate.submit(ticket(log), "i-1")
    gate.close()
    gate.submit(ticket(log), "i-1")
    assert log == [Verdict.RUN, Verdict.RUN, Verdict.CLOSED, Verdict.CLOSED]
    assert not gate.load().open


def test_another_instance_gets_no_request_meant_for_the_first(gate):
    log = []
    for _ in range(3):
        gate.submit(ticket(log), "i-1")
    gate.open("i-2", "katalog", 3, 0.0)
    gate.submit(ticket(log), "i-1")
    assert log[2:] == [Verdict.WRONG_INSTANCE, Verdict.WRONG_INSTANCE]


def test_slow_host_passes_back_what_is_better_off_elsewhere(gate, clock):
    gate.record_load(LoadFigures(1, 0, 3, 5.0))
    log = []
    passed = ticket(log)
    passed.decline_if_slow = True
    gate.submit(passed, "i-1")
    gate.submit(ticket(log), "i-1")
    clock.advance(0.5)
    gate.submit(passed, "i-1")
    assert log == [Verdict.SLOW, Verdict.RUN, Verdict.RUN]


def test_what_waited_is_passed_back_if_its_turn_comes_in_a_slow_spell(gate, clock):
    log, running = [], [ticket([]), ticket([])]
    for one in running:
        gate.submit(one, "i-1")
    movable, bound = ticket(log), ticket(log)
    movable.decline_if_slow = True
    gate.submit(movable, "i-1")
    gate.submit(bound, "i-1")
    gate.record_load(LoadFigures(2, 0, 3, 5.0))
    gate.release(running[0], True)
    assert log == [Verdict.SLOW, Verdict.RUN]


def test_what_has_no_room_here_goes_on_if_there_is_room_elsewhere(gate):
    log = []
    for _ in range(3):
        gate.submit(ticket([]), "i-1")
    movable = ticket(log)
    movable.decline_if_full = True
    gate.submit(movable, "i-1")
    gate.submit(ticket(log), "i-1")
    assert log == [Verdict.BUSY]
    assert gate.waiting == 2


def test_a_host_that_is_slow_to_say_how_it_is_passes_back(gate):
    log = []
    movable, bound = ticket(log), ticket(log)
    movable.decline_if_slow = True
    gate.submit(movable, "i-1", host_silent=True)
    gate.submit(bound, "i-1", host_silent=True)
    assert log == [Verdict.SLOW, Verdict.RUN]


def test_urgent_calls_find_a_slot_beside_long_runs(clock):
    """Long runs of low rank fill an instance; short urgent calls come all the time."""
    gate = Gate(clock)
    gate.open("i-1", "katalog", 10, 0.0)
    ends, waits = [], []
    for step in range(4_000):
        now = clock.now()
        for end_at, made in [one for one in ends if one[0] <= now + 1e-9]:
            ends.remove((end_at, made))
            gate.release(made, True)
        urgent = step % 4 == 0
        rank, run_s = (1, 0.02) if urgent else (2, 0.4)
        made = AdmissionRequest(f"rank {rank}", rank, now + 0.1, now + 2.0, lambda verdict: None)

        def decided(verdict, made=made, run_s=run_s, now=now, urgent=urgent):
            if verdict is Verdict.RUN:
                ends.append((clock.now() + run_s, made))
            if urgent:
                waits.append(clock.now() - now if verdict is Verdict.RUN else 1.0)

        made.on_decision = decided
        gate.submit(made, "i-1")
        clock.advance(0.005)
    late = sorted(waits[len(waits) // 2 :])
    assert late[int(len(late) * 0.95)] < 0.02


@pytest.mark.parametrize(
    ("text", "figures"),
    [
        ("3,0,8", LoadFigures(3, 0, 8, 1.0)),
        ("3,1,8,500", LoadFigures(3, 1, 8, 5.0)),
        ("3,1", None),
        ("a,b,c", None),
        ("-1,0,8", None),
        ("", None),
    ],
)
def test_load_figures_of_all_kinds(text, figures):
    assert read_load(text) == figures


class GateMachine(RuleBasedStateMachine):
    """Random requests, ends, leavings and restarts: the count is exact, nobody is told twice."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(0.0)
        self.gate = Gate(self.clock)
        self.incarnation = 0
        self.asked = []
        self.verdicts = {}
        self.running = []
        self.open_again()

    def open_again(self):
        self.incarnation += 1
        self.gate.open(f"i-{self.incarnation}", "katalog", 3, 0.0)

    @rule(rank=st.integers(0, 3), left_s=st.floats(0.001, 3), stale=st.booleans())
    def ask(self, rank, left_s, stale):
        number = len(self.asked)

        def decided(verdict):
            assert number not in self.verdicts
            self.verdicts[number] = verdict
            if verdict is Verdict.RUN:
                assert self.gate.is_open
                self.running.append(made)

        now = self.clock.now()
        made = AdmissionRequest("read", rank, now + left_s / 2, now + left_s, decided)
        self.asked.append(made)
        self.gate.submit(made, f"i-{self.incarnation - stale}")
        if stale:
            assert self.verdicts[number] is not Verdict.RUN

    @precondition(lambda self: self.running)
    @rule(data=st.data(), ran=st.booleans())
    def finish(self, data, ran):
        index = data.draw(st.integers(0, len(self.running) - 1))
        self.gate.release(self.running.pop(index), ran)

    @precondition(lambda self: any(one.waiting for one in self.asked))
    @rule()
    def give_up(self):
        waiting = next(one for one in self.asked if one.waiting)
        assert self.gate.cancel(waiting)
        assert not self.gate.cancel(waiting)

    @rule()
    def leave(self):
        self.gate.close()

    @rule()
    def restart(self):
        self.open_again()

    @rule(seconds=st.floats(0.0, 1.0))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def counts_are_exact(self):
        assert self.gate.running == len(self.running)
        assert self.gate.waiting == sum(one.waiting for one in self.asked)

    @invariant()
    def slots_are_kept_by_each_life(self):
        assert self.gate.running <= 3 * self.incarnation


GateMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
test_gate_machine = GateMachine.TestCase


def test_runs_that_began_in_an_unseen_spell_are_told(gate, clock):
    told = []
    before, within = ticket([]), ticket([])
    before.on_slow_start = lambda: told.append("before")
    within.on_slow_start = lambda: told.append("within")
    gate.submit(before, "i-1")
    clock.advance(0.01)
    gate.record_load(LoadFigures(1, 0, 3, 1.0))
    clock.advance(0.01)
    gate.submit(within, "i-1")
    clock.advance(0.01)
    gate.record_load(LoadFigures(2, 0, 3, 5.0))
    gate.record_load(LoadFigures(2, 0, 3, 5.0))
    assert told == ["within"]
