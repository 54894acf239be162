"""A bare relay: the least that the HTTP library can do between a caller and an upstream.

It has no routes, limits, deadlines or retries, and shows what of a hop's cost is the library's.
"""

from __future__ import annotations

import asyncio
import sys

import aiohttp
from aiohttp import web


async def run(listen_port: int, upstream: str) -> None:
    """Relay until the process ends."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def relay(request: web.BaseRequest) -> web.Response:
            body = await request.read()
            async with session.request(request.method, upstream, data=body) as answer:
                return web.Response(status=answer.status, body=await answer.read())

        runner = web.ServerRunner(web.Server(relay, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", listen_port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), sys.argv[2]))
