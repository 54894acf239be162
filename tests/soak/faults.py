"""Fault injection: faults drawn from a seed and applied to a site from outside its processes."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from soak.proxy import Proxy, ProxyFault
from soak.site import NamedRateLimit, Site, SoakHost

DURATION_S = (0.3, 3.0)
"""Bounds of a fault's duration: below and above the timeouts by which nodes detect a failure."""
GAP_S = (0.1, 1.5)
"""Bounds of the pause before the next fault; shorter than a fault, so that faults overlap."""
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


@dataclass
class FaultInjector:
    """Injects faults into a site for a given time.

    Attributes
    ----------
    injected
        Descriptions of the injected faults, in order.
    """

    site: Site
    rng: random.Random
    log: Callable[[str], None]
    injected: list[str] = field(default_factory=list)
    # Numbers of the hosts whose process is being restarted or is frozen.
    _hosts_down: set[int] = field(default_factory=set)

    def _record(self, host: SoakHost | None, description: str) -> None:
        line = description if host is None else f"host {host.number}: {description}"
        self.injected.append(line)
        self.log(line)

    def _draw_duration_s(self) -> float:
        return self.rng.uniform(*DURATION_S)

    async def run(self, seconds: float) -> None:
        """Inject faults for some time, then wait until all of them have ended."""
        # The order and the weights decide which faults a seed draws.
        weighted_faults: list[tuple[Callable[[], Awaitable[None]], float]] = [
            (self._delay_proxy, 2.0),
            (self._reset_proxy, 2.0),
            (self._mute_proxy, 2.0),
            (self._refuse_proxy, 1.0),
            (self._stop_node, 2.0),
            (self._rolling_restart, 0.5),
            (self._kill_node, 2.0),
            (self._freeze_node, 1.5),
            (self._store_fault, 1.5),
            (self._replace_instance, 2.0),
            (self._instance_fault, 3.0),
            (self._slow_instance, 1.0),
            (self._all_instances_lose, 1.0),
            (self._accept_document, 3.0),
            (self._limit_instance, 1.5),
            (self._restore_store, 1.0),
        ]
        faults = [fault for fault, _ in weighted_faults]
        weights = [weight for _, weight in weighted_faults]
        tasks: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(*GAP_S))
            tasks.add(asyncio.ensure_future(self.rng.choices(faults, weights)[0]()))
        await asyncio.gather(*tasks)

    def _draw_host(self) -> SoakHost:
        return self.rng.choice(self.site.hosts)

    def _draw_proxy(self, host: SoakHost) -> Proxy:
        return self.rng.choice(host.proxies)

    # -- connections -------------------------------------------------------------------

    async def _apply_for_random_time(
        self, host: SoakHost, proxy: Proxy, fault: ProxyFault, description: str
    ) -> None:
        self._record(host, f"{description} on port {proxy.port}")
        host.mark_disturbed()
        proxy.fault = fault
        await asyncio.sleep(self._draw_duration_s())
        proxy.fault = ProxyFault()
        host.mark_disturbed()

    async def _delay_proxy(self) -> None:
        host = self._draw_host()
        delay_s = self.rng.choice(DELAYS_S)
        await self._apply_for_random_time(
            host, self._draw_proxy(host), ProxyFault(delay_s=delay_s), f"delay {delay_s}"
        )

    async def _mute_proxy(self) -> None:
        host = self._draw_host()
        directions = self.rng.choice(((True, True), (True, False), (False, True)))
        await self._apply_for_random_time(
            host,
            self._draw_proxy(host),
            ProxyFault(mute_up=directions[0], mute_down=directions[1]),
            "mute",
        )

    async def _refuse_proxy(self) -> None:
        """Reset the open connections, and for some time each new one."""
        host = self._draw_host()
        proxy = self._draw_proxy(host)
        proxy.reset()
        await self._apply_for_random_time(host, proxy, ProxyFault(refuse=True), "refuse")

    async def _reset_proxy(self) -> None:
        host = self._draw_host()
        proxy = self._draw_proxy(host)
        self._record(host, f"reset on port {proxy.port}")
        host.mark_disturbed()
        proxy.reset()

    # -- processes ---------------------------------------------------------------------

    async def _restart(self, host: SoakHost, signal_number: int) -> None:
        if host.number in self._hosts_down:
            return
        self._hosts_down.add(host.number)
        try:
            self._record(host, signal.Signals(signal_number).name)
            await self.site.stop_node(host, signal_number)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self.site.start_node(host)
        finally:
            self._hosts_down.discard(host.number)

    async def _stop_node(self) -> None:
        await self._restart(self._draw_host(), signal.SIGTERM)

    async def _rolling_restart(self) -> None:
        for host in self.rng.sample(self.site.hosts, 2):
            await self._restart(host, signal.SIGTERM)

    async def _kill_node(self) -> None:
        await self._restart(self._draw_host(), signal.SIGKILL)

    async def _freeze_node(self) -> None:
        host = self._draw_host()
        if host.number in self._hosts_down:
            return
        self._hosts_down.add(host.number)
        self._record(host, "SIGSTOP")
        host.mark_disturbed()
        host.frozen = True
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._draw_duration_s())
        host.signal(signal.SIGCONT)
        host.frozen = False
        host.mark_disturbed()
        self._hosts_down.discard(host.number)

    # -- store and document ------------------------------------------------------------

    async def _store_fault(self) -> None:
        store = self.site.store
        kind = self.rng.choice(("down", "loses answers", "silent", "forgets"))
        self._record(None, f"store {kind}")
        if kind == "forgets":
            store.forget_history()
            return
        store.status = 503 if kind == "down" else 200
        store.lose_responses = kind == "loses answers"
        store.silent = kind == "silent"
        await asyncio.sleep(self._draw_duration_s())
        store.status, store.lose_responses, store.silent = 200, False, False

    async def _restore_store(self) -> None:
        """Restore the store from an older copy; the operators write again what is lost."""
        store, copy = self.site.store, self.site.store.copy()
        await asyncio.sleep(self._draw_duration_s())
        self._record(None, "store restored from a copy")
        store.status = 503
        await asyncio.sleep(DURATION_S[0])
        store.restore(copy)
        store.status = 200
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.site.write_document()

    async def _accept_document(self) -> None:
        self.site.accept()
        self._record(None, f"version {self.site.version} accepted")

    # -- instances ---------------------------------------------------------------------

    async def _replace_instance(self) -> None:
        host = self._draw_host()
        if host.leaving or sum(one.leaving for one in self.site.hosts) > len(self.site.hosts) // 3:
            return
        self.site.leave(host)
        self._record(host, f"instance {host.instance.name} leaves")
        await asyncio.sleep(REPLACE_DELAY_S)
        # An instance announces its leaving until the node has acknowledged it.
        while host.instance.name not in self.site.left_at:
            await asyncio.sleep(DURATION_S[0])
        await self.site.replace_instance(host)

    async def _limit_instance(self) -> None:
        host = self._draw_host()
        script = host.instance.script
        if script.rate_limit:
            return
        script.rate_limit = str(self.rng.choice(RATE_LIMITS))
        self._record(host, f"instance names a limit of {script.rate_limit} a second")
        since = time.monotonic()
        await asyncio.sleep(LIMIT_S)
        self.site.rate_limits.append(
            NamedRateLimit(host.number, float(script.rate_limit), since, time.monotonic())
        )
        script.rate_limit = ""

    async def _instance_fault(self) -> None:
        host = self._draw_host()
        fault = self.rng.choice(INSTANCE_FAULTS)
        self._record(host, f"instance: {fault}")
        setattr(host.instance.script, fault, self.rng.randint(1, MAX_AFFECTED))

    async def _all_instances_lose(self) -> None:
        """Make all instances lose responses for a while, which provokes resends by the nodes."""
        self._record(None, "all instances lose answers")
        until = asyncio.get_running_loop().time() + self._draw_duration_s()
        while asyncio.get_running_loop().time() < until:
            for host in self.site.hosts:
                host.instance.script.lose = 1
            await asyncio.sleep(SERVICE_TIME_S)

    async def _slow_instance(self) -> None:
        host = self._draw_host()
        self._record(host, "instance slow")
        host.instance.script.work_s = self.rng.uniform(0.05, 0.6)
        await asyncio.sleep(self._draw_duration_s())
        host.instance.script.work_s = SERVICE_TIME_S


SERVICE_TIME_S = 0.08
"""Time that an instance normally works on a request."""
