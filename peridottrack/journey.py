"""One request of a caller with what became of it so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from peridottrack.errors import ErrorKind
from peridottrack.ingress import CallerRequest, WholeAnswer
from peridottrack.poison import fingerprint
from peridottrack.routing import Route
from peridottrack.types import InstanceId, ServiceName


@dataclass(slots=True)
class Journey:
    """A request on its way.

    Parameters
    ----------
    sent_to
        Instances that may have run it.
    refused_by
        Gates and instances that did not run it.
    passed_by
        Gates that passed it back, since it was thought to be better off elsewhere.
    arrived
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
    passed_by: set[InstanceId] = field(default_factory=set)
    wait_s: float = 0.0
    last_kind: ErrorKind = ErrorKind.NO_INSTANCE
    unsure: bool = False
    arrived: bool = False
    kept: WholeAnswer | None = None

    def may_have_run(self, instance: InstanceId) -> None:
        """Note that an instance got it and did not say that it left it."""
        if instance not in self.sent_to:
            self.sent_to.append(instance)
        self.arrived = True
        self.unsure = True


def mark_of(request: CallerRequest) -> str:
    """Return what a request is known by if it crashes instances."""
    return fingerprint(request.method, request.target.decode("latin-1"), request.body)
