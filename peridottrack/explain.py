"""Timeline of one request, from the log lines of all nodes that handled it."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, BinaryIO

from peridottrack.events import EVENT_BY_NAME

MAX_LINE_BYTES = 64 << 10
"""Longer lines are not written by nodes and are skipped."""


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One log line of the timeline.

    Parameters
    ----------
    source
        The last word before the line's JSON, for example a host name, otherwise the file name.
    """

    time: str
    source: str
    event: str
    fields: dict[str, Any]


def read_timeline(request: str, files: Iterable[BinaryIO]) -> list[TimelineEntry]:
    """Collect the lines of a request and of calls whose ids extend its id, ordered by time.

    Reports of withheld and dropped lines are included, since those may belong to the request.
    """
    entries = [
        entry for file in files for line in file if (entry := _parse_line(request, file.name, line))
    ]
    return sorted(entries, key=lambda entry: entry.time)


def _parse_line(request: str, name: str, line: bytes) -> TimelineEntry | None:
    start = line.find(b"{")
    if start < 0 or len(line) > MAX_LINE_BYTES:
        return None
    try:
        data = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(data, dict) or "event" not in data:
        return None
    source = line[:start].decode("utf-8", "replace").split()
    fields = {key: value for key, value in data.items() if key not in ("time", "event", "level")}
    line_request = str(data.get("request", ""))
    matches = line_request == request or line_request.startswith(f"{request}.")
    if not matches and data["event"] not in ("lines withheld", "lines dropped"):
        return None
    return TimelineEntry(
        str(data.get("time", "")), source[-1] if source else name, data["event"], fields
    )


def timeline_json(timeline: Iterable[TimelineEntry]) -> str:
    """Return the timeline as JSON lines."""
    return "\n".join(
        json.dumps(
            {"time": entry.time, "source": entry.source, "event": entry.event, **entry.fields}
        )
        for entry in timeline
    )


def timeline_text(request: str, timeline: list[TimelineEntry]) -> str:
    """Return the timeline as text, with notes at its end on what may be missing."""
    own = [entry for entry in timeline if "request" in entry.fields]
    lines = [
        f"{entry.time}  {entry.source}  {entry.event}\n{_format_fields(entry)}" for entry in own
    ]
    if not own:
        lines.append(f"No line mentions request {request}.")
    elif not any(entry.event in _FINAL_EVENTS for entry in own):
        lines.append(
            "No line shows how it ended: its caller disconnected, its node was killed, or it"
            " succeeded and its line was not sampled."
        )
    unwritten = [entry for entry in timeline if "count" in entry.fields]
    if unwritten:
        count = sum(int(entry.fields["count"]) for entry in unwritten)
        lines.append(f"{count} lines were withheld or dropped in these logs; one may belong here.")
    return "\n".join(lines)


_FINAL_EVENTS = ("request answered", "request late", "request given up")


def _format_fields(entry: TimelineEntry) -> str:
    event = EVENT_BY_NAME.get(entry.event)
    meanings = event.fields if event is not None else {}
    return "\n".join(
        f"    {key} = {value}  ({meanings[key]})" if key in meanings else f"    {key} = {value}"
        for key, value in entry.fields.items()
        if key != "request"
    )
