"""Holds the balancer and the queue of each service."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from peridottrack.balancer import AttemptResult, Balancer
from peridottrack.call import Call
from peridottrack.distance import Distances
from peridottrack.document import Document, ServiceConfig
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError
from peridottrack.instanceheaders import InstanceHeaders
from peridottrack.instanceview import Attempt, ReportedSlowness
from peridottrack.limiter import DeadlineQueue, QueueEntry
from peridottrack.metrics import Metrics
from peridottrack.retry import RetryBudget
from peridottrack.subset import choose_subset
from peridottrack.types import (
    Clock,
    Instance,
    InstanceId,
    InstanceState,
    NodeId,
    Random,
    ServiceName,
)

WAKE_INTERVAL_S = 0.1
"""Interval of the calls of `LoadController.wake_waiting`."""
MAX_ASSUMED_CALLERS = 16
"""Most nodes assumed to call a service before a load report gives their number."""


@dataclass(slots=True)
class Waiter:
    """A call that waits for free capacity on an instance."""

    granted: asyncio.Future[Attempt]
    exclude: set[InstanceId]


class Service:
    """One service's balancer and queue."""

    def __init__(self, balancer: Balancer, queue: DeadlineQueue) -> None:
        self.balancer = balancer
        self.queue = queue

    def wake(self) -> None:
        """Start waiting calls while there is free capacity, in queue order."""
        while self.queue:
            entry = self.queue.pop()
            if entry is None:
                return
            waiter: Waiter = entry.payload
            if waiter.granted.done():
                continue
            attempt = self.balancer.begin(waiter.exclude)
            if attempt is None:
                # No instance has free capacity, so the entry goes back into the queue.
                self.queue.push(entry.caller, entry.priority, entry.deadline, waiter)
                return
            waiter.granted.set_result(attempt)


class LoadController:
    """Assigns calls to instances of their service with free capacity.

    Parameters
    ----------
    node
        Id of this node, on which its subset of the instances depends.
    domain
        Failure domain of this node.
    distances
        Extra latency of calls to other failure domains.
    """

    def __init__(
        self,
        node: NodeId,
        domain: str,
        distances: Distances,
        queue_length: int,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._domain = domain
        self._distances = distances
        self._queue_length = queue_length
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._document: Document | None = None
        self._instances: list[Instance] = []
        self._nodes = 1
        self._callers_by_service: dict[ServiceName, int] = {}
        self.service_by_name: dict[ServiceName, Service] = {}

    def set_document(self, document: Document | None) -> None:
        """Apply the document in force."""
        self._document = document
        self._refresh()

    def set_instances(self, instances: Iterable[Instance], nodes: int) -> None:
        """Set all known instances, and the number of nodes."""
        self._instances = list(instances)
        self._nodes = nodes
        self._refresh()

    def set_callers(self, service: ServiceName, callers: int) -> None:
        """Set the number of nodes that call a service, as last reported."""
        if self._callers_by_service.get(service) != callers:
            self._callers_by_service[service] = callers
            self._refresh_service(service)

    def check_queue_wait(self, call: Call) -> None:
        """Reject a call that would wait past its deadline.

        While the rate limits of all instances hold calls back, no free slot would let a call start,
        so the refusal names the limit even if the queue's own estimate is the longer one.

        Raises
        ------
        RequestError
            ``NO_INSTANCE``, ``TOO_LATE`` or ``INSTANCE_LIMITED``, all not run.
        """
        service = self.service_by_name.get(call.service)
        if service is None or service.balancer.all_leave():
            raise RequestError(ErrorKind.NO_INSTANCE)
        queue_wait_s = service.queue.wait_estimate_s()
        rate_wait_s = service.balancer.rate_wait_s(len(service.queue))
        if self._clock.now() + max(queue_wait_s, rate_wait_s) <= call.deadline:
            return
        if rate_wait_s > 0:
            raise RequestError(ErrorKind.INSTANCE_LIMITED)
        raise RequestError(ErrorKind.TOO_LATE, "The queue is too long for its deadline.")

    async def acquire(self, call: Call) -> Attempt:
        """Take a slot of an instance; wait in the service's queue if none is free."""
        service = self.service_by_name.get(call.service)
        if service is None or not service.balancer.view_by_id:
            raise RequestError(ErrorKind.NO_INSTANCE)
        exclude = self._exclude(service, call)
        if not service.queue:
            attempt = service.balancer.begin(exclude)
            if attempt is not None:
                return attempt
        return await self._wait(service, call, exclude)

    def release(self, attempt: Attempt, result: AttemptResult) -> None:
        """Release a slot and record how the attempt ended."""
        service = self.service_by_name.get(attempt.instance.service)
        if service is None:
            return
        service.balancer.end(attempt, result)
        service.queue.record_release()
        service.wake()

    def budget(self, name: ServiceName) -> RetryBudget:
        """Return a service's retry budget."""
        service = self.service_by_name.get(name)
        if service is None:
            raise RequestError(ErrorKind.NO_INSTANCE)
        return service.balancer.budget

    def hedge_after_s(self, call: Call) -> float | None:
        """Return the delay after which to send a hedge, None to send none."""
        service = self.service_by_name.get(call.service)
        return service.balancer.hedge_after_s() if service else None

    def may_hedge(self, call: Call) -> bool:
        """Take a hedge from the service's budget; return whether it is allowed now."""
        service = self.service_by_name.get(call.service)
        if service is None or service.queue:
            return False
        return service.balancer.may_hedge(call.progress.tried)

    def record_statements(self, instance: Instance, stated: InstanceHeaders) -> None:
        """Record what an instance says of itself in a response."""
        state = self.service_by_name.get(instance.service)
        if state is not None:
            state.balancer.record_statements(instance.instance_id, stated)

    def record_slowness(
        self, service: ServiceName, instance: InstanceId, report: ReportedSlowness
    ) -> None:
        """Record a slowness report from the local node of an instance."""
        state = self.service_by_name.get(service)
        if state is not None:
            state.balancer.record_slowness(instance, report)

    def wake_waiting(self) -> None:
        """Serve queues that gained capacity without a release, such as at an ejection's end."""
        for service in self.service_by_name.values():
            if service.queue:
                service.wake()

    def collect_metrics(self) -> None:
        """Set the gauges; called just before they are read."""
        for name, service in self.service_by_name.items():
            self._metrics.queued.labels(name).set(len(service.queue))
            self._metrics.ejected.labels(name).set(len(service.balancer.ejected()))

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {name: _dump_service(state) for name, state in self.service_by_name.items()}

    def _exclude(self, service: Service, call: Call) -> set[InstanceId]:
        tried = call.progress.tried
        # If all instances have been tried, trying one again is better than failing.
        return set() if tried >= service.balancer.view_by_id.keys() else tried

    async def _wait(self, service: Service, call: Call, exclude: set[InstanceId]) -> Attempt:
        assert call.route is not None
        granted: asyncio.Future[Attempt] = asyncio.get_running_loop().create_future()
        waiter = Waiter(granted, exclude)
        dropped = service.queue.push(call.caller, call.route.priority, call.deadline, waiter)
        if dropped is not None:
            _reject(dropped)
        service.wake()
        try:
            return await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.exception() is None:
                self.release(granted.result(), AttemptResult.CANCELLED)
            raise

    def _refresh(self) -> None:
        names = set(self._document.service_by_name) if self._document else set()
        for removed in set(self.service_by_name) - names:
            del self.service_by_name[removed]
        for name in names:
            self._refresh_service(name)

    def _refresh_service(self, name: ServiceName) -> None:
        if self._document is None or name not in self._document.service_by_name:
            return
        config = self._document.service_by_name[name]
        service = self.service_by_name.get(name)
        if service is None:
            service = self.service_by_name[name] = self._new_service(config)
        service.balancer.set_config(config)
        instances = [
            instance
            for instance in self._instances
            if instance.service == name and instance.state is not InstanceState.DRAINING
        ]
        chosen = choose_subset(self._node, instances, config.subset_size, self._domain)
        callers = self._callers_by_service.get(name, min(self._nodes, MAX_ASSUMED_CALLERS))
        service.balancer.set_instances(chosen, callers)
        service.wake()

    def _new_service(self, config: ServiceConfig) -> Service:
        balancer = Balancer(self._clock, self._rng, config, self._distances.cost_s)
        return Service(balancer, DeadlineQueue(self._clock, self._queue_length))


def _reject(entry: QueueEntry) -> None:
    waiter: Waiter = entry.payload
    if not waiter.granted.done():
        waiter.granted.set_exception(RequestError(ErrorKind.OVERLOADED))


def _dump_service(service: Service) -> dict[str, Any]:
    balancer = service.balancer
    return {
        "queued": len(service.queue),
        "load": round(balancer.load(), 3),
        "callers": balancer.callers,
        "usual_latency_s": round(balancer.median_latency_s(), 5),
        "instances": {
            instance_id: {
                "address": str(view.instance.endpoint),
                "domain": view.instance.domain,
                "in_flight": view.in_flight,
                "limit": view.limit.limit,
                "latency_s": view.latency_s,
                "ejection": view.ejection.state.value,
                "error_share": round(view.ejection.error_share, 3),
                "slow_factor": view.slowness.factor,
            }
            for instance_id, view in balancer.view_by_id.items()
        },
    }
