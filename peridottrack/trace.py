"""The audit of an Idempotency-Key: what became of its calls, for people and as JSON lines."""

from __future__ import annotations

import json
import time

import aiohttp

from peridottrack.claims import AuditEntry, audit_fields, read_audit
from peridottrack.platform_http import HttpObjects, HttpTable
from peridottrack.shards import read_journal_audit


async def read_platform_audit(
    url: str, timeout_s: float, shards: int | None, key: str
) -> list[AuditEntry]:
    """Read what the platform knows of a key.

    Parameters
    ----------
    shards
        Number of claim shards, None where claims are rows.
    """
    async with aiohttp.ClientSession() as session:
        table = HttpTable(session, url, "peridottrack", timeout_s)
        lines = [line async for line in read_audit(table, key)]
        if shards is not None:
            objects = HttpObjects(session, url, "peridottrack", timeout_s)
            lines += await read_journal_audit(table, objects, shards, key)
    return lines


def trace_json(line: AuditEntry) -> str:
    """Return a line of the trail as JSON."""
    if line.record is not None:
        return json.dumps(audit_fields(line.record))
    return json.dumps({"wall_s": line.wall_s, "note": line.note})


def trace_text(line: AuditEntry) -> str:
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
