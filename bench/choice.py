"""Compares the balancer's choice of an instance with baseline policies, in virtual time.

Each cell of the table runs the same calls and bursts under every policy; its figures are ratios to
the best baseline of the cell. The column "limit" is the best oracle, a policy that knows the state
of the instances, which no node can know.
"""

from __future__ import annotations

import argparse
import random
import timeit
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from bench.policies import BASELINES, ORACLES, BalancerPolicy, MakePolicy, new_balancer
from bench.report import Report
from bench.simulation import Results, Scenario, Simulation
from peridottrack.balancer import AttemptResult

# "product" is peridottrack's own balancer.
POLICIES: dict[str, MakePolicy] = {**BASELINES, **ORACLES, "product": BalancerPolicy}
LOADS = (0.5, 0.7, 0.85, 0.95)
SEEDS = (1,)
BASELINE_NAMES = tuple(BASELINES)
# Targets for the p99 and p99.9, as ratios to the best baseline: by burst factor, and for cells
# with a high load or short service times, which only need to be about as good as the baseline.
TARGET_BY_FACTOR = {8.0: 0.5, 3.0: 0.65}
TARGET_PARITY = 1.03
# Messages, hedges, harmed calls and attempts for each call; goodput as a share of the capacity.
TARGET_MESSAGES = 0.2
TARGET_HEDGES = 0.05
TARGET_HARMED = 0.001
TARGET_GOODPUT = 0.95
TARGET_AMPLIFICATION = 1.1
PLOT_PATH = Path("docs/choice.png")
# The hedge budget limits the share of hedges over the life of a node. In a short run the
# tokens that the budget starts with add to that share.
HEDGE_SLACK = 0.002


@dataclass(frozen=True, slots=True)
class RunSpec:
    """A policy and the scenario to run it in."""

    policy: str
    scenario: Scenario


def run_spec(spec: RunSpec) -> Results:
    """Simulate one policy in one scenario."""
    return Simulation(
        spec.scenario, POLICIES[spec.policy], reports_slowness=spec.policy == "product"
    ).run()


def buzulip(**changes: object) -> Scenario:
    """Return a scenario of Buzulip's size: 12 nodes, 3 instances of 18 slots."""
    return replace(Scenario(), **changes)  # type: ignore[arg-type]


def karoo(**changes: object) -> Scenario:
    """Return a scenario of Karoo's size: 16 nodes, 4 instances of 12 slots."""
    return replace(Scenario(nodes=16, instances=4, slots=12), **changes)  # type: ignore[arg-type]


def grid_cells(seconds: float) -> Iterator[tuple[str, Scenario]]:
    """Yield the name and scenario of each cell.

    "Narrow" and "wide" name the spread of the service times; "starting only" means that a burst
    does not slow the requests that already run.
    """
    for load in LOADS:
        for factor in (8.0, 3.0):
            common = {"load": load, "burst_factor": factor, "seconds": seconds}
            yield "buzulip 20 ms narrow", buzulip(sigma=0.2, burst_gap_s=2.0, **common)
            yield "buzulip 20 ms wide", buzulip(sigma=0.5, **common)
            yield "buzulip 50 ms narrow", buzulip(
                sigma=0.2, service_s=0.05, burst_gap_s=2.0, **common
            )
            yield "buzulip 4 ms narrow", buzulip(
                sigma=0.2, service_s=0.004, burst_gap_s=2.0, **common
            )
            yield "karoo 20 ms narrow", karoo(sigma=0.2, burst_gap_s=2.0, **common)
            yield "starting only, narrow", buzulip(
                sigma=0.2, burst_gap_s=2.0, slows_running_requests=False, **common
            )
            yield "orders (no hedge)", buzulip(
                sigma=0.2, burst_gap_s=2.0, idempotent_share=0.0, **common
            )


def format_cell(report: Report, name: str, scenario: Scenario, results: dict[str, Results]) -> str:
    """Check one cell against its targets and return its table row."""
    best_p99 = min(results[policy].quantile_s(0.99) for policy in BASELINE_NAMES)
    best_p999 = min(results[policy].quantile_s(0.999) for policy in BASELINE_NAMES)
    own = results["product"]
    ratio_p99 = own.quantile_s(0.99) / best_p99
    ratio_p999 = own.quantile_s(0.999) / best_p999
    oracle_p99 = min(results[policy].quantile_s(0.99) for policy in ORACLES) / best_p99
    needs_parity = scenario.load >= 0.85 or scenario.service_s < 0.008
    target = TARGET_PARITY if needs_parity else TARGET_BY_FACTOR[scenario.burst_factor]
    cell = f"{name}, {scenario.burst_factor:.0f}x at {scenario.load:.0%}"
    marks = report.check(cell + " p99", ratio_p99, target)
    marks += report.check(cell + " p99.9", ratio_p999, target)
    messages = own.messages / own.calls
    hedges = own.hedges / own.calls
    report.check(cell + " messages a call", messages, TARGET_MESSAGES)
    report.check(cell + " hedges", hedges, TARGET_HEDGES + HEDGE_SLACK)
    probes_p99 = results["hot-cold, 3 probes"].quantile_s(0.99) / best_p99
    failures = own.rejected + own.failed
    return (
        f"{cell:<36}{best_p99 * 1000:>8.1f}{ratio_p99:>8.2f}{ratio_p999:>8.2f}"
        f"{target:>7.2f}{marks:<3}{oracle_p99:>7.2f}{probes_p99:>8.2f}"
        f"{messages:>7.2f}{hedges:>7.3f}{failures:>6}"
    )


def run_grid(report: Report, pool: ProcessPoolExecutor, seconds: float) -> dict[str, float]:
    """Run and print all cells; return the balancer's p99 ratio by cell for the plot."""
    cells = list(grid_cells(seconds))
    specs = [RunSpec(policy, scenario) for _, scenario in cells for policy in POLICIES]
    outcomes = iter(list(pool.map(run_spec, specs)))
    print(
        f"{'cell':<36}{'best ms':>8}{'p99':>8}{'p99.9':>8}{'bound':>7}   "
        f"{'limit':>7}{'probes':>8}{'msgs':>7}{'hedges':>7}{'bad':>6}"
    )
    ratio_by_cell: dict[str, float] = {}
    for name, scenario in cells:
        results = {policy: next(outcomes) for policy in POLICIES}
        print(format_cell(report, name, scenario, results))
        best = min(results[policy].quantile_s(0.99) for policy in BASELINE_NAMES)
        key = f"{name}, {scenario.burst_factor:.0f}x at {scenario.load:.0%}"
        ratio_by_cell[key] = results["product"].quantile_s(0.99) / best
    return ratio_by_cell


def run_fault_scenarios(report: Report, pool: ProcessPoolExecutor) -> None:
    """Run the balancer with a straggler, a fast-failing or unreachable instance, and overload."""
    common = {"burst_factor": 1.0, "load": 0.5, "seconds": 12.0, "sigma": 0.2}
    scenarios = {
        "straggler": buzulip(straggler=0, **common),
        "fail fast": buzulip(fail_fast=0, **common),
        "one of three down": buzulip(down=0, **{**common, "load": 0.6}),
        "offered 200%": buzulip(**{**common, "load": 2.0}),
    }
    outcomes = pool.map(run_spec, [RunSpec("product", scenario) for scenario in scenarios.values()])
    for (name, scenario), result in zip(scenarios.items(), outcomes, strict=True):
        print(f"\n{name}: {result.calls} calls, {result.attempts} attempts")
        capacity = scenario.instances * scenario.slots / scenario.service_s
        if name == "offered 200%":
            goodput = result.finished / scenario.seconds / capacity
            mark = report.check(name + " goodput", goodput, TARGET_GOODPUT, at_most=False)
            print(f"  goodput {goodput:.3f} of capacity (target {TARGET_GOODPUT}){mark}")
            continue
        amplification = result.attempts / result.calls
        mark = report.check(name + " attempts a call", amplification, TARGET_AMPLIFICATION)
        print(f"  {amplification:.3f} attempts a call (target {TARGET_AMPLIFICATION}){mark}")
        # A call is harmed if it takes over 4 mean service times, fails or is rejected.
        slow_calls = sum(latency > 4 * scenario.service_s for latency in result.latencies_s)
        harmed = (slow_calls + result.failed + result.rejected) / result.calls
        mark = report.check(name + " harmed", harmed, TARGET_HARMED)
        print(f"  {harmed:.4f} of calls harmed (target {TARGET_HARMED}){mark}")


def measure_choice_cpu() -> None:
    """Measure the time of a choice at several numbers of instances."""
    print("\nprocessor time of one choice and its end")
    for instances in (3, 9, 100, 1_100):
        simulation = Simulation(Scenario(instances=instances, nodes=1), BASELINES["random"])
        balancer = new_balancer(simulation, 0)
        rng = random.Random(1)

        def choose(balancer=balancer, simulation=simulation, rng=rng) -> None:  # type: ignore[no-untyped-def]
            attempt = balancer.begin()
            simulation.clock.advance(0.001 * rng.random())
            assert attempt is not None
            balancer.end(attempt, AttemptResult.OK)

        iterations = 2_000 if instances < 1_000 else 300
        choice_us = timeit.timeit(choose, number=iterations) / iterations * 1e6
        print(f"  {instances:>5} instances: {choice_us:.0f} us")


def plot(ratio_by_cell: dict[str, float]) -> None:
    """Plot the balancer's p99 as a ratio to the best baseline."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plotted = {cell: ratio for cell, ratio in ratio_by_cell.items() if "20 ms narrow" in cell}
    figure, axes = pyplot.subplots(figsize=(8, 5))
    axes.barh(list(plotted), list(plotted.values()))
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlabel("99th percentile, as a ratio to the best baseline of the same run")
    figure.tight_layout()
    figure.savefig(PLOT_PATH)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="virtual seconds of each run")
    parser.add_argument("--workers", type=int, default=6)
    options = parser.parse_args()
    report = Report()
    with ProcessPoolExecutor(options.workers) as pool:
        ratio_by_cell = run_grid(report, pool, options.seconds)
        run_fault_scenarios(report, pool)
    measure_choice_cpu()
    plot(ratio_by_cell)
    report.finish(f"seeds {SEEDS}; * marks a missed target")


if __name__ == "__main__":
    main()
