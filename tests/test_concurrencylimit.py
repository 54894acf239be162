"""How many slots are filled, on instances with and without a knee."""

from __future__ import annotations

import random

import pytest

from peridottrack.concurrencylimit import SAMPLES, TRY_AGAIN_S, ConcurrencyLimit, FillState


def run(knee, slots, factor_above, rng, now=0.0):
    """Keep an instance as full as allowed for some runs, with requests waiting."""
    for step in range(4 * SAMPLES):
        knee.wanted(now + step / 100)
        running = knee.limit(slots) - (step % 2) * int(slots * 0.3)
        above = knee.is_above(running, slots)
        relative = rng.lognormvariate(0.0, 0.4) * (factor_above if above else 1.0)
        knee.add(relative, above)


@pytest.mark.parametrize("slots", [5, 12, 18, 100])
@pytest.mark.parametrize("seed", range(5))
def test_all_slots_are_filled_only_where_that_gets_more_done(slots, seed):
    flat, slowing = ConcurrencyLimit(), ConcurrencyLimit()
    run(flat, slots, 1.0, random.Random(seed))
    run(slowing, slots, 1.7, random.Random(seed))
    assert flat.limit(slots) == slots
    assert slowing.limit(slots) == int(slots * 0.8)


def test_few_slots_are_never_none():
    assert [ConcurrencyLimit().limit(slots) for slots in (1, 2, 3)] == [1, 1, 2]


def test_instance_is_tried_again_later():
    knee = ConcurrencyLimit()
    run(knee, 18, 1.7, random.Random(1))
    assert knee.state is FillState.BELOW
    knee.wanted(TRY_AGAIN_S)
    assert knee.state is FillState.BELOW
    knee.wanted(TRY_AGAIN_S * 3)
    assert knee.state is FillState.TRYING
