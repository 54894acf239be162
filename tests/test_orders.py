"""Steps of scenarios/orders.feature, in virtual time."""

from __future__ import annotations

import pytest
from claim_world import World
from pytest_bdd import given, parsers, scenarios, then, when

from peridottrack.claims import read_audit
from peridottrack.errors import Ran
from peridottrack.standin.faults import StoreFault

scenarios("scenarios/orders.feature")


@pytest.fixture
def world():
    made = World()
    yield made
    made.check()
    made.close()


def results_of(world, key):
    return [result for result in world.results if result.key == key]


@given("the store is unavailable")
def store_down(world):
    world.faults.default = StoreFault.DOWN


@given("the response to the next store call is lost")
def lost_after(world):
    world.faults.queue([StoreFault.LOST_AFTER])


@given(parsers.parse("the next {count:d} store calls are applied late"))
def apply_late(world, count):
    world.faults.queue([StoreFault.LATE] * count)


@given("the upstream has no free capacity")
def no_free_capacity(world):
    world.upstream.behaviours.append("queue")


@given("the upstream sheds the next request")
def sheds(world):
    world.upstream.behaviours.append("shed")


@given(parsers.re(r"the upstream works for (?P<seconds>[\d.]+) seconds?"))
def works(world, seconds):
    world.upstream.work_s = float(seconds)


@when(parsers.parse('order "{key}" is sent to node {number:d}'))
def send(world, key, number):
    world.send(key, b"12 m", number - 1)


@when(parsers.parse('order "{key}" with another body is sent to node {number:d}'))
def send_other(world, key, number):
    world.send(key, b"13 m", number - 1)


@when(parsers.re(r"(?P<seconds>[\d.]+) seconds? pass(es)?"))
def passes(world, seconds):
    world.advance(float(seconds))


@when(parsers.parse("node {number:d} is paused"))
def pause(world, number):
    world.nodes[number - 1].table.awake.clear()


@when(parsers.parse("node {number:d} resumes"))
def wake(world, number):
    world.nodes[number - 1].table.awake.set()


@when(parsers.parse("node {number:d} crashes"))
def crash(world, number):
    world.kill(number - 1)


@then(parsers.re(r'order "(?P<key>[\w-]+)" ran (?P<count>\d+) times?'))
def ran(world, key, count):
    assert world.upstream.runs_by_key[key] == int(count)


@then(parsers.re(r'(?P<count>\d+) callers? of "(?P<key>[\w-]+)" got its response'))
def got_answer(world, key, count):
    assert sum(result.answer is not None for result in results_of(world, key)) == int(count)


@then(parsers.parse('every caller of "{key}" got its response or the outcome unknown'))
def response_or_unknown(world, key):
    assert all(result.answer or result.ran is Ran.UNKNOWN for result in results_of(world, key))
    assert any(result.answer for result in results_of(world, key))


@then(parsers.parse('the last caller of "{key}" got the outcome not run'))
def last_not_run(world, key):
    assert results_of(world, key)[-1].ran is Ran.NO


@then(parsers.parse('the last caller of "{key}" got the outcome unknown'))
def last_unknown(world, key):
    assert results_of(world, key)[-1].ran is Ran.UNKNOWN


@then(parsers.parse('every caller of "{key}" got the outcome unknown'))
def all_unknown(world, key):
    assert results_of(world, key)
    assert all(result.ran is Ran.UNKNOWN for result in results_of(world, key))


@then(
    parsers.parse(
        'the audit entries of "{key}" contain its node, its instance and {count:d} resend'
    )
)
def audit_entries_contain(world, key, count):
    async def read():
        return [entry async for entry in read_audit(world.table, key)]

    entries = world.do(read())
    record = entries[0].record
    assert record.node == world.nodes[0].name
    assert record.instances == ["i"]
    notes = [entry.note for entry in entries[1:]]
    assert len(notes) == count
    assert all("recorded answer" in note for note in notes)
