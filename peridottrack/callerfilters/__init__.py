"""The filter chain of a node with a gate, in the order in which a caller's request passes it.

1. `route.Router`: who asks for what: request id, document in force and route.
2. `peridottrack.accounts.filter.AccountFilter`: which client account asks, and whether it may.
3. `peridottrack.quotas.filter.QuotaFilter`: is the request within the quota of its account.
4. `peridottrack.forward.Forwarder`: where to, send, perhaps a second send, answer.
"""
