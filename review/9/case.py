"""Quotas are lifted while their holders are down and clients of these tenants leave early."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from world import HOST_NAME, Host, World, document, read_answer, run_case  # noqa: E402

SLOTS = 3
ROUTE_TIMEOUT_S = 2.0
DEADLINE_MS = 5000
LATE_S = 0.5
PATIENCE_S = 0.166
"""Half of the objective of 332 ms, within which they leave."""
KILLED = 4
"""Processes killed at the same moment, the holders of quotas among them."""
LIFTED_AFTER_S = 0.5
"""Seconds from the kill until the quota of a first tenant is lifted."""
CHANGES_S = 0.33
"""Seconds between two changes, `gap_s` of `config_storm` in the site file."""
HOSTS = [(f"a{number}", "viewer", f"jo-central-{'abcd'[number % 4]}") for number in range(8)]
ROUTE = ["sheet-view", "/view/", "idempotent", ROUTE_TIMEOUT_S, 0.33, 2, 2, "viewer"]
CURATORS = "curators"
PARTNERS = [f"partner-{number}" for number in range(22)]
"""Tenants whose clients leave early: of 75 tenants, and of all requests, less than 0.3."""
OTHERS = [f"other-{number}" for number in range(52)]
LEAVING_PER_S = 1.3
"""Requests a second of each partner at each machine."""
STAYING_PER_S = 90.0
"""Requests a second of all other tenants at each machine."""


@dataclass
class Asked:
    """A request with a tenant's key."""

    tenant: str
    node: str
    outcome: str
    took_s: float


class Tenants:
    """Clients of the tenants on all machines."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.asked: list[Asked] = []
        self._numbers = itertools.count(1)
        self._rng = random.Random(9)

    async def ask(self, host: Host, tenant: str, patience_s: float) -> Asked:
        """Send one request on a new connection; leave once the patience has ended."""
        request_id = f"{next(self._numbers):08x}"
        self._world.record.write("sent", id=request_id, node=host.name, tenant=tenant)
        started_at, outcome, writer = time.monotonic(), "left", None
        try:
            async with asyncio.timeout(patience_s):
                ip, _, port = host.address("callers").rpartition(":")
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(
                    f"GET /view/sheets/8/600 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                    f"Request-Id: {request_id}\r\nRequest-Deadline: {DEADLINE_MS}\r\n"
                    f"Authorization: Bearer key-of-{tenant}\r\n\r\n".encode()
                )
                status, _, _ = await read_answer(reader)
                outcome = str(status)
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError):
            outcome = "closed"
        finally:
            if writer is not None:
                writer.close()
        took_s = round(time.monotonic() - started_at, 3)
        self._world.record.write("answered", id=request_id, outcome=outcome, s=took_s)
        one = Asked(tenant, host.name, outcome, took_s)
        self.asked.append(one)
        return one

    async def leave_early(self, host: Host) -> None:
        """Ask as clients of the partners that leave before the answer."""
        tasks: set[asyncio.Task[Asked]] = set()
        while True:
            await asyncio.sleep(self._rng.expovariate(LEAVING_PER_S * len(PARTNERS)))
            patience_s = self._rng.uniform(0.01, PATIENCE_S)
            task = asyncio.create_task(self.ask(host, self._rng.choice(PARTNERS), patience_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def stay(self, host: Host, per_s: float, until: float, tenants: list[str]) -> list[Asked]:
        """Ask as clients of some tenants, and wait until the deadline."""
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(per_s))
            tasks.append(
                asyncio.create_task(self.ask(host, self._rng.choice(tenants), DEADLINE_MS / 1000))
            )
        return list(await asyncio.gather(*tasks))


def configuration(version: int, limited: list[str]) -> dict[str, Any]:
    """Return a configuration in which some tenants have a quota."""
    rows = [
        [
            name,
            [f"key-of-{name}"],
            200 if name in limited else None,
            100 if name in limited else None,
        ]
        for name in (CURATORS, *PARTNERS, *OTHERS)
    ]
    tenants = {"columns": ["name", "api_keys", "rate_per_s", "burst"], "rows": rows}
    return document(version, [ROUTE], ["viewer"]) | {"tenants": tenants}


async def main(world: World, trouble: bool) -> int:
    """Run the case; return the exit code."""
    await world.start(HOSTS, SLOTS, configuration(7, [CURATORS, *PARTNERS, *OTHERS]))
    await world.wait_ready()
    await asyncio.sleep(9)
    holders = set((await world.dump(world.hosts[0]))["quotas"]["holder_by_slot"].values())
    ips = {node.rpartition(":")[0] for node in holders}
    killed = sorted(world.hosts, key=lambda host: host.ip not in ips)[:KILLED]
    others = [host for host in world.hosts if host not in killed]
    tenants = Tenants(world)
    calm = await asyncio.gather(
        *(tenants.stay(host, 3, time.monotonic() + 2, [CURATORS]) for host in others)
    )
    asked_before = len(tenants.asked)
    early = [asyncio.create_task(tenants.leave_early(host)) for host in others]
    until = time.monotonic() + 4
    staying = asyncio.gather(
        *(tenants.stay(host, STAYING_PER_S, until, [CURATORS, *OTHERS]) for host in others)
    )
    await asyncio.sleep(1)
    if trouble:
        for host in killed:
            world.kill(host)
    limited = [CURATORS, *PARTNERS, *OTHERS]
    await asyncio.sleep(LIFTED_AFTER_S)
    for version, lifted in ((9, PARTNERS[:8]), (14, PARTNERS[8:15]), (16, PARTNERS[15:])):
        limited = [name for name in limited if name not in lifted]
        world.publish(configuration(version, limited))
        await asyncio.sleep(CHANGES_S)
    await asyncio.sleep(2)
    for task in early:
        task.cancel()
    await staying
    during = tenants.asked[asked_before:]
    await world.wait_ready()
    # The machines that were not touched have been in touch all the while; the store is sound.
    await asyncio.sleep(6)
    since = time.monotonic()
    late = await asyncio.gather(*(tenants.stay(host, 3, since + 6, [CURATORS]) for host in others))
    asked = [one for of_host in late for one in of_host]
    unanswered = [one for one in asked if one.took_s > ROUTE_TIMEOUT_S]
    too_late = [one for one in unanswered if one.took_s > ROUTE_TIMEOUT_S + LATE_S]
    broken = len(too_late) >= 8 and len(too_late) > len(unanswered) / 2
    result = {
        "trouble": trouble,
        "holders": len(holders),
        "leaving": sum(one.tenant in PARTNERS for one in during),
        "staying": sum(one.tenant not in PARTNERS for one in during),
        "before": Counter(one.outcome for of_host in calm for one in of_host),
        "after": Counter(one.outcome for one in asked),
        "unanswered_at_timeout": len(unanswered),
        "and_half_a_second_later": len(too_late),
        "at_nodes": sorted({one.node for one in too_late}),
        "broken": broken,
    }
    world.record.write("result", json=json.dumps(result))
    print(json.dumps(result))
    return 1 if broken else 0


run_case(main)
