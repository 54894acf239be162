"""Routes to a gate, over a link or within the process, behind one interface for placement."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from peridottrack.controllers.gate import GateController
from peridottrack.frames import ForwardedRequest, Frame, GateLoad, InstanceResponse, Refusal
from peridottrack.types import Clock, FailureDomain

Outcome = InstanceResponse | Refusal
OnHedgeHint = Callable[[], None]


class GateRoute(Protocol):
    """A route to a gate, over a link or within the process."""

    domain: FailureDomain

    @property
    def load(self) -> GateLoad | None:
        """The gate's last load report, None before the first."""
        ...

    @property
    def received_at(self) -> float:
        """When the last message of the gate was received, by this node's clock."""
        ...

    @property
    def load_received_at(self) -> float:
        """When the last load report was received, by this node's clock."""
        ...

    @property
    def usable(self) -> bool:
        """Whether requests can be sent now."""
        ...

    def sent_since_report(self) -> int:
        """Number of requests sent after the last load report was received."""
        ...

    async def send_request(
        self, request: ForwardedRequest, on_hedge_hint: OnHedgeHint = lambda: None
    ) -> Outcome:
        """Send a request and wait for its outcome; cancelling this call cancels the request.

        Parameters
        ----------
        on_hedge_hint
            Called if the run started in a slow period, so that a hedge would be answered first.

        Raises
        ------
        LinkLost
            If the connection was lost first; the request may have run.
        """
        ...


class LocalRoute:
    """Route to the gate of this process."""

    def __init__(self, gate: GateController, domain: FailureDomain, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock
        self.domain = domain

    @property
    def instance_leaves(self) -> bool:
        """Whether the instance has announced that it leaves."""
        return self._gate.gate.local_instance.leaving

    @property
    def load(self) -> GateLoad | None:
        """The gate's current load."""
        return self._gate.gate.load()

    @property
    def received_at(self) -> float:
        """The current time, as the load is always current."""
        return self._clock.now()

    @property
    def load_received_at(self) -> float:
        """The current time, as the load is always current."""
        return self._clock.now()

    @property
    def usable(self) -> bool:
        """Always True: the gate is in this process."""
        return True

    def sent_since_report(self) -> int:
        """Always 0: the load includes all requests."""
        return 0

    async def send_request(
        self, request: ForwardedRequest, on_hedge_hint: OnHedgeHint = lambda: None
    ) -> Outcome:
        """Pass a request to the gate and wait for its outcome."""
        future: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        task = self._gate.start(request, future.set_result, lambda hint: on_hedge_hint())
        try:
            outcome = await future
        except asyncio.CancelledError:
            task.cancel()
            raise
        assert isinstance(outcome, InstanceResponse | Refusal)
        return outcome
