"""Holds the document in force on a node without a gate (`peridottrack.node`).

It is polled from the table and fetched from peers that announce a newer version.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any, Protocol

from reactivex.subject import BehaviorSubject

from peridottrack import log
from peridottrack.document import Document, SectionConfig, check_document, section_from_data
from peridottrack.exceptions import InvalidDocument, StoreUnavailable
from peridottrack.jsondata import decode_json, require_object, require_text
from peridottrack.metrics import Metrics
from peridottrack.restoredtable import is_restored, write_back
from peridottrack.revisions import DocumentHead, decode_head_value, read_head, read_revision
from peridottrack.types import Clock, NodeId, Random, SectionName, TableStore

FETCH_JITTER_S = 0.1
MAX_START_PEERS = 3


@dataclass(frozen=True, slots=True)
class DocumentSnapshot:
    """A whole document at one version; only replaced by a newer one.

    Parameters
    ----------
    data_by_section
        Parsed sections in the form that is sent to peers.
    """

    head: DocumentHead = field(default_factory=DocumentHead)
    data_by_section: dict[SectionName, Any] = field(default_factory=dict)
    config_by_section: dict[SectionName, SectionConfig] = field(default_factory=dict)
    document: Document | None = None


class PeerClient(Protocol):
    """Requests the document from another node."""

    async def fetch(self, node: NodeId, known_head: DocumentHead) -> bytes | None:
        """Return the peer's reply to a document request, None if there is none."""
        ...


class DocumentController:
    """Holds the newest document received from the table or from a peer.

    The table is polled periodically. Between polls, peers announce new versions and send the
    changed sections, so that a version also spreads while the table is unavailable.

    Attributes
    ----------
    documents
        Stream of documents in force; None until the first one is loaded.
    """

    def __init__(
        self,
        table: TableStore,
        peers: PeerClient,
        poll_s: float,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._peers = peers
        self._poll_s = poll_s
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._confirmed_at: float | None = None
        self._rejected_version = 0
        self._fetch_task: asyncio.Task[None] | None = None
        self.snapshot = DocumentSnapshot()
        self.documents: BehaviorSubject[Document | None] = BehaviorSubject(None)

    @property
    def version(self) -> int:
        """Version of the document in force on this node, 0 for none."""
        return self.snapshot.head.version

    def confirmed_age_s(self) -> float | None:
        """Return the seconds since the last successful poll of the table, None before the first."""
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    async def run(self) -> None:
        """Poll the table periodically until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._poll_s * (0.9 + 0.2 * self._rng.random()))

    async def poll(self) -> bool:
        """Poll the table once; return whether it answered."""
        # A peer may send a newer document while the table is read, which is no sign of a restore.
        held = self.snapshot
        try:
            head = await read_head(self._table)
            if is_restored(held.head, head):
                head = await self._write_back(held, head)
            if head.version > self.version and head.version != self._rejected_version:
                await self._read_sections(head)
        except StoreUnavailable:
            return False
        except ValueError as error:
            log.warning("document refused", origin="store", faults=str(error)[:300])
            return False
        finally:
            self._metrics.document_age_seconds.set(self.confirmed_age_s() or 0.0)
        self._confirmed_at = self._clock.now()
        return True

    async def _write_back(self, held: DocumentSnapshot, head: DocumentHead) -> DocumentHead:
        """Write what the restored table has lost; return its head afterwards."""
        written = await write_back(
            self._table, held.head, held.data_by_section, head, self._clock.wall()
        )
        log.event(
            "table restored",
            version=held.head.version,
            found_version=head.version,
            written=sorted(written.restored),
            replaced=sorted(written.replaced),
        )
        return await read_head(self._table)

    async def fetch_from_peers(self, nodes: list[NodeId]) -> None:
        """Load the newest document of a few peers, for a start while the table is unavailable."""
        for node in nodes[:MAX_START_PEERS]:
            await self._fetch(node)

    def record_peer_version(self, node: NodeId, version: int) -> None:
        """Handle a peer's document version; fetch the document if it is newer."""
        if version <= self.version or version == self._rejected_version:
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.ensure_future(self._fetch_after_jitter(node))

    def changes_for_peer(self, known_head: DocumentHead) -> bytes:
        """Return the head and the sections that differ from a peer's, as JSON."""
        head = self.snapshot.head
        changed = {
            name: self.snapshot.data_by_section[name]
            for name in head.version_by_section
            if not head.has_same_revision(known_head, name)
        }
        return json.dumps({"head": head.encode().decode(), "changed": changed}).encode()

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "version": self.version,
            "sections": self.snapshot.head.version_by_section,
            "confirmed_age_s": self.confirmed_age_s(),
            "refused_version": self._rejected_version,
        }

    async def _fetch_after_jitter(self, node: NodeId) -> None:
        # The random delay prevents all nodes from fetching from one peer at the same moment.
        await asyncio.sleep(self._rng.random() * FETCH_JITTER_S)
        if not await self._fetch(node):
            await self.poll()

    async def _fetch(self, node: NodeId) -> bool:
        body = await self._peers.fetch(node, self.snapshot.head)
        if body is None:
            return False
        try:
            reply = require_object(decode_json(body), "reply")
            head = decode_head_value(require_text(reply.get("head"), "head", len(body)).encode())
            changed = require_object(reply.get("changed"), "changed")
        except ValueError as error:
            log.warning("document refused", origin="node", faults=str(error)[:300])
            return False
        return self._adopt(head, {SectionName(name): data for name, data in changed.items()})

    async def _read_sections(self, head: DocumentHead) -> None:
        changed = {}
        for name, version in head.version_by_section.items():
            if self.snapshot.head.has_same_revision(head, name):
                continue
            revision = await read_revision(self._table, name, version)
            if revision is None:
                raise StoreUnavailable(f"section {name} version {version} is missing")
            changed[name] = revision.data
        self._adopt(head, changed)

    def _adopt(self, head: DocumentHead, changed: dict[SectionName, Any]) -> bool:
        """Bring a newer document into force; ignore an older or invalid one."""
        if head.version <= self.version:
            return False
        try:
            self.snapshot = self._build(head, changed)
        except (InvalidDocument, KeyError) as error:
            # A later release may accept settings that this one does not know, so a rejected
            # document leaves the one in force.
            self._rejected_version = head.version
            log.warning("document refused", version=head.version, faults=str(error))
            return False
        self._metrics.document_version.set(head.version)
        log.event("document in force", version=head.version, sections=sorted(changed))
        self.documents.on_next(self.snapshot.document)
        return True

    def _build(self, head: DocumentHead, changed: dict[SectionName, Any]) -> DocumentSnapshot:
        data_by_section = {}
        config_by_section = {}
        for name, version in head.version_by_section.items():
            if name in changed:
                data_by_section[name] = changed[name]
                config_by_section[name] = section_from_data(changed[name], name)
            elif not self.snapshot.head.has_same_revision(head, name):
                raise KeyError(f"section {name} version {version} was not sent")
            else:
                data_by_section[name] = self.snapshot.data_by_section[name]
                config_by_section[name] = self.snapshot.config_by_section[name]
        return DocumentSnapshot(
            head, data_by_section, config_by_section, check_document(config_by_section)
        )
