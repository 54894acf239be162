"""Step of the filter chain that tells how a request stands to its share at the caller's node."""

from __future__ import annotations

from peridottrack.callerdeadlines import CallerDeadlines
from peridottrack.callerfilters.chain import NextFilter, RoutedRequest
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import BufferedResponse
from peridottrack.sharing.standing import Shares, claimant_of
from peridottrack.types import Clock, ServiceName

NOT_RUN = 503
MIN_ERROR_STATUS = 400


class SharingFilter:
    """Records whose requests are served, by service, and marks requests that are starved.

    The caller's node refuses a request when it expects that no gate can serve it in time. It cannot
    see the order in which a gate serves, so a starved request is left to the gate's decision.

    Parameters
    ----------
    always
        Whether routes share room also where no request has an account.
    """

    def __init__(self, header_names: HeaderNames, clock: Clock, always: bool = False) -> None:
        self._caller_deadlines = CallerDeadlines(header_names)
        self._clock = clock
        self._always = always
        self._shares_by_service: dict[ServiceName, Shares] = {}

    async def __call__(self, routed: RoutedRequest, next_filter: NextFilter) -> BufferedResponse:
        """Pass on a request with its standing, and record whether it was served."""
        shares = self._shares_of(routed.route.shares[0].service)
        account = routed.account.name if routed.account is not None else ""
        claimant = claimant_of(account, routed.route.name, "")
        first = self._caller_deadlines.is_first_attempt(routed.request, routed.route)
        routed.returned = not first
        routed.standing = shares.ask(claimant, self._clock.now())
        response = await next_filter(routed)
        if response.status == NOT_RUN or response.status < MIN_ERROR_STATUS:
            served = response.status != NOT_RUN
            shares.settle(claimant, served, routed.returned, self._clock.now())
        return response

    def _shares_of(self, service: ServiceName) -> Shares:
        shares = self._shares_by_service.get(service)
        if shares is None:
            shares = Shares(self._clock.now(), self._always)
            self._shares_by_service[service] = shares
        return shares
