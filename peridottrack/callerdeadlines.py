"""What callers tell of the time that they wait."""

from __future__ import annotations

from peridottrack.headerblock import header_value
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import CallerRequest
from peridottrack.routing import Route

FIRST_TRY_S = 0.02
"""Time already spent up to which a request counts as asked for the first time."""


class CallerDeadlines:
    """Reads the times of requests and remembers the longest of each route."""

    def __init__(self, dialect: HeaderNames) -> None:
        self._deadline_name = dialect.deadline_ms.encode()
        self._longest_s_by_route: dict[str, float] = {}

    def is_first_attempt(self, request: CallerRequest, route: Route) -> bool:
        """Tell whether its caller did not ask before."""
        return self.elapsed_s(request, route) < FIRST_TRY_S

    def told_s(self, request: CallerRequest) -> float | None:
        """Return how long the caller says that it waits."""
        told = header_value(request.headers, self._deadline_name)
        return int(told) / 1000 if told is not None and told.isdigit() else None

    def timeout_s(self, request: CallerRequest, route: Route) -> float:
        """Return the seconds from its first byte within which it is answered."""
        told_s = self.told_s(request)
        return route.timeout_s if told_s is None else min(route.timeout_s, told_s)

    def elapsed_s(self, request: CallerRequest, route: Route) -> float:
        """Return how long the caller waited before, if it asks again.

        Callers of a route begin with the same time and tell what is left of it.
        """
        told_s = self.told_s(request)
        if told_s is None:
            return 0.0
        longest_s = max(told_s, self._longest_s_by_route.get(route.name, 0.0))
        self._longest_s_by_route[route.name] = longest_s
        return longest_s - told_s
