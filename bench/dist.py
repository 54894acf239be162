"""Builds the program as one file and tries it: start-up, memory, number of processes."""

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

TARGET = Path("dist/peridottrack")
RUN_S = 4.0


def build() -> None:
    """Build the file with shiv: a zip archive that Python runs in its own process."""
    TARGET.parent.mkdir(exist_ok=True)
    shiv = Path(sys.executable).parent / "shiv"
    subprocess.run(
        [
            str(shiv), "--console-script", "peridottrack", "--output-file", str(TARGET),
            "--python", "/usr/bin/env python3", "--compressed", "--reproducible",
            "--quiet", "--requirement", "requirements/run.txt", ".",
        ],
        check=True,
    )  # fmt: skip


def timed(arguments: list[str], environment: dict[str, str]) -> float:
    """Run the file once and return its seconds."""
    began = time.perf_counter()
    subprocess.run([str(TARGET), *arguments], env=environment, check=True, capture_output=True)
    return time.perf_counter() - began


def run_node(environment: dict[str, str]) -> tuple[float, int, int]:
    """Run a node from the file; return its memory in MiB, its children, its exit code."""
    ports = free_ports(5)
    settings = node_settings(
        BUZULIP, BUZULIP.domains[0], f"http://{LOOPBACK_IP}:{ports[4]}", ports[:4], drain_s=5.0
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_text(json.dumps(settings.model_dump()))
        with peridottrack_process("standin", "platform", "--listen", f"{LOOPBACK_IP}:{ports[4]}"):
            node = subprocess.Popen(
                [str(TARGET), "node", "--settings", str(path)],
                env=environment,
                stderr=subprocess.DEVNULL,
            )
            time.sleep(RUN_S)
            process = psutil.Process(node.pid)
            memory = process.memory_info().rss / MIB
            children = len(process.children(recursive=True))
            node.send_signal(signal.SIGTERM)
            return memory, children, node.wait(30)


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-build", action="store_true", help="try the file that is there")
    if not parser.parse_args().no_build:
        build()
    with tempfile.TemporaryDirectory() as root:
        environment = {**os.environ, "SHIV_ROOT": root}
        first_s = timed(["--version"], environment)
        again_s = timed(["--version"], environment)
        timed(["check", "examples/buzulip-node.json"], environment)
        memory, children, code = run_node(environment)
        unpacked = sum(path.stat().st_size for path in Path(root).rglob("*") if path.is_file())
    print(f"{TARGET}: {TARGET.stat().st_size / MIB:.1f} MiB, {unpacked / MIB:.0f} MiB unpacked")
    print(f"--version: {first_s:.2f} s the first time, {again_s:.2f} s after that")
    print(f"node: {memory:.0f} MiB resident, {children} child processes, exit code {code}")
    sys.exit(0 if children == 0 and code == 0 else 1)


if __name__ == "__main__":
    main()
