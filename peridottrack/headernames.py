"""Names of the headers that callers, nodes and instances use; a deployment may have its own."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """What an instance says of its load in an answer.

    Parameters
    ----------
    slowdown
        How many times longer than usual work takes on its host at this moment.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def read_load(text: str) -> LoadFigures | None:
    """Read running, waiting, slots and, if present, the work time in percent of the usual."""
    parts = text.split(",")
    try:
        figures = [int(part) for part in parts]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0:
        return None
    slowdown = max(figures[3] / 100.0, 0.1) if len(figures) > 3 else 1.0
    return LoadFigures(figures[0], figures[1], figures[2], slowdown)


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in lower case.

    Parameters
    ----------
    request_id
        Identifies one attempt of a caller; instances echo it.
    deadline_ms
        Milliseconds that the caller still waits.
    target
        The instance that a request is meant for.
    not_run
        Present in an answer whose request the instance did not run.
    load
        Load figures of the instance, see `read_load`.
    caller_service
        Service of the host at which the request began.
    instance_id
        The instance that answered.
    signature
        Marks an instance's own answer.
    """

    request_id: str = "peridot-request-id"
    deadline_ms: str = "peridot-deadline-ms"
    target: str = "peridot-target"
    not_run: str = "peridot-not-run"
    load: str = "peridot-load"
    caller_service: str = "peridot-caller-service"
    instance_id: str = "peridot-instance"
    signature: str = "peridot-signature"
