"""State of one caller's request while it is being forwarded."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from peridottrack.accounts.model import AccountName
from peridottrack.errors import ErrorKind
from peridottrack.ingress import BufferedResponse, CallerRequest
from peridottrack.poison import fingerprint
from peridottrack.routing import Route
from peridottrack.sharing.standing import Standing
from peridottrack.types import InstanceId, ServiceName

OUTCOME_MARGIN_S = 0.1
"""How long past the deadline to wait for the outcome, which says whether the request ran."""


@dataclass(slots=True, eq=False)
class ForwardState:
    """A request, the sends made for it so far and their results.

    Parameters
    ----------
    head
        Header block to send to instances.
    version, confirmed_s
        Version of the document by which it is routed, and the seconds since this node knew that
        the store had no newer one.
    priority
        Its priority when a service is short of slots.
    account
        The client account that asks, None for an anonymous request.
    returned
        Whether the caller has been refused before, as far as its deadline tells.
    standing
        How it stands to its share at this node.
    sent_to
        Instances that may have run it.
    refused_by
        Instances that did not run it: not reached, closed or full gate, or shed by the instance.
    declined_by
        Instances whose gate declined it because another gate was expected to answer sooner.
    reached_instance
        Whether it reached an instance, so that another send is charged to the resend budget.
    retry_after_s
        Longest wait before a retry that a gate proposed or this node estimated.
    last_kind
        Error kind of the last send that failed.
    may_have_run
        Whether an instance may have run it, so that it must not be reported as not run.
    error_response
        Last error response of an instance, for the caller if no other send succeeds.
    deadline_limited
        Whether the deadline was moved forward, since this node shuts down.
    send_timeout
        Timeout of the send in progress, None between two sends.
    """

    request: CallerRequest
    request_id: str
    route: Route
    service: ServiceName
    deadline: float
    target_at: float
    head: bytes
    version: int
    confirmed_s: float
    priority: int
    account: AccountName | None = None
    returned: bool = False
    standing: Standing = Standing.WITHIN
    sent_to: list[InstanceId] = field(default_factory=list)
    refused_by: set[InstanceId] = field(default_factory=set)
    declined_by: set[InstanceId] = field(default_factory=set)
    retry_after_s: float = 0.0
    last_kind: ErrorKind = ErrorKind.NO_INSTANCE
    may_have_run: bool = False
    reached_instance: bool = False
    error_response: BufferedResponse | None = None
    deadline_limited: bool = False
    send_timeout: asyncio.Timeout | None = None

    @property
    def outcome_by(self) -> float:
        """Time of the node's clock until which the outcome of a send is waited for."""
        return self.deadline + OUTCOME_MARGIN_S

    def limit_deadline(self, latest: float) -> None:
        """Move the deadline forward to ``latest`` if it is later, also that of a send in progress.

        The instance keeps the deadline that it was sent.
        """
        if latest >= self.deadline:
            return
        self.deadline = latest
        self.deadline_limited = True
        if self.send_timeout is not None and not self.send_timeout.expired():
            self.send_timeout.reschedule(self.outcome_by)

    def record_possible_run(self, instance: InstanceId) -> None:
        """Record an instance that received the request and did not report it as not run."""
        if instance not in self.sent_to:
            self.sent_to.append(instance)
        self.reached_instance = True
        self.may_have_run = True


def fingerprint_of(request: CallerRequest) -> str:
    """Return the fingerprint under which crashes caused by a request are counted."""
    return fingerprint(request.method, request.target.decode("latin-1"), request.body)
