"""Applies the status reports of the local instance to the gate and rejects stale ones.

A report may arrive late: seconds after it was sent, and after a leaving that an earlier process of
this node acknowledged. This process cannot know of that, so the first report that says that an
instance is ready does not open the gate. It is held until the instance, asked now, says that it is
ready (`peridottrack.controllers.confirmation`). Later reports of a confirmed incarnation are
applied at once, since this process would know if that had left.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from peridottrack import log
from peridottrack.gate import Gate
from peridottrack.types import Clock, InstanceId, InstanceState, ServiceName

UNKNOWN_START = 0
"""Start time of an instance that did not report it; any known one counts as later."""
MAX_FIRST_SEQUENCE = 1
"""The first report of an incarnation has at most this sequence number."""
MAX_LEFT_INSTANCES = 8
"""Number of instances that have left which are remembered; a host's instance changes rarely."""
HELD_WAIT_S = 0.25
"""Longest time for which the acknowledgement of a held report waits for the health check: the
instance waits no longer than a second."""
STEADY_REPORTS_S = 10.0
"""Time over which reports must keep arriving to count as sent after the start of this process.

For an instance that is ready although its health check fails. Much longer than reports are late.
"""


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
    HELD = "held"
    STALE = "stale"
    FOREIGN = "foreign"


@dataclass(slots=True)
class _HeldReport:
    """The last report that says that an instance is ready, which is not confirmed.

    Parameters
    ----------
    first_sequence, first_received_at
        Of the first held report of the same incarnation.
    """

    report: InstanceReport
    first_sequence: int
    first_received_at: float

    def is_of(self, report: InstanceReport) -> bool:
        """Return whether a report is of the same incarnation."""
        return _incarnation(self.report) == _incarnation(report)


class LocalInstanceController:
    """Keeps the gate in sync with the state of the local instance.

    Parameters
    ----------
    service
        The service of this host; reports of other services are not from the local instance.

    Attributes
    ----------
    request_confirmation
        Called when a report is held; returns once the health of the instance has been checked.
    leavings
        Number of leavings recorded so far, to detect one that was recorded during a health check.
    """

    def __init__(self, gate: Gate, service: ServiceName, clock: Clock) -> None:
        self._gate = gate
        self._service = service
        self._clock = clock
        self._last: InstanceReport | None = None
        # The last report for which the gate was opened.
        self._confirmed: InstanceReport | None = None
        self._held: _HeldReport | None = None
        self._start_time_by_left_instance: dict[InstanceId, int] = {}
        self.request_confirmation: Callable[[], Awaitable[None]] = _no_health_check
        self.leavings = 0

    @property
    def awaits_confirmation(self) -> bool:
        """Whether a report is held, or no instance is known yet."""
        return self._held is not None or self._confirmed is None

    async def receive(self, report: InstanceReport) -> ReportResult:
        """Apply a report; if it is held, wait for a short time until it is confirmed.

        The report is acknowledged after that, and then a sound instance already gets requests.
        """
        result = self.apply(report)
        if result is ReportResult.HELD:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HELD_WAIT_S):
                    await self.request_confirmation()
        return result

    def apply(self, report: InstanceReport) -> ReportResult:
        """Apply a report; once this returns, a draining instance gets no new request."""
        if report.service != self._service:
            log.warning("report of a foreign instance", instance=report.instance)
            return ReportResult.FOREIGN
        if self._is_stale(report):
            log.event("stale report", instance=report.instance, sequence=report.sequence)
            return ReportResult.STALE
        if report.state is InstanceState.DRAINING:
            self._last = report
            self.record_leaving(report.instance, report.start_time)
            return ReportResult.APPLIED
        if not self._is_confirmed(report) and not self._has_kept_arriving(report):
            self._hold(report)
            return ReportResult.HELD
        self._open(report)
        return ReportResult.APPLIED

    def confirm(self, instance: InstanceId, slots: int | None, leavings: int) -> bool:
        """Open the gate, since the instance has said in a health check that it is ready.

        Parameters
        ----------
        slots
            Number of slots that the instance named, None if it named none.
        leavings
            Value of `leavings` when the health check was sent.

        Returns
        -------
        bool
            Whether the gate was opened.
        """
        if leavings != self.leavings:
            return False
        held = self._held
        if held is not None and held.report.instance == instance:
            if self._may_have_left(held.report):
                return False
            self._open(held.report)
            return True
        self._held = None
        has_left = instance in self._start_time_by_left_instance
        if self._confirmed is not None or has_left or slots is None:
            return False
        # A node that restarts would wait too long for the next report.
        self._open(
            InstanceReport(
                instance, self._service, slots, InstanceState.READY, 0, UNKNOWN_START, 0.0
            )
        )
        return True

    def record_leaving(self, instance: InstanceId, start_time: int = UNKNOWN_START) -> None:
        """Close the gate: an instance has announced that it leaves.

        It has done so in a report, by deregistering, in a response, or to an earlier process of
        this node, as another node says. Earlier reports of this incarnation no longer open the
        gate.

        Parameters
        ----------
        start_time
            Of the incarnation that leaves, `UNKNOWN_START` for the one in service.
        """
        if start_time == UNKNOWN_START:
            start_time = self._start_time_of(instance)
        start_time_by_instance = self._start_time_by_left_instance
        known = start_time_by_instance.get(instance)
        if known is not None and known >= start_time != UNKNOWN_START:
            return
        log.event("instance leaves", instance=instance, born=start_time)
        start_time_by_instance.pop(instance, None)
        start_time_by_instance[instance] = start_time
        while len(start_time_by_instance) > MAX_LEFT_INSTANCES:
            del start_time_by_instance[next(iter(start_time_by_instance))]
        self.leavings += 1
        if self._held is not None and self._held.report.instance == instance:
            self._held = None
        in_service = self._confirmed
        if in_service is None or (
            in_service.instance == instance and in_service.start_time <= start_time
        ):
            self._gate.leave()

    def _start_time_of(self, instance: InstanceId) -> int:
        known = [self._confirmed, self._held.report if self._held is not None else None]
        return max(
            (report.start_time for report in known if report and report.instance == instance),
            default=UNKNOWN_START,
        )

    def _is_stale(self, report: InstanceReport) -> bool:
        if self._last is not None and _is_older(report, self._last):
            return True
        return report.state is not InstanceState.DRAINING and self._has_left(report)

    def _has_left(self, report: InstanceReport) -> bool:
        """Return whether a report is certainly of an incarnation that has left."""
        start_time = self._start_time_by_left_instance.get(report.instance)
        return start_time is not None and report.start_time <= start_time != UNKNOWN_START

    def _may_have_left(self, report: InstanceReport) -> bool:
        """Return whether a report may be of a leaving incarnation with an unknown start time.

        Only one whose sequence numbers start over is certainly of a later incarnation.
        """
        start_time = self._start_time_by_left_instance.get(report.instance)
        return start_time == UNKNOWN_START and report.sequence > MAX_FIRST_SEQUENCE

    def _is_confirmed(self, report: InstanceReport) -> bool:
        """Return whether this process would know if the incarnation of a report had left."""
        left_start_time = self._start_time_by_left_instance.get(report.instance)
        if left_start_time is not None:
            return report.start_time > left_start_time != UNKNOWN_START
        confirmed = self._confirmed
        if confirmed is None:
            return False
        if report.instance == confirmed.instance:
            return True
        return report.start_time > confirmed.start_time != UNKNOWN_START

    def _has_kept_arriving(self, report: InstanceReport) -> bool:
        """Return whether reports of an incarnation arrive steadily: they cannot all be late."""
        held = self._held
        return (
            held is not None
            and held.is_of(report)
            and report.sequence > held.first_sequence
            and self._clock.now() - held.first_received_at >= STEADY_REPORTS_S
        )

    def _hold(self, report: InstanceReport) -> None:
        if self._held is not None and self._held.is_of(report):
            self._held.report = report
        else:
            self._held = _HeldReport(report, report.sequence, self._clock.now())
            log.event("report held", instance=report.instance, sequence=report.sequence)

    def _open(self, report: InstanceReport) -> None:
        self._last = self._confirmed = report
        self._held = None
        # The next reports of this incarnation are no longer compared with the one that has left.
        self._start_time_by_left_instance.pop(report.instance, None)
        self._gate.open(
            report.instance,
            report.service,
            report.slots,
            max(0.0, report.warm_in_s),
            report.start_time,
        )


async def _no_health_check() -> None:
    """Stand in for `LocalInstanceController.request_confirmation` until it is set."""


def _incarnation(report: InstanceReport) -> tuple[InstanceId, int]:
    return report.instance, report.start_time


def _is_older(report: InstanceReport, last: InstanceReport) -> bool:
    if report.start_time != last.start_time:
        return report.start_time < last.start_time
    return report.instance == last.instance and report.sequence < last.sequence
