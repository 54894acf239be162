"""Reads the deadlines that callers send and derives timeouts from them."""

from __future__ import annotations

from peridottrack.headerblock import header_value
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import CallerRequest
from peridottrack.routing import Route, RouteTable

FIRST_ATTEMPT_S = 0.02
"""Time elapsed at the caller up to which a request counts as its first attempt."""


BIN_S = 0.01
"""Remaining times that differ by less count as equal: callers take some milliseconds to send."""
MIN_USUAL_SHARE = 0.25
"""Share of recent requests that must state the usual time. Where callers state times of all
lengths, nothing tells first attempts."""
MIN_COUNTED = 8.0
"""Requests counted before the usual time is known."""
MAX_COUNTED = 256.0
"""Requests counted until the counts are halved, so that a new timeout of the callers is learnt."""


class UsualTimeout:
    """The time that most callers of a route give a request at first.

    First attempts state it, or slightly less. Retries state less, of all lengths. A few callers
    state more.
    """

    def __init__(self) -> None:
        self._count_by_bin: dict[int, float] = {}
        self._total = 0.0
        self._usual_bin = 0

    def add(self, remaining_s: float) -> None:
        """Count the remaining time that a request states."""
        bin_number = int(remaining_s / BIN_S)
        count_by_bin = self._count_by_bin
        count_by_bin[bin_number] = count_by_bin.get(bin_number, 0.0) + 1.0
        self._total += 1.0
        if self._count_near(bin_number) > self._count_near(self._usual_bin):
            self._usual_bin = bin_number
        if self._total >= MAX_COUNTED:
            self._halve()

    def elapsed_s(self, remaining_s: float) -> float:
        """Return how long a caller that states a remaining time has waited, 0 if unknown."""
        least = max(MIN_COUNTED / 2, MIN_USUAL_SHARE * self._total)
        if self._total < MIN_COUNTED or self._count_near(self._usual_bin) < least:
            return 0.0
        # Of two neighbours that share the usual time, the longer one.
        longer = self._usual_bin + (self._count_by_bin.get(self._usual_bin + 1, 0.0) > 0)
        elapsed_s = longer * BIN_S - remaining_s
        return max(0.0, elapsed_s)

    def _count_near(self, bin_number: int) -> float:
        get = self._count_by_bin.get
        return get(bin_number, 0.0) + get(bin_number + 1, 0.0)

    def _halve(self) -> None:
        halved = ((number, count / 2) for number, count in self._count_by_bin.items())
        self._count_by_bin = {number: count for number, count in halved if count >= 0.5}
        self._total = sum(self._count_by_bin.values())


class CallerDeadlines:
    """Reads the remaining time of requests and learns the usual timeout of each route."""

    def __init__(self, header_names: HeaderNames) -> None:
        self._deadline_name = header_names.deadline_ms.encode()
        self._usual_timeout_by_route: dict[str, UsualTimeout] = {}

    def is_first_attempt(self, request: CallerRequest, route: Route) -> bool:
        """Return whether this is the caller's first attempt."""
        return self.elapsed_s(request, route) < FIRST_ATTEMPT_S

    def remaining_s(self, request: CallerRequest) -> float | None:
        """Return the remaining time that the caller states, None if it states none."""
        value = header_value(request.headers, self._deadline_name)
        return int(value) / 1000 if value is not None and value.isdigit() else None

    def timeout_s(self, request: CallerRequest, route: Route) -> float:
        """Return the timeout of a request in seconds, counted from its first byte."""
        remaining_s = self.remaining_s(request)
        return route.timeout_s if remaining_s is None else min(route.timeout_s, remaining_s)

    def body_timeout_s(self, request: CallerRequest, table: RouteTable | None) -> float | None:
        """Return the same for a request of which only the head has arrived, None without route."""
        host = (header_value(request.headers, b"host") or b"").decode("latin-1")
        route = table.find(host.partition(":")[0].lower(), request.path) if table else None
        return self.timeout_s(request, route) if route is not None else None

    def elapsed_s(self, request: CallerRequest, route: Route) -> float:
        """Return how long the caller has already waited, if it retries.

        Most callers of a route start with the same timeout and send what remains of it, so the
        difference from that timeout is the time elapsed.
        """
        remaining_s = self.remaining_s(request)
        if remaining_s is None:
            return 0.0
        usual = self._usual_timeout_by_route.get(route.name)
        if usual is None:
            usual = self._usual_timeout_by_route[route.name] = UsualTimeout()
        usual.add(remaining_s)
        return usual.elapsed_s(remaining_s)
