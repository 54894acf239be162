"""Bounds the bytes that a process holds for requests and their answers. Performs no I/O.

The bytes of requests in work are reserved and stay until they are released. What a connection has
read of a request that is not complete, and answers that its caller does not read, can be given up:
if all together exceed the limit, one connection after the other is told to drop what it holds. Of
large holdings the one that made no progress for longest goes first; if all make progress, the
newest request, so that the others can be completed, and then answers. Small holdings go last, and a
part of the limit is for small requests alone: they are dropped only if they exceed it together.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from peridottrack.types import Clock

LARGE_BYTES = 64 << 10
"""Size above which a holding is dropped before smaller ones."""
LARGE_SHARE = 0.9
"""Share of the limit up to which there is room for large ones; the rest is for small requests."""
RUN_SHARE = 0.8
"""Share of the limit up to which requests start to run; the rest is for answers of those that do.
A request of the largest body is below it on the smallest host."""
STALL_S = 0.5
"""Time without progress from which a holding is taken to be stalled: many times the pause between
two segments of a caller that sends or reads as fast as its connection takes them."""
PROCESS_BYTES = 86 * 10**6
"""Memory that a process needs beside requests."""
USABLE_SHARE = 0.9
"""Share of a host's memory that is planned for; the rest is for copies that exist for moments."""
MIN_LIMIT_BYTES = 16 * 10**6
"""Smallest limit, for hosts with hardly more memory than a process needs."""


def limit_bytes(memory_bytes: int) -> float:
    """Return the limit for a host with this much memory."""
    return max(MIN_LIMIT_BYTES, memory_bytes * USABLE_SHARE - PROCESS_BYTES)


_Kind = tuple[bool, bool]
"""Whether holdings are answers, and whether they are large."""
_SMALL_INPUT: _Kind = (False, False)
_LARGE_INPUT: _Kind = (False, True)
_SMALL_ANSWER: _Kind = (True, False)
_LARGE_ANSWER: _Kind = (True, True)
_KINDS = (_SMALL_INPUT, _LARGE_INPUT, _SMALL_ANSWER, _LARGE_ANSWER)


@dataclass(slots=True, eq=False)
class Holding:
    """Bytes that can be given up.

    Parameters
    ----------
    drop
        Called once to give them up, when they do not count any more.
    number
        Orders the holdings by when they were opened.
    started_at, progressed_at
        When the holding became what it is, and when it last grew or shrank by transfer.
    is_answer
        Whether they are answers: requests that make progress are given up before answers that do.
    droppable
        Whether they can be given up now; a change takes effect with the next update.
    small_bytes
        Its part of the sum of small holdings.
    """

    drop: Callable[[], None]
    number: int
    started_at: float
    progressed_at: float
    is_answer: bool = False
    droppable: bool = True
    size: int = 0
    is_open: bool = True
    small_bytes: int = 0

    @property
    def kind(self) -> _Kind | None:
        """Which holdings it competes with when some must be dropped, None if it can not be."""
        if not self.is_open or not self.droppable or not self.size:
            return None
        return self.is_answer, self.size > LARGE_BYTES


class _ByProgress:
    """The holdings of one kind, that without progress for longest first.

    A holding keeps the place of the time at which it was added. Only when it comes first is it put
    where it belongs by now, so that progress itself costs nothing here.
    """

    def __init__(self, kind: _Kind) -> None:
        self._kind = kind
        self._heap: list[tuple[float, int, Holding]] = []
        self._added: set[Holding] = set()

    def add(self, holding: Holding, open_holdings: int) -> None:
        """Add a holding of this kind unless it is here already."""
        if holding in self._added:
            return
        if len(self._heap) > 2 * open_holdings:
            self._remove_others()
        self._added.add(holding)
        heapq.heappush(self._heap, (holding.progressed_at, holding.number, holding))

    def _remove_others(self) -> None:
        """Remove holdings that are closed or of another kind by now."""
        self._heap = [entry for entry in self._heap if entry[2].kind == self._kind]
        self._added = {holding for _, _, holding in self._heap}
        heapq.heapify(self._heap)

    def longest_stalled(self) -> Holding | None:
        """Return the holding that made no progress for longest, None if there is none."""
        while self._heap:
            placed_at, number, holding = self._heap[0]
            if holding.kind != self._kind:
                heapq.heappop(self._heap)
                self._added.discard(holding)
            elif holding.progressed_at > placed_at:
                heapq.heapreplace(self._heap, (holding.progressed_at, number, holding))
            else:
                return holding
        return None

    def newest(self) -> Holding | None:
        """Return the holding that started last, None if there is none; looks at all of them."""
        holdings = (entry[2] for entry in self._heap if entry[2].kind == self._kind)
        return max(holdings, key=lambda holding: (holding.started_at, holding.number), default=None)


class ByteBudget:
    """Counts the bytes of all requests of a process against one limit.

    Attributes
    ----------
    used
        Bytes reserved and held.
    drops
        Number of holdings that were given up.
    """

    def __init__(self, limit: float, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._numbers = itertools.count()
        self._open_holdings = 0
        self._by_progress = {kind: _ByProgress(kind) for kind in _KINDS}
        self._small_bytes = 0
        self._makes_room = False
        self.used = 0
        self.drops = 0

    @property
    def has_room_for_answers(self) -> bool:
        """Whether more requests may start to run."""
        return self.used <= self._limit * RUN_SHARE

    # -- bytes that stay ---------------------------------------------------------------

    def reserve(self, size: int) -> bool:
        """Reserve bytes if there is room, or room can be made by dropping stalled holdings."""
        if not self._make_room(size, size > LARGE_BYTES, only_stalled=True):
            return False
        self.used += size
        return True

    def add(self, size: int) -> None:
        """Reserve bytes that cannot be refused any more; this may drop holdings."""
        self.used += size
        self._make_room(0, size > LARGE_BYTES, only_stalled=False)

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used -= size

    # -- bytes that can be given up ----------------------------------------------------

    def open(self, drop: Callable[[], None], is_answer: bool = False) -> Holding:
        """Return a new, empty holding; once it is closed or dropped, it counts no more."""
        now = self._clock.now()
        self._open_holdings += 1
        return Holding(drop, next(self._numbers), now, now, is_answer)

    def close(self, holding: Holding) -> None:
        """Remove a holding and its bytes."""
        if holding.is_open:
            self._set_size(holding, 0)
            holding.is_open = False
            self._open_holdings -= 1
            # It refers back to the owner, whose memory is to be freed at once.
            holding.drop = _ignore

    def update(self, holding: Holding, size: int, progressed: bool = True) -> None:
        """Set the size of a holding; this may drop it or others.

        Parameters
        ----------
        progressed
            Whether bytes were transferred; the first bytes of an empty holding always count so.
        """
        if not holding.is_open:
            return
        if progressed or not holding.size:
            holding.progressed_at = self._clock.now()
        self._set_size(holding, size)
        self._make_room(0, size > LARGE_BYTES, only_stalled=False)

    def keep(self, holding: Holding, reserved: int, rest: int) -> bool:
        """Reserve bytes of a holding, such as a request that is complete, and leave the rest.

        Others that make progress are dropped rather than these bytes, which were admitted before.
        """
        if not holding.is_open:
            return False
        holding.started_at = holding.progressed_at = self._clock.now()
        self._set_size(holding, rest)
        if not self._make_room(reserved, reserved > LARGE_BYTES, only_stalled=False):
            return False
        self.used += reserved
        return True

    def drop_longest_stalled(self) -> bool:
        """Drop the holding that made no progress for longest; return False if there is none."""
        victim = self._longest_stalled((_LARGE_INPUT, _SMALL_INPUT))
        if victim is None:
            return False
        self._drop(victim)
        return True

    def _set_size(self, holding: Holding, size: int) -> None:
        self.used += size - holding.size
        holding.size = size
        small_bytes = size if holding.droppable and size <= LARGE_BYTES else 0
        self._small_bytes += small_bytes - holding.small_bytes
        holding.small_bytes = small_bytes
        kind = holding.kind
        if kind is not None:
            self._by_progress[kind].add(holding, self._open_holdings)

    def _make_room(self, size: int, large: bool, only_stalled: bool) -> bool:
        limit = self._limit * LARGE_SHARE if large else self._limit
        if self._makes_room:
            # Dropping a holding updates others of its owner. The call that drops it goes on.
            return self.used + size <= limit
        self._makes_room = True
        try:
            while self.used + size > limit:
                victim = self._victim(only_stalled)
                if victim is None:
                    return False
                self._drop(victim)
            return True
        finally:
            self._makes_room = False

    def _victim(self, only_stalled: bool) -> Holding | None:
        large = self._longest_stalled((_LARGE_INPUT, _LARGE_ANSWER))
        if large is not None and large.progressed_at < self._clock.now() - STALL_S:
            return large
        if only_stalled:
            return None
        if large is not None:
            # All make progress; the newest request goes, and answers only if there is none.
            return self._by_progress[_LARGE_INPUT].newest() or large
        # Otherwise others hold too much, which small ones could not make up for.
        if self._small_bytes > self._limit * (1 - LARGE_SHARE):
            return self._longest_stalled((_SMALL_INPUT, _SMALL_ANSWER))
        return None

    def _longest_stalled(self, kinds: tuple[_Kind, ...]) -> Holding | None:
        firsts = (self._by_progress[kind].longest_stalled() for kind in kinds)
        holdings = (holding for holding in firsts if holding is not None)
        return min(holdings, key=lambda holding: holding.progressed_at, default=None)

    def _drop(self, holding: Holding) -> None:
        self.drops += 1
        drop = holding.drop
        self.close(holding)
        drop()


def _ignore() -> None:
    """Stand in for the owner of a closed holding."""
