"""Open the HTTP listeners of the project's own interface.

The low-level server is used, without an application and its router, since
every request goes to one handler. A handler is cancelled when its client
goes away.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from aiohttp import web

from dragonflyknot.daemon.settings import split_address
from dragonflyknot.daemon.webhandler import Shared, WebHandler
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.acceptor import Acceptor
from dragonflyknot.exchange.clientmemory import ClientMemory
from dragonflyknot.exchange.departures import DepartureWatch
from dragonflyknot.exchange.linkset import LinkSet
from dragonflyknot.exchange.parsequeue import ParseQueue
from dragonflyknot.exchange.refusing import Refused, refusal_response

KEEPALIVE_S: Final = 75.0
LINGER_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 1.0
RETRY_AFTER_S: Final = 1.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def listening(
    address: str, handler: Handler, memory: ClientMemory, max_links: int
) -> AsyncIterator[web.ServerRunner]:
    """Serve a handler on an address (IP:port) until the context ends.

    What the connections hold counts in `memory`; at most `max_links` are open.
    """
    loop = asyncio.get_running_loop()
    shared = Shared(
        LinkSet(max_links, memory),
        memory,
        ParseQueue(loop),
        DepartureWatch(loop),
    )
    server = _BoundedServer(_refusing_when_full(handler, memory), shared)
    runner = web.ServerRunner(server, handle_signals=False)
    acceptor = Acceptor(loop, server, shared.links)
    async with AsyncExitStack() as stack:
        stack.callback(shared.departures.close)
        stack.push_async_callback(runner.cleanup)
        await runner.setup()
        stack.callback(acceptor.abort)
        stack.callback(loop.create_task(_sweep(shared)).cancel)
        acceptor.listen(*split_address(address))
        yield runner


class _BoundedServer(web.Server):
    """Make handlers that count what their connections hold."""

    def __init__(self, handler: Handler, shared: Shared) -> None:
        """Serve a handler on connections that share bounds."""
        super().__init__(handler, handler_cancellation=True)
        self._shared = shared

    def __call__(self) -> WebHandler:
        """Return the handler of one new connection."""
        return WebHandler(
            self,
            asyncio.get_running_loop(),
            self._shared,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=LINGER_S,
            access_log=None,
        )


def _refusing_when_full(handler: Handler, memory: ClientMemory) -> Handler:
    """Return a handler that refuses while the process holds too much."""

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        if memory.has_room():
            return await handler(request)
        return refusal_response(Refused(Refusal.SHED, RETRY_AFTER_S), '', '')

    return serve


async def _sweep(shared: Shared) -> None:
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        now = time.monotonic()
        for link in shared.links:
            link.close_if_timed_out(now)
