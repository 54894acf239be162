"""Audit of an Idempotency-Key for the `trace` command: its calls, as text and as JSON lines."""

from __future__ import annotations

import json
import time

import aiohttp

from peridottrack.claims import AuditEntry, audit_fields, read_audit
from peridottrack.httpstores import DynamoDbTable, S3ObjectStore
from peridottrack.shards import read_journal_audit


async def read_platform_audit(
    url: str, timeout_s: float, shards: int | None, key: str
) -> list[AuditEntry]:
    """Read everything the platform holds on an Idempotency-Key.

    Parameters
    ----------
    shards
        Number of claim shards, None if each claim is a table row.
    """
    async with aiohttp.ClientSession() as session:
        table = DynamoDbTable(session, url, "peridottrack", timeout_s)
        entries = [entry async for entry in read_audit(table, key)]
        if shards is not None:
            objects = S3ObjectStore(session, url, "peridottrack", timeout_s)
            entries += await read_journal_audit(table, objects, shards, key)
    return entries


def trace_json(entry: AuditEntry) -> str:
    """Return an audit entry as one line of JSON."""
    if entry.record is not None:
        return json.dumps(audit_fields(entry.record))
    return json.dumps({"wall_s": entry.wall_s, "note": entry.note})


def trace_text(entry: AuditEntry) -> str:
    """Return an audit entry as text, several lines for a claim."""
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.wall_s))
    if entry.record is None:
        return f"{when} UTC    {entry.note}"
    record = entry.record
    lines = [
        f"{when} UTC  claimed by {record.node} for credential {record.credential}",
        f"    request    {record.request_id}",
        f"    dispatched {', '.join(record.instances) or 'to nobody'}",
        f"    state      {record.state.value}",
    ]
    if record.answer:
        lines.append(f"    answered   status {record.answer.status}")
    return "\n".join(lines)
