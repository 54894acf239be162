"""Which nodes have the current version of the document in force."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import aiohttp

from peridottrack.controllers.members import read_members
from peridottrack.messages import MemberUpdate
from peridottrack.revisions import read_head
from peridottrack.types import NodeId, TableStore

REQUEST_TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 64


@dataclass
class DocumentStatus:
    """Nodes by the version that they report; one that does not respond is unknown, not behind."""

    version: int
    in_force: list[NodeId] = field(default_factory=list)
    behind: list[NodeId] = field(default_factory=list)
    unknown: list[NodeId] = field(default_factory=list)


async def gather_status(table: TableStore) -> DocumentStatus:
    """Query each node in the table for its version.

    Raises
    ------
    StoreUnavailable
        If the table cannot be read.
    """
    status = DocumentStatus((await read_head(table)).version)
    members = await read_members(table)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def fetch(member: MemberUpdate) -> int | None:
            async with semaphore:
                return await _fetch_version(session, member)

        versions = await asyncio.gather(*(fetch(member) for member in members))
    for member, version in zip(members, versions, strict=True):
        if version is None:
            status.unknown.append(member.node)
        elif version >= status.version:
            status.in_force.append(member.node)
        else:
            status.behind.append(member.node)
    return status


async def _fetch_version(session: aiohttp.ClientSession, member: MemberUpdate) -> int | None:
    try:
        async with session.get(f"http://{member.admin}/version") as response:
            return int((await response.json())["version"])
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
        return None
