"""Reads callers' requests from bytes, within limits. Performs no I/O.

The parser of `httptools` keeps a line until its end and skips empty lines before a request, both
without a limit, so bytes that it has taken without delivering anything are counted here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from peridottrack.headerblock import Header, header_value
from peridottrack.routing import CallerLimits
from peridottrack.types import Clock

SLICE_BYTES = 1 << 10
"""Most bytes that are parsed at once unless they are known to be of one body: what follows a
request can be held back only from the next slice on."""
HEAD_SLACK_BYTES = 1 << 10
"""Bytes of a head beyond the limit of its headers: the request line, spaces, line ends."""
HEADER_ENTRY_BYTES = 160
"""Memory that a header takes beside its bytes."""
LARGE_BODY_BYTES = 64 << 10
"""Size above which a body stays in the buffer in which it was collected, so that it is not copied.
"""


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller.

    Parameters
    ----------
    target
        Path and query as sent.
    body
        Not changed any more; a large one is a `bytearray`.
    received_at
        Time of the node's clock, in seconds, at which its first byte was read.
    head_bytes
        Memory that its target and headers take.
    """

    method: str
    target: bytes
    headers: list[Header]
    body: bytes | bytearray
    received_at: float
    head_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Memory that it takes."""
        return self.head_bytes + len(self.body)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class RequestRefused(Exception):
    """Input of a caller that gets a response with a status, after which its connection closes."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RequestReader:
    """Reads the requests of one connection.

    Attributes
    ----------
    on_begin
        Called at the first byte of a request.
    on_head
        Called with a request whose head is complete and whose body follows.
    on_request
        Called with a complete request, and whether its caller ends the connection after it.
    in_progress
        Whether a request has begun and is not complete.
    received_at
        When it began, by the node's clock.
    """

    def __init__(self, limits: Callable[[], CallerLimits], clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self.on_begin: Callable[[], None] = lambda: None
        self.on_head: Callable[[CallerRequest], None] = lambda request: None
        self.on_request: Callable[[CallerRequest, bool], None] = lambda request, last: None
        self._parser = httptools.HttpRequestParser(self)
        self.in_progress = False
        self.received_at = 0.0
        # Bytes taken since the parser last delivered a part of a body or a complete request.
        self._undelivered_bytes = 0
        self._refusal: RequestRefused | None = None
        self._start_message()

    @property
    def held_bytes(self) -> int:
        """Memory that the request in progress takes."""
        return self._head_bytes + self._undelivered_bytes + len(self._body)

    @property
    def _head_bytes(self) -> int:
        return HEADER_ENTRY_BYTES * len(self._headers) + self._header_bytes

    def close(self) -> None:
        """Drop all that refers back to this reader, so that its memory is freed at once."""
        self.discard()
        self.on_begin = lambda: None
        self.on_head = lambda request: None
        self.on_request = lambda request, last: None
        self._refusal = None
        del self._parser

    def discard(self) -> None:
        """Drop the request in progress; no more bytes may be fed."""
        self.in_progress = False
        self._undelivered_bytes = 0
        self._start_message()

    def feed(self, data: memoryview) -> int:
        """Parse the first of some bytes; return their number.

        Raises
        ------
        RequestRefused
            If they are not part of a valid request within the limits.
        """
        piece = data[: max(SLICE_BYTES, self._body_left)]
        taken = len(piece)
        self._begin()
        self._undelivered_bytes += taken
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            # A server may ignore the Upgrade header (RFC 9110, section 7.8).
            self._parser = httptools.HttpRequestParser(self)
            taken = upgrade.args[0]
        except httptools.HttpParserError as error:
            raise (self._refusal or RequestRefused(400, f"malformed request: {error}")) from None
        if self._undelivered_bytes > self._limits().header_bytes + HEAD_SLACK_BYTES:
            if self._target:
                raise RequestRefused(431, "headers are larger than the limit")
            raise RequestRefused(400, "no request line")
        return taken

    def _begin(self) -> None:
        if not self.in_progress:
            self.in_progress = True
            self.received_at = self._clock.now()
            self.on_begin()

    # -- parser callbacks --------------------------------------------------------------

    def _start_message(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        # Not a list of pieces, since each piece would take some 40 bytes more.
        self._body = bytearray()
        self._header_bytes = 0
        self._body_left = 0
        self._request: CallerRequest | None = None

    def on_message_begin(self) -> None:
        """Reset the state of the request being parsed."""
        self._begin()
        self._start_message()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits().header_bytes:
            self._fail(431, "headers are larger than the limit")

    def on_headers_complete(self) -> None:
        """Validate the headers that frame the request."""
        names = [key.lower() for key, _ in self._headers]
        if names.count(b"host") != 1:
            self._fail(400, "exactly one Host header is required")
        if names.count(b"content-length") > 1:
            self._fail(400, "more than one Content-Length")
        if b"content-length" in names and b"transfer-encoding" in names:
            self._fail(400, "both Content-Length and Transfer-Encoding")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            self._fail(400, "HTTP/1.1 is required")
        length = header_value(self._headers, b"content-length")
        if length is not None:
            self._body_left = int(length)
            if self._body_left > self._limits().body_bytes:
                self._fail(413, "the body is larger than the limit")
        method = self._parser.get_method().decode("latin-1")
        self._request = CallerRequest(method, self._target, self._headers, b"", self.received_at)
        if self._body_left or b"transfer-encoding" in names:
            self.on_head(self._request)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._undelivered_bytes = 0
        self._body_left = max(0, self._body_left - len(body))
        self._body += body
        if len(self._body) > self._limits().body_bytes:
            self._fail(413, "the body is larger than the limit")

    def on_message_complete(self) -> None:
        """Pass on the complete request."""
        self.in_progress = False
        self._undelivered_bytes = 0
        request, body = self._request, self._body
        assert request is not None
        request.head_bytes = self._head_bytes
        self._start_message()
        request.body = body if len(body) > LARGE_BODY_BYTES else bytes(body)
        try:
            self.on_request(request, not self._parser.should_keep_alive())
        except RequestRefused as refusal:
            self._refusal = refusal
            raise

    def _fail(self, status: int, reason: str) -> None:
        self._refusal = RequestRefused(status, reason)
        raise self._refusal
