"""Holds the document in force on a node with a gate (`peridottrack.mesh`).

A few nodes follow the store and send changes to the others.
"""

from __future__ import annotations

import asyncio
import hashlib
import heapq
import zlib
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Any

from peridottrack import log
from peridottrack.documentsource import DocumentReader, DocumentSource, DocumentUpdate
from peridottrack.exceptions import HistoryTruncated, InvalidDocument, StoreUnavailable
from peridottrack.frames import DocumentFrame
from peridottrack.messages import MemberUpdate
from peridottrack.routing import RouteTable
from peridottrack.types import Clock, NodeId, Random

WATCHERS = 4
"""Nodes that follow the store: a change still spreads while three have lost it unnoticed."""
CANDIDATES = 3 * WATCHERS
"""Nodes that replace watchers that do not respond; they have links to each other to notice it."""
STORE_RETRY_S = 1.0
"""Mean pause before a retry while the store is unavailable; only `WATCHERS` nodes retry."""
START_WAIT_S = 1.2
"""Seconds that a starting node waits for other nodes to send the document."""
CHECK_INTERVAL_S = 0.25
"""Interval at which a node checks whether it should follow the store."""
MAX_DOCUMENT_BYTES = 32 << 20
"""Largest size of a decompressed document."""


@lru_cache(maxsize=8_192)
def watcher_rank(node: NodeId) -> bytes:
    """Return the sort key of watchers: the same on all nodes, and uniform over hosts."""
    return hashlib.blake2b(node.encode(), digest_size=8).digest()


def select_candidates(members: Iterable[MemberUpdate]) -> list[MemberUpdate]:
    """Return the members that may become watchers: those that follow the store first of all."""
    return heapq.nsmallest(CANDIDATES, members, key=_watcher_key)


def select_watchers(members: Iterable[MemberUpdate]) -> list[NodeId]:
    """Return the nodes that follow the store, preferring those that can reach it."""
    return [update.node for update in heapq.nsmallest(WATCHERS, members, key=_watcher_key)]


def _watcher_key(update: MemberUpdate) -> tuple[bool, bytes]:
    return update.store_unavailable, watcher_rank(update.node)


class DocumentFollowController:
    """Holds the newest document and distributes it to all nodes.

    Parameters
    ----------
    active_members
        Returns the candidates for watchers that respond to this node, including itself if it is
        one.
    set_store_unavailable
        Called with whether the store is unavailable.
    on_document
        Called with each new route table, its frame, and whether it came from the store, in which
        case other nodes may not have it yet.

    Attributes
    ----------
    on_restored
        Called when the store was restored from an older copy.
    knows_members
        Returns whether the members are known, by which the watchers are selected.
    entered_era
        Returns the store's era when this node last wrote or read entries there, 0 if unknown.
    """

    def __init__(
        self,
        local_node: NodeId,
        source: DocumentSource,
        reader: DocumentReader,
        active_members: Callable[[], list[MemberUpdate]],
        set_store_unavailable: Callable[[bool], None],
        on_document: Callable[[RouteTable, DocumentFrame, bool], None],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._local_node = local_node
        self._source = source
        self._reader = reader
        self._active_members = active_members
        self._set_store_unavailable = set_store_unavailable
        self._on_document = on_document
        self._clock = clock
        self._rng = rng
        self._position = 0
        self._era = 0
        self._rejected_version = 0
        self._store_unavailable = False
        self._confirmed_at: float | None = None
        self.on_restored: Callable[[], None] = lambda: None
        self.entered_era: Callable[[], int] = lambda: 0
        self.knows_members: Callable[[], bool] = lambda: True
        self.table: RouteTable | None = None
        self.frame: DocumentFrame | None = None

    @property
    def version(self) -> int:
        """Version of the document in force, 0 for none."""
        return self.table.version if self.table is not None else 0

    def confirmed_age_s(self) -> float | None:
        """Return the seconds since the store last confirmed the version, None if it never did."""
        return None if self._confirmed_at is None else self._clock.now() - self._confirmed_at

    def apply_frame(self, frame: DocumentFrame, peer: str) -> None:
        """Apply a document that another node sent, if it is newer."""
        if frame.version <= max(self.version, self._rejected_version):
            return
        inflater = zlib.decompressobj()
        try:
            data = inflater.decompress(frame.data, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            log.warning("document from a node cannot be read", error=str(error))
            return
        self._apply(data, peer)

    def _apply(self, data: bytes, peer: str | None) -> None:
        """Apply a document of another node, or of the store if ``peer`` is None."""
        origin = "store" if peer is None else "node"
        try:
            table = self._reader(data)
        except InvalidDocument as error:
            log.warning("document refused", origin=origin, error=str(error)[:300])
            return
        if table.version <= self.version:
            if table.version < self.version:
                log.warning("older document ignored", version=table.version, have=self.version)
            return
        self.table = table
        self.frame = DocumentFrame(table.version, zlib.compress(data))
        log.event(
            "document in force",
            version=table.version,
            origin=origin,
            peer=peer or "",
            routes=len(table.routes),
        )
        self._on_document(table, self.frame, peer is None)

    async def run(self) -> None:
        """Follow the store while this node is one of the watchers, until cancelled."""
        started_at = self._clock.now()
        while True:
            is_watcher = self._local_node in select_watchers(self._active_members())
            # A node that got no document from the others reads the store itself.
            overdue = self.table is None and self._clock.now() - started_at > START_WAIT_S
            # A starting node knows no other and would be a watcher: it reads, but does not follow.
            too_early = bool(self._position) and not self.knows_members()
            if too_early or not is_watcher and not overdue:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            following = asyncio.create_task(self._follow_once())
            while not following.done():
                await asyncio.wait([following], timeout=CHECK_INTERVAL_S)
                if self._position and self._local_node not in select_watchers(
                    self._active_members()
                ):
                    following.cancel()
                    await asyncio.wait([following])
            if not following.cancelled() and not following.result():
                await asyncio.sleep(STORE_RETRY_S * (0.5 + self._rng.random()))

    async def _follow_once(self) -> bool:
        """Read the store, or wait for its next change; return whether the store answered."""
        try:
            if self._position:
                update = await self._source.follow(self._position)
            else:
                update = await self._source.read()
        except HistoryTruncated:
            log.event("history of the store lost", position=self._position)
            self._position = 0
            return True
        except StoreUnavailable as error:
            self._record_availability(True, str(error))
            # It may come back from an older copy, in which a feed call would wait for changes after
            # this position before its response tells the new era.
            self._position = 0
            return False
        self._record_availability(False, "")
        if self._is_restored(update):
            # The position was one of another history, so changes may lie before it.
            self._position = 0
            self.on_restored()
            return True
        self._position = update.position
        if update.data is not None:
            self._apply(update.data, None)
        self._confirmed_at = self._clock.now()
        return True

    def _is_restored(self, update: DocumentUpdate) -> bool:
        """Record the store's era; return whether it has changed since the last response."""
        previous_era, self._era = self._era or self.entered_era(), update.era
        if not previous_era or update.era == previous_era:
            return False
        log.event(
            "store restored",
            era=update.era,
            previous_era=previous_era,
            position=update.position,
            previous_position=self._position,
            version=self.version,
        )
        return True

    def _record_availability(self, unavailable: bool, reason: str) -> None:
        if unavailable != self._store_unavailable:
            log.event("store lost" if unavailable else "store regained", why=reason)
        self._store_unavailable = unavailable
        self._set_store_unavailable(unavailable)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "version": self.version,
            "confirmed_s": self.confirmed_age_s(),
            "position": self._position,
            "era": self._era,
            "store_away": self._store_unavailable,
            "watchers": select_watchers(self._active_members()),
        }
