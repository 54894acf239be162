"""Commands for operators: edit the document, trace a call by its key, dump a node's state."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
import click

from peridottrack.config import parse_endpoint
from peridottrack.exceptions import InvalidDocument
from peridottrack.httpstores import DynamoDbTable
from peridottrack.revisions import SectionEdit, accept, read_head, read_history, read_revision
from peridottrack.status import gather_status
from peridottrack.trace import read_platform_audit, trace_json, trace_text
from peridottrack.types import SectionName, TableStore

ADMIN_TIMEOUT_S = 5.0
"""Timeout of calls to a node or to the platform."""

platform_option = click.option(
    "--platform",
    "platform_url",
    envvar="PERIDOTTRACK_PLATFORM",
    required=True,
    help="URL of the platform's table service (or PERIDOTTRACK_PLATFORM).",
)


@click.group()
def document() -> None:
    """Read the operators' document, edit a section, accept it."""


@document.command("show")
@click.argument("section", required=False)
@click.option("--version", "version", type=int, help="Show this version of the section.")
@click.option("--history", is_flag=True, help="List all accepted versions of the section.")
@platform_option
def document_show(
    section: str | None, version: int | None, history: bool, platform_url: str
) -> None:
    """Show the versions in force, or the text or the history of one section."""
    name = SectionName(section) if section else None
    _with_table(platform_url, lambda table: _show(table, name, version, history))


@document.command("edit")
@click.argument("section")
@platform_option
def document_edit(section: str, platform_url: str) -> None:
    """Print a section's text and version, to be edited in a file.

    The first line is a comment with the version; `document accept` reads it from there.
    """
    _with_table(platform_url, lambda table: _edit(table, SectionName(section)))


@document.command("accept")
@click.argument("section")
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--operator", envvar="PERIDOTTRACK_OPERATOR", required=True, help="Your team.")
@click.option(
    "--base", type=int, help="Version that the edit is based on, if the file does not name it."
)
@platform_option
def document_accept(
    section: str, path: Path, operator: str, base: int | None, platform_url: str
) -> None:
    """Bring a section's text into force."""
    text = path.read_text(encoding="utf-8")
    if base is None:
        base = _read_base(text)
    edit = SectionEdit(SectionName(section), base, text, operator, time.time())
    _with_table(platform_url, lambda table: _accept(table, edit))


@document.command("status")
@platform_option
def document_status(platform_url: str) -> None:
    """Show on how many nodes the document is in force."""
    _with_table(platform_url, _status)


@click.command()
@click.argument("address")
@click.option("--topic", help="Print only the state of this controller.")
def dump(address: str, topic: str | None) -> None:
    """Print the state of the node with this admin address."""
    endpoint = parse_endpoint(address)
    query = f"?topic={topic}" if topic else ""
    click.echo(asyncio.run(_get_text(f"http://{endpoint}/dump{query}")))


@click.command()
@click.argument("key")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
@click.option(
    "--shards", type=int, help="Number of claim shards, if claims are stored in journals."
)
@platform_option
def trace(key: str, as_json: bool, shards: int | None, platform_url: str) -> None:
    """Show the claims and outcomes of the calls with an Idempotency-Key."""
    lines = asyncio.run(read_platform_audit(platform_url, ADMIN_TIMEOUT_S, shards, key))
    for line in lines:
        click.echo(trace_json(line) if as_json else trace_text(line))
    if not lines:
        click.echo("no claim with this key")


def _with_table(url: str, work: Callable[[TableStore], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            await work(DynamoDbTable(session, url, "peridottrack", ADMIN_TIMEOUT_S))

    asyncio.run(run())


async def _show(
    table: TableStore, section: SectionName | None, version: int | None, history: bool
) -> None:
    head = await read_head(table)
    if section is None:
        click.echo(f"document version {head.version}")
        for name, number in sorted(head.version_by_section.items()):
            click.echo(f"  {name}: version {number}")
        return
    if history:
        for revision in await read_history(table, section):
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(revision.wall_s))
            click.echo(f"version {revision.version}  {when} UTC  {revision.operator}")
        return
    shown_version = version or head.version_by_section.get(section, 0)
    shown = await read_revision(table, section, shown_version) if shown_version else None
    if shown is None:
        raise InvalidDocument([f"{section}: no such section or version"])
    click.echo(shown.text, nl=False)


async def _edit(table: TableStore, section: SectionName) -> None:
    head = await read_head(table)
    version = head.version_by_section.get(section, 0)
    revision = await read_revision(table, section, version) if version else None
    text = _strip_base_line(revision.text) if revision else "{\n}\n"
    click.echo(f"// base: {version}")
    click.echo(text, nl=False)


def _strip_base_line(text: str) -> str:
    first, _, rest = text.partition("\n")
    return rest if first.startswith("// base: ") else text


def _read_base(text: str) -> int:
    first = text.partition("\n")[0]
    number = first.removeprefix("// base: ")
    if first == number or not number.isdigit():
        raise click.UsageError("the file does not start with `// base: N`; pass --base N")
    return int(number)


async def _accept(table: TableStore, edit: SectionEdit) -> None:
    revision = await accept(table, edit)
    click.echo(
        f"accepted: section {revision.section} version {revision.version},"
        f" document version {revision.document_version}"
    )


async def _status(table: TableStore) -> None:
    status = await gather_status(table)
    click.echo(f"document version {status.version}")
    click.echo(f"in force: {len(status.in_force)} nodes")
    for name, nodes in (("behind", status.behind), ("unknown", status.unknown)):
        click.echo(f"{name}: {len(nodes)} nodes {' '.join(nodes)}".rstrip())


async def _get_text(url: str) -> str:
    timeout = aiohttp.ClientTimeout(total=ADMIN_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session, session.get(url) as response:
            return await response.text()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise OSError(f"no response from {url}: {error}") from None
