"""Recognising a request that crashes each upstream that runs it (a poison request)."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from peridottrack.types import Clock, InstanceId

CRASHES_TO_QUARANTINE = 2
HOLD_S = 60.0
MEMORY_S = 120.0
MAX_FINGERPRINTS = 4_096


def fingerprint(method: str, path: str, body: bytes | None) -> str:
    """Return a short digest of what a request asks for; callers' resends share it."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(f"{method} {path}\n".encode())
    digest.update(body or b"")
    return digest.hexdigest()


@dataclass(slots=True)
class _Suspect:
    instances: set[InstanceId] = field(default_factory=set)
    seen_at: float = 0.0
    held_until: float = 0.0


class PoisonList:
    """Counts the instances that broke off under each fingerprint.

    Only a connection that broke while the request ran counts, on different instances; a slow
    answer or an error answer does not.

    Parameters
    ----------
    crashes_to_hold
        Instances that must have broken off.

    Attributes
    ----------
    on_crash
        Called with each crash seen by this node.
    """

    def __init__(self, clock: Clock, crashes_to_hold: int = CRASHES_TO_QUARANTINE) -> None:
        self._clock = clock
        self._crashes_to_hold = crashes_to_hold
        self.on_crash: Callable[[str, InstanceId], None] = lambda mark, instance: None
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()

    def record_local_crash(self, mark: str, instance: InstanceId) -> bool:
        """Note that an instance broke off here, and tell others.

        Returns
        -------
        bool
            True when the request is newly held off.
        """
        self.on_crash(mark, instance)
        return self.record_crash(mark, instance)

    def record_crash(self, mark: str, instance: InstanceId) -> bool:
        """Note that an instance broke off, here or for another node."""
        now = self._clock.now()
        suspect = self._suspect_by_fingerprint.setdefault(mark, _Suspect())
        if now - suspect.seen_at > MEMORY_S:
            suspect.instances.clear()
        suspect.seen_at = now
        suspect.instances.add(instance)
        self._suspect_by_fingerprint.move_to_end(mark)
        if len(self._suspect_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspect_by_fingerprint.popitem(last=False)
        if len(suspect.instances) < self._crashes_to_hold or now < suspect.held_until:
            return False
        suspect.held_until = now + HOLD_S
        return True

    @property
    def empty(self) -> bool:
        """Whether no request is suspected, so that no fingerprint need be made."""
        return not self._suspect_by_fingerprint

    def clear(self, mark: str) -> None:
        """Note that the request was answered, which clears it."""
        if self._suspect_by_fingerprint:
            self._suspect_by_fingerprint.pop(mark, None)

    def crash_count(self, mark: str) -> int:
        """Return on how many instances the request broke off lately."""
        suspect = self._suspect_by_fingerprint.get(mark)
        if suspect is None or self._clock.now() - suspect.seen_at > MEMORY_S:
            return 0
        return len(suspect.instances)

    def quarantine_left_s(self, mark: str) -> float:
        """Return the seconds that the request is still held off, 0 if it is not."""
        suspect = self._suspect_by_fingerprint.get(mark)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.held_until - self._clock.now())

    def quarantined(self) -> list[str]:
        """Return the fingerprints held off now."""
        now = self._clock.now()
        return [
            mark
            for mark, suspect in self._suspect_by_fingerprint.items()
            if suspect.held_until > now
        ]
