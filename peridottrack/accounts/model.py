"""The client accounts of a document.

Keys are stored as digests only, so that no dump, log line or error can show one.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

AccountName = NewType("AccountName", str)

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Parameters
    ----------
    priority
        Priority of its requests instead of their route's; None to use the route's.
    rate_per_s, burst
        Requests a second that all nodes together admit, and how many at once beyond that; an
        infinite rate is no limit.
    """

    name: AccountName
    priority: int | None = None
    rate_per_s: float = math.inf
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Whether the account has a quota."""
        return math.isfinite(self.rate_per_s)


class AccountTable:
    """The accounts of one version of the document, found by name and by key.

    Parameters
    ----------
    keys_by_account
        Each account with its keys. A key of several accounts belongs to none of them.

    Attributes
    ----------
    by_name
        The accounts by name.
    shared_keys
        Number of keys that belong to none, since several accounts have them.
    """

    def __init__(self, keys_by_account: Iterable[tuple[Account, Iterable[str]]] = ()) -> None:
        self.by_name: dict[AccountName, Account] = {}
        self._account_by_digest: dict[bytes, Account] = {}
        shared: set[bytes] = set()
        for account, keys in keys_by_account:
            self.by_name[account.name] = account
            for digest in {_digest(key.encode()) for key in keys}:
                if digest in self._account_by_digest:
                    shared.add(digest)
                self._account_by_digest[digest] = account
        for digest in shared:
            del self._account_by_digest[digest]
        self.shared_keys = len(shared)

    def find(self, key: bytes) -> Account | None:
        """Return the account that holds a key, None if no account does."""
        return self._account_by_digest.get(_digest(key))


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
