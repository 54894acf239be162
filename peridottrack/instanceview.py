"""One node's view of an instance: its load signals, which lose weight with age."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from peridottrack.ejection import Ejection
from peridottrack.limiter import AdaptiveLimit
from peridottrack.ratelimit import RateLimit, share_of
from peridottrack.types import Clock, Instance, Random

LATENCY_WEIGHT = 0.15
"""Weight of a new sample in the moving average of an instance's latency."""
LATENCY_DECAY_S = 5.0
"""Time constant with which an instance's latency decays to the service's median."""
LOAD_DECAY_S = 1.0
"""Time constant with which the reported load of other nodes decays."""
RATE_DECAY_S = 2.0
"""Time constant of the call rate."""
SHED_PAUSE_SHARE = 0.25
"""First pause after a shed call, as a share of the median latency."""
MAX_SHED_DOUBLINGS = 7
"""Most times that the pause after a shed call is doubled."""
WINDOW_SIZE = 256
"""Number of latencies in a `LatencyWindow`."""
RESORT_INTERVAL = 16
"""Number of new latencies after which the quantiles are computed again."""
QUANTILE_MIN_SAMPLES = 32
"""Number of latencies below which no quantile is returned."""
TAIL_EXPONENT = 3.0
"""In a normal distribution the 98th percentile is 3 times as far from the median as the 75th."""


@dataclass(slots=True)
class ReportedSlowness:
    """How slow the host of an instance is, as the instance's local node reported it.

    Parameters
    ----------
    factor
        Run time relative to normal; 1 at normal speed.
    since
        Local time from which the report holds.
    until
        Local time at which the report expires unless it is renewed.
    """

    factor: float = 1.0
    since: float = 0.0
    until: float = 0.0

    def factor_at(self, now: float) -> float:
        """Return the factor that holds at a time."""
        return self.factor if now < self.until else 1.0


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request on one instance.

    Parameters
    ----------
    on_slow
        Called when the instance is reported slow while the attempt is in flight.
    """

    number: int
    view: InstanceView
    started_at: float
    on_slow: Callable[[], object] | None = None

    @property
    def instance(self) -> Instance:
        """The chosen instance."""
        return self.view.instance


@dataclass(slots=True)
class InstanceView:
    """The signals that one node has of one instance.

    Parameters
    ----------
    cold
        Whether the instance is still ramping up.
    used_since_report
        Whether the instance got a call since the last load report about it.
    paused_until
        Local time before which the instance gets no calls, because it shed one.
    rate_limit
        This node's share of the rate limit that the instance names.
    named_rate_limit
        Requests a second that the instance takes from all nodes together, infinite for no limit.
    leaving_until
        Local time before which the instance gets no calls, because it said that it leaves.
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
    rate_limit: RateLimit = field(kw_only=True)
    named_rate_limit: float = math.inf
    leaving_until: float = float("-inf")

    def set_rate_limit(self, per_s: float, callers: int) -> None:
        """Set the limit that the instance names, and the number of nodes that share it."""
        self.named_rate_limit = per_s
        self.rate_limit.set(share_of(per_s, callers) if math.isfinite(per_s) else math.inf)

    def pause_after_shed(self, median_s: float, now: float, rng: Random) -> None:
        """Pause calls to the instance, for twice as long with each consecutive rejection.

        Without the pause, an instance that rejects at once, and so has nothing in flight, would
        attract calls. A fast service drains a full queue sooner, so its pauses are shorter.
        """
        doublings = min(self.sheds_in_a_row, MAX_SHED_DOUBLINGS)
        self.sheds_in_a_row += 1
        pause_s = SHED_PAUSE_SHARE * median_s * 2.0**doublings
        self.paused_until = now + pause_s * (0.5 + rng.random())

    def oldest_age_s(self, now: float) -> float:
        """Return the age of the oldest request in flight, 0 if there is none."""
        for attempt in self.attempt_by_number.values():
            return now - attempt.started_at
        return 0.0

    def record_latency(self, latency_s: float, now: float) -> None:
        """Record the latency of an attempt that was not shed."""
        self.sheds_in_a_row = 0
        self.latency_at = now
        if self.latency_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def latency_estimate_s(self, median_s: float, now: float) -> float:
        """Return the expected latency, which decays to the service's median as it ages."""
        if self.latency_s is None:
            return median_s
        weight = math.exp((self.latency_at - now) / LATENCY_DECAY_S)
        return median_s + weight * (self.latency_s - median_s)

    def total_in_flight(self, now: float) -> float:
        """Return this node's requests plus those of other nodes, the latter decayed by age."""
        weight = math.exp((self.others_at - now) / LOAD_DECAY_S)
        return self.in_flight + weight * self.others_in_flight


class LatencyWindow:
    """Quantiles of the most recent latencies of a service."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=WINDOW_SIZE)
        self._sorted: list[float] = []
        self._added_since_sort = 0

    def add(self, latency_s: float) -> None:
        """Add one latency."""
        self._recent.append(latency_s)
        self._added_since_sort += 1

    def quantile(self, share: float) -> float | None:
        """Return a quantile, None before there are enough samples."""
        if len(self._recent) < QUANTILE_MIN_SAMPLES:
            return None
        if self._added_since_sort >= RESORT_INTERVAL or not self._sorted:
            self._sorted = sorted(self._recent)
            self._added_since_sort = 0
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]

    def tail_latency_s(self) -> float | None:
        """Return a latency that few calls exceed in normal operation.

        It is extrapolated from the median and the 75th percentile, as for a log-normal
        distribution, because the upper percentiles include the slow calls that it must detect.
        """
        median_s = self.quantile(0.5)
        upper_s = self.quantile(0.75)
        if median_s is None or upper_s is None:
            return None
        return median_s * (upper_s / median_s) ** TAIL_EXPONENT


class Rate:
    """Calls per second, as an exponentially decayed average."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at: float | None = None
        self._started_at = 0.0

    def add(self, now: float) -> None:
        """Count one call."""
        if self._updated_at is None:
            self._updated_at = self._started_at = now
        self._count = self._decayed(now) + 1.0
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the calls per second."""
        if self._updated_at is None:
            return 0.0
        # In the first seconds after the start the window is not full yet. The lower bound prevents
        # that the first calls give an extreme rate.
        window_s = RATE_DECAY_S * (1.0 - math.exp((self._started_at - now) / RATE_DECAY_S))
        return self._decayed(now) / max(window_s, 0.05)

    def _decayed(self, now: float) -> float:
        assert self._updated_at is not None
        return self._count * math.exp((self._updated_at - now) / RATE_DECAY_S)


def new_view(
    instance: Instance, callers: int, clock: Clock, cold: bool, rng: Random
) -> InstanceView:
    """Return the view of an instance without any signals yet."""
    limit = AdaptiveLimit(instance.slots, instance.connections, callers)
    rate_limit = RateLimit(clock)
    return InstanceView(instance, limit, Ejection(rng), clock.now(), cold, rate_limit=rate_limit)
