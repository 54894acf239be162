"""Step of the filter chain that holds client accounts to their quotas."""

from __future__ import annotations

from typing import Protocol

from peridottrack import log
from peridottrack.accounts.model import Account
from peridottrack.callerfilters.chain import NextFilter, RoutedRequest
from peridottrack.errors import RAN_HEADER, ErrorKind, Ran
from peridottrack.headerblock import header_value
from peridottrack.ingress import BufferedResponse
from peridottrack.metrics import Metrics
from peridottrack.quotas.spender import Decision, Verdict
from peridottrack.replies import ErrorReplies

KIND_BY_VERDICT = {
    Verdict.EXCEEDED: ErrorKind.QUOTA_EXCEEDED,
    Verdict.UNSETTLED: ErrorKind.QUOTA_UNSETTLED,
}
_RAN_HEADER = RAN_HEADER.lower().encode()
_NOT_RUN = Ran.NO.value.encode()


class Quotas(Protocol):
    """Decides whether a limited account may send a request."""

    async def admit(self, account: Account) -> Decision:
        """Decide on a request, after a short wait if need be."""
        ...

    def give_back(self, account: Account, decision: Decision) -> None:
        """Take back the token of a request that has not reached an instance."""
        ...


class QuotaFilter:
    """Refuses requests beyond the quota of their account."""

    def __init__(self, quotas: Quotas, replies: ErrorReplies, metrics: Metrics) -> None:
        self._quotas = quotas
        self._replies = replies
        self._metrics = metrics

    async def __call__(self, routed: RoutedRequest, next_filter: NextFilter) -> BufferedResponse:
        """Pass on a request that is within its account's quota."""
        account = routed.account
        if account is None or not account.limited:
            return await next_filter(routed)
        decision = await self._quotas.admit(account)
        if decision.verdict is not Verdict.ADMITTED:
            return self._refuse(routed, account, decision)
        response = await next_filter(routed)
        if header_value(response.headers, _RAN_HEADER) == _NOT_RUN:
            self._quotas.give_back(account, decision)
        return response

    def _refuse(
        self, routed: RoutedRequest, account: Account, decision: Decision
    ) -> BufferedResponse:
        kind = KIND_BY_VERDICT[decision.verdict]
        self._metrics.call_outcome(routed.route.shares[0].service, kind.value).inc()
        log.event(
            "quota refused",
            request=routed.request_id,
            route=routed.route.name,
            account=account.name,
            version=routed.table.version,
            kind=kind.value,
            retry_s=round(decision.retry_s, 3),
        )
        return self._replies.problem(
            kind,
            routed.request_id,
            retry_after_s=decision.retry_s,
            max_retry_after_s=decision.retry_s,
        )
