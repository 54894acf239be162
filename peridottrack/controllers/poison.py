"""Tells other nodes of requests that crash instances, and hears of them."""

from __future__ import annotations

from peridottrack.controllers.members import MembersController
from peridottrack.datagrams import DatagramTransport
from peridottrack.messages import CrashReport, Message
from peridottrack.poison import PoisonList
from peridottrack.types import InstanceId


class PoisonController:
    """Keeps a list of such requests in step with those of other nodes."""

    def __init__(
        self, poison: PoisonList, members: MembersController, datagrams: DatagramTransport
    ) -> None:
        self._poison = poison
        self._members = members
        self._datagrams = datagrams
        datagrams.handle((CrashReport,), self._take)
        poison.on_crash = self._tell

    def _tell(self, mark: str, instance: InstanceId) -> None:
        message = Message(self._members.membership.local_member.node, CrashReport(mark, instance))
        for peer in self._members.crash_recipients():
            self._datagrams.send(peer, message)

    def _take(self, message: Message) -> None:
        assert isinstance(message.body, CrashReport)
        self._poison.record_crash(message.body.fingerprint, message.body.instance)
