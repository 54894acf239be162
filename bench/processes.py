"""Starts peridottrack and other processes for a benchmark and ends only those."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp
import psutil

from peridottrack.config import Settings
from peridottrack.httpstores import DynamoDbTable
from peridottrack.revisions import SectionEdit, accept
from peridottrack.standin.deployments import Deployment
from peridottrack.types import SectionName

STOP_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 15.0
MIB = 1 << 20


@contextmanager
def peridottrack_process(*arguments: str) -> Iterator[psutil.Process]:
    """Run the ``peridottrack`` command line in a process until the block ends."""
    with module_process("peridottrack", *arguments) as process:
        yield process


@contextmanager
def module_process(name: str, *arguments: str) -> Iterator[psutil.Process]:
    """Run ``python -m name`` in a process until the block ends."""
    process = subprocess.Popen(
        [sys.executable, "-m", name, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield psutil.Process(process.pid)
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@contextmanager
def node_process(settings: Settings) -> Iterator[psutil.Process]:
    """Run a node in a process, with the given settings, until the block ends."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_text(json.dumps(settings.model_dump()))
        with peridottrack_process("node", "--settings", str(path)) as process:
            yield process


async def accept_document(platform_url: str, deployment: Deployment) -> None:
    """Accept all sections of a deployment's document once the platform responds."""
    async with aiohttp.ClientSession() as session:
        table = DynamoDbTable(session, platform_url, "peridottrack", 5.0)
        await wait_for_status(session, platform_url + "/peridottrack")
        for name, text in deployment.section_text_by_name.items():
            owner = json.loads(text)["owners"][0]
            await accept(table, SectionEdit(SectionName(name), 0, text, owner, 0.0))


async def wait_for_status(session: aiohttp.ClientSession, url: str, status: int = 200) -> None:
    """Poll a URL until it responds with a status."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                async with session.get(url) as response:
                    if response.status == status:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


def resident_mib(process: psutil.Process) -> float:
    """Return a process's resident memory in MiB."""
    return process.memory_info().rss / MIB


def cpu_s(process: psutil.Process) -> float:
    """Return the CPU time that a process has used, user and system."""
    times = process.cpu_times()
    return times.user + times.system
