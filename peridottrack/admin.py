"""HTTP applications of the admin and announce addresses, and clients of other nodes."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from typing import Any

import aiohttp
from aiohttp import web
from pydantic import ValidationError

from peridottrack.claims import ClaimHandle, ClaimRecord, ClaimReply, ClaimStatus
from peridottrack.controllers.announce import AnnounceController, Announcement
from peridottrack.controllers.document import DocumentController
from peridottrack.controllers.members import MembersController
from peridottrack.journal import JournalClaimStore
from peridottrack.metrics import Metrics
from peridottrack.revisions import DocumentHead, decode_head_value
from peridottrack.shards import JournalEntry
from peridottrack.types import InstanceId, NodeId

PEER_TIMEOUT_S = 1.0
"""Timeout of a call to another node."""
MAX_CONTROL_BODY_BYTES = 2 << 20
"""Largest request body from another node."""
Dump = Callable[[], dict[str, Any]]


def admin_app(
    metrics: Metrics,
    document: DocumentController,
    dump_by_topic: Mapping[str, Dump],
    collect: Callable[[], None],
) -> web.Application:
    """Build the application of the admin address: metrics, state dump and document.

    Parameters
    ----------
    collect
        Called before metrics are read, to update gauges.
    dump_by_topic
        Functions that return the parts of the state dump, by topic.
    """

    async def get_metrics(request: web.Request) -> web.Response:
        collect()
        return web.Response(body=metrics.text(), content_type="text/plain")

    async def get_dump(request: web.Request) -> web.Response:
        requested = request.query.get("topic")
        parts = {
            topic: dump() for topic, dump in dump_by_topic.items() if requested in (None, topic)
        }
        return web.json_response(parts, dumps=_pretty)

    async def get_version(request: web.Request) -> web.Response:
        return web.json_response(
            {"version": document.version, "confirmed_age_s": document.confirmed_age_s()}
        )

    async def post_document(request: web.Request) -> web.Response:
        known_head = decode_head_value(await request.read())
        return web.Response(
            body=document.changes_for_peer(known_head), content_type="application/json"
        )

    app = web.Application(client_max_size=MAX_CONTROL_BODY_BYTES)
    app.router.add_get("/metrics", get_metrics)
    app.router.add_get("/dump", get_dump)
    app.router.add_get("/version", get_version)
    app.router.add_post("/document", post_document)
    return app


def announce_app(controller: AnnounceController, host: str) -> web.Application:
    """Build the application of the announce address.

    Parameters
    ----------
    host
        This host's IP address; announcements from other hosts are rejected.
    """

    @web.middleware
    async def only_local(request: web.Request, handler: Any) -> web.StreamResponse:
        peer = request.remote or ""
        if peer != host and not (peer and ip_address(peer).is_loopback):
            raise web.HTTPForbidden(text="only upstreams of this host may announce\n")
        return await handler(request)

    async def put_instance(request: web.Request) -> web.Response:
        try:
            announcement = Announcement.model_validate_json(await request.read())
        except ValidationError as error:
            raise web.HTTPBadRequest(text=f"{error}\n") from None
        if not controller.announce(_instance_id(request), announcement):
            raise web.HTTPConflict(text="an instance that has left needs a new name\n")
        return web.Response(status=204)

    async def post_drain(request: web.Request) -> web.Response:
        return _found_response(controller.drain(_instance_id(request)))

    async def delete_instance(request: web.Request) -> web.Response:
        return _found_response(controller.deregister(_instance_id(request)))

    app = web.Application(middlewares=[only_local])
    app.router.add_put("/instances/{id:[A-Za-z0-9_.-]{1,64}}", put_instance)
    app.router.add_post("/instances/{id:[A-Za-z0-9_.-]{1,64}}/drain", post_drain)
    app.router.add_delete("/instances/{id:[A-Za-z0-9_.-]{1,64}}", delete_instance)
    return app


class HttpPeerClient:
    """`PeerClient` over the admin addresses of other nodes.

    Attributes
    ----------
    members
        Must be set before the first call; the members controller is created later than this.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_S)
        self.members: MembersController | None = None

    async def fetch(self, node: NodeId, known_head: DocumentHead) -> bytes | None:
        """Return the peer's reply to a document request, None if there is none."""
        endpoint = self.members.admin_of(node) if self.members else None
        if endpoint is None:
            return None
        url = f"http://{endpoint}/document"
        try:
            async with self._session.post(
                url, data=known_head.encode(), timeout=self._timeout
            ) as response:
                return await response.read() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError):
            return None


class HttpShardClient:
    """`ShardClient` over the admin addresses of the shards' owners."""

    def __init__(self, session: aiohttp.ClientSession, members: MembersController) -> None:
        self._session = session
        self._members = members
        self._timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_S)

    async def claim(self, owner: NodeId, entry: JournalEntry) -> ClaimReply | None:
        """Request a claim.

        A refused connection means that it was not made. None means that it may have been made,
        since no valid response arrived.
        """
        try:
            reply = await self._post(owner, "claim", entry.to_data())
        except aiohttp.ClientConnectorError:
            return ClaimReply(ClaimStatus.REFUSED)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        status = ClaimStatus(reply["status"])
        record = reply["record"]
        return ClaimReply(
            status,
            ClaimHandle(entry.record, entry.writer, 0),
            ClaimRecord.decode(base64.b64decode(record)) if record else None,
        )

    async def finish(self, owner: NodeId, entry: JournalEntry, withdraw: bool) -> bool | None:
        """Report the outcome of a claim; None if no valid response arrived."""
        try:
            reply = await self._post(owner, "finish", {**entry.to_data(), "withdraw": withdraw})
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        return bool(reply["durable"])

    async def _post(self, owner: NodeId, operation: str, data: dict[str, Any]) -> dict[str, Any]:
        url = f"http://{self._members.admin_of(owner)}/claims/{operation}"
        async with self._session.post(url, json=data, timeout=self._timeout) as response:
            response.raise_for_status()
            reply: dict[str, Any] = json.loads(await response.read())
            return reply


def add_claim_routes(app: web.Application, claims: JournalClaimStore) -> None:
    """Add the routes on which other nodes use the claim shards owned by this node."""

    async def post_claim(request: web.Request) -> web.Response:
        reply = await claims.claim_as_owner(JournalEntry.from_data(await request.json()))
        record = base64.b64encode(reply.record.encode()).decode() if reply.record else None
        return web.json_response({"status": reply.status.value, "record": record})

    async def post_finish(request: web.Request) -> web.Response:
        data = await request.json()
        durable = await claims.finish_as_owner(JournalEntry.from_data(data), data["withdraw"])
        return web.json_response({"durable": durable})

    app.router.add_post("/claims/claim", post_claim)
    app.router.add_post("/claims/finish", post_finish)


def _instance_id(request: web.Request) -> InstanceId:
    return InstanceId(request.match_info["id"])


def _found_response(found: bool) -> web.Response:
    return web.Response(status=204 if found else 404)


def _pretty(data: Any) -> str:
    return json.dumps(data, indent=2, default=str)
