"""What one node knows of an instance's load, each signal with its age."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from peridottrack.ejection import Ejection
from peridottrack.limiter import AdaptiveLimit
from peridottrack.types import Instance, Random

LATENCY_WEIGHT = 0.15
LATENCY_TRUST_S = 5.0
LOAD_TRUST_S = 1.0
RATE_TRUST_S = 2.0
SHED_PAUSE_SHARE = 0.25
SHED_DOUBLINGS_MAX = 7
WINDOW = 256
RESORT_AFTER = 16
QUANTILE_MIN_SAMPLES = 32
# Of a normal distribution: the 98th percentile is 3 times as far out as the 75th.
UNUSUAL_EXPONENT = 3.0


@dataclass(slots=True)
class ReportedSlowness:
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
class Attempt:
    """One request on its way to one instance.

    Parameters
    ----------
    on_slow
        Called when the instance is said to run slow while it has the request.
    """

    number: int
    view: InstanceView
    started_at: float
    on_slow: Callable[[], object] | None = None

    @property
    def instance(self) -> Instance:
        """The instance that was chosen."""
        return self.view.instance


@dataclass(slots=True)
class InstanceView:
    """The signals of one instance in one node.

    Parameters
    ----------
    cold
        Whether it still ramps up.
    used_since_report
        Whether it got a call since its load was reported last.
    paused_until
        Local time before which it gets nothing, since it refused.
    """

    instance: Instance
    limit: AdaptiveLimit
    ejection: Ejection
    added_at: float
    cold: bool = False
    used_since_report: bool = False
    in_flight: int = 0
    attempt_by_number: dict[int, Attempt] = field(default_factory=dict)
    latency_s: float | None = None
    latency_at: float = 0.0
    others_in_flight: float = 0.0
    others_at: float = float("-inf")
    slowness: ReportedSlowness = field(default_factory=ReportedSlowness)
    sheds_in_a_row: int = 0
    paused_until: float = float("-inf")

    def pause_after_shed(self, usual_s: float, now: float, rng: Random) -> None:
        """Send nothing for a moment, longer with each refusal in a row.

        Otherwise an instance that refuses at once, and so has nothing in flight, would draw the
        calls. A fast service gets over a full queue sooner, so its pauses are shorter.
        """
        doublings = min(self.sheds_in_a_row, SHED_DOUBLINGS_MAX)
        self.sheds_in_a_row += 1
        pause_s = SHED_PAUSE_SHARE * usual_s * 2.0**doublings
        self.paused_until = now + pause_s * (0.5 + rng.random())

    def oldest_age_s(self, now: float) -> float:
        """Return how long the oldest request in flight has run."""
        for attempt in self.attempt_by_number.values():
            return now - attempt.started_at
        return 0.0

    def record_latency(self, latency_s: float, now: float) -> None:
        """Take in the latency of a good answer."""
        self.sheds_in_a_row = 0
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

    def tail_latency_s(self) -> float | None:
        """Return a latency that few calls exceed while nothing is wrong.

        It is drawn from the middle of the distribution, as for a logarithmic normal one, since
        the upper end holds the very troubles that it should tell apart.
        """
        median_s = self.quantile(0.5)
        upper_s = self.quantile(0.75)
        if median_s is None or upper_s is None:
            return None
        return median_s * (upper_s / median_s) ** UNUSUAL_EXPONENT


class Rate:
    """Calls a second, averaged over the last seconds."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at: float | None = None
        self._began_at = 0.0

    def add(self, now: float) -> None:
        """Count one call."""
        if self._counted_at is None:
            self._counted_at = self._began_at = now
        self._count = self._decayed(now) + 1.0
        self._counted_at = now

    def per_s(self, now: float) -> float:
        """Return the rate."""
        if self._counted_at is None:
            return 0.0
        # In the first seconds the window is not full yet.
        window_s = RATE_TRUST_S * (1.0 - math.exp((self._began_at - now) / RATE_TRUST_S))
        return self._decayed(now) / max(window_s, 0.05)

    def _decayed(self, now: float) -> float:
        assert self._counted_at is not None
        return self._count * math.exp((self._counted_at - now) / RATE_TRUST_S)


def new_view(instance: Instance, callers: int, now: float, cold: bool, rng: Random) -> InstanceView:
    """Make the view of an instance of which nothing is known yet."""
    limit = AdaptiveLimit(instance.slots, instance.connections, callers)
    return InstanceView(instance, limit, Ejection(rng), now, cold)
