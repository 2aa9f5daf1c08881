"""Forward every request to one address and decide nothing.

Two of these in a row are the baseline for the time that the daemons add.
"""

import argparse
import asyncio

import aiohttp
import uvloop
from aiohttp import web

from dragonflyknot.exchange.sessions import relay_session


async def serve(listen: str, target: str) -> None:
    """Forward what arrives on an address (IP:port) until cancelled."""
    async with relay_session() as session:

        async def forward(request: web.BaseRequest) -> web.StreamResponse:
            return await _forward(session, target, request)

        runner = web.ServerRunner(web.Server(forward, access_log=None))
        await runner.setup()
        number, _, port = listen.rpartition(':')
        await web.TCPSite(runner, number, int(port)).start()
        await asyncio.Event().wait()


async def _forward(
    session: aiohttp.ClientSession, target: str, request: web.BaseRequest
) -> web.StreamResponse:
    async with session.request(
        request.method,
        f'http://{target}{request.raw_path}',
        headers=request.headers,
        data=await request.read() or None,
    ) as answer:
        body = await answer.read()
        return web.Response(
            status=answer.status, headers=answer.headers, body=body
        )


def main() -> None:
    """Read the addresses and serve."""
    parser = argparse.ArgumentParser(prog='bareforward')
    parser.add_argument('--listen', required=True)
    parser.add_argument('--target', required=True)
    flags = parser.parse_args()
    uvloop.run(serve(flags.listen, flags.target))


if __name__ == '__main__':
    main()
