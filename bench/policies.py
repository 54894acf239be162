"""Policies that choose an instance: the balancer, baselines from the literature, and oracles.

An oracle reads the state of the simulated instances, which no real node can do, and so shows how
far any policy could get.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bench.simulation import NETWORK_S, Policy, Simulation
from peridottrack.balancer import AttemptResult, Balancer
from peridottrack.document import ServiceConfig
from peridottrack.instanceview import Attempt, ReportedSlowness
from peridottrack.types import Endpoint, FailureDomain, Instance, InstanceId, ServiceName

RESULT_BY_NAME = {
    "ok": AttemptResult.OK,
    "error": AttemptResult.ERROR,
    "shed": AttemptResult.SHED,
    "unreachable": AttemptResult.UNREACHABLE,
    "cancelled": AttemptResult.CANCELLED,
}
# The value of `slowness.VALID_S`.
REPORT_VALID_S = 0.12
PROBES_PER_CALL = 3
PROBE_POOL_SIZE = 16
PROBE_MAX_AGE_S = 1.0
HOT_QUANTILE = 0.84


@dataclass(slots=True)
class BaselineChoice:
    """The instance that a baseline chose."""

    number: int


class Baseline:
    """Base of the baselines: in-flight counts of this node only, unlimited retries, no hedges."""

    def __init__(self, simulation: Simulation, node: int) -> None:
        self.simulation = simulation
        self.rng = random.Random(simulation.scenario.seed * 1_000 + node)
        self.in_flight = [0] * simulation.scenario.instances
        self.latency_s = [0.0] * simulation.scenario.instances

    def choose(self, exclude: set[int]) -> BaselineChoice | None:
        """Choose among the instances that the call has not tried yet."""
        allowed = [
            number for number in range(self.simulation.scenario.instances) if number not in exclude
        ]
        if not allowed:
            return None
        number = self.pick(allowed)
        self.in_flight[number] += 1
        return BaselineChoice(number)

    def pick(self, allowed: list[int]) -> int:
        """Return one of the allowed instances."""
        raise NotImplementedError

    def record_outcome(self, choice: BaselineChoice, result: str, latency_s: float) -> None:
        """Update the in-flight count and the moving average of the latency."""
        self.in_flight[choice.number] -= 1
        if result == "ok":
            self.latency_s[choice.number] += 0.15 * (latency_s - self.latency_s[choice.number])

    def hedge_after_s(self) -> float | None:
        """Never hedge."""
        return None

    def may_hedge(self, tried: set[int]) -> bool:
        """Never hedge."""
        return False

    def may_retry(self) -> bool:
        """Always retry."""
        return True

    def record_call(self) -> None:
        """Ignore new calls; there is no budget."""

    def record_slowness(self, number: int, slow: bool) -> None:
        """Ignore slowness reports."""

    def watch(self, choice: BaselineChoice, on_slow: Callable[[], None]) -> None:
        """Ignore the callback; this policy uses no slowness reports."""


class RandomChoice(Baseline):
    """A random instance."""

    def pick(self, allowed: list[int]) -> int:
        """Return a random instance."""
        return self.rng.choice(allowed)


class RoundRobin(Baseline):
    """Round robin."""

    def __init__(self, simulation: Simulation, node: int) -> None:
        super().__init__(simulation, node)
        self._next_index = node

    def pick(self, allowed: list[int]) -> int:
        """Return the next instance."""
        self._next_index += 1
        return allowed[self._next_index % len(allowed)]


class LeastInFlight(Baseline):
    """The instance with the fewest in-flight requests of this node."""

    def pick(self, allowed: list[int]) -> int:
        """Return the instance with the fewest requests; ties are broken at random."""
        return min(allowed, key=lambda number: (self.in_flight[number], self.rng.random()))


class TwoChoicesByInFlight(LeastInFlight):
    """Power of two choices by this node's in-flight requests."""

    def pick(self, allowed: list[int]) -> int:
        """Return the better of two random instances."""
        candidates = self.rng.sample(allowed, min(2, len(allowed)))
        return super().pick(candidates)


class TwoChoicesByLatency(Baseline):
    """Power of two choices by average latency times in-flight requests."""

    def pick(self, allowed: list[int]) -> int:
        """Return the better of two random instances."""
        candidates = self.rng.sample(allowed, min(2, len(allowed)))
        return min(
            candidates, key=lambda number: self.latency_s[number] * (self.in_flight[number] + 1)
        )


@dataclass(slots=True)
class _Probe:
    number: int
    in_flight: int
    latency_s: float
    received_at: float


class HotCold(Baseline):
    """Prequal (Wydrowski et al., NSDI 2024): three probes per call and the hot-cold rule."""

    def __init__(self, simulation: Simulation, node: int) -> None:
        super().__init__(simulation, node)
        self._pool: deque[_Probe] = deque(maxlen=PROBE_POOL_SIZE)
        self._in_flight_samples: deque[int] = deque(maxlen=128)

    def pick(self, allowed: list[int]) -> int:
        """Return the cold probe with the lowest latency, or the least loaded if all are hot.

        A probe is hot if its in-flight count reaches the ``HOT_QUANTILE`` of recent counts.
        """
        self._send_probes()
        now = self.simulation.clock.now_s
        usable = [
            probe
            for probe in self._pool
            if now - probe.received_at < PROBE_MAX_AGE_S and probe.number in allowed
        ]
        if len(usable) < 2:
            return self.rng.choice(allowed)
        ordered = sorted(self._in_flight_samples)
        hot_threshold = ordered[min(len(ordered) - 1, int(HOT_QUANTILE * len(ordered)))]
        cold = [probe for probe in usable if probe.in_flight < hot_threshold]
        if cold:
            best = min(cold, key=lambda probe: probe.latency_s)
        else:
            best = min(usable, key=lambda probe: probe.in_flight)
        # The probe is reused; count the request that is sent now.
        best.in_flight += 1
        return best.number

    def _send_probes(self) -> None:
        instances = range(self.simulation.scenario.instances)
        for number in self.rng.sample(instances, min(PROBES_PER_CALL, len(instances))):
            self.simulation.results.messages += 2
            self.simulation.events.schedule(NETWORK_S, partial(self._handle_probe, number))

    def _handle_probe(self, number: int) -> None:
        instance = self.simulation.instances[number]
        in_flight = instance.in_flight
        scenario = self.simulation.scenario
        # Estimate: requests beyond the slots lengthen the service time in proportion.
        queue_factor = max(1.0, (in_flight + 1) / scenario.slots)
        latency_s = scenario.service_s / instance.speed * queue_factor
        self.simulation.events.schedule(
            NETWORK_S, lambda: self._record_probe(number, in_flight, latency_s)
        )

    def _record_probe(self, number: int, in_flight: int, latency_s: float) -> None:
        self._pool.append(_Probe(number, in_flight, latency_s, self.simulation.clock.now_s))
        self._in_flight_samples.append(in_flight)


class InFlightOracle(Baseline):
    """Knows the in-flight requests of all nodes at each instance."""

    def pick(self, allowed: list[int]) -> int:
        """Return the instance with the fewest requests; ties are broken at random."""
        instances = self.simulation.instances
        return min(allowed, key=lambda number: (instances[number].in_flight, self.rng.random()))


class SlownessOracle(InFlightOracle):
    """Knows the in-flight requests and which instances are slow at the moment."""

    def pick(self, allowed: list[int]) -> int:
        """Return the least loaded instance that is not slow and has under 1.5 requests a slot.

        If there is none, all allowed instances are candidates.
        """
        instances = self.simulation.instances
        fast = [
            number
            for number in allowed
            if not instances[number].is_slow
            and instances[number].in_flight < 1.5 * self.simulation.scenario.slots
        ]
        return super().pick(fast or allowed)


class HedgingOracle(SlownessOracle):
    """The slowness oracle with the hedges of `Balancer`.

    They are sent after the estimated 94th percentile of the latency, for 5% of calls by default.
    """

    def __init__(self, simulation: Simulation, node: int) -> None:
        super().__init__(simulation, node)
        self._balancer = new_balancer(simulation, node)

    def record_outcome(self, choice: BaselineChoice, result: str, latency_s: float) -> None:
        """Record the latencies, from which the percentile is estimated."""
        super().record_outcome(choice, result, latency_s)
        if result == "ok":
            self._balancer.latencies.add(latency_s)

    def record_call(self) -> None:
        """Credit the hedge budget."""
        self._balancer.budget.record_call()

    def hedge_after_s(self) -> float | None:
        """Return the estimated 94th percentile of the latency."""
        return self._balancer.latencies.tail_latency_s()

    def may_hedge(self, tried: set[int]) -> bool:
        """Take a hedge from the budget."""
        return self._balancer.budget.take_hedge()


def new_balancer(simulation: Simulation, node: int) -> Balancer:
    """Return a ``Balancer`` for one node of the simulation."""
    scenario = simulation.scenario
    rng = random.Random(scenario.seed * 1_000 + node)
    balancer = Balancer(simulation.clock, rng, ServiceConfig(subset_size=12))
    instances = [
        Instance(
            InstanceId(str(number)),
            ServiceName("service"),
            Endpoint("127.0.0.1", number + 1),
            scenario.slots,
            240,
            FailureDomain(""),
        )
        for number in range(scenario.instances)
    ]
    balancer.set_instances(instances, scenario.nodes)
    return balancer


class BalancerChoice:
    """An attempt that the balancer began, with the number of its instance."""

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.number = int(attempt.instance.instance_id)


class BalancerPolicy:
    """peridottrack's own ``Balancer`` as a policy."""

    def __init__(self, simulation: Simulation, node: int) -> None:
        self.simulation = simulation
        self.balancer = new_balancer(simulation, node)

    def choose(self, exclude: set[int]) -> BalancerChoice | None:
        """Begin an attempt in the balancer."""
        attempt = self.balancer.begin({InstanceId(str(number)) for number in exclude})
        return BalancerChoice(attempt) if attempt else None

    def record_outcome(self, choice: BalancerChoice, result: str, latency_s: float) -> None:
        """Record the outcome in the balancer."""
        self.balancer.end(choice.attempt, RESULT_BY_NAME[result])

    def hedge_after_s(self) -> float | None:
        """Return the balancer's hedge delay."""
        return self.balancer.hedge_after_s()

    def may_hedge(self, tried: set[int]) -> bool:
        """Return whether the balancer allows a hedge."""
        return self.balancer.may_hedge({InstanceId(str(number)) for number in tried})

    def may_retry(self) -> bool:
        """Take a retry from the budget."""
        return self.balancer.budget.take_retry()

    def record_call(self) -> None:
        """Credit the budget of retries and hedges."""
        self.balancer.budget.record_call()

    def watch(self, choice: BalancerChoice, on_slow: Callable[[], None]) -> None:
        """Register the callback with the attempt."""
        choice.attempt.on_slow = on_slow

    def record_slowness(self, number: int, slow: bool) -> None:
        """Record a slowness report in the balancer, as ``LoadReportController`` does."""
        now = self.simulation.clock.now_s
        factor = self.simulation.scenario.burst_factor if slow else 1.0
        report = ReportedSlowness(factor, now, now + REPORT_VALID_S)
        self.balancer.record_slowness(InstanceId(str(number)), report)


MakePolicy = Callable[[Simulation, int], Policy]

BASELINES: dict[str, MakePolicy] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "two by in flight": TwoChoicesByInFlight,
    "two by latency": TwoChoicesByLatency,
    "hot-cold, 3 probes": HotCold,
}
ORACLES: dict[str, MakePolicy] = {
    "knows in flight": InFlightOracle,
    "knows slow": SlownessOracle,
    "knows slow, hedges": HedgingOracle,
}
