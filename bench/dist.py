"""Builds peridottrack as a one-file archive; measures its start-up time, memory and processes."""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from bench.processes import MIB, peridottrack_process
from peridottrack.standin.deployments import BUZULIP, LOOPBACK_IP, free_ports, node_settings

ARCHIVE = Path("dist/peridottrack")
NODE_RUN_S = 4.0


def build() -> None:
    """Build the archive with shiv: a zip file that Python runs without a child process."""
    ARCHIVE.parent.mkdir(exist_ok=True)
    shiv = Path(sys.executable).parent / "shiv"
    subprocess.run(
        [
            str(shiv), "--console-script", "peridottrack", "--output-file", str(ARCHIVE),
            "--python", "/usr/bin/env python3", "--compressed", "--reproducible",
            "--quiet", "--requirement", "requirements/run.txt", ".",
        ],
        check=True,
    )  # fmt: skip


def run_timed(arguments: list[str], environment: dict[str, str]) -> float:
    """Run the archive once and return its wall time in seconds."""
    started_at = time.perf_counter()
    subprocess.run([str(ARCHIVE), *arguments], env=environment, check=True, capture_output=True)
    return time.perf_counter() - started_at


def run_node(environment: dict[str, str]) -> tuple[float, int, int]:
    """Run a node from the archive; return its memory in MiB, child processes and exit code."""
    ports = free_ports(5)
    settings = node_settings(
        BUZULIP, BUZULIP.domains[0], f"http://{LOOPBACK_IP}:{ports[4]}", ports[:4], drain_s=5.0
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_text(json.dumps(settings.model_dump()))
        with peridottrack_process("standin", "platform", "--listen", f"{LOOPBACK_IP}:{ports[4]}"):
            node = subprocess.Popen(
                [str(ARCHIVE), "node", "--settings", str(path)],
                env=environment,
                stderr=subprocess.DEVNULL,
            )
            time.sleep(NODE_RUN_S)
            process = psutil.Process(node.pid)
            memory = process.memory_info().rss / MIB
            children = len(process.children(recursive=True))
            node.send_signal(signal.SIGTERM)
            return memory, children, node.wait(30)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-build", action="store_true", help="measure the existing archive")
    if not parser.parse_args().no_build:
        build()
    with tempfile.TemporaryDirectory() as root:
        environment = {**os.environ, "SHIV_ROOT": root}
        cold_s = run_timed(["--version"], environment)
        warm_s = run_timed(["--version"], environment)
        run_timed(["check", "examples/buzulip-node.json"], environment)
        memory, children, code = run_node(environment)
        unpacked = sum(path.stat().st_size for path in Path(root).rglob("*") if path.is_file())
    print(f"{ARCHIVE}: {ARCHIVE.stat().st_size / MIB:.1f} MiB, {unpacked / MIB:.0f} MiB unpacked")
    print(f"--version: {cold_s:.2f} s the first time, {warm_s:.2f} s after that")
    print(f"node: {memory:.0f} MiB resident, {children} child processes, exit code {code}")
    sys.exit(0 if children == 0 and code == 0 else 1)


if __name__ == "__main__":
    main()
