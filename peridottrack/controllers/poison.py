"""Exchange of crash reports about poison requests with other nodes."""

from __future__ import annotations

from peridottrack.controllers.members import MembersController
from peridottrack.datagrams import DatagramTransport
from peridottrack.messages import CrashReport, Message
from peridottrack.poison import PoisonList
from peridottrack.types import Incarnation


class PoisonController:
    """Sends the crashes that this node observes and records those that others report."""

    def __init__(
        self, poison: PoisonList, members: MembersController, datagrams: DatagramTransport
    ) -> None:
        self._poison = poison
        self._members = members
        self._datagrams = datagrams
        datagrams.handle((CrashReport,), self._handle_report)
        poison.on_crash = self._send_report

    def _send_report(self, fingerprint: str, crashed: Incarnation) -> None:
        message = Message(
            self._members.membership.local_member.node, CrashReport(fingerprint, crashed)
        )
        # To all nodes, since any of them may be the next to get the request. Crashes are rare.
        for peer in self._members.peers():
            self._datagrams.send(peer.node, message)

    def _handle_report(self, message: Message) -> None:
        assert isinstance(message.body, CrashReport)
        self._poison.record_crash(message.body.fingerprint, message.body.crashed)
