"""Instances that name a rate limit or their leaving to nodes without a gate."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest
from helpers import make_instance
from test_document import text_of
from test_rate_limit import allowed, most_in_a_window

from peridottrack.call import Call
from peridottrack.clock import LoopClock, run_virtual
from peridottrack.controllers.load import LoadController
from peridottrack.distance import Distances
from peridottrack.document import check_document, parse_section
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError
from peridottrack.instanceheaders import InstanceHeaders
from peridottrack.metrics import Metrics
from peridottrack.types import FailureDomain, NodeId, RequestId, ServiceName

PER_S = 10.0
DEADLINE_S = 1.5
SLOW_RELEASE_S = 0.4
"""Interval between two releases: well above that of the rate limits in these tests."""


async def read(session: aiohttp.ClientSession, url: str) -> tuple[int, str]:
    headers = {"Peridot-Deadline-Ms": "1500"}
    async with session.get(url, headers=headers) as answer:
        await answer.read()
        return answer.status, answer.headers.get("Peridot-Error", "")


async def read_for(harness, seconds: float, per_s: float) -> list[tuple[int, str]]:
    calls = []
    for number in range(int(seconds * per_s)):
        host = harness.node(number % len(harness.cluster.hosts))
        calls.append(asyncio.create_task(read(harness.session, f"{host.url}/siparis/1")))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


# Guards against an instance that gets more requests than its limit, since each node that calls it
# takes the whole limit for itself or none.
async def test_nodes_share_the_limit_that_an_instance_names(harness):
    for host in harness.cluster.hosts:
        host.upstream.behaviour.rate_limit = PER_S
    await read_for(harness, 1.0, 60)
    for host in harness.cluster.hosts:
        host.upstream.received_at.clear()
    answers = await read_for(harness, 4.5, 100)
    received = [most_in_a_window(host.upstream.received_at) for host in harness.cluster.hosts]
    assert max(received) <= allowed(PER_S)
    # 504 is the answer to a call whose turn came just before its deadline.
    assert {200, 503} <= {status for status, _ in answers} <= {200, 503, 504}
    assert (503, "instance_limited") in answers
    assert len([status for status, _ in answers if status == 200]) >= 2 * PER_S


# Guards against requests to an instance that has said in a response that it leaves.
async def test_instance_that_says_that_it_leaves_gets_no_more_requests_of_that_node(harness):
    for host in harness.cluster.hosts[1:]:
        await host.upstream.stop()
    upstream = harness.node().upstream
    upstream.behaviour.leaving = True
    while (await read(harness.session, f"{harness.node().url}/siparis/1"))[0] != 200:
        await asyncio.sleep(0.05)
    upstream.received_at.clear()
    for _ in range(3):
        assert (await read(harness.session, f"{harness.node().url}/siparis/1"))[0] == 503
    assert not upstream.received_at


async def wait_in_queue(load: LoadController, calls: int) -> Call:
    """Let calls wait behind a full instance, one of them released slowly; return a new call."""
    held = []
    while attempt := load.service_by_name[ServiceName("siparis")].balancer.begin():
        held.append(attempt)
    waiting = [asyncio.create_task(load.acquire(new_call())) for _ in range(calls)]
    await asyncio.sleep(0)
    queue = load.service_by_name[ServiceName("siparis")].queue
    for _ in range(2):
        await asyncio.sleep(SLOW_RELEASE_S)
        queue.record_release()
    assert queue.wait_estimate_s() > DEADLINE_S
    for task in waiting:
        task.cancel()
    return new_call()


def new_call() -> Call:
    now = LoopClock().now()
    call = Call(None, RequestId("r"), now, now + DEADLINE_S)
    config = parse_section(text_of("siparis"), "ordering")
    call.route = check_document({"ordering": config}).find_route("GET", "/siparis")[0]
    return call


# Guards against a refusal that names the queue although the instances' limits hold calls back, so
# that the caller and the logs are told of a lack of slots.
@pytest.mark.parametrize(
    ("per_s", "kind"),
    [(PER_S, ErrorKind.INSTANCE_LIMITED), (float("inf"), ErrorKind.TOO_LATE)],
)
def test_refusal_names_the_limit_whenever_it_holds_calls_back(per_s, kind):
    async def run():
        load = LoadController(
            NodeId("n"),
            "a",
            Distances(FailureDomain("a")),
            256,
            LoopClock(),
            random.Random(1),
            Metrics(),
        )
        config = parse_section(text_of("siparis"), "ordering")
        load.set_document(check_document({"ordering": config}))
        instance = make_instance(1, "siparis", slots=2)
        load.set_instances([instance], nodes=1)
        load.record_statements(instance, InstanceHeaders(rate_limit=per_s))
        call = await wait_in_queue(load, calls=8)
        with pytest.raises(RequestError) as caught:
            load.check_queue_wait(call)
        assert caught.value.kind is kind

    run_virtual(run())
