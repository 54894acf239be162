"""A connection that carries frames: what its connecting and its accepting side have in common."""

from __future__ import annotations

import asyncio

from peridottrack import log
from peridottrack.exceptions import FrameRejected
from peridottrack.framecodec import FrameReader, FrameWriter
from peridottrack.frames import Frame


class FrameConnection(asyncio.Protocol):
    """Passes received frames to `frame_received` and sends frames."""

    def __init__(self) -> None:
        self._reader = FrameReader()
        self._writer = FrameWriter()
        self._transport: asyncio.Transport | None = None

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

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport, so that later writes are ignored."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Handle the complete frames; close the connection if one cannot be decoded."""
        try:
            for frame in self._reader.feed(data):
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

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard buffered bytes."""
        if self._transport is not None:
            self._transport.abort()
