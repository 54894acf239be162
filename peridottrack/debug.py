"""Settings of the garbage collector and the allocator, and statistics of the process."""

from __future__ import annotations

import ctypes
import gc
import resource
import sys
from typing import Any

# Young: allocations minus deallocations; others: collections of the next younger generation.
YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 100
M_MMAP_THRESHOLD = -3
"""Parameter of `mallopt` (malloc.h): the size from which a block gets a mapping of its own."""
MAPPED_BYTES = 128 << 10
"""That size, which is the one that the C library starts with."""


def tune_garbage_collector() -> None:
    """Keep garbage collection from delaying calls.

    Objects that exist after the start live as long as the process, so the collector need not scan
    them, not even once at the start. Calls create few cycles, so that rare collections cost little
    memory.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)


def tune_allocator() -> None:
    """Keep large buffers out of the heap.

    By default the C library raises the size from which they are mapped with each one that is freed.
    Bodies that grow side by side would then be copied within the heap, and the gaps that they leave
    take as much memory again. Other C libraries have no such parameter.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)


def process_facts() -> dict[str, Any]:
    """Return statistics of this process for a dump; memory in KiB, times in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "python": sys.version.split()[0],
        "user_s": round(usage.ru_utime, 3),
        "system_s": round(usage.ru_stime, 3),
        "peak_memory_kib": usage.ru_maxrss,
        "collections": [generation["collections"] for generation in gc.get_stats()],
    }
