"""The way of a request among gates that are played by the test."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from peridottrack.clock import LoopClock
from peridottrack.errors import ErrorKind, Ran
from peridottrack.forward import MAX_DECLINES, Forwarder
from peridottrack.frames import GateLoad, InstanceResponse, Refusal
from peridottrack.headernames import HeaderNames
from peridottrack.ingress import CallerRequest
from peridottrack.metrics import Metrics
from peridottrack.placement import Placement
from peridottrack.poison import PoisonList
from peridottrack.resendbudget import ResendBudget
from peridottrack.routing import Route, RouteTable, ServiceRule, Share

ROUTE = Route("read", "shop", "/stock/", True, (Share("katalog", 1.0),), 2.0, 0.3, 2, 2)
ORDER = Route("order", "shop", "/order/", False, (Share("katalog", 1.0),), 2.0, 0.3, 1, 2)
TABLE = RouteTable(1, [ROUTE, ORDER], {"katalog": ServiceRule("/healthz", 240)})


@dataclass
class Way:
    """A way to a gate that passes back as busy what may pass on, as long as it is told to."""

    name: str
    kind: ErrorKind | None = ErrorKind.INSTANCE_BUSY
    waiting: int = 0
    domain: str = "a"
    received_at: float = 0.0
    usable: bool = True
    asked: list = field(default_factory=list)

    def __post_init__(self):
        self.load = GateLoad(self.name, "katalog", True, 10, 10, 0, 0)

    def sent_since_report(self):
        return 0

    async def send_request(self, frame, on_hedge_hint=lambda: None):
        self.asked.append(frame)
        self.load = GateLoad(self.name, "katalog", True, 10, 10, 10, self.waiting)
        movable = frame.decline_if_full or frame.decline_if_slow
        if self.kind is not None and movable:
            return Refusal(frame.number, self.kind, Ran.NO, 0.0, self.load)
        return InstanceResponse(frame.number, 200, b"", self.name.encode(), self.load)


@pytest.fixture
async def clock():
    return LoopClock()


async def ask(clock, ways, path=b"/stock/1"):
    dialect = HeaderNames()
    forwarder = Forwarder(
        lambda: TABLE,
        lambda service: ways,
        Placement("a", clock, random.Random(7)),
        PoisonList(clock, 3),
        lambda: ResendBudget(0.2, 60, 10, clock),
        dialect,
        "katalog",
        clock,
        random.Random(7),
        Metrics(),
    )
    headers = [(b"Host", b"shop"), (dialect.request_id.encode(), b"r1")]
    request = CallerRequest("GET", path, headers, b"", clock.now())
    return await forwarder.handle(request)


def asked(ways):
    return sum(len(way.asked) for way in ways)


@pytest.mark.parametrize("path", [b"/stock/1", b"/order/1"])
async def test_goes_on_until_a_gate_has_room(clock, path):
    ways = [Way("one"), Way("two"), Way("three", kind=None)]
    answer = await ask(clock, ways, path)
    assert (answer.status, answer.body) == (200, b"three")
    assert max(len(way.asked) for way in ways) == 1


async def test_waits_at_the_shortest_queue_if_no_gate_has_room(clock):
    ways = [Way("one", waiting=6), Way("two", waiting=2), Way("three", waiting=9)]
    answer = await ask(clock, ways)
    assert (answer.status, answer.body) == (200, b"two")
    last = ways[1].asked[-1]
    assert (last.decline_if_full, last.decline_if_slow) == (False, False)


@pytest.mark.parametrize("kind", [ErrorKind.INSTANCE_BUSY, ErrorKind.INSTANCE_SLOW])
async def test_is_passed_back_a_few_times_only(clock, kind):
    ways = [Way(str(number), kind) for number in range(20)]
    answer = await ask(clock, ways)
    assert answer.status == 200
    assert asked(ways) == MAX_DECLINES + 1
