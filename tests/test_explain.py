"""From a request's id to its cause by logs alone, and logs that hold nothing up."""

from __future__ import annotations

import ast
import asyncio
import io
import json
import os
from pathlib import Path

import logbook
import pytest
from click.testing import CliRunner
from mesh_world import World

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
# Modules of the node without a gate, whose events are told on the operators' page.
OTHER_PROGRAM = {
    "node.py",
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
# Lines of modules that both programs share and only the other one reaches.
OTHER_LINES = {"joined through seeds, the table is not available"}


class Lines(logbook.Handler):
    """Keeps what would be written."""

    def __init__(self):
        super().__init__(level="INFO", bubble=False)
        self.lines = []

    def emit(self, record):
        line = {"time": record.time.isoformat(), "event": record.message, **record.kwargs}
        self.lines.append(json.dumps(line, default=str).encode() + b"\n")

    def file(self):
        made = io.BytesIO(b"".join(self.lines))
        made.name = "node.log"
        return made


@pytest.fixture
async def world():
    made = World()
    await made.start(2)
    yield made
    await made.stop()


@pytest.fixture
def lines():
    handler = Lines()
    with handler.applicationbound():
        yield handler


def logged_calls():
    """Yield file, event name and fields of every line that the code can write."""
    for path in sorted(PACKAGE.rglob("*.py")):
        place = path.relative_to(PACKAGE).as_posix()
        if "standin" in path.parts or place in OTHER_PROGRAM:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            owner = ast.unparse(node.func)
            if owner in ("log.event", "log.warning", "log.logger.info", "logger.warning"):
                yield place, node


def names_of(argument):
    return [one.value for one in ast.walk(argument) if isinstance(one, ast.Constant)]


def test_every_line_is_declared_with_its_fields():
    found = set()
    for place, call in logged_calls():
        if isinstance(call.args[0], ast.Name):
            names = ["request answered", "request late"]
        else:
            names = [name for name in names_of(call.args[0]) if isinstance(name, str)]
        fields = {keyword.arg for keyword in call.keywords}
        for name in set(names) - OTHER_LINES:
            assert fields == set(EVENT_BY_NAME[name].fields), (place, name)
            found.add(name)
    told_elsewhere = {"lines withheld", "lines dropped", "request failed"}
    assert set(EVENT_BY_NAME) - found - told_elsewhere == set()


def test_reference_page_is_up_to_date():
    page = Path(__file__).parent.parent / "docs" / "EVENTS.md"
    assert page.read_text() == reference()


async def test_refused_while_instances_seemed_free(world, lines):
    """Cause to be found: the only open gate was full; the other instance had left."""
    first, second = world.hosts
    await second.announce(world.session, "draining")
    first.node.gate_controller.gate.local_instance.slots = 1
    first.instance.script.load = ""
    first.instance.script.work_s = 0.4
    for _ in range(3):
        await world.call(first)
    held = [asyncio.create_task(world.call(first)) for _ in range(8)]
    answers = [await one for one in held]
    refused = next(headers["Request-Id"] for status, _, headers in answers if status == 503)
    story = read_timeline(refused, [lines.file()])
    sent = next(step for step in story if step.event == "send refused")
    assert sent.fields["kind"] in ("too_late", "overloaded")
    assert sent.fields["running"] >= sent.fields["limit"] == 1
    assert next(step for step in story if step.event == "request given up").fields["sent_to"] == []
    assert "requests that may run" in timeline_text(refused, story)
    assert any("instance leaves" in line.decode() for line in lines.lines)


async def test_lost_while_a_node_ended(world, lines):
    """Cause to be found: the link to the gate ended while an order ran behind it."""
    first, second = world.hosts
    first.node.gate_controller.gate.close()
    second.instance.script.work_s = 5.0
    request = asyncio.create_task(world.call(first, "/order/1", "POST"))
    while not second.instance.runs:
        await asyncio.sleep(0.01)
    await second.node.close()
    status, _, headers = await request
    assert status == 502
    story = read_timeline(headers["Request-Id"], [lines.file()])
    lost = next(step for step in story if step.event == "send lost")
    assert (lost.fields["instance"], "not" in lost.fields["why"]) == ("i-1", False)
    assert [step.event for step in story if "request" in step.fields][-1] == "request given up"


async def test_late_because_an_instance_turned_slow(world, lines):
    """Cause to be found: the run began in a slow spell and could not be sent again."""
    first, second = world.hosts
    second.node.gate_controller.gate.close()
    first.instance.script.work_s = 0.6
    request = asyncio.create_task(world.call(first))
    while not first.instance.runs:
        await asyncio.sleep(0.01)
    first.node.gate_controller.gate.record_load(LoadFigures(1, 0, 18, 5.0))
    status, _, headers = await request
    assert status == 200
    story = read_timeline(headers["Request-Id"], [lines.file()])
    late = next(step for step in story if step.event == "request late")
    assert late.fields["took_s"] > late.fields["target_s"]
    assert late.fields["sent_to"] == ["i-0"]
    assert json.loads(timeline_json(story).splitlines()[-1])["event"] == "request late"


def test_missing_parts_are_said(tmp_path):
    path = tmp_path / "node.log"
    path.write_text(
        'host-1 {"time": "2", "event": "send refused", "request": "r1", "kind": "too_late"}\n'
        'host-1 {"time": "1", "event": "request sent again", "request": "r1"}\n'
        'host-1 {"time": "3", "event": "lines withheld", "of": "request late", "count": 7}\n'
        "not json\n{broken\n[1]\n"
        '{"event": "request given up", "request": "r2"}\n'
    )
    shown = CliRunner().invoke(cli, ["explain", "r1", str(path)]).output
    assert shown.index("request sent again") < shown.index("send refused")
    assert "No line tells how it ended" in shown
    assert "7 lines were withheld" in shown
    assert "r2" not in shown
    assert (
        "No line tells of request r9"
        in CliRunner().invoke(cli, ["explain", "r9", str(path)]).output
    )


def test_lines_of_trouble_are_bounded_and_counted():
    clock = ManualClock()
    flow = LogLimiter(clock.now)
    limited = next(name for name, one in EVENT_BY_NAME.items() if one.policy is LogPolicy.LIMITED)
    sampled = next(name for name, one in EVENT_BY_NAME.items() if one.policy is LogPolicy.SAMPLED)
    always = next(name for name, one in EVENT_BY_NAME.items() if one.policy is LogPolicy.ALWAYS)
    written = 0
    for _ in range(10_000):
        written += flow.admits(limited)
        assert flow.admits(always)
        clock.advance(0.001)
    assert written <= LIMITED_BURST + 10 * LIMITED_PER_S + 1
    assert sum(flow.admits(sampled) for _ in range(1_000)) == 1_000 / SAMPLE_EVERY
    assert flow.take_withheld()[limited] == 10_000 - written
    assert flow.take_withheld() == {}
    clock.advance(REPORT_INTERVAL_S)
    assert [flow.admits(sampled) for _ in range(2)] == [True, False]
    assert flow.take_withheld() == {sampled: 1}


def test_reader_that_stopped_holds_nothing_up_and_misses_are_counted():
    reading, writing = os.pipe()
    writer = NonBlockingWriter(writing)
    line = b"x" * 999 + b"\n"
    count = 3 * BUFFER_BYTES // len(line)
    for _ in range(count):
        writer.write(line)
    dropped = writer.take_dropped()
    assert dropped > count // 3
    got = b""
    while not writer.flush():
        got += os.read(reading, 1 << 20)
    os.close(writing)
    while piece := os.read(reading, 1 << 20):
        got += piece
    os.close(reading)
    assert got == line * (count - dropped)


def test_reader_that_is_gone_ends_nothing():
    reading, writing = os.pipe()
    writer = NonBlockingWriter(writing)
    os.close(reading)
    writer.write(b"lost\n")
    assert writer.take_dropped() == 1
    os.close(writing)
