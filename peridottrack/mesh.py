"""Assembly of a node with a gate, as run by ``peridottrack mesh``.

It connects the callers' listener, the gate, the links to other nodes, the membership and the
document.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Protocol

import aiohttp
from aiohttp import web

from peridottrack import log
from peridottrack.accounts.filter import AccountFilter
from peridottrack.accounts.validity import KeyValidity
from peridottrack.background import keep_running, log_errors
from peridottrack.bytebudget import ByteBudget, limit_bytes
from peridottrack.callerdeadlines import CallerDeadlines
from peridottrack.clock import LoopClock
from peridottrack.config import MeshSettings, parse_endpoint
from peridottrack.controllers.confirmation import ConfirmationController
from peridottrack.controllers.evacuation import EvacuationController, GateEvacuation
from peridottrack.controllers.follow import (
    DocumentFollowController,
    select_candidates,
)
from peridottrack.controllers.gate import GateController
from peridottrack.controllers.links import LinksController
from peridottrack.controllers.localinstance import LocalInstanceController
from peridottrack.controllers.members import ClusterView, MembersController, SharedDirectory
from peridottrack.controllers.poison import PoisonController
from peridottrack.controllers.probe import Prober
from peridottrack.datagramcodec import DatagramSigner
from peridottrack.datagrams import DatagramTransport
from peridottrack.debug import process_facts
from peridottrack.documentsource import DocumentReader, DocumentSource
from peridottrack.forward import Forwarder
from peridottrack.frames import DocumentFrame, Hello
from peridottrack.gateroute import LocalRoute
from peridottrack.gatesubset import GateSubset
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import CallerRequest, Ingress
from peridottrack.link import LinkHooks
from peridottrack.linkserver import LinkServer
from peridottrack.messages import MemberState, MemberUpdate
from peridottrack.metrics import Metrics
from peridottrack.placement import Placement
from peridottrack.poison import PoisonList
from peridottrack.quotas.controller import QuotaController
from peridottrack.quotas.filter import QuotaFilter
from peridottrack.quotas.limits import QuotaTolerance
from peridottrack.resendbudget import ResendBudget
from peridottrack.routing import RouteTable
from peridottrack.sharing.filter import SharingFilter
from peridottrack.types import (
    Clock,
    Endpoint,
    FailureDomain,
    NodeId,
    Region,
    ServiceName,
)

JOIN_RETRY_S = 1.0
"""Mean pause before a failed join is retried; it doubles up to `JOIN_RETRY_MAX_S`."""
JOIN_RETRY_MAX_S = 4.0
RESTORE_JITTER_S = 0.3
"""Longest pause before a node checks the entries in a restored store."""
MIN_UNREADY_CHECKS = 2
"""Readiness checks answered "not ready" after which callers send no new requests here."""
UNREADY_SETTLE_S = 0.15
"""Seconds after the last of these checks in which requests may still arrive on connections that
were opened before it."""
CLOSE_MARGIN_S = 0.4
"""Seconds at the end of ``shutdown_s`` that are reserved for closing connections."""
ANSWER_MARGIN_S = 0.2
"""Seconds from the latest deadline of a request until connections are closed, in which its response
is sent; more than `OUTCOME_MARGIN_S`."""
LINK_STARTUP_S = 3.0
"""Seconds after a start in which links may still be connecting.

Until then, members with an unresponsive link remain candidates for following the store.
"""
LISTENER_CLOSE_S = 0.05
"""Seconds that a closing listener waits for unfinished calls of the platform."""
GATE_CLOSE_MARGIN_S = 3.0
"""Seconds before the shutdown deadline at which the gate closes at the latest.

Requests that run at that moment must be able to finish.
"""
LOG_FLUSH_INTERVAL_S = 0.5
"""Interval at which log lines that a slow reader has not accepted are written again."""
CRASHES_TO_QUARANTINE = 3
"""Number of instances that must have crashed before a request is quarantined.

A crash counts against all requests that ran on the instance; a harmless request is unlikely to have
run on several crashing instances.
"""
SHUTDOWN_POLL_S = 0.02
"""Interval at which a shutdown checks whether all requests have finished."""

CountCall = Callable[[str, str], None]
"""Called with the operation and the outcome of each call to the store."""


class Adapter(Protocol):
    """Binding to a deployment's platform: header names, store, announcements and readiness."""

    header_names: HeaderNames

    def session(self) -> aiohttp.ClientSession:
        """Return a session for calls to the store."""
        ...

    def document_reader(self) -> DocumentReader:
        """Return the decoder of documents."""
        ...

    def directory(
        self, session: aiohttp.ClientSession, settings: MeshSettings, count: CountCall
    ) -> SharedDirectory:
        """Return the directory of nodes in the store."""
        ...

    def documents(
        self, session: aiohttp.ClientSession, settings: MeshSettings, count: CountCall
    ) -> DocumentSource:
        """Return the source of the document in the store."""
        ...

    def announce_app(self, local_instance: LocalInstanceController) -> web.Application:
        """Return the application to which the instance announces itself."""
        ...

    def ready_app(self, ready: Callable[[], bool]) -> web.Application:
        """Return the application that responds to the platform's readiness checks."""
        ...


class MeshNode:
    """One node with a gate, built from its settings.

    The components are created in `start`.
    """

    def __init__(
        self, settings: MeshSettings, adapter: Adapter, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self._adapter = adapter
        self._clock = clock or LoopClock()
        self._rng = random.Random()
        self.metrics = Metrics()
        self._tasks: list[asyncio.Task[Any]] = []
        self._restoring: asyncio.Task[None] | None = None
        self._runners: list[web.BaseRunner] = []
        self._leaving = False
        self._joined = False
        self._unready_checks = 0
        self._last_unready_check_at = 0.0
        self._started_at = 0.0

    async def start(self) -> None:
        """Start listening, then join the other nodes in the background."""
        self._started_at = self._clock.now()
        self._build()
        gossip = parse_endpoint(self.settings.gossip_address)
        await self.datagrams.start(gossip.host, gossip.port)
        link = parse_endpoint(self.settings.link_address)
        await self.link_server.start(link.host, link.port)
        await self._listen(
            self._adapter.announce_app(self.local_instance), self.settings.announce_address
        )
        await self._listen(self._adapter.ready_app(self._is_ready), self.settings.ready_address)
        if self.settings.metrics_address is not None:
            await self._listen(self._metrics_app(), self.settings.metrics_address)
        callers = parse_endpoint(self.settings.callers_address)
        await self.ingress.start(callers.host, callers.port)
        for work in (
            self.members.run,
            self.links.run,
            self._flush_log,
            self._join,
            self.document_follower.run,
            self.gate_controller.run,
            self.confirmation.run,
            self.quotas.run,
        ):
            self._tasks.append(asyncio.create_task(keep_running(work)))
        log.event("node started", node=self.settings.gossip_address, service=self.settings.service)

    def apply_settings(self, settings: MeshSettings) -> None:
        """Apply settings that differ only in `peridottrack.controllers.reload.CHANGEABLE` ones."""
        self.settings = settings
        self.prober.set_limit(settings.probes_per_s)
        self.forwarder.set_resend_limits(
            settings.second_ratio, settings.second_slack, settings.second_window_s
        )
        self.forwarder.set_second_send_share(settings.hedge_share)

    async def leave(self) -> bool:
        """Shut down once all requests have finished; False if ``shutdown_s`` was not enough."""
        started_at = self._clock.now()
        deadline = started_at + self.settings.shutdown_s - CLOSE_MARGIN_S
        log.event("node leaves", in_flight=self.ingress.in_flight, forwarded=self._gate_requests)
        self._leaving = True
        self.ingress.begin_close()
        self.quotas.release()
        self.gate_controller.answer_by = deadline - ANSWER_MARGIN_S
        self.forwarder.limit_deadlines(deadline - ANSWER_MARGIN_S)
        # The gate stays open while the platform notices that this node is not ready, so that other
        # nodes can use the local instance as long as possible.
        await self._wait_until(self._platform_knows_unready, deadline - GATE_CLOSE_MARGIN_S)
        self.gate_controller.gate.stopping = True
        self.gate_controller.gate.close()
        self.forwarder.refuse_long_requests()
        gate_closed_at = self._clock.now()
        await self._wait_until(lambda: not self._gate_requests, deadline)
        gate_idle_at = self._clock.now()
        # Not earlier: while its requests run, the local instance may call other services through
        # this node.
        await self.ingress.stop_accepting()
        await self._wait_until(
            lambda: self.ingress.close_idle() and not self._gate_requests, deadline
        )
        idle = not self.ingress.in_flight and not self._gate_requests
        cut = self.ingress.in_flight
        closing_at = self._clock.now()
        self.members.membership.leave(self._clock.now())
        await self.close()
        log.event(
            "node left",
            idle=idle,
            took_s=round(self._clock.now() - started_at, 3),
            gate_closed_s=round(gate_closed_at - started_at, 3),
            gate_idle_s=round(gate_idle_at - started_at, 3),
            closing_s=round(closing_at - started_at, 3),
            read=self.ingress.read_while_closing,
            last_read_s=round(max(0.0, self.ingress.last_read_at - started_at), 3),
            cut=cut,
        )
        log.flush_pending()
        return idle

    @property
    def _gate_requests(self) -> int:
        """Requests from other nodes plus runs at the local instance; some are counted in both."""
        return self.link_server.in_flight + self.gate_controller.gate.running

    async def _wait_until(self, condition: Callable[[], bool], deadline: float) -> None:
        while self._clock.now() < deadline and not condition():
            await asyncio.sleep(SHUTDOWN_POLL_S)

    def _platform_knows_unready(self) -> bool:
        seen = self._unready_checks >= MIN_UNREADY_CHECKS
        return seen and self._clock.now() - self._last_unready_check_at > UNREADY_SETTLE_S

    async def close(self) -> None:
        """Stop without waiting for requests."""
        if self._restoring is not None:
            self._tasks.append(self._restoring)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.ingress.stop()
        await self.links.stop()
        self.link_server.stop()
        self.gate_evacuation.stop()
        self.gate_controller.close()
        for runner in self._runners:
            await runner.cleanup()
        await self.store_session.close()
        await self.datagrams.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of all controllers."""
        return {
            "members": self.members.dump(),
            "document": self.document_follower.dump(),
            "evacuated": sorted(self.evacuations.domains),
            "quotas": self.quotas.dump(),
            "gate": str(self.gate_controller.gate.load()),
            "shares": self.gate_controller.gate.shares.dump(self._clock.now()),
            "links": {node: str(load) for node, load in self.links.last_loads().items()},
            "request_bytes": self.ingress.budget.used,
            "process": process_facts(),
        }

    # -- assembly ----------------------------------------------------------------------

    def _build(self) -> None:
        settings, clock, rng = self.settings, self._clock, self._rng
        header_names = self._adapter.header_names
        domain = FailureDomain(settings.failure_domain)
        self.store_session = self._adapter.session()
        local_member = self._local_member()
        self._watcher_candidates = [local_member]
        self.datagrams = DatagramTransport(
            DatagramSigner(settings.message_keys, local_member.node, local_member.incarnation),
            self.metrics,
        )
        self.gate_controller = GateController(
            parse_endpoint(settings.upstream_address), header_names, clock
        )
        self.gate_controller.gate.shares.always = settings.share_without_accounts
        self.local_instance = LocalInstanceController(
            self.gate_controller.gate, ServiceName(settings.service), clock
        )
        self.gate_controller.has_room = lambda: self.ingress.budget.has_room_for_answers
        self.gate_controller.on_leaving = self.local_instance.record_leaving
        self._directory = self._adapter.directory(
            self.store_session, settings, self._count_store_call
        )
        self.members = MembersController(
            local_member,
            self._directory,
            self.datagrams,
            clock,
            rng,
            self.metrics,
            self._record_peer_version,
        )
        source: DocumentSource = self._adapter.documents(
            self.store_session, settings, self._count_store_call
        )
        self.document_follower = DocumentFollowController(
            local_member.node,
            source,
            self._adapter.document_reader(),
            self._responsive_candidates,
            self._apply_document,
            settings.document_lag_s,
            clock,
            rng,
        )
        self.evacuations = EvacuationController(source, self._apply_evacuations)
        self.document_follower.evacuations = self.evacuations
        self.members.on_evacuations = self.evacuations.hear
        self.document_follower.on_confirmed = self.members.set_document_confirmed
        self.members.on_confirmed = self.document_follower.record_confirmation
        self.document_follower.on_restored = self._restore_entries
        self.document_follower.knows_members = self._knows_members
        self.document_follower.entered_era = lambda: self._directory.era
        budget = ByteBudget(limit_bytes(self._memory_bytes()), clock)
        hooks = LinkHooks(
            self._document_frame,
            self._receive_document,
            lambda left: self.local_instance.record_leaving(left.instance, left.start_time),
            lambda: self.evacuations.told,
            self.evacuations.hear,
            budget,
        )
        self.link_server = LinkServer(self.gate_controller, hooks, clock, budget)
        local_route = LocalRoute(self.gate_controller, domain, clock)
        subset = GateSubset(local_member.node, domain, clock)
        self.links = LinksController(
            self._hello, subset, local_route, self.link_server, hooks, clock
        )
        self.gate_controller.gate.on_change = self.links.report_load
        self.poison = PoisonList(clock, CRASHES_TO_QUARANTINE)
        PoisonController(self.poison, self.members, self.datagrams)
        self.gate_controller.on_crash = self.poison.record_local_crash
        self.placement = Placement(domain, clock, rng)
        self.forwarder = Forwarder(
            lambda: self.document_follower.table,
            self.links,
            self.placement,
            self.poison,
            self._create_resend_budget,
            header_names,
            settings.service,
            clock,
            rng,
            self.metrics,
        )
        self.forwarder.set_second_send_share(settings.hedge_share)
        self.forwarder.serves_local_runs = lambda: self.gate_controller.gate.running > 0
        self.forwarder.router.confirmed_age_s = self.document_follower.confirmed_age_s
        self.key_validity = KeyValidity(settings.key_validity_s)
        self.document_follower.validity = self.key_validity
        self.quotas = QuotaController(
            QuotaTolerance(settings.quota_window_s, settings.quota_over, settings.quota_slack),
            settings.key_validity_s is not None,
            self.members,
            self.datagrams,
            self.metrics,
        )
        self.forwarder.set_filters(
            [
                AccountFilter(
                    self.key_validity,
                    settings.document_lag_s,
                    header_names,
                    self.forwarder.replies,
                    self.metrics,
                ),
                QuotaFilter(self.quotas, self.forwarder.replies, self.metrics),
                SharingFilter(header_names, clock, settings.share_without_accounts),
            ]
        )
        self.ingress = Ingress(
            self.forwarder.handle, self.forwarder.refuse, clock, budget, settings.max_fds
        )
        self._caller_deadlines = CallerDeadlines(header_names)
        self.ingress.body_timeout_s = self._body_timeout_s
        self.prober = Prober(
            self.gate_controller.pool, self._health_path, header_names, settings.probes_per_s, clock
        )
        self.prober.on_response = self.gate_controller.record_statements
        self.gate_controller.prober = self.prober
        self.gate_evacuation = GateEvacuation(
            self.gate_controller.gate, lambda: self.prober.probe(new_connection=True)
        )
        self.confirmation = ConfirmationController(self.prober, self.local_instance)
        self.local_instance.request_confirmation = self.confirmation.request_and_wait
        self.members.cluster_views.subscribe(log_errors(self._update_members))

    def _local_member(self) -> MemberUpdate:
        return MemberUpdate(
            NodeId(self.settings.gossip_address),
            int(self._clock.wall() * 1000),
            MemberState.ALIVE,
            self._advertised_link(),
            FailureDomain(self.settings.failure_domain),
            Region(self.settings.region),
            service=ServiceName(self.settings.service),
        )

    def _memory_bytes(self) -> int:
        if self.settings.memory_mb is not None:
            return self.settings.memory_mb * 10**6
        return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")

    def _advertised_link(self) -> Endpoint:
        link = parse_endpoint(self.settings.link_address)
        return Endpoint(link.host, self.settings.advertised_link_port or link.port)

    def _hello(self) -> Hello:
        return Hello(
            NodeId(self.settings.gossip_address),
            FailureDomain(self.settings.failure_domain),
            self.document_follower.version,
        )

    def _create_resend_budget(self) -> ResendBudget:
        settings = self.settings
        return ResendBudget(
            settings.second_ratio, settings.second_slack, settings.second_window_s, self._clock
        )

    def _count_store_call(self, operation: str, outcome: str) -> None:
        self.metrics.store_calls.labels(operation, outcome).inc()

    # -- callbacks of the components ----------------------------------------------------

    def _responsive_candidates(self) -> list[MemberUpdate]:
        """Return the candidates for watchers whose links respond; shortly after a start, all.

        The nodes that follow the store and send the document to the others are selected from them.
        Only candidates have links to all other candidates.
        """
        if self._clock.now() - self._started_at < LINK_STARTUP_S:
            return self._watcher_candidates
        local_node = self.members.membership.local_member.node
        return [
            update
            for update in self._watcher_candidates
            if update.node == local_node or self.links.is_responsive(update.node)
        ]

    def _knows_members(self) -> bool:
        """Return whether this node has joined, or has had time to learn of others by gossip."""
        return self._joined or self._clock.now() - self._started_at > LINK_STARTUP_S

    def _update_members(self, view: ClusterView) -> None:
        self.forwarder.nodes = view.node_count
        members = self.members.membership.active_members()
        self._watcher_candidates = select_candidates(members)
        candidates = [update.node for update in self._watcher_candidates]
        is_candidate = self.members.membership.local_member.node in candidates
        self.links.set_members(members, candidates if is_candidate else ())

    def _record_peer_version(self, node: NodeId, version: int) -> None:
        if version > self.document_follower.version:
            self.links.request_document(node, self.document_follower.version)

    def _document_frame(self) -> DocumentFrame | None:
        """Return the document for other nodes, with the evacuations that are known here."""
        frame = self.document_follower.frame
        return replace(frame, evacuations=self.evacuations.told) if frame is not None else None

    def _receive_document(self, frame: DocumentFrame, peer: str) -> None:
        if frame.evacuations is not None:
            # First: the gate may open once the document is known.
            self.evacuations.hear(frame.evacuations, peer)
        self.document_follower.apply_frame(frame, peer)

    def _apply_evacuations(self, changed: bool, from_store: bool) -> None:
        evacuations = self.evacuations.told
        if evacuations is None:
            return
        self.members.set_evacuations(evacuations, changed)
        if not changed:
            return
        self.placement.evacuated = self.evacuations.domains
        self._update_gate_evacuation()
        self.links.set_evacuated(self.evacuations.domains)
        if from_store:
            self.links.send_evacuations(evacuations)

    def _update_gate_evacuation(self) -> None:
        """Open the gate only where a document is known: the evacuations come with it."""
        if self.document_follower.table is not None:
            domain = FailureDomain(self.settings.failure_domain)
            self.gate_evacuation.update(domain in self.evacuations.domains)

    def _apply_document(self, table: RouteTable, frame: DocumentFrame, from_store: bool) -> None:
        self.ingress.limits = table.limits
        self._apply_service_rule(table)
        self.quotas.set_accounts(table.accounts)
        self.members.set_document_version(table.version)
        self._update_gate_evacuation()
        if from_store:
            self.links.send_document(replace(frame, evacuations=self.evacuations.told))
        # Only the document tells the health path.
        self.confirmation.request()

    def _apply_service_rule(self, table: RouteTable) -> None:
        rule = table.service_by_name.get(ServiceName(self.settings.service))
        if rule is not None:
            self.gate_controller.gate.set_cold_limit(rule.cold_per_s)

    def _body_timeout_s(self, request: CallerRequest) -> float:
        timeout_s = self._caller_deadlines.body_timeout_s(request, self.document_follower.table)
        return self.ingress.limits.idle_timeout_s if timeout_s is None else timeout_s

    def _health_path(self) -> str | None:
        table = self.document_follower.table
        rule = table.service_by_name.get(ServiceName(self.settings.service)) if table else None
        return rule.health_path if rule is not None else None

    def _is_ready(self) -> bool:
        """Return whether the node is ready; while it leaves, also count the check."""
        ready = not self._leaving and self.document_follower.table is not None
        if self._leaving:
            self._unready_checks += 1
            self._last_unready_check_at = self._clock.now()
        return ready

    async def _flush_log(self) -> None:
        while True:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
            log.flush_pending()

    async def _join(self) -> None:
        await self._retry(self.members.join_once)
        self._joined = True

    def _restore_entries(self) -> None:
        """Write the entries of nodes that the restored store has lost, in the background."""

        async def restore() -> None:
            # The nodes that follow the store notice at the same time; the first writes for all.
            await asyncio.sleep(RESTORE_JITTER_S * self._rng.random())
            await self._retry(lambda: self.members.restore_entries(self._directory))

        if self._restoring is not None:
            self._restoring.cancel()
        self._restoring = asyncio.create_task(restore())

    async def _retry(self, call: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a call to the store until it succeeds."""
        pause_s = JOIN_RETRY_S
        while not await call():
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            pause_s = min(JOIN_RETRY_MAX_S, pause_s * 2)

    # -- listening and background work -------------------------------------------------

    async def _listen(self, app: web.Application, address: str) -> None:
        endpoint = parse_endpoint(address)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=LISTENER_CLOSE_S)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, endpoint.host, endpoint.port).start()

    def _metrics_app(self) -> web.Application:
        async def get_metrics(request: web.Request) -> web.Response:
            follower = self.document_follower
            self.metrics.document_version.set(follower.version)
            self.metrics.document_age_seconds.set(follower.confirmed_age_s())
            self.metrics.evacuated_domains.set(len(self.evacuations.domains))
            self.metrics.instance_cold.set(self.gate_controller.gate.cold_limit.limited)
            return web.Response(body=self.metrics.text(), content_type="text/plain")

        async def get_dump(request: web.Request) -> web.Response:
            return web.json_response(self.dump(), dumps=lambda data: json.dumps(data, default=str))

        app = web.Application()
        app.router.add_get("/metrics", get_metrics)
        app.router.add_get("/dump", get_dump)
        return app
