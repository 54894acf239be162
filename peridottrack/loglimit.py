"""Limits the volume of logs and writes them without blocking, so that no request waits for them."""

from __future__ import annotations

import os
from collections import Counter, deque
from collections.abc import Callable

from peridottrack.events import EVENT_BY_NAME, LogPolicy

LIMITED_PER_S = 20.0
LIMITED_BURST = 100.0
"""Rate and burst of the lines of one limited event; the burst covers the start of an incident."""
SAMPLE_EVERY = 50
"""One in this many lines of a sampled event is written."""
REPORT_INTERVAL_S = 5.0
"""Minimum interval between reports of the number of withheld lines."""
BUFFER_BYTES = 1 << 20
"""Bytes buffered for a slow reader before lines are dropped."""


class LogLimiter:
    """Decides which lines are written, by the policy of each event.

    Parameters
    ----------
    now
        Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._tokens_by_name: dict[str, float] = {}
        self._refilled_at_by_name: dict[str, float] = {}
        self._seen_by_name: Counter[str] = Counter()
        self._withheld_by_name: Counter[str] = Counter()
        self._reported_at = now()

    def admits(self, name: str) -> bool:
        """Return whether to write this line of an event; if not, count it as withheld."""
        event = EVENT_BY_NAME.get(name)
        if event is None or event.policy is LogPolicy.ALWAYS:
            return True
        admitted = (
            self._take_sample(name) if event.policy is LogPolicy.SAMPLED else self._take_token(name)
        )
        if not admitted:
            self._withheld_by_name[name] += 1
        return admitted

    def take_withheld(self) -> dict[str, int]:
        """Return and reset the withheld lines by event, at most every `REPORT_INTERVAL_S`."""
        now = self._now()
        if not self._withheld_by_name or now - self._reported_at < REPORT_INTERVAL_S:
            return {}
        self._reported_at = now
        withheld = dict(self._withheld_by_name)
        self._withheld_by_name.clear()
        return withheld

    def _take_sample(self, name: str) -> bool:
        self._seen_by_name[name] += 1
        return self._seen_by_name[name] % SAMPLE_EVERY == 1

    def _take_token(self, name: str) -> bool:
        now = self._now()
        refill = (now - self._refilled_at_by_name.get(name, now)) * LIMITED_PER_S
        tokens = min(LIMITED_BURST, self._tokens_by_name.get(name, LIMITED_BURST) + refill)
        self._refilled_at_by_name[name] = now
        self._tokens_by_name[name] = tokens - 1.0 if tokens >= 1.0 else tokens
        return tokens >= 1.0


class NonBlockingWriter:
    """Writes lines to a file descriptor without ever blocking on its reader.

    Lines that the reader does not accept yet wait in a bounded buffer; beyond that, lines are
    dropped, and their number is reported once the reader accepts lines again. The descriptor
    becomes non-blocking, so this must be its only writer.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        if self._buffered_bytes + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> bool:
        """Write buffered lines; False if the reader accepts no more now or is closed."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the descriptor, so the loss cannot be reported to it.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return False
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return False
            self._buffer.popleft()
        return True

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
