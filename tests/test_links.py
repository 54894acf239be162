"""Which links are opened and closed, with links that do not connect."""

from __future__ import annotations

import asyncio

import pytest
from helpers import make_update

from peridottrack.clock import ManualClock
from peridottrack.controllers import links
from peridottrack.frames import Hello


class FakeLink:
    """A link that runs until it is closed."""

    def __init__(self, endpoint, *more):
        self.endpoint = endpoint
        self.usable = True
        self.in_flight = 0
        self.load = None
        self.closed = False

    async def run(self):
        try:
            await asyncio.Event().wait()
        finally:
            self.closed = True


class FakeSubset:
    """Selects the nodes that the test names."""

    def __init__(self):
        self.nodes = set()

    def set_members(self, members):
        """The test decides without them."""

    def selected(self):
        return set(self.nodes)


@pytest.fixture
async def controller(monkeypatch):
    monkeypatch.setattr(links, "Link", FakeLink)
    hello = Hello(make_update(0).node, make_update(0).domain, 0)
    made = links.LinksController(lambda: hello, FakeSubset(), None, None, None, ManualClock())
    yield made
    await made.stop()


async def link_to(controller, update):
    controller._subset.nodes = {update.node}
    controller.set_members([update])
    await asyncio.sleep(0)
    return controller._link_by_node[update.node]


# Guards against a request that is cut off since the link to a live node is no longer needed.
@pytest.mark.parametrize("usable", [True, False])
async def test_link_to_a_member_is_closed_only_after_its_last_request(controller, usable):
    link = await link_to(controller, make_update(1))
    link.in_flight, link.usable = 1, usable
    controller._subset.nodes = set()
    controller.set_members([make_update(1)])
    controller._close_removed()
    await asyncio.sleep(0)
    assert controller.last_loads() == {} and not link.closed
    link.in_flight = 0
    controller._close_removed()
    await asyncio.sleep(0)
    assert link.closed


@pytest.mark.parametrize(("usable", "closed"), [(True, False), (False, True)])
async def test_link_to_a_removed_node_is_closed_at_once_if_it_does_not_respond(
    controller, usable, closed
):
    link = await link_to(controller, make_update(1))
    link.in_flight, link.usable = 1, usable
    controller.set_members([])
    await asyncio.sleep(0)
    assert link.closed is closed


async def test_document_is_requested_over_a_link_that_is_closed_later(controller):
    controller.set_members([make_update(1)])
    controller.request_document(make_update(1).node, 3)
    await asyncio.sleep(0)
    link = controller._link_by_node[make_update(1).node]
    controller._subset.narrow = lambda: False
    controller._narrow(links.DOCUMENT_LINK_S / 2)
    assert not link.closed
    controller._narrow(links.DOCUMENT_LINK_S + 1)
    await asyncio.sleep(0)
    assert link.closed


# An error on one link ended the checks of all links behind it, each time.
async def test_all_links_are_checked_after_one_whose_check_fails(controller, monkeypatch):
    monkeypatch.setattr(links, "TICK_S", 0.01)
    checked = []

    def fail(now):
        raise RuntimeError("a link that cannot be checked")

    members = [make_update(number) for number in (1, 2)]
    controller._subset.nodes = {update.node for update in members}
    controller._subset.narrow = lambda: False
    controller.set_members(members)
    first, second = controller._link_by_node.values()
    first.tick, second.tick = fail, checked.append
    run = asyncio.create_task(controller.run())
    await asyncio.sleep(0.1)
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    assert len(checked) > 1
