"""What callers and instances saw, and the promises that must hold of it."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

from soak.site import SECOND_RATIO, SECOND_SLACK, SECOND_WINDOW_S, Site, SoakHost

CALM_S = 3.0
"""Time after harm to a host in which broken requests are excused."""
LEFT_S = 2.5
"""Time after its leaving was acknowledged in which an instance may still get requests."""
CROSSED_S = 0.2
"""A request that crosses the close of its connection is cut within this time, and never runs."""
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses with which a request that must not run twice has not run."""


@dataclass(frozen=True)
class Violation:
    """A broken promise.

    Parameters
    ----------
    request
        Id of the request, empty if it is about none.
    """

    guarantee: str
    at: float
    request: str
    detail: str


@dataclass
class SentRequest:
    """One request of a caller.

    Parameters
    ----------
    idempotent
        Whether it may run more than once.
    status
        Of its answer; None if its connection ended first.
    """

    request: str
    idempotent: bool
    host: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    stopping: bool = False
    excused: bool = False


@dataclass
class GuaranteeChecker:
    """Collects what was seen; `violations` is looked at while the soak runs and at its end."""

    site: Site
    violations: list[Violation] = field(default_factory=list)
    request_by_id: dict[str, SentRequest] = field(default_factory=dict)
    statuses: Counter = field(default_factory=Counter)
    _version_by_life: dict[tuple[int, int], int] = field(default_factory=dict)
    _checked_runs: Counter = field(default_factory=Counter)
    _runs_by_id: Counter = field(default_factory=Counter)
    _repeats_at: list[float] = field(default_factory=list)

    def record_violation(self, promise: str, request: str, detail: str) -> None:
        self.violations.append(Violation(promise, time.monotonic(), request, detail))

    def check_response(self, asked: SentRequest, status: int, request_id: str, body: bytes) -> None:
        """Check an answer."""
        asked.status, asked.ended_at = status, time.monotonic()
        self.statuses[status] += 1
        if request_id != asked.request:
            self.record_violation("own answer", asked.request, f"bears the id {request_id!r}")
        if status == 200 and body != b"answer to " + asked.request.encode():
            self.record_violation("whole answer", asked.request, f"body {body[:60]!r}")

    def check_cut(self, asked: SentRequest, host: SoakHost, error: Exception) -> None:
        """Check a request whose connection ended without an answer."""
        asked.ended_at = time.monotonic()
        self.statuses["cut"] += 1
        asked.excused = (
            host.disturbed_within(CALM_S) or not host.is_running and host.stopping_at is None
        )
        asked.stopping = host.stopping_at is not None
        if not asked.excused and not asked.stopping:
            self.record_violation("nothing cut", asked.request, f"on a calm host: {error!r}")

    def check_version(self, host: SoakHost, life: int, version: int, known: bool) -> None:
        """Check the answer to a request on the route that a version brought."""
        seen = self._version_by_life.get((host.number, life), 0)
        if known:
            self._version_by_life[host.number, life] = max(seen, version)
        elif version == seen and host.start_count == life:
            self.record_violation(
                "never an older document", "", f"host {host.number}: version {version} gone"
            )

    def check_runs(self) -> None:
        """Check what instances ran since the last look."""
        for host in self.site.hosts:
            runs = host.instance.runs
            for run in runs[self._checked_runs[host.number] :]:
                self._check_run(run.instance, run.headers.get(b"request-id", b"").decode(), run.at)
            self._checked_runs[host.number] = len(runs)

    def _check_run(self, instance: str, request: str, at: float) -> None:
        asked = self.request_by_id.get(request)
        if asked is None:
            self.record_violation("nothing unasked", request, f"run by {instance}")
            return
        self._runs_by_id[request] += 1
        if self._runs_by_id[request] > 1:
            self._repeats_at.append(at)
            if not asked.idempotent:
                self.record_violation("at most once", request, f"run again by {instance}")
        left_at = self.site.left_at.get(instance)
        if left_at is not None and at > left_at + LEFT_S:
            late_s = at - left_at
            self.record_violation(
                "nothing after leaving", request, f"{instance} had left {late_s:.2f} s ago"
            )

    def check_end(self) -> None:
        """Check what can be judged only when nothing runs any more."""
        self.check_runs()
        for asked in self.request_by_id.values():
            ran = self._runs_by_id[asked.request]
            if asked.status in PROMISE_STATUSES and not asked.idempotent and ran:
                self.record_violation(
                    "not run is true", asked.request, f"answered {asked.status}, ran {ran}"
                )
            took_s = asked.ended_at - asked.sent_at
            crossed = not ran and took_s < CROSSED_S
            if asked.status is None and asked.stopping and not asked.excused and not crossed:
                self.record_violation(
                    "nothing cut", asked.request, f"by a stop, after {took_s:.2f} s"
                )
        self._check_budget()

    def _check_budget(self) -> None:
        sent = sorted(asked.sent_at for asked in self.request_by_id.values())
        repeats = sorted(self._repeats_at)
        for first in repeats:
            until = first + SECOND_WINDOW_S
            again = sum(first <= at < until for at in repeats)
            # Requests of the window and of the one before it count.
            asked = sum(first - SECOND_WINDOW_S <= at < until for at in sent)
            if again > SECOND_RATIO * asked + SECOND_SLACK:
                self.record_violation("budget", "", f"{again} second sends for {asked} requests")
                return
