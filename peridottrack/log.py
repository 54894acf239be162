"""Logging as JSON lines, and debug output by topic."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterable
from typing import Any, TextIO

import logbook

from peridottrack.loglimit import LogLimiter, NonBlockingWriter

logger = logbook.Logger("peridottrack")
_enabled_topics: set[str] = set()
_writer: NonBlockingWriter | None = None
_limiter: LogLimiter | None = None


def _json_line(record: Any) -> str:
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
        """Return the JSON line of a record."""
        return _json_line(record)


class NonBlockingHandler(logbook.Handler):
    """Writes the same lines without blocking on a slow reader."""

    def __init__(self, writer: NonBlockingWriter, level: str) -> None:
        super().__init__(level=level)
        self._writer = writer

    def emit(self, record: Any) -> None:
        """Write a record."""
        self._writer.write(_json_line(record).encode() + b"\n")


def start_logging(level: str, topics: Iterable[str] = (), stream: TextIO | None = None) -> None:
    """Write all records to a stream from now on.

    Parameters
    ----------
    topics
        Topics of `debug` that are written; any topic lowers the level to DEBUG.
    """
    _install(JsonLineHandler(stream or sys.stderr, level=level), topics)


def start_nonblocking_logging(level: str, topics: Iterable[str], descriptor: int) -> None:
    """Write all records to a file descriptor, at a limited rate and without blocking."""
    global _writer, _limiter
    _writer = NonBlockingWriter(descriptor)
    _limiter = LogLimiter(time.monotonic)
    _install(NonBlockingHandler(_writer, level), topics)


def _install(handler: logbook.Handler, topics: Iterable[str]) -> None:
    _enabled_topics.update(topics)
    if _enabled_topics:
        handler.level = logbook.DEBUG
    handler.push_application()


def flush_pending() -> None:
    """Write buffered lines, and report how many were withheld or dropped."""
    if _writer is None or _limiter is None:
        return
    _writer.flush()
    for name, count in _limiter.take_withheld().items():
        logger.info("lines withheld", of=name, count=count)
    dropped = _writer.take_dropped()
    if dropped:
        logger.warning("lines dropped", count=dropped)


def should_log(name: str) -> bool:
    """Return whether to write this line of an event, before the caller computes its fields."""
    return _limiter is None or _limiter.admits(name)


def event(name: str, **fields: Any) -> None:
    """Log an event that is of interest to operators."""
    if should_log(name):
        logger.info(name, **fields)


def warning(name: str, **fields: Any) -> None:
    """Log an event that may need an operator's attention."""
    if should_log(name):
        logger.warning(name, **fields)


def debug(topic: str, name: str, **fields: Any) -> None:
    """Log details of a topic if it is enabled."""
    if topic in _enabled_topics:
        logger.debug(name, topic=topic, **fields)
