"""Encoding of frames with pycapnp, and their transport in a byte stream by length prefix."""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Callable, Iterator
from importlib import resources
from typing import Any

import capnp

from peridottrack.errors import ErrorKind, Ran
from peridottrack.evacuation import EvacuationSet
from peridottrack.exceptions import FrameRejected
from peridottrack.frames import (
    BodyPart,
    Cancel,
    DocumentFrame,
    DocumentRequest,
    ForwardedRequest,
    Frame,
    GateLoad,
    HedgeHint,
    Hello,
    InstanceResponse,
    LeftInstance,
    LinkPing,
    LinkPong,
    Refusal,
)
from peridottrack.types import FailureDomain, InstanceId, NodeId, ServiceName

capnp.remove_import_hook()
with resources.as_file(resources.files("peridottrack") / "frames.capnp") as _path:
    _schema = capnp.load(str(_path))

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 80 << 20
"""Above the largest body that a document may allow; a longer length is taken to be corrupt."""
WINDOW_BITS = 12
DEFLATE_MEMORY = 5
DEFLATE_LEVEL = 4
"""zlib parameters: some 40 KB of memory per direction of a connection, enough for the window to
cover the headers of a few requests, which mostly repeat."""
SYNC_FLUSH_END = b"\x00\x00\xff\xff"
"""End of a zlib sync flush (RFC 7692, section 7.2.1); not sent, since frames have a length."""
TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES // 4
MICROSECONDS = 1_000_000
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF
MAX_INT32 = 0x7FFFFFFF


def encode(frame: Frame) -> bytes:
    """Return a frame's bytes without the length prefix."""
    message = _schema.Frame.new_message()
    _ENCODE_BY_TYPE[type(frame)](message, frame)
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode(data: bytes) -> Frame:
    """Decode one frame from its bytes without the length prefix.

    Raises
    ------
    FrameRejected
        If the bytes are not a valid frame.
    """
    try:
        message = _schema.Frame.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        return _DECODE_BY_NAME[str(message.which())](message)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise FrameRejected(f"undecodable frame of {len(data)} bytes: {error}") from error


class FrameWriter:
    """Writes frames to a byte stream, as one compressed stream from the call of `compress` on."""

    def __init__(self) -> None:
        self._deflater: zlib._Compress | None = None

    def compress(self) -> None:
        """Compress all frames that follow."""
        if self._deflater is None:
            self._deflater = zlib.compressobj(
                DEFLATE_LEVEL, zlib.DEFLATED, -WINDOW_BITS, DEFLATE_MEMORY
            )

    def wrap(self, data: bytes) -> bytes:
        """Return an encoded frame as it is sent: compressed if enabled, after its length."""
        if self._deflater is not None:
            data = self._deflater.compress(data) + self._deflater.flush(zlib.Z_SYNC_FLUSH)
            data = data.removesuffix(SYNC_FLUSH_END)
        return LENGTH.pack(len(data)) + data


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._inflater: zlib._Decompress | None = None

    def decompress(self) -> None:
        """Treat all frames that follow as compressed."""
        if self._inflater is None:
            self._inflater = zlib.decompressobj(-WINDOW_BITS)

    def feed(self, data: bytes | memoryview) -> Iterator[Frame]:
        """Add received bytes and yield the frames that are complete.

        Raises
        ------
        FrameRejected
            If a length exceeds the limit or a frame cannot be decoded.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise FrameRejected(
                    f"frame length {length} exceeds the limit of {MAX_FRAME_BYTES} bytes"
                )
            end = LENGTH.size + length
            if len(self._buffer) < end:
                break
            frame = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            yield decode(self._inflate(frame))

    def _inflate(self, data: bytes) -> bytes:
        if self._inflater is None:
            return data
        try:
            inflated = self._inflater.decompress(data + SYNC_FLUSH_END, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise FrameRejected(f"frame cannot be inflated: {error}") from error
        if self._inflater.unconsumed_tail:
            raise FrameRejected(f"frame inflates to more than {MAX_FRAME_BYTES} bytes")
        return inflated


def _microseconds(seconds: float) -> int:
    return min(max(int(seconds * MICROSECONDS), 0), MAX_UINT32)


def _signed_microseconds(seconds: float) -> int:
    return min(max(int(seconds * MICROSECONDS), -MAX_INT32), MAX_INT32)


def _encode_load(target: Any, load: GateLoad) -> None:
    target.instance = load.instance
    target.service = load.service
    target.open = load.open
    target.slots = min(load.slots, MAX_UINT16)
    target.limit = min(load.limit, MAX_UINT16)
    target.running = min(load.running, MAX_UINT16)
    target.waiting = min(load.waiting, MAX_UINT16)
    target.slowdownPercent = min(int(load.slowdown * 100), MAX_UINT16)
    target.slowdownAgeMs = min(int(load.slowdown_age_s * 1000), MAX_UINT16)
    target.cold = load.cold
    target.meanPercent = min(int(load.mean_slowdown * 100), MAX_UINT16)
    target.spellMs = min(int(load.spell_s * 1000), MAX_UINT16)
    if math.isfinite(load.rate_limit):
        target.rateLimited = True
        target.ratePerSecond = load.rate_limit
        target.admissible = load.admissible
    target.startTime = max(load.start_time, 0)
    target.leaving = load.leaving


def _decode_load(source: Any) -> GateLoad:
    return GateLoad(
        InstanceId(source.instance),
        ServiceName(source.service),
        source.open,
        source.slots,
        source.limit,
        source.running,
        source.waiting,
        source.slowdownPercent / 100,
        source.slowdownAgeMs / 1000,
        source.cold,
        source.meanPercent / 100,
        source.spellMs / 1000,
        source.ratePerSecond if source.rateLimited else math.inf,
        source.admissible,
        source.startTime,
        source.leaving,
    )


def _encode_hello(message: Any, frame: Hello) -> None:
    target = message.init("hello")
    target.node = frame.node
    target.domain = frame.domain
    target.documentVersion = frame.document_version
    target.compressed = frame.compressed
    if frame.left_instance is not None:
        target.leftInstance = frame.left_instance.instance
        target.leftStartTime = frame.left_instance.start_time


def _decode_hello(message: Any) -> Hello:
    source = message.hello
    left = source.leftInstance
    return Hello(
        NodeId(source.node),
        FailureDomain(source.domain),
        source.documentVersion,
        source.compressed,
        LeftInstance(InstanceId(left), source.leftStartTime) if left else None,
    )


def _encode_request(message: Any, frame: ForwardedRequest) -> None:
    target = message.init("request")
    target.number = frame.number
    target.budget = _microseconds(frame.budget_s)
    target.sentAt = int(frame.sent_at * MICROSECONDS)
    target.targetTime = _signed_microseconds(frame.target_s)
    target.route = frame.route
    target.rank = frame.priority
    target.idempotent = frame.idempotent
    target.again = frame.resent
    target.method = frame.method
    target.path = frame.path
    target.head = frame.head
    target.body = bytes(frame.body)
    target.instance = frame.instance
    target.mayPassBack = frame.decline_if_slow
    target.mayPassOn = frame.decline_if_full
    target.account = frame.account
    target.returned = frame.returned
    target.bodyBytes = frame.body_bytes


def _decode_request(message: Any) -> ForwardedRequest:
    source = message.request
    return ForwardedRequest(
        source.number,
        source.budget / MICROSECONDS,
        source.sentAt / MICROSECONDS,
        source.targetTime / MICROSECONDS,
        source.route,
        source.rank,
        source.idempotent,
        source.again,
        source.method,
        source.path,
        source.head,
        source.body,
        InstanceId(source.instance),
        source.mayPassBack,
        source.mayPassOn,
        source.account,
        source.returned,
        source.bodyBytes,
    )


def _encode_part(message: Any, frame: BodyPart) -> None:
    target = message.init("part")
    target.number = frame.number
    target.data = frame.data


def _encode_answer(message: Any, frame: InstanceResponse) -> None:
    target = message.init("answer")
    target.number = frame.number
    target.status = frame.status
    target.head = frame.head
    target.body = bytes(frame.body)
    target.bodyBytes = frame.body_bytes
    target.runTime = _microseconds(frame.run_s)
    _encode_load(target.load, frame.load)


def _decode_answer(message: Any) -> InstanceResponse:
    source = message.answer
    load = _decode_load(source.load)
    run_s = source.runTime / MICROSECONDS
    return InstanceResponse(
        source.number, source.status, source.head, source.body, load, run_s, source.bodyBytes
    )


def _encode_refusal(message: Any, frame: Refusal) -> None:
    target = message.init("refusal")
    target.number = frame.number
    target.kind = frame.kind.value
    target.ran = frame.ran.value
    target.waitMs = int(frame.retry_after_s * 1000)
    _encode_load(target.load, frame.load)


def _decode_refusal(message: Any) -> Refusal:
    source = message.refusal
    return Refusal(
        source.number,
        ErrorKind(source.kind),
        Ran(str(source.ran)),
        source.waitMs / 1000,
        _decode_load(source.load),
    )


def _encode_document(message: Any, frame: DocumentFrame) -> None:
    target = message.init("document")
    target.version = frame.version
    target.data = frame.data
    if frame.evacuations is not None:
        _encode_evacuations(target.init("evacuations"), frame.evacuations)


def _decode_document(message: Any) -> DocumentFrame:
    source = message.document
    evacuations = _decode_evacuations(source.evacuations)
    return DocumentFrame(source.version, source.data, evacuations if evacuations.position else None)


def _encode_evacuations(target: Any, evacuations: EvacuationSet) -> None:
    target.era = evacuations.era
    target.position = evacuations.position
    target.domains = sorted(evacuations.domains)


def _decode_evacuations(source: Any) -> EvacuationSet:
    domains = frozenset(FailureDomain(domain) for domain in source.domains)
    return EvacuationSet(source.era, source.position, domains)


_ENCODE_BY_TYPE: dict[type, Callable[[Any, Any], None]] = {
    Hello: _encode_hello,
    ForwardedRequest: _encode_request,
    BodyPart: _encode_part,
    Cancel: lambda message, frame: setattr(message, "cancel", frame.number),
    InstanceResponse: _encode_answer,
    Refusal: _encode_refusal,
    GateLoad: lambda message, frame: _encode_load(message.init("load"), frame),
    HedgeHint: lambda message, frame: setattr(message, "hurry", frame.number),
    LinkPing: lambda message, frame: setattr(message, "ping", frame.number),
    LinkPong: lambda message, frame: setattr(message, "pong", frame.number),
    DocumentRequest: lambda message, frame: setattr(message, "wantDocument", frame.known_version),
    DocumentFrame: _encode_document,
    EvacuationSet: lambda message, frame: _encode_evacuations(message.init("evacuations"), frame),
}

_DECODE_BY_NAME: dict[str, Callable[[Any], Frame]] = {
    "hello": _decode_hello,
    "request": _decode_request,
    "part": lambda message: BodyPart(message.part.number, message.part.data),
    "cancel": lambda message: Cancel(message.cancel),
    "answer": _decode_answer,
    "refusal": _decode_refusal,
    "load": lambda message: _decode_load(message.load),
    "hurry": lambda message: HedgeHint(message.hurry),
    "ping": lambda message: LinkPing(message.ping),
    "pong": lambda message: LinkPong(message.pong),
    "wantDocument": lambda message: DocumentRequest(message.wantDocument),
    "document": _decode_document,
    "evacuations": lambda message: _decode_evacuations(message.evacuations),
}
