"""Exchanges load between nodes within the measuring budget.

A caller's node tells an instance's node its requests in flight and gets the sum of all others
back. The instance's node tells its recent callers' nodes at once when its host runs slow, and
when it is well again. All of it is paid from one budget; when that is spent, less is told.
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
from peridottrack.slowness import SAMPLE_S, VALID_S, SlownessChange, SlownessDetector
from peridottrack.types import Clock, InstanceId, NodeId, Random

REPORT_S = 1.0
SENDER_TRUST_S = 3.5
ENTRIES_PER_DATAGRAM = 16


@dataclass(slots=True)
class _Sender:
    in_flight: int
    heard_at: float


class SenderTable:
    """Requests in flight on the local instances, by the nodes that sent them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sender_by_node_by_instance: dict[InstanceId, dict[NodeId, _Sender]] = {}

    def record(self, node: NodeId, entry: LoadEntry) -> None:
        """Take in a report."""
        senders = self._sender_by_node_by_instance.setdefault(entry.instance, {})
        senders[node] = _Sender(entry.in_flight, self._clock.now())

    def others(self, node: NodeId, instance: InstanceId) -> LoadEntry:
        """Return the sum of all senders but one, and the number of all."""
        senders = self._fresh(instance)
        total = sum(sender.in_flight for name, sender in senders.items() if name != node)
        return LoadEntry(instance, min(total, 0xFFFF), len(senders))

    def nodes(self, instance: InstanceId) -> list[NodeId]:
        """Return the nodes that called lately."""
        return list(self._fresh(instance))

    def _fresh(self, instance: InstanceId) -> dict[NodeId, _Sender]:
        senders = self._sender_by_node_by_instance.get(instance, {})
        too_old = self._clock.now() - SENDER_TRUST_S
        for name in [name for name, sender in senders.items() if sender.heard_at < too_old]:
            del senders[name]
        return senders


class LoadReportController:
    """Sends and answers load reports, and words of slowness."""

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
        self._sampling: asyncio.TimerHandle | None = None
        self._slow_number = 0
        self._reported_at_by_instance: dict[InstanceId, float] = {}
        self._heard_number_by_instance: dict[InstanceId, int] = {}
        self.budget = budget
        self.senders = SenderTable(clock)
        metrics.measuring_limit_bytes.set(budget.bytes_per_s)
        handlers: dict[type[Body], Callable[[Message], None]] = {
            LoadReport: self._take_report,
            LoadReply: self._take_reply,
            SlownessReport: self._take_slow,
        }
        for kind, handler in handlers.items():
            datagrams.handle((kind,), handler)

    async def run(self) -> None:
        """Report to the nodes of instances in use, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_S * (0.9 + 0.2 * self._rng.random()))
            self.report()

    def start_detector(self) -> None:
        """Feel for slowness of this host from now on.

        A timer that sets itself again costs a third of a task that sleeps.
        """
        due = self._clock.now() + SAMPLE_S
        loop = asyncio.get_running_loop()
        self._sampling = loop.call_at(due, self._sample, due)

    def stop_detector(self) -> None:
        """Feel no more."""
        if self._sampling is not None:
            self._sampling.cancel()
            self._sampling = None

    def _sample(self, due: float) -> None:
        now = self._clock.now()
        verdict = self._detector.sample(now - due, now)
        if verdict is not None:
            self.report_slowness(verdict)
        self.start_detector()

    def report(self) -> None:
        """Send one round of reports, the longest unreported instances first."""
        entries_by_node: dict[NodeId, list[LoadEntry]] = {}
        for service in self._load.service_by_name.values():
            for instance_id, view in service.balancer.view_by_id.items():
                node = self._members.node_of(instance_id)
                if node is not None and view.used_since_report:
                    view.used_since_report = view.in_flight > 0
                    entry = LoadEntry(instance_id, view.in_flight)
                    entries_by_node.setdefault(node, []).append(entry)
        waiting = sorted(
            entries_by_node.items(),
            key=lambda item: self._reported_at_by_instance.get(item[1][0].instance, 0.0),
        )
        for node, entries in waiting:
            if self._send(node, LoadReport(tuple(entries[:ENTRIES_PER_DATAGRAM]))):
                for entry in entries:
                    self._reported_at_by_instance[entry.instance] = self._clock.now()

    def report_slowness(self, verdict: SlownessChange) -> None:
        """Tell the nodes that called lately how this host runs."""
        self._slow_number += 1
        for instance_id in self._announce.local_by_id:
            word = SlownessReport(
                instance_id, verdict.factor, int(VALID_S * 1000), self._slow_number
            )
            for node in self.senders.nodes(instance_id):
                self._send(node, word)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
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

    def _take_report(self, message: Message) -> None:
        assert isinstance(message.body, LoadReport)
        for entry in message.body.entries:
            self.senders.record(message.sender, entry)
        sums = [
            self.senders.others(message.sender, entry.instance) for entry in message.body.entries
        ]
        self._send(message.sender, LoadReply(tuple(sums)))

    def _take_reply(self, message: Message) -> None:
        assert isinstance(message.body, LoadReply)
        for entry in message.body.entries:
            for name, service in self._load.service_by_name.items():
                if entry.instance in service.balancer.view_by_id:
                    service.balancer.record_load(entry.instance, entry.in_flight)
                    self._load.set_callers(name, max(1, entry.sender_count))

    def _take_slow(self, message: Message) -> None:
        assert isinstance(message.body, SlownessReport)
        word = message.body
        if self._members.node_of(word.instance) != message.sender:
            # Only the node beside an instance may speak for it.
            return
        if word.number <= self._heard_number_by_instance.get(word.instance, 0):
            return
        self._heard_number_by_instance[word.instance] = word.number
        now = self._clock.now()
        news = ReportedSlowness(word.factor, now, now + word.valid_ms / 1000)
        for name in self._load.service_by_name:
            self._load.record_slowness(name, word.instance, news)
