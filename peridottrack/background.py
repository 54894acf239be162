"""Background work of a node that must not end while the process runs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from peridottrack import log

T = TypeVar("T")

RESTART_PAUSE_S = 0.5
"""Pause before work that failed is started again."""


async def keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` until it returns; log an exception that it raises, and start it again.

    Without this, a fault in one kind of work would leave a process that serves on but no longer
    learns of members or documents.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            log_failure(work, error)
            await asyncio.sleep(RESTART_PAUSE_S)


def log_errors(work: Callable[[T], object]) -> Callable[[T], None]:
    """Return ``work`` with its exceptions logged, for a caller that has others to call after it."""

    def logged(argument: T) -> None:
        try:
            work(argument)
        except Exception as error:
            log_failure(work, error)

    return logged


def log_failure(work: Callable[..., object], error: Exception) -> None:
    """Log an exception that ended a step of ``work``; to be called while it is handled."""
    name = getattr(work, "__qualname__", repr(work))
    log.logger.exception("background work failed", work=name, error=repr(error))
