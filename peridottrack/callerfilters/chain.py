"""A routed request and the filters that it passes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from peridottrack.accounts.model import Account
from peridottrack.headerblock import Header
from peridottrack.ingress import BufferedResponse, CallerRequest
from peridottrack.routing import Route, RouteTable
from peridottrack.sharing.standing import Standing


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """A caller's request whose route is known.

    Parameters
    ----------
    table
        The document by which it is routed.
    confirmed_s
        Seconds since this node knew that the store had no newer document.
    account
        The client account that asks; None if the route allows anonymous requests, or if the
        document has no accounts.
    returned
        Whether the caller has been refused before, as far as its deadline tells.
    standing
        How it stands to its share of a service that is full.
    dropped_headers
        Names, in lower case, of headers that are not passed on.
    added_headers
        Headers that the system sets for the instance.
    """

    request: CallerRequest
    request_id: str
    table: RouteTable
    route: Route
    confirmed_s: float
    account: Account | None = None
    returned: bool = False
    standing: Standing = Standing.WITHIN
    dropped_headers: frozenset[bytes] = frozenset()
    added_headers: list[Header] = field(default_factory=list)

    @property
    def priority(self) -> int:
        """Priority of the request: its account's, or its route's if the account has none."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


NextFilter = Callable[[RoutedRequest], Awaitable[BufferedResponse]]


class CallerFilter(Protocol):
    """A step that a routed request passes; it answers itself or calls the next one."""

    async def __call__(self, routed: RoutedRequest, next_filter: NextFilter) -> BufferedResponse:
        """Return the response to a request."""
        ...


def build_chain(filters: Sequence[CallerFilter], last: NextFilter) -> NextFilter:
    """Return a callable that passes a request through ``filters`` and then to ``last``."""
    chained = last
    for caller_filter in reversed(filters):
        chained = partial(caller_filter, next_filter=chained)
    return chained
