"""HTTP client of the platform's store of table rows, used for the directory and the document."""

from __future__ import annotations

import base64
import json
import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import aiohttp

from peridottrack import log
from peridottrack.controllers.members import update_from_entry, update_to_data
from peridottrack.documentsource import DocumentUpdate
from peridottrack.evacuation import EvacuationChange, EvacuationRows
from peridottrack.exceptions import HistoryTruncated, StoreUnavailable
from peridottrack.jsondata import (
    MAX_INT64,
    MAX_TEXT_LENGTH,
    decode_json,
    require_integer,
    require_list,
    require_number,
    require_object,
)
from peridottrack.messages import MemberUpdate
from peridottrack.types import FailureDomain, NodeId

OPERATORS_TABLE = "op"
DOCUMENT_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
EVACUATION_VALUE = base64.b64encode(b"{}").decode()
MAX_DOMAIN_LENGTH = 100
NODES_TABLE = "peridottrack-nodes"
MAX_STORE_TIME_S = 1e12
"""Latest time of the store's clock: a datagram must hold it in milliseconds."""
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
        """Make one call; return the status and, if that is 200, the decoded body.

        Raises
        ------
        StoreUnavailable
            If no response arrived or its body cannot be decoded, or the status is an error other
            than 412 (precondition failed) or 410 (history truncated).
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._session.request(
                method, f"{self._url}{path}", params=query, json=body, timeout=timeout
            ) as response:
                status = response.status
                body = await response.read()
                data = require_object(decode_json(body), "body") if status == 200 else None
                self.era = int(response.headers.get(ERA_HEADER, "0"))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._count(operation, "unanswered")
            raise StoreUnavailable(f"{operation}: {error!r}") from error
        self._count(operation, str(status))
        if status not in (200, 412, GONE_STATUS):
            raise StoreUnavailable(f"{operation}: status {status}")
        return status, data

    async def read_page(
        self, operation: str, path: str, query: dict[str, str], wait_s: float = 0.0
    ) -> _Page:
        """Read rows.

        Raises
        ------
        HistoryTruncated
            If the changes after the requested position are no longer available.
        StoreUnavailable
            As `call` does, or if the response is not a page of rows.
        """
        status, data = await self.call(operation, "GET", path, query=query, wait_s=wait_s)
        if status == GONE_STATUS:
            raise HistoryTruncated(f"{operation}: the requested changes are no longer available")
        try:
            return _read_page(data)
        except (ValueError, AttributeError) as error:
            raise StoreUnavailable(f"{operation}: {error}") from error


@dataclass(frozen=True, slots=True)
class _Page:
    """Rows of one response.

    Parameters
    ----------
    position
        Version of the newest row of the table.
    truncated
        Whether more rows follow.
    store_time_s
        Steady clock of the store, in seconds; None if the response does not tell it.
    """

    rows: list[dict[str, Any]]
    position: int
    truncated: bool
    store_time_s: float | None

    def next_key(self) -> str:
        """Return the lowest key above that of the last row."""
        return str(self.rows[-1]["key"]) + "\0"


def _read_page(data: Any) -> _Page:
    rows = require_list(data.get("rows"), "rows")
    position = require_integer(data.get("ver"), "ver", 0, MAX_INT64)
    page = _Page(rows, position, bool(data.get("truncated")), _store_time(data.get("now_s")))
    if not all(isinstance(row, dict) for row in rows):
        raise ValueError("a row is not an object")
    if page.truncated and not (rows and isinstance(rows[-1].get("key"), str)):
        raise ValueError("rows are missing")
    return page


def _store_time(value: Any) -> float | None:
    try:
        return require_number(value, "now_s", 0, MAX_STORE_TIME_S)
    except ValueError:
        return None


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
            page = await self._client.read_page("nodes", "/v1/rows-get", query)
            for row in page.rows:
                try:
                    updates.append(update_from_entry(_value_of(row)))
                except ValueError as error:
                    key = str(row.get("key"))[:MAX_TEXT_LENGTH]
                    log.warning("entry of a node cannot be read", key=key, error=str(error)[:200])
            if not page.truncated:
                return updates
            query["from"] = page.next_key()

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
        first = page = await self._client.read_page("document", "/v1/rows-get", query)
        rows = list(first.rows)
        while page.truncated:
            query["from"] = page.next_key()
            page = await self._client.read_page("document", "/v1/rows-get", query)
            rows += page.rows
        # The pages may be of several moments: what changed after the first is still to come.
        return self._update_from(replace(first, rows=rows, truncated=False), complete=True)

    async def follow(self, position: int, wait_s: float) -> DocumentUpdate:
        """Wait for a change of the operators' table, for ``wait_s`` seconds at most."""
        query = {
            "table": OPERATORS_TABLE,
            "after": str(position),
            "wait_ms": str(int(wait_s * 1000)),
        }
        page = await self._client.read_page("feed", "/v1/rows-feed", query, wait_s=wait_s)
        return self._update_from(page)

    async def restore_evacuations(self, domains: Iterable[FailureDomain]) -> None:
        """Write the rows of evacuated domains that the store has lost; keep those that it has."""
        for domain in domains:
            row = {"table": OPERATORS_TABLE, "part": "", "key": EVACUATION_PREFIX + domain}
            body = {
                "precondition": [{**row, "ver": 0}],
                "writes": [{**row, "value": EVACUATION_VALUE}],
                "remove": [],
            }
            await self._client.call("evacuation", "POST", "/v1/rows-tx", body=body)

    def _update_from(self, page: _Page, complete: bool = False) -> DocumentUpdate:
        # The newest document may be among the rows that a truncated page lacks.
        store_time_s = None if page.truncated else page.store_time_s
        return DocumentUpdate(
            page.position,
            _document_from(page),
            self._client.era,
            store_time_s,
            EvacuationRows(tuple(_evacuations_from(page)), complete),
        )


def _evacuations_from(page: _Page) -> Iterable[EvacuationChange]:
    for row in page.rows:
        key = row.get("key")
        if not isinstance(key, str) or not key.startswith(EVACUATION_PREFIX):
            continue
        domain = key.removeprefix(EVACUATION_PREFIX)
        if not 0 < len(domain) <= MAX_DOMAIN_LENGTH or not domain.isprintable():
            log.warning("evacuation cannot be read", key=key[:MAX_TEXT_LENGTH])
            continue
        position = row.get("ver")
        if isinstance(position, bool) or not isinstance(position, int):
            position = page.position
        position = min(max(position, 0), MAX_INT64)
        yield EvacuationChange(FailureDomain(domain), not row.get("removed"), position)


def _document_from(page: _Page) -> bytes | None:
    """Return the document in a page, None if it has none; a feed page may hold several versions."""
    value = None
    for row in page.rows:
        if row.get("key") == DOCUMENT_KEY and not row.get("removed"):
            try:
                value = _value_of(row)
            except ValueError as error:
                log.warning("document refused", origin="store", error=str(error)[:300])
    return value


def _value_of(row: dict[str, Any]) -> bytes:
    value = row.get("value")
    if not isinstance(value, str):
        raise ValueError("value is missing or not a text")
    return base64.b64decode(value, validate=True)


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
