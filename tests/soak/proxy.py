"""A loopback proxy for one listener of a node; what it does to connections can be changed."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

CHUNK_BYTES = 64 << 10
BACKLOG = 256


@dataclass
class ProxyFault:
    """What is done to each connection.

    Parameters
    ----------
    delay_s
        Added to each piece, both ways.
    mute_up, mute_down
        Whether pieces towards, and from, the listener vanish without a reset.
    refuse
        Whether new connections are reset.
    """

    delay_s: float = 0.0
    mute_up: bool = False
    mute_down: bool = False
    refuse: bool = False


@dataclass
class Proxy:
    """Stands before one endpoint."""

    host: str
    port: int
    fault: ProxyFault = field(default_factory=ProxyFault)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, at: str = "127.0.0.1") -> str:
        """Listen; return the address that others connect to."""
        self._server = await asyncio.start_server(self._serve, at, 0, backlog=BACKLOG)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            if self.fault.refuse:
                raise ConnectionResetError
            far_reader, far = await asyncio.open_connection(self.host, self.port)
            self._writers.add(far)
            ways = self._pump(reader, far, "mute_up"), self._pump(far_reader, writer, "mute_down")
            await asyncio.gather(*ways)
        except (OSError, asyncio.CancelledError):
            # Whatever broke one side is told to the other as a reset.
            for side in (writer, far):
                if side is not None:
                    _reset(side)
        finally:
            for side in (writer, far):
                if side is not None:
                    self._writers.discard(side)
                    side.close()
            self._tasks.discard(task)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, mute: str
    ) -> None:
        while data := await source.read(CHUNK_BYTES):
            if self.fault.delay_s:
                await asyncio.sleep(self.fault.delay_s)
            if getattr(self.fault, mute):
                continue
            sink.write(data)
            await sink.drain()
        if not sink.is_closing():
            sink.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    kept = writer.get_extra_info("socket")
    if kept is not None and kept.fileno() >= 0:
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
