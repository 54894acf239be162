"""The accepting side of links: hands other nodes' requests to the gate and answers them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peridottrack.controllers.gate import GateController
from peridottrack.framecodec import encode
from peridottrack.frameconnection import FrameConnection
from peridottrack.frames import (
    Cancel,
    DocumentFrame,
    DocumentRequest,
    ForwardedRequest,
    Frame,
    Hello,
    LinkPing,
    LinkPong,
)
from peridottrack.link import LinkHooks
from peridottrack.types import Clock, NodeId

HELD_UP_WINDOW_S = 2.0
"""How long the quickest way of a frame is remembered to measure later ones by."""


class _HeldUp:
    """Tells how much longer than the quickest a frame took, from clocks that do not agree."""

    def __init__(self) -> None:
        self._current = float("inf")
        self._previous = float("inf")
        self._turned_at = float("-inf")

    def reset(self) -> None:
        """Start anew, since the other side's clock may have stood still."""
        self._current = self._previous = float("inf")

    def seconds(self, sent_at: float, now: float) -> float:
        """Take in one frame."""
        if now - self._turned_at > HELD_UP_WINDOW_S:
            self._turned_at = now
            self._previous, self._current = self._current, float("inf")
        taken = now - sent_at
        self._current = min(self._current, taken)
        return taken - min(self._current, self._previous)


class LinkServer:
    """Accepts connections of other nodes and hands their requests to the gate."""

    def __init__(self, gate: GateController, hooks: LinkHooks, clock: Clock) -> None:
        self.gate = gate
        self.hooks = hooks
        self.clock = clock
        self.connections: set[LinkServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: LinkServerConnection(self), host, port, backlog=1024
        )
        return int(self._server.sockets[0].getsockname()[1])

    def broadcast(self, frame: Frame, talkers: int) -> int:
        """Send a frame to those nodes that asked last; return the bytes sent."""
        recent = sorted(self.connections, key=lambda one: -one.asked_at)[:talkers]
        data = encode(frame)
        return sum(connection.write(data) for connection in recent)

    @property
    def in_flight(self) -> int:
        """Requests of other nodes that are at work here."""
        return sum(len(connection.task_by_number) for connection in self.connections)

    def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class LinkServerConnection(FrameConnection):
    """One node that sends requests here."""

    def __init__(self, server: LinkServer) -> None:
        super().__init__()
        self._server = server
        self._held_up = _HeldUp()
        self.task_by_number: dict[int, asyncio.Task[None]] = {}
        self.asked_at = 0.0
        self.node = NodeId("")

    @property
    def peer(self) -> str:
        """The node that connected, empty until its hello."""
        return self.node

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what the other side can no longer take."""
        super().connection_lost(exc)
        self._server.connections.discard(self)
        for task in self.task_by_number.values():
            task.cancel()
        self.task_by_number.clear()

    def frame_received(self, frame: Frame) -> None:
        """Handle a frame; what only the other side may take is ignored."""
        handler = _SERVER_HANDLERS.get(type(frame))
        if handler is not None:
            handler(self, frame)

    def take_hello(self, frame: Hello) -> None:
        """Learn who it is."""
        self.node = frame.node
        self._held_up.reset()
        if frame.compressed:
            self.compress()
        self._server.connections.add(self)
        self.write(encode(self._server.gate.gate.load()))
        document = self._server.hooks.document()
        if document is not None and document.version > frame.document_version:
            self.write(encode(document))

    def take_request(self, frame: ForwardedRequest) -> None:
        """Hand a request to the gate."""
        now = self._server.clock.now()
        self.asked_at = now
        held_up_s = self._held_up.seconds(frame.sent_at, now)

        def reply(answer: Frame) -> None:
            self.task_by_number.pop(frame.number, None)
            self.write(encode(answer))

        def hurry(news: Frame) -> None:
            self.write(encode(news))

        task = self._server.gate.start(frame, reply, hurry, held_up_s)
        self.task_by_number[frame.number] = task
        task.add_done_callback(lambda _: self.task_by_number.pop(frame.number, None))

    def take_cancel(self, frame: Cancel) -> None:
        """Give a request up."""
        task = self.task_by_number.pop(frame.number, None)
        if task is not None:
            task.cancel()

    def take_ping(self, frame: LinkPing) -> None:
        """Answer a ping."""
        self.write(encode(LinkPong(frame.number)))

    def take_want(self, frame: DocumentRequest) -> None:
        """Send the document if it is newer."""
        document = self._server.hooks.document()
        if document is not None and document.version > frame.known_version:
            self.write(encode(document))

    def take_document(self, frame: DocumentFrame) -> None:
        """Take in a document that the other side has."""
        self._server.hooks.on_document(frame)


_SERVER_HANDLERS: dict[type, Callable[..., None]] = {
    Hello: LinkServerConnection.take_hello,
    ForwardedRequest: LinkServerConnection.take_request,
    Cancel: LinkServerConnection.take_cancel,
    LinkPing: LinkServerConnection.take_ping,
    DocumentRequest: LinkServerConnection.take_want,
    DocumentFrame: LinkServerConnection.take_document,
}
