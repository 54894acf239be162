"""Entries that another writer left, for tests of the places that read such bytes."""

from __future__ import annotations

import json
from typing import Any

DEEP_LISTS = b"[" * 20_000 + b"]" * 20_000
DEEP_OBJECTS = b'{"a":' * 8_000 + b"1" + b"}" * 8_000
HUGE_INTEGER = 10**400
ODD_BYTES = {
    "deep lists": DEEP_LISTS,
    "deep objects": DEEP_OBJECTS,
    "not JSON": b"\xff\x00{",
    "empty": b"",
    "null": b"null",
    "list": b"[1]",
    "text": b'"text"',
    "number": b"7",
    "infinite number": b"1e999",
    "many digits": b"9" * 5_000,
}
ODD_VALUES: dict[str, Any] = {
    "null": None,
    "bool": True,
    "text": "x",
    "empty text": "",
    "negative": -1,
    "2**64": 2**64,
    "huge integer": HUGE_INTEGER,
    "float": 1.5,
    "list": [1],
    "object": {"a": 1},
    "surrogate": "\ud800",
    "long text": "x" * 70_000,
}


def changed_entries(entry: dict[str, Any], path: tuple[str, ...] = ()) -> dict[str, dict[str, Any]]:
    """Return variants of an entry: each field missing, or with each odd value, by description."""
    variants: dict[str, dict[str, Any]] = {}
    for key, value in entry.items():
        name = ".".join((*path, key))
        variants[f"{name} missing"] = {k: v for k, v in entry.items() if k != key}
        for odd_name, odd in ODD_VALUES.items():
            if type(odd) is not type(value) or odd_name in ("surrogate", "long text", "2**64"):
                variants[f"{name} {odd_name}"] = {**entry, key: odd}
        if isinstance(value, dict):
            for inner_name, inner in changed_entries(value, (*path, key)).items():
                variants[inner_name] = {**entry, key: inner}
    return variants


def encoded(variants: dict[str, Any]) -> dict[str, bytes]:
    """Return entries as JSON, with those that are no JSON object at all."""
    return {**ODD_BYTES, **{name: json.dumps(data).encode() for name, data in variants.items()}}
