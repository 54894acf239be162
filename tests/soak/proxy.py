"""TCP proxy on loopback before one listener; its faults can be changed while it runs."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

CHUNK_BYTES = 64 << 10
BACKLOG = 256


@dataclass
class ProxyFault:
    """Fault that a proxy applies to all its connections.

    Parameters
    ----------
    delay_s
        Delay added to each chunk, in both directions.
    mute_up, mute_down
        Whether data to, and from, the listener is discarded while the connection stays open.
    refuse
        Whether new connections are reset.
    """

    delay_s: float = 0.0
    mute_up: bool = False
    mute_down: bool = False
    refuse: bool = False


@dataclass
class Proxy:
    """Forwards connections to one listener."""

    host: str
    port: int
    fault: ProxyFault = field(default_factory=ProxyFault)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, listen_ip: str = "127.0.0.1") -> str:
        """Listen on a free port; return the address to connect to."""
        self._server = await asyncio.start_server(self._serve, listen_ip, 0, backlog=BACKLOG)
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
        up_writer: asyncio.StreamWriter | None = None
        try:
            if self.fault.refuse:
                raise ConnectionResetError
            up_reader, up_writer = await asyncio.open_connection(self.host, self.port)
            self._writers.add(up_writer)
            directions = (
                self._copy(reader, up_writer, "mute_up"),
                self._copy(up_reader, writer, "mute_down"),
            )
            await asyncio.gather(*directions)
        except (OSError, asyncio.CancelledError):
            # A failure of one side is passed to the other as a reset.
            for side in (writer, up_writer):
                if side is not None:
                    _reset(side)
        finally:
            for side in (writer, up_writer):
                if side is not None:
                    self._writers.discard(side)
                    side.close()
            self._tasks.discard(task)

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, mute_field: str
    ) -> None:
        while data := await source.read(CHUNK_BYTES):
            if self.fault.delay_s:
                await asyncio.sleep(self.fault.delay_s)
            if getattr(self.fault, mute_field):
                continue
            sink.write(data)
            await sink.drain()
        if not sink.is_closing():
            sink.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        # A linger time of 0 makes the close send RST instead of FIN.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
