"""The holder of some accounts: takes loans and grants tokens."""

from __future__ import annotations

import secrets
from collections.abc import Mapping

from peridottrack.accounts.model import Account
from peridottrack.messages import QuotaAsk, QuotaAskEntry, QuotaGrant, QuotaGrantEntry
from peridottrack.quotas.bucket import QuotaBucket
from peridottrack.quotas.limits import AccountId, QuotaTolerance, Slot, slot_of
from peridottrack.quotas.loans import CLOCK_DRIFT, BorrowedShares
from peridottrack.types import NodeId

UNSETTLED_HOLD_S = 0.1
"""Seconds after which a node asks again about an account that the holder cannot tell about."""
SETTLED_SHARE = 0.5
"""Share up to which a holder without tokens cannot tell whether the quota is used up."""
MAX_HOLD_S = 1.0
"""Longest time for which a node does not ask again."""
STAMP_BITS = 32
"""Low bits of a stamp, which count milliseconds; the others tell the process."""
MAX_WAIT_MS = 60_000


class QuotaHolder:
    """Grants tokens of the accounts in slots that nodes lend to it.

    Any node may be a holder; its grants are within the shares that it has borrowed.

    Parameters
    ----------
    started_at
        Time from which stamps count.
    """

    def __init__(self, tolerance: QuotaTolerance, started_at: float) -> None:
        self._tolerance = tolerance
        self._started_at = started_at
        self._session = secrets.randbits(STAMP_BITS - 1) + 1
        self._account_by_id: Mapping[AccountId, Account] = {}
        self._shares_by_slot: dict[Slot, BorrowedShares] = {}
        self._bucket_by_id: dict[AccountId, QuotaBucket] = {}
        self._slots = 0
        self._node_count = 1
        self._released_at = started_at
        self.closed = False

    def set_accounts(
        self, account_by_id: Mapping[AccountId, Account], slots: int, now: float
    ) -> None:
        """Apply the limits of a document."""
        self._account_by_id = account_by_id
        for account, bucket in self._bucket_by_id.items():
            if account in account_by_id:
                bucket.set_account(account_by_id[account], now)
        if slots != self._slots:
            # Loans are of other accounts from now on.
            self._slots = slots
            self._released_at = now
            self._bucket_by_id.clear()
            self._shares_by_slot = {Slot(slot): BorrowedShares(now) for slot in range(slots)}
            self.set_node_count(self._node_count, now)

    def set_node_count(self, count: int, now: float) -> None:
        """Set the number of nodes that may lend."""
        self._node_count = count
        for shares in self._shares_by_slot.values():
            shares.set_node_count(count, now)

    def release(self, now: float) -> set[NodeId]:
        """Give up all loans; return the nodes that are to be told."""
        lenders: set[NodeId] = set()
        for shares in self._shares_by_slot.values():
            lenders.update(shares.lenders(now))
            shares.clear(now)
        self._released_at = now
        return lenders

    def release_notice(self, now: float) -> QuotaGrant:
        """Return the message that tells a node that its loans are given up."""
        return QuotaGrant(0, self._stamp(now), True)

    def share(self, slot: Slot, now: float) -> float:
        """Return the share of a slot's quotas that is lent to this node."""
        shares = self._shares_by_slot.get(slot)
        return shares.share(now) if shares is not None else 0.0

    def lenders(self, slot: Slot, now: float) -> list[NodeId]:
        """Return the nodes that lend their share of a slot to this node."""
        return self._shares_by_slot[slot].lenders(now)

    def lender_count(self, now: float) -> int:
        """Return the number of nodes that lend anything to this node."""
        shares = self._shares_by_slot.values()
        return len({node for each in shares for node in each.lenders(now)})

    def answer(self, node: NodeId, ask: QuotaAsk, now: float) -> QuotaGrant:
        """Take the loans of an ask, and grant tokens."""
        if self.closed or not self._slots or ask.slots != self._slots:
            return QuotaGrant(ask.number, 0, True)
        self._borrow(node, ask, now)
        entries = tuple(self._grant(node, entry, now) for entry in ask.entries)
        return QuotaGrant(ask.number, self._stamp(now), False, entries)

    def _borrow(self, node: NodeId, ask: QuotaAsk, now: float) -> None:
        stamped_at = self._time_of(ask.stamp)
        if stamped_at is None or not self._released_at < stamped_at <= now:
            return
        until = stamped_at + ask.loan_ms / 1000 * (1 - CLOCK_DRIFT)
        for slot, shares in self._shares_by_slot.items():
            if ask.lent & 1 << slot:
                shares.borrow(node, until, bool(ask.credited & 1 << slot), now)

    def _grant(self, node: NodeId, entry: QuotaAskEntry, now: float) -> QuotaGrantEntry:
        account_id = AccountId(entry.account)
        account = self._account_by_id.get(account_id)
        shares = self._shares_by_slot[slot_of(account_id, self._slots)]
        share = shares.share(now)
        if account is None or share <= 0:
            return QuotaGrantEntry(entry.account, 0, 0, int(UNSETTLED_HOLD_S * 1000), True)
        bucket = self._bucket_by_id.get(account_id)
        if bucket is None:
            bucket = QuotaBucket(account, self._tolerance, shares)
            self._bucket_by_id[account_id] = bucket
        granted = bucket.ask(node, entry.need, entry.want, entry.refused, now)
        unsettled = share <= SETTLED_SHARE
        # The share may rise and the limit may change meanwhile.
        longest_s = UNSETTLED_HOLD_S if unsettled else MAX_HOLD_S
        return QuotaGrantEntry(
            entry.account,
            granted.tokens,
            _milliseconds(granted.retry_s),
            _milliseconds(min(granted.hold_s, longest_s)),
            unsettled,
        )

    def _stamp(self, now: float) -> int:
        return self._session << STAMP_BITS | int((now - self._started_at) * 1000)

    def _time_of(self, stamp: int) -> float | None:
        if stamp >> STAMP_BITS != self._session:
            return None
        return self._started_at + (stamp & (1 << STAMP_BITS) - 1) / 1000


def _milliseconds(seconds: float) -> int:
    return min(MAX_WAIT_MS, int(seconds * 1000 + 0.999))
