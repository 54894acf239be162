"""UDP transport of messages between nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peridottrack import log
from peridottrack.config import parse_endpoint
from peridottrack.datagramcodec import HEADER_BYTES, MAX_DATAGRAM_BYTES, DatagramSigner
from peridottrack.exceptions import DatagramRejected
from peridottrack.messages import Body, Message
from peridottrack.metrics import Metrics
from peridottrack.types import NodeId

Handler = Callable[[Message], None]


class DatagramTransport(asyncio.DatagramProtocol):
    """Sends and receives signed messages and dispatches each to the handlers of its body type.

    A node has one socket. Datagrams that fail verification are counted and dropped.
    """

    def __init__(self, signer: DatagramSigner, metrics: Metrics) -> None:
        self._signer = signer
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._closed = asyncio.Event()
        self._handlers_by_type: dict[type, list[Handler]] = {}
        self._received_bytes = metrics.control_bytes.labels("received")
        self._sent_bytes = metrics.control_bytes.labels("sent")

    def handle(self, body_types: tuple[type[Body], ...], handler: Handler) -> None:
        """Register a handler for messages with bodies of the given types."""
        for body_type in body_types:
            self._handlers_by_type.setdefault(body_type, []).append(handler)

    async def start(self, host: str, port: int) -> int:
        """Open the socket and return its port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._transport = transport
        return int(transport.get_extra_info("sockname")[1])

    async def stop(self) -> None:
        """Close the socket and wait until its port is free."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
            await self._closed.wait()

    def connection_lost(self, exc: Exception | None) -> None:
        """Let `stop` return: the socket is closed."""
        self._closed.set()

    def send(self, receiver: NodeId, message: Message) -> int:
        """Send a message; return the size of the datagram in bytes, 0 if it was not sent."""
        return self.send_signed(receiver, self._signer.sign(receiver, message))

    def sign(self, receiver: NodeId, message: Message) -> bytes:
        """Return the signed datagram of a message.

        For `send_signed`, where the size must be known before the datagram is sent.
        """
        return self._signer.sign(receiver, message)

    def send_signed(self, receiver: NodeId, data: bytes) -> int:
        """Send a datagram made by `sign`; return its size in bytes, 0 if it was not sent."""
        if self._transport is None:
            return 0
        if len(data) > MAX_DATAGRAM_BYTES:
            self._metrics.datagrams_rejected.labels("oversized").inc()
            return 0
        endpoint = parse_endpoint(receiver)
        self._transport.sendto(data, (endpoint.host, endpoint.port))
        self._sent_bytes.inc(len(data) + HEADER_BYTES)
        return len(data)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify a datagram and pass its message to the handlers."""
        self._received_bytes.inc(len(data) + HEADER_BYTES)
        try:
            message = self._signer.verify(data)
        except DatagramRejected as error:
            self._metrics.datagrams_rejected.labels(str(error)).inc()
            return
        for handler in self._handlers_by_type.get(type(message.body), ()):
            handler(message)

    def error_received(self, exc: Exception) -> None:
        """Log an error of the socket; the protocols tolerate the loss of datagrams."""
        log.debug("member", "socket reported an error", error=str(exc))
