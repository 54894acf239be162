"""Assembly of a node that runs on the host of an upstream, as run by ``peridottrack node``."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

from peridottrack import log
from peridottrack.admin import (
    HttpPeerClient,
    HttpShardClient,
    add_claim_routes,
    admin_app,
    announce_app,
)
from peridottrack.background import keep_running, log_errors
from peridottrack.bucket import LoadReportBudget
from peridottrack.call import build_chain
from peridottrack.callerserver import CallerListener, CallerServer
from peridottrack.claims import ClaimStore, RowClaimStore
from peridottrack.clock import LoopClock
from peridottrack.config import Settings, parse_endpoint
from peridottrack.controllers.announce import AnnounceController
from peridottrack.controllers.claims import ClaimsController
from peridottrack.controllers.document import DocumentController
from peridottrack.controllers.drain import DrainController
from peridottrack.controllers.leaving import LeavingController
from peridottrack.controllers.load import WAKE_INTERVAL_S, LoadController
from peridottrack.controllers.loadreports import LoadReportController
from peridottrack.controllers.members import ClusterView, MembersController, TableDirectory
from peridottrack.controllers.poison import PoisonController
from peridottrack.datagramcodec import DatagramSigner
from peridottrack.datagrams import DatagramTransport
from peridottrack.debug import process_facts
from peridottrack.document import Document
from peridottrack.filters.admission import AdmissionFilter
from peridottrack.filters.body import body_filter
from peridottrack.filters.choice import ChoiceFilter
from peridottrack.filters.claim import ClaimFilter
from peridottrack.filters.deadline import deadline_filter
from peridottrack.filters.dispatch import Dispatcher, send_once, trace_reuse
from peridottrack.filters.quarantine import QuarantineFilter
from peridottrack.filters.retry import RetryFilter
from peridottrack.filters.route import RouteFilter
from peridottrack.httpstores import DynamoDbTable, S3ObjectStore
from peridottrack.journal import JournalClaimStore
from peridottrack.messages import MemberState, MemberUpdate
from peridottrack.metrics import Metrics
from peridottrack.poison import PoisonList
from peridottrack.store import CircuitBreakerTable
from peridottrack.types import Clock, FailureDomain, NodeId, Region

CONNECT_TIMEOUT_S = 1.0
"""Timeout for establishing a TCP connection to an upstream, the platform or another node."""
UPSTREAM_KEEPALIVE_S = 15.0
"""Seconds after which an idle connection to an upstream is closed."""
# Headers that aiohttp's client would add by itself: the upstream gets only the caller's headers.
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class Node:
    """One node, built from its settings; the controllers are created in `start`.

    Attributes
    ----------
    members, document, load, claims, announce, load_reports, drain
        The controllers.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self._clock = clock or LoopClock()
        self._rng = random.Random()
        self.metrics = Metrics()
        self._tasks: list[asyncio.Task[Any]] = []
        self._runners: list[web.BaseRunner] = []
        self._sessions: list[aiohttp.ClientSession] = []
        self.journal: JournalClaimStore | None = None

    async def start(self) -> None:
        """Join the other nodes, read the document and start listening."""
        self._build()
        gossip = parse_endpoint(self.settings.gossip_address)
        await self.datagrams.start(gossip.host, gossip.port)
        self._spawn(self.members.run)
        await self._listen_admin()
        seeds = [NodeId(seed) for seed in self.settings.seeds]
        await self.members.join(seeds)
        if not await self.document.poll():
            await self.document.fetch_from_peers([peer.node for peer in self.members.peers()])
        self._spawn(self.document.run)
        self._spawn(self.announce.run)
        self._spawn(self.leaving.run)
        self._spawn(self.load_reports.run)
        self.load_reports.start_detector()
        self._spawn(self._wake_queues)
        await self.caller_listener.start(parse_endpoint(self.settings.callers_address))
        log.event("node started", node=self.settings.gossip_address)

    async def leave(self) -> bool:
        """Shut down after all calls and claims have finished; False if a timeout expired first."""
        log.event("node leaves", node=self.settings.gossip_address)
        self.drain.leave(self.settings.drain_s, self.claim_filter.calls)
        self.announce.drain_all()
        idle = await self.drain.wait_idle(self.settings.drain_s, lambda: self.claim_filter.running)
        settled = await self.claims.wait_for_repairs(self.settings.drain_s)
        await self.members.leave()
        await self.caller_listener.finish()
        await self.close()
        log.event("node left", idle=idle, claims_settled=settled)
        return idle and settled

    async def close(self) -> None:
        """Stop without waiting for calls."""
        self.load_reports.stop_detector()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.caller_listener.close()
        for runner in self._runners:
            await runner.cleanup()
        for session in self._sessions:
            await session.close()
        await self.datagrams.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of all controllers."""
        return {topic: dump() for topic, dump in self._dump_by_topic().items()}

    # -- assembly ----------------------------------------------------------------------

    def _build(self) -> None:
        settings, clock, rng, metrics = self.settings, self._clock, self._rng, self.metrics
        control_session = self._session(aiohttp.TCPConnector(limit=0))
        raw_table = DynamoDbTable(
            control_session, settings.table_url, settings.table_name, settings.store_timeout_s
        )
        self.table = CircuitBreakerTable(raw_table, clock, metrics)
        local_member = self._local_member()
        signer = DatagramSigner(settings.message_keys, local_member.node, local_member.incarnation)
        self.datagrams = DatagramTransport(signer, metrics)
        self.drain = DrainController(clock, metrics)
        self.poison = PoisonList(clock)
        peers = HttpPeerClient(control_session)
        self.document = DocumentController(
            self.table, peers, settings.document_poll_s, clock, rng, metrics
        )
        self.members = MembersController(
            local_member,
            TableDirectory(self.table),
            self.datagrams,
            clock,
            rng,
            metrics,
            self.document.record_peer_version,
        )
        peers.members = self.members
        self.load = LoadController(
            local_member.node,
            settings.failure_domain,
            self.members.distances,
            settings.queue_length,
            clock,
            rng,
            metrics,
        )
        host = parse_endpoint(settings.announce_address).host
        self.announce = AnnounceController(
            host,
            settings.failure_domain,
            settings.announce_lease_s,
            clock,
            self.members.set_instances,
        )
        self.leaving = LeavingController(self.members, self.announce, self.datagrams, clock)
        budget = LoadReportBudget(
            clock, settings.measuring_messages_per_s, settings.measuring_bytes_per_s
        )
        self.load_reports = LoadReportController(
            self.members, self.load, self.announce, self.datagrams, budget, clock, rng, metrics
        )
        process_name = f"{local_member.node}/{local_member.incarnation}"
        claim_store = self._create_claim_store(control_session)
        self.claims = ClaimsController(claim_store, process_name, clock, rng, metrics)
        self._subscribe()
        self._build_caller_server()

    def _local_member(self) -> MemberUpdate:
        return MemberUpdate(
            NodeId(self.settings.gossip_address),
            int(self._clock.wall() * 1000),
            MemberState.ALIVE,
            parse_endpoint(self.settings.admin_address),
            FailureDomain(self.settings.failure_domain),
            Region(self.settings.region),
        )

    def _create_claim_store(self, control_session: aiohttp.ClientSession) -> ClaimStore:
        settings = self.settings
        if settings.claims == "rows":
            return RowClaimStore(self.table, self._clock)
        objects = S3ObjectStore(
            control_session, settings.object_url, settings.bucket_name, settings.store_timeout_s
        )
        self.journal = JournalClaimStore(
            self.members.membership.local_member.node,
            settings.claim_shards,
            settings.claim_flush_s,
            self.table,
            objects,
            HttpShardClient(control_session, self.members),
            self.members.owner_of,
            self._clock,
        )
        return self.journal

    def _subscribe(self) -> None:
        def apply_view(view: ClusterView) -> None:
            self.load.set_instances(self.leaving.in_service(view.instances), view.node_count)

        def apply_document(document: Document | None) -> None:
            self.load.set_document(document)
            self.members.set_document_version(self.document.version)

        self.members.cluster_views.subscribe(log_errors(apply_view))
        self.leaving.on_change = lambda: apply_view(self.members.cluster_views.value)
        self.document.documents.subscribe(log_errors(apply_document))
        PoisonController(self.poison, self.members, self.datagrams)

    def _build_caller_server(self) -> None:
        pooled = self._session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=UPSTREAM_KEEPALIVE_S),
            send_once,
            trace_configs=[trace_reuse()],
        )
        unpooled = self._session(aiohttp.TCPConnector(limit=0, force_close=True), send_once)
        self.claim_filter = ClaimFilter(self.claims)
        chain = build_chain(
            [
                RouteFilter(lambda: self.document.snapshot.document),
                deadline_filter,
                body_filter,
                AdmissionFilter(self.drain, self.load),
                QuarantineFilter(self.poison, self.metrics),
                self.claim_filter,
                RetryFilter(self.load, self.poison, self._clock, self._rng),
                ChoiceFilter(self.load),
            ],
            Dispatcher(
                pooled,
                unpooled,
                self.poison,
                self.metrics,
                self._clock,
                self.load.record_statements,
            ),
        )
        caller_server = CallerServer(chain, self.drain, self._clock, self.metrics)
        self.caller_listener = CallerListener(caller_server)

    def _session(
        self,
        connector: aiohttp.TCPConnector,
        *middlewares: aiohttp.ClientMiddlewareType,
        trace_configs: list[aiohttp.TraceConfig] | None = None,
    ) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=connector,
            middlewares=middlewares,
            trace_configs=trace_configs,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
        )
        self._sessions.append(session)
        return session

    # -- listening and background work -------------------------------------------------

    async def _listen_admin(self) -> None:
        admin = admin_app(
            self.metrics, self.document, self._dump_by_topic(), self.load.collect_metrics
        )
        if self.journal is not None:
            add_claim_routes(admin, self.journal)
        await self._listen(web.AppRunner(admin, access_log=None), self.settings.admin_address)
        host = parse_endpoint(self.settings.announce_address).host
        announce = announce_app(self.announce, host)
        await self._listen(web.AppRunner(announce, access_log=None), self.settings.announce_address)

    async def _listen(self, runner: web.BaseRunner, address: str) -> None:
        endpoint = parse_endpoint(address)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, endpoint.host, endpoint.port).start()

    def _spawn(self, work: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(keep_running(work)))

    async def _wake_queues(self) -> None:
        while True:
            await asyncio.sleep(WAKE_INTERVAL_S)
            self.load.wake_waiting()

    def _dump_by_topic(self) -> dict[str, Any]:
        return {
            "members": self.members.dump,
            "document": self.document.dump,
            "load": self.load.dump,
            "claims": self.claims.dump,
            "drain": self.drain.dump,
            "announce": self.announce.dump,
            "measuring": self.load_reports.dump,
            "process": process_facts,
            "poison": lambda: {"held_off": self.poison.quarantined()},
        }
