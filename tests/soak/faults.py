"""Faults from outside: what is done to a site, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from soak.proxy import Proxy, ProxyFault
from soak.site import Site, SoakHost

LASTS_S = (0.3, 3.0)
"""Bounds of a fault's length: shorter and longer than what nodes take for a failure."""
GAP_S = (0.1, 1.5)
"""Bounds of the pause before the next fault; below a fault's length, so that they overlap."""
LEAVE_S = 3.5
"""Time between the leaving of an instance and the start of the next: longer than any grace."""
DELAYS_S = (0.005, 0.05, 0.3)
"""Delays of a proxy."""
LOSSES = 4
"""Requests in a row that an instance spoils at most."""
TEMPERS = (
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
"""What an instance does to requests; see `users_platform.Script`."""


@dataclass
class FaultInjector:
    """Injects faults into a site until told to stop.

    Attributes
    ----------
    injected
        What was done, in order.
    """

    site: Site
    rng: random.Random
    say: Callable[[str], None]
    injected: list[str] = field(default_factory=list)
    _busy: set[int] = field(default_factory=set)

    def _tell(self, host: SoakHost | None, what: str) -> None:
        line = what if host is None else f"host {host.number}: {what}"
        self.injected.append(line)
        self.say(line)

    def _lasts_s(self) -> float:
        return self.rng.uniform(*LASTS_S)

    async def run(self, seconds: float) -> None:
        """Inject faults for some time, then wait until all are over."""
        kinds: list[tuple[Callable[[], Awaitable[None]], float]] = [
            (self._slow_link, 2.0),
            (self._reset_link, 2.0),
            (self._mute_link, 2.0),
            (self._refuse_link, 1.0),
            (self._stop_node, 2.0),
            (self._stop_in_turn, 0.5),
            (self._kill_node, 2.0),
            (self._freeze_node, 1.5),
            (self._store_trouble, 1.5),
            (self._instance_leaves, 2.0),
            (self._instance_temper, 3.0),
            (self._instance_slow, 1.0),
            (self._instances_lose, 1.0),
            (self._accept, 3.0),
        ]
        work = [kind for kind, _ in kinds]
        weights = [weight for _, weight in kinds]
        tasks: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(*GAP_S))
            tasks.add(asyncio.ensure_future(self.rng.choices(work, weights)[0]()))
        await asyncio.gather(*tasks)

    def _host(self) -> SoakHost:
        return self.rng.choice(self.site.hosts)

    def _proxy(self, host: SoakHost) -> Proxy:
        return self.rng.choice(host.proxies)

    # -- connections -------------------------------------------------------------------

    async def _harmed(self, host: SoakHost, proxy: Proxy, harm: ProxyFault, what: str) -> None:
        self._tell(host, f"{what} on port {proxy.port}")
        host.mark_disturbed()
        proxy.fault = harm
        await asyncio.sleep(self._lasts_s())
        proxy.fault = ProxyFault()
        host.mark_disturbed()

    async def _slow_link(self) -> None:
        host = self._host()
        delay_s = self.rng.choice(DELAYS_S)
        await self._harmed(host, self._proxy(host), ProxyFault(delay_s=delay_s), f"delay {delay_s}")

    async def _mute_link(self) -> None:
        host = self._host()
        ways = self.rng.choice(((True, True), (True, False), (False, True)))
        await self._harmed(
            host, self._proxy(host), ProxyFault(mute_up=ways[0], mute_down=ways[1]), "mute"
        )

    async def _refuse_link(self) -> None:
        host = self._host()
        proxy = self._proxy(host)
        proxy.reset()
        await self._harmed(host, proxy, ProxyFault(refuse=True), "refuse")

    async def _reset_link(self) -> None:
        host = self._host()
        proxy = self._proxy(host)
        self._tell(host, f"reset on port {proxy.port}")
        host.mark_disturbed()
        proxy.reset()

    # -- processes ---------------------------------------------------------------------

    async def _restart(self, host: SoakHost, number: int) -> None:
        if host.number in self._busy:
            return
        self._busy.add(host.number)
        try:
            self._tell(host, signal.Signals(number).name)
            await self.site.stop_node(host, number)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self.site.start_node(host)
        finally:
            self._busy.discard(host.number)

    async def _stop_node(self) -> None:
        await self._restart(self._host(), signal.SIGTERM)

    async def _stop_in_turn(self) -> None:
        for host in self.rng.sample(self.site.hosts, 2):
            await self._restart(host, signal.SIGTERM)

    async def _kill_node(self) -> None:
        await self._restart(self._host(), signal.SIGKILL)

    async def _freeze_node(self) -> None:
        host = self._host()
        if host.number in self._busy:
            return
        self._busy.add(host.number)
        self._tell(host, "SIGSTOP")
        host.mark_disturbed()
        host.frozen = True
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._lasts_s())
        host.signal(signal.SIGCONT)
        host.frozen = False
        host.mark_disturbed()
        self._busy.discard(host.number)

    # -- store and document ------------------------------------------------------------

    async def _store_trouble(self) -> None:
        store = self.site.store
        kind = self.rng.choice(("down", "loses answers", "silent", "forgets"))
        self._tell(None, f"store {kind}")
        if kind == "forgets":
            store.forget_history()
            return
        store.status = 503 if kind == "down" else 200
        store.lose_answers = kind == "loses answers"
        store.silent = kind == "silent"
        await asyncio.sleep(self._lasts_s())
        store.status, store.lose_answers, store.silent = 200, False, False

    async def _accept(self) -> None:
        self.site.accept()
        self._tell(None, f"version {self.site.version} accepted")

    # -- instances ---------------------------------------------------------------------

    async def _instance_leaves(self) -> None:
        host = self._host()
        if host.leaving or sum(one.leaving for one in self.site.hosts) > len(self.site.hosts) // 3:
            return
        self.site.leave(host)
        self._tell(host, f"instance {host.instance.name} leaves")
        await asyncio.sleep(LEAVE_S)
        # Without an acknowledgement it goes on to say that it leaves.
        while host.instance.name not in self.site.left_at:
            await asyncio.sleep(LASTS_S[0])
        await self.site.replace_instance(host)

    async def _instance_temper(self) -> None:
        host = self._host()
        temper = self.rng.choice(TEMPERS)
        self._tell(host, f"instance: {temper}")
        setattr(host.instance.script, temper, self.rng.randint(1, LOSSES))

    async def _instances_lose(self) -> None:
        """Let all instances lose answers for a while, which tempts nodes to send again."""
        self._tell(None, "all instances lose answers")
        until = asyncio.get_running_loop().time() + self._lasts_s()
        while asyncio.get_running_loop().time() < until:
            for host in self.site.hosts:
                host.instance.script.lose = 1
            await asyncio.sleep(WORK_S)

    async def _instance_slow(self) -> None:
        host = self._host()
        self._tell(host, "instance slow")
        host.instance.script.work_s = self.rng.uniform(0.05, 0.6)
        await asyncio.sleep(self._lasts_s())
        host.instance.script.work_s = WORK_S


WORK_S = 0.08
"""Time that an instance usually works on a request."""
