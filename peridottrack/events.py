"""Every event that a node with a gate logs: its fields with units, and when it is logged.

`docs/EVENTS.md` is generated from this table, and tests check that the code matches it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class LogPolicy(Enum):
    """Which lines of an event are written."""

    ALWAYS = "always"
    LIMITED = "up to a rate limit; the other lines are counted"
    SAMPLED = "as one line in `loglimit.SAMPLE_EVERY`; the other lines are counted"


@dataclass(frozen=True, slots=True)
class Event:
    """Description of one event.

    Parameters
    ----------
    fields
        Meaning of each field, with its unit.
    """

    when: str
    fields: dict[str, str]
    policy: LogPolicy = LogPolicy.ALWAYS


_REQUEST = {"request": "id of the request, given by its caller"}
_INSTANCE = {"instance": "id of the instance"}
_GATE = {
    "running": "requests running at the instance",
    "waiting": "requests queued at the gate",
    "limit": "requests that may run at the same time",
    "slowdown": "slowdown factor that the instance reported last",
    "slowdown_age_s": "seconds since that report",
    "rate_limit": "requests a second that it takes from all nodes together, null for no limit",
    "admissible": "requests that the rate limit admits now; negative if others wait for it",
}

_EVACUATION = {
    "domain": "the failure domain",
    "origin": "store or node",
    "peer": "the node from which it was heard, if any",
    "position": "position in the store's history at which this held",
}

_ROUTED = {
    **_REQUEST,
    "route": "name of the route",
    "service": "service of the request",
    "version": "version of the document by which it was routed",
    "confirmed_s": "seconds since the node knew that the store had no newer one",
}

_SECOND_SEND = {
    **_REQUEST,
    "route": "name of the route",
    "service": "service of the request",
    "why": "hurry, slow or target, as in `request sent again`",
}

_ANSWERED = {
    **_ROUTED,
    "status": "HTTP status of the response",
    "took_s": "seconds since the first byte of the request was read",
    "target_s": "target latency of the route in seconds",
    "sent_to": "instances that may have run it, in order",
    "refused_by": "instances whose gates declined or rejected it without running it",
}

EVENT_BY_NAME: dict[str, Event] = {
    "node started": Event(
        "The node started to listen on all its addresses.",
        {"node": "gossip address", "service": "service of this host"},
    ),
    "node leaves": Event(
        "The node received SIGTERM and starts to shut down.",
        {
            "in_flight": "callers' requests in flight",
            "forwarded": "requests running at the gate or forwarded here by other nodes",
        },
    ),
    "node left": Event(
        "The shutdown is complete.",
        {
            "idle": "whether all requests ended in time",
            "took_s": "seconds since SIGTERM",
            "gate_closed_s": "seconds from SIGTERM until the gate closed",
            "gate_idle_s": "seconds from SIGTERM until the last request at the gate had ended",
            "closing_s": "seconds from SIGTERM until connections were closed",
            "read": "callers' requests read since SIGTERM",
            "last_read_s": "seconds from SIGTERM until the last one, 0 if there was none",
            "cut": "callers' requests whose connection was closed without a response",
        },
    ),
    "settings changed": Event(
        "The settings file changed and is valid.",
        {"now": "settings applied now", "at_start": "settings that apply at the next start"},
    ),
    "changed settings are faulty, the old ones stay": Event(
        "The settings file changed and is not valid.", {"error": "the faults"}
    ),
    "document in force": Event(
        "A newer document came into force.",
        {
            "version": "its version",
            "origin": "where it came from: store or node",
            "peer": "the node that sent it, empty if it came from the store",
            "routes": "number of routes",
        },
    ),
    "document unconfirmed": Event(
        "For longer than `document_lag_s` the node has not known whether the store has a newer"
        " document: it reaches neither the store nor a node that does.",
        {"version": "version in force", "confirmed_s": "seconds since it knew"},
    ),
    "document confirmed": Event(
        "After `document unconfirmed`, the node knows again that its document is the newest.",
        {"version": "version in force", "confirmed_s": "seconds since it knew"},
    ),
    "document refused": Event(
        "A document is invalid; the one in force stays.",
        {"origin": "where it came from: store or node", "error": "what is wrong"},
    ),
    "older document ignored": Event(
        "A document with a lower version was received.",
        {"version": "its version", "have": "version in force"},
    ),
    "document from a node cannot be read": Event(
        "A document that another node sent cannot be decompressed.", {"error": "what is wrong"}
    ),
    "history of the store lost": Event(
        "The store no longer holds the changes since the last read; the document is read in full.",
        {"position": "position in the store's history up to which the node has read"},
    ),
    "store lost": Event("Reading the document from the store began to fail.", {"why": "the error"}),
    "store regained": Event("Reading the document from the store succeeded again.", {"why": ""}),
    "the store does not tell of other nodes": Event(
        "The directory of nodes could not be read; the node retries.", {"error": "the error"}
    ),
    "instance ejected": Event(
        "The instance resets connections at once and gets no requests until a probe is answered.",
        {
            "instance": "the instance",
            "pause_s": "seconds until the probe",
            "running": "runs at that time",
            "waiting": "queued requests, which are refused as not run",
        },
    ),
    "instance returned": Event(
        "An ejected instance has answered requests again, one at a time, and gets all again.",
        {"instance": "the instance"},
    ),
    "store restored": Event(
        "The store came back from an older copy: its positions start over, and what nodes wrote"
        " since is lost.",
        {
            "era": "its era now",
            "previous_era": "its era before",
            "position": "position in its changes now",
            "previous_position": "position before, of another history; 0 if already dropped",
            "version": "document in force",
        },
    ),
    "entries restored": Event(
        "After a restore of the store, this node wrote the entries of nodes that it lacked.",
        {"found": "entries in the store", "written": "entries written, also of other nodes"},
    ),
    "entry not written": Event(
        "The node's own row could not be written to the directory.", {"error": "the error"}
    ),
    "entry of a node cannot be read": Event(
        "A row of the directory of nodes is malformed and skipped.",
        {"key": "its key", "error": "what is wrong"},
    ),
    "link up": Event("A connection to another node was established.", {"peer": "its address"}),
    "link lost": Event(
        "A connection to another node ended.",
        {
            "peer": "its address",
            "reason": "what was observed",
            "waiting": "requests in flight on it",
        },
    ),
    "link silent": Event(
        "No frame arrived on a connection for too long; it is closed.",
        {"peer": "its address", "silent_s": "seconds since the last frame"},
    ),
    "frame rejected": Event(
        "Bytes from another node are not a valid frame; the connection is closed.",
        {"node": "the sender, if known", "error": "what is wrong"},
    ),
    "gate open": Event(
        "The gate opened, or the number of slots changed.",
        {
            **_INSTANCE,
            "slots": "its slots",
            "warm_in_s": "seconds until the instance has warmed up",
        },
    ),
    "gate closed": Event(
        "The gate closed: no more requests start at the instance.",
        {**_INSTANCE, "running": _GATE["running"], "waiting": _GATE["waiting"]},
    ),
    "rate limit": Event(
        "The instance named a rate limit, changed or lifted it; and about every"
        " `gate.START_WINDOW_S` while it names one.",
        {
            **_INSTANCE,
            "per_s": "requests a second that it takes from all nodes together, null for no limit",
            "previous_per_s": "the same before this response",
            "started": "requests started there within the last `gate.START_WINDOW_S`",
        },
        LogPolicy.LIMITED,
    ),
    "room shared": Event(
        "The instance was full, and requests were ordered by the shares of accounts, routes and"
        " calling hosts; at most every `gate.SHARE_REPORT_S`, with the counts since the last line.",
        {
            **_INSTANCE,
            "starved": "requests that went first, since too few of their kind were served",
            "above": "requests that went last, since their account asked for far more than usual",
            "displaced": "queued requests that were refused in favour of such with a better rank",
            "largest": "accounts with the most requests lately, and their part of all",
        },
        LogPolicy.LIMITED,
    ),
    "rate limit unreadable": Event(
        "The rate limit in a response is not a decimal number; the previous one stays in force.",
        {"value": "the header's value"},
        LogPolicy.LIMITED,
    ),
    "instance cold": Event(
        "The instance says that it is cold; until it is warm the gate starts only as many requests"
        " as its service names in the document.",
        {
            **_INSTANCE,
            "warm_in_s": "seconds for which it stays cold",
            "per_s": "requests a second that it takes while cold, from all nodes together",
            "started": "requests started there within the last second",
        },
    ),
    "instance warm": Event(
        "The time for which the instance said that it stays cold is over, or its limit was lifted.",
        {**_INSTANCE, "started": "requests started there within the last second"},
    ),
    "warm-up time unreadable": Event(
        "The time in a health response for which the instance stays cold is not a decimal number of"
        " milliseconds; it is ignored.",
        {"value": "the header's value"},
        LogPolicy.LIMITED,
    ),
    "domain evacuated": Event(
        "Operators asked that nothing more be sent to the instances of a failure domain.",
        _EVACUATION,
    ),
    "domain taken back": Event(
        "Operators removed that request; the instances of the domain are used again.",
        _EVACUATION,
    ),
    "evacuations restored": Event(
        "The store came back from an older copy without the evacuations of some failure domains;"
        " this node wrote them again, or found that another one had.",
        {"domains": "failure domains", "era": "the store's era"},
    ),
    "evacuation cannot be read": Event(
        "The key of an operators' row names no failure domain; it is ignored.",
        {"key": "key of the row"},
        LogPolicy.LIMITED,
    ),
    "gate evacuated": Event(
        "The gate closed since its failure domain is evacuated; what runs ends.",
        {**_INSTANCE, "running": _GATE["running"], "waiting": _GATE["waiting"]},
    ),
    "gate taken back": Event(
        "The gate opened since its failure domain is no longer evacuated and the instance was"
        " asked whether it is cold; or, after a start, since it is known that the domain is not.",
        {**_INSTANCE, "running": _GATE["running"], "waiting": _GATE["waiting"]},
    ),
    "instance leaves": Event(
        "The instance announced that it leaves, or said so in a response. From then on no request"
        " starts there.",
        {**_INSTANCE, "born": "its start time, as reported by it"},
    ),
    "report held": Event(
        "An announcement that the instance is ready may be older than a leaving of which this"
        " process does not know; the gate opens once a health probe confirms it.",
        {**_INSTANCE, "sequence": "its sequence number"},
    ),
    "instance met by its health": Event(
        "The gate opened since a health probe shows that the instance is ready, after the node"
        " started or after a held announcement.",
        _INSTANCE,
    ),
    "instance not taken from its health": Event(
        "A health probe did not open the gate: the instance is unhealthy or leaving.",
        {"health": "the response"},
    ),
    "probe failed": Event("The instance did not answer a probe.", {"error": "the error"}),
    "instance unreachable": Event(
        "The instance refused several connections in a row; the gate closes.", _INSTANCE
    ),
    "instance crashed": Event(
        "Its connections ended while requests ran and it accepts no new ones; these requests count"
        " as possible causes.",
        _INSTANCE,
    ),
    "report of a foreign instance": Event(
        "An announcement names a service other than that of this host.", _INSTANCE
    ),
    "stale report": Event(
        "An announcement is older than one already applied.",
        {**_INSTANCE, "sequence": "its sequence number"},
    ),
    "announcement refused": Event(
        "An announcement cannot be decoded.", {"error": "what is wrong"}, LogPolicy.LIMITED
    ),
    "slots filled": Event(
        "The gate began or stopped using the last slots, as they do or do not raise throughput.",
        {
            "which": "below (the gate leaves the last slots free) or all",
            "factor": "run time with the last slots filled, relative to that without",
        },
    ),
    "caller dropped": Event(
        "A caller's connection was closed to make room for others.",
        {"caller": "its address", "why": "what it kept occupied"},
        LogPolicy.LIMITED,
    ),
    "body refused": Event(
        "A request of another node was refused before it reached the gate.",
        {
            "node": "gossip address of that node",
            "kind": "error kind",
            "bytes": "size of a body that was to follow",
        },
        LogPolicy.LIMITED,
    ),
    "input refused": Event(
        "Input of a caller is not a valid request, or the node has no memory for it.",
        {
            "caller": "its address",
            "status": "HTTP status of the response",
            "reason": "what is wrong",
        },
        LogPolicy.LIMITED,
    ),
    "request answered": Event(
        "An instance answered a request within the target of its route.",
        _ANSWERED,
        LogPolicy.SAMPLED,
    ),
    "request late": Event(
        "An instance answered a request after the target of its route.",
        _ANSWERED,
        LogPolicy.LIMITED,
    ),
    "kind of a route is not known": Event(
        "A route has a kind that this program does not know; its requests are not repeated.",
        {"route": "name of the route", "kind": "the kind"},
    ),
    "keys of several accounts are refused": Event(
        "The document gives one key to several client accounts, so it belongs to none.",
        {"keys": "number of such keys"},
    ),
    "account refused": Event(
        "A request was refused since no client account holds its key, or since the node cannot "
        "tell; the key itself is never logged.",
        {
            **_REQUEST,
            "route": "name of the route",
            "version": "version of the document by which it was routed",
            "confirmed_s": "seconds since the node knew that the store had no newer one",
            "proof_age_s": "seconds since it could prove that, whatever happened to its clocks",
            "kind": "error kind of the response",
        },
        LogPolicy.LIMITED,
    ),
    "quota refused": Event(
        "A request was refused since its account's quota is used up, or since no node can tell.",
        {
            **_REQUEST,
            "route": "name of the route",
            "account": "name of the account",
            "version": "version of the document by which it was routed",
            "kind": "error kind of the response",
            "retry_s": "seconds after which it would pass",
        },
        LogPolicy.LIMITED,
    ),
    "quota holder changed": Event(
        "This node lends its share of some accounts' quotas to another node from now on.",
        {
            "slot": "number of the part of the accounts",
            "holder": "node that grants tokens of them",
            "former": "node that did so before, null for none",
        },
        LogPolicy.LIMITED,
    ),
    "quotas released": Event(
        "This node gave up the quotas that others had lent to it.",
        {
            "lenders": "number of nodes that lent to it",
            "leaving": "whether it leaves; otherwise another node ranks higher",
        },
    ),
    "request given up": Event(
        "A request got an error response, since no instance answered it.",
        {
            **_ROUTED,
            "kind": "error kind of the response",
            "sent_to": "instances that may have run it, in order",
            "refused_by": "instances whose gates declined or rejected it without running it",
            "waited_s": "seconds since the first byte of the request was read",
            "left_s": "seconds left until its deadline",
        },
        LogPolicy.LIMITED,
    ),
    "request cancelled": Event(
        "A request ended without a response: its caller disconnected, or this node stopped.",
        {
            **_ROUTED,
            "leaving": "whether this node is shutting down",
            "sent_to": "instances that may have run it, except by the send that was cancelled",
            "refused_by": "instances whose gates declined or rejected it without running it",
            "waited_s": "seconds since the first byte of the request was read",
            "left_s": "seconds left until its deadline",
        },
        LogPolicy.LIMITED,
    ),
    "request failed": Event(
        "An unexpected exception in the node ended a request.", {"error": "the exception"}
    ),
    "instance known to leave": Event(
        "An upstream of this or another host announced that it leaves (`peridottrack node`).",
        _INSTANCE,
    ),
    "row cannot be read": Event(
        "A row of the table cannot be decoded, and is passed over (`peridottrack node`).",
        {"error": "what is wrong"},
        LogPolicy.LIMITED,
    ),
    "background work failed": Event(
        "An unexpected exception ended a step of the node's background work, which goes on.",
        {"work": "its function", "error": "the exception"},
        LogPolicy.LIMITED,
    ),
    "request sent again": Event(
        "A request is retried or hedged at another instance.",
        {
            **_REQUEST,
            "why": "hurry (the earlier run began in a slow period, or its node is unresponsive),"
            " slow (it takes longer than its like), target (it would miss the target) or the error"
            " kind of the earlier send",
            "instance": "id of the instance that it is sent to now",
            "sent_to": "instances that may have run it before, in order",
        },
        LogPolicy.LIMITED,
    ),
    "second send ended": Event(
        "One of the two sends of a request was answered, or both ended without an answer.",
        {
            **_SECOND_SEND,
            "result": "won (the second was answered first), lost (the first was), failed or"
            " cancelled (the caller left or the deadline passed)",
            "instance": "id of the instance of the second send",
            "after_s": "seconds from the first send to the second",
            "took_s": "seconds from the second send to its end",
        },
        LogPolicy.LIMITED,
    ),
    "second send denied": Event(
        "A request that takes long was not sent a second time.",
        {
            **_SECOND_SEND,
            "reason": "not_allowed (attempts or time), crowded (the service is short of free"
            " slots), no_room (no other instance is known to have one), limit (hedge_share) or"
            " budget (second_ratio)",
        },
        LogPolicy.LIMITED,
    ),
    "send refused": Event(
        "A gate rejected a request, or its instance did not answer it.",
        {
            **_REQUEST,
            **_INSTANCE,
            "kind": "error kind",
            "ran": "whether it ran: no or unknown",
            "why": "what was observed",
            "left_s": "seconds left until its deadline",
            **_GATE,
        },
        LogPolicy.LIMITED,
    ),
    "send lost": Event(
        "The link to a gate ended, or the outcome of a request did not arrive in time.",
        {**_REQUEST, **_INSTANCE, "why": "what was observed"},
        LogPolicy.LIMITED,
    ),
    "lines withheld": Event(
        "Lines of an event were withheld by its policy since the last such report.",
        {"of": "name of the event", "count": "number of lines"},
    ),
    "lines dropped": Event(
        "Lines were lost since the reader of the log was too slow.", {"count": "number of lines"}
    ),
}


def reference() -> str:
    """Return the reference of all events as Markdown."""
    lines = ["# Events", "", "Generated from `peridottrack.events` by `peridottrack events`.", ""]
    for name, event in EVENT_BY_NAME.items():
        lines += [f"## {name}", "", f"{event.when} Written {event.policy.value}.", ""]
        lines += [f"- `{field}`: {meaning or 'empty'}" for field, meaning in event.fields.items()]
        lines.append("")
    return "\n".join(lines)
