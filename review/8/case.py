"""A node gets SIGTERM while clients pipeline requests on the connections that they keep."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from world import HOST_NAME, World, document, read_answer, run_case  # noqa: E402

SLOTS = 12
CLIENTS = 12
SENT_AFTER_S = 0.3
"""Seconds from SIGTERM until the clients send: the platform notices only after two seconds that the
node is not ready, and until then clients send it new work."""
DEADLINE_MS = 5000
HOSTS = [
    ("a1", "catalogue", "za-north-a"),
    ("c1", "history", "za-north-b"),
    ("c2", "history", "za-north-c"),
]
ROUTE = ["order-history", "/history/", "idempotent", 2.5, 1.2, 2, 2, "history"]


@dataclass
class Pipelined:
    """A request of a client that sent two at a time on a connection.

    Parameters
    ----------
    behind
        Whether it is the second one.
    """

    request_id: str
    behind: bool
    outcome: str = "closed"
    took_s: float = 0.0


class Client:
    """A client that keeps a connection and sends two requests on it before the first answer."""

    def __init__(self, world: World, number: int) -> None:
        self._world, self._number, self._sent = world, number, 0

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self._world.hosts[0].address("callers").rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def send_two(self) -> list[Pipelined]:
        """Send two requests and read what is answered, until the connection ends."""
        pair, data = [], b""
        for behind in (False, True):
            self._sent += 1
            request_id = f"{self._number:04x}{self._sent:04x}"
            pair.append(Pipelined(request_id, behind))
            work_ms = 420 + 20 * (self._number % 6)
            data += (
                f"GET /history/orders/{work_ms}/900 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                f"Request-Id: {request_id}\r\nRequest-Deadline: {DEADLINE_MS}\r\n\r\n"
            ).encode()
            self._world.record.write("sent", id=request_id, behind=behind)
        sent_at = time.monotonic()
        self._writer.write(data)
        for one in pair:
            try:
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + 5):
                    status, headers, _ = await read_answer(self._reader)
                assert headers.get("request-id") == one.request_id
                one.outcome = str(status)
            except TimeoutError:
                one.outcome = "timeout"
            except (OSError, asyncio.IncompleteReadError):
                one.outcome = "closed"
            one.took_s = round(time.monotonic() - sent_at, 3)
            self._world.record.write(
                "answered", id=one.request_id, outcome=one.outcome, s=one.took_s
            )
        return pair


async def main(world: World, trouble: bool) -> int:
    """Run the case; return the exit code."""
    await world.start(HOSTS, SLOTS, document(7, [ROUTE], ["catalogue", "history"]))
    a1, *others = world.hosts
    await world.wait_ready()
    await asyncio.sleep(2)
    clients = [Client(world, number) for number in range(CLIENTS)]
    await asyncio.gather(*(client.connect() for client in clients))
    calm = [one for client in clients for one in await client.send_two()]
    if trouble:
        a1.terminating = True
        world.signal(a1, signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    pairs = await asyncio.gather(*(client.send_two() for client in clients))
    sent = [one for pair in pairs for one in pair]
    runs = others[0].instance.runs | others[1].instance.runs
    # Passed on to a sound instance, and the connection ended without an answer.
    lost = [one for one in sent if one.outcome == "closed" and one.request_id in runs]
    broken = bool(lost)
    result = {
        "trouble": trouble,
        "before": Counter(one.outcome for one in calm),
        "first": Counter(one.outcome for one in sent if not one.behind),
        "behind": Counter(one.outcome for one in sent if one.behind),
        "passed_on_and_closed": len(lost),
        "their_runs": Counter(run.ended for one in lost for run in runs[one.request_id]),
        "closed_s_after_sending": sorted(one.took_s for one in lost),
        "broken": broken,
    }
    world.record.write("result", json=json.dumps(result))
    print(json.dumps(result))
    return 1 if broken else 0


run_case(main)
