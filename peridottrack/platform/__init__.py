"""The users' platform: its names, formats and calls, translated to the product's own types.

Nothing here decides. Outside this folder no module knows the platform's names.
"""

from peridottrack.platform.adapter import ADAPTER

__all__ = ["ADAPTER"]
