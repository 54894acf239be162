"""The soak's own checks, and a short run of it."""

from __future__ import annotations

import asyncio
import time

import pytest
from soak.guarantees import LEFT_S, GuaranteeChecker, SentRequest
from soak.proxy import Proxy, ProxyFault
from soak.run import soak
from soak.site import Site, SoakHost
from users_platform import InstanceStandin, Run

CI_SEED = 7
CI_HOSTS = 3
CI_SECONDS = 5.0


@pytest.fixture
def promises(tmp_path):
    site = Site(tmp_path)
    nowhere = [Proxy("127.0.0.1", 1) for _ in range(3)]
    host = SoakHost(0, "127.0.0.1", tmp_path, InstanceStandin("i-0.1"), *nowhere)
    site.hosts.append(host)
    return GuaranteeChecker(site)


def ask(promises, request="s1", may_repeat=False, **more):
    asked = SentRequest(request, may_repeat, 0, time.monotonic(), **more)
    promises.request_by_id[request] = asked
    return asked


def run_at(promises, request="s1", at=None, instance="i-0.1"):
    run = Run("POST", b"/order/1", {b"request-id": request.encode()}, b"", instance)
    run.at = time.monotonic() if at is None else at
    promises.site.hosts[0].instance.runs.append(run)


def broken(promises):
    promises.check_end()
    return {one.guarantee for one in promises.violations}


def test_a_whole_answer_of_ones_own_is_fine(promises):
    asked = ask(promises)
    run_at(promises)
    promises.check_response(asked, 200, "s1", b"answer to s1")
    assert broken(promises) == set()


@pytest.mark.parametrize(
    ("request_id", "body", "promise"),
    [("s2", b"answer to s1", "own answer"), ("s1", b"answer to", "whole answer")],
)
def test_foreign_and_short_answers_are_found(promises, request_id, body, promise):
    promises.check_response(ask(promises), 200, request_id, body)
    assert broken(promises) == {promise}


def test_an_order_that_runs_twice_is_found_but_not_a_lookup(promises):
    ask(promises, "s1")
    ask(promises, "s2", may_repeat=True)
    for request in ("s1", "s1", "s2", "s2"):
        run_at(promises, request)
    promises.check_runs()
    assert [(one.guarantee, one.request) for one in promises.violations] == [("at most once", "s1")]


def test_a_run_that_nobody_asked_for_is_found(promises):
    run_at(promises, "s9")
    assert broken(promises) == {"nothing unasked"}


def test_a_false_not_run_is_found_even_if_the_run_comes_later(promises):
    promises.check_response(ask(promises), 503, "s1", b"")
    run_at(promises)
    assert broken(promises) == {"not run is true"}


@pytest.mark.parametrize(("later_s", "found"), [(-0.1, set()), (0.1, {"nothing after leaving"})])
def test_work_after_the_leaving_is_found(promises, later_s, found):
    ask(promises)
    promises.site.left_at["i-0.1"] = 100.0
    run_at(promises, at=100.0 + LEFT_S + later_s)
    assert broken(promises) == found


def test_a_cut_on_a_calm_host_is_found_and_one_after_harm_is_not(promises, monkeypatch):
    monkeypatch.setattr(SoakHost, "is_running", True)
    host = promises.site.hosts[0]
    promises.check_cut(ask(promises, "s1"), host, ConnectionResetError())
    host.mark_disturbed()
    promises.check_cut(ask(promises, "s2"), host, ConnectionResetError())
    assert [(one.guarantee, one.request) for one in promises.violations] == [("nothing cut", "s1")]


@pytest.mark.parametrize(
    ("ran", "took_s", "found"),
    [(False, 0.1, set()), (True, 0.1, {"nothing cut"}), (False, 0.5, {"nothing cut"})],
)
def test_a_stop_may_cut_only_what_crossed_the_close(promises, ran, took_s, found):
    host = promises.site.hosts[0]
    host.stopping_at = time.monotonic()
    asked = ask(promises)
    promises.check_cut(asked, host, ConnectionResetError())
    asked.ended_at = asked.sent_at + took_s
    if ran:
        run_at(promises)
    assert broken(promises) == found


def test_a_document_that_goes_back_is_found(promises):
    host = promises.site.hosts[0]
    host.start_count = 1
    promises.check_version(host, 1, 4, True)
    promises.check_version(host, 2, 4, False)
    assert broken(promises) == set()
    promises.check_version(host, 1, 4, False)
    assert broken(promises) == {"never an older document"}


def test_second_sends_beyond_the_budget_are_found(promises):
    for number in range(10):
        ask(promises, f"s{number}", may_repeat=True)
    for number in range(10):
        run_at(promises, f"s{number}")
        run_at(promises, f"s{number}")
    assert broken(promises) == {"budget"}


async def test_a_proxy_passes_on_mutes_and_resets():
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


async def test_an_instance_that_leaves_says_so_with_its_health_too(promises):
    site, host = promises.site, promises.site.hosts[0]
    site.leave(host)
    assert not host.instance.script.healthy
    await site.replace_instance(host)
    assert (host.instance.name, host.instance.script.healthy) == ("i-0.2", True)


async def test_a_short_run_keeps_all_promises(tmp_path):
    outcome = await soak(CI_SEED, CI_HOSTS, CI_SECONDS, tmp_path)
    assert outcome.violations == [], outcome.text()
    assert outcome.statuses[200] > 0


async def test_a_broken_node_is_found(tmp_path):
    outcome = await soak(CI_SEED, 2, 2.0, tmp_path, broken="mixed_answers")
    assert "whole answer" in {one.guarantee for one in outcome.violations}
