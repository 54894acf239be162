"""Headers as a block of bytes, as sent between nodes and to instances.

For the node with a gate; the node without one uses `peridottrack.headers`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

Header = tuple[bytes, bytes]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and Expect, which each server answers itself."""


def header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header or None; ``name`` must be in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Iterable[Header], dropped: Collection[bytes] = ()) -> list[Header]:
    """Return the headers to forward to the next hop, without those in ``dropped``."""
    fields = list(headers)
    connection_options: set[bytes] = set()
    for key, value in fields:
        if key.lower() == b"connection":
            connection_options.update(token.strip().lower() for token in value.split(b","))
    # These options do not name headers.
    connection_options -= {b"close", b"keep-alive"}
    return [
        (key, value)
        for key, value in fields
        if (lower_key := key.lower()) not in HOP_BY_HOP
        and lower_key not in connection_options
        and lower_key not in dropped
    ]


def pack(headers: Iterable[Header]) -> bytes:
    """Encode headers as a block of lines."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)


def unpack(block: bytes) -> list[Header]:
    """Decode a block made by `pack`."""
    headers = []
    for line in block.split(b"\r\n")[:-1]:
        key, _, value = line.partition(b": ")
        headers.append((key, value))
    return headers
