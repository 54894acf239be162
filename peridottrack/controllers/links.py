"""This node's links to the gates of other members, and its load reports to them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from peridottrack.background import log_errors
from peridottrack.evacuation import EvacuationSet
from peridottrack.frames import DocumentFrame, DocumentRequest, GateLoad, Hello, LeftInstance
from peridottrack.gateroute import GateRoute, LocalRoute
from peridottrack.gatesubset import GateSubset
from peridottrack.link import TICK_S, Link, LinkHooks
from peridottrack.linkserver import LinkServer
from peridottrack.messages import MemberUpdate
from peridottrack.placement import LEAVING_MEMORY_S
from peridottrack.types import Clock, FailureDomain, NodeId, ServiceName

REPORT_DELAY_S = 0.01
"""Delay of a load report that is not urgent; it includes all changes until then, urgent or not."""
REPORT_BYTES_PER_S = 6_000
"""Bytes per second for load reports: below the node's limit for control traffic."""
REPORT_BURST_S = 1.0
"""Seconds of that rate that may be saved up for a burst."""
FRAME_OVERHEAD_BYTES = 66
"""Size of the headers of a TCP packet."""
MAX_REPORT_PEERS = 32
"""Largest number of nodes that a report is sent to: those with the most recent requests."""
NARROW_CHECK_S = 1.0
"""Interval at which links that are no longer needed are looked for."""
FIRST_LOAD_TIMEOUT_S = 0.1
"""Longest wait for the first load report of links that were opened for a waiting request: some
round trips to the farthest failure domain."""
NEVER = float("-inf")
DOCUMENT_LINK_S = 2.0
"""Time for which a link that is opened for a document only is kept."""


@dataclass(frozen=True, slots=True)
class _ClosedLink:
    """What a closed link knew of its peer's instance."""

    left_instance: LeftInstance
    closed_at: float


class LinksController:
    """Opens links to the selected members and reports the local gate's load to others."""

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        subset: GateSubset,
        local_route: LocalRoute,
        server: LinkServer,
        hooks: LinkHooks,
        clock: Clock,
    ) -> None:
        self._make_hello = make_hello
        self._subset = subset
        self._local_route = local_route
        self._server = server
        self._hooks = hooks
        self._clock = clock
        self._update_by_node: dict[NodeId, MemberUpdate] = {}
        self._watchers: frozenset[NodeId] = frozenset()
        # Until when a node is linked to request its document.
        self._document_until_by_node: dict[NodeId, float] = {}
        self._first_load = asyncio.Event()
        self._widened_at_by_service: dict[ServiceName, float] = {}
        self._narrow_checked_at = clock.now()
        self._link_by_node: dict[NodeId, Link] = {}
        self._task_by_node: dict[NodeId, asyncio.Task[None]] = {}
        self._incarnation_by_node: dict[NodeId, int] = {}
        # Links that get no new requests, of removed members and of those no longer selected.
        self._task_by_removed_link: dict[Link, asyncio.Task[None]] = {}
        self._node_by_removed_link: dict[Link, NodeId] = {}
        self._closed_link_by_node: dict[NodeId, _ClosedLink] = {}
        self._report_scheduled = False
        self._allowance = float(REPORT_BYTES_PER_S)
        self._allowance_updated_at = clock.now()

    def set_members(self, members: Iterable[MemberUpdate], watchers: Iterable[NodeId] = ()) -> None:
        """Open links to new members and close those to removed members.

        Parameters
        ----------
        watchers
            Nodes whose responsiveness must be known whether or not requests are sent to them.
        """
        self._update_by_node = {update.node: update for update in members}
        self._update_by_node.pop(self._make_hello().node, None)
        self._watchers = frozenset(watchers)
        self._subset.set_members(self._update_by_node.values())
        self._select()

    def _select(self) -> None:
        """Open and close links so that those of the selected members are open.

        A link that responds is closed only once it has no request in flight, since a node may be
        removed because of its datagrams alone. That of a member is never closed before.
        """
        selected = self._subset.selected() | self._watchers | self._document_until_by_node.keys()
        update_by_node = {
            node: update for node, update in self._update_by_node.items() if node in selected
        }
        for node in list(self._link_by_node):
            if node not in update_by_node:
                removed = self._link_by_node.pop(node)
                self._remember_closed(node, removed)
                self._task_by_removed_link[removed] = self._task_by_node.pop(node)
                self._node_by_removed_link[removed] = node
        self._close_removed()
        for node, update in update_by_node.items():
            link = self._link_by_node.get(node)
            if link is None:
                link = Link(update.admin, update.domain, self._make_hello, self._hooks, self._clock)
                link.on_first_load = self._first_load.set
                closed = self._closed_link_by_node.pop(node, None)
                link.left_instance = closed.left_instance if closed is not None else None
                self._link_by_node[node] = link
                self._task_by_node[node] = asyncio.create_task(link.run())
            elif self._incarnation_by_node.get(node) != update.incarnation:
                link.reconnect_now()
            self._incarnation_by_node[node] = update.incarnation

    def _remember_closed(self, node: NodeId, link: Link) -> None:
        """Keep what a closed link knows for one that replaces it."""
        now = self._clock.now()
        for other, closed in list(self._closed_link_by_node.items()):
            if now - closed.closed_at > LEAVING_MEMORY_S:
                del self._closed_link_by_node[other]
        if link.left_instance is not None:
            self._closed_link_by_node[node] = _ClosedLink(link.left_instance, now)

    def _close_removed(self) -> None:
        for link in list(self._task_by_removed_link):
            is_member = self._node_by_removed_link[link] in self._update_by_node
            if not link.in_flight or not (is_member or link.usable):
                self._task_by_removed_link.pop(link).cancel()
                del self._node_by_removed_link[link]

    async def run(self) -> None:
        """Tick all links until cancelled; one timer for all costs less than one for each."""
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock.now()
            for link in (*self._link_by_node.values(), *self._task_by_removed_link):
                log_errors(link.tick)(now)
            self._close_removed()
            if now - self._narrow_checked_at > NARROW_CHECK_S:
                self._narrow(now)

    def _narrow(self, now: float) -> None:
        """Close the links that were opened for a need that has passed."""
        self._narrow_checked_at = now
        expired = [node for node, until in self._document_until_by_node.items() if until < now]
        for node in expired:
            del self._document_until_by_node[node]
        if self._subset.narrow() or expired:
            self._select()

    def is_responsive(self, node: NodeId) -> bool:
        """Return whether a node responds; known long before the membership removes the node.

        Of a node without a link only the membership tells.
        """
        link = self._link_by_node.get(node)
        return link.usable if link is not None else node in self._update_by_node

    def widen(self, service: ServiceName, urgent: bool) -> bool:
        """Link to more gates of a service since its linked ones have no capacity.

        Parameters
        ----------
        urgent
            Whether a request will be refused otherwise.

        Returns
        -------
        bool
            Whether links were opened so recently that their first load reports may still arrive.
        """
        now = self._clock.now()
        if self._subset.widen(service, urgent):
            self._select()
            self._widened_at_by_service[service] = now
        return now - self._widened_at_by_service.get(service, NEVER) < FIRST_LOAD_TIMEOUT_S

    async def wait_for_first_load(self) -> None:
        """Wait until a link that is being opened has reported a load, for a short time at most."""
        self._first_load.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LOAD_TIMEOUT_S):
                await self._first_load.wait()

    def routes_of(self, service: ServiceName) -> list[GateRoute]:
        """Return the routes to the linked gates of a service."""
        if self._subset.use(service):
            self._select()
        routes: list[GateRoute] = []
        local_load = self._local_route.load
        if local_load is not None and local_load.service == service:
            routes.append(self._local_route)
        for link in self._link_by_node.values():
            if link.load is not None and link.load.service == service:
                routes.append(link)
        return routes

    def request_document(self, node: NodeId, known_version: int) -> None:
        """Request a node's document if it is newer than ``known_version``."""
        link = self._link_by_node.get(node)
        if link is not None:
            link.send(DocumentRequest(known_version))
        elif node in self._update_by_node:
            # The peer answers the hello of a new link with its document if that is newer.
            self._document_until_by_node[node] = self._clock.now() + DOCUMENT_LINK_S
            self._select()

    def send_document(self, frame: DocumentFrame) -> None:
        """Send a new document to the nodes that sent requests last; others learn its version."""
        self._server.broadcast(frame, MAX_REPORT_PEERS)

    def send_evacuations(self, evacuations: EvacuationSet) -> None:
        """Send changed evacuations to all nodes that are linked to this one."""
        self._server.broadcast(evacuations, len(self._server.connections))

    def set_evacuated(self, domains: frozenset[FailureDomain]) -> None:
        """Select gates in other failure domains than the evacuated ones."""
        self._subset.evacuated = domains
        self._subset.set_members(self._update_by_node.values())
        self._select()

    def report_load(self, urgent: bool) -> None:
        """Schedule a load report to the nodes that send requests here.

        That the instance leaves is reported at once: it is acknowledged after this, and the other
        nodes must know of it if this process ends.
        """
        if urgent and self._local_route.instance_leaves:
            self._report()
            return
        if self._report_scheduled:
            return
        self._report_scheduled = True
        asyncio.get_running_loop().call_later(0 if urgent else REPORT_DELAY_S, self._report)

    def _report(self) -> None:
        self._report_scheduled = False
        now = self._clock.now()
        earned = (now - self._allowance_updated_at) * REPORT_BYTES_PER_S
        self._allowance = min(REPORT_BYTES_PER_S * REPORT_BURST_S, self._allowance + earned)
        self._allowance_updated_at = now
        load = self._local_route.load
        assert load is not None
        # That the gate has closed is always reported, and to all nodes, since none may send here
        # any more; other changes are reported only within the allowance.
        if load.open and self._allowance <= 0:
            return
        sent_bytes = self._server.broadcast(
            load, MAX_REPORT_PEERS if load.open else len(self._server.connections)
        )
        self._allowance -= sent_bytes + FRAME_OVERHEAD_BYTES * min(
            MAX_REPORT_PEERS, len(self._server.connections)
        )

    def last_loads(self) -> dict[NodeId, GateLoad | None]:
        """Return the last load report of each gate, for the state dump."""
        return {node: link.load for node, link in self._link_by_node.items()}

    async def stop(self) -> None:
        """Close all links."""
        tasks = (*self._task_by_node.values(), *self._task_by_removed_link.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._task_by_node.clear()
        self._task_by_removed_link.clear()
        self._link_by_node.clear()
