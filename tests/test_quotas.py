"""Quotas over all nodes: the bound under failures, and exactness in calm, without a network."""

from __future__ import annotations

import asyncio
import math
import random
from collections import defaultdict
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from quota_world import TOLERANCE, QuotaWorld

from peridottrack.accounts.model import Account, AccountName
from peridottrack.datagramcodec import MAX_DATAGRAM_BYTES, DatagramSigner
from peridottrack.ingress import BufferedResponse
from peridottrack.messages import (
    Message,
    QuotaAsk,
    QuotaAskEntry,
    QuotaGrant,
    QuotaGrantEntry,
)
from peridottrack.quotas.bucket import QuotaBucket
from peridottrack.quotas.filter import QuotaFilter
from peridottrack.quotas.holder import QuotaHolder
from peridottrack.quotas.limits import Slot, account_id, slot_count, slot_of
from peridottrack.quotas.loans import LOAN_S, BorrowedShares
from peridottrack.quotas.spender import MAX_WAIT_S, Decision, QuotaSpender, Verdict, Waiter
from peridottrack.types import NodeId

SLOTS = slot_count(1)
NODES = 65
SETTLED_S = 12.0
"""Time after the start of all nodes at which callers begin."""


def make_account(name: str, rate_per_s: float, burst: float) -> Account:
    return Account(AccountName(name), None, rate_per_s, burst)


class ReferenceBucket:
    """One exact token bucket for all nodes."""

    def __init__(self, account: Account) -> None:
        self._account = account
        self._level = account.burst + 1
        self._at = 0.0

    def take(self, now: float) -> bool:
        rate, capacity = self._account.rate_per_s, self._account.burst + 1
        self._level = min(capacity, self._level + rate * (now - self._at))
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


def skewed_demand(total_per_s: float, accounts: int = 75, skew: float = 1.2) -> list[float]:
    weights = [rank**-skew for rank in range(1, accounts + 1)]
    return [total_per_s * weight / sum(weights) for weight in weights]


def play(world, demand_at, seconds, rng):
    """Send requests as Poisson processes; ``demand_at(name, time)`` is the rate of an account.

    Each request comes to a random node. Return the number of requests of each account that an exact
    token bucket would refuse.
    """
    names = list(world.nodes)
    reference = {name: ReferenceBucket(acc) for name, acc in world.account_by_name.items()}
    would_refuse = defaultdict(int)
    start = world.now
    arrivals = []
    for account in world.account_by_name:
        highest = max(demand_at(account, start + step / 10) for step in range(int(seconds * 10)))
        at = start
        while (at := at + rng.expovariate(highest)) < start + seconds:
            if rng.random() < demand_at(account, at) / highest:
                arrivals.append((at, account))
    for at, account in sorted(arrivals):
        world.run_until(at)
        would_refuse[account] += not reference[account].take(at)
        world.request(rng.choice(names), account)
    world.run_until(start + seconds + 1)
    return would_refuse


def fleet_of(demand, quota_x=1.6, burst_s=1.0, nodes=NODES, rng=None):
    accounts = [
        make_account(f"account-{rank}", quota_x * rate, math.ceil(burst_s * quota_x * rate))
        for rank, rate in enumerate(demand)
    ]
    delay = (lambda sender, receiver: [rng.uniform(0.001, 0.005)]) if rng else None
    world = QuotaWorld(nodes, accounts, delay) if delay else QuotaWorld(nodes, accounts)
    world.run_until(SETTLED_S)
    return world


def check_bound(world):
    for name, account in world.account_by_name.items():
        assert world.largest_window(name) <= TOLERANCE.bound(account), name


@pytest.mark.parametrize("burst_s", [0.0, 1.0])
def test_uneven_demand_below_the_limit_is_never_refused(burst_s):
    rng = random.Random(1)
    demand = skewed_demand(606)
    world = fleet_of(demand, burst_s=burst_s, rng=rng)
    rates = {f"account-{rank}": rate for rank, rate in enumerate(demand)}
    would_refuse = play(world, lambda name, at: rates[name], 15, rng)
    for name in rates:
        assert len(world.refused[name]) <= would_refuse[name], name
    assert sum(map(len, world.sent.values())) > 8_000
    assert max(world.waits) < 0.05
    check_bound(world)


def test_waves_shifted_against_each_other_are_not_refused():
    rng = random.Random(2)
    demand = skewed_demand(606)
    world = fleet_of(demand, rng=rng)
    rates = {f"account-{rank}": (rate, rank) for rank, rate in enumerate(demand)}

    def demand_at(name, at):
        rate, rank = rates[name]
        return rate * (1 + 0.5 * math.sin(2 * math.pi * (at / 11 + rank / 7)))

    would_refuse = play(world, demand_at, 15, rng)
    for name in rates:
        assert len(world.refused[name]) <= would_refuse[name], name
    check_bound(world)


@pytest.mark.parametrize("hot", ["account-0", "account-3", "account-40"])
def test_a_hot_account_gets_its_limit_and_costs_the_others_nothing(hot):
    rng = random.Random(3)
    demand = skewed_demand(606)
    world = fleet_of(demand, rng=rng)
    rates = {f"account-{rank}": rate for rank, rate in enumerate(demand)}
    seconds = 8
    messages = world.messages
    would_refuse = play(
        world, lambda name, at: rates[name] * (7.5 if name == hot else 1), seconds, rng
    )
    for name in set(rates) - {hot}:
        assert len(world.refused[name]) <= would_refuse[name], name
    account = world.account_by_name[hot]
    exact = account.rate_per_s * seconds + account.burst
    assert len(world.sent[hot]) >= exact - 2
    check_bound(world)
    refusals = world.refused[hot]
    assert all(each.decision.verdict is Verdict.EXCEEDED for each in refusals)
    assert all(each.decision.retry_s > 0 for each in refusals)
    # Refusals cost the holder no message each.
    asked = rates[hot] * 7.5 * seconds
    assert (world.messages - messages) / 2 < 0.75 * asked + 2 * 606 * seconds


def test_a_request_passes_when_retry_after_is_over():
    account = make_account("small", 2.0, 4)
    world = QuotaWorld(5, [account])
    world.run_until(SETTLED_S)
    name = next(iter(world.nodes))
    while not world.refused["small"]:
        world.request(name, "small")
        world.run_until(world.now + 0.01)
    retry_s = world.refused["small"][0].decision.retry_s
    assert 0 < retry_s <= 0.5 + 0.01
    sent = len(world.sent["small"])
    world.run_until(world.now + retry_s)
    world.request(name, "small")
    world.run_until(world.now + 0.1)
    assert len(world.sent["small"]) == sent + 1


# -- single parts ----------------------------------------------------------------------

HUT = make_account("hut", 40.0, 10)
HUT_ID = account_id(HUT.name)
GRANT_S = TOLERANCE.grant_s(HUT)
HOLDER, NODE = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")


def a_spender(now=0.0, lends=True):
    spender = QuotaSpender(TOLERANCE, now)
    spender.set_accounts({HUT_ID: HUT}, SLOTS)
    spender.set_members([HOLDER], 1)
    spender.lends = lends
    return spender


def a_holder(now=0.0):
    holder = QuotaHolder(TOLERANCE, now)
    holder.set_accounts({HUT_ID: HUT}, SLOTS, now)
    return holder


def ask_for(spender, now):
    """Let a request wait, and return its decisions and the ask that is sent."""
    decisions = []
    assert spender.admit(HUT_ID, now) is None
    spender.wait(HUT_ID, Waiter(now, decisions.append))
    ((holder, ask),) = spender.asks(now)
    assert holder == HOLDER
    return decisions, ask


def grant_of(ask, tokens, stamp=1, **changes):
    entry = QuotaGrantEntry(HUT_ID, tokens, 0, 0, False)
    return QuotaGrant(ask.number, stamp, False, (replace(entry, **changes),))


def test_tokens_that_come_late_or_twice_are_not_spent():
    spender = a_spender()
    decisions, ask = ask_for(spender, 1.0)
    spender.receive(HOLDER, grant_of(ask, 2), 1.0 + GRANT_S)
    assert not decisions
    now = 1.0 + GRANT_S + 0.01
    ((_, ask),) = spender.asks(now)
    spender.receive(HOLDER, grant_of(ask, 2), now)
    spender.receive(HOLDER, grant_of(ask, 2), now)
    assert [each.verdict for each in decisions] == [Verdict.ADMITTED]
    assert spender.admit(HUT_ID, now).verdict is Verdict.ADMITTED
    assert spender.admit(HUT_ID, now) is None


def test_an_answer_that_is_read_after_its_ask_was_repeated_counts():
    spender = a_spender()
    decisions, ask = ask_for(spender, 1.0)
    ((_, repeated),) = spender.asks(1.15)
    assert repeated.number != ask.number
    spender.receive(HOLDER, grant_of(ask, 1), 1.16)
    assert decisions[0].expires_at == 1.0 + GRANT_S


def test_a_token_of_a_request_that_was_not_sent_is_spent_by_another_until_it_expires():
    spender = a_spender()
    decisions, ask = ask_for(spender, 1.0)
    spender.receive(HOLDER, grant_of(ask, 1), 1.01)
    spender.give_back(HUT_ID, decisions[0].expires_at, 1.05)
    again = spender.admit(HUT_ID, 1.06)
    assert again.expires_at == decisions[0].expires_at == 1.0 + GRANT_S
    spender.give_back(HUT_ID, again.expires_at, again.expires_at)
    assert spender.admit(HUT_ID, again.expires_at) is None


def test_requests_beyond_the_quota_are_refused_without_asking_until_the_time_told():
    spender = a_spender()
    decisions, ask = ask_for(spender, 1.0)
    spender.receive(HOLDER, grant_of(ask, 0, retry_ms=500, hold_ms=200), 1.01)
    assert decisions[0].verdict is Verdict.EXCEEDED
    assert decisions[0].retry_s == pytest.approx(0.5)
    refused = spender.admit(HUT_ID, 1.11)
    assert (refused.verdict, refused.retry_s) == (Verdict.EXCEEDED, pytest.approx(0.4))
    assert spender.admit(HUT_ID, 1.22) is None
    spender.wait(HUT_ID, Waiter(1.22, decisions.append))
    ((_, ask),) = spender.asks(1.22)
    # The holder learns how many were refused.
    assert (ask.entries[0].need, ask.entries[0].refused) == (1, 1)


def test_a_request_whose_holder_is_silent_is_refused_as_unsettled():
    spender = a_spender()
    decisions, _ = ask_for(spender, 1.0)
    asks = 1
    for step in range(1, 27):
        now = 1.0 + 0.02 * step
        asks += len(list(spender.asks(now)))
        spender.expire(now)
    assert asks >= 3
    assert [each.verdict for each in decisions] == [Verdict.UNSETTLED]


def loan_from(holder, now, stamp, number=1, node=NODE):
    return holder.answer(node, QuotaAsk(number, stamp, SLOTS, 0b1111, 0, 2_000), now)


def test_a_loan_under_way_when_its_holder_gives_up_does_not_count():
    holder = a_holder()
    stamp = loan_from(holder, 1.0, 0).stamp
    loan_from(holder, 1.1, stamp)
    assert holder.lenders(Slot(0), 1.1) == [NODE]
    assert holder.release(1.2) == {NODE}
    later = loan_from(holder, 1.3, stamp).stamp
    assert holder.lenders(Slot(0), 1.3) == []
    loan_from(holder, 1.4, later)
    assert holder.lenders(Slot(0), 1.4) == [NODE]


def test_a_stamp_of_another_process_is_no_loan():
    stamp = loan_from(a_holder(), 1.0, 0).stamp
    holder = a_holder()
    loan_from(holder, 1.1, stamp)
    assert holder.lenders(Slot(0), 1.1) == []


def test_notice_of_an_earlier_release_does_not_end_a_later_loan():
    holder, spender = a_holder(), a_spender(-10.0)
    early = holder.release_notice(0.5)
    for now in (1.0, 2.0):
        ((_, ask),) = spender.asks(now)
        spender.receive(HOLDER, holder.answer(NODE, ask, now), now)
    assert holder.lenders(Slot(0), 2.0) == [NODE]
    spender.receive(HOLDER, early, 2.1)
    assert Slot(0) in spender.holders()
    spender.receive(HOLDER, holder.release_notice(2.2), 2.2)
    assert not spender.holders()


@given(
    asks=st.lists(st.tuples(st.floats(0, 0.3), st.integers(0, 80)), max_size=60),
    rate=st.floats(0.5, 300),
    burst=st.floats(0, 300),
)
def test_tokens_granted_in_a_window_are_within_the_bound(asks, rate, burst):
    account = make_account("any", rate, burst)
    shares = BorrowedShares(0.0)
    shares.borrow(NODE, math.inf, True, 0.0)
    bucket = QuotaBucket(account, TOLERANCE, shares)
    now, granted = 60.0, []
    for pause_s, need in asks:
        now += pause_s
        granted += [now] * bucket.ask(NODE, need, 0, 0, now).tokens
    for index, start in enumerate(granted):
        # Spent up to `grant_s` later.
        count = sum(at <= start + TOLERANCE.window_s for at in granted[index:])
        assert count <= TOLERANCE.bound(account)


def test_holder_that_crashes_is_replaced_within_a_loan():
    rng = random.Random(4)
    demand = skewed_demand(606)
    world = fleet_of(demand, rng=rng)
    rates = {f"account-{rank}": rate for rank, rate in enumerate(demand)}
    crashed = world.nodes[next(iter(world.nodes))].spender.holders()[Slot(0)]
    world.nodes[crashed].frozen_until = math.inf
    survivors = {name: node for name, node in world.nodes.items() if name != crashed}
    crash_at = world.now
    # By then the other nodes have declared it dead.
    world.at(crash_at + 3.5, lambda: world.set_view(list(survivors), list(survivors)))
    reference = {name: ReferenceBucket(acc) for name, acc in world.account_by_name.items()}
    would_refuse = defaultdict(int)
    for step in range(1_000):
        for account, rate in rates.items():
            if rng.random() < rate / 100:
                would_refuse[account] += not reference[account].take(world.now)
                world.request(rng.choice(list(survivors)), account)
        world.run_until(crash_at + (step + 1) / 100)
    refused = [each for outcomes in world.refused.values() for each in outcomes]
    unsettled = [each.at for each in refused if each.decision.verdict is Verdict.UNSETTLED]
    assert max(unsettled) < crash_at + LOAN_S + MAX_WAIT_S + 0.5
    # The new holder starts without tokens.
    for account, outcomes in world.refused.items():
        late = [each for each in outcomes if each.at > crash_at + TOLERANCE.window_s]
        assert len(late) <= would_refuse[account], account
    moved = {node.spender.holders()[Slot(0)] for node in survivors.values()}
    assert len(moved) == 1
    for account, outcomes in world.refused.items():
        if slot_of(account_id(AccountName(account)), SLOTS) != 0:
            assert not outcomes, account
    check_bound(world)


def test_holder_that_restarts_unnoticed_is_replaced_once():
    rng = random.Random(6)
    world = fleet_of([100.0] * 4, rng=rng, nodes=20)
    crashed = world.nodes[next(iter(world.nodes))].spender.holders()[Slot(0)]
    world.nodes[crashed].frozen_until = math.inf
    others = [name for name in world.nodes if name != crashed]
    start = world.now
    # Members do not notice: it is a holder of the highest rank all the time.
    world.at(start + 3.0, lambda: world.start(crashed))
    for step in range(1_000):
        for account in world.account_by_name:
            world.request(rng.choice(others), account)
        world.run_until(start + (step + 1) / 100)
    refused = [each.at - start for outcomes in world.refused.values() for each in outcomes]
    assert refused and max(refused) < LOAN_S + MAX_WAIT_S + 0.5
    check_bound(world)


def test_accounts_that_lose_their_limit_while_requests_wait():
    spender = a_spender()
    decisions, ask = ask_for(spender, 1.0)
    spender.set_accounts({}, 0)
    spender.receive(HOLDER, grant_of(ask, 1), 1.01)
    spender.expire(1.0 + MAX_WAIT_S)
    assert [each.verdict for each in decisions] == [Verdict.UNSETTLED]
    holder = a_holder()
    holder.set_accounts({}, 0, 1.0)
    assert holder.answer(NODE, replace(ask, slots=0), 1.1).released


def test_account_that_loses_its_limit_once_its_callers_have_left():
    """Requests of other accounts are still asked for, and refused if no holder answers."""
    spender = a_spender()
    leaving = Waiter(1.0, lambda decision: None)
    spender.admit(HUT_ID, 1.0)
    spender.wait(HUT_ID, leaving)
    spender.give_up(HUT_ID, leaving, 1.0)
    other = make_account("other", 40.0, 10)
    other_id = account_id(other.name)
    spender.set_accounts({other_id: other}, SLOTS)
    decisions = []
    spender.admit(other_id, 1.0)
    spender.wait(other_id, Waiter(1.0, decisions.append))
    ((_, ask),) = spender.asks(1.0)
    assert [entry.account for entry in ask.entries] == [other_id]
    spender.expire(1.0 + MAX_WAIT_S)
    assert [each.verdict for each in decisions] == [Verdict.UNSETTLED]


def test_asks_and_grants_of_many_accounts_fit_into_a_datagram():
    entries = tuple(QuotaAskEntry(2**64 - n - 1, 60_000, 60_000, 60_000) for n in range(32))
    ask = Message(NODE, QuotaAsk(2**32 - 1, 2**63, 16, 2**16 - 1, 2**16 - 1, 60_000, entries))
    granted = tuple(QuotaGrantEntry(2**64 - n - 1, 60_000, 60_000, 60_000, True) for n in range(32))
    grant = Message(NODE, QuotaGrant(2**32 - 1, 2**63, False, granted))
    for message in (ask, grant):
        data = DatagramSigner(["sixteen characters"], NODE, 1).sign(HOLDER, message)
        assert len(data) <= MAX_DATAGRAM_BYTES
        assert DatagramSigner(["sixteen characters"], HOLDER, 1).verify(data) == message


@pytest.mark.parametrize(("ran", "given_back"), [("no", 1), ("unknown", 0), (None, 0)])
def test_filter_gives_back_the_token_of_what_was_not_run(ran, given_back):
    class Quotas:
        given_back = 0

        async def admit(self, account):
            return Decision(Verdict.ADMITTED, 1.0)

        def give_back(self, account, decision):
            self.given_back += 1

    async def answer(routed):
        headers = [(b"Peridot-Ran", ran.encode())] if ran else []
        return BufferedResponse(503, headers, b"")

    quotas = Quotas()
    quota_filter = QuotaFilter(quotas, None, None)
    for account in (HUT, make_account("unlimited", math.inf, 0), None):
        asyncio.run(quota_filter(SimpleNamespace(account=account), answer))
    assert quotas.given_back == given_back


@pytest.mark.parametrize(("loss", "slowest_s"), [(0.025, 0.005), (0.1, 0.005), (0.0, 0.12)])
def test_links_that_lose_or_delay_datagrams_cost_time_but_no_request(loss, slowest_s):
    rng = random.Random(5)
    demand = skewed_demand(606)
    accounts = [
        make_account(f"account-{rank}", 1.6 * rate, math.ceil(1.6 * rate))
        for rank, rate in enumerate(demand)
    ]
    lossy = QuotaWorld(
        NODES,
        accounts,
        lambda sender, receiver: [] if rng.random() < loss else [rng.uniform(0.001, slowest_s)],
    )
    lossy.run_until(SETTLED_S)
    rates = {f"account-{rank}": rate for rank, rate in enumerate(demand)}
    would_refuse = play(lossy, lambda name, at: rates[name], 8, rng)
    refused = sum(map(len, lossy.refused.values()))
    assert refused <= sum(would_refuse.values())
    check_bound(lossy)


# An account that keeps to its quota in every window asks for more a second than its rate alone.
def test_demand_that_fits_each_window_is_granted_for_good():
    account = Account(AccountName("hut"), rate_per_s=10.0, burst=40.0)
    now = 0.0
    shares = BorrowedShares(now)
    shares.borrow(NodeId("one"), 1_000.0, True, now)
    bucket = QuotaBucket(account, TOLERANCE, shares)
    per_s = account.rate_per_s + account.burst / TOLERANCE.window_s
    times = [number / per_s for number in range(int(60 * per_s))]
    granted = [at for at in times if bucket.ask(NodeId("one"), 1, 0, 0, at).tokens]
    # A new holder does not know what another one has granted in its first window.
    settled = [at for at in times if at > 2 * TOLERANCE.window_s]
    assert len([at for at in granted if at > 2 * TOLERANCE.window_s]) == len(settled)


def test_grants_of_a_settled_holder_stay_within_each_window():
    account = Account(AccountName("hut"), rate_per_s=10.0, burst=40.0)
    shares = BorrowedShares(0.0)
    shares.borrow(NodeId("one"), 1_000.0, True, 0.0)
    bucket = QuotaBucket(account, TOLERANCE, shares)
    granted: list[float] = []
    for step in range(60 * 50):
        at = step / 50
        granted += [at] * bucket.ask(NodeId("one"), 5, 5, 0, at).tokens
    window_s = TOLERANCE.window_s + TOLERANCE.grant_s(account)
    for start in granted:
        in_window = sum(start <= at < start + window_s for at in granted)
        assert in_window <= TOLERANCE.bound(account)
