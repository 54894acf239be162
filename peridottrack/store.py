"""Access to the platform's table: a circuit breaker, and settling of unknown write outcomes.

The circuit breaker protects a recovering store from a surge of calls. Settling determines by the
writer's unique id whether a write of unknown outcome was applied.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from peridottrack.exceptions import StoreUnavailable
from peridottrack.metrics import Metrics
from peridottrack.types import (
    Clock,
    Page,
    Random,
    Row,
    RowKey,
    TableStore,
    Write,
    WriteAction,
    WriteOutcome,
    WriterId,
)

T = TypeVar("T")

MAX_CONCURRENT_CALLS = 64
FAILURES_TO_OPEN = 3
OPEN_MIN_S = 0.25
OPEN_MAX_S = 2.0
SETTLE_ATTEMPTS = 3
SETTLE_PAUSE_S = 0.1


def new_writer_id() -> WriterId:
    """Return a unique id for a write."""
    return WriterId(secrets.token_hex(12))


async def scan(table: TableStore, partition: str, after: str | None = None) -> AsyncIterator[Row]:
    """Read all rows of a partition past ``after``, page by page.

    Raises
    ------
    StoreUnavailable
        If the table does not answer.
    """
    while True:
        page = await table.query(partition, after)
        for row in page.rows:
            yield row
        if page.after is None:
            return
        after = page.after


class BreakerState(Enum):
    """Whether calls are let through; a half-open breaker has one trial call in progress."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Opens after consecutive failures; after a pause, lets one trial call through."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._open_s = OPEN_MIN_S
        self._open_until = 0.0

    def try_acquire(self) -> bool:
        """Return whether a call may be made; admits one trial call once the pause is over."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN and self._clock.now() >= self._open_until:
            self.state = BreakerState.HALF_OPEN
            return True
        return False

    def record_success(self) -> None:
        """Record that a call was answered."""
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._open_s = OPEN_MIN_S

    def record_failure(self) -> None:
        """Record that a call was not answered."""
        self._failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self._open_s = min(OPEN_MAX_S, self._open_s * 2)
        if self.state is BreakerState.HALF_OPEN or self._failures >= FAILURES_TO_OPEN:
            self.state = BreakerState.OPEN
            # Jitter keeps the nodes from sending their trial calls at the same moment.
            self._open_until = self._clock.now() + self._open_s * (0.5 + self._rng.random())

    def record_abandoned(self) -> None:
        """Record that the caller cancelled a call, which gives no information on the store."""
        if self.state is BreakerState.HALF_OPEN:
            self.state = BreakerState.OPEN


class CircuitBreakerTable:
    """A `TableStore` behind a circuit breaker and a limit on concurrent calls."""

    def __init__(
        self, table: TableStore, clock: Clock, metrics: Metrics, rng: Random | None = None
    ) -> None:
        self._table = table
        self._metrics = metrics
        self.breaker = CircuitBreaker(clock, rng or random.Random())
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def get(self, key: RowKey) -> Row | None:
        """Read one row; raise immediately while the breaker is open."""
        return await self._read("get", lambda: self._table.get(key))

    async def query(self, partition: str, after: str | None = None, limit: int = 100) -> Page:
        """Read rows of a partition; raise immediately while the breaker is open."""
        return await self._read("query", lambda: self._table.query(partition, after, limit))

    async def transact(self, writes: Sequence[Write], writer: WriterId) -> WriteOutcome:
        """Apply a transaction; refuse it immediately while the breaker is open."""
        if not self.breaker.try_acquire():
            return self._count("transact", WriteOutcome.REFUSED)
        async with self._call_slots:
            try:
                outcome = await self._table.transact(writes, writer)
            except BaseException:
                self.breaker.record_abandoned()
                raise
        if outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
            self.breaker.record_success()
        else:
            self.breaker.record_failure()
        return self._count("transact", outcome)

    async def _read(self, operation: str, call: Callable[[], Awaitable[T]]) -> T:
        if not self.breaker.try_acquire():
            self._metrics.store_calls.labels(operation, "withheld").inc()
            raise StoreUnavailable("circuit breaker is open")
        async with self._call_slots:
            try:
                result = await call()
            except StoreUnavailable:
                self.breaker.record_failure()
                self._metrics.store_calls.labels(operation, "failed").inc()
                raise
            except BaseException:
                self.breaker.record_abandoned()
                raise
        self.breaker.record_success()
        self._metrics.store_calls.labels(operation, "ok").inc()
        return result

    def _count(self, operation: str, outcome: WriteOutcome) -> WriteOutcome:
        self._metrics.store_calls.labels(operation, outcome.value).inc()
        return outcome


@dataclass(frozen=True, slots=True)
class SettledWrite:
    """Result of a write: its definite outcome if that could be settled, else ``UNKNOWN``.

    Parameters
    ----------
    row
        The row as read when the outcome was settled, if it was read; for ``CONFLICT``, the row
        that conflicts.
    """

    outcome: WriteOutcome
    row: Row | None = None


async def transact_settled(
    table: TableStore,
    writes: Sequence[Write],
    settle_key: RowKey,
    writer: WriterId,
    *,
    row_may_be_deleted: bool = False,
) -> SettledWrite:
    """Apply a transaction and settle an unknown outcome.

    The same transaction is sent up to `SETTLE_ATTEMPTS` times under the same writer id. After a
    conflict, or if no attempt got a definite answer, the row at ``settle_key`` is read once: if it
    has the writer id, the transaction was applied. Retries are safe because the conditions let the
    transaction apply at most once, even if an earlier attempt is applied late.

    ``UNKNOWN`` remains if that read fails after an unanswered attempt, or if no attempt got a
    definite answer and the row does not have the writer id: a delayed write may still be applied.

    Parameters
    ----------
    settle_key
        Key of a row written by the transaction that no other writer overwrites before the result
        is read.
    row_may_be_deleted
        Whether another writer may delete that row before the result is read. Its absence after an
        unanswered attempt then proves nothing, and the outcome remains ``UNKNOWN``.
    """
    maybe_applied = False
    for attempt in range(SETTLE_ATTEMPTS):
        if attempt:
            await asyncio.sleep(SETTLE_PAUSE_S * attempt)
        outcome = await table.transact(writes, writer)
        if outcome is WriteOutcome.APPLIED:
            return SettledWrite(outcome)
        if outcome is WriteOutcome.REFUSED and not maybe_applied:
            return SettledWrite(outcome)
        if outcome is WriteOutcome.CONFLICT:
            settled = await _settle_conflict(table, settle_key, writer, maybe_applied)
            if row_may_be_deleted and maybe_applied and settled.row is None:
                return SettledWrite(WriteOutcome.UNKNOWN)
            return settled
        maybe_applied = True
    return await _settle_unknown(table, settle_key, writer)


async def put_settled(
    table: TableStore, key: RowKey, expected: int, value: bytes, writer: WriterId
) -> SettledWrite:
    """Put one row that only its writer changes, and settle an unknown outcome."""
    write = Write(WriteAction.PUT, key, expected, value)
    return await transact_settled(table, [write], key, writer)


async def _settle_conflict(
    table: TableStore, settle_key: RowKey, writer: WriterId, maybe_applied: bool
) -> SettledWrite:
    try:
        row = await table.get(settle_key)
    except StoreUnavailable:
        return SettledWrite(WriteOutcome.UNKNOWN if maybe_applied else WriteOutcome.CONFLICT)
    ours = row is not None and row.writer == writer
    return SettledWrite(WriteOutcome.APPLIED if ours else WriteOutcome.CONFLICT, row)


async def _settle_unknown(table: TableStore, settle_key: RowKey, writer: WriterId) -> SettledWrite:
    try:
        row = await table.get(settle_key)
    except StoreUnavailable:
        return SettledWrite(WriteOutcome.UNKNOWN)
    if row is not None and row.writer == writer:
        return SettledWrite(WriteOutcome.APPLIED, row)
    # A row without our writer id proves nothing: a delayed write may still be applied.
    return SettledWrite(WriteOutcome.UNKNOWN, row)
