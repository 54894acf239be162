"""Log lines about forwarded requests."""

from __future__ import annotations

from collections.abc import Sequence

from peridottrack import log
from peridottrack.errors import ErrorKind
from peridottrack.forwardstate import ForwardState
from peridottrack.types import InstanceId


def resent(
    state: ForwardState, instance: InstanceId, why: str, sent_to: Sequence[InstanceId] = ()
) -> None:
    """Log a resend; ``why`` is the error kind before a retry, or the reason of a second send."""
    log.event(
        "request sent again",
        request=state.request_id,
        why=why,
        instance=instance,
        sent_to=sent_to or state.sent_to,
    )


def second_send_ended(
    state: ForwardState,
    instance: InstanceId,
    why: str,
    result: str,
    after_s: float,
    took_s: float,
) -> None:
    """Log how a second send ended."""
    log.event(
        "second send ended",
        request=state.request_id,
        route=state.route.name,
        service=state.service,
        why=why,
        result=result,
        instance=instance,
        after_s=round(after_s, 4),
        took_s=round(took_s, 4),
    )


def second_send_denied(state: ForwardState, why: str, reason: str) -> None:
    """Log that a request which takes long is not sent a second time."""
    log.event(
        "second send denied",
        request=state.request_id,
        route=state.route.name,
        service=state.service,
        why=why,
        reason=reason,
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
