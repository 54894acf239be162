"""In-memory implementations of the platform's table and object store, with fault injection."""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Mapping, Sequence

from peridottrack.standin.faults import (
    APPLIED_BUT_UNKNOWN,
    LATE_WRITE_DELAY_S,
    SLOW_DELAY_S,
    FaultPlan,
    StoreFault,
    inject_read_fault,
)
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

TRANSACTION_MAX_WRITES = 100


class MemoryTable:
    """A transactional table.

    Transactions are serializable, since none awaits while it is applied.
    """

    def __init__(self, faults: FaultPlan | None = None) -> None:
        self.faults = faults or FaultPlan()
        self.reads = 0
        self.writes = 0
        self._row_by_key: dict[RowKey, Row] = {}
        self._sort_keys_by_partition: dict[str, list[str]] = {}
        self._late_writes: set[asyncio.Task[None]] = set()

    def copy(self) -> dict[RowKey, Row]:
        """Return a copy of all rows, from which the table can be restored."""
        return dict(self._row_by_key)

    def restore(self, rows: Mapping[RowKey, Row]) -> None:
        """Replace all rows by a copy, as after a restore: later writes are lost."""
        self._row_by_key = dict(rows)
        self._sort_keys_by_partition = {}
        for key in self._row_by_key:
            bisect.insort(self._sort_keys_by_partition.setdefault(key.partition, []), key.sort)

    async def get(self, key: RowKey) -> Row | None:
        """Return a row, or None."""
        self.reads += 1
        await inject_read_fault(self.faults.next())
        return self._row_by_key.get(key)

    async def query(self, partition: str, after: str | None = None, limit: int = 100) -> Page:
        """Return a page of a partition's rows in the order of their sort keys."""
        self.reads += 1
        await inject_read_fault(self.faults.next())
        sort_keys = self._sort_keys_by_partition.get(partition, [])
        start = bisect.bisect_right(sort_keys, after) if after is not None else 0
        chosen = sort_keys[start : start + limit]
        has_more = start + limit < len(sort_keys)
        rows = [self._row_by_key[RowKey(partition, sort)] for sort in chosen]
        return Page(rows, chosen[-1] if has_more else None)

    async def transact(self, writes: Sequence[Write], writer: WriterId) -> WriteOutcome:
        """Apply all writes or none, subject to the next injected fault."""
        if len(writes) > TRANSACTION_MAX_WRITES:
            raise ValueError(f"a transaction must have at most {TRANSACTION_MAX_WRITES} writes")
        self.writes += sum(write.action is not WriteAction.CHECK for write in writes)
        fault = self.faults.next()
        if fault in (StoreFault.DOWN, StoreFault.THROTTLED):
            return WriteOutcome.REFUSED
        if fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_DELAY_S)
        if fault is StoreFault.LATE:
            self._apply_later(writes, writer)
        if fault is StoreFault.LOST_BEFORE or fault is StoreFault.LATE:
            return WriteOutcome.UNKNOWN
        outcome = self.apply(writes, writer)
        # As over a network, the response arrives in a later step of the event loop, so that a test
        # can stop the process between the write and its response.
        await asyncio.sleep(0)
        return WriteOutcome.UNKNOWN if fault in APPLIED_BUT_UNKNOWN else outcome

    def apply(self, writes: Sequence[Write], writer: WriterId) -> WriteOutcome:
        """Apply a transaction immediately, without injected faults."""
        if any(self._version(write.key) != write.expected_version for write in writes):
            return WriteOutcome.CONFLICT
        for write in writes:
            self._apply_one(write, writer)
        return WriteOutcome.APPLIED

    def _version(self, key: RowKey) -> int:
        row = self._row_by_key.get(key)
        return row.version if row else ABSENT_VERSION

    def _apply_one(self, write: Write, writer: WriterId) -> None:
        if write.action is WriteAction.CHECK:
            return
        sort_keys = self._sort_keys_by_partition.setdefault(write.key.partition, [])
        if write.action is WriteAction.DELETE:
            del self._row_by_key[write.key]
            sort_keys.remove(write.key.sort)
            return
        if write.key not in self._row_by_key:
            bisect.insort(sort_keys, write.key.sort)
        row = Row(write.key, write.value, write.expected_version + 1, writer)
        self._row_by_key[write.key] = row

    def _apply_later(self, writes: Sequence[Write], writer: WriterId) -> None:
        async def apply_after_delay() -> None:
            await asyncio.sleep(LATE_WRITE_DELAY_S)
            self.apply(writes, writer)

        task = asyncio.get_running_loop().create_task(apply_after_delay())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)


class MemoryObjects:
    """An object store in which objects are immutable."""

    def __init__(self, faults: FaultPlan | None = None) -> None:
        self.faults = faults or FaultPlan()
        self._body_by_name: dict[str, bytes] = {}

    async def put_if_absent(self, name: str, body: bytes) -> WriteOutcome:
        """Store an object unless the name exists."""
        fault = self.faults.next()
        if fault in (StoreFault.DOWN, StoreFault.THROTTLED):
            return WriteOutcome.REFUSED
        if fault is StoreFault.LOST_BEFORE:
            return WriteOutcome.UNKNOWN
        if name in self._body_by_name:
            return WriteOutcome.CONFLICT
        self._body_by_name[name] = body
        return WriteOutcome.UNKNOWN if fault in APPLIED_BUT_UNKNOWN else WriteOutcome.APPLIED

    async def get(self, name: str) -> bytes | None:
        """Return an object's body, or None."""
        await inject_read_fault(self.faults.next())
        return self._body_by_name.get(name)

    async def list(self, prefix: str, after: str | None = None, limit: int = 100) -> Sequence[str]:
        """Return sorted names with a prefix, only those after ``after``."""
        await inject_read_fault(self.faults.next())
        names = sorted(name for name in self._body_by_name if name.startswith(prefix))
        return [name for name in names if after is None or name > after][:limit]

    async def delete(self, name: str) -> None:
        """Delete an object."""
        await inject_read_fault(self.faults.next())
        self._body_by_name.pop(name, None)
