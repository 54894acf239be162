"""Header fields that an intermediary forwards (RFC 9110, section 7.6).

For the node without a gate, which removes Expect in its dispatcher; the node with a gate uses
`peridottrack.headerblock`.
"""

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
    """Return a copy of the headers without the hop-by-hop ones."""
    connection = headers.get("Connection")
    hop_by_hop = HOP_BY_HOP
    if connection is not None:
        hop_by_hop = HOP_BY_HOP | {token.strip().lower() for token in connection.split(",")}
    forwarded = [(name, value) for name, value in headers.items() if name.lower() not in hop_by_hop]
    return CIMultiDict(forwarded)
