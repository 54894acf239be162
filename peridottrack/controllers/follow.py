"""Holds the document in force on a node with a gate (`peridottrack.mesh`).

A few nodes follow the store; they tell the others what changed, and until when nothing did. A node
that has not heard so for a part of the time in which a document must be in force reads the store
itself.
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
from peridottrack.accounts.validity import KeyValidity
from peridottrack.controllers.evacuation import EvacuationController
from peridottrack.documentsource import DocumentReader, DocumentSource, DocumentUpdate
from peridottrack.exceptions import HistoryTruncated, InvalidDocument, StoreUnavailable
from peridottrack.frames import DocumentFrame
from peridottrack.freshness import DocumentFreshness
from peridottrack.messages import MemberUpdate
from peridottrack.routing import RouteTable
from peridottrack.types import Clock, NodeId, Random

WATCHERS = 3
"""Nodes that follow the store, so that a change is known at once while two of them do not."""
CANDIDATES = 12
"""Nodes that replace watchers that do not respond; they have links to each other to notice it."""
STORE_RETRY_S = 1.0
"""Mean pause before a watcher calls a store again that did not answer twice."""
START_WAIT_S = 1.2
"""Seconds that a starting node waits for other nodes to send the document."""
CHECK_INTERVAL_S = 0.25
"""Longest time after which a node checks whether it should call the store."""
MAX_DOCUMENT_BYTES = 32 << 20
"""Largest size of a decompressed document."""

# Shares of the time in which a document must be in force (`lag_s`):
WATCH_SHARE = (0.3, 0.7)
"""Shortest and longest wait for a change of one call. Random, so that the watchers, which all get
a change at once, do not stay in step."""
READ_SHARE = (0.5, 0.65)
"""Age of the last confirmation from which a node reads the store itself: random, so that few nodes
do before they hear of the first."""
RETRY_SHARE = (1.0, 2.0)
"""Pause before such a node calls a store again that did not answer, unless it hears that the store
has answered others: all nodes retry while the store is away."""
FIRST_RETRY_SHARE = 0.1
"""Longest pause of a watcher before its first retry: the connection may have been to blame."""
TELL_SHARE = 0.25
"""Time between two confirmations that a node passes on at once."""


@lru_cache(maxsize=8_192)
def watcher_rank(node: NodeId) -> bytes:
    """Return the sort key of watchers: the same on all nodes, and uniform over hosts."""
    return hashlib.blake2b(node.encode(), digest_size=8).digest()


def select_candidates(members: Iterable[MemberUpdate]) -> list[MemberUpdate]:
    """Return the members that may become watchers: those that follow the store first of all."""
    return heapq.nsmallest(CANDIDATES, members, key=_watcher_key)


def select_watchers(members: Iterable[MemberUpdate]) -> list[NodeId]:
    """Return the nodes that follow the store."""
    return [update.node for update in heapq.nsmallest(WATCHERS, members, key=_watcher_key)]


def _watcher_key(update: MemberUpdate) -> bytes:
    return watcher_rank(update.node)


class DocumentFollowController:
    """Holds the newest document and distributes it to all nodes.

    Parameters
    ----------
    active_members
        Returns the candidates for watchers that respond to this node, including itself if it is
        one.
    on_document
        Called with each new route table, its frame, and whether it came from the store, in which
        case other nodes may not have it yet.
    lag_s
        Seconds within which an accepted document must be in force on a node that reaches the store.

    Attributes
    ----------
    on_confirmed
        Called with the time of the store's clock, in seconds, at which the store had no newer
        document, and with whether other nodes are to be told at once.
    on_restored
        Called when the store was restored from an older copy.
    knows_members
        Returns whether the members are known, by which the watchers are selected.
    validity
        Learns for how long the keys of the document may be vouched for; None if nobody asks.
    evacuations
        Gets what the store says about evacuated failure domains; None if nobody asks.
    entered_era
        Returns the store's era when this node last wrote or read entries there, 0 if unknown.
    """

    def __init__(
        self,
        local_node: NodeId,
        source: DocumentSource,
        reader: DocumentReader,
        active_members: Callable[[], list[MemberUpdate]],
        on_document: Callable[[RouteTable, DocumentFrame, bool], None],
        lag_s: float,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._local_node = local_node
        self._source = source
        self._reader = reader
        self._active_members = active_members
        self._on_document = on_document
        self._lag_s = lag_s
        self._clock = clock
        self._rng = rng
        self._position = 0
        self._era = 0
        self._rejected_version = 0
        self._store_unavailable = False
        self._freshness = DocumentFreshness(lag_s, clock)
        self._read_age_s = self._draw(READ_SHARE)
        self._retry_at = float("-inf")
        self._failures = 0
        self._told_at_s = float("-inf")
        self._reported_old = False
        self.on_confirmed: Callable[[float, bool], None] = lambda store_time_s, tell: None
        self.on_restored: Callable[[], None] = lambda: None
        self.entered_era: Callable[[], int] = lambda: 0
        self.knows_members: Callable[[], bool] = lambda: True
        self.validity: KeyValidity | None = None
        self.evacuations: EvacuationController | None = None
        self.table: RouteTable | None = None
        self.frame: DocumentFrame | None = None

    @property
    def version(self) -> int:
        """Version of the document in force, 0 for none."""
        return self.table.version if self.table is not None else 0

    def confirmed_age_s(self) -> float:
        """Return the seconds since this node knew that the store had no newer document."""
        return self._freshness.age_s()

    def record_confirmation(self, store_time_s: float) -> None:
        """Record that another node knows of no newer document at a time of the store's clock."""
        if self.validity is not None:
            self.validity.hear(store_time_s)
        if self._freshness.hear(store_time_s):
            # The store answers, so that it may answer this node too.
            self._retry_at = float("-inf")
            self._pass_on(store_time_s)

    def _pass_on(self, store_time_s: float) -> None:
        tell = abs(store_time_s - self._told_at_s) >= TELL_SHARE * self._lag_s
        if tell:
            self._told_at_s = store_time_s
        self.on_confirmed(store_time_s, tell)

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

    # -- calls to the store ------------------------------------------------------------

    async def run(self) -> None:
        """Call the store whenever this node has to, until cancelled."""
        started_at = self._clock.now()
        while True:
            self._report_age()
            watches = self._is_watcher()
            due_in_s = 0.0 if watches else self._read_due_at(started_at) - self._clock.now()
            if due_in_s > 0:
                await asyncio.sleep(min(due_in_s, CHECK_INTERVAL_S))
                continue
            wait_s = self._draw(WATCH_SHARE) if watches else 0.0
            if await self._call_store(wait_s):
                self._failures = 0
                continue
            self._failures += 1
            pause_s = self._watcher_pause_s() if watches else self._draw(RETRY_SHARE)
            self._retry_at = self._clock.now() + pause_s
            if watches:
                await asyncio.sleep(pause_s)

    def _is_watcher(self) -> bool:
        # A starting node knows no other and would be a watcher: it reads, but does not follow.
        too_early = bool(self._position) and not self.knows_members()
        return not too_early and self._local_node in select_watchers(self._active_members())

    def _read_due_at(self, started_at: float) -> float:
        """Return the time at which a node that is no watcher is to read the store."""
        if self._must_prove_keys():
            return self._retry_at
        due_at = max(self._freshness.confirmed_at + self._read_age_s, self._retry_at)
        return due_at if self.table is not None else max(due_at, started_at + START_WAIT_S)

    def _must_prove_keys(self) -> bool:
        """Return whether the keys of the document are worth nothing until this node reads."""
        has_keys = self.table is not None and self.table.accounts is not None
        return has_keys and self.validity is not None and self.validity.needs_own_call

    def _watcher_pause_s(self) -> float:
        if self._failures == 1:
            return FIRST_RETRY_SHARE * self._lag_s * self._rng.random()
        return STORE_RETRY_S * (0.5 + self._rng.random())

    def _draw(self, bounds: tuple[float, float]) -> float:
        """Return a random time in seconds between two shares of ``lag_s``."""
        low, high = bounds
        return self._lag_s * (low + (high - low) * self._rng.random())

    async def _call_store(self, wait_s: float) -> bool:
        """Read the store, or wait for its next change; return whether the store answered."""
        asked_at = self._clock.now()
        key_proof_at = self.validity.now() if self.validity is not None else 0.0
        try:
            if self._position:
                update = await self._source.follow(self._position, wait_s)
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
        try:
            # Before the document, so that a node with a document knows them.
            if self.evacuations is not None and not await self.evacuations.apply(update):
                self._position = 0
                return True
        except StoreUnavailable as error:
            self._record_availability(True, str(error))
            self._position = 0
            return False
        self._position = update.position
        if update.data is not None:
            self._apply(update.data, None)
        self._record_answer(asked_at, update.store_time_s)
        if self.validity is not None:
            self.validity.confirm(key_proof_at, update.store_time_s)
        return True

    def _record_answer(self, asked_at: float, store_time_s: float | None) -> None:
        self._freshness.confirm(asked_at, store_time_s)
        self._read_age_s = self._draw(READ_SHARE)
        if store_time_s is not None:
            self._pass_on(store_time_s)

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

    def _report_age(self) -> None:
        """Log when the document begins, and ceases, to be unconfirmed for longer than allowed."""
        confirmed_s = self.confirmed_age_s()
        is_old = self.table is not None and confirmed_s > self._lag_s
        if is_old != self._reported_old:
            log.event(
                "document unconfirmed" if is_old else "document confirmed",
                version=self.version,
                confirmed_s=round(confirmed_s, 2),
            )
        self._reported_old = is_old

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
