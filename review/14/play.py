"""A request that crashes instances is known as such; then nodes restart in turn."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import world as w  # noqa: E402

MACHINES, RESTARTED = 4, 3
TOUCH_S = 3.0
BACK_AFTER_S = 2.0
"""How long an instance is down after a crash."""
GRACE_S = 6.0
RETRIES_ALLOWED = 3
POISON = "/flight/poison"


class Crashing:
    """Lets an instance crash when it begins to run the request, and start again."""

    def __init__(self, world: w.World, machine: w.Machine) -> None:
        self._world, self._machine = world, machine
        self._starts = itertools.count(2)
        self._tasks: set[asyncio.Task[None]] = set()
        machine.instance.work = self.work

    def work(self, request: w.Request) -> tuple[float, bytes]:
        if request.target != POISON:
            return 0.05, b"flight"
        self._tasks.add(asyncio.create_task(self._crash()))
        return 60.0, b""

    async def _crash(self) -> None:
        machine, instance = self._machine, self._machine.instance
        self._world.record.say(f"instance {instance.name} crashes")
        instance.stop()
        await asyncio.sleep(BACK_AFTER_S)
        instance.name = f"{instance.name.partition('.')[0]}.{next(self._starts)}"
        instance.born, instance.sequence = int(time.time() * 1000), 0
        await instance.start(machine.ip, machine.ports["app"], machine.address("control"))


async def send(world: w.World, machine: w.Machine, path: str, numbers) -> int:
    """Send one request; return the status, 0 for none."""
    request_id = f"r{next(numbers)}"
    headers = {"Request-Id": request_id, "Request-Deadline": "1500"}
    world.record.write(f"sent   {machine.ip} {request_id} GET {path}")
    status = 0
    try:
        caller = await w.Caller.connect(machine.callers)
        status, _, _ = await caller.send("GET", path, headers)
        caller.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        world.record.write(f"failed {request_id} {error!r}")
    world.record.write(f"answer {request_id} {status}")
    return status


async def poison(world: w.World, machine: w.Machine, numbers, times: int) -> None:
    """Let the request come again, when all instances are back."""
    for _ in range(times):
        status = await send(world, machine, POISON, numbers)
        world.record.say(f"the request comes at {machine.ip}: {status}")
        await asyncio.sleep(BACK_AFTER_S + 1.5)


async def restart(world: w.World, machine: w.Machine) -> None:
    """Stop a node as the platform does, and start it again."""
    machine.signal(signal.SIGTERM)
    ends_at = time.monotonic() + GRACE_S
    while machine.process.poll() is None and time.monotonic() < ends_at:
        await machine.ready()  # the platform's check, once a second
        await asyncio.sleep(1.0)
    if machine.process.poll() is None:
        machine.process.kill()
    machine.process.wait()
    world.start_node(machine)
    await world.until_ready([machine], 0.0)
    world.record.say(f"node {machine.ip} has restarted")


async def play(folder: Path) -> bool:
    route = {
        "name": "catalogue-read",
        "prefix": "/flight/",
        "kind": "idempotent",
        "timeout_s": 1.5,
        "target_latency_s": 0.4,
        "attempts": 2,
        "service": "catalogue",
    }
    world = w.World(folder, w.config([route]))
    try:
        await world.start()
        machines = [await world.add("catalogue", 12) for _ in range(MACHINES)]
        crashing = [Crashing(world, machine) for machine in machines]
        await world.until_ready(machines)
        numbers = itertools.count(1)
        arrivals = lambda: sorted(  # noqa: E731
            (run for run in world.runs if run.target == POISON), key=lambda run: run.at
        )
        while len(arrivals()) < 3:
            await poison(world, machines[-1], numbers, 1)
        third_at = arrivals()[2].at
        await asyncio.sleep(TOUCH_S)
        for machine in machines:
            await poison(world, machine, numbers, 1)
        before = len(arrivals())
        for machine in machines[:RESTARTED]:
            if w.TROUBLE:
                await restart(world, machine)
            await asyncio.sleep(TOUCH_S + 0.5)  # in touch again
            await poison(world, machine, numbers, 3)
        late = {run.id for run in arrivals() if run.at > third_at + TOUCH_S}
        served = await asyncio.gather(
            *(send(world, machine, "/flight/1", numbers) for machine in machines)
        )
        world.record.say(
            f"crashes until all nodes refused the request: {before}; all: {len(arrivals())};"
            f" retries that reached instances later than {TOUCH_S} s after the third crash:"
            f" {len(late)}; ordinary requests: {served}"
        )
        del crashing
        return len(late) > RETRIES_ALLOWED
    finally:
        await world.stop()


w.main(str(Path(__file__).parent), play)
