"""Ways to a gate, over a link or within the process, as those who choose among them see them."""

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
    """A way to a gate, over a link or within the process."""

    domain: FailureDomain

    @property
    def load(self) -> GateLoad | None:
        """What the gate said last."""
        ...

    @property
    def received_at(self) -> float:
        """When it said anything, by this node's clock."""
        ...

    @property
    def usable(self) -> bool:
        """Whether requests may be sent now."""
        ...

    def sent_since_report(self) -> int:
        """Requests sent after the load figures came."""
        ...

    async def send_request(
        self, request: ForwardedRequest, on_hedge_hint: OnHedgeHint = lambda: None
    ) -> Outcome:
        """Send a request and wait for its outcome; cancelling it gives the request up.

        Parameters
        ----------
        on_hedge_hint
            Called if a second send would be answered first.

        Raises
        ------
        LinkLost
            If the connection ended first; the request may have run.
        """
        ...


class LocalRoute:
    """The gate of this very process."""

    def __init__(self, gate: GateController, domain: FailureDomain, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock
        self.domain = domain

    @property
    def load(self) -> GateLoad | None:
        """The gate's figures, always fresh."""
        return self._gate.gate.load()

    @property
    def received_at(self) -> float:
        """Now."""
        return self._clock.now()

    @property
    def usable(self) -> bool:
        """A gate within the process is always reached."""
        return True

    def sent_since_report(self) -> int:
        """Nothing is unknown here."""
        return 0

    async def send_request(
        self, request: ForwardedRequest, on_hedge_hint: OnHedgeHint = lambda: None
    ) -> Outcome:
        """Hand a request to the gate and wait."""
        answer: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        task = self._gate.start(request, answer.set_result, lambda news: on_hedge_hint())
        try:
            found = await answer
        except asyncio.CancelledError:
            task.cancel()
            raise
        assert isinstance(found, InstanceResponse | Refusal)
        return found
