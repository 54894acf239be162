"""Keeps the document in force when the platform's table is restored from an older copy.

A restored table has lost the revisions that were accepted after the copy, and gives out their
version numbers again. A node that holds a lost revision writes it back; where operators have
accepted a section anew since, theirs stays. The result gets a higher version than both documents,
so that all nodes bring it into force.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from peridottrack.document import check_document, section_from_data
from peridottrack.exceptions import InvalidDocument, StoreUnavailable
from peridottrack.revisions import (
    HEAD_KEY,
    MAX_WRITERS,
    DocumentHead,
    Revision,
    read_document,
    revision_key,
)
from peridottrack.store import new_writer_id, transact_settled
from peridottrack.types import (
    ABSENT_VERSION,
    SectionName,
    TableStore,
    Write,
    WriteAction,
    WriteOutcome,
    WriterId,
)

RESTORED_BY = "(written back after a restore)"
"""Operator named by revisions that nodes write back: nodes do not hold who accepted them."""


def is_restored(held: DocumentHead, found: DocumentHead) -> bool:
    """Return whether the table has lost revisions of the document that this node holds.

    Parameters
    ----------
    held
        Head of the document in force on this node; it was once read from the table.
    found
        Head that the table has now.
    """
    if any(_lost(held, found, name) for name in held.version_by_section):
        return True
    if found.version > held.version:
        return False
    return found.version < held.version or any(
        not held.has_same_revision(found, name) for name in found.version_by_section
    )


def _lost(held: DocumentHead, found: DocumentHead, section: SectionName) -> bool:
    """Return whether the table's revision of a section is one before the node's, or missing."""
    version = found.version_by_section.get(section, 0)
    held_version = held.version_by_section.get(section, 0)
    if not version or held_version - version >= MAX_WRITERS:
        return held_version > version
    return held_version > version and found.writer_of(section) in held.writers_by_section.get(
        section, ()
    )


@dataclass(slots=True)
class WrittenBack:
    """Sections that `write_back` changed.

    Parameters
    ----------
    restored
        Sections whose lost revision was written back.
    replaced
        Sections whose lost revision gave way to one that was accepted after the restore.
    """

    restored: set[SectionName] = field(default_factory=set)
    replaced: set[SectionName] = field(default_factory=set)


async def write_back(
    table: TableStore,
    held: DocumentHead,
    data_by_section: Mapping[SectionName, Any],
    found: DocumentHead,
    wall_s: float,
) -> WrittenBack:
    """Write a document that holds the lost revisions and those accepted since the restore.

    Nothing is written if another node was faster.

    Raises
    ------
    StoreUnavailable
        If the table did not answer, or it is unknown whether it applied the write.
    """
    current, revision_by_section = await read_document(table)
    if current.row_version != found.row_version:
        return WrittenBack()
    written = WrittenBack(
        restored={name for name in held.version_by_section if _lost(held, current, name)},
        replaced={
            name
            for name, version in held.version_by_section.items()
            if not _lost(held, current, name)
            and version >= current.version_by_section.get(name, 0)
            and not held.has_same_revision(current, name)
        },
    )
    found_data = {name: revision.data for name, revision in revision_by_section.items()}
    if not _is_valid({**found_data, **{name: data_by_section[name] for name in written.restored}}):
        # What was accepted since the restore contradicts lost sections, and is the later word.
        written.replaced |= written.restored & found_data.keys()
        written.restored = set()
    writer = new_writer_id()
    revisions = [
        _held_revision(name, held, data_by_section[name], wall_s) for name in written.restored
    ]
    for name in written.replaced:
        number = max(held.version_by_section[name], current.version_by_section[name]) + 1
        revisions.append(replace(revision_by_section[name], version=number))
    head = _merged_head(held, current, revisions, writer)
    revisions = [replace(revision, document_version=head.version) for revision in revisions]
    writes = [
        Write(
            WriteAction.PUT,
            revision_key(revision.section, revision.version),
            ABSENT_VERSION,
            revision.encode(),
        )
        for revision in revisions
    ]
    writes.append(Write(WriteAction.PUT, HEAD_KEY, current.row_version, head.encode()))
    settled = await transact_settled(table, writes, writes[0].key, writer)
    if settled.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
        return written if settled.outcome is WriteOutcome.APPLIED else WrittenBack()
    raise StoreUnavailable("lost sections could not be written back")


def _is_valid(data_by_section: Mapping[SectionName, Any]) -> bool:
    try:
        check_document(
            {name: section_from_data(data, name) for name, data in data_by_section.items()}
        )
    except InvalidDocument:
        return False
    return True


def _held_revision(section: SectionName, held: DocumentHead, data: Any, wall_s: float) -> Revision:
    text = json.dumps(data, indent=2) + "\n"
    version = held.version_by_section[section]
    return Revision(section, version, text, data, RESTORED_BY, wall_s, held.version)


def _merged_head(
    held: DocumentHead, current: DocumentHead, revisions: list[Revision], writer: WriterId
) -> DocumentHead:
    head = replace(current, version=max(held.version, current.version))
    for revision in revisions:
        # The held writers come first, so that a node with the lost revision finds it among them.
        known = held.writers_by_section.get(revision.section, ())
        writers = {**head.writers_by_section, revision.section: known}
        head = replace(head, writers_by_section=writers)
        head = head.with_revision(revision.section, revision.version, writer)
    return replace(head, version=max(held.version, current.version) + 1)
