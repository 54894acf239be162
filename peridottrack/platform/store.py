"""The one client of the platform's store: rows of tables over HTTP."""

from __future__ import annotations

import base64
import json
import socket
from collections.abc import Callable
from typing import Any

import aiohttp

from peridottrack import log
from peridottrack.controllers.members import update_from_data, update_to_data
from peridottrack.documentsource import DocumentUpdate
from peridottrack.exceptions import HistoryTruncated, StoreUnavailable
from peridottrack.messages import MemberUpdate
from peridottrack.types import NodeId

OPERATORS_TABLE = "op"
DOCUMENT_KEY = "config"
NODES_TABLE = "peridottrack-nodes"
FEED_WAIT_S = 2.5
"""How long a call waits for news: a call that an outage left without an answer is noticed after it,
and the platform's bounds begin three seconds after an outage."""
GONE = 410


class StoreClient:
    """Calls to the store.

    Parameters
    ----------
    count
        Called with what each call was for and how it ended.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float,
        count: Callable[[str, str], None],
    ) -> None:
        self._session = session
        self._url = url
        self._timeout_s = timeout_s
        self._count = count

    async def call(
        self,
        cause: str,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
    ) -> tuple[int, Any]:
        """Make one call; return status and body.

        Raises
        ------
        StoreUnavailable
            If no answer came, or one that says that the store cannot serve now.
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._session.request(
                method, f"{self._url}{path}", params=query, json=body, timeout=timeout
            ) as answer:
                data = json.loads(await answer.read() or b"null")
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._count(cause, "unanswered")
            raise StoreUnavailable(f"{cause}: {error!r}") from error
        self._count(cause, str(status))
        if status not in (200, 412, GONE):
            raise StoreUnavailable(f"{cause}: status {status}")
        return status, data


class StoreDirectory:
    """`Directory` as one row a node."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def read(self) -> list[MemberUpdate]:
        """Return all entries; one that cannot be read is left out."""
        found: list[MemberUpdate] = []
        query = {"table": NODES_TABLE, "part": ""}
        while True:
            _, page = await self._client.call("nodes", "GET", "/v1/rows-get", query=query)
            for row in page["rows"]:
                try:
                    found.append(update_from_data(json.loads(base64.b64decode(row["value"]))))
                except (ValueError, KeyError, TypeError) as error:
                    log.warning("entry of a node cannot be read", key=row["key"], error=repr(error))
            if not page.get("truncated"):
                return found
            # The lowest key above the last one that came.
            query["from"] = page["rows"][-1]["key"] + "\0"

    async def write(self, me: MemberUpdate) -> bool:
        """Put the node's own entry."""
        value = base64.b64encode(json.dumps(update_to_data(me)).encode()).decode()
        row = {"table": NODES_TABLE, "part": "", "key": me.node, "value": value}
        return await self._change([row], [])

    async def remove(self, node: NodeId) -> None:
        """Remove an entry."""
        await self._change([], [{"table": NODES_TABLE, "part": "", "key": node}])

    async def _change(self, writes: list[Any], removed: list[Any]) -> bool:
        body = {"precondition": [], "writes": writes, "remove": removed}
        try:
            status, _ = await self._client.call("enter", "POST", "/v1/rows-tx", body=body)
        except StoreUnavailable as error:
            log.warning("entry not written", error=str(error))
            return False
        return status == 200


class StoreDocuments:
    """`DocumentSource` as the row that the operators write, followed by its table's feed."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def read(self) -> DocumentUpdate:
        """Return the newest document."""
        query = {"table": OPERATORS_TABLE, "part": ""}
        _, page = await self._client.call("document", "GET", "/v1/rows-get", query=query)
        return DocumentUpdate(int(page["ver"]), _document_in(page))

    async def follow(self, position: int) -> DocumentUpdate:
        """Wait for a change of the operators' table."""
        query = {
            "table": OPERATORS_TABLE,
            "after": str(position),
            "wait_ms": str(int(FEED_WAIT_S * 1000)),
        }
        status, page = await self._client.call(
            "feed", "GET", "/v1/rows-feed", query=query, wait_s=FEED_WAIT_S
        )
        if status == GONE:
            raise HistoryTruncated(f"after {position}")
        return DocumentUpdate(int(page["ver"]), _document_in(page))


def _document_in(page: Any) -> bytes | None:
    """Return the last value of the document's row in a page."""
    found = None
    for row in page["rows"]:
        if row["key"] == DOCUMENT_KEY and not row.get("removed"):
            found = base64.b64decode(row["value"])
    return found


def store_socket(address: Any) -> socket.socket:
    """Make a socket that notices within seconds that the store cannot be reached."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    for option, value in KEEPALIVE:
        made.setsockopt(*option, value)
    return made


KEEPALIVE = (
    ((socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPIDLE), 1),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPINTVL), 1),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPCNT), 2),
)
"""Seconds of silence, seconds between probes and unanswered probes until a connection ends."""
