"""State of one caller's request while it is being forwarded."""

from __future__ import annotations

from dataclasses import dataclass, field

from peridottrack.errors import ErrorKind
from peridottrack.ingress import BufferedResponse, CallerRequest
from peridottrack.poison import fingerprint
from peridottrack.routing import Route
from peridottrack.types import InstanceId, ServiceName


@dataclass(slots=True)
class ForwardState:
    """A request, the sends made for it so far and their results.

    Parameters
    ----------
    head
        Header block to send to instances.
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
    """

    request: CallerRequest
    request_id: str
    route: Route
    service: ServiceName
    deadline: float
    target_at: float
    head: bytes
    sent_to: list[InstanceId] = field(default_factory=list)
    refused_by: set[InstanceId] = field(default_factory=set)
    declined_by: set[InstanceId] = field(default_factory=set)
    retry_after_s: float = 0.0
    last_kind: ErrorKind = ErrorKind.NO_INSTANCE
    may_have_run: bool = False
    reached_instance: bool = False
    error_response: BufferedResponse | None = None

    def record_possible_run(self, instance: InstanceId) -> None:
        """Record an instance that received the request and did not report it as not run."""
        if instance not in self.sent_to:
            self.sent_to.append(instance)
        self.reached_instance = True
        self.may_have_run = True


def fingerprint_of(request: CallerRequest) -> str:
    """Return the fingerprint under which crashes caused by a request are counted."""
    return fingerprint(request.method, request.target.decode("latin-1"), request.body)
