"""A minimal HTTP relay, the baseline of ``bench.hop``.

It forwards each request to one upstream without routes, limits, deadlines or retries, and so shows
how much of a hop's cost comes from the HTTP library itself.
"""

from __future__ import annotations

import asyncio
import sys

import aiohttp
from aiohttp import web


async def run(listen_port: int, upstream: str) -> None:
    """Forward requests to the upstream until the process ends."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def forward(request: web.BaseRequest) -> web.Response:
            body = await request.read()
            async with session.request(request.method, upstream, data=body) as response:
                return web.Response(status=response.status, body=await response.read())

        runner = web.ServerRunner(web.Server(forward, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", listen_port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), sys.argv[2]))
