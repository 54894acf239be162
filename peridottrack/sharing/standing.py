"""Decides the order in which requests get the room of a service that is full. Performs no I/O.

Requests are ordered by priority, as without accounts. Within a priority those go last whose account
asks for far more than its share. Those that are starved go first, whatever their priority: of their
account, route or calling host a far smaller part was served lately than of all requests.

A share is relative to demand. An account's share follows its own usual demand, so that a large
account is not cut to the size of the others. It is above its share only if its demand has grown far
more than that of all others, and is also far above the mean demand of an account.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from peridottrack.sharing.counts import FadingCounts

SERVED_FADE_S = 10.0
"""Time constant over which served and refused requests are compared."""
RECENT_FADE_S = 2.0
"""Time constant of an account's demand now: the rise of an account is to be noticed at once."""
USUAL_FADE_S = 60.0
"""Time constant of an account's usual demand: far longer than the rise of an account."""
FLOOR_SHARE = 0.25
"""Part of the mean share served below which no account, route or host may fall."""
STARVED_SHARE = 2.0 * FLOOR_SHARE
"""Part of the mean share served below which requests go first. A gate counts sends, of which a
request makes several, so it keeps a distance from the floor."""
STARVED_SHARE_ABOVE = 1.2 * FLOOR_SHARE
"""The same for an account above its share, whose many sends are to cost the others little."""
PRIOR_REQUESTS = 2.0
"""Requests served like the mean that are added to each count: few refusals show no starvation."""
ABOVE_FACTOR = 2.0
"""Multiple of its share from which an account's demand counts as above it."""
ABOVE_SLACK = 2.0
"""Requests that an account may ask beyond that: single requests are no rise of demand."""
MIN_LISTED = 0.5
"""Count of settled requests from which the state dump lists a key."""
LEAST_SERVED = 5
"""Number of accounts, routes and hosts that the state dump names."""
LARGEST_ACCOUNTS = 3
"""Number of accounts that a report on the shares names."""
ALL = "all"
"""Key of all requests together."""


class Standing(IntEnum):
    """How a request stands to its share; lower values go first."""

    STARVED = 0
    WITHIN = 1
    ABOVE = 2


Claimant = tuple[str, ...]
"""The keys under which a request is counted; the first is its account's, empty if it has none."""


def claimant_of(account: str, route: str, host: str) -> Claimant:
    """Return whose request it is.

    Parameters
    ----------
    account, host
        Names of the client account and of the calling host, empty if there is none.
    """
    return (account and f"a:{account}", f"r:{route}", host and f"h:{host}")


@dataclass(slots=True)
class ShareReport:
    """What the shares were in a period, for the log.

    Parameters
    ----------
    starved, above
        Requests of that standing.
    displaced
        Queued requests that were refused in favour of others.
    """

    starved: int = 0
    above: int = 0
    displaced: int = 0

    @property
    def empty(self) -> bool:
        """Whether nothing was decided by share."""
        return not (self.starved or self.above or self.displaced)


class Shares:
    """Counts who asks and who is served, and tells how a request stands to its share.

    Parameters
    ----------
    always
        Whether routes and hosts share room also where no request has an account.

    Attributes
    ----------
    report
        What was decided since the report was last replaced.
    """

    def __init__(self, now: float, always: bool = False) -> None:
        self.always = always
        self.report = ShareReport()
        self._recent = FadingCounts(RECENT_FADE_S, now)
        self._usual = FadingCounts(USUAL_FADE_S, now)
        self._served = FadingCounts(SERVED_FADE_S, now)
        self._settled = FadingCounts(SERVED_FADE_S, now)
        self._has_accounts = False
        self._account_asked_at = now

    @property
    def active(self) -> bool:
        """Whether room is shared: while requests have accounts."""
        return self.always or self._has_accounts

    def ask(self, claimant: Claimant, now: float) -> Standing:
        """Record a new request and return its standing."""
        account = claimant[0]
        if account:
            self._has_accounts, self._account_asked_at = True, now
            self._recent.add(account, now)
            self._usual.add(account, now)
        elif now - self._account_asked_at > USUAL_FADE_S:
            self._has_accounts = False
        if not self.active:
            return Standing.WITHIN
        standing = self._standing(claimant, now)
        self.report.starved += standing is Standing.STARVED
        self.report.above += standing is Standing.ABOVE
        return standing

    def settle(self, claimant: Claimant, served: bool, returned: bool, now: float) -> None:
        """Record that a request was started, or refused for want of room.

        A request whose caller comes back was counted as asked before; those whose callers come back
        more often would otherwise seem to ask for more.
        """
        if not self.active:
            return
        for key in (ALL, *claimant):
            if key and not returned:
                self._settled.add(key, now)
            if key and served:
                self._served.add(key, now)

    def _standing(self, claimant: Claimant, now: float) -> Standing:
        above = bool(claimant[0]) and self._is_above(claimant[0], now)
        if self._is_starved(claimant, STARVED_SHARE_ABOVE if above else STARVED_SHARE, now):
            return Standing.STARVED
        return Standing.ABOVE if above else Standing.WITHIN

    def _is_starved(self, claimant: Claimant, least_share: float, now: float) -> bool:
        """Return whether far less than the mean share of such requests was served lately."""
        settled = self._settled.get(ALL, now)
        if not settled:
            return False
        mean = self._served.get(ALL, now) / settled
        least = least_share * mean
        return any(key and self._share(key, mean, now) < least for key in claimant)

    def _share(self, key: str, mean: float, now: float) -> float:
        served = self._served.get(key, now) + PRIOR_REQUESTS * mean
        return served / (self._settled.get(key, now) + PRIOR_REQUESTS)

    def _is_above(self, account: str, now: float) -> bool:
        """Return whether an account asks for far more than its share."""
        recent = self._recent.get(account, now)
        if recent <= ABOVE_SLACK:
            return False
        span_s = self._recent.span_s(now)
        mean = self._recent.total(now) / max(len(self._recent), 1)
        share = max(self._usual_of(account, now) * span_s * self._growth(account, now), mean)
        return recent > ABOVE_FACTOR * share + ABOVE_SLACK

    def _usual_of(self, account: str, now: float) -> float:
        """Return the usual requests a second of an account."""
        return self._usual.get(account, now) / self._usual.span_s(now)

    def _growth(self, account: str, now: float) -> float:
        """Return the factor by which the demand of all other accounts is above the usual."""
        usual = self._usual.total(now) / self._usual.span_s(now) - self._usual_of(account, now)
        recent = self._recent.total(now) - self._recent.get(account, now)
        if usual <= 0.0:
            return 1.0
        return max(1.0, recent / self._recent.span_s(now) / usual)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state for the state dump, bounded to a few keys of the least share served."""
        settled = {key: count for key, count in self._settled.items(now) if count >= MIN_LISTED}
        served = {key: self._served.get(key, now) / count for key, count in settled.items()}
        least = sorted(served.items(), key=lambda item: item[1])[:LEAST_SERVED]
        return {
            "active": self.active,
            "served": round(served.get(ALL, 1.0), 3),
            "least_served": {key: round(share, 3) for key, share in least if key != ALL},
            "largest_accounts": self.largest_accounts(now),
        }

    def largest_accounts(self, now: float) -> dict[str, float]:
        """Return the part of the recent requests that each of the largest accounts asked."""
        total = max(self._recent.total(now), 1.0)
        largest = sorted(self._recent.items(now), key=lambda item: -item[1])[:LARGEST_ACCOUNTS]
        return {key.removeprefix("a:"): round(count / total, 3) for key, count in largest}


QueueKey = tuple[bool, int, bool, bool, bool, float]


def queue_key(
    standing: Standing, priority: int, late: bool, returned: bool, due_at: float
) -> QueueKey:
    """Return the sort key of the one order in which requests get room.

    Parameters
    ----------
    late
        Whether the request cannot meet its target any more.
    returned
        Whether its caller was refused before.
    due_at
        Its target time, or its deadline if it is late.
    """
    above = standing is Standing.ABOVE
    return (standing is not Standing.STARVED, priority, above, late, not returned, due_at)


def displaces(newcomer: QueueKey, queued: QueueKey) -> bool:
    """Return whether a newcomer takes the place of a request in a full queue."""
    return newcomer[:3] < queued[:3]
