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
    """Sends and receives sealed messages; hands each kind to its handler.

    A node has one socket. What arrives and is not authentic is counted and dropped.
    """

    def __init__(self, sealer: DatagramSigner, metrics: Metrics) -> None:
        self._sealer = sealer
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._closed = asyncio.Event()
        self._handlers_by_type: dict[type, list[Handler]] = {}
        self._received_bytes = metrics.control_bytes.labels("received")
        self._sent_bytes = metrics.control_bytes.labels("sent")

    def handle(self, kinds: tuple[type[Body], ...], handler: Handler) -> None:
        """Register a handler for kinds of bodies."""
        for kind in kinds:
            self._handlers_by_type.setdefault(kind, []).append(handler)

    async def start(self, host: str, port: int) -> int:
        """Open the socket and return its port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._transport = transport
        return int(transport.get_extra_info("sockname")[1])

    async def stop(self) -> None:
        """Close the socket; its port is free afterwards."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
            await self._closed.wait()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the socket is closed."""
        self._closed.set()

    def send(self, receiver: NodeId, message: Message) -> int:
        """Send a message; return the datagram's bytes, 0 if it was not sent."""
        return self.send_signed(receiver, self._sealer.sign(receiver, message))

    def sign(self, receiver: NodeId, message: Message) -> bytes:
        """Return the datagram of a message, for `send_sealed`."""
        return self._sealer.sign(receiver, message)

    def send_signed(self, receiver: NodeId, data: bytes) -> int:
        """Send a datagram made by `seal`."""
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
        """Take in a datagram."""
        self._received_bytes.inc(len(data) + HEADER_BYTES)
        try:
            message = self._sealer.verify(data)
        except DatagramRejected as error:
            self._metrics.datagrams_rejected.labels(str(error)).inc()
            return
        for handler in self._handlers_by_type.get(type(message.body), ()):
            handler(message)

    def error_received(self, exc: Exception) -> None:
        """Note that the network refused a datagram; its loss is expected by the senders."""
        log.debug("member", "datagram refused", error=str(exc))
