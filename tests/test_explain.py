"""Finding the cause of a failed request from the logs alone; logging that never blocks."""

from __future__ import annotations

import ast
import asyncio
import io
import json
import os
from pathlib import Path

import aiohttp
import logbook
import pytest
from click.testing import CliRunner
from mesh_world import World
from users_platform import document_bytes

from peridottrack import log
from peridottrack.clock import ManualClock
from peridottrack.cmdline import cli
from peridottrack.events import EVENT_BY_NAME, LogPolicy, reference
from peridottrack.explain import read_timeline, timeline_json, timeline_text
from peridottrack.headernames import LoadFigures
from peridottrack.loglimit import (
    BUFFER_BYTES,
    LIMITED_BURST,
    LIMITED_PER_S,
    REPORT_INTERVAL_S,
    SAMPLE_EVERY,
    LogLimiter,
    NonBlockingWriter,
)

PACKAGE = Path(log.__file__).parent
# Modules of the node without a gate, whose events are listed on the operators' page.
MODULES_WITHOUT_GATE = {
    "node.py",
    "balancer.py",
    "callerserver.py",
    "demo.py",
    "log.py",
    "journal.py",
    "claims.py",
    "controllers/claims.py",
    "controllers/document.py",
    "controllers/drain.py",
    "controllers/loadreports.py",
    "controllers/announce.py",
    "filters/retry.py",
    "filters/dispatch.py",
    "filters/claim.py",
    "filters/quarantine.py",
}
# Events of shared modules that only the node without a gate can log.
EVENTS_WITHOUT_GATE = {"joined through seeds, the table is not available"}


class LineCollector(logbook.Handler):
    """Collects the log lines."""

    def __init__(self):
        super().__init__(level="INFO", bubble=False)
        self.lines = []

    def emit(self, record):
        line = {"time": record.time.isoformat(), "event": record.message, **record.kwargs}
        self.lines.append(json.dumps(line, default=str).encode() + b"\n")

    def file(self):
        file = io.BytesIO(b"".join(self.lines))
        file.name = "node.log"
        return file


@pytest.fixture
async def world():
    world = World()
    await world.start(2)
    yield world
    await world.stop()


@pytest.fixture
def lines():
    handler = LineCollector()
    with handler.applicationbound():
        yield handler


def logged_calls():
    """Yield the module and the call of every log statement."""
    for path in sorted(PACKAGE.rglob("*.py")):
        module = path.relative_to(PACKAGE).as_posix()
        if "standin" in path.parts or module in MODULES_WITHOUT_GATE:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            owner = ast.unparse(node.func)
            if owner in ("log.event", "log.warning", "log.logger.info", "logger.warning"):
                yield module, node


def constants_in(argument):
    return [each.value for each in ast.walk(argument) if isinstance(each, ast.Constant)]


def test_every_line_is_declared_with_its_fields():
    found = set()
    for module, call in logged_calls():
        if isinstance(call.args[0], ast.Name):
            names = ["request answered", "request late"]
        else:
            names = [name for name in constants_in(call.args[0]) if isinstance(name, str)]
        fields = {keyword.arg for keyword in call.keywords}
        for name in set(names) - EVENTS_WITHOUT_GATE:
            assert fields == set(EVENT_BY_NAME[name].fields), (module, name)
            found.add(name)
    # The last two are logged with a traceback.
    logged_elsewhere = {
        "lines withheld",
        "lines dropped",
        "request failed",
        "background work failed",
    }
    assert set(EVENT_BY_NAME) - found - logged_elsewhere == set()


def test_reference_page_is_up_to_date():
    page = Path(__file__).parent.parent / "docs" / "EVENTS.md"
    assert page.read_text() == reference()


async def test_refused_while_instances_seemed_free(world, lines):
    """The logs show the cause: the only open gate was full; the other instance had left."""
    first, second = world.hosts
    await second.announce(world.session, "draining")
    first.node.gate_controller.gate.local_instance.slots = 1
    first.instance.script.load = ""
    first.instance.script.work_s = 0.4
    for _ in range(3):
        await world.call(first)
    calls = [asyncio.create_task(world.call(first)) for _ in range(8)]
    responses = [await each for each in calls]
    refused = next(headers["Request-Id"] for status, _, headers in responses if status == 503)
    timeline = read_timeline(refused, [lines.file()])
    sent = next(entry for entry in timeline if entry.event == "send refused")
    assert sent.fields["kind"] in ("too_late", "overloaded")
    assert sent.fields["running"] >= sent.fields["limit"] == 1
    assert (
        next(entry for entry in timeline if entry.event == "request given up").fields["sent_to"]
        == []
    )
    assert "requests that may run" in timeline_text(refused, timeline)
    assert any("instance leaves" in line.decode() for line in lines.lines)


async def test_run_by_the_service_of_an_older_document(world, lines):
    """The logs show by which document a request was routed, and where that came from."""
    first, second = world.hosts
    for host in world.hosts:
        host.instance.script.work_s = 0.5  # later than the target, so that the line is written
    _, _, headers = await world.call(first)
    routed = read_timeline(headers["Request-Id"], [lines.file()])[-1].fields
    assert routed["version"] == 7
    world.store.put("op", "config", document_bytes(version=9))
    async with asyncio.timeout(5):
        while any(host.node.document_follower.version != 9 for host in world.hosts):
            await asyncio.sleep(0.01)
    _, _, headers = await world.call(second)
    routed = read_timeline(headers["Request-Id"], [lines.file()])[-1].fields
    assert (routed["version"], 0 <= routed["confirmed_s"] < 3) == (9, True)
    in_force = [json.loads(line) for line in lines.lines if b"document in force" in line]
    newest = [line for line in in_force if line["version"] == 9]
    assert len(newest) == 2
    assert all(bool(line["peer"]) == (line["origin"] == "node") for line in newest)


async def test_lost_while_a_node_ended(world, lines):
    """The logs show the cause: the link to the gate ended while an order ran behind it."""
    first, second = world.hosts
    first.node.gate_controller.gate.close()
    second.instance.script.work_s = 5.0
    request = asyncio.create_task(world.call(first, "/order/1", "POST"))
    while not second.instance.runs:
        await asyncio.sleep(0.01)
    await second.node.close()
    status, _, headers = await request
    assert status == 502
    timeline = read_timeline(headers["Request-Id"], [lines.file()])
    lost = next(entry for entry in timeline if entry.event == "send lost")
    assert (lost.fields["instance"], "not" in lost.fields["why"]) == ("i-1", False)
    assert [entry.event for entry in timeline if "request" in entry.fields][
        -1
    ] == "request given up"


async def test_ended_by_a_shutdown(world, lines):
    """The logs show which request did not end before its node, and what the shutdown waited for."""
    other = world.hosts[1]
    leaving = await world.add("i-leaving", shutdown_s=1.0)
    await world.settle()
    for host in (world.hosts[0], leaving):
        host.node.gate_controller.gate.close()
    other.instance.script.work_s = 3.0
    request = asyncio.create_task(world.call(leaving, "/order/1", "POST"))
    while not other.instance.runs:
        await asyncio.sleep(0.01)
    assert await leaving.node.leave()
    status, _, headers = await request
    timeline = read_timeline(headers["Request-Id"], [lines.file()])
    ended = next(entry for entry in timeline if entry.event == "request given up")
    assert (status, ended.fields["kind"], ended.fields["sent_to"]) == (502, "node_stopped", ["i-1"])
    left = next(line for line in map(json.loads, lines.lines) if line["event"] == "node left")
    assert (left["cut"], left["read"], left["idle"]) == (0, 0, True)
    assert left["gate_closed_s"] <= left["gate_idle_s"] <= left["closing_s"] <= left["took_s"]


async def test_cancelled_by_its_caller_or_the_end_of_its_node(world, lines):
    """The logs show that a request ended without a response, and whether its node was stopping."""
    first, second = world.hosts
    for host in world.hosts:
        host.instance.script.work_s = 3.0
    answers = [asyncio.create_task(world.call(host, "/order/1", "POST")) for host in world.hosts]
    while sum(len(host.instance.runs) for host in world.hosts) < 2:
        await asyncio.sleep(0.01)
    answers[0].cancel()
    while not any(b"request cancelled" in line for line in lines.lines):
        await asyncio.sleep(0.01)
    second.node.forwarder.limit_deadlines(second.node._clock.now() + 5.0)
    await second.node.close()
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await answers[1]
    written = map(json.loads, lines.lines)
    cancelled = [line for line in written if line["event"] == "request cancelled"]
    assert [line["leaving"] for line in cancelled] == [False, True]
    assert all(line["left_s"] > 0 and line["waited_s"] > 0 for line in cancelled)


async def test_late_because_an_instance_became_slow(world, lines):
    """The logs show the cause: the run started in a slow period and could not be sent again."""
    first, second = world.hosts
    second.node.gate_controller.gate.close()
    first.instance.script.work_s = 0.6
    request = asyncio.create_task(world.call(first))
    while not first.instance.runs:
        await asyncio.sleep(0.01)
    first.node.gate_controller.gate.record_load(LoadFigures(1, 0, 18, 5.0))
    status, _, headers = await request
    assert status == 200
    timeline = read_timeline(headers["Request-Id"], [lines.file()])
    late = next(entry for entry in timeline if entry.event == "request late")
    assert late.fields["took_s"] > late.fields["target_s"]
    assert late.fields["sent_to"] == ["i-0"]
    assert json.loads(timeline_json(timeline).splitlines()[-1])["event"] == "request late"


def test_missing_parts_are_reported(tmp_path):
    path = tmp_path / "node.log"
    path.write_text(
        'host-1 {"time": "2", "event": "send refused", "request": "r1", "kind": "too_late"}\n'
        'host-1 {"time": "1", "event": "request sent again", "request": "r1"}\n'
        'host-1 {"time": "3", "event": "lines withheld", "of": "request late", "count": 7}\n'
        "not json\n{broken\n[1]\n"
        '{"event": "request given up", "request": "r2"}\n'
    )
    output = CliRunner().invoke(cli, ["explain", "r1", str(path)]).output
    assert output.index("request sent again") < output.index("send refused")
    assert "No line shows how it ended" in output
    assert "7 lines were withheld" in output
    assert "r2" not in output
    assert (
        "No line mentions request r9"
        in CliRunner().invoke(cli, ["explain", "r9", str(path)]).output
    )


def test_limited_and_sampled_lines_are_bounded_and_counted():
    clock = ManualClock()
    limiter = LogLimiter(clock.now)
    limited = next(name for name, each in EVENT_BY_NAME.items() if each.policy is LogPolicy.LIMITED)
    sampled = next(name for name, each in EVENT_BY_NAME.items() if each.policy is LogPolicy.SAMPLED)
    always = next(name for name, each in EVENT_BY_NAME.items() if each.policy is LogPolicy.ALWAYS)
    written = 0
    for _ in range(10_000):
        written += limiter.admits(limited)
        assert limiter.admits(always)
        clock.advance(0.001)
    assert written <= LIMITED_BURST + 10 * LIMITED_PER_S + 1
    assert sum(limiter.admits(sampled) for _ in range(1_000)) == 1_000 / SAMPLE_EVERY
    assert limiter.take_withheld()[limited] == 10_000 - written
    assert limiter.take_withheld() == {}
    clock.advance(REPORT_INTERVAL_S)
    assert [limiter.admits(sampled) for _ in range(2)] == [True, False]
    assert limiter.take_withheld() == {sampled: 1}


def test_stopped_reader_never_blocks_and_dropped_lines_are_counted():
    reading, writing = os.pipe()
    writer = NonBlockingWriter(writing)
    line = b"x" * 999 + b"\n"
    count = 3 * BUFFER_BYTES // len(line)
    for _ in range(count):
        writer.write(line)
    dropped = writer.take_dropped()
    assert dropped > count // 3
    received = b""
    while not writer.flush():
        received += os.read(reading, 1 << 20)
    os.close(writing)
    while piece := os.read(reading, 1 << 20):
        received += piece
    os.close(reading)
    assert received == line * (count - dropped)


def test_closed_reader_raises_nothing():
    reading, writing = os.pipe()
    writer = NonBlockingWriter(writing)
    os.close(reading)
    writer.write(b"lost\n")
    assert writer.take_dropped() == 1
    os.close(writing)
