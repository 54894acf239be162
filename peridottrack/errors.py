"""All error kinds and the response to each.

Error responses are problem documents (RFC 9457) with the header ``Peridot-Ran``.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum

RAN_HEADER = "Peridot-Ran"
CODE_HEADER = "Peridot-Error"
PROBLEM_TYPE = "application/problem+json"


class Ran(Enum):
    """Whether the request ran on an upstream."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(Enum):
    """Every way in which a request can end without a response of its upstream."""

    NO_ROUTE = "no_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    TOO_SLOW = "too_slow"
    KEY_REQUIRED = "key_required"
    CREDENTIAL_REQUIRED = "credential_required"
    KEY_REUSED = "key_reused"
    KEY_REFUSED = "key_refused"
    KEYS_UNCONFIRMED = "keys_unconfirmed"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNSETTLED = "quota_unsettled"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_UNSETTLED = "claim_unsettled"
    NOT_READY = "not_ready"
    NODE_FULL = "node_full"
    DRAINING = "draining"
    NO_INSTANCE = "no_instance"
    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    INSTANCE_SLOW = "instance_slow"
    INSTANCE_BUSY = "instance_busy"
    INSTANCE_LIMITED = "instance_limited"
    DEADLINE_PASSED = "deadline_passed"
    NODE_STOPPED = "node_stopped"
    HELD_OFF = "held_off"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_ANSWER_INVALID = "upstream_answer_invalid"


@dataclass(frozen=True, slots=True)
class ResponseRule:
    """The response to one error kind.

    Parameters
    ----------
    retry_after_s
        Seconds of the Retry-After header, None for no header.
    """

    status: int
    ran: Ran
    title: str
    retry_after_s: int | None = None


RULE_BY_KIND: dict[ErrorKind, ResponseRule] = {
    ErrorKind.NO_ROUTE: ResponseRule(404, Ran.NO, "No route of the document matches"),
    ErrorKind.METHOD_NOT_ALLOWED: ResponseRule(405, Ran.NO, "No route takes this method here"),
    ErrorKind.BAD_REQUEST: ResponseRule(400, Ran.NO, "The request is not valid"),
    ErrorKind.BODY_TOO_LARGE: ResponseRule(413, Ran.NO, "The request body is too large"),
    ErrorKind.HEADERS_TOO_LARGE: ResponseRule(431, Ran.NO, "The request headers are too large"),
    ErrorKind.TOO_SLOW: ResponseRule(408, Ran.NO, "The request came too slowly"),
    ErrorKind.KEY_REQUIRED: ResponseRule(400, Ran.NO, "This route needs an Idempotency-Key"),
    ErrorKind.CREDENTIAL_REQUIRED: ResponseRule(401, Ran.NO, "A keyed call needs a credential"),
    ErrorKind.KEY_REUSED: ResponseRule(422, Ran.NO, "The key was used with another request"),
    ErrorKind.KEY_REFUSED: ResponseRule(401, Ran.NO, "No client account holds this key"),
    ErrorKind.KEYS_UNCONFIRMED: ResponseRule(
        503, Ran.NO, "This node cannot tell whether keys are still valid", 1
    ),
    ErrorKind.QUOTA_EXCEEDED: ResponseRule(429, Ran.NO, "The account's quota is used up", 1),
    ErrorKind.QUOTA_UNSETTLED: ResponseRule(
        503, Ran.NO, "No node can tell now whether the account's quota is used up", 1
    ),
    ErrorKind.IN_PROGRESS: ResponseRule(409, Ran.UNKNOWN, "The first request still runs", 1),
    ErrorKind.OUTCOME_UNKNOWN: ResponseRule(409, Ran.UNKNOWN, "The outcome is not known"),
    ErrorKind.ANSWER_NOT_KEPT: ResponseRule(
        409, Ran.YES, "It ran; its answer was too large to keep"
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ResponseRule(503, Ran.NO, "The claim store is not available", 2),
    ErrorKind.CLAIM_UNSETTLED: ResponseRule(503, Ran.UNKNOWN, "The claim could not be settled", 2),
    ErrorKind.NOT_READY: ResponseRule(503, Ran.NO, "This node has no document yet", 1),
    ErrorKind.NODE_FULL: ResponseRule(503, Ran.NO, "This node has no memory for it now", 1),
    ErrorKind.DRAINING: ResponseRule(503, Ran.NO, "This node is leaving", 1),
    ErrorKind.NO_INSTANCE: ResponseRule(503, Ran.NO, "No instance of the service is known", 1),
    ErrorKind.OVERLOADED: ResponseRule(503, Ran.NO, "The queue of the service is full", 1),
    ErrorKind.TOO_LATE: ResponseRule(503, Ran.NO, "It could not be done before its deadline", 1),
    ErrorKind.INSTANCE_SLOW: ResponseRule(503, Ran.NO, "The instance's host is slow now", 1),
    ErrorKind.INSTANCE_BUSY: ResponseRule(503, Ran.NO, "The instance has no room now", 1),
    ErrorKind.INSTANCE_LIMITED: ResponseRule(
        503, Ran.NO, "The instances take fewer requests than arrive", 1
    ),
    ErrorKind.DEADLINE_PASSED: ResponseRule(504, Ran.UNKNOWN, "The deadline passed while it ran"),
    ErrorKind.NODE_STOPPED: ResponseRule(502, Ran.UNKNOWN, "This node stopped before it ended"),
    ErrorKind.HELD_OFF: ResponseRule(503, Ran.NO, "This request made instances fail", 30),
    ErrorKind.UPSTREAM_SHED: ResponseRule(503, Ran.NO, "The upstream declined to run it", 1),
    ErrorKind.UPSTREAM_UNREACHABLE: ResponseRule(503, Ran.NO, "No connection to an upstream", 1),
    ErrorKind.UPSTREAM_FAILED: ResponseRule(502, Ran.UNKNOWN, "The upstream broke off"),
    ErrorKind.UPSTREAM_ANSWER_INVALID: ResponseRule(
        502, Ran.UNKNOWN, "The end of the upstream's answer cannot be told"
    ),
}


@dataclass(frozen=True, slots=True)
class Problem:
    """An error response, ready to be sent."""

    status: int
    headers: dict[str, str]
    body: bytes


def problem(
    kind: ErrorKind, detail: str, request_id: str, retry_after_s: int | None = None
) -> Problem:
    """Build the response to an error kind.

    Parameters
    ----------
    detail
        One sentence for the caller; may be empty.
    retry_after_s
        Seconds; overrides the rule of the error kind.
    """
    rule = RULE_BY_KIND[kind]
    wait_s = rule.retry_after_s if retry_after_s is None else retry_after_s
    headers = {
        "Content-Type": PROBLEM_TYPE,
        RAN_HEADER: rule.ran.value,
        CODE_HEADER: kind.value,
    }
    if wait_s is not None:
        headers["Retry-After"] = str(wait_s)
    body = {
        "type": f"urn:peridottrack:{kind.value}",
        "title": rule.title,
        "status": rule.status,
        "code": kind.value,
        "ran": rule.ran.value,
        "request_id": request_id,
    }
    if detail:
        body["detail"] = detail
    return Problem(rule.status, headers, json.dumps(body).encode())
