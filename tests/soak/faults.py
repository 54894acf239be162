"""Fault injection: faults drawn from a seed and applied to a site from outside its processes."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from soak.plan import PlannedFault, plan_faults
from soak.proxy import Proxy, ProxyFault
from soak.site import NamedRateLimit, Site, SoakHost

DURATION_S = (0.3, 3.0)
"""Bounds of a fault's duration: below and above the timeouts by which nodes detect a failure."""
REPLACE_DELAY_S = 3.5
"""Time from the leaving of an instance to the start of the next.

Longer than any grace period, such as `guarantees.LEAVE_GRACE_S`.
"""
LIMIT_S = 6.5
"""Time for which an instance names a rate limit: longer than the window in which it is checked."""
RATE_LIMITS = (0, 0.5, 2, 5)
"""Rate limits that instances name, in requests a second."""
DELAYS_S = (0.005, 0.05, 0.3)
"""Delays that a proxy adds."""
MAX_AFFECTED = 4
"""Maximum number of consecutive requests that one fault of an instance affects."""
INSTANCE_FAULTS = (
    "lose",
    "cut",
    "double",
    "late_double",
    "garbage",
    "shed",
    "unframed_reset",
    "unsigned",
    "no_id",
    "fail",
    "busy_after_run",
)
"""Faults of an instance: names of fields of `users_platform.Script`."""
FAULTS = (
    "delay",
    "reset",
    "mute",
    "refuse",
    "stop",
    "rolling restart",
    "kill",
    "freeze",
    "store",
    *("replace",) * 2,
    *("answers",) * 4,
    "slow",
    "all lose",
    *("document",) * 2,
    "limit",
    "restore",
)
"""The faults of one round of `plan_faults`."""


Draw = random.Random
"""Source of all that one fault draws."""


@dataclass
class FaultInjector:
    """Injects the faults of a plan into a site.

    A fault that excludes another one at the same host waits for its end, so that the plan alone
    decides which faults a run injects.

    Attributes
    ----------
    injected
        Descriptions of the injected faults, in order.
    """

    site: Site
    rng: random.Random
    log: Callable[[str], None]
    injected: list[str] = field(default_factory=list)
    _process_locks: dict[int, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    _instance_locks: dict[int, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    _limit_locks: dict[int, asyncio.Lock] = field(default_factory=lambda: defaultdict(asyncio.Lock))

    def _record(self, host: SoakHost | None, description: str) -> None:
        line = description if host is None else f"host {host.number}: {description}"
        self.injected.append(line)
        self.log(line)

    async def run(self, seconds: float) -> None:
        """Inject faults for some time, then wait until all of them have ended."""
        # At most a third of the instances leave at the same time.
        self._leaving = asyncio.Semaphore(max(1, len(self.site.hosts) // 3))
        fault_by_kind = self._fault_by_kind()
        plan = plan_faults(self.rng, FAULTS, seconds)
        started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for planned in plan:
                await asyncio.sleep(started_at + planned.at_s - asyncio.get_running_loop().time())
                group.create_task(self._inject(fault_by_kind, planned))

    async def _inject(
        self,
        fault_by_kind: dict[str, Callable[[Draw], Awaitable[None]]],
        planned: PlannedFault,
    ) -> None:
        await fault_by_kind[planned.kind](random.Random(planned.seed))

    def _fault_by_kind(self) -> dict[str, Callable[[Draw], Awaitable[None]]]:
        return {
            "delay": self._delay_proxy,
            "reset": self._reset_proxy,
            "mute": self._mute_proxy,
            "refuse": self._refuse_proxy,
            "stop": self._stop_node,
            "rolling restart": self._rolling_restart,
            "kill": self._kill_node,
            "freeze": self._freeze_node,
            "store": self._store_fault,
            "replace": self._replace_instance,
            "answers": self._instance_fault,
            "slow": self._slow_instance,
            "all lose": self._all_instances_lose,
            "document": self._accept_document,
            "limit": self._limit_instance,
            "restore": self._restore_store,
        }

    def _draw_host(self, draw: Draw) -> SoakHost:
        return draw.choice(self.site.hosts)

    def _draw_proxy(self, draw: Draw, host: SoakHost) -> Proxy:
        return draw.choice(host.proxies)

    # -- connections -------------------------------------------------------------------

    async def _apply_for_random_time(
        self, draw: Draw, host: SoakHost, proxy: Proxy, fault: ProxyFault, description: str
    ) -> None:
        self._record(host, f"{description} on port {proxy.port}")
        host.mark_disturbed()
        proxy.fault = fault
        await asyncio.sleep(draw.uniform(*DURATION_S))
        proxy.fault = ProxyFault()
        host.mark_disturbed()

    async def _delay_proxy(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        delay_s = draw.choice(DELAYS_S)
        await self._apply_for_random_time(
            draw,
            host,
            self._draw_proxy(draw, host),
            ProxyFault(delay_s=delay_s),
            f"delay {delay_s}",
        )

    async def _mute_proxy(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        directions = draw.choice(((True, True), (True, False), (False, True)))
        await self._apply_for_random_time(
            draw,
            host,
            self._draw_proxy(draw, host),
            ProxyFault(mute_up=directions[0], mute_down=directions[1]),
            "mute",
        )

    async def _refuse_proxy(self, draw: Draw) -> None:
        """Reset the open connections, and for some time each new one."""
        host = self._draw_host(draw)
        proxy = self._draw_proxy(draw, host)
        proxy.reset()
        await self._apply_for_random_time(draw, host, proxy, ProxyFault(refuse=True), "refuse")

    async def _reset_proxy(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        proxy = self._draw_proxy(draw, host)
        self._record(host, f"reset on port {proxy.port}")
        host.mark_disturbed()
        proxy.reset()

    # -- processes ---------------------------------------------------------------------

    async def _restart(self, draw: Draw, host: SoakHost, signal_number: int) -> None:
        async with self._process_locks[host.number]:
            self._record(host, signal.Signals(signal_number).name)
            await self.site.stop_node(host, signal_number)
            await asyncio.sleep(draw.uniform(0.0, 1.0))
            await self.site.start_node(host)

    async def _stop_node(self, draw: Draw) -> None:
        await self._restart(draw, self._draw_host(draw), signal.SIGTERM)

    async def _rolling_restart(self, draw: Draw) -> None:
        for host in draw.sample(self.site.hosts, 2):
            await self._restart(draw, host, signal.SIGTERM)

    async def _kill_node(self, draw: Draw) -> None:
        await self._restart(draw, self._draw_host(draw), signal.SIGKILL)

    async def _freeze_node(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        async with self._process_locks[host.number]:
            self._record(host, "SIGSTOP")
            host.mark_disturbed()
            host.frozen = True
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(draw.uniform(*DURATION_S))
            host.signal(signal.SIGCONT)
            host.frozen = False
            host.mark_disturbed()

    # -- store and document ------------------------------------------------------------

    async def _store_fault(self, draw: Draw) -> None:
        store = self.site.store
        kind = draw.choice(("down", "loses answers", "silent", "forgets"))
        self._record(None, f"store {kind}")
        if kind == "forgets":
            store.forget_history()
            return
        store.status = 503 if kind == "down" else 200
        store.lose_responses = kind == "loses answers"
        store.silent = kind == "silent"
        await asyncio.sleep(draw.uniform(*DURATION_S))
        store.status, store.lose_responses, store.silent = 200, False, False

    async def _restore_store(self, draw: Draw) -> None:
        """Restore the store from an older copy; the operators write again what is lost."""
        store, copy = self.site.store, self.site.store.copy()
        await asyncio.sleep(draw.uniform(*DURATION_S))
        self._record(None, "store restored from a copy")
        store.status = 503
        await asyncio.sleep(DURATION_S[0])
        store.restore(copy)
        store.status = 200
        await asyncio.sleep(draw.uniform(0.0, 1.0))
        self.site.write_document()

    async def _accept_document(self, draw: Draw) -> None:
        self.site.accept()
        self._record(None, f"version {self.site.version} accepted")

    # -- instances ---------------------------------------------------------------------

    async def _replace_instance(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        async with self._instance_locks[host.number], self._leaving:
            self.site.leave(host)
            self._record(host, f"instance {host.instance.name} leaves")
            await asyncio.sleep(REPLACE_DELAY_S)
            # An instance announces its leaving until the node has acknowledged it.
            while host.instance.name not in self.site.left_at:
                await asyncio.sleep(DURATION_S[0])
            await self.site.replace_instance(host)

    async def _limit_instance(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        script = host.instance.script
        async with self._limit_locks[host.number]:
            script.rate_limit = str(draw.choice(RATE_LIMITS))
            self._record(host, f"instance names a limit of {script.rate_limit} a second")
            since = time.monotonic()
            await asyncio.sleep(LIMIT_S)
            self.site.rate_limits.append(
                NamedRateLimit(host.number, float(script.rate_limit), since, time.monotonic())
            )
            script.rate_limit = ""

    async def _instance_fault(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        fault = draw.choice(INSTANCE_FAULTS)
        self._record(host, f"instance: {fault}")
        setattr(host.instance.script, fault, draw.randint(1, MAX_AFFECTED))

    async def _all_instances_lose(self, draw: Draw) -> None:
        """Make all instances lose responses for a while, which provokes resends by the nodes."""
        self._record(None, "all instances lose answers")
        until = asyncio.get_running_loop().time() + draw.uniform(*DURATION_S)
        while asyncio.get_running_loop().time() < until:
            for host in self.site.hosts:
                host.instance.script.lose = 1
            await asyncio.sleep(SERVICE_TIME_S)

    async def _slow_instance(self, draw: Draw) -> None:
        host = self._draw_host(draw)
        self._record(host, "instance slow")
        host.instance.script.work_s = draw.uniform(0.05, 0.6)
        await asyncio.sleep(draw.uniform(*DURATION_S))
        host.instance.script.work_s = SERVICE_TIME_S


SERVICE_TIME_S = 0.08
"""Time that an instance normally works on a request."""
