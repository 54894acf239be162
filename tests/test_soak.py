"""The checks of the soak against scripted observations, and two short runs of the soak."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from pathlib import Path

import pytest
from soak.__main__ import get_exit_code
from soak.broken import GUARANTEES_BY_SWITCH, SWITCHES
from soak.faults import FAULTS, FaultInjector
from soak.guarantees import LEAVE_GRACE_S, GuaranteeChecker, SentRequest, Violation
from soak.plan import plan_faults
from soak.proxy import Proxy, ProxyFault
from soak.run import Outcome, soak
from soak.site import NamedRateLimit, Site, SoakHost
from users_platform import InstanceStandin, Run

from peridottrack.clock import run_virtual

CI_SEED = 7
CI_HOSTS = 3
CI_SECONDS = 5.0


@pytest.fixture
def checker(tmp_path):
    site = Site(tmp_path)
    unused_proxies = [Proxy("127.0.0.1", 1) for _ in range(3)]
    host = SoakHost(0, "127.0.0.1", tmp_path, InstanceStandin("i-0.1"), *unused_proxies)
    site.hosts.append(host)
    return GuaranteeChecker(site)


def add_request(checker, request="s1", idempotent=False, **more):
    sent = SentRequest(request, idempotent, 0, time.monotonic(), **more)
    checker.request_by_id[request] = sent
    return sent


def add_run(checker, request="s1", at=None, instance="i-0.1"):
    run = Run("POST", b"/order/1", {b"request-id": request.encode()}, b"", instance)
    run.at = time.monotonic() if at is None else at
    checker.site.hosts[0].instance.runs.append(run)


def violated_at_end(checker):
    checker.check_end()
    return {one.guarantee for one in checker.violations}


def test_a_whole_response_with_the_right_id_is_accepted(checker):
    sent = add_request(checker)
    add_run(checker)
    checker.check_response(sent, 200, "s1", b"answer to s1")
    assert violated_at_end(checker) == set()


@pytest.mark.parametrize(
    ("request_id", "body", "guarantee"),
    [("s2", b"answer to s1", "own answer"), ("s1", b"answer to", "whole answer")],
)
def test_foreign_and_short_responses_are_found(checker, request_id, body, guarantee):
    checker.check_response(add_request(checker), 200, request_id, body)
    assert violated_at_end(checker) == {guarantee}


def test_an_order_that_runs_twice_is_found_but_not_an_idempotent_request(checker):
    add_request(checker, "s1")
    add_request(checker, "s2", idempotent=True)
    for request in ("s1", "s1", "s2", "s2"):
        add_run(checker, request)
    checker.check_runs()
    assert [(one.guarantee, one.request) for one in checker.violations] == [("at most once", "s1")]


@pytest.mark.parametrize(("received", "violated"), [(11, set()), (12, {"rate limit"})])
def test_more_requests_than_a_named_limit_allows_are_found(checker, received, violated):
    now = time.monotonic()
    checker.site.rate_limits.append(NamedRateLimit(0, 1.0, now - 10.0, now))
    times = [now - 5.0 + number / 10 for number in range(received)]
    checker.site.hosts[0].instance.received_at = [now - 9.0] * 50 + times
    assert violated_at_end(checker) == violated


def test_a_run_without_a_request_is_found(checker):
    add_run(checker, "s9")
    assert violated_at_end(checker) == {"nothing unasked"}


def test_a_false_not_run_status_is_found_even_if_the_run_is_recorded_later(checker):
    checker.check_response(add_request(checker), 503, "s1", b"")
    add_run(checker)
    assert violated_at_end(checker) == {"not run is true"}


@pytest.mark.parametrize(("later_s", "found"), [(-0.1, set()), (0.1, {"nothing after leaving"})])
def test_a_run_after_the_instance_left_is_found(checker, later_s, found):
    add_request(checker)
    checker.site.left_at["i-0.1"] = 100.0
    add_run(checker, at=100.0 + LEAVE_GRACE_S + later_s)
    assert violated_at_end(checker) == found


def test_a_cut_is_found_on_an_undisturbed_host_only(checker, monkeypatch):
    monkeypatch.setattr(SoakHost, "is_running", True)
    host = checker.site.hosts[0]
    checker.check_cut(add_request(checker, "s1"), host, ConnectionResetError())
    host.mark_disturbed()
    checker.check_cut(add_request(checker, "s2"), host, ConnectionResetError())
    assert [(one.guarantee, one.request) for one in checker.violations] == [("nothing cut", "s1")]


@pytest.mark.parametrize(
    ("ran", "took_s", "found"),
    [(False, 0.1, set()), (True, 0.1, {"nothing cut"}), (False, 0.5, {"nothing cut"})],
)
def test_a_planned_stop_may_cut_only_requests_that_race_with_the_close(checker, ran, took_s, found):
    host = checker.site.hosts[0]
    host.stopping_at = time.monotonic()
    sent = add_request(checker)
    checker.check_cut(sent, host, ConnectionResetError())
    sent.ended_at = sent.sent_at + took_s
    if ran:
        add_run(checker)
    assert violated_at_end(checker) == found


def test_a_return_to_an_older_document_is_found(checker):
    host = checker.site.hosts[0]
    host.start_count = 1
    checker.check_version(host, 1, 4, True)
    checker.check_version(host, 2, 4, False)
    assert violated_at_end(checker) == set()
    checker.check_version(host, 1, 4, False)
    assert violated_at_end(checker) == {"never an older document"}


def test_resends_beyond_the_budget_are_found(checker):
    for number in range(10):
        add_request(checker, f"s{number}", idempotent=True)
    for number in range(10):
        add_run(checker, f"s{number}")
        add_run(checker, f"s{number}")
    assert violated_at_end(checker) == {"budget"}


async def test_a_proxy_forwards_mutes_and_resets():
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = Proxy(*server.sockets[0].getsockname())
    host, _, port = (await proxy.start()).partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"one")
    assert await reader.read(100) == b"one"
    proxy.fault = ProxyFault(mute_down=True)
    writer.write(b"two")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(100), 0.2)
    proxy.fault = ProxyFault()
    writer.write(b"three")
    assert await reader.read(100) == b"three"
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        await reader.read(100)
    writer.close()
    await proxy.stop()
    server.close()


async def test_an_instance_that_leaves_fails_its_health_check(checker):
    site, host = checker.site, checker.site.hosts[0]
    site.leave(host)
    assert not host.instance.script.healthy
    await site.replace_instance(host)
    assert (host.instance.name, host.instance.script.healthy) == ("i-0.2", True)


async def test_a_short_run_violates_no_guarantee(tmp_path):
    outcome = await soak(CI_SEED, CI_HOSTS, CI_SECONDS, tmp_path)
    assert outcome.violations == [], outcome.text()
    assert outcome.statuses[200] > 0


async def test_a_broken_node_is_found(tmp_path):
    outcome = await soak(CI_SEED, 2, 2.0, tmp_path, broken="mixed_answers")
    assert "whole answer" in {one.guarantee for one in outcome.violations}


@pytest.mark.parametrize("switch", SWITCHES)
def test_each_broken_node_starts(switch):
    """Each switch finds the method that it replaces."""
    command = [sys.executable, "-m", "soak.broken", switch, "--help"]
    started = subprocess.run(command, cwd=Path(__file__).parent, capture_output=True, text=True)
    assert started.returncode == 0, started.stderr


def test_each_broken_node_names_the_guarantees_it_violates():
    assert GUARANTEES_BY_SWITCH.keys() == SWITCHES.keys()


def test_a_seed_fixes_the_faults_of_a_run():
    plans = [plan_faults(random.Random(3), FAULTS, 40.0) for _ in range(2)]
    assert plans[0] == plans[1] != plan_faults(random.Random(4), FAULTS, 40.0)


def test_each_kind_of_fault_is_planned_once_before_any_is_planned_again():
    kinds = [planned.kind for planned in plan_faults(random.Random(3), FAULTS, 60.0)]
    assert len(kinds) > 2 * len(FAULTS)
    for start in (0, len(FAULTS)):
        assert sorted(kinds[start : start + len(FAULTS)]) == sorted(FAULTS)


class ScriptedSite(Site):
    """A site without processes, in which a restart of a node takes a given time."""

    def __init__(self, folder: Path, hosts: int, restart_s: float) -> None:
        super().__init__(folder)
        self.restart_s = restart_s
        for number in range(hosts):
            proxies = [Proxy("127.0.0.1", 1) for _ in range(3)]
            instance = InstanceStandin(f"i-{number}.1")
            self.hosts.append(SoakHost(number, "127.0.0.1", folder, instance, *proxies))

    async def stop_node(self, host: SoakHost, signal_number: int) -> int | None:
        await asyncio.sleep(self.restart_s)
        return 0

    async def start_node(self, host: SoakHost) -> None:
        await asyncio.sleep(self.restart_s)

    def leave(self, host: SoakHost) -> None:
        super().leave(host)
        self.left_at[host.instance.name] = time.monotonic()


def test_the_same_faults_are_injected_however_long_each_of_them_takes(tmp_path):
    """What a fault draws must not depend on when it or another one starts or ends."""
    injected = []
    for restart_s in (0.01, 4.0):
        site = ScriptedSite(tmp_path, 4, restart_s)
        injector = FaultInjector(site, random.Random(5), lambda line: None)
        run_virtual(injector.run(40.0))
        injected.append(sorted(injector.injected))
    assert injected[0] == injected[1]
    assert len(injected[0]) > 2 * len(FAULTS)


@pytest.mark.parametrize(("found", "exit_code"), [(3, 0), (2, 2)])
def test_broken_node_must_be_found_on_more_than_half_of_the_seeds(found, exit_code):
    violation = Violation("at most once", 0.0, "s1", "run again")
    outcomes = [
        Outcome(seed, 4, 20.0, 1, {}, 1, [violation] if seed < found else []) for seed in range(5)
    ]
    assert get_exit_code(outcomes, "repeats_orders") == exit_code
    assert get_exit_code(outcomes, None) == 1
