"""Holds the document in force in this node and keeps it new."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any, Protocol

from reactivex.subject import BehaviorSubject

from peridottrack import log
from peridottrack.document import Document, SectionConfig, check_document, section_from_data
from peridottrack.exceptions import InvalidDocument, StoreUnavailable
from peridottrack.metrics import Metrics
from peridottrack.revisions import DocumentHead, read_head, read_revision
from peridottrack.types import Clock, NodeId, Random, SectionName, TableStore

FETCH_SPREAD_S = 0.1
PEERS_TO_ASK = 3


@dataclass(frozen=True, slots=True)
class DocumentSnapshot:
    """A whole document at one version; newer ones replace it, never older ones.

    Parameters
    ----------
    data_by_section
        Parsed sections, as handed on to peers.
    """

    head: DocumentHead = field(default_factory=DocumentHead)
    data_by_section: dict[SectionName, Any] = field(default_factory=dict)
    part_by_section: dict[SectionName, SectionConfig] = field(default_factory=dict)
    document: Document | None = None


class PeerClient(Protocol):
    """Asks another node for its document."""

    async def fetch(self, node: NodeId, have: DocumentHead) -> bytes | None:
        """Return the peer's answer to a document request, None if it gave none."""
        ...


class DocumentController:
    """Keeps the newest document that the table or a peer has shown.

    The table is looked at on a fixed period; peers tell of new versions in between and hand on
    the changed sections, so that a version also spreads while the table is down.

    Attributes
    ----------
    documents
        Stream of the document in force, None before there is one.
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
        self._refused_version = 0
        self._fetching: asyncio.Task[None] | None = None
        self.snapshot = DocumentSnapshot()
        self.documents: BehaviorSubject[Document | None] = BehaviorSubject(None)

    @property
    def version(self) -> int:
        """Version of the document in force here, 0 for none."""
        return self.snapshot.head.version

    def confirmed_age_s(self) -> float | None:
        """Return the seconds since the table last confirmed the version."""
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    async def run(self) -> None:
        """Look at the table periodically, until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._poll_s * (0.9 + 0.2 * self._rng.random()))

    async def poll(self) -> bool:
        """Look at the table once; False if it did not answer."""
        try:
            head = await read_head(self._table)
            if head.version > self.version and head.version != self._refused_version:
                await self._read_sections(head)
        except StoreUnavailable:
            return False
        finally:
            self._metrics.document_age_seconds.set(self.confirmed_age_s() or 0.0)
        self._confirmed_at = self._clock.now()
        return True

    async def fetch_from_peers(self, nodes: list[NodeId]) -> None:
        """Take the newest document of a few peers, for a start while the table is down."""
        for node in nodes[:PEERS_TO_ASK]:
            await self._fetch(node)

    def record_peer_version(self, node: NodeId, version: int) -> None:
        """Take in that a peer has some version."""
        if version <= self.version or version == self._refused_version:
            return
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch_soon(node))

    def changes_for_peer(self, have: dict[SectionName, int]) -> bytes:
        """Return what a peer lacks, as JSON."""
        head = self.snapshot.head
        changed = {
            name: self.snapshot.data_by_section[name]
            for name, version in head.version_by_section.items()
            if have.get(name) != version
        }
        answer = {
            "version": head.version,
            "sections": head.version_by_section,
            "changed": changed,
        }
        return json.dumps(answer).encode()

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "version": self.version,
            "sections": self.snapshot.head.version_by_section,
            "confirmed_age_s": self.confirmed_age_s(),
            "refused_version": self._refused_version,
        }

    async def _fetch_soon(self, node: NodeId) -> None:
        # The spread keeps all nodes from asking the same peer at the same moment.
        await asyncio.sleep(self._rng.random() * FETCH_SPREAD_S)
        if not await self._fetch(node):
            await self.poll()

    async def _fetch(self, node: NodeId) -> bool:
        body = await self._peers.fetch(node, self.snapshot.head)
        if body is None:
            return False
        answer = json.loads(body)
        versions = {SectionName(name): number for name, number in answer["sections"].items()}
        return self._adopt(DocumentHead(answer["version"], versions), answer["changed"])

    async def _read_sections(self, head: DocumentHead) -> None:
        changed = {}
        for name, version in head.version_by_section.items():
            if self.snapshot.head.version_by_section.get(name) == version:
                continue
            revision = await read_revision(self._table, name, version)
            if revision is None:
                raise StoreUnavailable(f"section {name} version {version} is missing")
            changed[name] = revision.data
        self._adopt(head, changed)

    def _adopt(self, head: DocumentHead, changed: dict[SectionName, Any]) -> bool:
        """Bring a newer document into force; an older or a faulty one changes nothing."""
        if head.version <= self.version:
            return False
        try:
            self.snapshot = self._build(head, changed)
        except (InvalidDocument, KeyError) as error:
            # A later release may accept what this one does not know: keep what is in force.
            self._refused_version = head.version
            log.warning("document refused", version=head.version, faults=str(error))
            return False
        self._metrics.document_version.set(head.version)
        log.event("document in force", version=head.version, sections=sorted(changed))
        self.documents.on_next(self.snapshot.document)
        return True

    def _build(self, head: DocumentHead, changed: dict[SectionName, Any]) -> DocumentSnapshot:
        data_by_section = {}
        part_by_section = {}
        for name, version in head.version_by_section.items():
            if name in changed:
                data_by_section[name] = changed[name]
                part_by_section[name] = section_from_data(changed[name], name)
            elif self.snapshot.head.version_by_section[name] != version:
                raise KeyError(f"section {name} version {version} was not sent")
            else:
                data_by_section[name] = self.snapshot.data_by_section[name]
                part_by_section[name] = self.snapshot.part_by_section[name]
        return DocumentSnapshot(
            head, data_by_section, part_by_section, check_document(part_by_section)
        )
