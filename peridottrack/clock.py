"""Clocks: the event loop's for daemons, a manual one for tests, and a loop in virtual time."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class LoopClock:
    """The running event loop's clock, which a `VirtualLoop` can replace."""

    def now(self) -> float:
        """Return monotonic seconds of the running loop."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that moves only by `advance`."""

    def __init__(self, now_s: float = 0.0) -> None:
        self.now_s = now_s

    def now(self) -> float:
        """Return the time set so far, in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Return the same as `now`."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now_s += seconds


class _VirtualTimeSelector(selectors.SelectSelector):
    """Polls without waiting and adds the timeout to the virtual time instead."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Add ``timeout`` to the virtual time and poll."""
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.elapsed_s += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while all tasks wait, and without a real wait."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-9

    def freeze(self, seconds: float) -> None:
        """Advance the time while nothing runs, as for a process that is suspended."""
        self._virtual_selector.elapsed_s += seconds

    def time(self) -> float:
        """Return virtual seconds since the loop was created."""
        return self._virtual_selector.elapsed_s


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
