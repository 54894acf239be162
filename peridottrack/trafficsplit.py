"""Chooses the service of a request on a route that is split by weight. Performs no I/O.

If one service of a split is short of capacity, callers retry the requests that it refused, and a
new random choice at each attempt would move its requests to the other services. The choice is
therefore a hash of the request. Many identical requests have the same hash, which does not keep the
weights, so counters move first attempts from services above their share; retries are not moved.
"""

from __future__ import annotations

import hashlib
from collections import Counter

from peridottrack.routing import Route
from peridottrack.types import ServiceName

MAX_DEVIATION = 0.05
"""Deviation of a service's share of the requests from its weight that is not corrected."""
COUNT_WINDOW = 100
"""Number of requests after which the counts are halved, so that older requests lose weight."""


def split_point(target: bytes, body: bytes | bytearray) -> float:
    """Return a number in [0, 1) that is the same for each attempt of a request."""
    digest = hashlib.blake2b(target, digest_size=8)
    digest.update(b"\0")
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") / 2**64


class TrafficSplitter:
    """Splits the requests of all routes of one node by weight."""

    def __init__(self) -> None:
        self._count_by_route: dict[str, Counter[ServiceName]] = {}

    def pick(self, route: Route, point: float, first_attempt: bool) -> ServiceName:
        """Return the service for a request.

        Parameters
        ----------
        point
            The request's position on the route's range of weights, see `split_point`.
        first_attempt
            Whether it is the caller's first attempt; only these are counted.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        service = route.service_at(point)
        if not first_attempt:
            return service
        counts = self._counts(route)
        total = sum(counts.values())
        if total >= COUNT_WINDOW / 2 and self._deviation(route, counts, service) > MAX_DEVIATION:
            service = min(
                (share.service for share in route.shares if share.weight > 0),
                key=lambda one: self._deviation(route, counts, one),
            )
        counts[service] += 1
        if total >= COUNT_WINDOW:
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
    def _deviation(route: Route, counts: Counter[ServiceName], service: ServiceName) -> float:
        weights = sum(share.weight for share in route.shares)
        expected = sum(share.weight for share in route.shares if share.service == service) / weights
        return counts[service] / max(1, sum(counts.values())) - expected
