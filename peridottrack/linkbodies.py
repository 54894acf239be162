"""Large bodies on a link: sent in parts by turns, and collected again. Performs no I/O.

The frames of other requests pass between two parts, and a sender queues a part only when the one
before has left, so that neither side holds a copy of a body.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from peridottrack.frames import BodyPart, ForwardedRequest, InstanceResponse

PART_BYTES = 16 << 10
"""Size of a part: 26 ms on the slowest links of 5 Mbit/s, which is how long a frame that is written
meanwhile has to wait."""
MIN_SPLIT_BYTES = PART_BYTES + 1
"""Size from which a body is sent in parts. A smaller one is copied to the buffer of the transport,
which grows while the peer does not read."""


class OutgoingBodies:
    """The bodies that are being sent on a connection, each a part at a time."""

    def __init__(self) -> None:
        self._rest_by_number: dict[int, memoryview] = {}
        self._on_end_by_number: dict[int, Callable[[], None]] = {}
        self._turns: deque[int] = deque()

    def add(
        self, number: int, body: bytes | bytearray, on_end: Callable[[], None] = lambda: None
    ) -> None:
        """Send a body; ``on_end`` is called once it is not held any more."""
        self._rest_by_number[number] = memoryview(body)
        self._on_end_by_number[number] = on_end
        self._turns.append(number)

    def remove(self, number: int) -> None:
        """Send no more of a body."""
        if self._rest_by_number.pop(number, None) is not None:
            self._on_end_by_number.pop(number)()

    def clear(self) -> None:
        """Send no more of any body."""
        for number in list(self._rest_by_number):
            self.remove(number)
        self._turns.clear()

    def next_part(self) -> BodyPart | None:
        """Return the next part of the body whose turn it is, None if nothing is left."""
        while self._turns:
            number = self._turns.popleft()
            rest = self._rest_by_number.get(number)
            if rest is None:
                continue
            part = BodyPart(number, bytes(rest[:PART_BYTES]))
            if len(rest) > PART_BYTES:
                self._rest_by_number[number] = rest[PART_BYTES:]
                self._turns.append(number)
            else:
                self.remove(number)
            return part
        return None


class CollectedBody:
    """The parts of a body of a known size; its buffer does not grow, which would fragment memory.

    Attributes
    ----------
    data
        The body once it is complete.
    """

    def __init__(self, size: int) -> None:
        self.data = bytearray(size)
        self._filled = 0

    def add(self, part: bytes) -> bool:
        """Add a part; return whether the body is complete."""
        end = min(len(self.data), self._filled + len(part))
        self.data[self._filled : end] = part[: end - self._filled]
        self._filled = end
        return end == len(self.data)


@dataclass(slots=True, eq=False)
class IncomingBody:
    """A request whose body has not arrived completely.

    Parameters
    ----------
    started_at
        When its frame would have arrived without a delay in transit.
    give_up
        Ends the wait for the rest.
    """

    frame: ForwardedRequest
    started_at: float
    give_up: asyncio.TimerHandle
    collected: CollectedBody


@dataclass(slots=True, eq=False)
class IncomingAnswer:
    """A response whose body has not arrived completely."""

    frame: InstanceResponse
    collected: CollectedBody
