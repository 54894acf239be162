"""Measures how costs grow with size, and computes the control cost of a node at the target size.

The linear fits are those of docs/CAPACITY.md.
"""

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
# The target size of docs/CAPACITY.md; 230,000 calls/s arrive at all nodes together.
NODES = 1_100
SECTIONS = 120
ROUTES_PER_SECTION = 8
CHANGES_PER_DAY = 2_700
RESTARTS_PER_DAY = 142
DAY_S = 86_400
CALLS_PER_NODE = 230_000 / NODES
POLL_S = 4.0
REPETITIONS = 3
# Sends of one rumor by one node: gossip rounds times receivers in a round. A node receives as many
# on average.
SENDS_PER_RUMOR = 12


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A line fitted to measured points.

    Parameters
    ----------
    deviation
        Largest vertical distance of a point from the line, as a fraction of the largest value.
    """

    name: str
    per: str
    unit: str
    points: Sequence[tuple[float, float]]
    slope: float
    intercept: float
    deviation: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(name: str, per: str, unit: str, points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line to points and print both."""
    xs = [point[0] for point in points]
    ys = [point[1] for point in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    largest = max(abs(y) for y in ys) or 1.0
    deviation = max(abs(y - intercept - slope * x) for x, y in points) / largest
    fitted = LinearFit(name, per, unit, points, slope, intercept, deviation)
    listed = ", ".join(f"{x:.0f}: {y:.4g}" for x, y in points)
    print(
        f"{name} [{unit}] = {intercept:.4g} + {slope:.4g} x {per},"
        f" spread {deviation:.0%}  ({listed})"
    )
    return fitted


def cpu_us(function: Callable[[], object], iterations: int) -> float:
    """Return the CPU time of one call in microseconds, the least of several repetitions."""
    least_s = float("inf")
    for _ in range(REPETITIONS):
        started_at = time.process_time()
        for _ in range(iterations):
            function()
        least_s = min(least_s, (time.process_time() - started_at) / iterations)
    return least_s * 1e6


def allocated_bytes(create: Callable[[], object]) -> float:
    """Return the bytes that stay allocated after an object is created."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = create()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return float(allocated)


def fit_choice_cpu() -> LinearFit:
    """Fit the CPU time of a choice to the number of instances in a node's subset."""
    points = []
    for instances in (3, 6, 9, 12, 50, 100):
        simulation = Simulation(Scenario(instances=instances, nodes=1), lambda s, n: None)  # type: ignore
        balancer = new_balancer(simulation, 0)

        def choose(balancer=balancer, simulation=simulation) -> None:  # type: ignore[no-untyped-def]
            attempt = balancer.begin()
            simulation.clock.advance(0.001)
            balancer.end(attempt, AttemptResult.OK)

        points.append((float(instances), cpu_us(choose, 2_000)))
    return fit("choice", "instances", "us a call", points)


def fit_membership_cpu() -> LinearFit:
    """Fit the CPU time of the membership protocol, without the codec, to the number of nodes."""
    points = []
    for nodes in (100, 300, 600, 1_100):
        network = SimulatedNetwork(nodes, seed=1, loss=0.01)
        network.run(8.0)
        started_at = time.process_time()
        network.run(4.0)
        points.append((float(nodes), (time.process_time() - started_at) / 4.0 / nodes * 1e6))
    return fit("membership logic", "nodes", "us a second a node", points)


def fit_membership_memory() -> LinearFit:
    """Fit the memory of one node's member list to the number of nodes."""
    points = []
    for nodes in (100, 300, 600, 1_100):

        def create(nodes: int = nodes) -> Membership:
            updates = [member_update(number) for number in range(nodes)]
            membership = Membership(updates[0], random.Random(1), lambda node, message: None)
            membership.join(updates, 0.0)
            return membership

        points.append((float(nodes), allocated_bytes(create) / 1024))
    return fit("membership memory", "nodes", "KiB", points)


def fit_codec_cpu() -> LinearFit:
    """Fit the CPU time to encode, sign, verify and decode a datagram to its number of updates."""
    node, peer = member_update(0).node, member_update(1).node
    signer, verifier = DatagramSigner(["bench key, not secret"], node, 1), DatagramSigner(
        ["bench key, not secret"], peer, 1
    )
    points = []
    for updates in (0, 2, 4, 8):
        message = Message(node, Rumor(), 1, 2, tuple(member_update(n) for n in range(updates)))
        points.append(
            (float(updates), cpu_us(lambda m=message: verifier.verify(signer.sign(peer, m)), 1_000))  # type: ignore
        )
    return fit("codec, both ends", "updates", "us a datagram", points)


def section_data(number: int) -> dict[str, object]:
    """Return the parsed text of a section of the target's size."""
    return {
        "owners": [f"team-{number}"],
        "services": {f"service-{number}": {"subset_size": 12}},
        "routes": [
            {"path": f"/service-{number}/part-{part}", "service": f"service-{number}"}
            for part in range(ROUTES_PER_SECTION)
        ],
    }


def fit_document_cost() -> tuple[LinearFit, LinearFit]:
    """Fit the CPU time to apply one changed section, and the memory, to the number of sections."""
    cpu_points, memory_points = [], []
    for sections in (15, 30, 60, 120):
        data = {SectionName(f"s{number}"): section_data(number) for number in range(sections)}
        versions = dict.fromkeys(data, 1)

        async def measure_change(data: dict = data, versions: dict = versions) -> float:
            controller = DocumentController(
                MemoryTable(), None, 4.0, LoopClock(), random.Random(1), Metrics()  # type: ignore
            )
            controller._adopt(DocumentHead(1, versions), data)
            first = next(iter(data))
            count = 0

            def apply_change() -> None:
                nonlocal count
                count += 1
                head = DocumentHead(1 + count, {**versions, first: 1 + count})
                assert controller._adopt(head, {first: data[first]})

            return cpu_us(apply_change, 50)

        cpu_points.append((float(sections), run_virtual(measure_change())))

        def create(data: dict = data) -> object:
            copy = json.loads(json.dumps(data))
            return copy, check_document(
                {name: section_from_data(part, name) for name, part in copy.items()}
            )

        memory_points.append((float(sections), allocated_bytes(create) / 1024))
    return (
        fit("document change", "sections", "us a change", cpu_points),
        fit("document memory", "sections", "KiB", memory_points),
    )


def accept_writes() -> tuple[int, int]:
    """Return the table writes and reads to accept an edit at the target's number of sections."""

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
    """Return the bytes of typical datagrams, including IP and UDP headers."""
    signer = DatagramSigner(["bench key, not secret"], NodeId("10.0.0.1:7000"), 1)
    entry = LoadEntry(InstanceId("service-100-a1b2c3"), 9)
    message_by_name = {
        "ping": Message(member_update(0).node, Ping(1), 1_000, 2**62),
        "rumour of one": Message(member_update(0).node, Rumor(), 1, 2**62, (member_update(1),)),
        "report of one": Message(member_update(0).node, LoadReport((entry,)), 1_000, 2**62),
        "report of four": Message(member_update(0).node, LoadReport((entry,) * 4), 1, 2**62),
    }
    peer = member_update(1).node
    return {
        name: len(signer.sign(peer, message)) + HEADER_BYTES
        for name, message in message_by_name.items()
    }


def plot(fits: Sequence[LinearFit]) -> None:
    """Plot each fit with its points."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    PLOT_FOLDER.mkdir(parents=True, exist_ok=True)
    for fitted in fits:
        figure, axes = pyplot.subplots(figsize=(5, 3))
        xs = [point[0] for point in fitted.points]
        axes.plot(xs, [point[1] for point in fitted.points], "o")
        axes.plot(xs, [fitted.at(x) for x in xs])
        axes.set_xlabel(fitted.per)
        axes.set_ylabel(fitted.unit)
        axes.set_title(fitted.name)
        figure.tight_layout()
        figure.savefig(PLOT_FOLDER / f"{fitted.name.replace(',', '').replace(' ', '-')}.png")
        pyplot.close(figure)


def print_target_cost(
    choice: LinearFit, membership: LinearFit, codec: LinearFit, change: LinearFit
) -> None:
    """Print the control cost of a node at the target size."""
    sizes = datagram_bytes()
    print(f"\ndatagram bytes: {sizes}")
    writes, reads = accept_writes()
    print(f"an acceptance: {writes} writes, {reads} reads at {SECTIONS} sections")
    pings_per_s = 8.0  # 2 pings and 2 acks a second, each sent and received
    # A document change spreads one update, a restart three.
    events_per_s = (CHANGES_PER_DAY + 3 * RESTARTS_PER_DAY) / DAY_S
    rumors_per_s = 2 * SENDS_PER_RUMOR * events_per_s
    # The codec fit covers both ends, of which a node pays for one.
    ping_us = codec.at(0) / 2
    membership_us = membership.at(NODES) + pings_per_s * ping_us + rumors_per_s * codec.at(1) / 2
    change_us = change.at(SECTIONS) * CHANGES_PER_DAY / DAY_S
    print(f"membership and spread: {membership_us / 1e4:.2f}% of a core,")
    print(f"  {pings_per_s * sizes['ping'] + rumors_per_s * sizes['rumour of one']:.0f} bytes/s")
    print(f"document changes: {change_us / 1e4:.4f}% of a core")
    print(f"polls of the head: {NODES / POLL_S:.0f} reads/s of the table in all")
    choice_share = choice.at(9) * CALLS_PER_NODE / 1e4
    print(f"choice: {choice_share:.2f}% of a core at {CALLS_PER_NODE:.0f} calls/s, 9 instances")


def main() -> None:
    """Run from the command line."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    fits = [
        fit_choice_cpu(),
        fit_membership_cpu(),
        fit_membership_memory(),
        fit_codec_cpu(),
        *fit_document_cost(),
    ]
    plot(fits)
    print_target_cost(fits[0], fits[1], fits[3], fits[4])


if __name__ == "__main__":
    main()
