"""Exchanges asks and grants with other nodes, and lets requests wait for tokens."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Any

from peridottrack import log
from peridottrack.accounts.model import Account, AccountTable
from peridottrack.accounts.validity import boot_time_s
from peridottrack.controllers.members import MembersController
from peridottrack.datagrams import DatagramTransport
from peridottrack.messages import MemberState, Message, QuotaAsk, QuotaGrant
from peridottrack.metrics import Metrics
from peridottrack.quotas.holder import QuotaHolder
from peridottrack.quotas.limits import AccountId, QuotaTolerance, Slot, account_id, slot_count
from peridottrack.quotas.ranking import choose_holder
from peridottrack.quotas.spender import MAX_WAIT_S, UNANSWERED, Decision, QuotaSpender, Waiter
from peridottrack.types import NodeId

TICK_S = 0.25
"""Interval at which loans are checked; a fraction of the interval of their renewal."""
WAITING_TICK_S = 0.02
"""Interval at which unanswered asks are checked while requests wait."""
WAIT_SLACK_S = 0.1
"""Time beyond the longest wait after which a request no longer relies on these checks."""
MEMBERS_INTERVAL_S = 1.0
"""Interval at which the members are read; asks that stay unanswered show sooner that one is gone.
"""
SETTLING_S = 5.0
"""Seconds for which a node must be known to be made a holder; in them all nodes learn of it."""
DEAD_COUNTS_S = 60.0
"""Seconds for which a dead node counts as one that may lend, if its keys are valid for less."""


class QuotaController:
    """The quotas of one node: as a holder for all nodes, and as a spender for its own requests.

    Does nothing while the document has no account with a rate.

    Parameters
    ----------
    keys_expire
        Whether a node that is cut off stops to admit requests with keys after some time.
    now
        Clock that counts suspensions.
    """

    def __init__(
        self,
        tolerance: QuotaTolerance,
        keys_expire: bool,
        members: MembersController,
        datagrams: DatagramTransport,
        metrics: Metrics,
        now: Callable[[], float] = boot_time_s,
    ) -> None:
        self._members = members
        self._datagrams = datagrams
        self._metrics = metrics
        self._keys_expire = keys_expire
        self._now = now
        self._started_at = now()
        self._members_at = -math.inf
        self._known_since: dict[NodeId, float] = {}
        self._eligible: list[NodeId] = []
        self._active = False
        self._slots = 0
        self._outranked_since: dict[Slot, float] = {}
        self._flush_scheduled = False
        self.holder = QuotaHolder(tolerance, self._started_at)
        self.spender = QuotaSpender(tolerance, self._started_at)
        self.spender.on_holder_change = self._log_holder
        datagrams.handle((QuotaAsk,), self._handle_ask)
        datagrams.handle((QuotaGrant,), self._handle_grant)

    def set_accounts(self, accounts: AccountTable | None) -> None:
        """Apply the accounts of a document."""
        limited = {
            account_id(account.name): account
            for account in (accounts.by_name.values() if accounts is not None else ())
            if account.limited
        }
        self._active = bool(limited)
        self._slots = slot_count(len(limited)) if limited else 0
        self.holder.set_accounts(limited, self._slots, self._now())
        self.spender.set_accounts(limited, self._slots)

    async def admit(self, account: Account) -> Decision:
        """Decide on a request of a limited account, after a short wait if need be."""
        account_key = account_id(account.name)
        now = self._now()
        decision = self.spender.admit(account_key, now)
        if decision is None:
            decision = await self._wait_for_token(account_key, now)
        self._metrics.quota_requests.labels(decision.verdict.value).inc()
        return decision

    async def _wait_for_token(self, account: AccountId, now: float) -> Decision:
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        waiter = Waiter(now, partial(_resolve, future))
        self.spender.wait(account, waiter)
        self._schedule_flush()
        try:
            async with asyncio.timeout(MAX_WAIT_S + WAIT_SLACK_S):
                return await future
        except TimeoutError:
            if waiter.decision is not None:
                return waiter.decision
            self.spender.give_up(account, waiter, self._now())
            return UNANSWERED
        except asyncio.CancelledError:
            self.spender.give_up(account, waiter, self._now())
            raise

    def give_back(self, account: Account, decision: Decision) -> None:
        """Take back the token of a request that has not reached an instance."""
        self.spender.give_back(account_id(account.name), decision.expires_at, self._now())

    def release(self) -> None:
        """Give up what this node holds, since it leaves."""
        self.holder.closed = True
        self._release()

    async def run(self) -> None:
        """Renew loans, repeat lost asks and refuse requests that wait too long."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._active:
                now = self._now()
                is_young = now - self._started_at < SETTLING_S
                if is_young or now - self._members_at >= MEMBERS_INTERVAL_S:
                    self._update_members(now)
                    self._check_rank(now)
                self._flush()

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        now = self._now()
        return {
            "holder_by_slot": self.spender.holders(),
            "share_by_slot": {
                slot: round(self.holder.share(Slot(slot), now), 3) for slot in range(self._slots)
            },
        }

    # -- messages ----------------------------------------------------------------------

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_scheduled_once)

    def _flush_scheduled_once(self) -> None:
        self._flush_scheduled = False
        try:
            self._flush()
        finally:
            if self.spender.has_waiting and not self._flush_scheduled:
                self._flush_scheduled = True
                asyncio.get_running_loop().call_later(WAITING_TICK_S, self._flush_scheduled_once)

    def _flush(self) -> None:
        now = self._now()
        try:
            for holder, ask in list(self.spender.asks(now)):
                self._metrics.quota_asks.inc()
                if holder == self._local_node:
                    self.spender.receive(holder, self.holder.answer(holder, ask, now), now)
                else:
                    self._datagrams.send(holder, Message(self._local_node, ask))
        finally:
            # Waits end, whatever becomes of the asks.
            self.spender.expire(now)

    def _handle_ask(self, message: Message) -> None:
        assert isinstance(message.body, QuotaAsk)
        if not self._active:
            return
        grant = self.holder.answer(message.sender, message.body, self._now())
        self._datagrams.send(message.sender, Message(self._local_node, grant))

    def _handle_grant(self, message: Message) -> None:
        assert isinstance(message.body, QuotaGrant)
        self.spender.receive(message.sender, message.body, self._now())
        if self.spender.has_waiting:
            self._schedule_flush()

    def _release(self) -> None:
        now = self._now()
        lenders = self.holder.release(now)
        notice = self.holder.release_notice(now)
        for node in lenders:
            if node == self._local_node:
                self.spender.receive(node, notice, now)
            else:
                self._datagrams.send(node, Message(self._local_node, notice))
        if lenders:
            log.event("quotas released", lenders=len(lenders), leaving=self.holder.closed)

    # -- members -----------------------------------------------------------------------

    @property
    def _local_node(self) -> NodeId:
        return self._members.membership.local_member.node

    def _update_members(self, now: float) -> None:
        self._members_at = now
        active = {update.node for update in self._members.membership.active_members()}
        for node in self._known_since.keys() - active:
            del self._known_since[node]
        for node in active:
            self._known_since.setdefault(node, now)
        self._eligible = self._select_eligible(active, now)
        count = max(self._count_lenders(), len(active))
        self.holder.set_node_count(count, now)
        self.spender.set_members(self._eligible, count)
        self.spender.lends = now - self._started_at >= SETTLING_S / 2
        self._metrics.quota_lenders.set(self.holder.lender_count(now))

    def _select_eligible(self, active: set[NodeId], now: float) -> list[NodeId]:
        is_young = now - self._started_at < SETTLING_S
        others = [
            node
            for node in active
            if node != self._local_node and (is_young or now - self._known_since[node] > SETTLING_S)
        ]
        if self.holder.closed or (is_young and others):
            return others
        return [*others, self._local_node]

    def _count_lenders(self) -> int:
        """Return the number of nodes that may lend: all but those that have left for certain."""
        now = self._members.now()
        return sum(
            member.update.state is MemberState.ALIVE
            or (
                member.update.state is MemberState.DEAD
                and not (self._keys_expire and now - member.applied_at > DEAD_COUNTS_S)
            )
            for member in self._members.membership.member_by_node.values()
        )

    def _check_rank(self, now: float) -> None:
        """Give up what another node should hold, once all nodes have had time to learn of it."""
        for number in range(self._slots):
            slot = Slot(number)
            is_holder = self.holder.share(slot, now) > 0
            if not is_holder or choose_holder(slot, self._eligible) == self._local_node:
                self._outranked_since.pop(slot, None)
            elif now - self._outranked_since.setdefault(slot, now) > SETTLING_S:
                self._outranked_since.clear()
                self._release()
                return

    def _log_holder(self, slot: Slot, holder: NodeId, former: NodeId | None) -> None:
        log.event("quota holder changed", slot=slot, holder=holder, former=former)


def _resolve(future: asyncio.Future[Decision], decision: Decision) -> None:
    if not future.done():
        future.set_result(decision)
