"""Instance selection: fast failures, ejection, hedges, limits, budgets and the queue."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from helpers import make_instance
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridottrack.balancer import AttemptResult, Balancer
from peridottrack.bucket import LoadReportBudget, TokenBucket
from peridottrack.clock import ManualClock
from peridottrack.distance import Distances
from peridottrack.document import ServiceConfig
from peridottrack.ejection import EjectionState, ejections_allowed
from peridottrack.instanceview import ReportedSlowness
from peridottrack.limiter import AdaptiveLimit, DeadlineQueue
from peridottrack.poison import QUARANTINE_S, PoisonList, fingerprint
from peridottrack.retry import RESERVE, RetryBudget, backoff_s
from peridottrack.slowness import LATE_S, SlownessDetector
from peridottrack.subset import choose_subset
from peridottrack.types import FailureDomain, InstanceId, NodeId

STEPS = settings(
    max_examples=60,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def balancer(clock):
    made = Balancer(clock, random.Random(1), ServiceConfig())
    made.set_instances([make_instance(number) for number in range(3)], callers=3)
    return made


def run_calls(balancer, clock, latency_s_by_id, count, result=AttemptResult.OK):
    """Run calls one after another; return how many each instance got."""
    chosen = Counter()
    for _ in range(count):
        attempt = balancer.begin()
        instance_id = attempt.instance.instance_id
        chosen[instance_id] += 1
        clock.advance(latency_s_by_id.get(instance_id, 0.02))
        failing = result if instance_id not in latency_s_by_id else AttemptResult.OK
        balancer.end(attempt, failing)
    return chosen


def test_instance_that_fails_fast_gets_few_calls(balancer, clock):
    latency_s = {"katalog-1": 0.02, "katalog-2": 0.02}
    chosen = Counter()
    for _ in range(300):
        attempt = balancer.begin()
        instance_id = attempt.instance.instance_id
        chosen[instance_id] += 1
        clock.advance(latency_s.get(instance_id, 0.0005))
        balancer.end(attempt, AttemptResult.OK if instance_id in latency_s else AttemptResult.ERROR)
    assert chosen["katalog-0"] < 15


def test_instance_that_sheds_at_once_gets_few_calls(balancer, clock):
    chosen = Counter()
    for _ in range(300):
        attempt = balancer.begin()
        instance_id = attempt.instance.instance_id
        chosen[instance_id] += 1
        sheds = instance_id == "katalog-0"
        clock.advance(0.001 if sheds else 0.02)
        balancer.end(attempt, AttemptResult.SHED if sheds else AttemptResult.OK)
    assert chosen["katalog-0"] < 25


def test_straggler_is_ejected_and_returns(balancer, clock):
    run_calls(balancer, clock, {}, 60)
    chosen = run_calls(balancer, clock, {"katalog-0": 0.5}, 60)
    assert chosen["katalog-0"] <= 6
    assert balancer.ejected() == ["katalog-0"]
    clock.advance(60)
    run_calls(balancer, clock, {}, 60)
    assert balancer.ejected() == []


def test_only_a_share_is_ejected(balancer, clock):
    for _ in range(200):
        attempt = balancer.begin()
        assert attempt is not None
        clock.advance(0.01)
        balancer.end(attempt, AttemptResult.ERROR)
    assert len(balancer.ejected()) == 1


def test_slowness_report_moves_calls_and_notifies_recent_attempts(balancer, clock):
    run_calls(balancer, clock, {}, 80)
    notified = []
    old = balancer.begin()
    old.on_slow = lambda: notified.append("old")
    clock.advance(0.018)
    young = balancer.begin(
        {other for other in balancer.view_by_id if other != old.instance.instance_id}
    )
    young.on_slow = lambda: notified.append("young")
    now = clock.now()
    balancer.record_slowness(young.instance.instance_id, ReportedSlowness(8.0, now, now + 0.12))
    assert notified == ["young"]
    balancer.end(old, AttemptResult.OK)
    balancer.end(young, AttemptResult.OK)
    chosen = Counter(balancer.begin().instance.instance_id for _ in range(4))
    assert young.instance.instance_id not in chosen


def test_slowness_report_is_ignored_by_short_services(balancer, clock):
    fast = {f"katalog-{number}": 0.003 for number in range(3)}
    run_calls(balancer, clock, fast, 120)
    now = clock.now()
    balancer.record_slowness(InstanceId("katalog-0"), ReportedSlowness(8.0, now, now + 10))
    chosen = run_calls(balancer, clock, fast, 60)
    assert chosen["katalog-0"] > 5


def test_no_hedge_under_load(balancer, clock):
    run_calls(balancer, clock, {}, 60)
    assert balancer.hedge_after_s() is not None
    balancer.callers = 10_000
    assert balancer.hedge_after_s() is None
    assert not balancer.may_hedge([])


def test_new_instance_ramps_up(balancer, clock):
    run_calls(balancer, clock, {}, 30)
    balancer.set_instances([make_instance(number) for number in range(4)], callers=1)
    cold = balancer.view_by_id[InstanceId("katalog-3")]
    others = {instance_id for instance_id in balancer.view_by_id if instance_id != "katalog-3"}
    attempts = []
    while (attempt := balancer.begin(others)) is not None:
        attempts.append(attempt)
    assert len(attempts) <= 0.2 * cold.limit.limit + 1
    clock.advance(10)
    assert balancer.begin(others) is not None


def test_subset_is_balanced_and_stable():
    instances = [make_instance(number, domain=f"d{number % 7}") for number in range(60)]
    nodes = [NodeId(f"10.0.0.{number}:7000") for number in range(200)]
    used = Counter()
    for node in nodes:
        before = choose_subset(node, instances, 12, "d1")
        used.update(instance.instance_id for instance in before)
        after = choose_subset(node, [item for item in instances if item != before[0]], 12, "d1")
        assert len(set(before) - set(after)) == 1
        assert any(instance.domain != "d1" for instance in before)
    far = [count for name, count in used.items() if int(name.split("-")[1]) % 7 != 1]
    assert max(far) < 3 * (sum(far) / len(far))


def test_calls_prefer_the_own_domain_and_spill_over(clock):
    distances = Distances(FailureDomain("a"))
    for _ in range(50):
        distances.record(FailureDomain("a"), 0.0002)
        distances.record(FailureDomain("b"), 0.0032)
    assert distances.cost_s(FailureDomain("a")) == 0
    assert 0.0025 < distances.cost_s(FailureDomain("b")) < 0.0035
    balancer = Balancer(clock, random.Random(1), ServiceConfig(), distances.cost_s)
    near, far = make_instance(0, domain="a"), make_instance(1, domain="b")
    balancer.set_instances([near, far], callers=1)
    # Sequential calls all go to the near instance; concurrent ones spill over before it is full.
    assert run_calls(balancer, clock, {}, 40)[far.instance_id] == 0
    attempts = [balancer.begin() for _ in range(20)]
    chosen = Counter(attempt.instance.instance_id for attempt in attempts)
    assert 0 < chosen[far.instance_id] < chosen[near.instance_id] < near.slots


def test_poison_needs_two_instances_and_expires(clock):
    poison = PoisonList(clock)
    digest = fingerprint("GET", "/x", b"")
    assert not poison.record_local_crash(digest, InstanceId("a"))
    assert not poison.record_local_crash(digest, InstanceId("a"))
    assert poison.record_local_crash(digest, InstanceId("b"))
    assert poison.quarantine_left_s(digest) > 0
    assert poison.quarantine_left_s(fingerprint("GET", "/y", b"")) == 0
    clock.advance(QUARANTINE_S + 1)
    assert poison.quarantine_left_s(digest) == 0


def test_answered_request_is_not_suspect(clock):
    poison = PoisonList(clock)
    poison.record_local_crash("m", InstanceId("a"))
    poison.clear("m")
    assert not poison.record_local_crash("m", InstanceId("b"))


def test_slowness_is_reported_on_change_and_renewed():
    detector = SlownessDetector()
    reported = [detector.sample(LATE_S * 2, step * 0.01) for step in range(20)]
    factors = [change.factor for change in reported if change]
    assert reported[0] is None and reported[1] is not None
    assert 3 <= len(factors) <= 5
    reported = [detector.sample(0.0, 0.2 + step * 0.01) for step in range(10)]
    assert [change.factor for change in reported if change] == [1.0]


def test_queue_is_fair_between_callers(clock):
    queue = DeadlineQueue(clock, 10)
    for _ in range(5):
        queue.push("greedy", 5, 1.0, "g")
    queue.push("modest", 5, 2.0, "m")
    assert [queue.pop().payload for _ in range(3)] == ["g", "m", "g"]


def test_full_queue_drops_the_worst(clock):
    queue = DeadlineQueue(clock, 2)
    assert queue.push("a", 5, 1.0, "first") is None
    assert queue.push("b", 5, 2.0, "second") is None
    assert queue.push("c", 5, 9.0, "late").payload == "late"
    assert queue.push("d", 0, 9.0, "urgent").payload == "second"
    assert [queue.pop().payload, queue.pop().payload] == ["urgent", "first"]


def test_backoff_is_bounded():
    rng = random.Random(1)
    assert all(0 <= backoff_s(attempt, rng) <= 0.25 for attempt in range(2, 30))


class BucketMachine(RuleBasedStateMachine):
    """Buckets never allow more than burst and rate, even if the clock jumps backwards."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.bucket = TokenBucket(self.clock, 10.0, 5.0)
        self.budget = LoadReportBudget(self.clock, 20.0, 3_000.0)
        self.taken = 0.0
        self.forward_s = 0.0
        self.highest_s = 0.0

    @rule(seconds=st.floats(-5, 5))
    def jump(self, seconds):
        self.clock.now_s += seconds
        self.forward_s += max(0.0, seconds)

    @rule(tokens=st.floats(0, 8))
    def take(self, tokens):
        if self.bucket.take(tokens):
            self.taken += tokens

    @rule(size=st.integers(1, 1_400))
    def spend(self, size):
        self.budget.spend(size)

    @invariant()
    def bounded(self):
        assert self.taken <= 5.0 + 10.0 * self.forward_s + 1e-6
        assert self.budget.sent_messages <= 20.0 * (0.5 + self.forward_s) + 1e-6
        assert self.budget.sent_bytes <= 3_000.0 * (0.5 + self.forward_s) + 1e-6


class BalancerMachine(RuleBasedStateMachine):
    """Limits, ejected share and counts hold for any mix of calls, results and changes."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.balancer = Balancer(self.clock, random.Random(3), ServiceConfig())
        self.running = []
        self.change_instances({0, 1, 2})

    @rule(numbers=st.sets(st.integers(0, 5)))
    def change_instances(self, numbers):
        self.balancer.set_instances([make_instance(number) for number in numbers], callers=2)

    @rule(excluded=st.sets(st.integers(0, 5), max_size=2))
    def begin(self, excluded):
        exclude = {InstanceId(f"katalog-{number}") for number in excluded}
        attempt = self.balancer.begin(exclude)
        if attempt is not None:
            assert attempt.instance.instance_id not in exclude
            self.running.append(attempt)

    @rule(index=st.integers(0, 50), result=st.sampled_from(list(AttemptResult)))
    def end(self, index, result):
        if self.running:
            attempt = self.running.pop(index % len(self.running))
            self.balancer.end(attempt, result)
            self.balancer.end(attempt, result)

    @rule(seconds=st.floats(-1, 40))
    def jump(self, seconds):
        self.clock.now_s += seconds

    @rule(number=st.integers(0, 5), factor=st.floats(1, 10))
    def report(self, number, factor):
        now = self.clock.now()
        report = ReportedSlowness(factor, now, now + 0.1)
        self.balancer.record_slowness(InstanceId(f"katalog-{number}"), report)

    @invariant()
    def counts_hold(self):
        out = 0
        for view in self.balancer.view_by_id.values():
            mine = sum(attempt.view is view for attempt in self.running)
            assert view.in_flight == mine
            assert view.limit.limit <= view.limit.ceiling <= view.instance.slots
            out += view.ejection.state is EjectionState.EJECTED
        assert out <= max(1, len(self.balancer.view_by_id) // 2)


class RetryMachine(RuleBasedStateMachine):
    """Extra attempts never exceed the share of calls plus the reserve."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget(0.1, 0.05)
        self.calls = self.retries = self.hedges = 0

    @rule(count=st.integers(1, 30))
    def call(self, count):
        self.calls += count
        for _ in range(count):
            self.budget.record_call()

    @rule()
    def retry(self):
        self.retries += self.budget.take_retry()

    @rule(urgent=st.booleans())
    def hedge(self, urgent):
        self.hedges += self.budget.take_hedge(urgent)

    @invariant()
    def bounded(self):
        assert self.retries + self.hedges <= RESERVE + 0.1 * self.calls + 1e-6
        assert self.hedges <= RESERVE + 0.05 * self.calls + 1e-6


@pytest.mark.parametrize("machine", [BucketMachine, BalancerMachine, RetryMachine])
def test_invariants(machine):
    from hypothesis.stateful import run_state_machine_as_test

    run_state_machine_as_test(machine, settings=STEPS)


def test_limit_shrinks_on_shed_and_grows_in_use():
    limit = AdaptiveLimit(18, 240, 12)
    start = limit.limit
    limit.record_shed(1.0)
    limit.record_shed(1.0)
    assert limit.limit == int(start * 0.85)
    for _ in range(400):
        limit.record_success(limit.limit)
    assert limit.limit == limit.ceiling
    for _ in range(10):
        limit.record_success(0)
    assert limit.limit == limit.ceiling


def test_share_of_ejections():
    assert [ejections_allowed(count, 0.34) for count in (1, 2, 3, 9)] == [0, 1, 1, 3]
