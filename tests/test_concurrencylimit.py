"""Tests of the concurrency limit, on instances that do and do not slow down when nearly full."""

from __future__ import annotations

import random

import pytest

from peridottrack.concurrencylimit import MIN_SAMPLES, TRIAL_PAUSE_S, ConcurrencyLimit, LimitState


def run(limit, slots, factor_above, rng, now=0.0):
    """Run requests up to the limit, with further requests queued."""
    for step in range(4 * MIN_SAMPLES):
        limit.record_queued(now + step / 100)
        running = limit.limit(slots) - (step % 2) * int(slots * 0.3)
        above = limit.exceeds_initial(running, slots)
        relative = rng.lognormvariate(0.0, 0.4) * (factor_above if above else 1.0)
        limit.add(relative, above)


@pytest.mark.parametrize("slots", [5, 12, 18, 100])
@pytest.mark.parametrize("seed", range(5))
def test_all_slots_are_used_only_if_throughput_grows(slots, seed):
    flat, slowing = ConcurrencyLimit(), ConcurrencyLimit()
    run(flat, slots, 1.0, random.Random(seed))
    run(slowing, slots, 1.7, random.Random(seed))
    assert flat.limit(slots) == slots
    assert slowing.limit(slots) == int(slots * 0.8)


def test_limit_of_few_slots_is_at_least_one():
    assert [ConcurrencyLimit().limit(slots) for slots in (1, 2, 3)] == [1, 1, 2]


def test_failed_trial_is_repeated_after_a_pause():
    limit = ConcurrencyLimit()
    run(limit, 18, 1.7, random.Random(1))
    assert limit.state is LimitState.BELOW
    limit.record_queued(TRIAL_PAUSE_S)
    assert limit.state is LimitState.BELOW
    limit.record_queued(TRIAL_PAUSE_S * 3)
    assert limit.state is LimitState.TRYING
