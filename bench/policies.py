"""The product's choice and its baselines, behind one interface."""

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
NEWS_VALID_S = 0.12
PROBES_PER_CALL = 3
PROBE_POOL = 16
PROBE_LIFE_S = 1.0
HOT_QUANTILE = 0.84


@dataclass(slots=True)
class Chosen:
    """An instance chosen by a baseline."""

    number: int


class Baseline:
    """What the baselines share: in-flight counts of the own view and a plain retry."""

    def __init__(self, scene: Simulation, node: int) -> None:
        self.scene = scene
        self.rng = random.Random(scene.setting.seed * 1_000 + node)
        self.in_flight = [0] * scene.setting.instances
        self.latency_s = [0.0] * scene.setting.instances

    def choose(self, exclude: set[int]) -> Chosen | None:
        """Choose among the instances not tried yet."""
        allowed = [
            number for number in range(self.scene.setting.instances) if number not in exclude
        ]
        if not allowed:
            return None
        number = self.pick(allowed)
        self.in_flight[number] += 1
        return Chosen(number)

    def pick(self, allowed: list[int]) -> int:
        """Return one of the allowed numbers."""
        raise NotImplementedError

    def ended(self, choice: Chosen, result: str, latency_s: float) -> None:
        """Count down and average the latency."""
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
        """Retry always."""
        return True

    def called(self) -> None:
        """Note nothing."""

    def news(self, number: int, slow: bool) -> None:
        """Heed nothing."""

    def watch(self, choice: Chosen, hurry: Callable[[], None]) -> None:
        """Watch nothing."""


class RandomChoice(Baseline):
    """Any instance."""

    def pick(self, allowed: list[int]) -> int:
        """Return any."""
        return self.rng.choice(allowed)


class RoundRobin(Baseline):
    """Each instance in turn."""

    def __init__(self, scene: Simulation, node: int) -> None:
        super().__init__(scene, node)
        self._turn = node

    def pick(self, allowed: list[int]) -> int:
        """Return the next."""
        self._turn += 1
        return allowed[self._turn % len(allowed)]


class LeastInFlight(Baseline):
    """The fewest requests of the own node in flight."""

    def pick(self, allowed: list[int]) -> int:
        """Return the least, ties broken at random."""
        return min(allowed, key=lambda number: (self.in_flight[number], self.rng.random()))


class TwoByInFlight(LeastInFlight):
    """The better of two at random, by the own node's requests in flight."""

    def pick(self, allowed: list[int]) -> int:
        """Return the better of two."""
        two = self.rng.sample(allowed, min(2, len(allowed)))
        return super().pick(two)


class TwoByLatency(Baseline):
    """The better of two at random, by average latency times requests in flight."""

    def pick(self, allowed: list[int]) -> int:
        """Return the better of two."""
        two = self.rng.sample(allowed, min(2, len(allowed)))
        return min(two, key=lambda number: self.latency_s[number] * (self.in_flight[number] + 1))


@dataclass(slots=True)
class _Probe:
    number: int
    in_flight: int
    latency_s: float
    at: float


class HotCold(Baseline):
    """Three probes a call and the hot-cold rule of Prequal (Wydrowski et al., NSDI 2024)."""

    def __init__(self, scene: Simulation, node: int) -> None:
        super().__init__(scene, node)
        self._pool: deque[_Probe] = deque(maxlen=PROBE_POOL)
        self._seen: deque[int] = deque(maxlen=128)

    def pick(self, allowed: list[int]) -> int:
        """Use the pool; the latency of the coldest, or the least in flight if all are hot."""
        self._send_probes()
        now = self.scene.clock.now_s
        usable = [
            probe
            for probe in self._pool
            if now - probe.at < PROBE_LIFE_S and probe.number in allowed
        ]
        if len(usable) < 2:
            return self.rng.choice(allowed)
        ordered = sorted(self._seen)
        hot_from = ordered[min(len(ordered) - 1, int(HOT_QUANTILE * len(ordered)))]
        cold = [probe for probe in usable if probe.in_flight < hot_from]
        if cold:
            best = min(cold, key=lambda probe: probe.latency_s)
        else:
            best = min(usable, key=lambda probe: probe.in_flight)
        best.in_flight += 1
        return best.number

    def _send_probes(self) -> None:
        instances = range(self.scene.setting.instances)
        for number in self.rng.sample(instances, min(PROBES_PER_CALL, len(instances))):
            self.scene.results.messages += 2
            self.scene.events.after(NETWORK_S, partial(self._probe, number))

    def _probe(self, number: int) -> None:
        server = self.scene.servers[number]
        in_flight = server.in_flight
        setting = self.scene.setting
        waits = max(1.0, (in_flight + 1) / setting.slots)
        latency_s = setting.service_s / server.speed * waits
        self.scene.events.after(NETWORK_S, lambda: self._probed(number, in_flight, latency_s))

    def _probed(self, number: int, in_flight: int, latency_s: float) -> None:
        self._pool.append(_Probe(number, in_flight, latency_s, self.scene.clock.now_s))
        self._seen.append(in_flight)


class Clairvoyant(Baseline):
    """Knows the true requests in flight of all instances."""

    def pick(self, allowed: list[int]) -> int:
        """Return the truly least."""
        servers = self.scene.servers
        return min(allowed, key=lambda number: (servers[number].in_flight, self.rng.random()))


class ClairvoyantSlow(Clairvoyant):
    """Knows in-flight requests and which instance is slow at this moment."""

    def pick(self, allowed: list[int]) -> int:
        """Return the least of those that are not slow, if they have room."""
        servers = self.scene.servers
        well = [
            number
            for number in allowed
            if not servers[number].is_slow
            and servers[number].in_flight < 1.5 * self.scene.setting.slots
        ]
        return super().pick(well or allowed)


class ClairvoyantHedged(ClairvoyantSlow):
    """The same, with a second request after the 94th percentile for 5% of calls."""

    def __init__(self, scene: Simulation, node: int) -> None:
        super().__init__(scene, node)
        self._balancer = new_balancer(scene, node)

    def ended(self, choice: Chosen, result: str, latency_s: float) -> None:
        """Keep the latencies for the percentile."""
        super().ended(choice, result, latency_s)
        if result == "ok":
            self._balancer.latencies.add(latency_s)

    def called(self) -> None:
        """Earn hedges."""
        self._balancer.budget.record_call()

    def hedge_after_s(self) -> float | None:
        """Wait for an unusual time."""
        return self._balancer.latencies.tail_latency_s()

    def may_hedge(self, tried: set[int]) -> bool:
        """Hedge within the budget."""
        return self._balancer.budget.take_hedge()


def new_balancer(scene: Simulation, node: int) -> Balancer:
    """Make the product's balancer for one node."""
    setting = scene.setting
    rng = random.Random(setting.seed * 1_000 + node)
    balancer = Balancer(scene.clock, rng, ServiceConfig(subset_size=12))
    instances = [
        Instance(
            InstanceId(str(number)),
            ServiceName("service"),
            Endpoint("127.0.0.1", number + 1),
            setting.slots,
            240,
            FailureDomain(""),
        )
        for number in range(setting.instances)
    ]
    balancer.set_instances(instances, setting.nodes)
    return balancer


class ProductChoice:
    """What the product chooses, without I/O."""

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.number = int(attempt.instance.instance_id)


class BalancerPolicy:
    """The product's decision core behind the bench's interface."""

    def __init__(self, scene: Simulation, node: int) -> None:
        self.scene = scene
        self.balancer = new_balancer(scene, node)

    def choose(self, exclude: set[int]) -> ProductChoice | None:
        """Choose by the balancer."""
        attempt = self.balancer.begin({InstanceId(str(number)) for number in exclude})
        return ProductChoice(attempt) if attempt else None

    def ended(self, choice: ProductChoice, result: str, latency_s: float) -> None:
        """Tell the balancer."""
        self.balancer.end(choice.attempt, RESULT_BY_NAME[result])

    def hedge_after_s(self) -> float | None:
        """Ask the balancer."""
        return self.balancer.hedge_after_s()

    def may_hedge(self, tried: set[int]) -> bool:
        """Ask the balancer."""
        return self.balancer.may_hedge({InstanceId(str(number)) for number in tried})

    def may_retry(self) -> bool:
        """Ask the budget."""
        return self.balancer.budget.take_retry()

    def called(self) -> None:
        """Earn retries."""
        self.balancer.budget.record_call()

    def watch(self, choice: ProductChoice, hurry: Callable[[], None]) -> None:
        """Let the balancer call back."""
        choice.attempt.on_slow = hurry

    def news(self, number: int, slow: bool) -> None:
        """Pass on word of an instance, as the measuring controller does."""
        now = self.scene.clock.now_s
        factor = self.scene.setting.burst_factor if slow else 1.0
        news = ReportedSlowness(factor, now, now + NEWS_VALID_S)
        self.balancer.record_slowness(InstanceId(str(number)), news)


MakePolicy = Callable[[Simulation, int], Policy]

BASELINES: dict[str, MakePolicy] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "two by in flight": TwoByInFlight,
    "two by latency": TwoByLatency,
    "hot-cold, 3 probes": HotCold,
}
ORACLES: dict[str, MakePolicy] = {
    "knows in flight": Clairvoyant,
    "knows slow": ClairvoyantSlow,
    "knows slow, hedges": ClairvoyantHedged,
}
