"""Every event that a node with a gate logs: its fields with units, and when it is written.

`docs/EVENTS.md` is made from this table, and tests hold the code to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class LogPolicy(Enum):
    """How many lines of an event are written."""

    ALWAYS = "always"
    LIMITED = "up to a rate, the rest counted"
    SAMPLED = "one in some, the rest counted"


@dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Parameters
    ----------
    fields
        Meaning of each field, with its unit.
    """

    when: str
    fields: dict[str, str]
    policy: LogPolicy = LogPolicy.ALWAYS


_REQUEST = {"request": "the caller's id of the request"}
_INSTANCE = {"instance": "id of the instance"}
_GATE = {
    "running": "requests that run at the instance",
    "waiting": "requests that wait at the gate",
    "limit": "requests that may run",
    "slowdown": "factor that the instance said last",
    "slowdown_age_s": "seconds since it said so",
}

_ANSWERED = {
    **_REQUEST,
    "route": "name of the route",
    "service": "service that it was sent to",
    "status": "status of the answer",
    "took_s": "seconds since its first byte was read",
    "target_s": "seconds within which it should have been answered",
    "sent_to": "instances that may have run it, in order",
    "refused_by": "instances whose gates did not run it",
}

EVENT_BY_NAME: dict[str, Event] = {
    "node started": Event(
        "The node listens on all its addresses.",
        {"node": "gossip address", "service": "service of this host"},
    ),
    "node leaves": Event(
        "SIGTERM came.",
        {"in_flight": "callers' requests at work", "forwarded": "requests at the gate"},
    ),
    "node left": Event(
        "The shutdown is over.",
        {"idle": "whether all work was done in time", "took_s": "seconds since SIGTERM"},
    ),
    "settings changed": Event(
        "The settings file differs and is valid.",
        {"now": "settings taken over", "at_start": "settings that wait for the next start"},
    ),
    "changed settings are faulty, the old ones stay": Event(
        "The settings file differs and is not valid.", {"error": "the faults"}
    ),
    "document in force": Event(
        "A newer document was taken in.",
        {"version": "its version", "origin": "store or node", "routes": "number of routes"},
    ),
    "document refused": Event(
        "A document cannot be read; the one in force stays.",
        {"origin": "store or node", "error": "what is wrong"},
    ),
    "older document ignored": Event(
        "A document with a lower version came.",
        {"version": "its version", "have": "version in force"},
    ),
    "document from a node cannot be read": Event(
        "The bytes that a node sent do not inflate.", {"error": "what is wrong"}
    ),
    "history of the store lost": Event(
        "The store forgot the changes since the last look; the document is read anew.",
        {"position": "the last look"},
    ),
    "store lost": Event("A call to the store failed after one that did not.", {"why": "error"}),
    "store regained": Event("A call to the store succeeded after one that failed.", {"why": ""}),
    "the store does not tell of other nodes": Event(
        "The directory of nodes could not be read; it is tried again.", {"error": "error"}
    ),
    "entry not written": Event("The node's row could not be written.", {"error": "error"}),
    "entry of a node cannot be read": Event(
        "A row of the directory is malformed.", {"key": "its key", "error": "what is wrong"}
    ),
    "link up": Event("A connection to another node came about.", {"peer": "its address"}),
    "link lost": Event(
        "A connection to another node ended.",
        {
            "peer": "its address",
            "reason": "what was seen",
            "waiting": "requests that waited for an answer on it",
        },
    ),
    "link silent": Event(
        "Nothing came on a connection for too long.",
        {"peer": "its address", "silent_s": "seconds of silence"},
    ),
    "frame rejected": Event(
        "Bytes from another node are no frame; the connection ends.",
        {"node": "who sent them, if known", "error": "what is wrong"},
    ),
    "gate open": Event(
        "The instance takes requests.",
        {**_INSTANCE, "slots": "its slots", "warm_in_s": "seconds for which it is still slow"},
    ),
    "gate closed": Event(
        "Nothing more starts at the instance.",
        {**_INSTANCE, "running": _GATE["running"], "waiting": _GATE["waiting"]},
    ),
    "instance leaves": Event(
        "The instance said that it leaves; the answer to it binds.",
        {**_INSTANCE, "born": "its start, as it says"},
    ),
    "instance met by its health": Event("The gate opened before the instance's word.", _INSTANCE),
    "instance not taken from its health": Event(
        "The instance is not well or does not say who it is.", {"health": "its answer"}
    ),
    "probe failed": Event("The instance did not answer a probe.", {"error": "error"}),
    "instance unreachable": Event("The instance refused connections in a row.", _INSTANCE),
    "instance crashed": Event(
        "Its connections broke at once and it accepts none; what it ran is suspected.", _INSTANCE
    ),
    "report of a foreign instance": Event(
        "An announcement names a service that is not this host's.", _INSTANCE
    ),
    "stale report": Event(
        "An announcement is older than one taken in before.",
        {**_INSTANCE, "sequence": "its number"},
    ),
    "announcement refused": Event(
        "An announcement cannot be read.", {"error": "what is wrong"}, LogPolicy.LIMITED
    ),
    "slots filled": Event(
        "It was found out whether the last slots bring anything.",
        {"which": "below (the last slots stay free) or all", "factor": "run time above to below"},
    ),
    "input refused": Event(
        "Bytes of a caller are no valid request.",
        {"caller": "its address", "status": "status of the answer", "reason": "what is wrong"},
        LogPolicy.LIMITED,
    ),
    "request answered": Event(
        "A request was answered by an instance.",
        _ANSWERED,
        LogPolicy.SAMPLED,
    ),
    "request late": Event(
        "The same, after the route's target.",
        _ANSWERED,
        LogPolicy.LIMITED,
    ),
    "request given up": Event(
        "A request got an error answer.",
        {
            **_REQUEST,
            "route": "name of the route",
            "service": "service that it was sent to",
            "kind": "error kind of the last try",
            "sent_to": "instances that may have run it, in order",
            "refused_by": "instances whose gates did not run it",
            "waited_s": "seconds since its first byte was read",
            "left_s": "seconds that it still had",
        },
        LogPolicy.LIMITED,
    ),
    "request failed": Event("The node itself failed on a request.", {"error": "the exception"}),
    "request sent again": Event(
        "A second send of a request that may be repeated.",
        {
            **_REQUEST,
            "why": "hurry (its run began in a slow spell, or its host is silent) or the error kind",
            "instance": "where it goes now",
            "sent_to": "instances that may have run it before",
        },
        LogPolicy.LIMITED,
    ),
    "send refused": Event(
        "A gate or its instance did not answer a request.",
        {
            **_REQUEST,
            **_INSTANCE,
            "kind": "error kind",
            "ran": "no, or unknown",
            "why": "what was seen",
            "left_s": "seconds that the request still had",
            **_GATE,
        },
        LogPolicy.LIMITED,
    ),
    "send lost": Event(
        "The link to a gate ended, or its last word did not come in time.",
        {**_REQUEST, **_INSTANCE, "why": "what was seen"},
        LogPolicy.LIMITED,
    ),
    "lines withheld": Event(
        "So many lines of an event were not written since the last such line.",
        {"of": "the event", "count": "lines"},
    ),
    "lines dropped": Event(
        "The reader of the log was too slow; so many lines are lost.", {"count": "lines"}
    ),
}


def reference() -> str:
    """Return the table as Markdown."""
    lines = ["# Events", "", "Made from `peridottrack.events` by `peridottrack events`.", ""]
    for name, event in EVENT_BY_NAME.items():
        lines += [f"## {name}", "", f"{event.when} Written {event.policy.value}.", ""]
        lines += [f"- `{field}`: {meaning or 'empty'}" for field, meaning in event.fields.items()]
        lines.append("")
    return "\n".join(lines)
