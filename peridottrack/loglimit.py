"""How many log lines are written, and how, so that logging never holds requests up."""

from __future__ import annotations

import os
from collections import Counter, deque
from collections.abc import Callable

from peridottrack.events import EVENT_BY_NAME, LogPolicy

LIMITED_PER_S = 20.0
LIMITED_BURST = 100.0
"""Lines a second of one limited event, and how many may be saved up for the start of trouble."""
SAMPLE_EVERY = 50
"""One in so many lines of a sampled event is written."""
REPORT_INTERVAL_S = 5.0
"""How often the number of lines not written is told."""
BUFFER_BYTES = 1 << 20
"""Bytes that wait for a slow reader before lines are dropped."""


class LogLimiter:
    """Decides which lines are written.

    Parameters
    ----------
    now
        Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._saved_by_name: dict[str, float] = {}
        self._earned_at_by_name: dict[str, float] = {}
        self._seen_by_name: Counter[str] = Counter()
        self._withheld_by_name: Counter[str] = Counter()
        self._told_at = now()

    def admits(self, name: str) -> bool:
        """Tell whether a line of an event is written now."""
        event = EVENT_BY_NAME.get(name)
        if event is None or event.policy is LogPolicy.ALWAYS:
            return True
        admitted = self._sampled(name) if event.policy is LogPolicy.SAMPLED else self._limited(name)
        if not admitted:
            self._withheld_by_name[name] += 1
        return admitted

    def take_withheld(self) -> dict[str, int]:
        """Return the lines not written by event, at most every `REPORT_INTERVAL_S` seconds."""
        now = self._now()
        if not self._withheld_by_name or now - self._told_at < REPORT_INTERVAL_S:
            return {}
        self._told_at = now
        withheld = dict(self._withheld_by_name)
        self._withheld_by_name.clear()
        return withheld

    def _sampled(self, name: str) -> bool:
        self._seen_by_name[name] += 1
        return self._seen_by_name[name] % SAMPLE_EVERY == 1

    def _limited(self, name: str) -> bool:
        now = self._now()
        earned = (now - self._earned_at_by_name.get(name, now)) * LIMITED_PER_S
        saved = min(LIMITED_BURST, self._saved_by_name.get(name, LIMITED_BURST) + earned)
        self._earned_at_by_name[name] = now
        self._saved_by_name[name] = saved - 1.0 if saved >= 1.0 else saved
        return saved >= 1.0


class NonBlockingWriter:
    """Writes lines to a file descriptor without ever waiting for its reader.

    What the reader does not take waits in a bounded buffer; beyond that, lines are dropped and
    their number is told when the reader is back. Only the descriptor's own writer sets it to
    non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it for later, or drop it."""
        if self._waiting_bytes + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> bool:
        """Write what waits; False if the reader takes no more now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody can read any more, so nobody can be told of it either.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return False
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return False
            self._waiting.popleft()
        return True

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
