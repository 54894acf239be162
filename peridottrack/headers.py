"""Which header fields pass an intermediary (RFC 9110, section 7.6)."""

from __future__ import annotations

from collections.abc import Mapping

from multidict import CIMultiDict

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Copy headers without those that belong to one connection only."""
    named = headers.get("Connection")
    dropped = HOP_BY_HOP
    if named is not None:
        dropped = HOP_BY_HOP | {token.strip().lower() for token in named.split(",")}
    kept = [(name, value) for name, value in headers.items() if name.lower() not in dropped]
    return CIMultiDict(kept)
