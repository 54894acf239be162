"""Belief in what hosts say of their speed."""

from __future__ import annotations

import random

import pytest

from peridottrack.slowdown import (
    MAX_SPELL_S,
    MIN_SPELL_S,
    SLOWDOWN_THRESHOLD,
    SlowdownEstimator,
    expected_slowdown,
)


@pytest.mark.parametrize(
    ("last", "age_s", "expected"),
    [(5.0, 0.0, 5.0), (5.0, 0.05, 3.5), (5.0, 0.1, 2.0), (1.0, 0.05, 1.5), (1.0, 9.0, 2.0)],
)
def test_last_word_gives_way_to_the_mean(last, age_s, expected):
    assert expected_slowdown(last, 2.0, age_s, 0.1) == pytest.approx(expected)


def test_turns_are_told_once():
    spells = SlowdownEstimator()
    words = [(1.0, 0.0), (5.0, 0.1), (4.0, 0.15), (1.0, 0.2), (1.0, 0.3)]
    assert [spells.hear(factor, at) for factor, at in words] == [False, True, False, True, False]


def test_surely_slow_only_while_fresh():
    spells = SlowdownEstimator()
    spells.hear(SLOWDOWN_THRESHOLD, 1.0)
    assert spells.surely_slow(1.0 + spells.spell_s / 3)
    assert not spells.surely_slow(1.0 + spells.spell_s)


@pytest.mark.parametrize("length_s", [0.05, 0.4, 2.0])
def test_length_of_spells_is_learnt(length_s):
    spells, now, rng = SlowdownEstimator(), 0.0, random.Random(1)
    for _ in range(100):
        spells.hear(4.0, now)
        now += length_s * (0.8 + 0.4 * rng.random())
        spells.hear(1.0, now)
        now += 1.0
    assert spells.spell_s == pytest.approx(length_s, rel=0.2)
    assert MIN_SPELL_S <= spells.spell_s <= MAX_SPELL_S


def test_choice_by_belief_meets_fewer_slow_starts_than_by_the_last_word():
    """Spells of 150 ms in a quarter of the time, words that come every 10 to 120 ms."""
    rng = random.Random(5)
    hosts = [SlowdownEstimator() for _ in range(3)]
    slow = [False] * 3
    word_at = [0.0] * 3
    met = {"belief": 0, "last": 0}
    for step in range(60_000):
        now = step / 1_000
        if step % 150 == 0:
            slow = [rng.random() < 0.25 for _ in hosts]
        for index, host in enumerate(hosts):
            if now >= word_at[index]:
                host.hear(5.0 if slow[index] else 1.0, now)
                word_at[index] = now + 0.01 + 0.11 * rng.random()
        if step % 10 == 0:
            by_belief = min(range(3), key=lambda one: hosts[one].expected(now))
            by_last = min(range(3), key=lambda one: (hosts[one].last, rng.random()))
            met["belief"] += slow[by_belief]
            met["last"] += slow[by_last]
    assert met["belief"] < 0.85 * met["last"]
