"""Extra latency of calls to other failure domains.

It is measured on the pings of the membership protocol, which are sent anyway.
"""

from __future__ import annotations

from peridottrack.types import FailureDomain

WEIGHT = 0.1
"""Weight of a higher sample in the moving average of round trips."""
DEFAULT_COST_S = 0.003
"""Cost of a domain without a measurement."""
MAX_ROUND_TRIP_S = 0.25
"""Larger samples are recorded as this."""


class Distances:
    """Round-trip times to failure domains, as a cost relative to the own domain.

    Parameters
    ----------
    own
        Failure domain of this node.
    """

    def __init__(self, own: FailureDomain) -> None:
        self._own = own
        self._round_trip_s_by_domain: dict[FailureDomain, float] = {}

    def record(self, domain: FailureDomain, round_trip_s: float) -> None:
        """Record a round trip, capped so that a late pong of a busy node has little effect."""
        round_trip_s = min(round_trip_s, MAX_ROUND_TRIP_S)
        known_s = self._round_trip_s_by_domain.get(domain)
        if known_s is None:
            self._round_trip_s_by_domain[domain] = round_trip_s
        else:
            # A lower sample weighs more than a higher one: queues can only add to a round trip.
            weight = WEIGHT if round_trip_s > known_s else 3 * WEIGHT
            self._round_trip_s_by_domain[domain] = known_s + weight * (round_trip_s - known_s)

    def cost_s(self, domain: FailureDomain) -> float:
        """Return how many seconds longer a call takes than one within the own domain."""
        if domain == self._own:
            return 0.0
        remote_s = self._round_trip_s_by_domain.get(domain)
        if remote_s is None:
            return DEFAULT_COST_S
        return max(0.0, remote_s - self._round_trip_s_by_domain.get(self._own, 0.0))

    def dump(self) -> dict[str, float]:
        """Return the costs in seconds, for the state dump."""
        return {domain: round(self.cost_s(domain), 5) for domain in self._round_trip_s_by_domain}
