"""What a node needs of the platform beyond HTTP between itself and others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from peridottrack.routing import RouteTable


@dataclass(frozen=True, slots=True)
class DocumentUpdate:
    """The document as the store holds it.

    Parameters
    ----------
    position
        Where to go on following from.
    data
        The document, None if there is nothing new.
    """

    position: int
    data: bytes | None


class DocumentSource(Protocol):
    """Where operators put the document.

    Both calls raise `StoreUnavailable` if the store did not answer, and `HistoryTruncated` if the
    position is too old to go on from.
    """

    async def read(self) -> DocumentUpdate:
        """Return the newest document."""
        ...

    async def follow(self, position: int) -> DocumentUpdate:
        """Wait for news after a position."""
        ...


class DocumentReader(Protocol):
    """Decodes a document."""

    def __call__(self, data: bytes) -> RouteTable:
        """Return its routes.

        Raises
        ------
        DocumentFaulty
            If it is not a document.
        """
        ...
