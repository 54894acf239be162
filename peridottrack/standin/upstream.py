"""A stand-in upstream: serves requests, announces itself, and fails in all the known ways."""

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
from peridottrack.types import Endpoint, InstanceId, ServiceName

ANNOUNCE_INTERVAL_S = 1.0
QUEUE_PER_SLOT = 2
BREAK_AFTER_BYTES = 100
POISON_MARK = "poison"


class UpstreamFault(Enum):
    """How the upstream misbehaves."""

    NONE = "none"
    STRAGGLE = "straggle"
    FAIL_FAST = "fail_fast"
    SHED = "shed"
    BREAK_OFF = "break_off"
    SHORT_ANSWER = "short_answer"
    REFUSE = "refuse"


@dataclass
class Behaviour:
    """What the upstream does.

    Parameters
    ----------
    service_s
        Mean seconds of work for a request, exponentially distributed.
    straggle_factor
        How much longer work takes under `Fault.STRAGGLE`.
    reported_running
        A load report that replaces the true one, for lying.
    """

    service_s: float = 0.01
    fault: UpstreamFault = UpstreamFault.NONE
    straggle_factor: float = 20.0
    reported_running: int | None = None


@dataclass
class RunLog:
    """What really ran, shared by the upstreams of a service; survives their restarts."""

    runs_by_key: Counter[str] = field(default_factory=Counter)
    instances_by_request_id: dict[str, list[str]] = field(default_factory=dict)


class UpstreamStandin:
    """One upstream process's worth of behaviour, able to live in any process."""

    def __init__(
        self,
        instance_id: InstanceId,
        service: ServiceName,
        slots: int,
        connections: int,
        behaviour: Behaviour | None = None,
        ledger: RunLog | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        self.connections = connections
        self.behaviour = behaviour or Behaviour()
        self.ledger = ledger or RunLog()
        self._rng = rng or random.Random()
        self._slots = asyncio.Semaphore(slots)
        self._running = 0
        self._draining = False
        self._crashed = False
        self._renewing: asyncio.Task[None] | None = None
        self._runner: web.ServerRunner | None = None
        self._announce_url = ""
        self.received_requests = 0
        self.endpoint = Endpoint("127.0.0.1", 0)

    async def start(self, host: str, port: int, announce: Endpoint | None = None) -> None:
        """Listen, and announce to the node beside."""
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
            self._renewing = asyncio.create_task(self._renew())

    async def drain(self) -> None:
        """Ask for no new requests, finish those that run, then withdraw."""
        self._draining = True
        async with aiohttp.ClientSession() as session:
            await session.post(f"{self._announce_url}/drain")
        while self._running:
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Withdraw and stop."""
        await self._stop_renewing()
        if self._announce_url and not self._crashed:
            async with aiohttp.ClientSession() as session:
                with contextlib.suppress(aiohttp.ClientError):
                    await session.delete(self._announce_url)
        await self.crash()

    async def crash(self) -> None:
        """Die at once: connections break, nothing is withdrawn."""
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
        if self._renewing is not None:
            self._renewing.cancel()
            await asyncio.wait([self._renewing])
            self._renewing = None

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            try:
                await self._announce()
            except aiohttp.ClientError:
                # The node restarts; the next renewal will find it.
                continue

    async def _announce(self) -> None:
        reported = self.behaviour.reported_running
        said = {
            "service": self.service,
            "port": self.endpoint.port,
            "slots": self.slots,
            "connections": self.connections,
            "running": self._running if reported is None else reported,
        }
        async with aiohttp.ClientSession() as session:
            await session.put(self._announce_url, json=said)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.received_requests += 1
        body = await request.read()
        fault = self.behaviour.fault
        if POISON_MARK in request.path and request.transport is not None:
            self._note_instance(request)
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
        left_ms = request.headers.get(DEADLINE_HEADER)
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + int(left_ms) / 1000 if left_ms else float("inf")
        async with self._slots:
            if loop.time() >= give_up_at:
                return web.Response(status=503, headers={RAN_HEADER: Ran.NO.value})
            self._note_run(request)
            if self.behaviour.service_s > 0:
                await asyncio.sleep(self._work_s())
        answer = self._answer_body(request, body)
        if self.behaviour.fault in (UpstreamFault.BREAK_OFF, UpstreamFault.SHORT_ANSWER):
            return await self._break_off(request, answer)
        return web.Response(body=answer, content_type="application/json")

    def _work_s(self) -> float:
        factor = 1.0
        if self.behaviour.fault is UpstreamFault.STRAGGLE:
            factor = self.behaviour.straggle_factor
        return self._rng.expovariate(1.0 / self.behaviour.service_s) * factor

    def _note_run(self, request: web.BaseRequest) -> None:
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is not None:
            self.ledger.runs_by_key[key.strip('"')] += 1
        self._note_instance(request)

    def _note_instance(self, request: web.BaseRequest) -> None:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        self.ledger.instances_by_request_id.setdefault(request_id, []).append(self.instance_id)

    def _answer_body(self, request: web.BaseRequest, body: bytes) -> bytes:
        said = {
            "instance": self.instance_id,
            "path": request.raw_path,
            "key": request.headers.get(IDEMPOTENCY_KEY_HEADER),
            "echo": body.decode(errors="replace"),
        }
        return json.dumps(said).encode()

    async def _break_off(self, request: web.BaseRequest, answer: bytes) -> web.StreamResponse:
        """Send fewer bytes than announced, then close the connection."""
        response = web.StreamResponse(status=200)
        response.content_length = len(answer) + BREAK_AFTER_BYTES
        await response.prepare(request)
        await response.write(answer)
        if request.transport is not None:
            request.transport.close()
        return response
