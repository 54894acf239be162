"""Which nodes count, which may hold quotas, and when a holder gives up what another should hold."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest
from helpers import make_update

from peridottrack.accounts.model import Account, AccountName, AccountTable
from peridottrack.clock import run_virtual
from peridottrack.memberlist import MemberList
from peridottrack.messages import MemberState, Message, QuotaAsk, QuotaGrant, QuotaGrantEntry
from peridottrack.metrics import Metrics
from peridottrack.quotas.controller import (
    DEAD_COUNTS_S,
    SETTLING_S,
    WAITING_TICK_S,
    QuotaController,
)
from peridottrack.quotas.limits import QuotaTolerance, Slot, account_id
from peridottrack.quotas.ranking import choose_holder
from peridottrack.quotas.spender import MAX_WAIT_S, Verdict

TOLERANCE = QuotaTolerance(5.0, 0.1, 20.0)
NODES = 6
HUT = Account(AccountName("hut"), None, 10.0, 5.0)
SOON_S = 0.1


class Fleet:
    """A controller on the first of some nodes, whose view of the others a test sets."""

    def __init__(self, keys_expire=True):
        self.time = 100.0
        self.sent = []
        self.updates = [make_update(number) for number in range(NODES)]
        self.members = MemberList()
        for update in self.updates:
            self.members.put(update, self.time)
        membership = SimpleNamespace(
            local_member=self.updates[0],
            active_members=self.members.active_members,
            member_by_node=self.members.member_by_node,
        )
        members = SimpleNamespace(membership=membership, now=lambda: self.time)
        datagrams = SimpleNamespace(
            handle=lambda types, handler: None,
            send=lambda node, message: self.sent.append((node, message.body)),
        )
        self.controller = QuotaController(
            TOLERANCE, keys_expire, members, datagrams, Metrics(), lambda: self.time
        )
        self.controller.set_accounts(AccountTable([(HUT, ["k"])]))

    def set_state(self, number, state):
        self.members.put(replace(self.updates[number], state=state, incarnation=2), self.time)

    def check(self, seconds=0.0):
        self.time += seconds
        self.controller._update_members(self.time)
        self.controller._check_rank(self.time)

    def grant(self, tokens):
        """Answer the last ask of the controller."""
        node, ask = self.sent[-1]
        entry = QuotaGrantEntry(account_id(HUT.name), tokens, 0, 0, False)
        grant = QuotaGrant(ask.number, 1, False, (entry,))
        self.controller._handle_grant(Message(node, grant))

    def lend(self, number, slots=0b1111):
        """Let another node lend its share of some slots; return what it is sent."""
        node, holder = self.updates[number].node, self.controller.holder
        stamp = holder.answer(node, QuotaAsk(1, 0, 4, 0, 0, 0), self.time).stamp
        self.time += 0.01
        return holder.answer(node, QuotaAsk(2, stamp, 4, slots, 0, 60_000), self.time)


@pytest.mark.parametrize(("keys_expire", "counted"), [(True, NODES - 2), (False, NODES - 1)])
def test_dead_nodes_count_as_long_as_they_may_admit_requests(keys_expire, counted):
    fleet = Fleet(keys_expire)
    fleet.set_state(1, MemberState.DEAD)
    fleet.set_state(2, MemberState.LEFT)
    assert fleet.controller._count_lenders() == NODES - 1
    fleet.time += DEAD_COUNTS_S + 1
    assert fleet.controller._count_lenders() == counted


def test_a_node_becomes_holder_once_all_have_had_time_to_learn_of_it():
    fleet = Fleet()
    local, *others = (update.node for update in fleet.updates)
    fleet.check()
    assert set(fleet.controller._eligible) == set(others)
    fleet.check(SETTLING_S + 0.1)
    assert set(fleet.controller._eligible) == {local, *others}
    newcomer = make_update(NODES)
    fleet.members.put(newcomer, fleet.time)
    fleet.check(0.1)
    assert newcomer.node not in fleet.controller._eligible
    fleet.check(SETTLING_S + 0.1)
    assert newcomer.node in fleet.controller._eligible
    fleet.set_state(1, MemberState.DEAD)
    fleet.check(0.1)
    assert others[0] not in fleet.controller._eligible


def test_a_holder_gives_up_what_a_node_of_higher_rank_should_hold():
    fleet = Fleet()
    fleet.check()
    fleet.check(SETTLING_S + 0.1)
    nodes = [update.node for update in fleet.updates]
    foreign = next(s for s in range(4) if choose_holder(Slot(s), nodes) != nodes[0])
    fleet.lend(3, 1 << foreign)
    fleet.check()
    fleet.check(SETTLING_S - 0.1)
    assert not fleet.sent
    fleet.check(0.2)
    ((node, grant),) = fleet.sent
    assert node == nodes[3]
    assert isinstance(grant, QuotaGrant)
    assert grant.released
    assert fleet.controller.holder.share(Slot(foreign), fleet.time) == 0


def test_a_leaving_node_gives_up_and_takes_no_more():
    fleet = Fleet()
    fleet.check()
    fleet.check(SETTLING_S + 0.1)
    fleet.lend(3)
    fleet.controller.release()
    assert [(node, grant.released) for node, grant in fleet.sent] == [(fleet.updates[3].node, True)]
    assert fleet.lend(4).released
    fleet.check()
    assert fleet.updates[0].node not in fleet.controller._eligible


def test_a_request_whose_caller_leaves_while_it_waits_is_forgotten():
    async def run():
        fleet = Fleet()
        fleet.check()
        task = asyncio.create_task(fleet.controller.admit(HUT))
        await asyncio.sleep(0.01)
        assert fleet.controller.spender.has_waiting
        assert len(fleet.sent) == len(set(fleet.controller.spender.holders().values()))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        fleet.controller._flush()
        assert not fleet.controller.spender.has_waiting

    asyncio.run(run())


# A token went to a request that was cancelled in the same step, and to no other one after it.
@pytest.mark.parametrize("cancelled_first", [True, False])
def test_token_that_arrives_in_the_step_that_cancels_its_request_goes_to_the_next(cancelled_first):
    async def run():
        fleet = Fleet()
        fleet.check()
        leaving, waiting = (asyncio.create_task(fleet.controller.admit(HUT)) for _ in range(2))
        await asyncio.sleep(0.01)
        if cancelled_first:
            leaving.cancel()
            fleet.grant(1)
        else:
            fleet.grant(1)
            leaving.cancel()
        async with asyncio.timeout(SOON_S):
            decision = await waiting
        assert leaving.cancelled()
        return decision.verdict

    assert asyncio.run(run()) is Verdict.ADMITTED


# An error while asking kept all waiting requests waiting for good.
def test_requests_are_refused_in_time_while_no_ask_can_be_sent():
    def fail(node, message):
        raise OSError("no route to host")

    async def run(clock_stands):
        fleet = Fleet()
        fleet.check()
        fleet.controller._datagrams.send = fail
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        task = asyncio.create_task(fleet.controller.admit(HUT))
        await asyncio.sleep(0.01)
        if not clock_stands:
            fleet.time += MAX_WAIT_S
        async with asyncio.timeout(10 * MAX_WAIT_S):
            return (await task).verdict, fleet.controller.spender.has_waiting

    async def measure(clock_stands):
        started_at = asyncio.get_running_loop().time()
        outcome = await run(clock_stands)
        return outcome, asyncio.get_running_loop().time() - started_at

    for clock_stands, limit_s in ((False, 3 * WAITING_TICK_S), (True, 2 * MAX_WAIT_S)):
        outcome, took_s = run_virtual(measure(clock_stands))
        assert outcome == (Verdict.UNSETTLED, False)
        assert took_s <= limit_s
