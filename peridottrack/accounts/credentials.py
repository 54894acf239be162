"""Reads the key of a client account from a request's headers (RFC 6750, section 2.1)."""

from __future__ import annotations

import re
from collections.abc import Iterable
from enum import Enum

from peridottrack.headerblock import Header

AUTHORIZATION = b"authorization"
_BEARER = re.compile(rb"[ \t]*bearer +([!-~]+)[ \t]*", re.IGNORECASE)


class CredentialState(Enum):
    """What the headers of a request say about its key."""

    ABSENT = "absent"
    PRESENT = "present"
    MALFORMED = "malformed"
    REPEATED = "repeated"


def read_key(headers: Iterable[Header]) -> tuple[CredentialState, bytes]:
    """Return whether a request carries a key, and the key if its state is ``PRESENT``."""
    values = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if not values:
        return CredentialState.ABSENT, b""
    if len(values) > 1:
        return CredentialState.REPEATED, b""
    match = _BEARER.fullmatch(values[0])
    if match is None:
        return CredentialState.MALFORMED, b""
    return CredentialState.PRESENT, match.group(1)
