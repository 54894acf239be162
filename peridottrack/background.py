"""Background work of a node that must not end while the process runs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from peridottrack import log

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
            log.logger.exception(
                "background work failed",
                work=getattr(work, "__qualname__", repr(work)),
                error=repr(error),
            )
            await asyncio.sleep(RESTART_PAUSE_S)
