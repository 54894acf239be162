"""All exceptions of the package, each with a stable code."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from peridottrack.errors import ErrorKind


class PeridottrackError(Exception):
    """Base of all exceptions of the package."""

    code: ClassVar[str] = "internal"


class RequestError(PeridottrackError):
    """A request that ends with an error response.

    Parameters
    ----------
    kind
        Determines the response, by the table in `peridottrack.errors`.
    detail
        One sentence for the caller.
    retry_after_s
        Seconds of the Retry-After header; overrides the table.
    """

    code = "request"

    def __init__(
        self, kind: ErrorKind, detail: str = "", *, retry_after_s: int | None = None
    ) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s


class NotConnected(PeridottrackError):
    """No connection to an upstream was established, so no byte of the request was sent."""

    code = "not_connected"


class BrokeOff(PeridottrackError):
    """The connection to an upstream broke before the head of its response was read."""

    code = "broke_off"


class InvalidStatus(PeridottrackError):
    """A response of an upstream has no status of HTTP; the request may have run."""

    code = "invalid_status"


class ResponseTooLarge(PeridottrackError):
    """A response of an upstream exceeded a limit before its end; the request may have run."""

    code = "response_too_large"


class StoreUnavailable(PeridottrackError):
    """A call to the platform's table or object store failed."""

    code = "store_unavailable"


class HistoryTruncated(PeridottrackError):
    """The platform's store no longer holds the changes after a position."""

    code = "history_lost"


class InvalidInput(PeridottrackError):
    """A text that fails validation.

    Parameters
    ----------
    faults
        One line each: location, what is wrong, what is allowed.
    """

    code = "faulty"

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


class InvalidSettings(InvalidInput):
    """A settings file that fails validation."""

    code = "settings_faulty"


class InvalidDocument(InvalidInput):
    """A document that fails validation."""

    code = "document_faulty"


class NotOwner(PeridottrackError):
    """An operator tried to change a section that they do not own."""

    code = "not_owner"


class AcceptConflict(PeridottrackError):
    """Someone else changed the section first.

    Parameters
    ----------
    diff
        Unified diffs of the other change and of the operator's, both from the edited version.
    """

    code = "accept_conflict"

    def __init__(self, message: str, diff: str) -> None:
        super().__init__(message)
        self.diff = diff


class AcceptOutcomeUnknown(PeridottrackError):
    """Neither the write nor the reads that would show its outcome got a response from the store."""

    code = "accept_unknown"


class DatagramRejected(PeridottrackError):
    """A datagram that is not authentic or cannot be decoded."""

    code = "datagram_rejected"


class FrameRejected(PeridottrackError):
    """Bytes from another node that are not a valid frame."""

    code = "frame_rejected"


class LinkLost(PeridottrackError):
    """The connection to another node ended before the outcome of a request arrived.

    Parameters
    ----------
    maybe_sent
        Whether the request may have reached the other node.
    """

    code = "link_lost"

    def __init__(self, message: str, *, maybe_sent: bool = True) -> None:
        super().__init__(message)
        self.maybe_sent = maybe_sent


class GuaranteeViolated(PeridottrackError):
    """A run of the demo found that a guarantee did not hold."""

    code = "promise_broken"
