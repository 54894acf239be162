"""Step of the filter chain that finds the client account of a request."""

from __future__ import annotations

from peridottrack import log
from peridottrack.accounts.credentials import AUTHORIZATION, CredentialState, read_key
from peridottrack.accounts.model import Account, AccountTable
from peridottrack.accounts.validity import KeyValidity
from peridottrack.callerfilters.chain import NextFilter, RoutedRequest
from peridottrack.errors import ErrorKind
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import BufferedResponse
from peridottrack.metrics import Metrics
from peridottrack.replies import ErrorReplies

UNVOUCHED_RETRY_S = 1.0
"""Retry-After of requests whose key cannot be vouched for: a node that has lost the store asks it
again about once a second."""

KIND_BY_STATE = {
    CredentialState.MALFORMED: ErrorKind.KEY_REFUSED,
    CredentialState.REPEATED: ErrorKind.BAD_REQUEST,
}


class AccountFilter:
    """Admits requests of known accounts, and replaces their key by the account's name.

    Parameters
    ----------
    validity
        Whether the keys of the document may be vouched for.
    document_lag_s
        Age of the document in seconds up to which a key that it lacks is unknown. Beyond that a
        newer document may hold the key, so the caller is asked to come back.
    """

    def __init__(
        self,
        validity: KeyValidity,
        document_lag_s: float,
        header_names: HeaderNames,
        replies: ErrorReplies,
        metrics: Metrics,
    ) -> None:
        self._validity = validity
        self._document_lag_s = document_lag_s
        self._replies = replies
        self._metrics = metrics
        self._account_header = header_names.account.title().encode()
        self._dropped_headers = frozenset((AUTHORIZATION, header_names.account.encode()))

    async def __call__(self, routed: RoutedRequest, next_filter: NextFilter) -> BufferedResponse:
        """Pass on a request that its account may send."""
        accounts = routed.table.accounts
        if accounts is None:
            return await next_filter(routed)
        found = self._find(routed, accounts)
        if isinstance(found, ErrorKind):
            return self._refuse(routed, found)
        routed.account = found
        routed.dropped_headers |= self._dropped_headers
        if found is not None:
            routed.added_headers.append((self._account_header, found.name.encode()))
        return await next_filter(routed)

    def _find(self, routed: RoutedRequest, accounts: AccountTable) -> Account | ErrorKind | None:
        """Return the account, None for an anonymous request, or why the request is refused."""
        state, key = read_key(routed.request.headers)
        if state in KIND_BY_STATE:
            return KIND_BY_STATE[state]
        if state is CredentialState.ABSENT:
            return None if routed.route.anonymous else ErrorKind.KEY_REFUSED
        if not self._validity.vouches:
            return ErrorKind.KEYS_UNCONFIRMED
        account = accounts.find(key)
        if account is not None:
            return account
        is_old = routed.confirmed_s > self._document_lag_s
        return ErrorKind.KEYS_UNCONFIRMED if is_old else ErrorKind.KEY_REFUSED

    def _refuse(self, routed: RoutedRequest, kind: ErrorKind) -> BufferedResponse:
        self._metrics.call_outcome(routed.route.shares[0].service, kind.value).inc()
        log.event(
            "account refused",
            request=routed.request_id,
            route=routed.route.name,
            version=routed.table.version,
            confirmed_s=routed.confirmed_s,
            proof_age_s=round(min(self._validity.age_s(), 1e6), 2),
            kind=kind.value,
        )
        return self._replies.problem(kind, routed.request_id, retry_after_s=UNVOUCHED_RETRY_S)
