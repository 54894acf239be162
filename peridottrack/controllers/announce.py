"""Holds the upstreams beside this node: they announce, renew, drain and withdraw."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from peridottrack import log
from peridottrack.document import Name
from peridottrack.types import (
    Clock,
    Endpoint,
    FailureDomain,
    Instance,
    InstanceId,
    InstanceState,
    ServiceName,
)

SWEEP_S = 0.25
Published = Callable[[list[Instance]], None]


class Announcement(BaseModel):
    """What an upstream says of itself.

    Parameters
    ----------
    port
        Where it serves, on this host.
    cold
        Whether it still warms up and wants few requests.
    running
        Requests that it runs now.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: Name
    port: Annotated[int, Field(ge=1, le=65_535)]
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=1, le=65_535)]
    cold: bool = False
    running: Annotated[int, Field(ge=0, le=65_535)] = 0


@dataclass(slots=True)
class AnnouncedInstance:
    """One upstream beside this node.

    Parameters
    ----------
    renewed_at
        Local time of the last announcement; its lease runs from there.
    """

    instance: Instance
    renewed_at: float
    running: int = 0


class AnnounceController:
    """Keeps the leases of local upstreams and publishes each change."""

    def __init__(
        self, host: str, domain: str, lease_s: float, clock: Clock, published: Published
    ) -> None:
        self._host = host
        self._domain = FailureDomain(domain)
        self._lease_s = lease_s
        self._clock = clock
        self._published = published
        self.local_by_id: dict[InstanceId, AnnouncedInstance] = {}

    def announce(self, instance_id: InstanceId, said: Announcement) -> None:
        """Take in an announcement or a renewal."""
        known = self.local_by_id.get(instance_id)
        state = InstanceState.COLD if said.cold else InstanceState.READY
        if known is not None and known.instance.state is InstanceState.DRAINING:
            # A renewal that crossed its drain must not bring the instance back.
            state = InstanceState.DRAINING
        instance = Instance(
            instance_id,
            ServiceName(said.service),
            Endpoint(self._host, said.port),
            said.slots,
            said.connections,
            self._domain,
            state,
        )
        self.local_by_id[instance_id] = AnnouncedInstance(instance, self._clock.now(), said.running)
        if known is None or known.instance != instance:
            log.event("upstream announced", instance=instance_id, state=state.value)
            self._publish()

    def drain(self, instance_id: InstanceId) -> bool:
        """Note that an upstream wants no new requests; False if it is unknown."""
        known = self.local_by_id.get(instance_id)
        if known is None:
            return False
        known.instance = replace(known.instance, state=InstanceState.DRAINING)
        log.event("upstream drains", instance=instance_id)
        self._publish()
        return True

    def drain_all(self) -> None:
        """Drain all upstreams, since their node leaves."""
        for instance_id in list(self.local_by_id):
            self.drain(instance_id)

    def withdraw(self, instance_id: InstanceId) -> bool:
        """Note that an upstream is gone; False if it is unknown."""
        if self.local_by_id.pop(instance_id, None) is None:
            return False
        log.event("upstream withdrawn", instance=instance_id)
        self._publish()
        return True

    async def run(self) -> None:
        """Withdraw upstreams that stopped renewing, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.sweep()

    def sweep(self) -> None:
        """Withdraw upstreams whose lease ran out."""
        now = self._clock.now()
        for instance_id, local in list(self.local_by_id.items()):
            if now - local.renewed_at > self._lease_s:
                log.warning("upstream stopped renewing", instance=instance_id)
                self.withdraw(instance_id)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            instance_id: {
                "service": local.instance.service,
                "address": str(local.instance.endpoint),
                "state": local.instance.state.value,
                "running": local.running,
                "renewed_s_ago": round(self._clock.now() - local.renewed_at, 3),
            }
            for instance_id, local in self.local_by_id.items()
        }

    def _publish(self) -> None:
        self._published([local.instance for local in self.local_by_id.values()])
