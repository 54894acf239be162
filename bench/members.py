"""Membership and spread of versions at 16 to 1,100 nodes, in virtual time."""

from __future__ import annotations

import argparse
import random
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from bench.report import Report
from peridottrack.datagramcodec import HEADER_BYTES, DatagramSigner
from peridottrack.messages import MemberState, Message
from peridottrack.standin.network import SimulatedNetwork, member_update
from peridottrack.types import NodeId

SIZES = (16, 100, 400, 1_100)
LOSSES = (0.0, 0.01, 0.05, 0.2)
SEEDS = (1, 2)
QUIET_S = 20.0
SAMPLE_EVERY = 40
TARGET_SPREAD_S = 5.0
TARGET_LEAVE_S = 3.0
TARGET_DEATH_S = 6.0
TARGET_BYTES_PER_S = 3_000.0
LIMIT_S = 60.0
HOUR_S = 3_600.0
HOUR_NODES = 100


class Sizes:
    """Measures the sealed size of a sample of messages."""

    def __init__(self) -> None:
        self._sealer = DatagramSigner(["bench key, not secret"], NodeId("10.0.0.1:7000"), 1)
        self._seen = 0
        self._bytes: list[int] = []

    def note(self, message: Message) -> None:
        """Seal one message in `SAMPLE_EVERY`."""
        self._seen += 1
        if self._seen % SAMPLE_EVERY == 0:
            sealed = self._sealer.sign(NodeId("10.0.0.2:7000"), message)
            self._bytes.append(len(sealed) + HEADER_BYTES)

    def mean(self) -> float:
        """Return the mean bytes of a datagram, headers included."""
        return sum(self._bytes) / len(self._bytes) if self._bytes else 0.0


@dataclass
class Measured:
    """Figures of one run."""

    nodes: int
    loss: float
    seed: int
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    cpu_share: float = 0.0
    spread_s: list[float] = field(default_factory=list)
    leave_s: float = 0.0
    death_s: float = 0.0
    false_removals: int = 0


def settled(nodes: int, seed: int, loss: float) -> SimulatedNetwork:
    """Return a network whose nodes have come to agree."""
    network = SimulatedNetwork(nodes, seed, loss)
    network.run(5.0)
    network.run_until(network.has_converged, LIMIT_S)
    return network


def count_false(network: SimulatedNetwork) -> int:
    """Count beliefs that a node is gone while it runs."""
    running = {membership.local_member.node for membership in network.running_memberships()}
    return sum(
        member.update.state is MemberState.DEAD
        for membership in network.running_memberships()
        for node, member in membership.member_by_node.items()
        if node in running
    )


def measure(nodes: int, loss: float, seed: int) -> Measured:
    """Measure one size: quiet cost, spread of versions, a leave and a death."""
    network = settled(nodes, seed, loss)
    result = Measured(nodes, loss, seed)
    sizes = Sizes()
    network.on_send = sizes.note
    sent, began = network.sent, time.process_time()
    network.run(QUIET_S)
    result.cpu_share = (time.process_time() - began) / QUIET_S / nodes
    result.messages_per_s = (network.sent - sent) / QUIET_S / nodes
    # What is sent to a node is received by it, so a node pays for twice its own messages.
    result.bytes_per_s = 2 * result.messages_per_s * sizes.mean()
    result.false_removals = count_false(network)
    network.on_send = lambda message: None
    result.spread_s = spread_times(network, 1)
    leaver = network.running_memberships()[nodes // 3]
    leaver.leave(network.now_s)
    result.leave_s = until_all_believe(network, leaver.local_member.node, MemberState.LEFT)
    network.stop(leaver.local_member.node)
    victim = network.running_memberships()[nodes // 2].local_member.node
    network.stop(victim)
    result.death_s = until_all_believe(network, victim, MemberState.DEAD)
    return result


def spread_times(network: SimulatedNetwork, version: int) -> list[float]:
    """Return after how many seconds each node had a version that one node begins with."""
    started_s = network.now_s
    network.running_memberships()[0].set_document_version(version, network.now_s)
    missing = set(network.membership_by_node) - network.stopped
    times = []
    while missing and network.now_s - started_s < LIMIT_S:
        network.run(0.02)
        there = {
            node for node in missing if network.membership_by_node[node].document_version >= version
        }
        times += [network.now_s - started_s] * len(there)
        missing -= there
    return times + [float("inf")] * len(missing)


def until_all_believe(network: SimulatedNetwork, node: NodeId, state: MemberState) -> float:
    """Return after how many seconds every running node believes a state of a node."""
    return network.run_until(lambda: set(network.count_states(node)) == {state}, LIMIT_S)


def measure_hour(loss: float) -> tuple[float, int]:
    """Run an hour and return the loss and the false removals at any of its minutes."""
    network = settled(HOUR_NODES, 1, loss)
    false = 0
    for _ in range(60):
        network.run(HOUR_S / 60)
        false += count_false(network)
    return loss, false


def measure_pauses(pause_s: float) -> tuple[float, int, float]:
    """Freeze nodes for a time; return how many were removed, and the time until all agree."""
    network = settled(HOUR_NODES, 1, 0.01)
    rng = random.Random(4)
    removed = 0
    for victim in rng.sample(list(network.membership_by_node), 5):
        network.stop(victim)
        network.run(pause_s)
        network.resume(victim)
        network.run(1.5)
        removed += network.count_states(victim)[MemberState.DEAD] > 0
    return pause_s, removed, network.run_until(network.has_converged, LIMIT_S)


def measure_domain_lost(nodes: int) -> tuple[float, float]:
    """Lose a failure domain at once, then let it come back; return both times to agreement."""
    network = settled(nodes, 1, 0.01)
    lost = [number for number in range(nodes) if number % 7 == 3]
    for number in lost:
        network.stop(member_update(number).node)

    def all_dead() -> bool:
        return all(
            set(network.count_states(member_update(number).node)) == {MemberState.DEAD}
            for number in lost[:: max(1, len(lost) // 10)]
        )

    death_s = network.run_until(all_dead, LIMIT_S)
    network.run(30.0)
    known = [membership.local_member for membership in network.running_memberships()]
    for number in lost:
        network.start(member_update(number, incarnation=1_000), known)
    return death_s, network.run_until(network.has_converged, 3 * LIMIT_S, 0.5)


def measure_regions_apart(nodes: int) -> tuple[float, float]:
    """Cut two regions from each other for some minutes; return the times to both agreements."""
    network = settled(nodes, 1, 0.01)
    region = {member_update(number).node: member_update(number).region for number in range(nodes)}
    network.is_partitioned = lambda sender, receiver: region[sender] != region[receiver]

    def sides_agree() -> bool:
        by_region: dict[str, set[int]] = {}
        for membership in network.running_memberships():
            by_region.setdefault(membership.local_member.region, set()).add(membership.digest())
        return all(len(digests) == 1 for digests in by_region.values())

    network.run(10.0)
    apart_s = 10.0 + network.run_until(sides_agree, 5 * LIMIT_S, 0.5)
    network.run(120.0)
    network.is_partitioned = lambda sender, receiver: False
    return apart_s, network.run_until(network.has_converged, 10 * LIMIT_S, 0.5)


def print_sizes(report: Report, results: list[Measured]) -> None:
    """Print the figures of all sizes beside their targets."""
    print(
        f"{'nodes':>6}{'loss':>6}{'seed':>5}{'msgs/s':>8}{'bytes/s':>9}{'cpu %':>7}"
        f"{'spread p50':>12}{'max':>6}{'leave':>7}{'death':>7}{'false':>6}"
    )
    for item in results:
        name = f"{item.nodes} nodes, {item.loss:.0%} loss, seed {item.seed}"
        times = sorted(item.spread_s)
        if item.loss <= 0.05:
            report.check(f"{name}: spread s", times[-1], TARGET_SPREAD_S)
            report.check(f"{name}: leave s", item.leave_s, TARGET_LEAVE_S)
            report.check(f"{name}: death s", item.death_s, TARGET_DEATH_S)
            report.check(f"{name}: bytes/s", item.bytes_per_s, TARGET_BYTES_PER_S)
            report.check(f"{name}: false removals", item.false_removals, 0)
        print(
            f"{item.nodes:>6}{item.loss:>6.0%}{item.seed:>5}{item.messages_per_s:>8.2f}"
            f"{item.bytes_per_s:>9.0f}{item.cpu_share * 100:>7.3f}"
            f"{times[len(times) // 2]:>12.2f}{times[-1]:>6.2f}{item.leave_s:>7.1f}"
            f"{item.death_s:>7.1f}{item.false_removals:>6}"
        )


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=5)
    workers = parser.parse_args().workers
    report = Report()
    with ProcessPoolExecutor(workers) as pool:
        cells = [(n, loss, seed) for n in SIZES for loss in LOSSES for seed in SEEDS]
        futures = [pool.submit(measure, *cell) for cell in reversed(cells)]
        hours = [pool.submit(measure_hour, loss) for loss in (0.01, 0.05, 0.2)]
        pauses = [pool.submit(measure_pauses, pause_s) for pause_s in (1.0, 2.0, 4.0, 10.0)]
        domains = [pool.submit(measure_domain_lost, nodes) for nodes in (100, 1_100)]
        apart = [pool.submit(measure_regions_apart, nodes) for nodes in (100, 400)]
        print_sizes(report, [future.result() for future in reversed(futures)])
        for hour in hours:
            loss, false = hour.result()
            print(f"an hour of {HOUR_NODES} nodes at {loss:.0%} loss: {false} false removals")
            if loss <= 0.05:
                report.check(f"an hour at {loss:.0%} loss: false removals", false, 0)
        for pause in pauses:
            pause_s, removed, agree_s = pause.result()
            print(
                f"frozen {pause_s:.0f} s: {removed} of 5 still out 1.5 s after,"
                f" agreement after {agree_s:.1f} s"
            )
        for nodes, domain in zip((100, 1_100), domains, strict=True):
            death_s, return_s = domain.result()
            print(
                f"a domain of {nodes} nodes lost: known after {death_s:.1f} s,"
                f" agreement after its return {return_s:.1f} s"
            )
        for nodes, cut in zip((100, 400), apart, strict=True):
            apart_s, heal_s = cut.result()
            print(
                f"regions of {nodes} nodes apart: known after {apart_s:.1f} s,"
                f" agreement after healing {heal_s:.1f} s"
            )
    report.finish(f"seeds {SEEDS}")


if __name__ == "__main__":
    main()
