"""Callers of a host: they keep using an open connection until the node's process has exited."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

import aiohttp

from peridottrack.exceptions import BrokeOff, NotConnected
from peridottrack.filters.dispatch import send_once
from soak.guarantees import GuaranteeChecker, SentRequest
from soak.site import Site, SoakHost

PAUSE_S = (0.01, 0.08)
"""Bounds of the pause between two requests of a caller."""
ORDER_SHARE = 0.3
"""Share of requests that must run at most once."""
NEWEST_ROUTE_SHARE = 0.1
"""Share of requests on the route that the newest document added."""
DEADLINE_S = 2.0
"""Deadline that callers send with each request."""
CLIENT_TIMEOUT_S = 12.0
"""Time after which a caller abandons a request, so that a run always ends."""

_numbers = itertools.count(1)


class Caller:
    """Sends requests one after the other over one persistent connection."""

    def __init__(
        self, site: Site, host: SoakHost, checker: GuaranteeChecker, rng: random.Random
    ) -> None:
        self._site = site
        self._host = host
        self._checker = checker
        self._rng = rng

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with self.session() as session:
            while True:
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
                # Callers open connections only to nodes that report themselves ready, which a
                # stopped or frozen node does not.
                if self._host.is_running and not self._host.frozen:
                    await self.send(session)

    def session(self) -> aiohttp.ClientSession:
        """Return a session with at most one connection."""
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=60),
            timeout=aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S),
            auto_decompress=False,
            # aiohttp would retry a request whose connection broke, unnoticed by the checker.
            middlewares=(send_once,),
        )

    async def send(self, session: aiohttp.ClientSession) -> int | None:
        """Send one request; return the status of its response, None without a response."""
        draw = self._rng.random()
        if draw < ORDER_SHARE:
            return await self._send(session, "POST", f"/order/{next(_numbers)}")
        if draw < ORDER_SHARE + NEWEST_ROUTE_SHARE:
            return await self.send_on_newest_route(session)
        return await self._send(session, "GET", f"/stock/{next(_numbers)}")

    async def send_on_newest_route(self, session: aiohttp.ClientSession) -> int | None:
        """Send a request on the route that the newest document added."""
        host, version, start_count = self._host, self._site.version, self._host.start_count
        status = await self._send(session, "GET", f"/v{version}/x")
        if status is not None and status != 503:
            self._checker.check_version(host, start_count, version, status != 404)
        return status

    async def _send(self, session: aiohttp.ClientSession, method: str, path: str) -> int | None:
        host, request_id = self._host, f"s{next(_numbers)}"
        sent = SentRequest(request_id, method == "GET", host.number, time.monotonic())
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Request-Deadline": str(int(DEADLINE_S * 1000)),
        }
        self._checker.request_by_id[request_id] = sent
        url = self._site.callers_url(host) + path
        try:
            async with session.request(method, url, headers=headers) as response:
                body = await response.read()
        except NotConnected:
            # The request was not sent: a real caller would try the next node.
            sent.ended_at, sent.excused = time.monotonic(), True
            return None
        except (BrokeOff, aiohttp.ClientError, TimeoutError) as error:
            self._checker.check_cut(sent, host, error)
            return None
        self._checker.check_response(
            sent, response.status, response.headers.get("Request-Id", ""), body
        )
        return response.status
