"""Log lines about forwarded requests."""

from __future__ import annotations

from peridottrack import log
from peridottrack.errors import ErrorKind
from peridottrack.forwardstate import ForwardState
from peridottrack.types import InstanceId


def resent(state: ForwardState, instance: InstanceId, why: str) -> None:
    """Log a resend; ``why`` is the error kind before a retry, or "hurry" for a hedge."""
    log.event(
        "request sent again",
        request=state.request_id,
        why=why,
        instance=instance,
        sent_to=state.sent_to,
    )


def answered(state: ForwardState, status: int, now: float, took_s: float) -> None:
    """Log an answer under a name that says whether it met the target."""
    name = "request late" if now > state.target_at else "request answered"
    if log.should_log(name):
        log.logger.info(
            name,
            request=state.request_id,
            route=state.route.name,
            service=state.service,
            version=state.version,
            confirmed_s=state.confirmed_s,
            status=status,
            took_s=round(took_s, 4),
            target_s=state.route.target_s,
            sent_to=state.sent_to,
            refused_by=sorted(state.refused_by | state.declined_by),
        )


def abandoned(state: ForwardState, kind: ErrorKind, now: float) -> None:
    """Log a request that ends without an answer from an instance."""
    log.event(
        "request given up",
        request=state.request_id,
        route=state.route.name,
        service=state.service,
        version=state.version,
        confirmed_s=state.confirmed_s,
        kind=kind.value,
        sent_to=state.sent_to,
        refused_by=sorted(state.refused_by | state.declined_by),
        waited_s=round(now - state.request.received_at, 4),
        left_s=round(state.deadline - now, 4),
    )


def cancelled(state: ForwardState, now: float, leaving: bool) -> None:
    """Log a request that ends without a response, since its connection was closed."""
    log.event(
        "request cancelled",
        request=state.request_id,
        route=state.route.name,
        service=state.service,
        version=state.version,
        confirmed_s=state.confirmed_s,
        leaving=leaving,
        sent_to=state.sent_to,
        refused_by=sorted(state.refused_by | state.declined_by),
        waited_s=round(now - state.request.received_at, 4),
        left_s=round(state.deadline - now, 4),
    )
