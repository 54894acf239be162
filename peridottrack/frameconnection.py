"""A connection that carries frames: what its connecting and its accepting side have in common."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from peridottrack import log
from peridottrack.exceptions import FrameRejected
from peridottrack.framecodec import FrameReader, FrameWriter, encode
from peridottrack.frames import Frame
from peridottrack.linkbodies import PART_BYTES, OutgoingBodies

READ_BYTES = 64 << 10
"""Most bytes that are read at once."""
RECEIVE_BUFFER_BYTES = 64 << 10
"""Receive buffer of a link; the kernel takes up to twice that. By itself it would enlarge the
buffer to several megabytes once a link is read fast. At a round trip of 1 ms this allows 64 MB/s.
"""
PARTS_PER_TURN = 16
"""Most parts that are encoded before the loop serves others."""


class FrameConnection(asyncio.BufferedProtocol):
    """Passes received frames to `frame_received` and sends frames."""

    # Shared by all connections: received bytes are copied before another one can be read.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self) -> None:
        self._reader = FrameReader()
        self._writer = FrameWriter()
        self._transport: asyncio.Transport | None = None
        self._bodies = OutgoingBodies()
        self._writable = True
        self._sends_later = False

    @property
    def peer(self) -> str:
        """Name of the peer for log lines."""
        raise NotImplementedError

    def frame_received(self, frame: Frame) -> None:
        """Handle a frame."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(PART_BYTES)
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport, so that later writes are ignored."""
        self._transport = None
        self._bodies.clear()

    def pause_writing(self) -> None:
        """Send no parts of bodies until what is buffered has left."""
        self._writable = False

    def resume_writing(self) -> None:
        """Send more parts of bodies."""
        self._writable = True
        self._send_parts()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the complete frames; close the connection if one cannot be decoded."""
        try:
            for frame in self._reader.feed(self._read_buffer[:nbytes]):
                self.frame_received(frame)
        except FrameRejected as error:
            log.warning("frame rejected", node=self.peer, error=str(error))
            self.close()

    def compress(self) -> None:
        """Compress all frames that follow, in both directions."""
        self._reader.decompress()
        self._writer.compress()

    def unsent_bytes(self) -> int:
        """Return the number of bytes that the transport still buffers."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def write(self, data: bytes) -> int:
        """Send an encoded frame unless the connection is closed; return the bytes sent."""
        if self._transport is None or self._transport.is_closing():
            return 0
        wrapped = self._writer.wrap(data)
        self._transport.write(wrapped)
        return len(wrapped)

    def send_body(
        self, number: int, body: bytes | bytearray, on_end: Callable[[], None] = lambda: None
    ) -> None:
        """Send a large body in parts, by turns with others; ``on_end`` is called at its end."""
        if self._transport is None:
            on_end()
            return
        self._bodies.add(number, body, on_end)
        self._send_parts()

    def drop_body(self, number: int) -> None:
        """Send no more of a body."""
        self._bodies.remove(number)

    def _send_parts(self) -> None:
        if self._sends_later:
            return
        for _ in range(PARTS_PER_TURN):
            part = self._bodies.next_part() if self._writable else None
            if part is None:
                return
            self.write(encode(part))
        self._sends_later = True
        asyncio.get_running_loop().call_soon(self._send_more)

    def _send_more(self) -> None:
        self._sends_later = False
        self._send_parts()

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard buffered bytes."""
        if self._transport is not None:
            self._transport.abort()
