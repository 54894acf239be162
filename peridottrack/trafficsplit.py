"""Which service of a split route gets a request, without network.

Answers the pattern of a service of a split that is short of room: callers ask again for what it
refused, and drawing anew each time would move its requests to the other services. So the same
request goes to the same service each time; where requests are too much alike for that, counts keep
the shares.
"""

from __future__ import annotations

import hashlib
from collections import Counter

from peridottrack.routing import Route
from peridottrack.types import ServiceName

ALLOWED_DRIFT = 0.05
"""Difference of a service's share of the requests from its weight's that is left alone."""
COUNTED = 100
"""Requests over which shares are counted; older ones fade."""


def split_point(target: bytes, body: bytes) -> float:
    """Return a number in [0, 1) that is the same for each try of a request."""
    digest = hashlib.blake2b(target + b"\0" + body, digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


class TrafficSplitter:
    """Keeps the shares of all split routes in one node."""

    def __init__(self) -> None:
        self._count_by_route: dict[str, Counter[ServiceName]] = {}

    def pick(self, route: Route, draw: float, first_try: bool) -> ServiceName:
        """Return the service that a request goes to.

        Parameters
        ----------
        draw
            See `split_point`.
        first_try
            Whether the caller asks for the first time; only these are counted.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        service = route.at(draw)
        if not first_try:
            return service
        counts = self._counts(route)
        total = sum(counts.values())
        if total >= COUNTED / 2 and self._drift(route, counts, service) > ALLOWED_DRIFT:
            service = min(
                (share.service for share in route.shares if share.weight > 0),
                key=lambda one: self._drift(route, counts, one),
            )
        counts[service] += 1
        if total >= COUNTED:
            for one in counts:
                counts[one] //= 2
        return service

    def _counts(self, route: Route) -> Counter[ServiceName]:
        names = {share.service for share in route.shares}
        counts = self._count_by_route.setdefault(route.name, Counter())
        if not names.issuperset(counts):
            counts.clear()
        return counts

    @staticmethod
    def _drift(route: Route, counts: Counter[ServiceName], service: ServiceName) -> float:
        weights = sum(share.weight for share in route.shares)
        due = sum(share.weight for share in route.shares if share.service == service) / weights
        return counts[service] / max(1, sum(counts.values())) - due
