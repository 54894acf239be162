"""Failure domains that operators have evacuated, as one node knows them. Performs no I/O.

An operator's row in the store asks that nothing more be sent to the instances of a failure domain,
until it is removed. The store decides; nodes pass on what they know. Each set of evacuated domains
names the moment of the store's history in which it held, so that an older one never replaces a
newer one, whatever way it took.
"""

from __future__ import annotations

from dataclasses import dataclass

from peridottrack.jsondata import MAX_INT64
from peridottrack.types import FailureDomain


@dataclass(frozen=True, slots=True)
class EvacuationSet:
    """The evacuated failure domains at one moment of the store's history.

    Parameters
    ----------
    era
        Of the store; increases when it is restored from an older copy, and positions start over.
    position
        Position in the history of that era.
    """

    era: int
    position: int
    domains: frozenset[FailureDomain] = frozenset()

    def is_newer_than(self, other: EvacuationSet | None) -> bool:
        """Return whether this set held later than another one, of which None is the oldest."""
        return other is None or (self.era, self.position) > (other.era, other.position)


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """A row of the operators, or its removal.

    Parameters
    ----------
    position
        Position of the change in the store's history.
    """

    domain: FailureDomain
    evacuated: bool
    position: int


@dataclass(frozen=True, slots=True)
class EvacuationRows:
    """What one response of the store says about evacuations.

    Parameters
    ----------
    complete
        Whether these are all rows, rather than those changed since a position.
    """

    changes: tuple[EvacuationChange, ...] = ()
    complete: bool = False

    @property
    def domains(self) -> frozenset[FailureDomain]:
        """The domains with a row."""
        return frozenset(change.domain for change in self.changes if change.evacuated)


class EvacuationState:
    """The newest known set of evacuated domains.

    Attributes
    ----------
    known
        The newest set, None before the first one.
    """

    def __init__(self) -> None:
        self.known: EvacuationSet | None = None
        self._in_use = False
        self._restored_era = 0

    @property
    def domains(self) -> frozenset[FailureDomain]:
        """The evacuated domains."""
        return self.known.domains if self.known is not None else frozenset()

    @property
    def told(self) -> EvacuationSet | None:
        """What other nodes are to know; None as long as no domain was ever evacuated."""
        return self.known if self._in_use else None

    def apply(self, rows: EvacuationRows, era: int, position: int) -> bool:
        """Apply a response of the store; return whether the evacuated domains changed."""
        era = min(max(era, 0), MAX_INT64)
        if rows.complete:
            return self._adopt(EvacuationSet(era, position, rows.domains))
        # A position is of one era only: before the first one, all changes are new.
        same_era = self.known is not None and self.known.era == era
        last = self.known.position if same_era and self.known is not None else 0
        domains = set(self.domains)
        newer = [change for change in rows.changes if change.position > last]
        for change in newer:
            if change.evacuated:
                domains.add(change.domain)
            else:
                domains.discard(change.domain)
        if not newer:
            return False
        newest = max(change.position for change in newer)
        return self._adopt(EvacuationSet(era, newest, frozenset(domains)))

    def hear(self, heard: EvacuationSet) -> bool:
        """Apply what another node knows; return whether the evacuated domains changed."""
        # Also if it is older: this node then knows something newer to tell.
        self._in_use = True
        return self._adopt(heard)

    def lost_in(self, rows: EvacuationRows, era: int) -> frozenset[FailureDomain]:
        """Return the evacuated domains that a store restored from an older copy has lost.

        Nothing is lost in an era whose loss has been made good (`record_restored`): what is
        missing there was taken back.
        """
        known = self.known
        if known is None or not rows.complete or era <= max(known.era, self._restored_era):
            return frozenset()
        return known.domains - rows.domains

    def record_restored(self, era: int) -> None:
        """Record that the lost rows are in the store again."""
        self._restored_era = era

    def _adopt(self, new: EvacuationSet) -> bool:
        if not new.is_newer_than(self.known):
            return False
        changed = new.domains != self.domains
        self.known = new
        self._in_use = self._in_use or bool(new.domains)
        return changed
