"""One run of the soak: a site, its callers, faults drawn from a seed, and the outcome."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from soak.callers import Caller
from soak.faults import SERVICE_TIME_S, FaultInjector
from soak.guarantees import GuaranteeChecker, Violation
from soak.site import Site

CALLERS_PER_HOST = 3
START_TIMEOUT_S = 120.0
"""Time in which all nodes must be ready: many start at once on a busy machine."""
RECOVERY_TIMEOUT_S = 60.0
"""Time in which a host must serve again after the last fault, on a busy machine."""
RECOVERY_SUCCESSES = 10
"""Consecutive requests that a host must serve to count as recovered."""
CHECK_INTERVAL_S = 0.2
"""Interval of the checks while the soak runs."""


@dataclass(frozen=True)
class Outcome:
    """Result of a run."""

    seed: int
    hosts: int
    seconds: float
    requests: int
    statuses: dict[object, int]
    faults: int
    violations: list[Violation]

    def text(self) -> str:
        """Return a summary line and a line for each of the first violations."""
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
    log: Callable[[str], None] = lambda line: None,
    broken: str = "",
) -> Outcome:
    """Run one seed.

    Parameters
    ----------
    seconds
        Time in which faults are injected.
    folder
        Folder for the settings and logs of the nodes.
    broken
        Name of a switch of `soak.broken`, empty for the real program.
    """
    rng = random.Random(seed)
    site = Site(folder, broken)
    checker = GuaranteeChecker(site)
    started_at = time.monotonic()

    def log_with_time(line: str) -> None:
        log(f"{time.monotonic() - started_at:7.2f} s  {line}")

    injector = FaultInjector(site, random.Random(rng.random()), log_with_time)
    caller_tasks: list[asyncio.Task[None]] = []
    check_tasks: list[asyncio.Task[None]] = []
    try:
        await site.start(hosts)
        for host in site.hosts:
            host.instance.script.work_s = SERVICE_TIME_S
        await _wait_until_ready(site)
        check_tasks.append(asyncio.create_task(_check_periodically(checker, log_with_time)))
        for host in site.hosts:
            for _ in range(CALLERS_PER_HOST):
                caller = Caller(site, host, checker, random.Random(rng.random()))
                caller_tasks.append(asyncio.create_task(caller.run()))
        await injector.run(seconds)
        await _check_recovery(site, checker)
    finally:
        for task in caller_tasks + check_tasks:
            task.cancel()
        await asyncio.gather(*caller_tasks, *check_tasks, return_exceptions=True)
        await site.stop()
    checker.check_end()
    statuses = dict(checker.statuses)
    requests, faults = len(checker.request_by_id), len(injector.injected)
    took_s = time.monotonic() - started_at
    return Outcome(seed, hosts, took_s, requests, statuses, faults, checker.violations)


async def _wait_until_ready(site: Site) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not all([await site.ready(host) for host in site.hosts]):
            await asyncio.sleep(CHECK_INTERVAL_S)


async def _check_periodically(checker: GuaranteeChecker, log: Callable[[str], None]) -> None:
    logged = 0
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        checker.check_runs()
        for one in checker.violations[logged:]:
            log(f"BROKEN {one.guarantee}: {one.request} {one.detail}")
        logged = len(checker.violations)


async def _check_recovery(site: Site, checker: GuaranteeChecker) -> None:
    """Check that every host serves again and has applied the newest document."""
    for host in site.hosts:
        caller = Caller(site, host, checker, random.Random(host.number))
        successes, status = 0, None
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S), caller.session() as session:
                while successes < RECOVERY_SUCCESSES:
                    status = await caller.send_on_newest_route(session)
                    successes = successes + 1 if status == 200 else 0
                    await asyncio.sleep(CHECK_INTERVAL_S / 4)
        except TimeoutError:
            detail = f"host {host.number}: last status {status}, version {site.version}"
            checker.record_violation("recovery", "", detail)
