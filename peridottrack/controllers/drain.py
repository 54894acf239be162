"""Graceful shutdown of a node: when it rejects calls and when it may stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any

from peridottrack.metrics import Metrics
from peridottrack.types import Clock

LEAVE_GRACE_S = 3.0
POLL_INTERVAL_S = 0.02


class NodeState(Enum):
    """Lifecycle states of a node."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


class DrainController:
    """Counts calls in flight and lets a shutdown wait for them.

    While leaving, the node keeps serving for `LEAVE_GRACE_S` seconds, because callers and nodes
    that have not learned of it yet still send calls; then it rejects new calls as not run.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self.state = NodeState.SERVING
        self.in_flight = 0
        self._rejects_from = float("inf")

    @property
    def rejects_calls(self) -> bool:
        """Whether new calls are rejected."""
        return self._clock.now() >= self._rejects_from

    @property
    def is_leaving(self) -> bool:
        """Whether the node is leaving; connections are then closed after the response."""
        return self.state is not NodeState.SERVING

    def call_started(self) -> None:
        """Count a call in flight."""
        self.in_flight += 1
        self._metrics.in_flight.set(self.in_flight)

    def call_ended(self) -> None:
        """Stop counting a call whose response was sent or abandoned."""
        self.in_flight -= 1
        self._metrics.in_flight.set(self.in_flight)

    def leave(self) -> None:
        """Start the graceful shutdown."""
        if self.state is NodeState.SERVING:
            self.state = NodeState.LEAVING
            self._rejects_from = self._clock.now() + LEAVE_GRACE_S

    async def wait_idle(self, timeout_s: float, abandoned: Callable[[], int] = lambda: 0) -> bool:
        """Wait until new calls are rejected and none is in flight, then close; False on timeout.

        Parameters
        ----------
        abandoned
            Returns the number of calls that go on although their callers have disconnected.
        """
        deadline = self._clock.now() + timeout_s
        while self._clock.now() < deadline:
            if self.rejects_calls and not self.in_flight and not abandoned():
                self.state = NodeState.CLOSED
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {"state": self.state.value, "in_flight": self.in_flight}
