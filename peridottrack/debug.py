"""The process as a whole: its garbage collector, and facts for a dump."""

from __future__ import annotations

import gc
import resource
import sys
from typing import Any

YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 100


def tune_garbage_collector() -> None:
    """Keep the collector from pausing calls.

    What a start left behind lives as long as the process, so it need not be looked through; and
    calls leave few cycles, so that collecting seldom costs little memory.
    """
    gc.collect()
    gc.freeze()
    gc.enable()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)


def process_facts() -> dict[str, Any]:
    """Return facts of this process for a dump; memory in KiB, times in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "python": sys.version.split()[0],
        "user_s": round(usage.ru_utime, 3),
        "system_s": round(usage.ru_stime, 3),
        "peak_memory_kib": usage.ru_maxrss,
        "collections": [generation["collections"] for generation in gc.get_stats()],
    }
