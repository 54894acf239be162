"""The tokens of one node: asks holders for them and spends them on requests."""

from __future__ import annotations

import contextlib
import itertools
import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from peridottrack.accounts.model import Account
from peridottrack.messages import QuotaAsk, QuotaAskEntry, QuotaGrant, QuotaGrantEntry
from peridottrack.quotas.limits import AccountId, QuotaTolerance, Slot, slot_of
from peridottrack.quotas.loans import RENEWALS_PER_LOAN, Lender, loan_duration_s
from peridottrack.quotas.ranking import choose_holder
from peridottrack.types import NodeId

MIN_ANSWER_S = 0.08
"""Shortest time after which an ask counts as lost: many round trips."""
MAX_ANSWER_S = 0.4
ROUND_TRIPS_TO_ANSWER = 2.5
"""Multiple of the usual time of an answer after which an ask counts as lost. A busy host answers
late, and tokens that are granted twice for one request expire."""
ANSWER_MEMORY = 4
"""Answers over which the usual time is smoothed."""
MAX_WAIT_S = 0.5
"""Longest time for which a request waits for a token: some asks, also on a busy host."""
MAX_UNANSWERED = 8
"""Asks to one holder whose answers are still accepted."""
LOST_ASKS_TO_AVOID = 6
"""Asks in a row that must be lost, so that a link that loses a tenth hardly ever looks dead."""
SILENT_SHARE_TO_AVOID = 0.5
"""Part of the duration of a loan without an answer after which a holder is avoided; a loan to
another one is possible only once the last one to it has ended."""
AVOID_S = 4.0
"""Seconds for which a holder that does not answer is not asked again: members learn sooner that it
is dead."""
UNSETTLED_RETRY_S = 1.0
"""Retry-After while no holder can tell; most of the duration of a loan."""
DEMAND_MEMORY_S = 1.0
MAX_ENTRIES = 32
"""Most accounts in an ask, so that the answer fits into a datagram."""
MAX_TOKENS = 60_000


class Verdict(Enum):
    """What becomes of a request."""

    ADMITTED = "admitted"
    EXCEEDED = "exceeded"
    UNSETTLED = "unsettled"


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may be sent.

    Parameters
    ----------
    expires_at
        Time at which its token expires, if admitted.
    retry_s
        Seconds after which it would pass, if not.
    """

    verdict: Verdict
    expires_at: float = 0.0
    retry_s: float = 0.0


UNANSWERED = Decision(Verdict.UNSETTLED, retry_s=UNSETTLED_RETRY_S)
"""Decision on a request for which no holder has answered in time."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes
    ----------
    decision
        What was decided, also if nobody listens any more: a token that arrives in the step in which
        the request is cancelled is still its own.
    """

    since: float
    on_decision: Callable[[Decision], None]
    decision: Decision | None = field(default=None, init=False)

    def decide(self, decision: Decision) -> None:
        """Set what becomes of the request."""
        self.decision = decision
        self.on_decision(decision)


@dataclass(slots=True)
class _AccountState:
    """What the node knows of one account.

    Parameters
    ----------
    tokens
        Times at which its tokens expire, in order.
    hold_until, retry_at
        While the quota is used up: when to ask again, and when a request would pass.
    refused
        Requests refused since the last ask.
    demand
        Requests a second, with exponential decay.
    """

    tokens: deque[float] = field(default_factory=deque)
    hold_until: float = -math.inf
    retry_at: float = -math.inf
    unsettled: bool = False
    refused: int = 0
    demand: float = 0.0
    demand_at: float = 0.0

    def record_request(self, now: float) -> None:
        """Count a request into the demand."""
        self.demand = self.demand_now(now) + 1 / DEMAND_MEMORY_S
        self.demand_at = now

    def demand_now(self, now: float) -> float:
        """Return the requests a second."""
        return self.demand * math.exp((self.demand_at - now) / DEMAND_MEMORY_S)


@dataclass(slots=True)
class _Contact:
    """The exchange with one holder.

    Parameters
    ----------
    number, sent_at
        The last ask.
    unanswered
        Whether the last ask is unanswered and not yet taken for lost.
    sent_at_by_number
        Asks whose answers are accepted, also after they were repeated: a host that is short of
        processor time reads answers late.
    answer_s
        Usual time until an answer.
    """

    number: int = 0
    sent_at: float = -math.inf
    unanswered: bool = False
    sent_at_by_number: dict[int, float] = field(default_factory=dict)
    lost: int = 0
    avoid_until: float = -math.inf
    stamp: int = 0
    stamped_at: float = -math.inf
    answer_s: float = 0.0

    @property
    def lost_after_s(self) -> float:
        """Seconds after which the last ask counts as lost."""
        return min(MAX_ANSWER_S, max(MIN_ANSWER_S, ROUND_TRIPS_TO_ANSWER * self.answer_s))


class QuotaSpender:
    """Admits requests of limited accounts, with tokens that holders grant.

    A token may be spent until a fixed time after the ask, by this node's clock, so that neither a
    delayed answer nor a suspended process spends it later.

    Attributes
    ----------
    lends
        Whether this node may lend: not before others know of it.
    on_holder_change
        Called with a slot, its new holder and the former one.
    """

    def __init__(self, tolerance: QuotaTolerance, started_at: float) -> None:
        self._tolerance = tolerance
        self._lender = Lender(started_at, 2 * tolerance.window_s)
        self._account_by_id: Mapping[AccountId, Account] = {}
        self._state_by_id: dict[AccountId, _AccountState] = {}
        # Has no empty queues.
        self._waiting_by_id: dict[AccountId, deque[Waiter]] = {}
        self._contact_by_node: dict[NodeId, _Contact] = {}
        self._numbers = itertools.count(1)
        self._members: frozenset[NodeId] = frozenset()
        self._node_count = 1
        self._slots = 0
        self._holder_by_slot: dict[Slot, NodeId] = {}
        # Slots whose holder was chosen while a higher-ranked node was avoided.
        self._provisional_slots: set[Slot] = set()
        # Slots whose holder said last that it has too few shares: others lend to another one.
        self._unsettled_slots: set[Slot] = set()
        self.lends = False
        self.on_holder_change: Callable[[Slot, NodeId, NodeId | None], None] = (
            lambda slot, holder, former: None
        )

    def set_accounts(self, account_by_id: Mapping[AccountId, Account], slots: int) -> None:
        """Apply the limits of a document."""
        self._account_by_id = account_by_id
        for account in list(self._state_by_id):
            if account not in account_by_id and account not in self._waiting_by_id:
                del self._state_by_id[account]
        if slots != self._slots:
            self._slots = slots
            self._holder_by_slot.clear()
            self._provisional_slots.clear()
            self._unsettled_slots.clear()

    def set_members(self, members: Iterable[NodeId], node_count: int) -> None:
        """Set the nodes that may be holders, and the number of all nodes."""
        self._members = frozenset(members)
        self._node_count = node_count
        for node in self._contact_by_node.keys() - self._members:
            del self._contact_by_node[node]

    def holders(self) -> dict[Slot, NodeId]:
        """Return the holder of each slot."""
        return dict(self._holder_by_slot)

    # -- requests ----------------------------------------------------------------------

    def admit(self, account: AccountId, now: float) -> Decision | None:
        """Decide on a request at once; None if it must wait for a holder's answer."""
        state = self._state(account)
        state.record_request(now)
        token = self._pop_token(state, now)
        if token is not None:
            return Decision(Verdict.ADMITTED, token)
        if now < state.hold_until:
            state.refused += 1
            return _refusal(state, now)
        return None

    def wait(self, account: AccountId, waiter: Waiter) -> None:
        """Let a request wait for a token after `admit` returned None."""
        self._waiting_by_id.setdefault(account, deque()).append(waiter)

    def give_up(self, account: AccountId, waiter: Waiter, now: float) -> None:
        """Forget a request that waits no longer; take its token back if it got one meanwhile."""
        decision = waiter.decision
        if decision is None:
            waiting = self._waiting_by_id.get(account, deque())
            with contextlib.suppress(ValueError):
                waiting.remove(waiter)
            self._forget_if_empty(account)
        elif decision.verdict is Verdict.ADMITTED:
            self.give_back(account, decision.expires_at, now)

    def give_back(self, account: AccountId, expires_at: float, now: float) -> None:
        """Take back the token of a request that was not sent to an instance."""
        state = self._state_by_id.get(account)
        if state is not None and now < expires_at:
            state.tokens.appendleft(expires_at)
            self._serve(account, state, now)

    def _state(self, account: AccountId) -> _AccountState:
        state = self._state_by_id.get(account)
        if state is None:
            state = self._state_by_id[account] = _AccountState()
        return state

    def _forget_if_empty(self, account: AccountId) -> None:
        if not self._waiting_by_id.get(account, True):
            del self._waiting_by_id[account]

    # -- holders -----------------------------------------------------------------------

    def asks(self, now: float) -> Iterator[tuple[NodeId, QuotaAsk]]:
        """Yield the asks that are to be sent now: for waiting requests, and to renew loans."""
        self._check_lost(now)
        slots_by_holder: dict[NodeId, list[Slot]] = {}
        for number in range(self._slots):
            slot = Slot(number)
            holder = self._holder(slot, now)
            if holder is not None:
                slots_by_holder.setdefault(holder, []).append(slot)
        accounts_by_holder = self._accounts_to_ask(now)
        for holder, slots in slots_by_holder.items():
            contact = self._contact_by_node.setdefault(holder, _Contact())
            accounts = accounts_by_holder.get(holder, [])
            if not contact.unanswered and (accounts or self._is_due(contact, now)):
                yield holder, self._ask(contact, holder, slots, accounts[:MAX_ENTRIES], now)

    def receive(self, holder: NodeId, grant: QuotaGrant, now: float) -> None:
        """Use the answer of a holder."""
        contact = self._contact_by_node.get(holder)
        if contact is None:
            return
        sent_at = contact.sent_at_by_number.pop(grant.number, None)
        answers_last = sent_at is not None and grant.number == contact.number
        if grant.released:
            if answers_last or grant.stamp >= contact.stamp:
                self._leave_holder(holder, contact, now, avoid=answers_last)
            return
        if sent_at is None:
            return
        contact.lost = 0
        contact.answer_s += (now - sent_at - contact.answer_s) / ANSWER_MEMORY
        if answers_last:
            contact.unanswered = False
        if answers_last or grant.stamp > contact.stamp:
            contact.stamp, contact.stamped_at = grant.stamp, now
        for entry in grant.entries if self._slots else ():
            account = AccountId(entry.account)
            self._note_settled(account, entry)
            self._apply(account, entry, sent_at, now)

    def expire(self, now: float) -> None:
        """Refuse requests that have waited too long."""
        for account, waiting in list(self._waiting_by_id.items()):
            while waiting and now - waiting[0].since >= MAX_WAIT_S:
                waiting.popleft().decide(UNANSWERED)
            self._forget_if_empty(account)

    @property
    def has_waiting(self) -> bool:
        """Whether requests wait for tokens."""
        return bool(self._waiting_by_id)

    def _holder(self, slot: Slot, now: float) -> NodeId | None:
        """Return the holder to ask: the former one while it answers, else the highest-ranked."""
        current = self._holder_by_slot.get(slot)
        strayed = slot in self._provisional_slots and slot in self._unsettled_slots
        if not strayed and self._is_usable(current, now):
            return current
        chosen = choose_holder(
            slot, (node for node in self._members if not self._avoids(node, now))
        )
        if chosen == choose_holder(slot, self._members):
            self._provisional_slots.discard(slot)
        else:
            self._provisional_slots.add(slot)
        if chosen is not None and chosen != current:
            self._holder_by_slot[slot] = chosen
            self._unsettled_slots.discard(slot)
            self.on_holder_change(slot, chosen, current)
        return chosen

    def _is_usable(self, node: NodeId | None, now: float) -> bool:
        return node is not None and node in self._members and not self._avoids(node, now)

    def _avoids(self, node: NodeId, now: float) -> bool:
        contact = self._contact_by_node.get(node)
        return contact is not None and now < contact.avoid_until

    def _leave_holder(self, holder: NodeId, contact: _Contact, now: float, avoid: bool) -> None:
        self._lender.release(holder, now)
        contact.unanswered = False
        contact.sent_at_by_number.clear()
        contact.stamp = 0
        if avoid:
            contact.avoid_until = now + AVOID_S
        for slot, current in list(self._holder_by_slot.items()):
            if current == holder:
                del self._holder_by_slot[slot]

    def _check_lost(self, now: float) -> None:
        silent_s = SILENT_SHARE_TO_AVOID * loan_duration_s(self._node_count)
        for contact in self._contact_by_node.values():
            if contact.unanswered and now - contact.sent_at >= contact.lost_after_s:
                contact.unanswered = False
                contact.lost += 1
                is_silent = now - contact.stamped_at >= silent_s
                if contact.lost >= LOST_ASKS_TO_AVOID and is_silent:
                    contact.lost = 0
                    contact.avoid_until = now + AVOID_S

    def _is_due(self, contact: _Contact, now: float) -> bool:
        """Return whether the loans to a holder are to be renewed."""
        interval_s = loan_duration_s(self._node_count) / RENEWALS_PER_LOAN
        return now - contact.stamped_at >= interval_s

    def _accounts_to_ask(self, now: float) -> dict[NodeId, list[AccountId]]:
        accounts: dict[NodeId, list[AccountId]] = {}
        for account in self._waiting_by_id:
            holder = self._holder(slot_of(account, self._slots), now) if self._slots else None
            if holder is not None:
                accounts.setdefault(holder, []).append(account)
        return accounts

    def _ask(
        self,
        contact: _Contact,
        holder: NodeId,
        slots: list[Slot],
        accounts: list[AccountId],
        now: float,
    ) -> QuotaAsk:
        duration_s = loan_duration_s(self._node_count)
        lent = credited = 0
        for slot in slots if self.lends and contact.stamp else ():
            if self._lender.lend(slot, holder, contact.stamped_at, duration_s, now):
                lent |= 1 << slot
                if self._lender.take_credit(slot, now):
                    credited |= 1 << slot
        contact.number = next(self._numbers)
        contact.sent_at = now
        contact.unanswered = True
        contact.sent_at_by_number[contact.number] = now
        while len(contact.sent_at_by_number) > MAX_UNANSWERED:
            del contact.sent_at_by_number[next(iter(contact.sent_at_by_number))]
        return QuotaAsk(
            contact.number,
            contact.stamp,
            self._slots,
            lent,
            credited,
            int(duration_s * 1000),
            tuple(self._entry(account, now) for account in accounts),
        )

    def _entry(self, account: AccountId, now: float) -> QuotaAskEntry:
        state = self._state(account)
        want = int(state.demand_now(now) * self._grant_s(account))
        refused, state.refused = state.refused, 0
        return QuotaAskEntry(
            account,
            min(len(self._waiting_by_id.get(account, ())), MAX_TOKENS),
            min(want, MAX_TOKENS),
            min(refused, MAX_TOKENS),
        )

    def _apply(
        self, account: AccountId, entry: QuotaGrantEntry, sent_at: float, now: float
    ) -> None:
        state = self._state_by_id.get(account)
        if state is None:
            return
        expires_at = sent_at + self._grant_s(account)
        if now < expires_at:
            state.tokens.extend([expires_at] * entry.tokens)
        if entry.hold_ms:
            state.unsettled = entry.unsettled
            state.hold_until = now + entry.hold_ms / 1000
            state.retry_at = now + entry.retry_ms / 1000
        self._serve(account, state, now)
        if entry.hold_ms:
            # Those who came after the ask would wait in vain, too.
            for waiter in self._waiting_by_id.pop(account, ()):
                waiter.decide(_refusal(state, now))

    def _note_settled(self, account: AccountId, entry: QuotaGrantEntry) -> None:
        slot = slot_of(account, self._slots)
        if entry.unsettled:
            self._unsettled_slots.add(slot)
        else:
            self._unsettled_slots.discard(slot)

    def _serve(self, account: AccountId, state: _AccountState, now: float) -> None:
        waiting = self._waiting_by_id.get(account)
        while waiting:
            token = self._pop_token(state, now)
            if token is None:
                return
            waiting.popleft().decide(Decision(Verdict.ADMITTED, token))
        self._forget_if_empty(account)

    def _grant_s(self, account: AccountId) -> float:
        limits = self._account_by_id.get(account)
        return self._tolerance.grant_s(limits) if limits is not None else 0.0

    def _pop_token(self, state: _AccountState, now: float) -> float | None:
        while state.tokens:
            expires_at = state.tokens.popleft()
            if now < expires_at:
                return expires_at
        return None


def _refusal(state: _AccountState, now: float) -> Decision:
    if state.unsettled:
        return Decision(Verdict.UNSETTLED, retry_s=UNSETTLED_RETRY_S)
    return Decision(Verdict.EXCEEDED, retry_s=max(state.hold_until, state.retry_at) - now)
