"""Applies the status reports of the local instance to the gate and rejects stale ones."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from peridottrack import log
from peridottrack.gate import Gate
from peridottrack.types import Clock, InstanceId, InstanceState, ServiceName

UNKNOWN_START = 0
"""Start time of an instance known only from a probe; any report of it counts as newer."""
MAX_FIRST_SEQUENCE = 1
"""The first report of an incarnation has at most this sequence number."""


@dataclass(frozen=True, slots=True)
class InstanceReport:
    """Status report of an instance.

    Parameters
    ----------
    sequence
        Increases with each report of one incarnation.
    start_time
        Start time of the instance by its own clock; a later start has a higher one.
    warm_in_s
        Seconds until the instance is warmed up; it is slow until then.
    """

    instance: InstanceId
    service: ServiceName
    slots: int
    state: InstanceState
    sequence: int
    start_time: int
    warm_in_s: float


class ReportResult(Enum):
    """How a report was handled."""

    APPLIED = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


class LocalInstanceController:
    """Keeps the gate in sync with the state of the local instance.

    Parameters
    ----------
    service
        The service of this host; reports of other services are not from the local instance.
    """

    def __init__(self, gate: Gate, service: ServiceName, clock: Clock) -> None:
        self._gate = gate
        self._service = service
        self._clock = clock
        self._last: InstanceReport | None = None
        # Contains at most the last instance that left.
        self._start_time_by_left_instance: dict[InstanceId, int] = {}
        self.received_at = float("-inf")

    @property
    def has_report(self) -> bool:
        """Whether a report was applied since this process started."""
        return self._last is not None

    def apply(self, report: InstanceReport) -> ReportResult:
        """Apply a report; once this returns, a draining instance gets no new request."""
        if report.service != self._service:
            log.warning("report of a foreign instance", instance=report.instance)
            return ReportResult.FOREIGN
        last = self._last
        if last is not None and _is_older(report, last):
            log.event("stale report", instance=report.instance, sequence=report.sequence)
            return ReportResult.STALE
        if self._has_left(report):
            return ReportResult.STALE
        self._last = report
        self.received_at = self._clock.now()
        if report.state is InstanceState.DRAINING:
            self._record_leave(report.instance, report.start_time)
        else:
            self._gate.open(
                report.instance,
                report.service,
                report.slots,
                max(0.0, report.warm_in_s),
                report.start_time,
            )
        return ReportResult.APPLIED

    def _has_left(self, report: InstanceReport) -> bool:
        """Return whether a ready report is from an incarnation that has already left.

        The start time is unknown if the instance was known only from a probe; then only a report
        whose sequence numbers start over is from a new incarnation.
        """
        start_time = self._start_time_by_left_instance.get(report.instance)
        if start_time is None or report.state is InstanceState.DRAINING:
            return False
        return start_time == report.start_time or (
            start_time == UNKNOWN_START and report.sequence > MAX_FIRST_SEQUENCE
        )

    def record_leaving(self, instance: InstanceId) -> None:
        """Close the gate: an instance has deregistered, or says in a response that it leaves."""
        last = self._last
        if last is None or last.instance == instance:
            self._record_leave(instance, last.start_time if last is not None else 0)

    def _record_leave(self, instance: InstanceId, start_time: int) -> None:
        """Close the gate; earlier reports of this incarnation no longer open it."""
        if self._start_time_by_left_instance.get(instance) != start_time:
            log.event("instance leaves", instance=instance, born=start_time)
        self._start_time_by_left_instance = {instance: start_time}
        self._gate.leave()


def _is_older(report: InstanceReport, last: InstanceReport) -> bool:
    if report.start_time != last.start_time:
        return report.start_time < last.start_time
    return report.instance == last.instance and report.sequence < last.sequence
