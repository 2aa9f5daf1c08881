"""Listeners of HTTP/1.1 links and what the links of a listener share."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

from dragonflyknot.exchange.acceptor import Acceptor
from dragonflyknot.exchange.clientmemory import ClientMemory
from dragonflyknot.exchange.departures import DepartureWatch
from dragonflyknot.exchange.linkset import LinkSet
from dragonflyknot.exchange.parsequeue import ParseQueue
from dragonflyknot.exchange.serverlink import ServerLink
from dragonflyknot.exchange.serverrequest import Request

SWEEP_INTERVAL_S: Final = 1.0
DEFAULT_MAX_LINKS: Final = 1700


@dataclass(slots=True)
class Limits:
    """Limit the links of a listener.

    `head_bytes` bounds a header line or field in bytes, and a head at twice
    that. `head_s` is the timeout for receiving a request head, `body_s` that
    for receiving a body, and `idle_s` that of an idle connection and of a body
    of which nothing arrives, in seconds. `max_links` bounds the connections.
    `memory` counts what the links hold.
    """

    head_bytes: int = 16384
    head_s: float = 5.0
    body_s: float = float('inf')
    idle_s: float = 75.0
    max_links: int = DEFAULT_MAX_LINKS
    memory: ClientMemory = field(default_factory=ClientMemory)


Handler = Callable[[Request], Awaitable[None]]


class Server:
    """Hold the state that the links of one listener share."""

    def __init__(self, handler: Handler, limits: Limits) -> None:
        """Create a server without a listener and links."""
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self.loop = asyncio.get_running_loop()
        self.parse_queue = ParseQueue(self.loop)
        self.departures = DepartureWatch(self.loop)
        self.links: LinkSet[ServerLink] = LinkSet(
            limits.max_links, limits.memory
        )
        self._acceptor = Acceptor(
            self.loop, lambda: ServerLink(self), self.links
        )

    @property
    def port(self) -> int:
        """Return the port, 0 before the server listens."""
        return self._acceptor.port

    def sweep(self, now: float) -> None:
        """Close the links that exceeded a timeout at `now`."""
        for link in self.links:
            link.close_if_timed_out(now)

    def listen(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        self._acceptor.listen(host, port)

    def stop_listening(self) -> None:
        """Stop accepting connections; serve those that were made before."""
        self._acceptor.stop()

    @property
    def in_flight(self) -> int:
        """Return the number of links whose answers are not yet written."""
        return sum(link.is_busy for link in self.links)

    def abort(self) -> None:
        """Stop listening and abort all links."""
        self._acceptor.abort()
        self.departures.close()
        for link in self.links:
            link.abort()

    def close_idle(self) -> None:
        """Close the links that have no request in progress."""
        for link in self.links:
            link.close_if_idle()


@asynccontextmanager
async def serving(
    host: str, port: int, handler: Handler, limits: Limits | None = None
) -> AsyncIterator[Server]:
    """Listen on an address; abort its links on exit.

    Port 0 selects a free port; `Server.port` holds it.
    """
    server = Server(handler, limits or Limits())
    server.listen(host, port)
    sweeper = server.loop.create_task(_sweep(server))
    try:
        yield server
    finally:
        sweeper.cancel()
        server.abort()


async def _sweep(server: Server) -> None:
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        server.sweep(time.monotonic())
