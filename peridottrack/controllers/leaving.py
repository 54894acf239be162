"""Knows which instances have announced that they leave, and exchanges that with other nodes.

An instance has another id at each start, so one that leaves never comes back under its id. A node
that restarts beside it does not know that it leaves, and a renewal that was sent before may arrive
late. The other nodes tell it then, and send no request there meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from peridottrack import log
from peridottrack.background import log_errors
from peridottrack.controllers.announce import AnnounceController
from peridottrack.controllers.members import ClusterView, MembersController
from peridottrack.datagrams import DatagramTransport
from peridottrack.messages import LeavingReport, Message
from peridottrack.types import Clock, Instance, InstanceId, InstanceState, NodeId

MEMORY_S = 600.0
"""How long a leaving is remembered: longer than an instance that leaves goes on serving."""
REPEATS = 3
"""How often a leaving is reported to all nodes, since datagrams are lost."""
REPEAT_INTERVAL_S = 0.5


class LeavingController:
    """Remembers instances that leave, of this host and of others.

    Attributes
    ----------
    on_change
        Called after another instance is known to leave.
    """

    def __init__(
        self,
        members: MembersController,
        announce: AnnounceController,
        datagrams: DatagramTransport,
        clock: Clock,
    ) -> None:
        self._members = members
        self._announce = announce
        self._datagrams = datagrams
        self._clock = clock
        self._known_at_by_instance: dict[InstanceId, float] = {}
        self._repeats_left_by_instance: dict[InstanceId, int] = {}
        self.on_change: Callable[[], None] = lambda: None
        datagrams.handle((LeavingReport,), self._handle_report)
        announce.on_leaving = self._record_local
        members.cluster_views.subscribe(log_errors(self._remind_nodes))

    def in_service(self, instances: Iterable[Instance]) -> list[Instance]:
        """Return the instances that are not known to leave."""
        return [each for each in instances if each.instance_id not in self._known_at_by_instance]

    async def run(self) -> None:
        """Repeat the reports of local instances, until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            for instance, left in list(self._repeats_left_by_instance.items()):
                self._report_to_all(instance)
                if left > 1:
                    self._repeats_left_by_instance[instance] = left - 1
                else:
                    del self._repeats_left_by_instance[instance]

    def _record_local(self, instance: InstanceId) -> None:
        self._record(instance)
        self._repeats_left_by_instance[instance] = REPEATS - 1
        self._report_to_all(instance)

    def _record(self, instance: InstanceId) -> None:
        now = self._clock.now()
        for other, known_at in list(self._known_at_by_instance.items()):
            if now - known_at > MEMORY_S:
                del self._known_at_by_instance[other]
        is_new = instance not in self._known_at_by_instance
        self._known_at_by_instance[instance] = now
        if is_new:
            log.event("instance known to leave", instance=instance)
            self.on_change()

    def _handle_report(self, message: Message) -> None:
        assert isinstance(message.body, LeavingReport)
        self._record(message.body.instance)
        self._announce.record_left(message.body.instance)

    def _remind_nodes(self, view: ClusterView) -> None:
        """Tell the nodes that announce a leaving instance as one that takes requests."""
        for instance in view.instances:
            known = instance.instance_id in self._known_at_by_instance
            if known and instance.state is not InstanceState.DRAINING:
                node = self._members.node_of(instance.instance_id)
                if node is not None:
                    self._report(node, instance.instance_id)

    def _report_to_all(self, instance: InstanceId) -> None:
        for peer in self._members.peers():
            self._report(peer.node, instance)

    def _report(self, node: NodeId, instance: InstanceId) -> None:
        sender = self._members.membership.local_member.node
        if node != sender:
            self._datagrams.send(node, Message(sender, LeavingReport(instance)))
