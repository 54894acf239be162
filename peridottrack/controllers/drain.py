"""Whether this node takes calls, and what a graceful shutdown waits for."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Any

from peridottrack.metrics import Metrics
from peridottrack.types import Clock

ANNOUNCE_S = 3.0
CHECK_S = 0.02


class NodeState(Enum):
    """Stages of a node's life."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


class DrainController:
    """Counts calls in flight and lets a shutdown wait for them.

    While leaving, the node goes on serving for `ANNOUNCE_S` seconds, since callers and nodes
    that have not heard yet still send; then it refuses new calls as not run.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self.state = NodeState.SERVING
        self.in_flight = 0
        self._refuses_from = float("inf")

    @property
    def rejects_calls(self) -> bool:
        """Whether new calls are refused."""
        return self._clock.now() >= self._refuses_from

    @property
    def is_leaving(self) -> bool:
        """Whether connections should be closed after the answer."""
        return self.state is not NodeState.SERVING

    def call_started(self) -> None:
        """Note a call."""
        self.in_flight += 1
        self._metrics.in_flight.set(self.in_flight)

    def call_ended(self) -> None:
        """Note that a call's answer was sent or given up."""
        self.in_flight -= 1
        self._metrics.in_flight.set(self.in_flight)

    def leave(self) -> None:
        """Begin to leave."""
        if self.state is NodeState.SERVING:
            self.state = NodeState.LEAVING
            self._refuses_from = self._clock.now() + ANNOUNCE_S

    async def wait_idle(self, within_s: float) -> bool:
        """Wait until nobody needs this node any more; False if the time ran out."""
        give_up_at = self._clock.now() + within_s
        while self._clock.now() < give_up_at:
            if self.rejects_calls and not self.in_flight:
                self.state = NodeState.CLOSED
                return True
            await asyncio.sleep(CHECK_S)
        return False

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {"state": self.state.value, "in_flight": self.in_flight}
