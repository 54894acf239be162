"""Garbage collector settings and statistics of the process."""

from __future__ import annotations

import gc
import resource
import sys
from typing import Any

# Young: allocations minus deallocations; others: collections of the next younger generation.
YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 100


def tune_garbage_collector() -> None:
    """Keep garbage collection from delaying calls.

    Objects that exist after the start live as long as the process, so the collector need not scan
    them, not even once at the start. Calls create few cycles, so that rare collections cost little
    memory.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)


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
