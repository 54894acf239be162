"""An instance has deregistered; its node is killed; an earlier heartbeat arrives late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import Instance, Machine, World, document, main  # noqa: E402

DRAIN_S = 2.0  # bounds.drain_s
TOUCH_S = 3.0  # bounds.touch_s
LATE_S = 3.5  # how late the heartbeat is: "seconds"
STAY_S = 12.0  # how long the instance goes on serving: "at times many seconds"
DOWN_S = 1.0  # how long the killed process is down; buzulip-mesh: 3.5
GAP_S = 0.05  # between two requests of the clients of one machine


async def play(world: World, trouble: bool) -> int:
    record = world.record
    await world.store.start("127.0.0.1")
    routes = [
        ["order", "/order/", "non_idempotent", 2, 0.4, 2, "siparis"],
        ["stock", "/stock/", "idempotent", 2, 0.3, 2, "katalog"],
    ]
    world.store.put("op", "config", document(3, routes, ["siparis", "katalog"]))
    for service in ("siparis", "katalog"):
        for zone in ("a", "b", "c"):
            await world.add(Instance(f"i-{service}-{zone}", service, record), zone)
    await world.start_all()
    leaver = world.machines[0]
    instance = leaver.instance
    sent_at: dict[str, tuple[float, Machine]] = {}
    unready = False

    async def clients(machine: Machine) -> None:
        while True:
            if not (unready and machine is leaver):
                world.spawn(one(machine))
            await asyncio.sleep(GAP_S)

    async def one(machine: Machine) -> None:
        now = record.now()
        request_id, _ = await world.request(machine, "POST", "/order/1", b"12 m")
        sent_at[request_id] = (now, machine)

    for machine in world.machines:
        world.spawn(clients(machine))
    await asyncio.sleep(3)

    late_beat = instance.beat_body()
    record("heartbeat sent, it will be late", at=instance.name, sequence=instance.sequence)
    await asyncio.sleep(0.2)
    status = await instance.deregister()
    acknowledged_at = record.now()
    record("deregistered", at=instance.name, status=status)
    if status != 200:
        return 2
    restarted_at = float("-inf")
    if trouble:
        await asyncio.sleep(0.3)
        unready = True
        await leaver.kill()
        await asyncio.sleep(DOWN_S)
        await leaver.start()
        restarted_at = record.now()
        while not await leaver.ready():
            await asyncio.sleep(0.1)
        unready = False
    await asyncio.sleep(max(0.0, acknowledged_at + LATE_S - record.now()))
    status = await instance.beat(late_beat)
    record("late heartbeat delivered", status=status)
    await asyncio.sleep(max(0.0, acknowledged_at + STAY_S - record.now()))
    instance.stop()
    record("instance ended", at=instance.name)
    await asyncio.sleep(3)

    bound = max(acknowledged_at + DRAIN_S, restarted_at + TOUCH_S)
    late = [
        (request_id, at)
        for request_id, at in instance.runs
        if at > bound and sent_at.get(request_id, (0.0, leaver))[0] > bound
    ]
    machines = {sent_at[request_id][1].name for request_id, _ in late if request_id in sent_at}
    record("bound", at=round(bound, 3), late_runs=len(late), sent_on_by=sorted(machines))
    for request_id, at in late[:5]:
        record("late run", id=request_id, after_ack_s=round(at - acknowledged_at, 2))
    print(f"runs later than drain_s after the acknowledgement, by machines in touch: {len(late)}")
    return 1 if late else 0


main(str(Path(__file__).parent), play)
