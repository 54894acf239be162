"""The audit of an Idempotency-Key: what became of its calls, for people and as JSON lines."""

from __future__ import annotations

import json
import time

import aiohttp

from peridottrack.claims import TrailLine, record_for_trace, trail
from peridottrack.platform_http import HttpObjects, HttpTable
from peridottrack.shards import journal_trail


async def read_trail(url: str, timeout_s: float, shards: int | None, key: str) -> list[TrailLine]:
    """Read what the platform knows of a key.

    Parameters
    ----------
    shards
        Number of claim shards, None where claims are rows.
    """
    async with aiohttp.ClientSession() as session:
        table = HttpTable(session, url, "peridottrack", timeout_s)
        lines = [line async for line in trail(table, key)]
        if shards is not None:
            objects = HttpObjects(session, url, "peridottrack", timeout_s)
            lines += await journal_trail(table, objects, shards, key)
    return lines


def trace_json(line: TrailLine) -> str:
    """Return a line of the trail as JSON."""
    if line.record is not None:
        return json.dumps(record_for_trace(line.record))
    return json.dumps({"wall_s": line.wall_s, "note": line.note})


def trace_text(line: TrailLine) -> str:
    """Return a line of the trail for people, several text lines for a claim."""
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(line.wall_s))
    if line.record is None:
        return f"{when} UTC    {line.note}"
    record = line.record
    rows = [
        f"{when} UTC  claimed by {record.node} for credential {record.credential}",
        f"    request    {record.request_id}",
        f"    dispatched {', '.join(record.instances) or 'to nobody'}",
        f"    state      {record.state.value}",
    ]
    if record.answer:
        rows.append(f"    answered   status {record.answer.status}")
    return "\n".join(rows)
