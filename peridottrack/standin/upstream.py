"""An upstream stand-in that serves requests, announces itself and injects faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

import aiohttp
from aiohttp import web

from peridottrack.call import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER
from peridottrack.errors import RAN_HEADER, Ran
from peridottrack.headernames import HeaderNames
from peridottrack.instanceheaders import LEAVING_VALUE
from peridottrack.types import Endpoint, InstanceId, ServiceName

ANNOUNCE_INTERVAL_S = 1.0
NAMES = HeaderNames()
QUEUE_PER_SLOT = 2
"""Requests that may wait for each slot before the upstream sheds."""
MISSING_BYTES = 100
"""How many bytes a truncated response is short of its Content-Length."""
POISON_TEXT = "poison"
"""A request whose path contains this text crashes the upstream."""


class UpstreamFault(Enum):
    """Fault that the upstream injects.

    Attributes
    ----------
    STRAGGLE
        Requests take longer by `Behaviour.straggle_factor`.
    FAIL_FAST
        Requests fail immediately with status 500.
    SHED
        Requests are rejected as not run.
    BREAK_OFF, SHORT_ANSWER
        The connection closes before the end of the response body; both have the same effect.
    REFUSE
        The connection is reset before the request runs.
    """

    NONE = "none"
    STRAGGLE = "straggle"
    FAIL_FAST = "fail_fast"
    SHED = "shed"
    BREAK_OFF = "break_off"
    SHORT_ANSWER = "short_answer"
    REFUSE = "refuse"


@dataclass
class Behaviour:
    """Service times and faults of an upstream.

    Parameters
    ----------
    service_s
        Mean service time of a request in seconds, exponentially distributed.
    straggle_factor
        Factor on the service time under `UpstreamFault.STRAGGLE`.
    reported_running
        Number of running requests to announce instead of the true one.
    rate_limit
        Requests a second from all nodes together that its responses name, None for no limit.
    leaving
        Whether its responses say that it leaves.
    """

    service_s: float = 0.01
    fault: UpstreamFault = UpstreamFault.NONE
    straggle_factor: float = 20.0
    reported_running: int | None = None
    rate_limit: float | None = None
    leaving: bool = False


@dataclass
class RunLog:
    """The requests that ran, shared by all upstreams and kept over their restarts.

    Parameters
    ----------
    runs_by_key
        Number of runs of each idempotency key.
    instances_by_request_id
        The instances that ran each request, by request id.
    """

    runs_by_key: Counter[str] = field(default_factory=Counter)
    instances_by_request_id: dict[str, list[str]] = field(default_factory=dict)


class UpstreamStandin:
    """An upstream server that can run in any process.

    Attributes
    ----------
    received_requests
        Number of requests received, also those that were rejected.
    received_at
        When each of them was received, by the loop's clock.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        service: ServiceName,
        slots: int,
        connections: int,
        behaviour: Behaviour | None = None,
        run_log: RunLog | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        self.connections = connections
        self.behaviour = behaviour or Behaviour()
        self.run_log = run_log or RunLog()
        self._rng = rng or random.Random()
        self._slots = asyncio.Semaphore(slots)
        self._running = 0
        self._draining = False
        self._crashed = False
        self._renewal_task: asyncio.Task[None] | None = None
        self._runner: web.ServerRunner | None = None
        self._announce_url = ""
        self.received_requests = 0
        self.received_at: list[float] = []
        self.endpoint = Endpoint("127.0.0.1", 0)

    async def start(self, host: str, port: int, announce: Endpoint | None = None) -> None:
        """Start to listen, and to announce the instance to its local node."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None, handler_cancellation=True),
            shutdown_timeout=1.0,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self.endpoint = Endpoint(host, self._runner.addresses[0][1])
        if announce is not None:
            self._announce_url = f"http://{announce}/instances/{self.instance_id}"
            await self._announce()
            self._renewal_task = asyncio.create_task(self._renew())

    async def drain(self) -> None:
        """Announce the drain and wait until no request is running."""
        self._draining = True
        async with aiohttp.ClientSession() as session:
            await session.post(f"{self._announce_url}/drain")
        while self._running:
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Deregister and stop."""
        await self._stop_renewing()
        if self._announce_url and not self._crashed:
            async with aiohttp.ClientSession() as session:
                with contextlib.suppress(aiohttp.ClientError):
                    await session.delete(self._announce_url)
        await self.crash()

    async def crash(self) -> None:
        """Stop immediately: reset all connections, without a deregistration."""
        self._crashed = True
        await self._stop_renewing()
        if self._runner is not None:
            server = self._runner.server
            for connection in list(server.connections) if server else []:
                if connection.transport is not None:
                    connection.transport.abort()
            await self._runner.cleanup()
            self._runner = None

    async def _stop_renewing(self) -> None:
        if self._renewal_task is not None:
            self._renewal_task.cancel()
            await asyncio.wait([self._renewal_task])
            self._renewal_task = None

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            try:
                await self._announce()
            except aiohttp.ClientError:
                # The node may be restarting; the next renewal tries again.
                continue

    async def _announce(self) -> None:
        reported = self.behaviour.reported_running
        announcement = {
            "service": self.service,
            "port": self.endpoint.port,
            "slots": self.slots,
            "connections": self.connections,
            "running": self._running if reported is None else reported,
        }
        async with aiohttp.ClientSession() as session:
            await session.put(self._announce_url, json=announcement)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(request)
        if not response.prepared:
            response.headers.update(self._statements())
        return response

    def _statements(self) -> dict[str, str]:
        """Return the headers in which the instance says how it is."""
        headers = {}
        if self.behaviour.rate_limit is not None:
            headers[NAMES.rate_limit] = str(self.behaviour.rate_limit)
        if self.behaviour.leaving:
            headers[NAMES.leaving] = LEAVING_VALUE
        return headers

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        self.received_requests += 1
        self.received_at.append(asyncio.get_running_loop().time())
        body = await request.read()
        fault = self.behaviour.fault
        if POISON_TEXT in request.path and request.transport is not None:
            self._record_instance(request)
            # The crash waits until the handlers end, so it must run outside this handler, which it
            # cancels by resetting the connection.
            asyncio.get_running_loop().call_soon(asyncio.ensure_future, self.crash())
            await asyncio.sleep(60)
        if fault is UpstreamFault.FAIL_FAST:
            return web.Response(status=500, text="broken\n")
        if fault is UpstreamFault.SHED or self._running >= self.slots * (1 + QUEUE_PER_SLOT):
            return web.Response(status=503, headers={RAN_HEADER: Ran.NO.value})
        if fault is UpstreamFault.REFUSE and request.transport is not None:
            request.transport.abort()
            return web.Response(status=503)
        self._running += 1
        try:
            return await self._run(request, body)
        finally:
            self._running -= 1

    async def _run(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        deadline_ms = request.headers.get(DEADLINE_HEADER)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(deadline_ms) / 1000 if deadline_ms else float("inf")
        async with self._slots:
            if loop.time() >= deadline:
                return web.Response(status=503, headers={RAN_HEADER: Ran.NO.value})
            self._record_run(request)
            if self.behaviour.service_s > 0:
                await asyncio.sleep(self._service_s())
        response_body = self._response_body(request, body)
        if self.behaviour.fault in (UpstreamFault.BREAK_OFF, UpstreamFault.SHORT_ANSWER):
            return await self._send_truncated(request, response_body)
        return web.Response(body=response_body, content_type="application/json")

    def _service_s(self) -> float:
        factor = 1.0
        if self.behaviour.fault is UpstreamFault.STRAGGLE:
            factor = self.behaviour.straggle_factor
        return self._rng.expovariate(1.0 / self.behaviour.service_s) * factor

    def _record_run(self, request: web.BaseRequest) -> None:
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is not None:
            self.run_log.runs_by_key[key.strip('"')] += 1
        self._record_instance(request)

    def _record_instance(self, request: web.BaseRequest) -> None:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        self.run_log.instances_by_request_id.setdefault(request_id, []).append(self.instance_id)

    def _response_body(self, request: web.BaseRequest, body: bytes) -> bytes:
        fields = {
            "instance": self.instance_id,
            "path": request.raw_path,
            "key": request.headers.get(IDEMPOTENCY_KEY_HEADER),
            "echo": body.decode(errors="replace"),
        }
        return json.dumps(fields).encode()

    async def _send_truncated(
        self, request: web.BaseRequest, response_body: bytes
    ) -> web.StreamResponse:
        """Send fewer bytes than Content-Length says, then close the connection."""
        response = web.StreamResponse(status=200)
        response.content_length = len(response_body) + MISSING_BYTES
        await response.prepare(request)
        await response.write(response_body)
        if request.transport is not None:
            request.transport.close()
        return response
