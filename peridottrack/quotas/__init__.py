"""Quotas of client accounts, held over all nodes together.

- `limits`: what a quota allows, and which part of its tolerance is used for what.
- `loans`: each node lends its share of all quotas to one holder at a time.
- `bucket`, `holder`: a holder grants tokens within the shares that are lent to it.
- `spender`: a node asks a holder for tokens and spends them.
- `ranking`: which node should hold which accounts.
- `controller`: messages, timers and metrics.
- `filter`: the step of the filter chain that uses them.

All but the last two decide without I/O; the time is passed in.
"""
