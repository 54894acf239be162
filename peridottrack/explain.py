"""The story of one request, from the log lines of all nodes that had to do with it."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, BinaryIO

from peridottrack.events import EVENT_BY_NAME

MAX_LINE_BYTES = 64 << 10
"""Longer lines are none of ours."""


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One line of the story.

    Parameters
    ----------
    source
        The file that held the line, or the words before the line's JSON.
    """

    time: str
    source: str
    event: str
    fields: dict[str, Any]


def read_timeline(request: str, files: Iterable[BinaryIO]) -> list[TimelineEntry]:
    """Collect the lines of a request, and of calls that name it as their beginning, by time.

    Also collected are the lines that tell of lines not written, since they may hide a part.
    """
    steps = [step for file in files for line in file if (step := _read(request, file.name, line))]
    return sorted(steps, key=lambda step: step.time)


def _read(request: str, name: str, line: bytes) -> TimelineEntry | None:
    start = line.find(b"{")
    if start < 0 or len(line) > MAX_LINE_BYTES:
        return None
    try:
        found = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(found, dict) or "event" not in found:
        return None
    source = line[:start].decode("utf-8", "replace").split()
    fields = {key: value for key, value in found.items() if key not in ("time", "event", "level")}
    concerned = str(found.get("request", ""))
    mine = concerned == request or concerned.startswith(f"{request}.")
    if not mine and found["event"] not in ("lines withheld", "lines dropped"):
        return None
    return TimelineEntry(
        str(found.get("time", "")), source[-1] if source else name, found["event"], fields
    )


def timeline_json(story: Iterable[TimelineEntry]) -> str:
    """Return the story as JSON lines."""
    return "\n".join(
        json.dumps({"time": step.time, "source": step.source, "event": step.event, **step.fields})
        for step in story
    )


def timeline_text(request: str, story: list[TimelineEntry]) -> str:
    """Return the story as text, with what may be missing at its end."""
    own = [step for step in story if "request" in step.fields]
    lines = [f"{step.time}  {step.source}  {step.event}\n{_fields(step)}" for step in own]
    if not own:
        lines.append(f"No line tells of request {request}.")
    elif not any(step.event in _ENDS for step in own):
        lines.append(
            "No line tells how it ended: its caller left, its node was killed, or it succeeded and"
            " its line was not sampled."
        )
    hidden = [step for step in story if "count" in step.fields]
    if hidden:
        count = sum(int(step.fields["count"]) for step in hidden)
        lines.append(f"{count} lines were withheld or dropped in these logs; one may belong here.")
    return "\n".join(lines)


_ENDS = ("request answered", "request late", "request given up")


def _fields(step: TimelineEntry) -> str:
    event = EVENT_BY_NAME.get(step.event)
    meanings = event.fields if event is not None else {}
    return "\n".join(
        f"    {key} = {value}  ({meanings[key]})" if key in meanings else f"    {key} = {value}"
        for key, value in step.fields.items()
        if key != "request"
    )
