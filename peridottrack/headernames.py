"""Names of the headers that callers, nodes and instances use; a deployment may set its own."""

from __future__ import annotations

from dataclasses import dataclass

MAX_FIGURE = 0xFFFF
"""Largest figure of a load report; other nodes are told of it in 16 bits."""


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """Load report of an instance in a response.

    Parameters
    ----------
    slowdown
        How many times longer than usual work currently takes on its host.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def read_load(text: str) -> LoadFigures | None:
    """Parse running, waiting, slots and, optionally, the work time in percent of the usual."""
    parts = text.split(",")
    try:
        figures = [int(part) for part in parts]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0 or max(figures) > MAX_FIGURE:
        return None
    slowdown = max(figures[3] / 100.0, 0.1) if len(figures) > 3 else 1.0
    return LoadFigures(figures[0], figures[1], figures[2], slowdown)


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in lower case.

    Parameters
    ----------
    request_id
        Id of one attempt of a caller; instances echo it.
    deadline_ms
        Milliseconds until the caller's deadline.
    target
        Id of the instance that a request is addressed to.
    not_run
        Present in a response if the instance did not run the request.
    load
        Load report of the instance, see `read_load`.
    caller_service
        Service of the host where the request originated.
    instance_id
        Id of the instance that responded.
    signature
        Present in a response that the instance itself produced.
    rate_limit
        Requests a second that the instance takes from all nodes together, while it names a limit.
    leaving
        ``1`` in the responses of an instance that is about to stop.
    warm_in_ms
        Milliseconds that an instance stays cold, in its health responses.
    account
        Name of the client account that sent a request; set for the instance.
    """

    request_id: str = "peridot-request-id"
    deadline_ms: str = "peridot-deadline-ms"
    target: str = "peridot-target"
    not_run: str = "peridot-not-run"
    load: str = "peridot-load"
    caller_service: str = "peridot-caller-service"
    instance_id: str = "peridot-instance"
    signature: str = "peridot-signature"
    rate_limit: str = "peridot-rate-limit"
    leaving: str = "peridot-leaving"
    warm_in_ms: str = "peridot-warm-in-ms"
    account: str = "peridot-account"
