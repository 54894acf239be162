"""What one node knows of an instance's load, each signal with its age."""

from __future__ import annotations

import bisect
import math
from collections import deque
from dataclasses import dataclass, field

from peridottrack.ejection import Ejection
from peridottrack.limiter import AdaptiveLimit
from peridottrack.types import Instance, Random

LATENCY_WEIGHT = 0.15
LATENCY_TRUST_S = 5.0
LOAD_TRUST_S = 1.0
CONCURRENCY_TRUST_S = 0.3
WINDOW = 256
RESORT_AFTER = 16
QUANTILE_MIN_SAMPLES = 32


@dataclass(slots=True)
class SlowNews:
    """Word from the node beside an instance that its host runs slow.

    Parameters
    ----------
    factor
        How much longer work takes than usual; 1 when it is well.
    since
        Local time from which it holds.
    until
        Local time after which it counts for nothing unless renewed.
    """

    factor: float = 1.0
    since: float = 0.0
    until: float = 0.0

    def factor_at(self, now: float) -> float:
        """Return the factor that holds now."""
        return self.factor if now < self.until else 1.0


@dataclass(slots=True)
class InstanceView:
    """The signals of one instance in one node.

    Parameters
    ----------
    cold
        Whether it still ramps up.
    used
        Whether it got a call since its load was reported last.
    """

    instance: Instance
    limit: AdaptiveLimit
    ejection: Ejection
    added_at: float
    cold: bool = False
    used: bool = False
    in_flight: int = 0
    started_at_by_attempt: dict[int, float] = field(default_factory=dict)
    latency_s: float | None = None
    latency_at: float = 0.0
    others_in_flight: float = 0.0
    others_at: float = float("-inf")
    slow: SlowNews = field(default_factory=SlowNews)

    def observe(self, latency_s: float, now: float) -> None:
        """Take in the latency of a good answer."""
        self.latency_at = now
        if self.latency_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def latency_estimate_s(self, usual_s: float, now: float) -> float:
        """Return the expected latency, which falls back to the usual as its evidence ages."""
        if self.latency_s is None:
            return usual_s
        trust = math.exp((self.latency_at - now) / LATENCY_TRUST_S)
        return usual_s + trust * (self.latency_s - usual_s)

    def total_in_flight(self, now: float) -> float:
        """Return own requests plus those of others, the latter trusted less with age."""
        trust = math.exp((self.others_at - now) / LOAD_TRUST_S)
        return self.in_flight + trust * self.others_in_flight

    def oldest_age_s(self, now: float) -> float:
        """Return how long the oldest request in flight has run."""
        for started_at in self.started_at_by_attempt.values():
            return now - started_at
        return 0.0


class LatencyWindow:
    """Quantiles of the last latencies of a service."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=WINDOW)
        self._sorted: list[float] = []
        self._stale = 0

    def add(self, latency_s: float) -> None:
        """Take in one latency."""
        self._recent.append(latency_s)
        self._stale += 1

    def quantile(self, share: float) -> float | None:
        """Return a quantile, None before there are enough samples."""
        if len(self._recent) < QUANTILE_MIN_SAMPLES:
            return None
        if self._stale >= RESORT_AFTER or not self._sorted:
            self._sorted = sorted(self._recent)
            self._stale = 0
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]

    def share_above(self, latency_s: float) -> float:
        """Return the share of samples above a latency."""
        if not self._sorted:
            return 0.0
        return 1.0 - bisect.bisect_right(self._sorted, latency_s) / len(self._sorted)


class Concurrency:
    """The smoothed number of requests in flight."""

    def __init__(self) -> None:
        self._value = 0.0
        self._changed_at: float | None = None
        self._level = 0

    def changed(self, level: int, now: float) -> None:
        """Note that the number in flight is ``level`` from now on."""
        self._value = self.value(now)
        self._changed_at = now
        self._level = level

    def value(self, now: float) -> float:
        """Return the smoothed number."""
        if self._changed_at is None:
            return 0.0
        keep = math.exp((self._changed_at - now) / CONCURRENCY_TRUST_S)
        return self._level + keep * (self._value - self._level)


def new_view(instance: Instance, callers: int, now: float, cold: bool, rng: Random) -> InstanceView:
    """Make the view of an instance of which nothing is known yet."""
    limit = AdaptiveLimit(instance.slots, instance.connections, callers)
    return InstanceView(instance, limit, Ejection(rng), now, cold)
