"""Counts code and tests, and the share of the decision logic."""

from __future__ import annotations

from pathlib import Path

DECISIONS = (
    "balancer", "bucket", "claims", "ejection", "journal", "limiter", "membership", "poison",
    "retry", "revisions", "memberlist", "shards", "instanceview", "slowness", "store", "subset",
    "controllers/claims", "controllers/document", "controllers/drain", "controllers/load",
    "controllers/loadreports", "controllers/members", "filters/admission", "filters/choice",
    "filters/claim", "filters/quarantine", "filters/retry",
)  # fmt: skip


def lines_of(paths: list[Path]) -> int:
    """Return the lines that are not blank."""
    return sum(bool(line.strip()) for path in paths for line in path.read_text().splitlines())


def main() -> None:
    """Print the counts."""
    package = lines_of(sorted(Path("peridottrack").rglob("*.py")))
    decisions = lines_of([Path("peridottrack") / f"{name}.py" for name in DECISIONS])
    bench = lines_of(sorted(Path("bench").glob("*.py")))
    tests = lines_of([*Path("tests").glob("*.py"), *Path("tests/scenarios").glob("*")])
    code = package + bench
    print(f"package {package}, bench {bench}, tests {tests} lines that are not blank")
    print(f"tests are {tests / code:.0%} of package and bench")
    print(f"decision logic, state and recovery: {decisions}, {decisions / code:.0%} of both")


if __name__ == "__main__":
    main()
