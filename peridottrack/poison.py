"""Detection of requests that crash every upstream that runs them (poison requests)."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from peridottrack.types import Clock, Incarnation, InstanceId

CRASHES_TO_QUARANTINE = 2
"""Default number of crashed incarnations from which a request is quarantined."""
QUARANTINE_S = 60.0
"""Time for which a quarantined request is rejected."""
CRASH_MEMORY_S = 120.0
"""Time since the last crash after which the earlier crashes of a request no longer count."""
MAX_FINGERPRINTS = 4_096
"""Maximum number of fingerprints stored; beyond it, the one with the oldest crash is dropped."""


def fingerprint(method: str, path: str, body: bytes | bytearray | None) -> str:
    """Return a short digest of a request; a caller's retries of it have the same one."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(f"{method} {path}\n".encode())
    digest.update(body or b"")
    return digest.hexdigest()


def incarnation(instance: InstanceId, start_time: int = 0) -> Incarnation:
    """Name one start of an instance; a start time of 0 is unknown."""
    return Incarnation(f"{instance}@{start_time}" if start_time else instance)


@dataclass(slots=True)
class _Suspect:
    crashed: set[Incarnation] = field(default_factory=set)
    last_crash_at: float = 0.0
    quarantined_until: float = 0.0


class PoisonList:
    """Counts per fingerprint the incarnations that crashed while they ran the request.

    Only a connection that the instance dropped while the request ran counts, once a start of it;
    a slow response or an error response does not.

    Parameters
    ----------
    crashes_to_quarantine
        Number of incarnations that must have crashed before a request is rejected.

    Attributes
    ----------
    on_crash
        Called with each crash that this node observed itself.
    """

    def __init__(self, clock: Clock, crashes_to_quarantine: int = CRASHES_TO_QUARANTINE) -> None:
        self._clock = clock
        self._crashes_to_quarantine = crashes_to_quarantine
        self.on_crash: Callable[[str, Incarnation], None] = lambda fingerprint, crashed: None
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()

    def record_local_crash(self, fingerprint: str, crashed: Incarnation) -> bool:
        """Record a crash that this node observed and pass it to `on_crash`.

        Returns
        -------
        bool
            True when the request becomes quarantined.
        """
        self.on_crash(fingerprint, crashed)
        return self.record_crash(fingerprint, crashed)

    def record_crash(self, fingerprint: str, crashed: Incarnation) -> bool:
        """Record a crash observed by this node or another; return whether quarantine starts."""
        now = self._clock.now()
        suspect = self._suspect_by_fingerprint.setdefault(fingerprint, _Suspect())
        if now - suspect.last_crash_at > CRASH_MEMORY_S:
            suspect.crashed.clear()
        suspect.last_crash_at = now
        suspect.crashed.add(crashed)
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        if len(self._suspect_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspect_by_fingerprint.popitem(last=False)
        if len(suspect.crashed) < self._crashes_to_quarantine or now < suspect.quarantined_until:
            return False
        suspect.quarantined_until = now + QUARANTINE_S
        return True

    @property
    def empty(self) -> bool:
        """Whether no crash is remembered, so that callers need not compute fingerprints."""
        return not self._suspect_by_fingerprint

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request, since an instance answered it."""
        if self._suspect_by_fingerprint:
            self._suspect_by_fingerprint.pop(fingerprint, None)

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of incarnations that recently crashed while running the request."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or self._clock.now() - suspect.last_crash_at > CRASH_MEMORY_S:
            return 0
        return len(suspect.crashed)

    def quarantine_left_s(self, fingerprint: str) -> float:
        """Return the seconds for which the request stays quarantined, 0 if it is not."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.quarantined_until - self._clock.now())

    def quarantined(self) -> list[str]:
        """Return the fingerprints that are quarantined now."""
        now = self._clock.now()
        return [
            fingerprint
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if suspect.quarantined_until > now
        ]
