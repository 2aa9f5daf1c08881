"""Create HTTP client sessions that forward requests unchanged.

An upstream may write an answer twice. The second copy must not be taken for
the answer to the next request, so a connection on which bytes arrived that
nobody waits for, or on which a request was refused, is not used again.
"""

import asyncio
from functools import partial
from http import HTTPStatus

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from dragonflyknot.exchange import links

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
KEEPALIVE_S = 60.0

_AUTOMATIC_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class _KeptConnection(ResponseHandler):
    """A connection that counts as closed once it must not be used again.

    Where more responses arrive than were asked for, the rest is not parsed.
    """

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in parts; drop what follows many responses."""
        for part in links.split_received(data):
            if len(self) > links.MAX_QUEUED_RESPONSES:
                self.force_close()
                return
            super().data_received(part)

    def is_connected(self) -> bool:
        """Tell whether the connection may carry another request."""
        return super().is_connected() and not self.should_close


class _RelayedResponse(aiohttp.ClientResponse):
    """A response whose connection is not used again after a refusal."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head; a response without a body returns its connection."""
        protocol = connection.protocol
        response = await super().start(connection)
        is_refusal = self.status == HTTPStatus.SERVICE_UNAVAILABLE
        if is_refusal and protocol is not None:
            protocol.force_close()
        return response


def relay_session() -> aiohttp.ClientSession:
    """Return a session that forwards without decoding or retrying."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False
    )
    protocol: type[ResponseHandler] = _KeptConnection
    connector._factory = partial(protocol, loop=asyncio.get_running_loop())
    session = aiohttp.ClientSession(
        connector=connector,
        response_class=_RelayedResponse,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_AUTOMATIC_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=IDLE_TIMEOUT_S,
        ),
        read_bufsize=256 * 1024,
    )
    # aiohttp retries idempotent methods once if the connection is lost. Such
    # a retry would not count against the retry budget of the chain.
    session._retry_connection = False
    return session
