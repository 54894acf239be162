"""One connection that carries frames, whichever side opened it."""

from __future__ import annotations

import asyncio

from peridottrack import log
from peridottrack.exceptions import FrameRejected
from peridottrack.framecodec import FrameReader, FrameWriter
from peridottrack.frames import Frame


class FrameConnection(asyncio.Protocol):
    """Hands the frames that come to `take` and sends others."""

    def __init__(self) -> None:
        self._reader = FrameReader()
        self._writer = FrameWriter()
        self._transport: asyncio.Transport | None = None

    @property
    def peer(self) -> str:
        """Name of the other side for log lines."""
        raise NotImplementedError

    def frame_received(self, frame: Frame) -> None:
        """Take in a frame."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Send nothing any more."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Take in the frames that are complete."""
        try:
            for frame in self._reader.feed(data):
                self.frame_received(frame)
        except FrameRejected as error:
            log.warning("frame rejected", node=self.peer, error=str(error))
            self.close()

    def compress(self) -> None:
        """Compress what follows, both ways."""
        self._reader.decompress()
        self._writer.compress()

    def unsent_bytes(self) -> int:
        """Return what the other side has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def write(self, data: bytes) -> int:
        """Send an encoded frame unless the connection is gone; return its bytes."""
        if self._transport is None or self._transport.is_closing():
            return 0
        wrapped = self._writer.wrap(data)
        self._transport.write(wrapped)
        return len(wrapped)

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()
