"""Compares measured figures with their targets; a benchmark that misses one exits with 1."""

from __future__ import annotations

import sys


class Report:
    """Collects the targets that were missed."""

    def __init__(self) -> None:
        self.missed: list[str] = []

    def check(self, name: str, value: float, bound: float, at_most: bool = True) -> str:
        """Return the table mark of a figure: empty if it meets its target, ``*`` if it does not."""
        met = value <= bound if at_most else value >= bound
        if met:
            return ""
        self.missed.append(f"{name}: {value:.3f}, target {bound}")
        return "*"

    def finish(self, summary: str) -> None:
        """Print the missed targets and exit, with 1 if there are any."""
        print(f"\n{summary}")
        for line in self.missed:
            print(f"MISSED {line}")
        print("all targets kept" if not self.missed else f"{len(self.missed)} targets missed")
        sys.exit(1 if self.missed else 0)
