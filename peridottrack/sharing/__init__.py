"""Shares the room of a service that is full among client accounts, routes and calling hosts.

- `counts`: counts of recent events by key, bounded in number.
- `standing`: which requests have had less or ask for more than their share, and the order of all.
- `filter`: the step of the filter chain at the caller's node that uses them.
"""
