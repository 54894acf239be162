"""Measures membership and version propagation at 16 to 1,100 nodes, in virtual time."""

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
IDLE_PERIOD_S = 20.0
SAMPLE_EVERY = 40
TARGET_PROPAGATION_S = 5.0
TARGET_LEAVE_S = 3.0
TARGET_DETECTION_S = 6.0
TARGET_BYTES_PER_S = 3_000.0
TIMEOUT_S = 60.0
HOUR_S = 3_600.0
SMALL_NETWORK_NODES = 100


class DatagramSizes:
    """Measures the size of signed datagrams on a sample of the messages."""

    def __init__(self) -> None:
        self._signer = DatagramSigner(["bench key, not secret"], NodeId("10.0.0.1:7000"), 1)
        self._message_count = 0
        self._sampled_bytes: list[int] = []

    def sample(self, message: Message) -> None:
        """Sign one message in ``SAMPLE_EVERY`` and record its size."""
        self._message_count += 1
        if self._message_count % SAMPLE_EVERY == 0:
            signed = self._signer.sign(NodeId("10.0.0.2:7000"), message)
            self._sampled_bytes.append(len(signed) + HEADER_BYTES)

    def mean(self) -> float:
        """Return the mean bytes of a datagram, including IP and UDP headers."""
        return sum(self._sampled_bytes) / len(self._sampled_bytes) if self._sampled_bytes else 0.0


@dataclass
class RunResult:
    """Measurements of one run; messages, bytes and CPU share (of a core) are means for one node."""

    nodes: int
    loss: float
    seed: int
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    cpu_share: float = 0.0
    propagation_s: list[float] = field(default_factory=list)
    leave_s: float = 0.0
    detection_s: float = 0.0
    false_removals: int = 0


def converged_network(nodes: int, seed: int, loss: float) -> SimulatedNetwork:
    """Return a network whose nodes agree on all members."""
    network = SimulatedNetwork(nodes, seed, loss)
    network.run(5.0)
    network.run_until(network.has_converged, TIMEOUT_S)
    return network


def count_false_removals(network: SimulatedNetwork) -> int:
    """Count the pairs of running nodes of which one has marked the other dead."""
    running = {membership.local_member.node for membership in network.running_memberships()}
    return sum(
        member.update.state is MemberState.DEAD
        for membership in network.running_memberships()
        for node, member in membership.member_by_node.items()
        if node in running
    )


def measure(nodes: int, loss: float, seed: int) -> RunResult:
    """Measure one network size: idle cost, version propagation, a leave and a stopped node."""
    network = converged_network(nodes, seed, loss)
    result = RunResult(nodes, loss, seed)
    datagram_sizes = DatagramSizes()
    network.on_send = datagram_sizes.sample
    sent, started_at = network.sent, time.process_time()
    network.run(IDLE_PERIOD_S)
    result.cpu_share = (time.process_time() - started_at) / IDLE_PERIOD_S / nodes
    result.messages_per_s = (network.sent - sent) / IDLE_PERIOD_S / nodes
    # A node receives on average as many messages as it sends, so the bytes count twice.
    result.bytes_per_s = 2 * result.messages_per_s * datagram_sizes.mean()
    result.false_removals = count_false_removals(network)
    network.on_send = lambda message: None
    result.propagation_s = propagation_times(network, 1)
    leaver = network.running_memberships()[nodes // 3]
    leaver.leave(network.now_s)
    result.leave_s = time_until_all_see(network, leaver.local_member.node, MemberState.LEFT)
    network.stop(leaver.local_member.node)
    stopped_node = network.running_memberships()[nodes // 2].local_member.node
    network.stop(stopped_node)
    result.detection_s = time_until_all_see(network, stopped_node, MemberState.DEAD)
    return result


def propagation_times(network: SimulatedNetwork, version: int) -> list[float]:
    """Return the seconds until each node had a document version that one node announces."""
    started_s = network.now_s
    network.running_memberships()[0].set_document_version(version, network.now_s)
    missing = set(network.membership_by_node) - network.stopped
    times = []
    while missing and network.now_s - started_s < TIMEOUT_S:
        network.run(0.02)
        updated = {
            node for node in missing if network.membership_by_node[node].document_version >= version
        }
        times += [network.now_s - started_s] * len(updated)
        missing -= updated
    return times + [float("inf")] * len(missing)


def time_until_all_see(network: SimulatedNetwork, node: NodeId, state: MemberState) -> float:
    """Return the seconds until every running node sees a node in a state."""
    return network.run_until(lambda: set(network.count_states(node)) == {state}, TIMEOUT_S)


def measure_false_removals(loss: float) -> tuple[float, int]:
    """Run an hour; return the loss and the false removals, counted once a minute and summed."""
    network = converged_network(SMALL_NETWORK_NODES, 1, loss)
    false_removals = 0
    for _ in range(60):
        network.run(HOUR_S / 60)
        false_removals += count_false_removals(network)
    return loss, false_removals


def measure_pauses(pause_s: float) -> tuple[float, int, float]:
    """Pause 5 nodes in turn; return the pause, how many stay removed, and the time to agreement.

    A node counts as removed if any other still has it marked dead 1.5 s after it resumed.
    """
    network = converged_network(SMALL_NETWORK_NODES, 1, 0.01)
    rng = random.Random(4)
    removed = 0
    for stopped_node in rng.sample(list(network.membership_by_node), 5):
        network.stop(stopped_node)
        network.run(pause_s)
        network.resume(stopped_node)
        network.run(1.5)
        removed += network.count_states(stopped_node)[MemberState.DEAD] > 0
    return pause_s, removed, network.run_until(network.has_converged, TIMEOUT_S)


def measure_domain_loss(nodes: int) -> tuple[float, float]:
    """Stop a failure domain and restart it; return the seconds until each is known to all.

    The detection is checked on about ten of the stopped nodes.
    """
    network = converged_network(nodes, 1, 0.01)
    # `member_update` assigns the nodes to 7 failure domains in rotation.
    lost_numbers = [number for number in range(nodes) if number % 7 == 3]
    for number in lost_numbers:
        network.stop(member_update(number).node)

    def all_dead() -> bool:
        return all(
            set(network.count_states(member_update(number).node)) == {MemberState.DEAD}
            for number in lost_numbers[:: max(1, len(lost_numbers) // 10)]
        )

    detection_s = network.run_until(all_dead, TIMEOUT_S)
    network.run(30.0)
    seeds = [membership.local_member for membership in network.running_memberships()]
    for number in lost_numbers:
        network.start(member_update(number, incarnation=1_000), seeds)
    return detection_s, network.run_until(network.has_converged, 3 * TIMEOUT_S, 0.5)


def measure_partition(nodes: int) -> tuple[float, float]:
    """Partition two regions, then reconnect them.

    Returns
    -------
    tuple
        Seconds until the nodes within each region agree, and from the reconnection until all do.
    """
    network = converged_network(nodes, 1, 0.01)
    region = {member_update(number).node: member_update(number).region for number in range(nodes)}
    network.is_partitioned = lambda sender, receiver: region[sender] != region[receiver]

    def sides_agree() -> bool:
        by_region: dict[str, set[int]] = {}
        for membership in network.running_memberships():
            by_region.setdefault(membership.local_member.region, set()).add(membership.digest())
        return all(len(digests) == 1 for digests in by_region.values())

    network.run(10.0)
    sides_agree_s = 10.0 + network.run_until(sides_agree, 5 * TIMEOUT_S, 0.5)
    network.run(120.0)
    network.is_partitioned = lambda sender, receiver: False
    return sides_agree_s, network.run_until(network.has_converged, 10 * TIMEOUT_S, 0.5)


def print_results(report: Report, results: list[RunResult]) -> None:
    """Print the results of all runs and check them against their targets.

    The column "spread" is the propagation of a version, "death" the detection of a stopped node.
    """
    print(
        f"{'nodes':>6}{'loss':>6}{'seed':>5}{'msgs/s':>8}{'bytes/s':>9}{'cpu %':>7}"
        f"{'spread p50':>12}{'max':>6}{'leave':>7}{'death':>7}{'false':>6}"
    )
    for item in results:
        name = f"{item.nodes} nodes, {item.loss:.0%} loss, seed {item.seed}"
        times = sorted(item.propagation_s)
        if item.loss <= 0.05:
            report.check(f"{name}: spread s", times[-1], TARGET_PROPAGATION_S)
            report.check(f"{name}: leave s", item.leave_s, TARGET_LEAVE_S)
            report.check(f"{name}: death s", item.detection_s, TARGET_DETECTION_S)
            report.check(f"{name}: bytes/s", item.bytes_per_s, TARGET_BYTES_PER_S)
            report.check(f"{name}: false removals", item.false_removals, 0)
        print(
            f"{item.nodes:>6}{item.loss:>6.0%}{item.seed:>5}{item.messages_per_s:>8.2f}"
            f"{item.bytes_per_s:>9.0f}{item.cpu_share * 100:>7.3f}"
            f"{times[len(times) // 2]:>12.2f}{times[-1]:>6.2f}{item.leave_s:>7.1f}"
            f"{item.detection_s:>7.1f}{item.false_removals:>6}"
        )


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=5)
    workers = parser.parse_args().workers
    report = Report()
    with ProcessPoolExecutor(workers) as pool:
        cells = [(n, loss, seed) for n in SIZES for loss in LOSSES for seed in SEEDS]
        # The largest networks come first, since they take longest.
        futures = [pool.submit(measure, *cell) for cell in reversed(cells)]
        hour_runs = [pool.submit(measure_false_removals, loss) for loss in (0.01, 0.05, 0.2)]
        pauses = [pool.submit(measure_pauses, pause_s) for pause_s in (1.0, 2.0, 4.0, 10.0)]
        domain_losses = [pool.submit(measure_domain_loss, nodes) for nodes in (100, 1_100)]
        partitions = [pool.submit(measure_partition, nodes) for nodes in (100, 400)]
        print_results(report, [future.result() for future in reversed(futures)])
        for hour_run in hour_runs:
            loss, false_removals = hour_run.result()
            print(
                f"an hour of {SMALL_NETWORK_NODES} nodes at {loss:.0%} loss:"
                f" {false_removals} false removals"
            )
            if loss <= 0.05:
                report.check(f"an hour at {loss:.0%} loss: false removals", false_removals, 0)
        for pause in pauses:
            pause_s, removed, agree_s = pause.result()
            print(
                f"frozen {pause_s:.0f} s: {removed} of 5 still out 1.5 s after,"
                f" agreement after {agree_s:.1f} s"
            )
        for nodes, domain_loss in zip((100, 1_100), domain_losses, strict=True):
            detection_s, recovery_s = domain_loss.result()
            print(
                f"a domain of {nodes} nodes lost: known after {detection_s:.1f} s,"
                f" agreement after its return {recovery_s:.1f} s"
            )
        for nodes, partition in zip((100, 400), partitions, strict=True):
            sides_agree_s, merge_s = partition.result()
            print(
                f"regions of {nodes} nodes apart: known after {sides_agree_s:.1f} s,"
                f" agreement after healing {merge_s:.1f} s"
            )
    report.finish(f"seeds {SEEDS}")


if __name__ == "__main__":
    main()
