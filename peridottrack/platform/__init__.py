"""Adapter to the users' platform: translates its names, formats and calls to the package's types.

It makes no decisions. No module outside this package uses the platform's names.
"""

from peridottrack.platform.adapter import ADAPTER

__all__ = ["ADAPTER"]
