"""The faults of a run, drawn from its seed before the run starts."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

GAP_S = (0.1, 1.5)
"""Bounds of the pause before the next fault; shorter than a fault, so that faults overlap."""


@dataclass(frozen=True)
class PlannedFault:
    """A fault that a run will inject.

    Parameters
    ----------
    at_s
        Seconds after the start of the injection.
    kind
        Name of the fault.
    seed
        Seed of all that the fault draws, such as its host and duration.
    """

    at_s: float
    kind: str
    seed: float


def plan_faults(rng: random.Random, kinds: Sequence[str], seconds: float) -> list[PlannedFault]:
    """Draw the faults of a run.

    Faults come in rounds. A round has each entry of ``kinds`` once, in random order, so that a
    run that is longer than a round injects each kind.
    """
    deck = _deal(rng, kinds)
    plan = []
    at_s = rng.uniform(*GAP_S)
    while at_s < seconds:
        plan.append(PlannedFault(at_s, next(deck), rng.random()))
        at_s += rng.uniform(*GAP_S)
    return plan


def _deal(rng: random.Random, kinds: Sequence[str]) -> Iterator[str]:
    while True:
        yield from rng.sample(kinds, len(kinds))
