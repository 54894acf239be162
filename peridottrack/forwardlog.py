"""Log lines of a request's way."""

from __future__ import annotations

from peridottrack import log
from peridottrack.errors import ErrorKind
from peridottrack.forwardstate import ForwardState
from peridottrack.types import InstanceId


def resent(journey: ForwardState, instance: InstanceId, why: str) -> None:
    """Tell of a second send."""
    log.event(
        "request sent again",
        request=journey.request_id,
        why=why,
        instance=instance,
        sent_to=journey.sent_to,
    )


def answered(journey: ForwardState, status: int, now: float, took_s: float) -> None:
    """Tell of an answer, and whether it is late."""
    name = "request late" if now > journey.target_at else "request answered"
    if log.should_log(name):
        log.logger.info(
            name,
            request=journey.request_id,
            route=journey.route.name,
            service=journey.service,
            status=status,
            took_s=round(took_s, 4),
            target_s=journey.route.target_s,
            sent_to=journey.sent_to,
            refused_by=sorted(journey.refused_by | journey.declined_by),
        )


def abandoned(journey: ForwardState, kind: ErrorKind, now: float) -> None:
    """Tell of a request that gets no answer of an instance."""
    log.event(
        "request given up",
        request=journey.request_id,
        route=journey.route.name,
        service=journey.service,
        kind=kind.value,
        sent_to=journey.sent_to,
        refused_by=sorted(journey.refused_by | journey.declined_by),
        waited_s=round(now - journey.request.read_at, 4),
        left_s=round(journey.deadline - now, 4),
    )
