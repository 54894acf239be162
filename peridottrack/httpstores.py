"""HTTP clients of the platform's table service and object store.

The table service uses the Amazon DynamoDB API of 2012-08-10 (JSON 1.0), the object store the
Amazon S3 REST API, both limited to what `TableStore` and `ObjectStore` need. A platform with
other stores needs a module of its own like this one.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import quote
from xml.etree import ElementTree

import aiohttp

from peridottrack import log
from peridottrack.exceptions import StoreUnavailable
from peridottrack.jsondata import decode_json, require_object
from peridottrack.types import (
    ABSENT_VERSION,
    Page,
    Row,
    RowKey,
    Write,
    WriteAction,
    WriteOutcome,
    WriterId,
)

UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)
"""Exceptions of reading an item or a response whose parts are missing or of another type."""
TARGET_HEADER = "X-Amz-Target"
TARGET_PREFIX = "DynamoDB_20120810."
JSON_TYPE = "application/x-amz-json-1.0"
CONDITION_ABSENT = "attribute_not_exists(pk)"
CONDITION_VERSION = "ver = :ver"
S3_LIST_NAME = "{*}Contents/{*}Key"
ITEM_KIND_BY_ACTION = {
    WriteAction.PUT: "Put",
    WriteAction.DELETE: "Delete",
    WriteAction.CHECK: "ConditionCheck",
}
# The service returns these errors before it writes anything.
THROTTLING_ERRORS = frozenset(
    {"ThrottlingException", "ProvisionedThroughputExceededException", "RequestLimitExceeded"}
)


def row_to_item(row: Row) -> dict[str, Any]:
    """Return a row as an item of the table service."""
    return {
        **key_to_item(row.key),
        "body": {"B": base64.b64encode(row.value).decode()},
        "ver": {"N": str(row.version)},
        "writer": {"S": row.writer},
    }


def item_to_row(item: Mapping[str, Any]) -> Row:
    """Return the row that an item of the table service holds."""
    return Row(
        item_to_key(item),
        base64.b64decode(item["body"]["B"]),
        int(item["ver"]["N"]),
        WriterId(item["writer"]["S"]),
    )


def key_to_item(key: RowKey) -> dict[str, Any]:
    """Return a key as attributes of the table service."""
    return {"pk": {"S": key.partition}, "sk": {"S": key.sort}}


def item_to_key(item: Mapping[str, Any]) -> RowKey:
    """Return the key of an item of the table service."""
    return RowKey(item["pk"]["S"], item["sk"]["S"])


class DynamoDbTable:
    """`TableStore` over the DynamoDB API."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, table_name: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url
        self._table_name = table_name
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, key: RowKey) -> Row | None:
        """Read one row with a strongly consistent read."""
        body = {"Key": key_to_item(key), "ConsistentRead": True}
        response = await self._read("GetItem", body)
        if "Item" not in response:
            return None
        try:
            return item_to_row(response["Item"])
        except UNREADABLE as error:
            raise StoreUnavailable(f"GetItem: {error!r}") from error

    async def query(self, partition: str, after: str | None = None, limit: int = 100) -> Page:
        """Read rows of a partition in order."""
        body: dict[str, Any] = {
            "KeyConditionExpression": "pk = :pk",
            "ExpressionAttributeValues": {":pk": {"S": partition}},
            "ConsistentRead": True,
            "Limit": limit,
        }
        if after is not None:
            body["ExclusiveStartKey"] = key_to_item(RowKey(partition, after))
        response = await self._read("Query", body)
        try:
            last = response.get("LastEvaluatedKey")
            rows = [row for item in response["Items"] if (row := _readable_row(item)) is not None]
            return Page(rows, item_to_key(last).sort if last else None)
        except UNREADABLE as error:
            raise StoreUnavailable(f"Query: {error!r}") from error

    async def transact(self, writes: Sequence[Write], writer: WriterId) -> WriteOutcome:
        """Apply all writes or none."""
        body = {"TransactItems": [self._transact_item(write, writer) for write in writes]}
        try:
            status, response = await self._post("TransactWriteItems", body)
        except aiohttp.ClientConnectorError:
            return WriteOutcome.REFUSED
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return WriteOutcome.UNKNOWN
        return _transact_outcome(status, response)

    def _transact_item(self, write: Write, writer: WriterId) -> dict[str, Any]:
        part: dict[str, Any] = {"TableName": self._table_name}
        if write.action is WriteAction.PUT:
            row = Row(write.key, write.value, write.expected_version + 1, writer)
            part["Item"] = row_to_item(row)
        else:
            part["Key"] = key_to_item(write.key)
        if write.expected_version == ABSENT_VERSION:
            part["ConditionExpression"] = CONDITION_ABSENT
        else:
            part["ConditionExpression"] = CONDITION_VERSION
            part["ExpressionAttributeValues"] = {":ver": {"N": str(write.expected_version)}}
        return {ITEM_KIND_BY_ACTION[write.action]: part}

    async def _read(self, operation: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            status, response = await self._post(operation, {"TableName": self._table_name, **body})
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise StoreUnavailable(f"{operation}: {error!r}") from error
        if status != 200:
            raise StoreUnavailable(f"{operation}: status {status}")
        return response

    async def _post(self, operation: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        headers = {TARGET_HEADER: TARGET_PREFIX + operation, "Content-Type": JSON_TYPE}
        data = json.dumps(body).encode()
        async with self._session.post(
            self._url, data=data, headers=headers, timeout=self._timeout
        ) as response:
            return response.status, require_object(decode_json(await response.read()), "body")


def _readable_row(item: Any) -> Row | None:
    """Return the row that an item holds, None if it cannot be read."""
    try:
        return item_to_row(item)
    except UNREADABLE as error:
        log.warning("row cannot be read", error=repr(error)[:200])
        return None


def _transact_outcome(status: int, response: Mapping[str, Any]) -> WriteOutcome:
    if status == 200:
        return WriteOutcome.APPLIED
    error = str(response.get("__type", "")).rpartition("#")[2]
    if error in THROTTLING_ERRORS:
        return WriteOutcome.REFUSED
    if error != "TransactionCanceledException":
        return WriteOutcome.UNKNOWN
    reasons = response.get("CancellationReasons")
    codes = {
        reason.get("Code")
        for reason in (reasons if isinstance(reasons, list) else [])
        if isinstance(reason, dict)
    }
    if "ConditionalCheckFailed" in codes:
        return WriteOutcome.CONFLICT
    # Cancelled because of contention or throttling: nothing was written.
    return WriteOutcome.REFUSED


class S3ObjectStore:
    """`ObjectStore` over the S3 REST API, with path-style URLs."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, bucket: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = f"{url}/{bucket}"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def put_if_absent(self, name: str, body: bytes) -> WriteOutcome:
        """Store an object unless one with this name exists."""
        try:
            async with self._session.put(
                self._object_url(name),
                data=body,
                headers={"If-None-Match": "*"},
                timeout=self._timeout,
            ) as response:
                return _put_outcome(response.status)
        except aiohttp.ClientConnectorError:
            return WriteOutcome.REFUSED
        except (aiohttp.ClientError, TimeoutError):
            return WriteOutcome.UNKNOWN

    async def get(self, name: str) -> bytes | None:
        """Read an object."""
        status, body = await self._call("GET", self._object_url(name))
        return None if status == 404 else body

    async def list(self, prefix: str, after: str | None = None, limit: int = 100) -> Sequence[str]:
        """List names in order, starting after ``after``."""
        query = f"list-type=2&prefix={quote(prefix)}&max-keys={limit}"
        if after is not None:
            query += f"&start-after={quote(after)}"
        _, body = await self._call("GET", f"{self._url}?{query}")
        return [key.text or "" for key in ElementTree.fromstring(body).iterfind(S3_LIST_NAME)]

    async def delete(self, name: str) -> None:
        """Delete an object; a missing one is not an error."""
        await self._call("DELETE", self._object_url(name))

    def _object_url(self, name: str) -> str:
        return f"{self._url}/{quote(name)}"

    async def _call(self, method: str, url: str) -> tuple[int, bytes]:
        try:
            async with self._session.request(method, url, timeout=self._timeout) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreUnavailable(f"{method}: {error!r}") from error
        if response.status not in (200, 204, 404):
            raise StoreUnavailable(f"{method}: status {response.status}")
        return response.status, body


def _put_outcome(status: int) -> WriteOutcome:
    if status == 200:
        return WriteOutcome.APPLIED
    if status in (409, 412):
        return WriteOutcome.CONFLICT
    if status in (429, 503):
        return WriteOutcome.REFUSED
    return WriteOutcome.UNKNOWN
