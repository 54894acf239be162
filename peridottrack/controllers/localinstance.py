"""What the instance beside this node says of itself, and whether its word is newer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from peridottrack import log
from peridottrack.gate import Gate
from peridottrack.types import Clock, InstanceId, InstanceState, ServiceName

UNKNOWN_BIRTH = 0
"""Birth of an instance that has not announced itself: its first word is newer."""
FIRST_WORDS = 1
"""Highest number of a word with which a life may begin."""


@dataclass(frozen=True, slots=True)
class InstanceReport:
    """One word of an instance.

    Parameters
    ----------
    sequence
        Grows with each report of one start.
    born
        When the instance started, by its own clock; a later start has a higher one.
    warm_in_s
        Seconds for which it stays slow after its start.
    """

    instance: InstanceId
    service: ServiceName
    slots: int
    state: InstanceState
    sequence: int
    born: int
    warm_in_s: float


class ReportResult(Enum):
    """What became of a report."""

    APPLIED = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


class LocalInstanceController:
    """Keeps the gate in step with the instance.

    Parameters
    ----------
    service
        The service of this host; reports of others are not of the instance beside.
    """

    def __init__(self, gate: Gate, service: ServiceName, clock: Clock) -> None:
        self._gate = gate
        self._service = service
        self._clock = clock
        self._last: InstanceReport | None = None
        self._left_ids: dict[InstanceId, int] = {}
        self.received_at = float("-inf")

    @property
    def has_report(self) -> bool:
        """Whether an instance has spoken in the life of this process."""
        return self._last is not None

    def apply(self, report: InstanceReport) -> ReportResult:
        """Take in a report; once this returns, a leaving instance gets no new request."""
        if report.service != self._service:
            log.warning("report of a foreign instance", instance=report.instance)
            return ReportResult.FOREIGN
        last = self._last
        if last is not None and _older(report, last):
            log.event("stale report", instance=report.instance, sequence=report.sequence)
            return ReportResult.STALE
        if self._is_left(report):
            return ReportResult.STALE
        self._last = report
        self.received_at = self._clock.now()
        if report.state is InstanceState.DRAINING:
            self._note_left(report.instance, report.born)
        else:
            self._gate.open(
                report.instance, report.service, report.slots, max(0.0, report.warm_in_s)
            )
        return ReportResult.APPLIED

    def _is_left(self, report: InstanceReport) -> bool:
        """Tell whether a ready word comes from a life that has said that it leaves.

        If that life was met by its health its birth is not known: then only one whose numbers begin
        anew is another.
        """
        born = self._left_ids.get(report.instance)
        if born is None or report.state is InstanceState.DRAINING:
            return False
        return born == report.born or (born == UNKNOWN_BIRTH and report.sequence > FIRST_WORDS)

    def deregister(self, instance: InstanceId) -> None:
        """Take in that an instance has said goodbye."""
        last = self._last
        if last is None or last.instance == instance:
            self._note_left(instance, last.born if last is not None else 0)

    def _note_left(self, instance: InstanceId, born: int) -> None:
        if self._left_ids.get(instance) != born:
            log.event("instance leaves", instance=instance, born=born)
        self._left_ids = {instance: born}
        self._gate.close()


def _older(report: InstanceReport, last: InstanceReport) -> bool:
    if report.born != last.born:
        return report.born < last.born
    return report.instance == last.instance and report.sequence < last.sequence
