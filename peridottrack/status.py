"""In how many nodes a version of the document is in force."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import aiohttp

from peridottrack.controllers.members import read_members
from peridottrack.messages import MemberUpdate
from peridottrack.revisions import read_head
from peridottrack.types import NodeId, TableStore

ASK_TIMEOUT_S = 2.0
ASK_CONCURRENCY = 64


@dataclass
class DocumentStatus:
    """Nodes by what they said; a node that said nothing is unknown, not behind."""

    version: int
    in_force: list[NodeId] = field(default_factory=list)
    behind: list[NodeId] = field(default_factory=list)
    unknown: list[NodeId] = field(default_factory=list)


async def gather_status(table: TableStore) -> DocumentStatus:
    """Ask each node of the table for its version.

    Raises
    ------
    StoreUnavailable
        If the table does not answer.
    """
    status = DocumentStatus((await read_head(table)).version)
    members = await read_members(table)
    asking = asyncio.Semaphore(ASK_CONCURRENCY)
    timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def ask(member: MemberUpdate) -> int | None:
            async with asking:
                return await _ask_version(session, member)

        versions = await asyncio.gather(*(ask(member) for member in members))
    for member, version in zip(members, versions, strict=True):
        if version is None:
            status.unknown.append(member.node)
        elif version >= status.version:
            status.in_force.append(member.node)
        else:
            status.behind.append(member.node)
    return status


async def _ask_version(session: aiohttp.ClientSession, member: MemberUpdate) -> int | None:
    try:
        async with session.get(f"http://{member.admin}/version") as answer:
            return int((await answer.json())["version"])
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
        return None
