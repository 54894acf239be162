"""Measures the slopes of docs/CAPACITY.md and works out the target size from them."""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.policies import new_balancer
from bench.simulation import Scenario, Simulation
from peridottrack.balancer import AttemptResult
from peridottrack.clock import LoopClock, run_virtual
from peridottrack.controllers.document import DocumentController
from peridottrack.datagramcodec import HEADER_BYTES, DatagramSigner
from peridottrack.document import check_document, section_from_data
from peridottrack.membership import Membership
from peridottrack.messages import LoadEntry, LoadReport, Message, Ping, Rumor
from peridottrack.metrics import Metrics
from peridottrack.revisions import DocumentHead, SectionEdit, accept
from peridottrack.standin.memory import MemoryTable
from peridottrack.standin.network import SimulatedNetwork, member_update
from peridottrack.types import InstanceId, NodeId, SectionName

PLOT_FOLDER = Path("docs/capacity")
NODES = 1_100
SECTIONS = 120
ROUTES_PER_SECTION = 8
CHANGES_PER_DAY = 2_700
RESTARTS_PER_DAY = 142
DAY_S = 86_400
CALLS_PER_NODE = 230_000 / NODES
POLL_S = 4.0
REPEATS = 3
# Rumour rounds times receivers; what one node sends is what it receives on average.
RUMOR_SENDS = 12


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points.

    Parameters
    ----------
    spread
        Largest distance of a point from the line, as a share of the largest value.
    """

    name: str
    per: str
    unit: str
    points: Sequence[tuple[float, float]]
    slope: float
    base: float
    spread: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.slope * size


def fit(name: str, per: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line and print it with its points."""
    xs = [point[0] for point in points]
    ys = [point[1] for point in points]
    slope, base = statistics.linear_regression(xs, ys)
    largest = max(abs(y) for y in ys) or 1.0
    spread = max(abs(y - base - slope * x) for x, y in points) / largest
    line = Slope(name, per, unit, points, slope, base, spread)
    shown = ", ".join(f"{x:.0f}: {y:.4g}" for x, y in points)
    print(f"{name} [{unit}] = {base:.4g} + {slope:.4g} x {per}, spread {spread:.0%}  ({shown})")
    return line


def cpu_us(work: Callable[[], object], times: int) -> float:
    """Return the least processor time of one piece of work, in microseconds."""
    best = float("inf")
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(times):
            work()
        best = min(best, (time.process_time() - began) / times)
    return best * 1e6


def held_bytes(make: Callable[[], object]) -> float:
    """Return the memory that a made object holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del made
    return float(held)


def choice_slope() -> Slope:
    """Processor time of a choice against the instances of a node's subset."""
    points = []
    for instances in (3, 6, 9, 12, 50, 100):
        scene = Simulation(Scenario(instances=instances, nodes=1), lambda s, n: None)  # type: ignore
        balancer = new_balancer(scene, 0)

        def choose(balancer=balancer, scene=scene) -> None:  # type: ignore[no-untyped-def]
            attempt = balancer.begin()
            scene.clock.advance(0.001)
            balancer.end(attempt, AttemptResult.OK)

        points.append((float(instances), cpu_us(choose, 2_000)))
    return fit("choice", "instances", "us a call", points)


def membership_cpu_slope() -> Slope:
    """Processor time of the protocol without the codec, per node and second."""
    points = []
    for nodes in (100, 300, 600, 1_100):
        network = SimulatedNetwork(nodes, seed=1, loss=0.01)
        network.run(8.0)
        began = time.process_time()
        network.run(4.0)
        points.append((float(nodes), (time.process_time() - began) / 4.0 / nodes * 1e6))
    return fit("membership logic", "nodes", "us a second a node", points)


def membership_memory_slope() -> Slope:
    """Memory of one node's view."""
    points = []
    for nodes in (100, 300, 600, 1_100):

        def make(nodes: int = nodes) -> Membership:
            updates = [member_update(number) for number in range(nodes)]
            membership = Membership(updates[0], random.Random(1), lambda node, message: None)
            membership.join(updates, 0.0)
            return membership

        points.append((float(nodes), held_bytes(make) / 1024))
    return fit("membership memory", "nodes", "KiB", points)


def codec_slope() -> Slope:
    """Processor time to seal, open, encode and decode, against updates in a datagram."""
    me, peer = member_update(0).node, member_update(1).node
    sealer, opener = DatagramSigner(["bench key, not secret"], me, 1), DatagramSigner(
        ["bench key, not secret"], peer, 1
    )
    points = []
    for updates in (0, 2, 4, 8):
        message = Message(me, Rumor(), 1, 2, tuple(member_update(n) for n in range(updates)))
        points.append(
            (float(updates), cpu_us(lambda m=message: opener.verify(sealer.sign(peer, m)), 1_000))  # type: ignore
        )
    return fit("codec, both ends", "updates", "us a datagram", points)


def section_data(number: int) -> dict[str, object]:
    """Return a section of the target's size, as parsed."""
    return {
        "owners": [f"team-{number}"],
        "services": {f"service-{number}": {"subset_size": 12}},
        "routes": [
            {"path": f"/service-{number}/part-{part}", "service": f"service-{number}"}
            for part in range(ROUTES_PER_SECTION)
        ],
    }


def document_slopes() -> tuple[Slope, Slope]:
    """Processor time to bring one changed section into force, and memory, against sections."""
    times, memories = [], []
    for sections in (15, 30, 60, 120):
        data = {SectionName(f"s{number}"): section_data(number) for number in range(sections)}
        versions = dict.fromkeys(data, 1)

        async def change(data: dict = data, versions: dict = versions) -> float:
            controller = DocumentController(
                MemoryTable(), None, 4.0, LoopClock(), random.Random(1), Metrics()  # type: ignore
            )
            controller._adopt(DocumentHead(1, versions), data)
            first = next(iter(data))
            count = 0

            def adopt() -> None:
                nonlocal count
                count += 1
                head = DocumentHead(1 + count, {**versions, first: 1 + count})
                assert controller._adopt(head, {first: data[first]})

            return cpu_us(adopt, 50)

        times.append((float(sections), run_virtual(change())))

        def make(data: dict = data) -> object:
            copied = json.loads(json.dumps(data))
            return copied, check_document(
                {name: section_from_data(part, name) for name, part in copied.items()}
            )

        memories.append((float(sections), held_bytes(make) / 1024))
    return (
        fit("document change", "sections", "us a change", times),
        fit("document memory", "sections", "KiB", memories),
    )


def accept_writes() -> tuple[int, int]:
    """Return the table's writes and reads for one acceptance at the target's sections."""

    async def run() -> tuple[int, int]:
        table = MemoryTable()
        for number in range(SECTIONS):
            text = json.dumps(section_data(number))
            await accept(
                table, SectionEdit(SectionName(f"s{number}"), 0, text, f"team-{number}", 0.0)
            )
        writes, reads = table.writes, table.reads
        text = json.dumps(section_data(3))
        await accept(table, SectionEdit(SectionName("s3"), 1, text, "team-3", 0.0))
        return table.writes - writes, table.reads - reads

    return run_virtual(run())


def datagram_bytes() -> dict[str, int]:
    """Return the size of the usual datagrams, headers included."""
    sealer = DatagramSigner(["bench key, not secret"], NodeId("10.0.0.1:7000"), 1)
    entry = LoadEntry(InstanceId("service-100-a1b2c3"), 9)
    bodies = {
        "ping": Message(member_update(0).node, Ping(1), 1_000, 2**62),
        "rumour of one": Message(member_update(0).node, Rumor(), 1, 2**62, (member_update(1),)),
        "report of one": Message(member_update(0).node, LoadReport((entry,)), 1_000, 2**62),
        "report of four": Message(member_update(0).node, LoadReport((entry,) * 4), 1, 2**62),
    }
    peer = member_update(1).node
    return {name: len(sealer.sign(peer, body)) + HEADER_BYTES for name, body in bodies.items()}


def plot(slopes: Sequence[Slope]) -> None:
    """Draw each slope with its points."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    PLOT_FOLDER.mkdir(parents=True, exist_ok=True)
    for line in slopes:
        figure, axes = pyplot.subplots(figsize=(5, 3))
        xs = [point[0] for point in line.points]
        axes.plot(xs, [point[1] for point in line.points], "o")
        axes.plot(xs, [line.at(x) for x in xs])
        axes.set_xlabel(line.per)
        axes.set_ylabel(line.unit)
        axes.set_title(line.name)
        figure.tight_layout()
        figure.savefig(PLOT_FOLDER / f"{line.name.replace(',', '').replace(' ', '-')}.png")
        pyplot.close(figure)


def target_size(choice: Slope, logic: Slope, codec: Slope, change: Slope) -> None:
    """Work out the control cost of a node at the target size."""
    sizes = datagram_bytes()
    print(f"\ndatagram bytes: {sizes}")
    writes, reads = accept_writes()
    print(f"an acceptance: {writes} writes, {reads} reads at {SECTIONS} sections")
    pings_per_s = 8.0  # 2 pings and 2 acks a second, each sent and received
    events_per_s = (CHANGES_PER_DAY + 3 * RESTARTS_PER_DAY) / DAY_S
    rumours_per_s = 2 * RUMOR_SENDS * events_per_s
    ping_us = codec.at(0) / 2
    membership_us = logic.at(NODES) + pings_per_s * ping_us + rumours_per_s * codec.at(1) / 2
    change_us = change.at(SECTIONS) * CHANGES_PER_DAY / DAY_S
    print(f"membership and spread: {membership_us / 1e4:.2f}% of a core,")
    print(f"  {pings_per_s * sizes['ping'] + rumours_per_s * sizes['rumour of one']:.0f} bytes/s")
    print(f"document changes: {change_us / 1e4:.4f}% of a core")
    print(f"polls of the head: {NODES / POLL_S:.0f} reads/s of the table in all")
    choice_share = choice.at(9) * CALLS_PER_NODE / 1e4
    print(f"choice: {choice_share:.2f}% of a core at {CALLS_PER_NODE:.0f} calls/s, 9 instances")


def main() -> None:
    """Run from the command line."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    slopes = [
        choice_slope(),
        membership_cpu_slope(),
        membership_memory_slope(),
        codec_slope(),
        *document_slopes(),
    ]
    plot(slopes)
    target_size(slopes[0], slopes[1], slopes[3], slopes[4])


if __name__ == "__main__":
    main()
