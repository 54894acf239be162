"""Which numbers are a status of HTTP; parsers take any three digits."""

from __future__ import annotations

MIN_INTERIM_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
"""Bounds of interim and final statuses (RFC 9110, section 15)."""


def is_interim(status: int) -> bool:
    """Return whether a response is followed by another one to the same request."""
    return MIN_INTERIM_STATUS <= status < MIN_FINAL_STATUS


def is_final(status: int) -> bool:
    """Return whether a status is one of a final response."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS
