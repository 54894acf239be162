"""Decodes JSON that others wrote: rows of the store, announcements, responses.

Whatever the bytes are, the only exception is `ValueError`, so that a caller can pass over one entry
that cannot be read and keep the others.
"""

from __future__ import annotations

import json
import math
from typing import Any

MAX_UINT16 = 0xFFFF
MAX_INT64 = (1 << 63) - 1
MAX_TEXT_LENGTH = 200
"""Longest id or name; also the limit of the platform's store."""


def decode_json(data: bytes | str) -> Any:
    """Decode JSON text.

    Raises
    ------
    ValueError
        If it is not JSON, is nested too deeply, or has a number that is not finite.
    """
    try:
        return json.loads(data, parse_float=_finite, parse_constant=_reject_constant)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number {text[:40]} is too large")
    return number


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a number")


def require_object(value: Any, name: str) -> dict[str, Any]:
    """Return a value that must be a JSON object."""
    if not isinstance(value, dict):
        raise ValueError(f"{name} is missing or not an object")
    return value


def require_list(value: Any, name: str) -> list[Any]:
    """Return a value that must be a JSON array."""
    if not isinstance(value, list):
        raise ValueError(f"{name} is missing or not a list")
    return value


def require_text(value: Any, name: str, max_length: int = MAX_TEXT_LENGTH) -> str:
    """Return a value that must be a text of limited length."""
    if not isinstance(value, str):
        raise ValueError(f"{name} is missing or not a text")
    if len(value) > max_length:
        raise ValueError(f"{name} is longer than {max_length} characters")
    # Lone surrogates, which JSON may contain, cannot be sent.
    value.encode()
    return value


def require_integer(value: Any, name: str, lowest: int, highest: int) -> int:
    """Return a value that must be an integer in a range, both ends included."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is missing or not an integer")
    if not lowest <= value <= highest:
        raise ValueError(f"{name} is not between {lowest} and {highest}")
    return value


def require_number(value: Any, name: str, lowest: float, highest: float) -> float:
    """Return a value that must be a number in a range, both ends included."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is missing or not a number")
    if not lowest <= value <= highest:
        raise ValueError(f"{name} is not between {lowest} and {highest}")
    return float(value)
