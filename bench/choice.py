"""The choice of an instance against its baselines, in virtual time.

Each cell runs the same calls and the same bursts under every policy; figures are ratios to the
best baseline of the cell. The limits know what no node can know.
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

POLICIES: dict[str, MakePolicy] = {**BASELINES, **ORACLES, "product": BalancerPolicy}
LOADS = (0.5, 0.7, 0.85, 0.95)
SEEDS = (1,)
BEST_OF = tuple(BASELINES)
TARGET_BY_FACTOR = {8.0: 0.5, 3.0: 0.65}
TARGET_OVERLOAD = 1.03
TARGET_MESSAGES = 0.2
TARGET_HEDGES = 0.05
TARGET_HARMED = 0.001
TARGET_GOODPUT = 0.95
TARGET_AMPLIFICATION = 1.1
PLOT_PATH = Path("docs/choice.png")
# The hedge share is held over the life of a node; a short run shows what was saved up too.
HEDGE_SLACK = 0.002


@dataclass(frozen=True, slots=True)
class Job:
    """One run."""

    policy: str
    setting: Scenario


def run_job(job: Job) -> Results:
    """Run one policy in one setting."""
    return Simulation(job.setting, POLICIES[job.policy], tells=job.policy == "product").run()


def buzulip(**changes: object) -> Scenario:
    """Return Buzulip's sizes: 12 nodes, 3 instances of 18 slots."""
    return replace(Scenario(), **changes)  # type: ignore[arg-type]


def karoo(**changes: object) -> Scenario:
    """Return Karoo's sizes: 16 nodes, 4 instances of 12 slots."""
    return replace(Scenario(nodes=16, instances=4, slots=12), **changes)  # type: ignore[arg-type]


def grid(seconds: float) -> Iterator[tuple[str, Scenario]]:
    """Yield the cells that are compared with all baselines."""
    for load in LOADS:
        for factor in (8.0, 3.0):
            base = {"load": load, "burst_factor": factor, "seconds": seconds}
            yield "buzulip 20 ms narrow", buzulip(sigma=0.2, gap_s=2.0, **base)
            yield "buzulip 20 ms wide", buzulip(sigma=0.5, **base)
            yield "buzulip 50 ms narrow", buzulip(sigma=0.2, service_s=0.05, gap_s=2.0, **base)
            yield "buzulip 4 ms narrow", buzulip(sigma=0.2, service_s=0.004, gap_s=2.0, **base)
            yield "karoo 20 ms narrow", karoo(sigma=0.2, gap_s=2.0, **base)
            yield "starting only, narrow", buzulip(
                sigma=0.2, gap_s=2.0, squeezes_running=False, **base
            )
            yield "orders (no hedge)", buzulip(sigma=0.2, gap_s=2.0, idempotent_share=0.0, **base)


def report_cell(report: Report, name: str, setting: Scenario, results: dict[str, Results]) -> str:
    """Return the line of one cell."""
    best99 = min(results[policy].quantile_s(0.99) for policy in BEST_OF)
    best999 = min(results[policy].quantile_s(0.999) for policy in BEST_OF)
    product = results["product"]
    ratio99 = product.quantile_s(0.99) / best99
    ratio999 = product.quantile_s(0.999) / best999
    limit99 = min(results[policy].quantile_s(0.99) for policy in ORACLES) / best99
    busy = setting.load >= 0.85 or setting.service_s < 0.008
    bound = TARGET_OVERLOAD if busy else TARGET_BY_FACTOR[setting.burst_factor]
    cell = f"{name}, {setting.burst_factor:.0f}x at {setting.load:.0%}"
    marks = report.check(cell + " p99", ratio99, bound)
    marks += report.check(cell + " p99.9", ratio999, bound)
    messages = product.messages / product.calls
    hedges = product.hedges / product.calls
    report.check(cell + " messages a call", messages, TARGET_MESSAGES)
    report.check(cell + " hedges", hedges, TARGET_HEDGES + HEDGE_SLACK)
    probes99 = results["hot-cold, 3 probes"].quantile_s(0.99) / best99
    bad = product.refused + product.failed
    return (
        f"{cell:<36}{best99 * 1000:>8.1f}{ratio99:>8.2f}{ratio999:>8.2f}{bound:>7.2f}{marks:<3}"
        f"{limit99:>7.2f}{probes99:>8.2f}{messages:>7.2f}{hedges:>7.3f}{bad:>6}"
    )


def run_grid(report: Report, pool: ProcessPoolExecutor, seconds: float) -> dict[str, float]:
    """Run all cells; return the product's p99 ratio by cell for the plot."""
    cells = list(grid(seconds))
    jobs = [Job(policy, setting) for _, setting in cells for policy in POLICIES]
    outcomes = iter(list(pool.map(run_job, jobs)))
    print(
        f"{'cell':<36}{'best ms':>8}{'p99':>8}{'p99.9':>8}{'bound':>7}   "
        f"{'limit':>7}{'probes':>8}{'msgs':>7}{'hedges':>7}{'bad':>6}"
    )
    ratio_by_cell: dict[str, float] = {}
    for name, setting in cells:
        results = {policy: next(outcomes) for policy in POLICIES}
        print(report_cell(report, name, setting, results))
        best = min(results[policy].quantile_s(0.99) for policy in BEST_OF)
        key = f"{name}, {setting.burst_factor:.0f}x at {setting.load:.0%}"
        ratio_by_cell[key] = results["product"].quantile_s(0.99) / best
    return ratio_by_cell


def run_troubles(report: Report, pool: ProcessPoolExecutor) -> None:
    """Run a straggler, an instance that fails fast, overload and an outage."""
    quiet = {"burst_factor": 1.0, "load": 0.5, "seconds": 12.0, "sigma": 0.2}
    settings = {
        "straggler": buzulip(straggler=0, **quiet),
        "fail fast": buzulip(fail_fast=0, **quiet),
        "one of three down": buzulip(down=0, **{**quiet, "load": 0.6}),
        "offered 200%": buzulip(**{**quiet, "load": 2.0}),
    }
    outcomes = pool.map(run_job, [Job("product", setting) for setting in settings.values()])
    for (name, setting), result in zip(settings.items(), outcomes, strict=True):
        print(f"\n{name}: {result.calls} calls, {result.attempts} attempts")
        capacity = setting.instances * setting.slots / setting.service_s
        if name == "offered 200%":
            goodput = result.finished / setting.seconds / capacity
            mark = report.check(name + " goodput", goodput, TARGET_GOODPUT, at_most=False)
            print(f"  goodput {goodput:.3f} of capacity (target {TARGET_GOODPUT}){mark}")
            continue
        amplification = result.attempts / result.calls
        mark = report.check(name + " attempts a call", amplification, TARGET_AMPLIFICATION)
        print(f"  {amplification:.3f} attempts a call (target {TARGET_AMPLIFICATION}){mark}")
        slow = sum(latency > 4 * setting.service_s for latency in result.latencies_s)
        harmed = (slow + result.failed + result.refused) / result.calls
        mark = report.check(name + " harmed", harmed, TARGET_HARMED)
        print(f"  {harmed:.4f} of calls harmed (target {TARGET_HARMED}){mark}")


def run_costs() -> None:
    """Measure the processor time of a choice at several numbers of instances."""
    print("\nprocessor time of one choice and its end")
    for instances in (3, 9, 100, 1_100):
        scene = Simulation(Scenario(instances=instances, nodes=1), BASELINES["random"])
        balancer = new_balancer(scene, 0)
        rng = random.Random(1)

        def choose(balancer=balancer, scene=scene, rng=rng) -> None:  # type: ignore[no-untyped-def]
            attempt = balancer.begin()
            scene.clock.advance(0.001 * rng.random())
            assert attempt is not None
            balancer.end(attempt, AttemptResult.OK)

        times = 2_000 if instances < 1_000 else 300
        each_us = timeit.timeit(choose, number=times) / times * 1e6
        print(f"  {instances:>5} instances: {each_us:.0f} us")


def plot(ratio_by_cell: dict[str, float]) -> None:
    """Draw the ratios to the best baseline."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = {cell: ratio for cell, ratio in ratio_by_cell.items() if "20 ms narrow" in cell}
    figure, axes = pyplot.subplots(figsize=(8, 5))
    axes.barh(list(shown), list(shown.values()))
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlabel("99th percentile, as a ratio to the best baseline of the same run")
    figure.tight_layout()
    figure.savefig(PLOT_PATH)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="virtual time of a run")
    parser.add_argument("--workers", type=int, default=6)
    options = parser.parse_args()
    report = Report()
    with ProcessPoolExecutor(options.workers) as pool:
        ratio_by_cell = run_grid(report, pool, options.seconds)
        run_troubles(report, pool)
    run_costs()
    plot(ratio_by_cell)
    report.finish(f"seeds {SEEDS}; * marks a missed target")


if __name__ == "__main__":
    main()
