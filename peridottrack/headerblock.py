"""Headers as one block of bytes, the form in which they travel between nodes and to instances."""

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
"""Headers that concern one connection alone (RFC 9110, section 7.6.1)."""


def header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Iterable[Header], dropped: Collection[bytes] = ()) -> list[Header]:
    """Return the headers that go on to the next hop, without those in ``dropped``."""
    kept = list(headers)
    named: set[bytes] = set()
    for key, value in kept:
        if key.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    named -= {b"close", b"keep-alive"}
    return [
        (key, value)
        for key, value in kept
        if (low := key.lower()) not in HOP_BY_HOP and low not in named and low not in dropped
    ]


def pack(headers: Iterable[Header]) -> bytes:
    """Join headers to lines."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)


def unpack(block: bytes) -> list[Header]:
    """Split lines made by `pack`."""
    headers = []
    for line in block.split(b"\r\n")[:-1]:
        key, _, value = line.partition(b": ")
        headers.append((key, value))
    return headers
