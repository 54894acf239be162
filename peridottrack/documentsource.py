"""Interfaces through which a node obtains the document from the platform."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from peridottrack.evacuation import EvacuationRows
from peridottrack.routing import RouteTable
from peridottrack.types import FailureDomain


@dataclass(frozen=True, slots=True)
class DocumentUpdate:
    """Result of reading the document from the store.

    Parameters
    ----------
    position
        Position in the store's change history from which to follow next.
    data
        The document, None if it has not changed.
    era
        Increases when the store is restored from an older copy, and positions start over.
    store_time_s
        Steady clock of the store when it had no newer document, in seconds; None if unknown.
    evacuations
        The operators' evacuations of failure domains in the same response.
    """

    position: int
    data: bytes | None
    era: int = 0
    store_time_s: float | None = None
    evacuations: EvacuationRows = EvacuationRows()


class DocumentSource(Protocol):
    """Store in which operators put the document.

    All methods raise `StoreUnavailable` if the store did not answer, and `HistoryTruncated` if it
    no longer has the changes after the position; the document must then be read again.
    """

    async def read(self) -> DocumentUpdate:
        """Return the latest document."""
        ...

    async def follow(self, position: int, wait_s: float) -> DocumentUpdate:
        """Wait for a change after a position, for ``wait_s`` seconds at most."""
        ...

    async def restore_evacuations(self, domains: Iterable[FailureDomain]) -> None:
        """Write the rows of evacuated domains that the store has lost; keep those that it has."""
        ...


class DocumentReader(Protocol):
    """Decodes a document."""

    def __call__(self, data: bytes) -> RouteTable:
        """Return the document's routes.

        Raises
        ------
        InvalidDocument
            If the data is not a valid document.
        """
        ...
