"""Shared helpers: settings, records and raw connections."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections.abc import Awaitable, Callable

from peridottrack.config import Settings
from peridottrack.messages import MemberState, MemberUpdate
from peridottrack.standin.deployments import BUZULIP, node_settings
from peridottrack.types import (
    Endpoint,
    FailureDomain,
    Instance,
    InstanceId,
    NodeId,
    Region,
    ServiceName,
)

RawHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

MOST_UNREAD_BYTES = 256 << 10
"""Most bytes that a node may have received on a connection and not read: those of a hundred links
are an eighth of the memory of the smallest host."""


def unread_bytes(transport):
    """Return the bytes that the kernel has received on a connection and nobody has read."""
    answer = fcntl.ioctl(transport.get_extra_info("socket"), termios.FIONREAD, b"\0" * 4)
    return struct.unpack("i", answer)[0]


def make_instance(number: int, service: str = "katalog", domain: str = "a", slots: int = 18):
    return Instance(
        InstanceId(f"{service}-{number}"),
        ServiceName(service),
        Endpoint("127.0.0.1", 9_000 + number),
        slots,
        240,
        FailureDomain(domain),
    )


def make_update(number: int, incarnation: int = 1, state: MemberState = MemberState.ALIVE):
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    return MemberUpdate(
        NodeId(f"{host}:7000"),
        incarnation,
        state,
        Endpoint(host, 7001),
        FailureDomain(f"d{number % 7}"),
        Region(f"r{number % 2}"),
    )


def make_settings(platform_url: str, ports: list[int], **changes) -> Settings:
    return node_settings(BUZULIP, BUZULIP.domains[0], platform_url, ports, **changes)


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request with its body, if it has a Content-Length, and return its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            await reader.readexactly(int(line.split(b":")[1]))
    return head


async def raw_exchange(host: str, port: int, data: bytes) -> bytes:
    """Send bytes and read until the peer closes."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    await writer.drain()
    try:
        return await asyncio.wait_for(reader.read(), 10)
    finally:
        writer.close()
