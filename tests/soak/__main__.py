"""`make soak`: plays seeds and prints what came of each."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import click

from soak.broken import GUARANTEES_BY_SWITCH, SWITCHES
from soak.run import Outcome, soak


@click.command()
@click.option("--seed", type=int, help="First seed; drawn anew if not given.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds in a row.")
@click.option("--hosts", default=5, show_default=True, help="Nodes and instances.")
@click.option("--seconds", default=20.0, show_default=True, help="Time with faults, each seed.")
@click.option("--broken", type=click.Choice(sorted(SWITCHES)), help="Run a broken node instead.")
@click.option("--logs", type=click.Path(path_type=Path), help="Folder for logs; kept if broken.")
@click.option("--listed", is_flag=True, help="Play the seeds of seeds.txt again.")
@click.option("--quiet", is_flag=True, help="Print outcomes only.")
def main(
    seed: int | None,
    seeds: int,
    hosts: int,
    seconds: float,
    broken: str | None,
    logs: Path | None,
    listed: bool,
    quiet: bool,
) -> None:
    """Play seeds; the exit code is 1 if a promise was broken, 2 if a broken node went unseen."""
    first = random.SystemRandom().randrange(1 << 30) if seed is None else seed
    say = (lambda line: None) if quiet else click.echo
    outcomes = []
    for number in _listed() if listed else range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(dir=logs, prefix=f"soak-{number}-"))
        outcome = asyncio.run(soak(number, hosts, seconds, folder, say, broken or ""))
        outcomes.append(outcome)
        click.echo(outcome.text())
        if outcome.violations:
            click.echo(
                f"  logs: {folder}; read with: peridottrack explain REQUEST {folder}/*/log-*"
            )
        if broken is not None and _exit_code(outcomes, broken) == 0:
            break
    sys.exit(_exit_code(outcomes, broken))


def _listed() -> list[int]:
    """Return the seeds that ever failed."""
    lines = Path(__file__).with_name("seeds.txt").read_text().splitlines()
    return [int(line.partition(":")[0]) for line in lines]


def _exit_code(outcomes: list[Outcome], broken: str | None) -> int:
    found = {one.guarantee for outcome in outcomes for one in outcome.violations}
    if broken is None:
        return 1 if found else 0
    return 0 if GUARANTEES_BY_SWITCH[broken] & found else 2


if __name__ == "__main__":
    main()
