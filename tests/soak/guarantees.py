"""Records what callers and instances observed and checks it against the guarantees."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

from soak.site import (
    RESEND_RATIO,
    RESEND_SLACK,
    RESEND_WINDOW_S,
    NamedRateLimit,
    Site,
    SoakHost,
)

EXCUSE_S = 3.0
"""Time after a disturbance of a host in which requests that end without response are excused."""
LEAVE_GRACE_S = 2.5
"""Time after its leaving was acknowledged in which an instance may still receive requests."""
LIMIT_GRACE_S = 3.0
"""Time after an instance has first named a rate limit from which it is checked."""
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
"""In any such window an instance gets at most this many times its limit, and the slack."""
CLOSE_RACE_S = 0.2
"""A request sent while the node closes its connection ends within this time and never runs."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which state that a request that must run at most once has not run."""


@dataclass(frozen=True)
class Violation:
    """A violated guarantee.

    Parameters
    ----------
    request
        Id of the request, empty if the violation concerns no single request.
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
    request
        Its id.
    idempotent
        Whether it may run more than once.
    host
        Number of the host that it was sent to.
    status
        Status of its response; None without a complete response.
    stopping
        Whether the node was shutting down when the connection ended.
    excused
        Whether it may end without a response: it was not sent, its host was disturbed, or the
        node's process had ended without a planned stop.
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
    """Collects observations; `violations` is complete only after `check_end`."""

    site: Site
    violations: list[Violation] = field(default_factory=list)
    request_by_id: dict[str, SentRequest] = field(default_factory=dict)
    statuses: Counter = field(default_factory=Counter)
    # Newest version served, by host number and start count.
    _version_by_start: dict[tuple[int, int], int] = field(default_factory=dict)
    # How many runs of its instance have been checked, by host number.
    _checked_runs: Counter = field(default_factory=Counter)
    _runs_by_id: Counter = field(default_factory=Counter)
    _rerun_at: list[float] = field(default_factory=list)

    def record_violation(self, guarantee: str, request: str, detail: str) -> None:
        self.violations.append(Violation(guarantee, time.monotonic(), request, detail))

    def check_response(self, sent: SentRequest, status: int, request_id: str, body: bytes) -> None:
        """Check a complete response."""
        sent.status, sent.ended_at = status, time.monotonic()
        self.statuses[status] += 1
        if request_id != sent.request:
            self.record_violation("own answer", sent.request, f"response has id {request_id!r}")
        if status == 200 and body != b"answer to " + sent.request.encode():
            self.record_violation("whole answer", sent.request, f"body {body[:60]!r}")

    def check_cut(self, sent: SentRequest, host: SoakHost, error: Exception) -> None:
        """Check a request without a complete response: its connection ended or it timed out."""
        sent.ended_at = time.monotonic()
        self.statuses["cut"] += 1
        sent.excused = (
            host.disturbed_within(EXCUSE_S) or not host.is_running and host.stopping_at is None
        )
        sent.stopping = host.stopping_at is not None
        if not sent.excused and not sent.stopping:
            self.record_violation("nothing cut", sent.request, f"on an undisturbed host: {error!r}")

    def check_version(
        self, host: SoakHost, start_count: int, version: int, route_found: bool
    ) -> None:
        """Check that a process which served the route of a document version still serves it."""
        newest = self._version_by_start.get((host.number, start_count), 0)
        if route_found:
            self._version_by_start[host.number, start_count] = max(newest, version)
        elif version == newest and host.start_count == start_count:
            self.record_violation(
                "never an older document", "", f"host {host.number}: version {version} gone"
            )

    def check_runs(self) -> None:
        """Check the requests that instances have run since the last check."""
        for host in self.site.hosts:
            runs = host.instance.runs
            for run in runs[self._checked_runs[host.number] :]:
                self._check_run(run.instance, run.headers.get(b"request-id", b"").decode(), run.at)
            self._checked_runs[host.number] = len(runs)

    def _check_run(self, instance: str, request: str, at: float) -> None:
        sent = self.request_by_id.get(request)
        if sent is None:
            self.record_violation("nothing unasked", request, f"run by {instance}")
            return
        self._runs_by_id[request] += 1
        if self._runs_by_id[request] > 1:
            self._rerun_at.append(at)
            if not sent.idempotent:
                self.record_violation("at most once", request, f"run again by {instance}")
        left_at = self.site.left_at.get(instance)
        if left_at is not None and at > left_at + LEAVE_GRACE_S:
            late_s = at - left_at
            self.record_violation(
                "nothing after leaving", request, f"{instance} had left {late_s:.2f} s ago"
            )

    def check_end(self) -> None:
        """Check what can be judged only after all requests have ended."""
        self.check_runs()
        for sent in self.request_by_id.values():
            runs = self._runs_by_id[sent.request]
            if sent.status in NOT_RUN_STATUSES and not sent.idempotent and runs:
                self.record_violation(
                    "not run is true", sent.request, f"status {sent.status}, run {runs} times"
                )
            took_s = sent.ended_at - sent.sent_at
            close_race = not runs and took_s < CLOSE_RACE_S
            if sent.status is None and sent.stopping and not sent.excused and not close_race:
                self.record_violation(
                    "nothing cut", sent.request, f"by a planned stop, after {took_s:.2f} s"
                )
        self._check_budget()
        for limit in self.site.rate_limits:
            self._check_rate_limit(limit)

    def _check_rate_limit(self, limit: NamedRateLimit) -> None:
        first, last = limit.since + LIMIT_GRACE_S, limit.until
        received_at = [
            at for at in self.site.hosts[limit.host].instance.received_at if first <= at <= last
        ]
        allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for start in received_at:
            received = sum(start <= at < start + LIMIT_WINDOW_S for at in received_at)
            if received > allowed:
                detail = f"host {limit.host}: {received} requests for {limit.per_s} a second"
                self.record_violation("rate limit", "", detail)
                return

    def _check_budget(self) -> None:
        sent_at = sorted(sent.sent_at for sent in self.request_by_id.values())
        rerun_at = sorted(self._rerun_at)
        for start in rerun_at:
            end = start + RESEND_WINDOW_S
            reruns = sum(start <= at < end for at in rerun_at)
            # A resend is budgeted by the requests of the window before it, so the window before
            # the first repeated run counts too.
            requests = sum(start - RESEND_WINDOW_S <= at < end for at in sent_at)
            if reruns > RESEND_RATIO * requests + RESEND_SLACK:
                self.record_violation(
                    "budget", "", f"{reruns} repeated runs for {requests} requests"
                )
                return
