"""Machines are added while answers of the platform's store are lost: is the quota still one?"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import world as w  # noqa: E402

KEY = "key-of-the-herbarium"
RATE, BURST = 100, 50
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
OLD, ADDED = 17, 5
LOST_WRITES = 2
"""Those of the machine that is watched, of six while answers are lost: under the pages' share."""
LOST_FOR_S = 4.5
LATE_S = 5.0
SCALE_OUT_GAP_S = 0.5
USUAL_PER_S, HOT, HOT_S = 20, 6.5, 6.5
"""Requests a second of the tenant at each of two machines, and for how long it sends how many times
as many."""
HOT_AFTER_S, AFTER_S = 1.0, 5.0
"""Seconds of the usual traffic before and after that."""


async def press(world: w.World, machine: w.Machine, sent: dict, numbers) -> None:
    """Send the tenant's requests at a machine, each on a connection of its own."""
    began_at = world.record.now()

    async def one(request_id: str) -> None:
        headers = {
            "Request-Id": request_id,
            "Request-Deadline": "1500",
            "Authorization": f"Bearer {KEY}",
        }
        sent[request_id] = world.record.now()
        world.record.write(f"sent   {machine.ip} {request_id} GET /sheet/1")
        try:
            caller = await w.Caller.connect(machine.callers)
            status, answer, _ = await caller.send("GET", "/sheet/1", headers)
            caller.close()
            world.record.write(f"answer {request_id} {status}")
        except (OSError, asyncio.IncompleteReadError) as error:
            world.record.write(f"answer {request_id} none {error!r}")

    tasks = []
    while (elapsed_s := world.record.now() - began_at) < HOT_AFTER_S + HOT_S + AFTER_S:
        tasks.append(asyncio.create_task(one(f"r{next(numbers)}")))
        is_hot = HOT_AFTER_S <= elapsed_s < HOT_AFTER_S + HOT_S
        await asyncio.sleep(1 / (USUAL_PER_S * (HOT if is_hot else 1)))
    await asyncio.gather(*tasks)


def most_in_window(world: w.World, sent: dict[str, float]) -> tuple[int, float]:
    """Return the most requests that were both sent and run within a window, and its start."""
    spans = sorted((sent[run.id], run.at) for run in world.runs if run.id in sent)
    most, start = 0, 0.0
    for begin, _ in spans:
        count = sum(begin <= at and ran <= begin + WINDOW_S for at, ran in spans)
        most, start = max((most, start), (count, begin))
    return most, start


async def play(folder: Path) -> bool:
    route = {
        "name": "sheet-view",
        "prefix": "/sheet/",
        "kind": "idempotent",
        "timeout_s": 2,
        "target_latency_s": 0.332,
        "attempts": 2,
        "service": "viewer",
    }
    tenant = {"name": "herbarium", "api_keys": [KEY], "rate_per_s": RATE, "burst": BURST}
    world = w.World(
        folder,
        w.config([route], [tenant]),
        key_validity_s=5,
        quota_window_s=WINDOW_S,
        quota_over=OVER,
        quota_slack=SLACK,
    )
    try:
        await world.start()
        old = [await world.add("viewer") for _ in range(OLD)]
        await world.until_ready(old, 9.0)
        world.record.say(f"machines are added; the store loses answers: {w.TROUBLE}")
        added_at, lost, seen = world.record.now(), [], []

        def lose(rows: list[dict[str, str]]) -> float | None:
            """Lose the answers to the first writes of the watched machine; do them later."""
            if world.record.now() > added_at + LOST_FOR_S:
                return None
            seen.append(rows)
            is_watched = any(row["key"].startswith(watched_ip + ":") for row in rows)
            loses = w.TROUBLE and is_watched and len(lost) < LOST_WRITES
            world.record.say(f"write  {[row['key'] for row in rows]} answer lost: {loses}")
            if loses:
                lost.append(rows)
            return LATE_S if loses else None

        watched_ip = f"{world._net}.{OLD + 1}"
        world.store.lose = lose
        added = []
        for _ in range(ADDED):
            added.append(await world.add("viewer"))
            await asyncio.sleep(SCALE_OUT_GAP_S / ADDED)
        await world.until_ready(added, 0.0)
        watched = next(machine for machine in added if machine.ip == watched_ip)
        sent: dict[str, float] = {}
        numbers = itertools.count(1)
        await asyncio.gather(
            press(world, old[0], sent, numbers), press(world, watched, sent, numbers)
        )
        for machine in (old[0], watched):
            events = [
                json.loads(line) for line in world.log_of(machine).splitlines() if "{" in line
            ]
            for event in events:
                if event.get("event") in ("quota holder changed", "entry not written", "link up"):
                    world.record.write(f"log    {machine.ip} {json.dumps(event)}")
        most, start = most_in_window(world, sent)
        world.record.say(
            f"writes while answers were lost: {len(seen)}, of them lost: {len(lost)}; most requests"
            f" sent and run in {WINDOW_S} s: {most} (from {start:.2f} s); allowed: {BOUND:.0f}"
        )
        return most > BOUND
    finally:
        await world.stop()


w.main(str(Path(__file__).parent), play)
