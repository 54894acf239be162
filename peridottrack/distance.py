"""How much longer a call to another failure domain takes, learnt from pings sent anyway."""

from __future__ import annotations

from peridottrack.types import FailureDomain

WEIGHT = 0.1
UNKNOWN_S = 0.003
LARGEST_S = 0.25


class Distances:
    """Round trips to each failure domain, as a cost over the own one.

    Parameters
    ----------
    own
        Failure domain of this node.
    """

    def __init__(self, own: FailureDomain) -> None:
        self._own = own
        self._round_trip_s_by_domain: dict[FailureDomain, float] = {}

    def record(self, domain: FailureDomain, round_trip_s: float) -> None:
        """Take in one round trip; a late answer of a busy node counts for little."""
        round_trip_s = min(round_trip_s, LARGEST_S)
        known_s = self._round_trip_s_by_domain.get(domain)
        if known_s is None:
            self._round_trip_s_by_domain[domain] = round_trip_s
        else:
            # Falling is believed sooner than rising: queues add to a round trip, never take off.
            weight = WEIGHT if round_trip_s > known_s else 3 * WEIGHT
            self._round_trip_s_by_domain[domain] = known_s + weight * (round_trip_s - known_s)

    def cost_s(self, domain: FailureDomain) -> float:
        """Return the seconds that a call there takes longer than one within the own domain."""
        if domain == self._own:
            return 0.0
        there_s = self._round_trip_s_by_domain.get(domain)
        if there_s is None:
            return UNKNOWN_S
        return max(0.0, there_s - self._round_trip_s_by_domain.get(self._own, 0.0))

    def dump(self) -> dict[str, float]:
        """Return the costs for a dump, in seconds."""
        return {domain: round(self.cost_s(domain), 5) for domain in self._round_trip_s_by_domain}
