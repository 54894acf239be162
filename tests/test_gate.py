"""Tests of the gate's admission control, with a manual clock."""

from __future__ import annotations

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from peridottrack.clock import ManualClock
from peridottrack.gate import AdmissionRequest, Gate, Verdict
from peridottrack.headernames import LoadFigures, read_load
from peridottrack.ratelimit import burst_of


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def gate(clock):
    admission_gate = Gate(clock)
    admission_gate.open("i-1", "katalog", 3, 0.0)
    assert admission_gate.limit == 2
    return admission_gate


def make_request(log, *, route="read", priority=1, target_at=110.0, deadline=110.0):
    return AdmissionRequest(route, priority, target_at, deadline, log.append)


def test_runs_up_to_the_slots_then_waits(gate):
    log = []
    for _ in range(3):
        gate.submit(make_request(log), "i-1")
    assert log == [Verdict.RUN, Verdict.RUN]
    assert (gate.running, gate.waiting) == (2, 1)


def test_urgent_goes_first_then_requests_that_can_meet_their_target(gate):
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
    for name, priority, target_at, deadline in waiting:
        request = AdmissionRequest("read", priority, target_at, deadline, lambda verdict: None)
        request.on_decision = lambda verdict, name=name, request=request: (
            order.append(name),
            running.append(request),
        )
        gate.submit(request, "i-1")
    while running:
        gate.release(running.pop(0), True)
    assert order[2:] == ["urgent", "urgent but missed", "soon", "later", "missed"]


def test_burst_makes_some_late_instead_of_all(clock):
    """Load of twice the capacity of two slots; targets of twice the run time."""
    gate = Gate(clock)
    gate.open("i-1", "katalog", 3, 0.0)
    gate.local_instance.concurrency_limit._last_trial_at = clock.now()
    ends, in_target = [], 0
    for step in range(400):
        now = clock.now()
        for end_at, request in [end for end in ends if end[0] <= now + 1e-9]:
            ends.remove((end_at, request))
            gate.release(request, True)
            in_target += end_at <= request.target_at + 1e-9
        if step < 300 and step % 3 != 0:
            request = AdmissionRequest("read", 1, now + 0.2, now + 2.0, lambda verdict: None)
            request.on_decision = lambda verdict, request=request: (
                ends.append((clock.now() + 0.1, request)) if verdict is Verdict.RUN else None
            )
            gate.submit(request, "i-1")
        clock.advance(0.025)
    capacity = 2 * 300 * 0.025 / 0.1
    assert in_target > 0.8 * capacity


def test_request_that_cannot_finish_in_time_is_refused_at_once(gate, clock):
    log = []
    runs = [make_request(log), make_request(log)]
    for request in runs:
        gate.submit(request, "i-1")
    clock.advance(4.0)
    for request in runs:
        gate.release(request, True)
    log.clear()
    for _ in range(2):
        gate.submit(make_request(log, deadline=200.0), "i-1")
    gate.submit(make_request(log, deadline=104.5), "i-1")
    assert log == [Verdict.RUN, Verdict.RUN, Verdict.TOO_LATE]


def test_queue_is_bounded(gate):
    log = []
    for _ in range(40):
        gate.submit(make_request(log, deadline=1_000.0), "i-1")
    assert log.count(Verdict.FULL) == 40 - 2 - 9


def test_leaving_instance_refuses_queued_and_new_requests(gate):
    log = []
    for _ in range(3):
        gate.submit(make_request(log), "i-1")
    gate.close()
    gate.submit(make_request(log), "i-1")
    assert log == [Verdict.RUN, Verdict.RUN, Verdict.CLOSED, Verdict.CLOSED]
    assert not gate.load().open


def test_another_instance_gets_no_request_meant_for_the_first(gate):
    log = []
    for _ in range(3):
        gate.submit(make_request(log), "i-1")
    gate.open("i-2", "katalog", 3, 0.0)
    gate.submit(make_request(log), "i-1")
    assert log[2:] == [Verdict.WRONG_INSTANCE, Verdict.WRONG_INSTANCE]


def test_slow_host_declines_declinable_requests(gate, clock):
    gate.record_load(LoadFigures(1, 0, 3, 5.0))
    log = []
    declinable = make_request(log)
    declinable.decline_if_slow = True
    gate.submit(declinable, "i-1")
    gate.submit(make_request(log), "i-1")
    clock.advance(0.5)
    gate.submit(declinable, "i-1")
    assert log == [Verdict.SLOW, Verdict.RUN, Verdict.RUN]


def test_queued_request_is_declined_if_the_host_became_slow(gate, clock):
    log, running = [], [make_request([]), make_request([])]
    for request in running:
        gate.submit(request, "i-1")
    declinable, not_declinable = make_request(log), make_request(log)
    declinable.decline_if_slow = True
    gate.submit(declinable, "i-1")
    gate.submit(not_declinable, "i-1")
    gate.record_load(LoadFigures(2, 0, 3, 5.0))
    gate.release(running[0], True)
    assert log == [Verdict.SLOW, Verdict.RUN]


def test_full_instance_declines_requests_that_have_capacity_elsewhere(gate):
    log = []
    for _ in range(3):
        gate.submit(make_request([]), "i-1")
    declinable = make_request(log)
    declinable.decline_if_full = True
    gate.submit(declinable, "i-1")
    gate.submit(make_request(log), "i-1")
    assert log == [Verdict.BUSY]
    assert gate.waiting == 2


def test_unresponsive_host_declines_declinable_requests(gate):
    log = []
    declinable, not_declinable = make_request(log), make_request(log)
    declinable.decline_if_slow = True
    gate.submit(declinable, "i-1", host_unresponsive=True)
    gate.submit(not_declinable, "i-1", host_unresponsive=True)
    assert log == [Verdict.SLOW, Verdict.RUN]


def test_requests_beyond_the_rate_limit_wait_for_it(gate, clock):
    log, delays = [], []
    gate.on_rate_wait = delays.append
    gate.record_rate_limit(2.0)
    for _ in range(2):
        gate.submit(make_request(log), "i-1")
    assert (log, gate.waiting, delays[0]) == ([], 2, 0.5)
    clock.advance(0.5)
    gate.start_queued()
    assert (log, gate.waiting) == ([Verdict.RUN], 1)
    gate.record_rate_limit(math.inf)
    assert log == [Verdict.RUN, Verdict.RUN]


def test_requests_that_the_rate_limit_admits_too_late_are_refused_at_once(gate, clock):
    log = []
    gate.record_rate_limit(2.0)
    now = clock.now()
    gate.submit(make_request(log, target_at=now + 0.2, deadline=now + 0.3), "i-1")
    assert log == [Verdict.LIMITED]
    declinable = make_request(log)
    declinable.decline_if_full = True
    gate.submit(declinable, "i-1")
    assert log[1:] == [Verdict.BUSY]


def test_rate_limit_of_an_instance_does_not_hold_for_the_next(gate):
    log = []
    gate.record_rate_limit(0.0)
    gate.open("i-2", "katalog", 3, 0.0)
    gate.submit(make_request(log), "i-2")
    assert log == [Verdict.RUN]


def test_instance_gets_few_requests_before_its_first_response(clock):
    gate, log = Gate(clock), []
    gate.open("i-1", "katalog", 18, 0.0)
    for _ in range(10):
        gate.submit(make_request(log), "i-1")
    assert len(log) == 4
    gate.record_rate_limit(math.inf)
    assert log == [Verdict.RUN] * 10


def test_urgent_calls_find_a_slot_among_long_runs(clock):
    """Long runs of low priority fill an instance while short urgent calls keep arriving."""
    gate = Gate(clock)
    gate.open("i-1", "katalog", 10, 0.0)
    ends, waits = [], []
    for step in range(4_000):
        now = clock.now()
        for end_at, request in [end for end in ends if end[0] <= now + 1e-9]:
            ends.remove((end_at, request))
            gate.release(request, True)
        urgent = step % 4 == 0
        priority, run_s = (1, 0.02) if urgent else (2, 0.4)
        request = AdmissionRequest(
            f"priority {priority}", priority, now + 0.1, now + 2.0, lambda verdict: None
        )

        def on_decision(verdict, request=request, run_s=run_s, now=now, urgent=urgent):
            if verdict is Verdict.RUN:
                ends.append((clock.now() + run_s, request))
            if urgent:
                waits.append(clock.now() - now if verdict is Verdict.RUN else 1.0)

        request.on_decision = on_decision
        gate.submit(request, "i-1")
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
def test_load_header_is_parsed_or_rejected(text, figures):
    assert read_load(text) == figures


class GateMachine(RuleBasedStateMachine):
    """Random requests, completions and restarts: counts are exact, verdicts are given once."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(0.0)
        self.gate = Gate(self.clock)
        self.incarnation = 0
        self.submitted = []
        self.verdicts = {}
        self.running = []
        self.limited_at = 0.0
        self.started_since_limited = 0
        self.open_again()

    def open_again(self):
        self.incarnation += 1
        self.limited_at, self.started_since_limited = self.clock.now(), 0
        self.gate.open(f"i-{self.incarnation}", "katalog", 3, 0.0)

    @rule(priority=st.integers(0, 3), left_s=st.floats(0.001, 3), stale=st.booleans())
    def submit(self, priority, left_s, stale):
        number = len(self.submitted)

        def on_decision(verdict):
            assert number not in self.verdicts
            self.verdicts[number] = verdict
            if verdict is Verdict.RUN:
                assert self.gate.is_open
                self.running.append(request)
                self.started_since_limited += 1

        now = self.clock.now()
        request = AdmissionRequest("read", priority, now + left_s / 2, now + left_s, on_decision)
        self.submitted.append(request)
        self.gate.submit(request, f"i-{self.incarnation - stale}")
        if stale:
            assert self.verdicts[number] is not Verdict.RUN

    @precondition(lambda self: self.running)
    @rule(data=st.data(), ran=st.booleans())
    def finish(self, data, ran):
        index = data.draw(st.integers(0, len(self.running) - 1))
        self.gate.release(self.running.pop(index), ran)

    @precondition(lambda self: any(request.queued for request in self.submitted))
    @rule()
    def cancel(self):
        waiting = next(request for request in self.submitted if request.queued)
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
        self.gate.start_queued()

    @rule(per_s=st.sampled_from((math.inf, 0.0, 0.3, 2.0, 20.0)))
    def name_a_rate_limit(self, per_s):
        if per_s != self.gate.local_instance.rate_limit.per_s:
            self.limited_at, self.started_since_limited = self.clock.now(), 0
        self.gate.record_rate_limit(per_s)

    @invariant()
    def starts_stay_within_the_rate_limit(self):
        per_s = self.gate.local_instance.rate_limit.per_s
        if math.isfinite(per_s):
            elapsed_s = self.clock.now() - self.limited_at
            assert self.started_since_limited <= per_s * elapsed_s + burst_of(per_s) + 1e-6

    @invariant()
    def counts_are_exact(self):
        assert self.gate.running == len(self.running)
        assert self.gate.waiting == sum(request.queued for request in self.submitted)

    @invariant()
    def running_stays_within_the_slots_of_all_incarnations(self):
        assert self.gate.running <= 3 * self.incarnation


GateMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
test_gate_machine = GateMachine.TestCase


def run_for(gate, clock, seconds, count=1):
    """Run requests one after the other; each is answered."""
    for _ in range(count):
        request = make_request([])
        gate.submit(request, "i-1")
        clock.advance(seconds)
        gate.record_answered()
        gate.release(request, True)


def break_runs(gate, clock, after_s, count):
    """Start requests one after the other; return the verdicts. The connection of each breaks."""
    log = []
    for _ in range(count):
        request = make_request(log)
        gate.submit(request, "i-1")
        if log[-1] is Verdict.RUN:
            clock.advance(after_s)
            gate.record_broken(request)
            gate.release(request, False)
    return log


# Load pattern: an instance that resets connections at once looks idle, so it draws the requests of
# its whole service, in particular while the others are full.
def test_instance_that_resets_connections_at_once_is_ejected(gate, clock):
    pauses = []
    gate.on_ejected = pauses.append
    run_for(gate, clock, 0.2)
    verdicts = break_runs(gate, clock, 0.001, 10)
    assert verdicts == [Verdict.RUN] * 3 + [Verdict.CLOSED] * 7
    assert not gate.load().open
    assert len(pauses) == 1 and 0 < pauses[0] < 0.5


def test_ejected_instance_gets_one_request_at_a_time_until_it_answers(gate, clock):
    pauses, log = [], []
    gate.on_ejected = pauses.append
    run_for(gate, clock, 0.2)
    break_runs(gate, clock, 0.001, 3)
    clock.advance(pauses[0])
    gate.end_ejection(responds=False)
    assert not gate.load().open and pauses[1] > pauses[0]
    clock.advance(pauses[1])
    gate.end_ejection(responds=True)
    assert (gate.load().open, gate.load().limit) == (True, 1)
    first, second = make_request(log), make_request(log)
    gate.submit(first, "i-1")
    gate.submit(second, "i-1")
    assert log == [Verdict.RUN]
    for request in (first, second):
        clock.advance(0.2)
        gate.record_answered()
        gate.release(request, True)
    assert (gate.load().limit, log) == (2, [Verdict.RUN] * 2)


def test_instance_that_breaks_in_its_trial_is_ejected_for_longer(gate, clock):
    pauses = []
    gate.on_ejected = pauses.append
    run_for(gate, clock, 0.2)
    break_runs(gate, clock, 0.001, 3)
    gate.end_ejection(responds=True)
    assert break_runs(gate, clock, 0.001, 2) == [Verdict.RUN, Verdict.CLOSED]
    assert pauses[1] > pauses[0]


def test_queued_requests_of_an_ejected_instance_are_refused_as_not_run(gate, clock):
    run_for(gate, clock, 0.2)
    running, log = [make_request([]) for _ in range(2)], []
    for request in running:
        gate.submit(request, "i-1")
    gate.submit(make_request(log), "i-1")
    for request in running:
        gate.record_broken(request)
    gate.record_broken(running[0])
    assert log == [Verdict.CLOSED]


@pytest.mark.parametrize("after_s", [0.15, 0.2])
def test_answers_that_are_lost_after_the_work_eject_no_instance(gate, clock, after_s):
    run_for(gate, clock, 0.2)
    assert break_runs(gate, clock, after_s, 10) == [Verdict.RUN] * 10


def test_single_broken_connections_eject_no_instance(gate, clock):
    run_for(gate, clock, 0.2)
    for _ in range(10):
        assert break_runs(gate, clock, 0.001, 2) == [Verdict.RUN] * 2
        run_for(gate, clock, 0.2, count=6)


def test_another_instance_at_the_gate_is_not_ejected(gate, clock):
    run_for(gate, clock, 0.2)
    break_runs(gate, clock, 0.001, 3)
    gate.open("i-2", "katalog", 3, 0.0)
    assert gate.load().open


def test_runs_that_started_in_an_unreported_slow_period_are_notified(gate, clock):
    notified = []
    before, within = make_request([]), make_request([])
    before.on_slow_start = lambda: notified.append("before")
    within.on_slow_start = lambda: notified.append("within")
    gate.submit(before, "i-1")
    clock.advance(0.01)
    gate.record_load(LoadFigures(1, 0, 3, 1.0))
    clock.advance(0.01)
    gate.submit(within, "i-1")
    clock.advance(0.01)
    gate.record_load(LoadFigures(2, 0, 3, 5.0))
    gate.record_load(LoadFigures(2, 0, 3, 5.0))
    assert notified == ["within"]
