"""Leases of local upstreams, which announce themselves, renew, drain and withdraw."""

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

EXPIRY_CHECK_INTERVAL_S = 0.25
MAX_LEFT = 256
"""Number of upstreams that have left which are remembered."""
PublishInstances = Callable[[list[Instance]], None]


class Announcement(BaseModel):
    """Announcement that an upstream sends to its local node, also to renew its lease.

    Parameters
    ----------
    port
        Port on this host on which the upstream serves requests.
    cold
        Whether it is still warming up and should get few requests.
    running
        Number of requests that it is running.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    service: Name
    port: Annotated[int, Field(ge=1, le=65_535)]
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=1, le=65_535)]
    cold: bool = False
    running: Annotated[int, Field(ge=0, le=65_535)] = 0


@dataclass(slots=True)
class AnnouncedInstance:
    """A local upstream and its lease.

    Parameters
    ----------
    renewed_at
        Local time of the last announcement; its lease runs from there.
    """

    instance: Instance
    renewed_at: float
    running: int = 0


class AnnounceController:
    """Tracks the leases of local upstreams and publishes each change.

    Attributes
    ----------
    on_leaving
        Called with each local upstream that announces that it leaves.
    """

    def __init__(
        self, host: str, domain: str, lease_s: float, clock: Clock, publish: PublishInstances
    ) -> None:
        self._host = host
        self._domain = FailureDomain(domain)
        self._lease_s = lease_s
        self._clock = clock
        self._publish_instances = publish
        self.local_by_id: dict[InstanceId, AnnouncedInstance] = {}
        # In order of their leaving.
        self._left: dict[InstanceId, None] = {}
        self.on_leaving: Callable[[InstanceId], None] = lambda instance_id: None

    def announce(self, instance_id: InstanceId, announcement: Announcement) -> bool:
        """Register an upstream or renew its lease; False if it has been withdrawn."""
        current = self.local_by_id.get(instance_id)
        if instance_id in self._left and current is None:
            log.event("late announcement", instance=instance_id)
            return False
        state = InstanceState.COLD if announcement.cold else InstanceState.READY
        if current is not None and current.instance.state is InstanceState.DRAINING:
            # A renewal sent before the drain took effect must not put the instance back in service.
            state = InstanceState.DRAINING
        instance = Instance(
            instance_id,
            ServiceName(announcement.service),
            Endpoint(self._host, announcement.port),
            announcement.slots,
            announcement.connections,
            self._domain,
            state,
        )
        self.local_by_id[instance_id] = AnnouncedInstance(
            instance, self._clock.now(), announcement.running
        )
        if current is None or current.instance != instance:
            log.event("upstream announced", instance=instance_id, state=state.value)
            self._publish()
        return True

    def drain(self, instance_id: InstanceId) -> bool:
        """Stop new requests to an upstream that announces that it leaves; False if unknown."""
        self._remember_left(instance_id)
        self.on_leaving(instance_id)
        return self._stop_requests(instance_id)

    def record_left(self, instance_id: InstanceId) -> None:
        """Stop new requests to an upstream whose leaving an earlier process acknowledged."""
        self._remember_left(instance_id)
        current = self.local_by_id.get(instance_id)
        if current is not None and current.instance.state is not InstanceState.DRAINING:
            self._stop_requests(instance_id)

    def _remember_left(self, instance_id: InstanceId) -> None:
        self._left[instance_id] = None
        while len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]

    def _stop_requests(self, instance_id: InstanceId) -> bool:
        current = self.local_by_id.get(instance_id)
        if current is None:
            return False
        current.instance = replace(current.instance, state=InstanceState.DRAINING)
        log.event("upstream draining", instance=instance_id)
        self._publish()
        return True

    def drain_all(self) -> None:
        """Drain all upstreams because this node is leaving."""
        for instance_id in list(self.local_by_id):
            self._stop_requests(instance_id)

    def deregister(self, instance_id: InstanceId) -> bool:
        """Remove an upstream that announces that it is gone; False if it is unknown."""
        self._remember_left(instance_id)
        self.on_leaving(instance_id)
        return self.withdraw(instance_id)

    def withdraw(self, instance_id: InstanceId) -> bool:
        """Remove an upstream; False if it is unknown."""
        if self.local_by_id.pop(instance_id, None) is None:
            return False
        log.event("upstream withdrawn", instance=instance_id)
        self._publish()
        return True

    async def run(self) -> None:
        """Periodically withdraw upstreams whose lease expired, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self.expire_leases()

    def expire_leases(self) -> None:
        """Withdraw upstreams whose lease expired."""
        now = self._clock.now()
        for instance_id, announced in list(self.local_by_id.items()):
            if now - announced.renewed_at > self._lease_s:
                log.warning("upstream lease expired", instance=instance_id)
                self.withdraw(instance_id)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            instance_id: {
                "service": announced.instance.service,
                "address": str(announced.instance.endpoint),
                "state": announced.instance.state.value,
                "running": announced.running,
                "renewed_s_ago": round(self._clock.now() - announced.renewed_at, 3),
            }
            for instance_id, announced in self.local_by_id.items()
        }

    def _publish(self) -> None:
        self._publish_instances([announced.instance for announced in self.local_by_id.values()])
