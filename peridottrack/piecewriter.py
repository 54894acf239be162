"""Writes large bytes to a transport piece by piece, so that it buffers and copies little."""

from __future__ import annotations

import asyncio
from collections import deque

PIECE_BYTES = 64 << 10
"""Size of a piece."""


class PieceWriter:
    """Queues what is written until the transport takes it.

    Its protocol passes on `pause` and `resume`.
    """

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        # The transport then reports whether everything was sent, not only whether much is left.
        transport.set_write_buffer_limits(0)
        self._transport = transport
        self._queue: deque[memoryview] = deque()
        self._queued_bytes = 0
        self._writable = True

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that were not sent yet."""
        return self._queued_bytes + self._transport.get_write_buffer_size()

    def write(self, data: bytes | bytearray) -> None:
        """Send bytes as soon as the transport takes them."""
        if data:
            self._queue.append(memoryview(data))
            self._queued_bytes += len(data)
            self._send()

    def discard(self) -> None:
        """Forget what is queued."""
        self._queue.clear()
        self._queued_bytes = 0

    def pause(self) -> None:
        """Send nothing until `resume`."""
        self._writable = False

    def resume(self) -> None:
        """Send more."""
        self._writable = True
        self._send()

    def _send(self) -> None:
        while self._queue and self._writable:
            piece = self._queue[0][:PIECE_BYTES]
            rest = self._queue[0][PIECE_BYTES:]
            if rest:
                self._queue[0] = rest
            else:
                self._queue.popleft()
            self._queued_bytes -= len(piece)
            self._transport.write(piece)
