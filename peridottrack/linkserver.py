"""The accepting side of links: passes other nodes' requests to the gate, returns the outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from peridottrack import log
from peridottrack.bytebudget import ByteBudget
from peridottrack.controllers.gate import GateController
from peridottrack.errors import ErrorKind, Ran
from peridottrack.evacuation import EvacuationSet
from peridottrack.framecodec import encode
from peridottrack.frameconnection import FrameConnection
from peridottrack.frames import (
    BodyPart,
    Cancel,
    DocumentFrame,
    DocumentRequest,
    ForwardedRequest,
    Frame,
    Hello,
    InstanceResponse,
    LinkPing,
    LinkPong,
    Refusal,
)
from peridottrack.link import LinkHooks
from peridottrack.linkbodies import MIN_SPLIT_BYTES, CollectedBody, IncomingBody
from peridottrack.types import Clock, NodeId

DELAY_WINDOW_S = 2.0
"""Length of a measuring window: the fastest frame of this and the previous window is the baseline
for the delay of others."""
REQUEST_BYTES = 8 << 10
"""Memory that a request takes beside its head and body."""
FULL_RETRY_S = 1.0
"""Time after which a request is worth another try if the node had no memory for it: bodies stay
for about as long as requests take."""


class _TransitDelay:
    """Measures how much longer than the fastest frame another one was in transit.

    The sender's and the receiver's clocks need not agree, since only differences count.
    """

    def __init__(self) -> None:
        self._current = float("inf")
        self._previous = float("inf")
        self._window_started_at = float("-inf")

    def reset(self) -> None:
        """Discard the baseline, since the peer's clock may have stopped for a time."""
        self._current = self._previous = float("inf")

    def record(self, sent_at: float, now: float) -> float:
        """Record one frame and return its delay."""
        if now - self._window_started_at > DELAY_WINDOW_S:
            self._window_started_at = now
            self._previous, self._current = self._current, float("inf")
        offset_s = now - sent_at
        self._current = min(self._current, offset_s)
        return offset_s - min(self._current, self._previous)


class LinkServer:
    """Accepts connections of other nodes and passes their requests to the gate.

    Parameters
    ----------
    budget
        Counts the bytes of all requests; without one they are not limited together.
    """

    def __init__(
        self,
        gate: GateController,
        hooks: LinkHooks,
        clock: Clock,
        budget: ByteBudget | None = None,
    ) -> None:
        self.gate = gate
        self.budget = budget or ByteBudget(float("inf"), clock)
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

    def broadcast(self, frame: Frame, max_nodes: int) -> int:
        """Send a frame to the nodes with the most recent requests; return the bytes sent."""
        recent = sorted(self.connections, key=lambda connection: -connection.last_request_at)[
            :max_nodes
        ]
        data = encode(frame)
        return sum(connection.write(data) for connection in recent)

    @property
    def in_flight(self) -> int:
        """Number of requests from other nodes that have not ended."""
        return sum(connection.in_flight for connection in self.connections)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class LinkServerConnection(FrameConnection):
    """The connection of one node that sends requests here."""

    def __init__(self, server: LinkServer) -> None:
        super().__init__()
        self._server = server
        self._transit_delay = _TransitDelay()
        self.task_by_number: dict[int, asyncio.Task[None]] = {}
        self._incoming_by_number: dict[int, IncomingBody] = {}
        self.last_request_at = 0.0
        self.node = NodeId("")

    @property
    def peer(self) -> str:
        """Name of the connected node, empty until its hello."""
        return self.node

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return len(self.task_by_number) + len(self._incoming_by_number)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests whose outcome can no longer be sent."""
        super().connection_lost(exc)
        self._server.connections.discard(self)
        for task in self.task_by_number.values():
            task.cancel()
        self.task_by_number.clear()
        for number in list(self._incoming_by_number):
            self._remove_incoming(number)

    def frame_received(self, frame: Frame) -> None:
        """Handle a frame; types that only the connecting side handles are ignored."""
        handler = _HANDLER_BY_TYPE.get(type(frame))
        if handler is not None:
            handler(self, frame)

    def handle_hello(self, frame: Hello) -> None:
        """Record what the peer says; send it the load and, if newer than its own, the document."""
        self.node = frame.node
        self._transit_delay.reset()
        if frame.compressed:
            self.compress()
        self._server.connections.add(self)
        if frame.left_instance is not None:
            self._server.hooks.on_left_instance(frame.left_instance)
        evacuations = self._server.hooks.evacuations()
        if evacuations is not None:
            self.write(encode(evacuations))
        self.write(encode(self._server.gate.gate.load()))
        document = self._server.hooks.document()
        if document is not None and document.version > frame.document_version:
            self.write(encode(document))

    def handle_request(self, frame: ForwardedRequest) -> None:
        """Pass a request to the gate, or wait for its body."""
        server = self._server
        now = server.clock.now()
        self.last_request_at = now
        delay_s = self._transit_delay.record(frame.sent_at, now)
        if frame.body_bytes and not server.gate.gate.is_open:
            # The body would only be sent to be refused.
            self._refuse(frame, ErrorKind.NO_INSTANCE, 0.0)
        elif not server.budget.reserve(_bytes_of(frame)):
            self._refuse(frame, ErrorKind.NODE_FULL, FULL_RETRY_S)
        elif frame.body_bytes:
            give_up = asyncio.get_running_loop().call_later(
                max(0.0, frame.budget_s - delay_s), self._give_up, frame
            )
            self._incoming_by_number[frame.number] = IncomingBody(
                frame, now - delay_s, give_up, CollectedBody(frame.body_bytes)
            )
        else:
            self._start(frame, delay_s, _bytes_of(frame))

    def handle_part(self, frame: BodyPart) -> None:
        """Add a part of a body; with the last one, pass its request to the gate."""
        incoming = self._incoming_by_number.get(frame.number)
        if incoming is None or not incoming.collected.add(frame.data):
            return
        del self._incoming_by_number[frame.number]
        incoming.give_up.cancel()
        request = replace(incoming.frame, body=incoming.collected.data, body_bytes=0)
        delay_s = self._server.clock.now() - incoming.started_at
        self._start(request, delay_s, _bytes_of(incoming.frame))

    def _start(self, frame: ForwardedRequest, delay_s: float, reserved_bytes: int) -> None:
        def send_outcome(outcome: Frame) -> None:
            self.task_by_number.pop(frame.number, None)
            if isinstance(outcome, InstanceResponse) and len(outcome.body) >= MIN_SPLIT_BYTES:
                self._send_in_parts(outcome)
            else:
                self.write(encode(outcome))

        def send_hint(hint: Frame) -> None:
            self.write(encode(hint))

        def end(_: object) -> None:
            self._server.budget.release(reserved_bytes)
            # For tasks that were cancelled before they sent an outcome.
            self.task_by_number.pop(frame.number, None)

        task = self._server.gate.start(frame, send_outcome, send_hint, delay_s, self.node)
        self.task_by_number[frame.number] = task
        task.add_done_callback(end)

    def _send_in_parts(self, response: InstanceResponse) -> None:
        size, budget = len(response.body), self._server.budget
        budget.add(size)
        self.write(encode(replace(response, body=b"", body_bytes=size)))
        self.send_body(response.number, response.body, lambda: budget.release(size))

    def _give_up(self, frame: ForwardedRequest) -> None:
        """Refuse a request whose body has not arrived by its deadline."""
        self._remove_incoming(frame.number)
        self._refuse(frame, ErrorKind.TOO_LATE, 0.0)

    def _remove_incoming(self, number: int) -> None:
        incoming = self._incoming_by_number.pop(number, None)
        if incoming is not None:
            incoming.give_up.cancel()
            self._server.budget.release(_bytes_of(incoming.frame))

    def _refuse(self, frame: ForwardedRequest, kind: ErrorKind, retry_after_s: float) -> None:
        log.event("body refused", node=self.node, kind=kind.value, bytes=frame.body_bytes)
        load = self._server.gate.gate.load()
        self.write(encode(Refusal(frame.number, kind, Ran.NO, retry_after_s, load)))

    def handle_cancel(self, frame: Cancel) -> None:
        """Cancel a request."""
        self._remove_incoming(frame.number)
        self.drop_body(frame.number)
        task = self.task_by_number.pop(frame.number, None)
        if task is not None:
            task.cancel()

    def handle_ping(self, frame: LinkPing) -> None:
        """Reply to a ping."""
        self.write(encode(LinkPong(frame.number)))

    def handle_document_request(self, frame: DocumentRequest) -> None:
        """Send the document if it is newer than the peer's."""
        document = self._server.hooks.document()
        if document is not None and document.version > frame.known_version:
            self.write(encode(document))

    def handle_document(self, frame: DocumentFrame) -> None:
        """Pass a document from the peer to the hooks."""
        self._server.hooks.on_document(frame, self.peer)

    def handle_evacuations(self, frame: EvacuationSet) -> None:
        """Pass the evacuated domains that the peer knows to the hooks."""
        self._server.hooks.on_evacuations(frame, self.peer)


def _bytes_of(frame: ForwardedRequest) -> int:
    """Return the memory that a request takes until it ends."""
    return REQUEST_BYTES + len(frame.path) + len(frame.head) + len(frame.body) + frame.body_bytes


_HANDLER_BY_TYPE: dict[type, Callable[..., None]] = {
    Hello: LinkServerConnection.handle_hello,
    ForwardedRequest: LinkServerConnection.handle_request,
    BodyPart: LinkServerConnection.handle_part,
    Cancel: LinkServerConnection.handle_cancel,
    LinkPing: LinkServerConnection.handle_ping,
    DocumentRequest: LinkServerConnection.handle_document_request,
    DocumentFrame: LinkServerConnection.handle_document,
    EvacuationSet: LinkServerConnection.handle_evacuations,
}
