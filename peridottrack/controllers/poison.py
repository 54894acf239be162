"""Tells other nodes of requests that crash instances, and hears of them."""

from __future__ import annotations

from peridottrack.controllers.members import MembersController
from peridottrack.datagrams import Datagrams
from peridottrack.messages import Crash, Message
from peridottrack.poison import PoisonList
from peridottrack.types import InstanceId


class PoisonController:
    """Keeps a list of such requests in step with those of other nodes."""

    def __init__(
        self, poison: PoisonList, members: MembersController, datagrams: Datagrams
    ) -> None:
        self._poison = poison
        self._members = members
        self._datagrams = datagrams
        datagrams.handle((Crash,), self._take)
        poison.on_crash = self._tell

    def _tell(self, mark: str, instance: InstanceId) -> None:
        message = Message(self._members.membership.me.node, Crash(mark, instance))
        for peer in self._members.crash_listeners():
            self._datagrams.send(peer, message)

    def _take(self, message: Message) -> None:
        assert isinstance(message.body, Crash)
        self._poison.heard(message.body.fingerprint, message.body.instance)
