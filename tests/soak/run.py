"""One run of the soak: a site, its callers, faults from a seed, and the verdict."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from soak.callers import Caller
from soak.faults import WORK_S, FaultInjector
from soak.guarantees import GuaranteeChecker, Violation
from soak.site import Site

CALLERS_PER_HOST = 3
START_S = 120.0
"""Time that all nodes have to be ready: many start at once on a busy machine."""
RECOVER_S = 60.0
"""Time after the last fault in which every host must serve again, on a busy machine."""
GOOD_IN_A_ROW = 10
"""Requests that a host must serve in a row to count as recovered."""
LOOK_S = 0.2
"""How often the promises are looked at."""


@dataclass(frozen=True)
class Outcome:
    """What came of a run."""

    seed: int
    hosts: int
    seconds: float
    requests: int
    statuses: dict[object, int]
    faults: int
    violations: list[Violation]

    def text(self) -> str:
        """Return the outcome in lines."""
        verdict = "BROKEN" if self.violations else "kept"
        lines = [
            f"seed {self.seed}: {verdict}; {self.hosts} hosts, {self.seconds:.0f} s, "
            f"{self.faults} faults, {self.requests} requests {self.statuses}"
        ]
        lines += [f"  {one.guarantee}: {one.request} {one.detail}" for one in self.violations[:20]]
        return "\n".join(lines)


async def soak(
    seed: int,
    hosts: int,
    seconds: float,
    folder: Path,
    say: Callable[[str], None] = lambda line: None,
    broken: str = "",
) -> Outcome:
    """Play one seed.

    Parameters
    ----------
    seconds
        Time in which faults are injected.
    broken
        Name of a switch of `soak.broken`, empty for the real program.
    """
    rng = random.Random(seed)
    site = Site(folder, broken)
    promises = GuaranteeChecker(site)
    began = time.monotonic()

    def tell(line: str) -> None:
        say(f"{time.monotonic() - began:7.2f} s  {line}")

    chaos = FaultInjector(site, random.Random(rng.random()), tell)
    callers: list[asyncio.Task[None]] = []
    watch: list[asyncio.Task[None]] = []
    try:
        await site.start(hosts)
        for host in site.hosts:
            host.instance.script.work_s = WORK_S
        await _ready(site)
        watch.append(asyncio.create_task(_watch(promises, tell)))
        for host in site.hosts:
            for _ in range(CALLERS_PER_HOST):
                caller = Caller(site, host, promises, random.Random(rng.random()))
                callers.append(asyncio.create_task(caller.run()))
        await chaos.run(seconds)
        await _recovered(site, promises)
    finally:
        for task in callers + watch:
            task.cancel()
        await asyncio.gather(*callers, *watch, return_exceptions=True)
        await site.stop()
    promises.check_end()
    statuses = dict(promises.statuses)
    requests, faults = len(promises.request_by_id), len(chaos.injected)
    took_s = time.monotonic() - began
    return Outcome(seed, hosts, took_s, requests, statuses, faults, promises.violations)


async def _ready(site: Site) -> None:
    async with asyncio.timeout(START_S):
        while not all([await site.ready(host) for host in site.hosts]):
            await asyncio.sleep(LOOK_S)


async def _watch(promises: GuaranteeChecker, tell: Callable[[str], None]) -> None:
    told = 0
    while True:
        await asyncio.sleep(LOOK_S)
        promises.check_runs()
        for one in promises.violations[told:]:
            tell(f"BROKEN {one.guarantee}: {one.request} {one.detail}")
        told = len(promises.violations)


async def _recovered(site: Site, promises: GuaranteeChecker) -> None:
    """Check that every host serves again and has the newest document."""
    for host in site.hosts:
        caller = Caller(site, host, promises, random.Random(host.number))
        good, latest = 0, None
        try:
            async with asyncio.timeout(RECOVER_S), caller.session() as session:
                while good < GOOD_IN_A_ROW:
                    latest = await caller.send_version(session)
                    good = good + 1 if latest == 200 else 0
                    await asyncio.sleep(LOOK_S / 4)
        except TimeoutError:
            detail = f"host {host.number}: last answer {latest}, version {site.version}"
            promises.record_violation("recovery", "", detail)
