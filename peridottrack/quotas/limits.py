"""What a quota allows in a window, and how its tolerance is divided."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import lru_cache
from typing import NewType

from peridottrack.accounts.model import Account, AccountName

AccountId = NewType("AccountId", int)
"""Digest of an account's name, which messages carry instead of it."""
Slot = NewType("Slot", int)
"""A part of the accounts that has one holder."""

ACCOUNT_ID_BYTES = 8
GRANT_SHARE = 0.4
"""Part of the tolerance that covers tokens between their grant and their use."""
FIRST_LOAN_SHARE = 0.1
"""Part of the tolerance that a new holder may spend at once, since it starts with an empty bucket.
"""
MAX_GRANT_S = 0.5
"""Longest life of a token; longer than answers take to a node that is short of processor time."""
SLOT_COUNTS = ((1_000, 4), (4_000, 8))
"""Accounts below which there are this many slots."""
MAX_SLOTS = 16


@lru_cache(maxsize=16_384)
def account_id(name: AccountName) -> AccountId:
    """Return the id of an account."""
    digest = hashlib.blake2b(name.encode(), digest_size=ACCOUNT_ID_BYTES).digest()
    return AccountId(int.from_bytes(digest, "big"))


def slot_count(accounts: int) -> int:
    """Return the number of slots for a number of limited accounts, the same on all nodes."""
    return next((slots for below, slots in SLOT_COUNTS if accounts < below), MAX_SLOTS)


def slot_of(account: AccountId, slots: int) -> Slot:
    """Return the slot of an account."""
    return Slot(account % slots)


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far a quota may be exceeded.

    Parameters
    ----------
    window_s, over, slack
        In any window, an account may send (rate x window + burst) x (1 + over) + slack.
    """

    window_s: float
    over: float
    slack: float

    def grant_s(self, account: Account) -> float:
        """Return the seconds after the ask for which a granted token may be spent."""
        return min(MAX_GRANT_S, GRANT_SHARE * self._tolerance(account) / account.rate_per_s)

    def bound(self, account: Account) -> float:
        """Return the number of requests that an account may send in a window."""
        exact = account.rate_per_s * self.window_s + account.burst
        return exact * (1 + self.over) + self.slack

    def window_limit(self, account: Account) -> float:
        """Return the number of tokens that one holder may grant for a window.

        The rest of the tolerance covers changes of the holder.
        """
        return self.bound(account) - 2 * self.first_loans(account)

    def first_loans(self, account: Account) -> float:
        """Return the tokens that a holder has at once when all nodes begin to lend to it."""
        return FIRST_LOAN_SHARE * self._tolerance(account)

    def capacity(self, account: Account) -> float:
        """Return the most tokens that may be unspent: in the bucket and granted.

        With what accrues in a window and what covers changes of the holder, it makes up the bound.
        """
        spare = self._tolerance(account) - 2 * self.first_loans(account)
        return account.burst + spare - account.rate_per_s * self.grant_s(account)

    def _tolerance(self, account: Account) -> float:
        return self.bound(account) - account.rate_per_s * self.window_s - account.burst
