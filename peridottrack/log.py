"""Logs as JSON lines on standard error, and debug output by topic."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

import logbook

logger = logbook.Logger("peridottrack")
_topics: set[str] = set()


class JsonLineHandler(logbook.StreamHandler):
    """Writes each record as one JSON object on one line."""

    def format(self, record: Any) -> str:
        """Return the line of a record."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "event": record.message,
        }
        line.update(record.kwargs)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return json.dumps(line, default=str)


def start_logging(level: str, topics: Iterable[str] = (), stream: TextIO | None = None) -> None:
    """Send all records from now on to a stream.

    Parameters
    ----------
    topics
        Topics of `debug` that are wanted.
    """
    handler = JsonLineHandler(stream or sys.stderr, level=level)
    _topics.update(topics)
    if _topics:
        handler.level = logbook.DEBUG
    handler.push_application()


def event(name: str, **fields: Any) -> None:
    """Log that something happened which an operator wants to know."""
    logger.info(name, **fields)


def warning(name: str, **fields: Any) -> None:
    """Log something that may need an operator."""
    logger.warning(name, **fields)


def debug(topic: str, name: str, **fields: Any) -> None:
    """Log details of a topic, if it was asked for."""
    if topic in _topics:
        logger.debug(name, topic=topic, **fields)
