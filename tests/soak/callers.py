"""Callers of a host: they go on using an open connection until the process is gone."""

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
"""Share of requests that must not run twice."""
VERSION_SHARE = 0.1
"""Share of requests on the route of the newest document."""
DEADLINE_S = 2.0
"""What callers tell that they wait."""
OUTER_S = 12.0
"""Time after which a caller leaves, so that a run always ends."""

_numbers = itertools.count(1)


class Caller:
    """Sends one request after the other on one kept connection."""

    def __init__(
        self, site: Site, host: SoakHost, promises: GuaranteeChecker, rng: random.Random
    ) -> None:
        self._site = site
        self._host = host
        self._promises = promises
        self._rng = rng

    async def run(self) -> None:
        """Send until cancelled."""
        async with self.session() as session:
            while True:
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
                # New connections are made to nodes that say that they are ready.
                if self._host.is_running and not self._host.frozen:
                    await self.send(session)

    def session(self) -> aiohttp.ClientSession:
        """Return a session with one connection."""
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=60),
            timeout=aiohttp.ClientTimeout(total=OUTER_S),
            auto_decompress=False,
            # The library would send what broke off a second time, out of sight.
            middlewares=(send_once,),
        )

    async def send(self, session: aiohttp.ClientSession) -> int | None:
        """Send one request; return the status of its answer."""
        draw = self._rng.random()
        if draw < ORDER_SHARE:
            return await self._ask(session, "POST", f"/order/{next(_numbers)}")
        if draw < ORDER_SHARE + VERSION_SHARE:
            return await self.send_version(session)
        return await self._ask(session, "GET", f"/stock/{next(_numbers)}")

    async def send_version(self, session: aiohttp.ClientSession) -> int | None:
        """Send a request on the route that the newest document brought."""
        host, version, life = self._host, self._site.version, self._host.start_count
        status = await self._ask(session, "GET", f"/v{version}/x")
        if status is not None and status != 503:
            self._promises.check_version(host, life, version, status != 404)
        return status

    async def _ask(self, session: aiohttp.ClientSession, method: str, path: str) -> int | None:
        host, request = self._host, f"s{next(_numbers)}"
        asked = SentRequest(request, method == "GET", host.number, time.monotonic())
        headers = {
            "Host": "shop.example",
            "Request-Id": request,
            "Request-Deadline": str(int(DEADLINE_S * 1000)),
        }
        self._promises.request_by_id[request] = asked
        url = self._site.callers_url(host) + path
        try:
            async with session.request(method, url, headers=headers) as answer:
                body = await answer.read()
        except NotConnected:
            # Never sent: the caller goes to the next node.
            asked.ended_at, asked.excused = time.monotonic(), True
            return None
        except (BrokeOff, aiohttp.ClientError, TimeoutError) as error:
            self._promises.check_cut(asked, host, error)
            return None
        self._promises.check_response(
            asked, answer.status, answer.headers.get("Request-Id", ""), body
        )
        return answer.status
