"""Figures beside their targets; a benchmark ends non-zero when one is missed."""

from __future__ import annotations

import sys


class Report:
    """Remembers which targets were missed."""

    def __init__(self) -> None:
        self.missed: list[str] = []

    def check(self, name: str, value: float, bound: float, at_most: bool = True) -> str:
        """Return a mark for a figure, empty if its target was kept."""
        kept = value <= bound if at_most else value >= bound
        if kept:
            return ""
        self.missed.append(f"{name}: {value:.3f}, target {bound}")
        return "*"

    def finish(self, note: str) -> None:
        """Print what was missed and end the program."""
        print(f"\n{note}")
        for line in self.missed:
            print(f"MISSED {line}")
        print("all targets kept" if not self.missed else f"{len(self.missed)} targets missed")
        sys.exit(1 if self.missed else 0)
