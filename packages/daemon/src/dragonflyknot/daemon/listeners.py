"""Open the HTTP listeners of a daemon.

The low-level server is used, without an application and its router, since
every request goes to one handler. A handler is cancelled when its client
goes away.
"""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from aiohttp import web

from dragonflyknot.daemon.settings import split_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEEPALIVE_S = 75.0
LINGER_S = 1.0
BACKLOG_CONNECTIONS = 1024
MAX_HEADER_BYTES = 16 * 1024

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def listening(
    address: str, handler: Handler
) -> 'AsyncIterator[web.ServerRunner]':
    """Serve a handler on an address (IP:port) until the context ends."""
    server = web.Server(
        handler,
        handler_cancellation=True,
        keepalive_timeout=KEEPALIVE_S,
        lingering_time=LINGER_S,
        access_log=None,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    runner = web.ServerRunner(server, handle_signals=False)
    await runner.setup()
    try:
        await _start(runner, address)
        yield runner
    finally:
        await runner.cleanup()


async def stop_accepting(runner: web.ServerRunner) -> None:
    """Close the listening sockets; connections stay open."""
    for site in tuple(runner.sites):
        await site.stop()


async def _start(runner: web.ServerRunner, address: str) -> None:
    number, port = split_address(address)
    site = web.TCPSite(
        runner, number, port, backlog=BACKLOG_CONNECTIONS, reuse_address=True
    )
    await site.start()
