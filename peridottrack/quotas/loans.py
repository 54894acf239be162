"""Shares of the quotas that nodes lend to holders.

Each node owns an equal share of all quotas and lends it to at most one holder a slot at a time. So
the shares of all holders never exceed the whole, whatever nodes believe of each other and whatever
messages are lost or delayed.

A holder stamps its messages, and the node returns the newest stamp. The loan then holds for its
duration from the stamp, by the holder's clock. The node counts it from the receipt of the stamp,
which is later, and lends to another holder only after that.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace

from peridottrack.quotas.limits import Slot
from peridottrack.types import NodeId

LOAN_S = 2.0
"""Duration of a loan. When a holder crashes, its accounts have none for so long."""
NODES_PER_LOAN_S = 256
"""Nodes above which loans last longer in proportion, so that renewals stay cheap."""
RENEWALS_PER_LOAN = 4
"""Renewals in the duration of a loan: the stamp that comes with one is as old as the last."""
CLOCK_DRIFT = 0.01
"""Largest relative difference between the rates of two clocks."""
MAX_DECLINES = 16
"""Falls of the borrowed share that are remembered one by one."""


def loan_duration_s(nodes: int) -> float:
    """Return the duration of loans in a fleet of so many nodes."""
    return LOAN_S * max(1.0, nodes / NODES_PER_LOAN_S)


@dataclass(frozen=True, slots=True)
class Loan:
    """To whom this node lends its share of a slot.

    Parameters
    ----------
    until
        Time from which on it may lend to another holder.
    """

    holder: NodeId
    until: float


class Lender:
    """The loans that one node gives.

    Parameters
    ----------
    started_at
        Start of the process. An earlier one may have given loans that still hold.
    credit_interval_s
        Seconds between two loans that entitle a holder to tokens at once.
    """

    def __init__(self, started_at: float, credit_interval_s: float) -> None:
        self._started_at = started_at
        self._credit_interval_s = credit_interval_s
        self._loan_by_slot: dict[Slot, Loan] = {}
        self._credited_at: dict[Slot, float] = {}

    def holder_of(self, slot: Slot) -> NodeId | None:
        """Return the holder to whom the slot was lent last."""
        loan = self._loan_by_slot.get(slot)
        return loan.holder if loan is not None else None

    def lend(
        self, slot: Slot, holder: NodeId, stamped_at: float, duration_s: float, now: float
    ) -> bool:
        """Lend a slot; return whether that is possible now.

        Parameters
        ----------
        stamped_at
            Time at which the holder's stamp was received that is returned with the loan.
        """
        until = stamped_at + duration_s
        if now >= until or now < self._started_at + duration_s:
            return False
        loan = self._loan_by_slot.get(slot)
        if loan is not None and loan.holder != holder and now < loan.until:
            return False
        earlier = loan.until if loan is not None and loan.holder == holder else until
        self._loan_by_slot[slot] = Loan(holder, max(until, earlier))
        return True

    def take_credit(self, slot: Slot, now: float) -> bool:
        """Return whether the next loan of a slot entitles to tokens at once, and record that."""
        if now - self._credited_at.get(slot, self._started_at) < self._credit_interval_s:
            return False
        self._credited_at[slot] = now
        return True

    def release(self, holder: NodeId, now: float) -> None:
        """End all loans to a holder that has given them up."""
        for slot, loan in list(self._loan_by_slot.items()):
            if loan.holder == holder:
                self._loan_by_slot[slot] = Loan(holder, min(loan.until, now))


@dataclass(frozen=True, slots=True)
class _Decline:
    """A fall of the borrowed share, with the integral of the share and the credits until then."""

    share: float
    share_seconds: float
    credits: float


class BorrowedShares:
    """The shares of one slot that are lent to this node, as a holder.

    Attributes
    ----------
    credits
        Sum of the shares that came with loans that entitle to tokens at once.
    """

    def __init__(self, now: float) -> None:
        self._until_by_node: dict[NodeId, float] = {}
        self._next_expiry = math.inf
        self._advanced_at = now
        self._share_seconds = 0.0
        self._node_count = 1
        self._declines: deque[_Decline] = deque([_Decline(0.0, 0.0, 0.0)])
        self.credits = 0.0

    def set_node_count(self, count: int, now: float) -> None:
        """Set the number of nodes that may lend; each owns an equal share."""
        if count != self._node_count:
            self.advance(now)
            self._node_count = count
            self._record_decline()

    def borrow(self, node: NodeId, until: float, with_credit: bool, now: float) -> None:
        """Record a loan."""
        self.advance(now)
        if until <= now:
            return
        self._until_by_node[node] = max(until, self._until_by_node.get(node, until))
        self._next_expiry = min(self._next_expiry, until)
        if with_credit:
            self.credits += 1 / self._node_count

    def lenders(self, now: float) -> list[NodeId]:
        """Return the nodes whose loans have not expired."""
        self.advance(now)
        return list(self._until_by_node)

    def clear(self, now: float) -> None:
        """Give up all loans."""
        self.advance(now)
        self._until_by_node.clear()
        self._next_expiry = math.inf
        self._record_decline()

    def advance(self, now: float) -> float:
        """Return the integral of the borrowed share over the time so far, in seconds."""
        while self._next_expiry <= now:
            expiry = self._next_expiry
            self._accrue(expiry)
            self._until_by_node = {
                node: until for node, until in self._until_by_node.items() if until > expiry
            }
            self._next_expiry = min(self._until_by_node.values(), default=math.inf)
            self._record_decline()
        self._accrue(now)
        return self._share_seconds

    def share(self, now: float) -> float:
        """Return the share of the quotas that this holder has now, at most 1."""
        self.advance(now)
        return self._share

    def limit(self, capacity: float, rate_per_s: float, first_loans: float) -> float:
        """Return the highest level that a bucket may have reached by now.

        Whenever the share fell, no bucket held more than that share of its capacity.
        """
        return min(
            capacity * decline.share
            + rate_per_s * (self._share_seconds - decline.share_seconds)
            + first_loans * (self.credits - decline.credits)
            for decline in self._declines
        )

    @property
    def _share(self) -> float:
        return min(1.0, len(self._until_by_node) / self._node_count)

    def _accrue(self, until: float) -> None:
        if until > self._advanced_at:
            self._share_seconds += self._share * (until - self._advanced_at)
            self._advanced_at = until

    def _record_decline(self) -> None:
        share = self._share
        while self._declines and self._declines[-1].share >= share:
            self._declines.pop()
        self._declines.append(_Decline(share, self._share_seconds, self.credits))
        if len(self._declines) > MAX_DECLINES:
            # One entry as strict as the two oldest.
            lowest = self._declines.popleft()
            self._declines[0] = replace(self._declines[0], share=lowest.share)
