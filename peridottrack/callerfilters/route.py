"""First step of the filter chain: finds the route of a request in the document in force."""

from __future__ import annotations

from collections.abc import Callable

from peridottrack.callerfilters.chain import RoutedRequest
from peridottrack.errors import ErrorKind
from peridottrack.headerblock import header_value
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import BufferedResponse, CallerRequest
from peridottrack.replies import ErrorReplies
from peridottrack.routing import RouteTable


class Router:
    """Identifies a request and finds its route.

    Parameters
    ----------
    table
        Returns the document in force, None until one has arrived.

    Attributes
    ----------
    confirmed_age_s
        Returns the seconds since this node knew that the store had no newer document.
    """

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        header_names: HeaderNames,
        replies: ErrorReplies,
    ) -> None:
        self._table = table
        self._header_names = header_names
        self._replies = replies
        self._request_id_header = header_names.request_id.encode()
        self.confirmed_age_s: Callable[[], float] = lambda: 0.0

    def find(self, request: CallerRequest) -> RoutedRequest | BufferedResponse:
        """Return the routed request, or the response to one that has no id or no route."""
        request_id = (header_value(request.headers, self._request_id_header) or b"").decode(
            "latin-1"
        )
        if not request_id:
            return self._replies.problem(
                ErrorKind.BAD_REQUEST, "", f"{self._header_names.request_id} is missing"
            )
        table = self._table()
        if table is None:
            return self._replies.problem(ErrorKind.NOT_READY, request_id)
        host = (header_value(request.headers, b"host") or b"").decode("latin-1")
        route = table.find(host.partition(":")[0].lower(), request.path)
        if route is None:
            return self._replies.problem(ErrorKind.NO_ROUTE, request_id, f"version {table.version}")
        return RoutedRequest(request, request_id, table, route, round(self.confirmed_age_s(), 2))
