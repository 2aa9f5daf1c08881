"""Open the HTTP listeners of a daemon.

The low-level server is used, without an application and its router, since
every request goes to one handler. A handler is cancelled when its client
goes away.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import structlog
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dragonflyknot.daemon.settings import split_address
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.refusing import Refused, refusal_response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEEPALIVE_S = 75.0
LINGER_S = 1.0
BACKLOG_CONNECTIONS = 1024
MAX_HEADER_BYTES = 16 * 1024
_SERVER_ERROR = 500

_log = structlog.get_logger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def listening(
    address: str, handler: Handler
) -> 'AsyncIterator[web.ServerRunner]':
    """Serve a handler on an address (IP:port) until the context ends."""
    server = _RefusingServer(
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


class _RefusingHandler(RequestHandler):
    """Answer what the HTTP parser refuses as any other refusal."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the refusal of a bad request or of an internal error."""
        if status < _SERVER_ERROR:
            refused = Refused(Refusal.MALFORMED)
        else:
            _log.error('handler_failed', exc_info=exc)
            refused = Refused(Refusal.UPSTREAM_BROKE)
        response = refusal_response(refused, '', '')
        response.force_close()
        return response


class _RefusingServer(web.Server):
    """Make handlers that answer in the format of refusals."""

    def __call__(self) -> RequestHandler:
        """Return the handler of one new connection."""
        return _RefusingHandler(
            self, loop=asyncio.get_running_loop(), **self._kwargs
        )


async def _start(runner: web.ServerRunner, address: str) -> None:
    number, port = split_address(address)
    site = web.TCPSite(
        runner, number, port, backlog=BACKLOG_CONNECTIONS, reuse_address=True
    )
    await site.start()
