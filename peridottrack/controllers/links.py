"""The links of this node to the gates of others, kept in step with the members."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from peridottrack.frames import DocumentFrame, DocumentRequest, GateLoad, Hello
from peridottrack.gateroute import GateRoute, LocalRoute
from peridottrack.link import TICK_S, Link, LinkHooks
from peridottrack.linkserver import LinkServer
from peridottrack.messages import MemberUpdate
from peridottrack.types import Clock, NodeId, ServiceName

TELL_GAP_S = 0.01
"""Least time between two urgent words of load; changes within it are told at once."""
TELL_BYTES_PER_S = 6_000
"""Bytes a second for telling load: below the node's limit for control traffic."""
TELL_SAVED_S = 1.0
"""Seconds of that which may be saved up."""
FRAME_OVERHEAD_BYTES = 66
"""Headers of a TCP packet."""
MAX_REPORT_PEERS = 32
"""Nodes that are told at most: those that asked last."""


class LinksController:
    """Opens a link to each member and tells the others of the gate here."""

    def __init__(
        self,
        me: Callable[[], Hello],
        own: LocalRoute,
        server: LinkServer,
        hooks: LinkHooks,
        clock: Clock,
    ) -> None:
        self._me = me
        self._own = own
        self._server = server
        self._hooks = hooks
        self._clock = clock
        self._link_by_node: dict[NodeId, Link] = {}
        self._task_by_node: dict[NodeId, asyncio.Task[None]] = {}
        self._incarnation_by_node: dict[NodeId, int] = {}
        self._tell_due = False
        self._allowance = float(TELL_BYTES_PER_S)
        self._allowed_at = clock.now()

    def set_members(self, members: Iterable[MemberUpdate]) -> None:
        """Open links to new members and close those to members that are gone."""
        wanted = {update.node: update for update in members}
        wanted.pop(self._me().node, None)
        for node in list(self._link_by_node):
            if node not in wanted:
                self._task_by_node.pop(node).cancel()
                del self._link_by_node[node]
        for node, update in wanted.items():
            link = self._link_by_node.get(node)
            if link is None:
                link = Link(update.admin, update.domain, self._me, self._hooks, self._clock)
                self._link_by_node[node] = link
                self._task_by_node[node] = asyncio.create_task(link.run())
            elif self._incarnation_by_node.get(node) != update.incarnation:
                link.wake()
            self._incarnation_by_node[node] = update.incarnation

    async def run(self) -> None:
        """Let all links look at the time until cancelled; a timer for each costs more than that."""
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock.now()
            for link in list(self._link_by_node.values()):
                link.tick(now)

    def is_responsive(self, node: NodeId) -> bool:
        """Tell whether a node answered lately; known long before it counts as gone."""
        link = self._link_by_node.get(node)
        return link is not None and link.usable

    def routes_of(self, service: ServiceName) -> list[GateRoute]:
        """Return the ways to the gates of a service."""
        routes: list[GateRoute] = []
        own = self._own.load
        if own is not None and own.service == service:
            routes.append(self._own)
        for link in self._link_by_node.values():
            if link.load is not None and link.load.service == service:
                routes.append(link)
        return routes

    def request_document(self, node: NodeId, have: int) -> None:
        """Ask a node for its document."""
        link = self._link_by_node.get(node)
        if link is not None:
            link.send(DocumentRequest(have))

    def send_document(self, frame: DocumentFrame) -> None:
        """Send a new document to the nodes that are connected; the rest hear of its version."""
        self._server.broadcast(frame, MAX_REPORT_PEERS)

    def report_load(self, urgent: bool) -> None:
        """Tell the callers' nodes of the gate here, soon."""
        if self._tell_due:
            return
        self._tell_due = True
        asyncio.get_running_loop().call_later(0 if urgent else TELL_GAP_S, self._tell)

    def _tell(self) -> None:
        self._tell_due = False
        now = self._clock.now()
        earned = (now - self._allowed_at) * TELL_BYTES_PER_S
        self._allowance = min(TELL_BYTES_PER_S * TELL_SAVED_S, self._allowance + earned)
        self._allowed_at = now
        load = self._own.load
        assert load is not None
        # Whether the gate is open is told in any case; mere speed only within the allowance.
        if load.open and self._allowance <= 0:
            return
        told = self._server.broadcast(
            load, MAX_REPORT_PEERS if load.open else len(self._server.connections)
        )
        self._allowance -= told + FRAME_OVERHEAD_BYTES * min(
            MAX_REPORT_PEERS, len(self._server.connections)
        )

    def last_loads(self) -> dict[NodeId, GateLoad | None]:
        """Return what each gate said last, for a dump."""
        return {node: link.load for node, link in self._link_by_node.items()}

    async def stop(self) -> None:
        """Close all links."""
        for task in self._task_by_node.values():
            task.cancel()
        await asyncio.gather(*self._task_by_node.values(), return_exceptions=True)
        self._task_by_node.clear()
        self._link_by_node.clear()
