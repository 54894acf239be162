"""Opens the gate of a node that has just started, once its instance says that it is ready.

The health check of an instance that leaves fails. A status report says only what held when it was
sent, which may have been before a leaving that an earlier process of this node acknowledged.
"""

from __future__ import annotations

import asyncio
import contextlib

from peridottrack import log
from peridottrack.controllers.localinstance import LocalInstanceController
from peridottrack.controllers.probe import Prober

RETRY_PAUSES_S = (0.1, 0.2, 0.4, 0.8)
"""Pauses after health checks that confirm nothing: an instance may be full for a moment. After the
last one, the next status report of the instance is awaited."""


class ConfirmationController:
    """Checks the health of the local instance while the gate awaits that.

    Parameters
    ----------
    local_instance
        Gets the result; it decides whether the gate opens.
    """

    def __init__(self, prober: Prober, local_instance: LocalInstanceController) -> None:
        self._prober = prober
        self._local_instance = local_instance
        self._requested = asyncio.Event()
        self._checked = asyncio.Event()

    def request(self) -> None:
        """Check the health now if the gate awaits that."""
        self._requested.set()

    async def request_and_wait(self) -> None:
        """Check the health now, and return once that has been done."""
        self._checked.clear()
        self.request()
        await self._checked.wait()

    async def run(self) -> None:
        """Check the health on request, and again until it confirms something; never returns."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            await self._check_until_confirmed()

    async def _check_until_confirmed(self) -> None:
        for pause_s in RETRY_PAUSES_S:
            confirmed = not self._local_instance.awaits_confirmation or await self._check()
            self._checked.set()
            if confirmed:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._requested.wait()
            if self._requested.is_set():
                return

    async def _check(self) -> bool:
        """Check the health once; return whether the gate was opened."""
        leavings = self._local_instance.leavings
        health = await self._prober.probe(new_connection=True)
        if health is None or not health.instance:
            return False
        if not health.healthy or health.stated.leaving:
            log.event("instance not taken from its health", health=str(health))
            return False
        load = health.stated.load
        slots = load.slots if load is not None else None
        if not self._local_instance.confirm(health.instance, slots, leavings):
            return False
        log.event("instance met by its health", instance=health.instance)
        # The gate knows the instance only now.
        self._prober.on_response(health.stated, health.instance)
        return True
