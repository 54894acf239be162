"""The document in the platform's table: reads it, accepts new versions of sections, lists history.

One row, the head, names the current version of each section and the version of the document.
Each accepted section is an immutable row. Accepting writes both rows in one transaction, so a
reader of the head finds exactly the sections that were validated together.

The head also names the writers of each section's last versions. A table that was restored from an
older copy may give out a version number again; its writer tells the two revisions apart.
"""

from __future__ import annotations

import asyncio
import difflib
import json
from dataclasses import dataclass, field
from typing import Any

from peridottrack import jsonc
from peridottrack.document import (
    Document,
    SectionConfig,
    check_document,
    parse_section,
    section_from_data,
)
from peridottrack.exceptions import AcceptConflict, AcceptOutcomeUnknown, NotOwner, StoreUnavailable
from peridottrack.jsondata import (
    MAX_INT64,
    decode_json,
    require_integer,
    require_list,
    require_object,
    require_text,
)
from peridottrack.store import new_writer_id, scan, transact_settled
from peridottrack.types import (
    ABSENT_VERSION,
    Row,
    RowKey,
    SectionName,
    TableStore,
    Write,
    WriteAction,
    WriteOutcome,
    WriterId,
)

PARTITION = "document"
HEAD_KEY = RowKey(PARTITION, "head")
ACCEPT_ATTEMPTS = 8
ACCEPT_PAUSE_S = 0.02


MAX_WRITERS = 16
"""Number of a section's last revisions whose writers the head names."""


@dataclass(frozen=True, slots=True)
class DocumentHead:
    """Versions of the document and of its sections that are in force.

    Parameters
    ----------
    version
        Version of the document; 0 if there is none yet.
    writers_by_section
        Writer ids of the last revisions of each section, oldest first, at most `MAX_WRITERS`.
    row_version
        Version of the head's row, on which the next write of it is conditional.
    """

    version: int = 0
    version_by_section: dict[SectionName, int] = field(default_factory=dict)
    writers_by_section: dict[SectionName, tuple[str, ...]] = field(default_factory=dict)
    row_version: int = ABSENT_VERSION

    def writer_of(self, section: SectionName) -> str:
        """Return the writer of a section's current revision, empty if unknown."""
        return self.writers_by_section.get(section, ("",))[-1]

    def has_same_revision(self, other: DocumentHead, section: SectionName) -> bool:
        """Return whether both heads name the same revision of a section."""
        return self.version_by_section.get(section) == other.version_by_section.get(
            section
        ) and self.writer_of(section) == other.writer_of(section)

    def encode(self) -> bytes:
        """Serialize the head as the value of its row."""
        return json.dumps(
            {
                "version": self.version,
                "sections": self.version_by_section,
                "writers": self.writers_by_section,
            }
        ).encode()

    def with_revision(self, section: SectionName, version: int, writer: WriterId) -> DocumentHead:
        """Return the next head, with a new revision of one section."""
        writers = (*self.writers_by_section.get(section, ()), writer)[-MAX_WRITERS:]
        return DocumentHead(
            self.version + 1,
            {**self.version_by_section, section: version},
            {**self.writers_by_section, section: writers},
            self.row_version,
        )


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted version of one section.

    Parameters
    ----------
    data
        The parsed text, so that nodes do not have to parse text with comments.
    document_version
        First version of the document that contains this revision.
    """

    section: SectionName
    version: int
    text: str
    data: Any
    operator: str
    wall_s: float
    document_version: int

    def encode(self) -> bytes:
        """Serialize the revision as the value of its row."""
        return json.dumps(
            {
                "text": self.text,
                "data": self.data,
                "operator": self.operator,
                "wall_s": self.wall_s,
                "document_version": self.document_version,
            }
        ).encode()


def revision_key(section: SectionName, version: int) -> RowKey:
    """Return the key of a revision's row."""
    return RowKey(PARTITION, f"section/{section}/{version:09d}")


def decode_head(row: Row | None) -> DocumentHead:
    """Deserialize the head row."""
    return decode_head_value(row.value, row.version) if row is not None else DocumentHead()


def decode_head_value(value: bytes, row_version: int = ABSENT_VERSION) -> DocumentHead:
    """Deserialize what `DocumentHead.encode` returned.

    Raises
    ------
    ValueError
        If the value cannot be read.
    """
    data = require_object(decode_json(value), "head")
    sections = require_object(data.get("sections"), "sections")
    # Rows of an earlier release name neither writers nor a version.
    writers = require_object(data.get("writers", {}), "writers")
    return DocumentHead(
        require_integer(data.get("version", row_version), "version", 0, MAX_INT64),
        {
            SectionName(name): require_integer(version, "section version", 0, MAX_INT64)
            for name, version in sections.items()
        },
        {
            SectionName(name): tuple(
                require_text(each, "writer") for each in require_list(ids, name)
            )
            for name, ids in writers.items()
        },
        row_version,
    )


def decode_revision(section: SectionName, version: int, row: Row) -> Revision:
    """Deserialize a revision's row.

    Raises
    ------
    ValueError
        If the row cannot be read.
    """
    data = require_object(decode_json(row.value), "revision")
    try:
        return Revision(section, version, **data)
    except TypeError as error:
        raise ValueError(str(error)) from None


async def read_head(table: TableStore) -> DocumentHead:
    """Read the head row: the versions in force."""
    return decode_head(await table.get(HEAD_KEY))


async def read_revision(table: TableStore, section: SectionName, version: int) -> Revision | None:
    """Read one accepted version of a section."""
    row = await table.get(revision_key(section, version))
    return decode_revision(section, version, row) if row else None


async def read_history(table: TableStore, section: SectionName) -> list[Revision]:
    """Read all accepted versions of a section, oldest first."""
    prefix = f"section/{section}/"
    history = []
    async for row in scan(table, PARTITION, prefix):
        if not row.key.sort.startswith(prefix):
            break
        version = int(row.key.sort.removeprefix(prefix))
        history.append(decode_revision(section, version, row))
    return history


async def read_document(table: TableStore) -> tuple[DocumentHead, dict[SectionName, Revision]]:
    """Read the document in force."""
    head = await read_head(table)
    revision_by_section = {}
    for section, version in head.version_by_section.items():
        revision = await read_revision(table, section, version)
        if revision is None:
            raise StoreUnavailable(f"section {section} version {version} is missing")
        revision_by_section[section] = revision
    return head, revision_by_section


@dataclass(frozen=True, slots=True)
class SectionEdit:
    """An operator's change to one section.

    Parameters
    ----------
    base
        Version of the section on which the change is based, 0 for a new section.
    """

    section: SectionName
    base: int
    text: str
    operator: str
    wall_s: float


async def accept(table: TableStore, edit: SectionEdit) -> Revision:
    """Validate an edit and bring it into force.

    Raises
    ------
    InvalidDocument
        If the document with this edit is invalid.
    NotOwner
        If the operator does not own the section.
    AcceptConflict
        If the section has changed since the operator read it.
    AcceptOutcomeUnknown
        If it is unknown whether the store applied the edit.
    StoreUnavailable
        If the store is unavailable; nothing was accepted.
    """
    section = parse_section(edit.text, edit.section)
    data = jsonc.parse(edit.text, edit.section)
    for attempt in range(ACCEPT_ATTEMPTS):
        if attempt:
            await asyncio.sleep(ACCEPT_PAUSE_S * attempt)
        head, current = await read_document(table)
        _check_owner(edit, section, current.get(edit.section))
        await _check_base(table, edit, head, current.get(edit.section))
        _check_document(edit, section, current)
        revision = Revision(
            edit.section,
            edit.base + 1,
            edit.text,
            data,
            edit.operator,
            edit.wall_s,
            head.version + 1,
        )
        if await _write(table, head, revision):
            return revision
    raise StoreUnavailable("too many concurrent changes to other sections; nothing was accepted")


async def _write(table: TableStore, head: DocumentHead, revision: Revision) -> bool:
    """Write revision and head; return False if another section was accepted first."""
    writer = new_writer_id()
    next_head = head.with_revision(revision.section, revision.version, writer)
    revision_row_key = revision_key(revision.section, revision.version)
    writes = [
        Write(WriteAction.PUT, revision_row_key, ABSENT_VERSION, revision.encode()),
        Write(WriteAction.PUT, HEAD_KEY, head.row_version, next_head.encode()),
    ]
    settled = await transact_settled(table, writes, revision_row_key, writer)
    if settled.outcome is WriteOutcome.APPLIED:
        return True
    if settled.outcome is WriteOutcome.CONFLICT:
        return False
    if settled.outcome is WriteOutcome.REFUSED:
        raise StoreUnavailable("the store refused the write; nothing was accepted")
    raise AcceptOutcomeUnknown(
        f"section {revision.section} version {revision.version} may have been accepted or may still"
        f" be; check with `document status` and `document show {revision.section}`"
    )


def _check_owner(edit: SectionEdit, section: SectionConfig, current: Revision | None) -> None:
    owners = section.owners
    if current is not None:
        owners = section_from_data(current.data, edit.section).owners
    if edit.operator not in owners:
        raise NotOwner(
            f"{edit.operator} does not own section {edit.section}; owners: {', '.join(owners)}"
        )


async def _check_base(
    table: TableStore, edit: SectionEdit, head: DocumentHead, current: Revision | None
) -> None:
    version = head.version_by_section.get(edit.section, 0)
    if version == edit.base:
        return
    base = await read_revision(table, edit.section, edit.base) if edit.base else None
    difference = _both_diffs(base.text if base else "", current.text if current else "", edit)
    raise AcceptConflict(
        f"section {edit.section} is at version {version}, your edit is based on {edit.base}",
        difference,
    )


def _both_diffs(base: str, theirs: str, edit: SectionEdit) -> str:
    def diff(to: str, name: str) -> list[str]:
        return list(
            difflib.unified_diff(
                base.splitlines(), to.splitlines(), f"version {edit.base}", name, lineterm=""
            )
        )

    their_change = diff(theirs, "theirs")
    your_change = diff(edit.text, "yours")
    return "\n".join(["The other change:", *their_change, "Your change:", *your_change])


def _check_document(
    edit: SectionEdit, section: SectionConfig, current: dict[SectionName, Revision]
) -> Document:
    sections = {
        name: section_from_data(revision.data, name)
        for name, revision in current.items()
        if name != edit.section
    }
    return check_document({**sections, edit.section: section})
