"""Exchanges load reports between nodes, within the budget for load reports.

A caller's node reports its requests in flight to the instance's node, which replies with the sum of
all other nodes. The instance's node reports to the nodes of its recent callers at once when its
host becomes slow and when it recovers. All of these datagrams share one budget; those that exceed
it are not sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from peridottrack.bucket import LoadReportBudget
from peridottrack.controllers.announce import AnnounceController
from peridottrack.controllers.load import LoadController
from peridottrack.controllers.members import MembersController
from peridottrack.datagrams import DatagramTransport
from peridottrack.instanceview import ReportedSlowness
from peridottrack.messages import Body, LoadEntry, LoadReply, LoadReport, Message, SlownessReport
from peridottrack.metrics import Metrics
from peridottrack.slowness import SAMPLE_INTERVAL_S, VALID_S, SlownessChange, SlownessDetector
from peridottrack.types import Clock, InstanceId, NodeId, Random

REPORT_INTERVAL_S = 1.0
SENDER_TIMEOUT_S = 3.5
"""The requests of a node count until this long after its last load report."""
ENTRIES_PER_DATAGRAM = 16


@dataclass(slots=True)
class _Sender:
    in_flight: int
    received_at: float


class SenderTable:
    """Requests in flight on the local instances, by the nodes that sent them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sender_by_node_by_instance: dict[InstanceId, dict[NodeId, _Sender]] = {}

    def record(self, node: NodeId, entry: LoadEntry) -> None:
        """Record a load report."""
        senders = self._sender_by_node_by_instance.setdefault(entry.instance, {})
        senders[node] = _Sender(entry.in_flight, self._clock.now())

    def others(self, node: NodeId, instance: InstanceId) -> LoadEntry:
        """Return the sum over all senders except one node, and the number of all senders."""
        senders = self._recent(instance)
        total = sum(sender.in_flight for name, sender in senders.items() if name != node)
        return LoadEntry(instance, min(total, 0xFFFF), len(senders))

    def nodes(self, instance: InstanceId) -> list[NodeId]:
        """Return the nodes that reported calls recently."""
        return list(self._recent(instance))

    def _recent(self, instance: InstanceId) -> dict[NodeId, _Sender]:
        senders = self._sender_by_node_by_instance.get(instance, {})
        oldest = self._clock.now() - SENDER_TIMEOUT_S
        for name in [name for name, sender in senders.items() if sender.received_at < oldest]:
            del senders[name]
        return senders


class LoadReportController:
    """Sends and answers load reports, and sends and applies slowness reports."""

    def __init__(
        self,
        members: MembersController,
        load: LoadController,
        announce: AnnounceController,
        datagrams: DatagramTransport,
        budget: LoadReportBudget,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._load = load
        self._announce = announce
        self._datagrams = datagrams
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._detector = SlownessDetector()
        self._sample_timer: asyncio.TimerHandle | None = None
        self._slowness_report_number = 0
        self._reported_at_by_instance: dict[InstanceId, float] = {}
        self._last_number_by_instance: dict[InstanceId, int] = {}
        self.budget = budget
        self.senders = SenderTable(clock)
        metrics.measuring_limit_bytes.set(budget.bytes_per_s)
        handlers: dict[type[Body], Callable[[Message], None]] = {
            LoadReport: self._handle_report,
            LoadReply: self._handle_reply,
            SlownessReport: self._handle_slowness_report,
        }
        for kind, handler in handlers.items():
            datagrams.handle((kind,), handler)

    async def run(self) -> None:
        """Send load reports to the nodes of instances in use, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S * (0.9 + 0.2 * self._rng.random()))
            self.report()

    def start_detector(self) -> None:
        """Start sampling the slowness of this host.

        A timer that reschedules itself costs a third of the processor time of a task that sleeps
        in a loop.
        """
        due = self._clock.now() + SAMPLE_INTERVAL_S
        loop = asyncio.get_running_loop()
        self._sample_timer = loop.call_at(due, self._sample, due)

    def stop_detector(self) -> None:
        """Stop sampling."""
        if self._sample_timer is not None:
            self._sample_timer.cancel()
            self._sample_timer = None

    def _sample(self, due: float) -> None:
        now = self._clock.now()
        # First, so that an error in a report does not end the sampling.
        self.start_detector()
        change = self._detector.sample(now - due, now)
        if change is not None:
            self.report_slowness(change)

    def report(self) -> None:
        """Send one round of load reports, starting with those sent longest ago."""
        entries_by_node: dict[NodeId, list[LoadEntry]] = {}
        for service in self._load.service_by_name.values():
            for instance_id, view in service.balancer.view_by_id.items():
                node = self._members.node_of(instance_id)
                if node is not None and view.used_since_report:
                    view.used_since_report = view.in_flight > 0
                    entry = LoadEntry(instance_id, view.in_flight)
                    entries_by_node.setdefault(node, []).append(entry)
        by_last_report = sorted(
            entries_by_node.items(),
            key=lambda item: self._reported_at_by_instance.get(item[1][0].instance, 0.0),
        )
        for node, entries in by_last_report:
            if self._send(node, LoadReport(tuple(entries[:ENTRIES_PER_DATAGRAM]))):
                for entry in entries:
                    self._reported_at_by_instance[entry.instance] = self._clock.now()

    def report_slowness(self, change: SlownessChange) -> None:
        """Report the slowness of this host to the nodes that called recently."""
        self._slowness_report_number += 1
        for instance_id in self._announce.local_by_id:
            report = SlownessReport(
                instance_id, change.factor, int(VALID_S * 1000), self._slowness_report_number
            )
            for node in self.senders.nodes(instance_id):
                self._send(node, report)

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "sent_messages": self.budget.sent_messages,
            "sent_bytes": self.budget.sent_bytes,
            "withheld_messages": self.budget.withheld_messages,
            "slow_factor": self._detector.factor,
            "callers": {
                instance_id: self.senders.nodes(instance_id)
                for instance_id in self._announce.local_by_id
            },
        }

    def _send(self, node: NodeId, body: Body) -> bool:
        membership = self._members.membership
        message = Message(
            membership.local_member.node, body, membership.document_version, membership.digest()
        )
        data = self._datagrams.sign(node, message)
        if not self.budget.spend(len(data)):
            self._metrics.measuring_messages.labels("withheld").inc()
            return False
        self._datagrams.send_signed(node, data)
        self._metrics.measuring_messages.labels("sent").inc()
        self._metrics.measuring_bytes.inc(len(data) + LoadReportBudget.HEADER_BYTES)
        return True

    def _handle_report(self, message: Message) -> None:
        assert isinstance(message.body, LoadReport)
        for entry in message.body.entries:
            self.senders.record(message.sender, entry)
        sums = [
            self.senders.others(message.sender, entry.instance) for entry in message.body.entries
        ]
        self._send(message.sender, LoadReply(tuple(sums)))

    def _handle_reply(self, message: Message) -> None:
        assert isinstance(message.body, LoadReply)
        for entry in message.body.entries:
            for name, service in self._load.service_by_name.items():
                if entry.instance in service.balancer.view_by_id:
                    service.balancer.record_load(entry.instance, entry.in_flight)
                    self._load.set_callers(name, max(1, entry.sender_count))

    def _handle_slowness_report(self, message: Message) -> None:
        assert isinstance(message.body, SlownessReport)
        report = message.body
        if self._members.node_of(report.instance) != message.sender:
            # Only the local node of an instance may report its slowness.
            return
        if report.number <= self._last_number_by_instance.get(report.instance, 0):
            return
        self._last_number_by_instance[report.instance] = report.number
        now = self._clock.now()
        slowness = ReportedSlowness(report.factor, now, now + report.valid_ms / 1000)
        for name in self._load.service_by_name:
            self._load.record_slowness(name, report.instance, slowness)
