"""What an instance says of itself in the headers of a response."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from peridottrack import log
from peridottrack.headerblock import Header, header_value
from peridottrack.headernames import HeaderNames, LoadFigures, read_load

LEAVING_VALUE = "1"
MAX_WARM_IN_S = 1e6
"""Longest time for which an instance may say that it stays cold."""


@dataclass(frozen=True, slots=True)
class InstanceHeaders:
    """The statements in one response.

    Parameters
    ----------
    load
        Load report, None if there is none.
    rate_limit
        Requests a second that the instance takes from all nodes together, infinite if it names no
        limit, None if the limit cannot be read.
    leaving
        Whether the instance takes no new requests since it is about to stop.
    warm_in_s
        Seconds for which the instance stays cold, None if it does not say or cannot be read.
    """

    load: LoadFigures | None = None
    rate_limit: float | None = math.inf
    leaving: bool = False
    warm_in_s: float | None = None


class InstanceHeaderReader:
    """Reads these statements from response headers."""

    def __init__(self, names: HeaderNames) -> None:
        self._load_name = names.load.encode()
        self._rate_limit_name = names.rate_limit.encode()
        self._leaving_name = names.leaving.encode()
        self._warm_in_name = names.warm_in_ms.encode()

    def read(self, headers: Iterable[Header]) -> InstanceHeaders:
        """Return the statements of a response."""
        pairs = list(headers)
        load = _text(pairs, self._load_name)
        return InstanceHeaders(
            read_load(load) if load is not None else None,
            _read_rate_limit(_text(pairs, self._rate_limit_name)),
            _text(pairs, self._leaving_name) == LEAVING_VALUE,
            _read_warm_in(_text(pairs, self._warm_in_name)),
        )


def _text(headers: list[Header], name: bytes) -> str | None:
    value = header_value(headers, name)
    return value.decode("latin-1").strip() if value is not None else None


def _read_rate_limit(text: str | None) -> float | None:
    if text is None:
        return math.inf
    try:
        per_s = float(text)
    except ValueError:
        per_s = math.nan
    if not math.isfinite(per_s) or per_s < 0:
        log.warning("rate limit unreadable", value=text[:40])
        return None
    return per_s


def _read_warm_in(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        warm_in_s = float(text) / 1000
    except ValueError:
        warm_in_s = math.nan
    if not 0 <= warm_in_s <= MAX_WARM_IN_S:
        log.warning("warm-up time unreadable", value=text[:40])
        return None
    return warm_in_s
