"""Reloading a settings file that changes while the node runs."""

from __future__ import annotations

import asyncio
import json
import signal
import sys

import aiohttp
import pytest
from mesh_world import READY, World, fresh_ip, mesh_settings

from peridottrack.controllers.reload import ReloadController
from peridottrack.resendbudget import SPENDABLE_SHARE


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "node.json"

    def write(**changes):
        settings = mesh_settings(
            "127.0.0.1", "127.0.0.1:9", store_url="http://127.0.0.1:9", **changes
        )
        path.write_text(json.dumps(settings.model_dump()))
        return settings

    write.path = path
    return write


def test_only_changeable_settings_are_applied(file):
    applied = []
    controller = ReloadController(file.path, file(), applied.append)
    controller.reload_if_changed()
    assert applied == []
    file(second_slack=7, service="other")
    controller.reload_if_changed()
    controller.reload_if_changed()
    assert [(one.second_slack, one.service) for one in applied] == [(7, "katalog")]


@pytest.mark.parametrize("text", ["", "{", "[" * 5_000, '{"second_slack": -1}', "\udcff"])
def test_invalid_file_changes_nothing(file, text):
    applied = []
    controller = ReloadController(file.path, file(), applied.append)
    file.path.write_bytes(text.encode("utf-8", "surrogateescape"))
    controller.reload_if_changed()
    file.path.unlink()
    controller.reload_if_changed()
    assert applied == []
    file(second_ratio=0.1)
    controller.reload_if_changed()
    assert [one.second_ratio for one in applied] == [0.1]


async def test_node_applies_new_limits_at_once():
    world = World()
    await world.start(1)
    node = world.hosts[0].node
    await world.call(world.hosts[0])
    budget = node.forwarder.resend_budget_of("katalog")
    while budget.take():
        pass
    node.apply_settings(node.settings.model_copy(update={"second_slack": 1_000, "shutdown_s": 9.0}))
    assert sum(budget.take() for _ in range(1_000)) > 0.9 * SPENDABLE_SHARE * 1_000 - 60
    assert node.settings.shutdown_s == 9.0
    await world.stop()


async def test_process_survives_sighup_and_shuts_down_on_sigterm(tmp_path):
    world = World()
    await world.start(0)
    path = tmp_path / "node.json"
    ip = fresh_ip()
    settings = mesh_settings(ip, "127.0.0.1:9", store_url=world.store.url)
    path.write_text(json.dumps(settings.model_dump()))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "peridottrack", "mesh", "--settings", str(path)),
        stdout=asyncio.subprocess.PIPE,
    )

    async def ready() -> int:
        try:
            async with world.session.get(f"http://{ip}:{READY}/v1/readyz") as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async with asyncio.timeout(20):
        while await ready() != 200:
            await asyncio.sleep(0.05)
        path.write_text(json.dumps({**settings.model_dump(), "second_slack": 5}))
        process.send_signal(signal.SIGHUP)
        lines = b""
        while b'"settings changed"' not in lines:
            lines += await process.stdout.readline()
        assert await ready() == 200
        process.send_signal(signal.SIGTERM)
        while await ready() == 200:
            await asyncio.sleep(0.02)
        assert await ready() == 503
        rest = await process.stdout.read()
        assert await process.wait() == 0
    assert b'"node left"' in rest
    await world.stop()
