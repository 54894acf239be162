"""One request of a caller with what became of it so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from peridottrack.errors import ErrorKind
from peridottrack.ingress import BufferedResponse, CallerRequest
from peridottrack.poison import fingerprint
from peridottrack.routing import Route
from peridottrack.types import InstanceId, ServiceName


@dataclass(slots=True)
class ForwardState:
    """A request on its way.

    Parameters
    ----------
    sent_to
        Instances that may have run it.
    refused_by
        Gates and instances that did not run it.
    declined_by
        Gates that passed it back, since it was thought to be better off elsewhere.
    reached_instance
        Whether it reached an instance, so that another send counts as a second one.
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
    wait_s: float = 0.0
    last_kind: ErrorKind = ErrorKind.NO_INSTANCE
    outcome_unknown: bool = False
    reached_instance: bool = False
    error_answer: BufferedResponse | None = None

    def record_possible_run(self, instance: InstanceId) -> None:
        """Note that an instance got it and did not say that it left it."""
        if instance not in self.sent_to:
            self.sent_to.append(instance)
        self.reached_instance = True
        self.outcome_unknown = True


def fingerprint_of(request: CallerRequest) -> str:
    """Return what a request is known by if it crashes instances."""
    return fingerprint(request.method, request.target.decode("latin-1"), request.body)
