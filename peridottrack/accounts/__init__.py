"""Client accounts: who asks, what the account may do, and for how long its keys are vouched for.

- `model`: the accounts of a document, found by key.
- `credentials`: reads the key that a request carries.
- `validity`: whether this node may still vouch for the keys of its document.
- `filter`: the step of the filter chain that uses them.
"""
