"""Clocks: the event loop's for daemons, one set by hand for tests, and a virtual loop."""

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
    """A clock that moves only when told to."""

    def __init__(self, now_s: float = 0.0) -> None:
        self.now_s = now_s

    def now(self) -> float:
        """Return the seconds set so far."""
        return self.now_s

    def wall(self) -> float:
        """Return the same as `now`."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now_s += seconds


class _SkippingSelector(selectors.SelectSelector):
    """Never waits: the time that the loop wants to sleep is skipped."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Add ``timeout`` to the virtual time and poll."""
        if timeout is None:
            raise RuntimeError("all tasks wait for something that no timer will bring")
        self.skipped_s += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time moves only while every task sleeps."""

    def __init__(self) -> None:
        self._virtual = _SkippingSelector()
        super().__init__(self._virtual)
        self._clock_resolution = 1e-9

    def freeze(self, seconds: float) -> None:
        """Let time pass while nothing runs, as for a process that was stopped."""
        self._virtual.skipped_s += seconds

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self._virtual.skipped_s


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
