"""Tokens of one account at its holder."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from peridottrack.accounts.model import Account
from peridottrack.quotas.limits import QuotaTolerance
from peridottrack.quotas.loans import BorrowedShares
from peridottrack.types import NodeId

ASKS_PER_S = 250.0
"""Asks a second for an exhausted account that all nodes together send, besides one a token."""
ASKERS_MEMORY_S = 1.0
MAX_BACKLOG_S = 10.0
"""Refused requests count in the waiting time of later ones up to so many seconds of the rate."""


@dataclass(frozen=True, slots=True)
class Granted:
    """Response to one ask for tokens of an account.

    Parameters
    ----------
    tokens
        Tokens granted.
    retry_s
        Seconds after which a request that gets none would pass; 0 if all got tokens.
    hold_s
        Seconds for which the node need not ask again.
    """

    tokens: int
    retry_s: float = 0.0
    hold_s: float = 0.0


SETTLED_SHARE = 0.5
"""Share above which a holder is the only one that grants much."""


class QuotaBucket:
    """Token bucket of one account, filled according to the borrowed share.

    Tokens that were granted count as unspent until they expire, so that what may be spent in a
    window is bounded by what is unspent at its beginning plus what accrues in it.

    The quota allows the burst in each window anew. A holder that has had most shares for a window
    knows what was granted in it, so it also lets the burst accrue, and bounds what it grants in
    any window.
    """

    def __init__(self, account: Account, tolerance: QuotaTolerance, shares: BorrowedShares) -> None:
        self.account = account
        self._tolerance = tolerance
        self._shares = shares
        self._level = math.inf
        self._share_seconds = 0.0
        self._credits = 0.0
        self._granted: deque[tuple[float, int]] = deque()
        self._granted_tokens = 0
        self._window: deque[tuple[float, int]] = deque()
        self._window_tokens = 0
        self._unsettled_at = -math.inf
        self._backlog = 0.0
        self._backlog_at = 0.0
        self._asked_at: dict[NodeId, float] = {}
        self._forget_askers_at = -math.inf

    def set_account(self, account: Account, now: float) -> None:
        """Apply changed limits; what accrued so far did so at the old rate."""
        if account != self.account:
            self._fill(now)
            self.account = account
            self._fill(now)

    def ask(self, node: NodeId, need: int, want: int, refused: int, now: float) -> Granted:
        """Grant tokens.

        Parameters
        ----------
        need
            Requests that wait for a token.
        want
            Tokens for requests expected soon; granted while tokens are plentiful.
        refused
            Requests that the node refused without asking.
        """
        self._fill(now)
        available = int(min(self._level, self._window_room(now)))
        tokens = min(need, available)
        if tokens == need and available - tokens - want >= self._capacity(now) / 2:
            tokens += want
        self._level -= tokens
        if tokens:
            self._granted.append((now + self._tolerance.grant_s(self.account), tokens))
            self._granted_tokens += tokens
            self._window.append((now + self._window_s, tokens))
            self._window_tokens += tokens
        missing = max(0, need - tokens)
        askers = self._count_askers(node, now)
        self._drain_backlog(now)
        self._backlog += missing + refused
        if not missing:
            return Granted(tokens)
        return self._refuse(tokens, askers, now)

    def _refuse(self, tokens: int, askers: int, now: float) -> Granted:
        rate = self.account.rate_per_s * max(self._shares.share(now), 1e-6)
        next_token_s = max((1 - self._level) / rate, self._window_wait_s(now))
        backlog_s = min((self._backlog - self._level) / rate, MAX_BACKLOG_S)
        pace_s = askers / max(ASKS_PER_S, 2 * self.account.rate_per_s)
        retry_s = max(next_token_s, backlog_s)
        return Granted(tokens, retry_s, max(next_token_s, pace_s))

    def _fill(self, now: float) -> None:
        share_seconds = self._shares.advance(now)
        rate = self.account.rate_per_s
        self._level += self._accrual_per_s(now) * (share_seconds - self._share_seconds)
        self._share_seconds = share_seconds
        first_loans = self._tolerance.first_loans(self.account)
        self._level += first_loans * (self._shares.credits - self._credits)
        self._credits = self._shares.credits
        capacity = self._tolerance.capacity(self.account)
        self._level = min(self._level, self._shares.limit(capacity, rate, first_loans))
        while self._granted and self._granted[0][0] <= now:
            self._granted_tokens -= self._granted.popleft()[1]
        room = self._capacity(now) - self._granted_tokens
        self._level = max(0.0, min(self._level, room))

    def _accrual_per_s(self, now: float) -> float:
        """Return the tokens that accrue in a second with all shares."""
        account = self.account
        if self._shares.share(now) <= SETTLED_SHARE:
            self._unsettled_at = now
        if now - self._unsettled_at < self._window_s:
            return account.rate_per_s
        return account.rate_per_s + account.burst / self._tolerance.window_s

    @property
    def _window_s(self) -> float:
        """Seconds of grants whose tokens may be spent within one window."""
        return self._tolerance.window_s + self._tolerance.grant_s(self.account)

    def _window_room(self, now: float) -> float:
        """Return the tokens that may be granted without exceeding the quota of a window."""
        while self._window and self._window[0][0] <= now:
            self._window_tokens -= self._window.popleft()[1]
        limit = self._tolerance.window_limit(self.account) * self._shares.share(now)
        return limit - self._window_tokens

    def _window_wait_s(self, now: float) -> float:
        """Return the seconds until a token may be granted in the present window."""
        missing = 1 - self._window_room(now)
        wait_s = 0.0
        for until, tokens in self._window:
            if missing <= 0:
                break
            missing -= tokens
            wait_s = until - now
        return wait_s

    def _capacity(self, now: float) -> float:
        share = self._shares.share(now)
        capacity = self._tolerance.capacity(self.account) * share
        # Only one holder has more than half; it can save up a token even if that is little.
        return max(capacity, 1.0) if share > 0.5 else capacity

    def _drain_backlog(self, now: float) -> None:
        rate = self.account.rate_per_s * self._shares.share(now)
        self._backlog -= rate * (now - self._backlog_at)
        self._backlog = min(max(0.0, self._backlog), rate * MAX_BACKLOG_S)
        self._backlog_at = now

    def _count_askers(self, node: NodeId, now: float) -> int:
        if now >= self._forget_askers_at:
            oldest = now - ASKERS_MEMORY_S
            self._asked_at = {other: at for other, at in self._asked_at.items() if at > oldest}
            self._forget_askers_at = now + ASKERS_MEMORY_S / 2
        self._asked_at[node] = now
        return len(self._asked_at)
