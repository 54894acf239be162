"""Evacuation of failure domains: what this node knows of it, and the gate that heeds it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from peridottrack import log
from peridottrack.documentsource import DocumentSource, DocumentUpdate
from peridottrack.evacuation import EvacuationSet, EvacuationState
from peridottrack.gate import Gate
from peridottrack.types import FailureDomain

OnEvacuations = Callable[[bool, bool], None]
"""Called when something newer is known: whether the evacuated domains changed, and whether the
store itself said so."""


class EvacuationController:
    """Holds the evacuated failure domains and logs their changes.

    Parameters
    ----------
    source
        The store, into which rows are written again that it lost in a restore.
    """

    def __init__(self, source: DocumentSource, on_evacuations: OnEvacuations) -> None:
        self._source = source
        self._on_evacuations = on_evacuations
        self._state = EvacuationState()

    @property
    def domains(self) -> frozenset[FailureDomain]:
        """The evacuated failure domains."""
        return self._state.domains

    @property
    def told(self) -> EvacuationSet | None:
        """What other nodes are to know, None as long as no domain was ever evacuated."""
        return self._state.told

    async def apply(self, update: DocumentUpdate) -> bool:
        """Apply a response of the store; return False if the store must be read again.

        A store that was restored from an older copy may lack rows that operators were told are
        stored. They are written again before the content of the copy counts.

        Raises
        ------
        StoreUnavailable
            If lost rows could not be written.
        """
        rows = update.evacuations
        lost = self._state.lost_in(rows, update.era)
        if lost:
            await self._source.restore_evacuations(lost)
            self._state.record_restored(update.era)
            log.event("evacuations restored", domains=sorted(lost), era=update.era)
            return False
        before, previous = self._state.told, self.domains
        self._state.apply(rows, update.era, update.position)
        if self._state.told is not before:
            self._report(previous, "store", "")
        return True

    def hear(self, heard: EvacuationSet, peer: str) -> None:
        """Apply what another node knows."""
        before, previous = self._state.told, self.domains
        self._state.hear(heard)
        if self._state.told is not before:
            self._report(previous, "node", peer)

    def _report(self, previous: frozenset[FailureDomain], origin: str, peer: str) -> None:
        known = self._state.known
        position = known.position if known is not None else 0
        for domain in sorted(self.domains - previous):
            log.event(
                "domain evacuated", domain=domain, origin=origin, peer=peer, position=position
            )
        for domain in sorted(previous - self.domains):
            log.event(
                "domain taken back", domain=domain, origin=origin, peer=peer, position=position
            )
        self._on_evacuations(self.domains != previous, origin == "store")


class GateEvacuation:
    """Closes the gate while its failure domain is evacuated, or that is not known yet.

    Parameters
    ----------
    ask_instance
        Asks the instance for its state, of which it may have said nothing for a while.
    """

    def __init__(self, gate: Gate, ask_instance: Callable[[], Awaitable[object]]) -> None:
        self._gate = gate
        self._ask_instance = ask_instance
        self._wanted: bool | None = None
        self._reopening: asyncio.Task[None] | None = None
        gate.set_evacuated(True)

    def update(self, evacuated: bool) -> None:
        """Close the gate at once, or open it once the instance was asked whether it is cold."""
        previous, self._wanted = self._wanted, evacuated
        if evacuated:
            self._gate.set_evacuated(True)
        elif previous is None:
            # The first news: the instance is asked before a gate opens that was never open.
            self._gate.set_evacuated(False)
        elif previous:
            self.stop()
            self._reopening = asyncio.create_task(self._reopen())

    async def _reopen(self) -> None:
        await self._ask_instance()
        if not self._wanted:
            self._gate.set_evacuated(False)

    def stop(self) -> None:
        """Stop waiting for the instance."""
        if self._reopening is not None:
            self._reopening.cancel()
