"""The document in force here: followed at the store by a few nodes, told by them to the rest."""

from __future__ import annotations

import asyncio
import hashlib
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from peridottrack import log
from peridottrack.documentsource import DocumentReader, DocumentSource
from peridottrack.exceptions import HistoryTruncated, InvalidDocument, StoreUnavailable
from peridottrack.frames import DocumentFrame
from peridottrack.messages import MemberUpdate
from peridottrack.routing import RouteTable
from peridottrack.types import Clock, NodeId, Random

WATCHERS = 4
"""Nodes that follow the store: three may be cut off from it in silence at once."""
STORE_RETRY_S = 1.0
"""Pause of a node that asks a store that is away; only `WATCHERS` nodes ask."""
FIRST_READ_S = 1.2
"""How long a node that has just started waits for the document from others."""
CHECK_S = 0.25
"""How often a node looks whether it should follow the store."""
MAX_DOCUMENT_BYTES = 32 << 20
"""Bound of an inflated document."""


def watcher_rank(node: NodeId) -> bytes:
    """Return the order in which nodes follow the store: the same everywhere, even over hosts."""
    return hashlib.blake2b(node.encode(), digest_size=8).digest()


def select_watchers(members: Iterable[MemberUpdate]) -> list[NodeId]:
    """Return the nodes that follow the store: those that it answers first."""
    ranked = sorted(
        members, key=lambda update: (update.store_unavailable, watcher_rank(update.node))
    )
    return [update.node for update in ranked[:WATCHERS]]


class DocumentFollowController:
    """Holds the newest document and sees that all nodes get it.

    Parameters
    ----------
    present
        Returns the members that answer this node, itself included.
    set_away
        Told whether the store answers.
    in_force
        Called with each new table of routes, its frame, and whether it came from the store, so
        that others do not have it yet.
    """

    def __init__(
        self,
        me: NodeId,
        source: DocumentSource,
        reader: DocumentReader,
        present: Callable[[], list[MemberUpdate]],
        set_away: Callable[[bool], None],
        in_force: Callable[[RouteTable, DocumentFrame, bool], None],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._me = me
        self._source = source
        self._reader = reader
        self._present = present
        self._set_away = set_away
        self._in_force = in_force
        self._clock = clock
        self._rng = rng
        self._position = 0
        self._refused_version = 0
        self._away = False
        self.table: RouteTable | None = None
        self.frame: DocumentFrame | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.table.version if self.table is not None else 0

    def apply_frame(self, frame: DocumentFrame) -> None:
        """Take in a document that another node sent."""
        if frame.version <= max(self.version, self._refused_version):
            return
        inflater = zlib.decompressobj()
        try:
            data = inflater.decompress(frame.data, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            log.warning("document from a node cannot be read", error=str(error))
            return
        self._take(data, False)

    def _take(self, data: bytes, from_store: bool) -> None:
        origin = "store" if from_store else "node"
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
            "document in force", version=table.version, origin=origin, routes=len(table.routes)
        )
        self._in_force(table, self.frame, from_store)

    async def run(self) -> None:
        """Follow the store while it is this node's turn, until cancelled."""
        started_at = self._clock.now()
        while True:
            mine = self._me in select_watchers(self._present())
            late = self.table is None and self._clock.now() - started_at > FIRST_READ_S
            if not mine and not late:
                await asyncio.sleep(CHECK_S)
                continue
            following = asyncio.create_task(self._follow_once())
            while not following.done():
                await asyncio.wait([following], timeout=CHECK_S)
                if self._position and self._me not in select_watchers(self._present()):
                    following.cancel()
                    await asyncio.wait([following])
            if not following.cancelled() and not following.result():
                await asyncio.sleep(STORE_RETRY_S * (0.5 + self._rng.random()))

    async def _follow_once(self) -> bool:
        """Ask the store once; False if it did not answer."""
        try:
            if self._position:
                news = await self._source.follow(self._position)
            else:
                news = await self._source.read()
        except HistoryTruncated:
            log.event("history of the store lost", position=self._position)
            self._position = 0
            return True
        except StoreUnavailable as error:
            self._note_away(True, str(error))
            return False
        self._note_away(False, "")
        self._position = news.position
        if news.data is not None:
            self._take(news.data, True)
        return True

    def _note_away(self, away: bool, why: str) -> None:
        if away != self._away:
            log.event("store lost" if away else "store regained", why=why)
        self._away = away
        self._set_away(away)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "version": self.version,
            "position": self._position,
            "store_away": self._away,
            "watchers": select_watchers(self._present()),
        }
