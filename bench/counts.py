"""Counts lines of code and of tests, and the share of code that holds decision logic."""

from __future__ import annotations

from pathlib import Path

DECISION_MODULES = (
    "balancer", "bucket", "claims", "ejection", "journal", "limiter", "membership", "poison",
    "retry", "revisions", "memberlist", "shards", "instanceview", "slowness", "store", "subset",
    "controllers/claims", "controllers/document", "controllers/drain", "controllers/load",
    "controllers/loadreports", "controllers/members", "filters/admission", "filters/choice",
    "filters/claim", "filters/quarantine", "filters/retry",
)  # fmt: skip


def count_lines(paths: list[Path]) -> int:
    """Return the number of lines that are not blank."""
    return sum(bool(line.strip()) for path in paths for line in path.read_text().splitlines())


def main() -> None:
    """Print the counts."""
    package_lines = count_lines(sorted(Path("peridottrack").rglob("*.py")))
    decision_lines = count_lines([Path("peridottrack") / f"{name}.py" for name in DECISION_MODULES])
    bench_lines = count_lines(sorted(Path("bench").glob("*.py")))
    test_lines = count_lines([*Path("tests").glob("*.py"), *Path("tests/scenarios").glob("*")])
    code_lines = package_lines + bench_lines
    print(
        f"package {package_lines}, bench {bench_lines}, tests {test_lines} lines that are not blank"
    )
    print(f"tests are {test_lines / code_lines:.0%} of package and bench")
    print(
        f"decision logic, state and recovery: {decision_lines},"
        f" {decision_lines / code_lines:.0%} of both"
    )


if __name__ == "__main__":
    main()
