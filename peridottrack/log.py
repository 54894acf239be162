"""Logs as JSON lines, and debug output by topic."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterable
from typing import Any, TextIO

import logbook

from peridottrack.loglimit import LogLimiter, NonBlockingWriter

logger = logbook.Logger("peridottrack")
_topics: set[str] = set()
_writer: NonBlockingWriter | None = None
_flow: LogLimiter | None = None


def _line(record: Any) -> str:
    """Return the JSON line of a record."""
    line = {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "event": record.message,
    }
    line.update(record.kwargs)
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return json.dumps(line, default=str)


class JsonLineHandler(logbook.StreamHandler):
    """Writes each record as one JSON object on one line."""

    def format(self, record: Any) -> str:
        """Return the line of a record."""
        return _line(record)


class NonBlockingHandler(logbook.Handler):
    """Writes the same lines without waiting for their reader."""

    def __init__(self, writer: NonBlockingWriter, level: str) -> None:
        super().__init__(level=level)
        self._writer = writer

    def emit(self, record: Any) -> None:
        """Write a record."""
        self._writer.write(_line(record).encode() + b"\n")


def start_logging(level: str, topics: Iterable[str] = (), stream: TextIO | None = None) -> None:
    """Send all records from now on to a stream.

    Parameters
    ----------
    topics
        Topics of `debug` that are wanted.
    """
    _start(JsonLineHandler(stream or sys.stderr, level=level), topics)


def start_nonblocking_logging(level: str, topics: Iterable[str], descriptor: int) -> None:
    """Send all records to a file descriptor that may have a slow reader; volume is bounded."""
    global _writer, _flow
    _writer = NonBlockingWriter(descriptor)
    _flow = LogLimiter(time.monotonic)
    _start(NonBlockingHandler(_writer, level), topics)


def _start(handler: logbook.Handler, topics: Iterable[str]) -> None:
    _topics.update(topics)
    if _topics:
        handler.level = logbook.DEBUG
    handler.push_application()


def flush_pending() -> None:
    """Write what waits for a slow reader, and tell of lines that were not written."""
    if _writer is None or _flow is None:
        return
    _writer.flush()
    for name, count in _flow.take_withheld().items():
        logger.info("lines withheld", of=name, count=count)
    dropped = _writer.take_dropped()
    if dropped:
        logger.warning("lines dropped", count=dropped)


def should_log(name: str) -> bool:
    """Tell whether a line of an event is written now; asked before its fields are worked out."""
    return _flow is None or _flow.admits(name)


def event(name: str, **fields: Any) -> None:
    """Log that something happened which an operator wants to know."""
    if should_log(name):
        logger.info(name, **fields)


def warning(name: str, **fields: Any) -> None:
    """Log something that may need an operator."""
    if should_log(name):
        logger.warning(name, **fields)


def debug(topic: str, name: str, **fields: Any) -> None:
    """Log details of a topic, if it was asked for."""
    if topic in _topics:
        logger.debug(name, topic=topic, **fields)
