"""HTTP client of the platform's store of table rows, used for the directory and the document."""

from __future__ import annotations

import base64
import json
import socket
from collections.abc import Callable, Sequence
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
"""Seconds that a feed call waits for a change in the store.

A feed call that gets no response because of an outage is noticed only after this time; the bounds
that the platform sets on nodes begin to apply three seconds after an outage.
"""
GONE_STATUS = 410
MAX_TRANSACTION_ROWS = 100
ERA_HEADER = "Store-Era"


class StoreClient:
    """Calls to the store.

    Parameters
    ----------
    count
        Called with the operation and the outcome of each call.

    Attributes
    ----------
    era
        The store's era in its last response; it rises by one when the store is restored from an
        older copy. 0 before the first response, and for a store that names none.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float,
        count: Callable[[str, str], None],
    ) -> None:
        self.era = 0
        self._session = session
        self._url = url
        self._timeout_s = timeout_s
        self._count = count

    async def call(
        self,
        operation: str,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
    ) -> tuple[int, Any]:
        """Make one call; return status and decoded body.

        Raises
        ------
        StoreUnavailable
            If no response arrived, or the status is an error other than 412 (precondition
            failed) or 410 (history truncated).
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._session.request(
                method, f"{self._url}{path}", params=query, json=body, timeout=timeout
            ) as response:
                data = json.loads(await response.read() or b"null")
                status = response.status
                self.era = int(response.headers.get(ERA_HEADER, "0"))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._count(operation, "unanswered")
            raise StoreUnavailable(f"{operation}: {error!r}") from error
        self._count(operation, str(status))
        if status not in (200, 412, GONE_STATUS):
            raise StoreUnavailable(f"{operation}: status {status}")
        return status, data


class StoreDirectory:
    """`Directory` with one row for each node."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    @property
    def era(self) -> int:
        """The store's era when it last answered, 0 if unknown."""
        return self._client.era

    async def read(self) -> list[MemberUpdate]:
        """Return all entries except those that cannot be decoded."""
        updates: list[MemberUpdate] = []
        query = {"table": NODES_TABLE, "part": ""}
        while True:
            _, page = await self._client.call("nodes", "GET", "/v1/rows-get", query=query)
            for row in page["rows"]:
                try:
                    updates.append(update_from_data(json.loads(base64.b64decode(row["value"]))))
                except (ValueError, KeyError, TypeError) as error:
                    log.warning("entry of a node cannot be read", key=row["key"], error=repr(error))
            if not page.get("truncated"):
                return updates
            # The lowest key above that of the last row.
            query["from"] = page["rows"][-1]["key"] + "\0"

    async def write(self, member: MemberUpdate) -> bool:
        """Write the node's own entry; return whether the store accepted it."""
        return await self.write_all([member])

    async def write_all(self, members: Sequence[MemberUpdate]) -> bool:
        """Write the entries of several nodes; return whether the store accepted all of them."""
        for start in range(0, len(members), MAX_TRANSACTION_ROWS):
            batch = members[start : start + MAX_TRANSACTION_ROWS]
            if not await self._change([_entry_row(member) for member in batch], []):
                return False
        return True

    async def remove(self, node: NodeId) -> None:
        """Remove an entry if the store is available."""
        await self._change([], [{"table": NODES_TABLE, "part": "", "key": node}])

    async def _change(self, writes: list[Any], removals: list[Any]) -> bool:
        # The operation is named "enter" in metrics, also for a removal.
        body = {"precondition": [], "writes": writes, "remove": removals}
        try:
            status, _ = await self._client.call("enter", "POST", "/v1/rows-tx", body=body)
        except StoreUnavailable as error:
            log.warning("entry not written", error=str(error))
            return False
        return status == 200


def _entry_row(member: MemberUpdate) -> dict[str, str]:
    value = base64.b64encode(json.dumps(update_to_data(member)).encode()).decode()
    return {"table": NODES_TABLE, "part": "", "key": member.node, "value": value}


class StoreDocuments:
    """`DocumentSource` that reads the operators' row and follows the feed of its table."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def read(self) -> DocumentUpdate:
        """Return the latest document."""
        query = {"table": OPERATORS_TABLE, "part": ""}
        _, page = await self._client.call("document", "GET", "/v1/rows-get", query=query)
        return DocumentUpdate(int(page["ver"]), _document_from(page), self._client.era)

    async def follow(self, position: int) -> DocumentUpdate:
        """Wait for a change of the operators' table; the wait may end without one."""
        query = {
            "table": OPERATORS_TABLE,
            "after": str(position),
            "wait_ms": str(int(FEED_WAIT_S * 1000)),
        }
        status, page = await self._client.call(
            "feed", "GET", "/v1/rows-feed", query=query, wait_s=FEED_WAIT_S
        )
        if status == GONE_STATUS:
            raise HistoryTruncated(f"changes after position {position} are no longer available")
        return DocumentUpdate(int(page["ver"]), _document_from(page), self._client.era)


def _document_from(page: Any) -> bytes | None:
    """Return the document in a page, None if it has none; a feed page may hold several versions."""
    value = None
    for row in page["rows"]:
        if row["key"] == DOCUMENT_KEY and not row.get("removed"):
            value = base64.b64decode(row["value"])
    return value


def store_socket(address: Any) -> socket.socket:
    """Create a socket that detects within about 3 seconds that the store is unreachable."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    for option, value in KEEPALIVE:
        sock.setsockopt(*option, value)
    return sock


KEEPALIVE = (
    ((socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPIDLE), 1),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPINTVL), 1),
    ((socket.IPPROTO_TCP, socket.TCP_KEEPCNT), 2),
)
"""TCP keepalive: idle seconds before the first probe, seconds between probes, and the number of
unanswered probes after which the connection is closed."""
