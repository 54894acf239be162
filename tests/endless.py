"""Bytes without end that a faulty instance sends instead of a response: a start, then a piece."""

from __future__ import annotations

import pytest

REQUEST_ID = b"r1"
"""Id in the responses to the request; those to another one have the id ``r0``."""
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold"

ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "empty lines before the response": (b"", b"\r\n"),
    "header name": (HEAD, b"a"),
    "header value": (HEAD + b"A: ", b"a"),
    "spaces before a header value": (HEAD + b"A:", b" "),
    "header lines": (HEAD, b"Ab: cd\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "digits of a length": (HEAD + b"Content-Length: ", b"0"),
    "digits of a chunk length": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;a=", b"a"),
    "trailer value": (CHUNKED + b"0\r\nA: ", b"a"),
    "trailer lines": (CHUNKED + b"0\r\n", b"Ab: cd\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n"),
    "chunks of 16 bytes": (CHUNKED, b"10\r\n" + b"a" * 16 + b"\r\n"),
    "responses to another request": (b"", OTHER_RESPONSE),
}
"""Responses that never end, with little or no body."""

ENDLESS_BODIES = {
    "body of a large declared length": (HEAD + b"Content-Length: 9000000000\r\n\r\n", b"a"),
    "body that the connection ends": (HEAD + b"\r\n", b"a"),
    "chunks": (CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"),
    "small chunks": (CHUNKED, b"40\r\n" + b"a" * 64 + b"\r\n"),
    "chunk": (CHUNKED + b"ffffffff\r\n", b"a"),
    "chunks of a response to another request": (
        CHUNKED.replace(b"r1", b"r0"),
        b"400\r\n" + b"a" * 1024 + b"\r\n",
    ),
}
"""Responses whose body never ends."""


def by_name(variants: dict[str, tuple[bytes, bytes]]) -> list[object]:
    """Return the variants as the parameters of a test."""
    return [pytest.param(*variant, id=name) for name, variant in variants.items()]
