"""Tests of the slowdown estimate from load reports."""

from __future__ import annotations

import random

import pytest

from peridottrack.slowdown import (
    MAX_SLOW_PERIOD_S,
    MIN_SLOW_PERIOD_S,
    SLOWDOWN_THRESHOLD,
    SlowdownEstimator,
    expected_slowdown,
)


@pytest.mark.parametrize(
    ("last", "age_s", "expected"),
    [(5.0, 0.0, 5.0), (5.0, 0.05, 3.5), (5.0, 0.1, 2.0), (1.0, 0.05, 1.5), (1.0, 9.0, 2.0)],
)
def test_last_report_decays_to_the_mean(last, age_s, expected):
    assert expected_slowdown(last, 2.0, age_s, 0.1) == pytest.approx(expected)


def test_change_of_state_is_returned_once():
    estimator = SlowdownEstimator()
    reports = [(1.0, 0.0), (5.0, 0.1), (4.0, 0.15), (1.0, 0.2), (1.0, 0.3)]
    assert [estimator.record(factor, at) for factor, at in reports] == [
        False,
        True,
        False,
        True,
        False,
    ]


def test_is_slow_only_while_the_report_is_recent():
    estimator = SlowdownEstimator()
    estimator.record(SLOWDOWN_THRESHOLD, 1.0)
    assert estimator.is_slow(1.0 + estimator.slow_period_s / 3)
    assert not estimator.is_slow(1.0 + estimator.slow_period_s)


@pytest.mark.parametrize("length_s", [0.05, 0.4, 2.0])
def test_length_of_slow_periods_is_learnt(length_s):
    estimator, now, rng = SlowdownEstimator(), 0.0, random.Random(1)
    for _ in range(100):
        estimator.record(4.0, now)
        now += length_s * (0.8 + 0.4 * rng.random())
        estimator.record(1.0, now)
        now += 1.0
    assert estimator.slow_period_s == pytest.approx(length_s, rel=0.2)
    assert MIN_SLOW_PERIOD_S <= estimator.slow_period_s <= MAX_SLOW_PERIOD_S


def test_choice_by_estimate_starts_fewer_slow_runs_than_by_the_last_report():
    """Hosts are slow in a quarter of all 150 ms periods; reports arrive every 10 to 120 ms."""
    rng = random.Random(5)
    hosts = [SlowdownEstimator() for _ in range(3)]
    slow = [False] * 3
    next_report_at = [0.0] * 3
    slow_starts = {"estimate": 0, "last": 0}
    for step in range(60_000):
        now = step / 1_000
        if step % 150 == 0:
            slow = [rng.random() < 0.25 for _ in hosts]
        for index, host in enumerate(hosts):
            if now >= next_report_at[index]:
                host.record(5.0 if slow[index] else 1.0, now)
                next_report_at[index] = now + 0.01 + 0.11 * rng.random()
        if step % 10 == 0:
            by_estimate = min(range(3), key=lambda one: hosts[one].expected(now))
            by_last = min(range(3), key=lambda one: (hosts[one].last, rng.random()))
            slow_starts["estimate"] += slow[by_estimate]
            slow_starts["last"] += slow[by_last]
    assert slow_starts["estimate"] < 0.85 * slow_starts["last"]
