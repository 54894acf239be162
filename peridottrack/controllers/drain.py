"""Graceful shutdown of a node: when it rejects calls and when it may stop."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

from peridottrack.call import Call
from peridottrack.metrics import Metrics
from peridottrack.runtimes import LONGEST_TO_FINISH, LongestTime
from peridottrack.types import Clock, ServiceName

LEAVE_GRACE_S = 3.0
POLL_INTERVAL_S = 0.02
SETTLE_S = 1.0
"""Longest time kept for settling claims after calls have to end, and again for answers."""
GRACE_SHARE = 0.5
"""Largest share of a shutdown in which the node still serves."""
SETTLE_SHARE = 0.25
"""Largest share of a shutdown for settling claims, and again for answers."""


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
        self._rejects_from = float("inf")
        self._run_by = float("inf")
        self._settle_s = 0.0
        self._calls: dict[int, Call] = {}
        self._longest_time_by_service: defaultdict[ServiceName, LongestTime] = defaultdict(
            LongestTime
        )

    @property
    def rejects_calls(self) -> bool:
        """Whether new calls are rejected."""
        return self._clock.now() >= self._rejects_from

    @property
    def is_leaving(self) -> bool:
        """Whether the node is leaving; connections are then closed after the response."""
        return self.state is not NodeState.SERVING

    @property
    def in_flight(self) -> int:
        """Number of calls in flight."""
        return len(self._calls)

    def call_started(self, call: Call) -> None:
        """Count a call in flight; while leaving, limit it to what is left of the shutdown."""
        self._calls[id(call)] = call
        self._metrics.in_flight.set(self.in_flight)
        if self.is_leaving:
            call.limit(self._run_by, self._settle_s)

    def call_ended(self, call: Call) -> None:
        """Stop counting a call whose response was sent or abandoned."""
        del self._calls[id(call)]
        if call.route is not None:
            now = self._clock.now()
            self._longest_time_by_service[call.service].add(now - call.started_at, now)
        self._metrics.in_flight.set(self.in_flight)

    def may_cut_off(self, call: Call) -> bool:
        """Return whether the end of the node would cut off a call as long as recent ones."""
        if not (self.is_leaving and call.is_limited):
            return False
        now = self._clock.now()
        longest_s = self._longest_time_by_service[call.service].get(now)
        return self._run_by - now < LONGEST_TO_FINISH * longest_s

    def leave(self, timeout_s: float, abandoned: Iterable[Call] = ()) -> None:
        """Start the graceful shutdown, and limit all calls so that each can be answered.

        Parameters
        ----------
        timeout_s
            Duration of the shutdown.
        abandoned
            Calls that go on although their callers have disconnected.
        """
        if self.state is not NodeState.SERVING:
            return
        now = self._clock.now()
        self.state = NodeState.LEAVING
        self._rejects_from = now + min(LEAVE_GRACE_S, timeout_s * GRACE_SHARE)
        self._settle_s = min(SETTLE_S, timeout_s * SETTLE_SHARE)
        self._run_by = now + timeout_s - 2 * self._settle_s
        for call in {**self._calls, **{id(call): call for call in abandoned}}.values():
            call.limit(self._run_by, self._settle_s)

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
