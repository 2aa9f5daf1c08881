"""Server side of HTTP/1.1 links: receive requests and write responses.

A link serves its requests one after the other, in a task of its own. If the
client disconnects, the task is cancelled.
"""

import asyncio
import socket
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any, Final, cast

import structlog
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_writer import HttpVersion10
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from dragonflyknot.exchange import links
from dragonflyknot.exchange.bodymemory import BodyMemory
from dragonflyknot.exchange.serverrequest import Request, encode_head

BACKLOG: Final = 1024
SWEEP_INTERVAL_S: Final = 1.0
# Requests of a connection that wait for their turn; after more of them, those
# are answered and the connection is closed.
MAX_PIPELINED_REQUESTS: Final = 64
MAX_DISCARDED_BYTES: Final = 4 * 1024 * 1024
BAD_GATEWAY: Final = 502
WRITE_TIMEOUT_S: Final = 20.0
_log = structlog.get_logger(__name__)


@dataclass(slots=True)
class Limits:
    """Limit the links of a listener.

    `head_bytes` bounds a header line or field, in bytes. `head_s` is the
    timeout for receiving a request head and `idle_s` that of an idle
    connection, in seconds. `memory` counts what the requests hold.
    """

    head_bytes: int = 16384
    head_s: float = 5.0
    idle_s: float = 75.0
    memory: BodyMemory = field(default_factory=BodyMemory)


Handler = Callable[[Request], Awaitable[None]]


class Server:
    """Hold the state that the links of one listener share."""

    def __init__(self, handler: Handler, limits: Limits) -> None:
        """Create a server without a listener and links."""
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self.port = 0
        self.loop = asyncio.get_running_loop()
        self._listener: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._accepting: set[asyncio.Task[Any]] = set()
        self.links: set[ServerLink] = set()

    def sweep(self, now: float) -> None:
        """Close the links that exceeded a timeout at `now`."""
        for link in tuple(self.links):
            link.close_if_timed_out(now)

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address and store its port."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        try:
            listening.bind((host, port))
            self._listener = await self.loop.create_server(
                lambda: ServerLink(self), sock=listening, backlog=BACKLOG
            )
        except BaseException:
            listening.close()
            raise
        self._socket = listening
        self.port = listening.getsockname()[1]

    def stop_listening(self) -> None:
        """Stop accepting connections; serve those that were made before.

        Connections that wait to be accepted would be reset by the close.
        """
        if self._listener is None or self._socket is None:
            return
        with suppress(OSError):
            while True:
                connection, _address = self._socket.accept()
                self._adopt(connection)
        self._listener.close()
        self._listener = None

    def _adopt(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        task = self.loop.create_task(
            self.loop.connect_accepted_socket(
                lambda: ServerLink(self), connection
            )
        )
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)

    @property
    def in_flight(self) -> int:
        """Return the number of links whose answers are not yet written."""
        return sum(link.is_busy for link in self.links)

    def abort(self) -> None:
        """Stop listening and abort all links."""
        self.stop_listening()
        for task in tuple(self._accepting):
            task.cancel()
        for link in tuple(self.links):
            link.abort()

    def close_idle(self) -> None:
        """Close the links that have no request in progress."""
        for link in tuple(self.links):
            link.close_if_idle()


class ServerLink(BaseProtocol):
    """Receive and serve requests on one connection."""

    def __init__(self, server: Server) -> None:
        """Create the request parser."""
        loop = server.loop
        limits = server.limits
        parser: Any = links.REQUEST_PARSER(
            self,
            loop,
            links.READ_LIMIT_BYTES,
            max_line_size=limits.head_bytes,
            max_headers=links.MAX_HEADERS,
            max_field_size=limits.head_bytes,
            auto_decompress=False,
        )
        super().__init__(loop, parser)
        self._reader = parser
        self.server = server
        self._requests: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._is_unusable = False
        self._last_active_at = time.monotonic()
        self._unwritten_bytes = 0
        self._is_reading_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; the event loop sets TCP_NODELAY."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.links.add(self)

    def connection_lost(self, error: BaseException | None) -> None:
        """Cancel the request in progress, as the client disconnected."""
        super().connection_lost(error)
        self.server.links.discard(self)
        self._requests.clear()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start to serve complete heads."""
        self._last_active_at = time.monotonic()
        for part in links.split_received(data):
            if self._is_unusable:
                return
            self._parse(part)

    def _parse(self, data: bytes) -> None:
        try:
            messages, is_upgraded, _tail = self._reader.feed_data(data)
        except HttpProcessingError as error:
            self._refuse_malformed(error)
            return
        for message, payload in messages:
            self._is_reading_head = False
            self._requests.append(self._request(message, payload))
        if not messages and self._task is None:
            self._is_reading_head = True
        if is_upgraded:
            self._is_unusable = True
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            self._stop_after_last()
        if self._task is None and self._requests:
            self._task = self._loop.create_task(self._run())

    def _stop_after_last(self) -> None:
        """Read no more requests; close the connection after those that wait.

        Their bodies are whole, as a request that has been dropped followed.
        """
        while len(self._requests) > MAX_PIPELINED_REQUESTS:
            self._requests.pop()
        self._requests[-1].is_keep_alive = False
        self._is_unusable = True
        _log.info('pipeline_too_long')

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress or an answer unwritten."""
        if self._task is not None:
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def serving_task(self) -> 'asyncio.Task[None]':
        """Return the task that serves the request in progress.

        Raise RuntimeError if there is none.
        """
        if self._task is None:
            raise RuntimeError('No request is in progress on this link.')
        return self._task

    def send_continue(self, request: Request) -> None:
        """Send `100 Continue` if the client expects it."""
        expects = request.head.get(b'expect')
        if expects is not None and not request.reader.is_eof():
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def write(self, content: bytes) -> None:
        """Write to the client, unless it disconnected."""
        if self.transport is not None:
            self._last_active_at = time.monotonic()
            self.transport.write(content)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._drain_helper()

    def abort(self) -> None:
        """Abort the connection, so that the client sees an error."""
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self._task is None and self.transport is not None:
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if it exceeded a timeout at `now`.

        A request in progress is aborted only if its client stopped reading.
        """
        self._record_progress(now)
        inactive_s = now - self._last_active_at
        limits = self.server.limits
        if self._task is not None:
            if self._paused and inactive_s > WRITE_TIMEOUT_S:
                self.abort()
            return
        limit_s = limits.head_s if self._is_reading_head else limits.idle_s
        if inactive_s > limit_s:
            self.close_if_idle()

    def _record_progress(self, now: float) -> None:
        """Record as activity that the client has read since the last call."""
        transport = self.transport
        if transport is None or not self._paused:
            return
        unwritten_bytes = transport.get_write_buffer_size()
        if unwritten_bytes < self._unwritten_bytes:
            self._last_active_at = now
        self._unwritten_bytes = unwritten_bytes

    def _request(self, message: Any, payload: StreamReader) -> Request:
        target: str = message.path
        return Request(
            method=message.method,
            target=target.encode('utf-8', 'surrogateescape'),
            lines=message.raw_headers,
            head=links.index_headers(message.raw_headers),
            reader=payload,
            link=self,
            is_keep_alive=not message.should_close
            and message.version != HttpVersion10,
            arrived_at=self._last_active_at,
        )

    async def _run(self) -> None:
        try:
            while self._requests:
                with self.server.limits.memory.counting():
                    await self._serve(self._requests.popleft())
        finally:
            self._task = None

    async def _serve(self, request: Request) -> None:
        try:
            await self.server.handler(request)
        except Exception:
            _log.exception('request_failed', target=str(request.target))
            self._answer_failed(request)
        if not request.is_answered:
            self.abort()
            return
        if request.reader is not EMPTY_PAYLOAD:
            await self._discard(request)
        if self._paused:
            # An answer counts as held until the client has read most of it.
            with suppress(ConnectionError):
                await self.drain()
        if not request.is_keep_alive and self.transport is not None:
            # Requests behind the last answer of a connection must not run.
            self._requests.clear()
            self.transport.close()

    def _answer_failed(self, request: Request) -> None:
        """Answer that it is unknown whether a request ran, and close."""
        if request.is_answered:
            self.abort()
            return
        request.is_keep_alive = False
        request.respond(BAD_GATEWAY, ())

    async def _discard(self, request: Request) -> None:
        """Read the rest of the request body, up to a limit.

        Closing the connection with unread data would reset it, and the client
        could lose the response.
        """
        remaining = MAX_DISCARDED_BYTES
        try:
            while remaining > 0 and not request.reader.at_eof():
                remaining -= len(await request.reader.readany())
        except Exception as error:
            _log.debug('request_body_incomplete', error=type(error).__name__)
            remaining = 0
        if remaining <= 0:
            request.is_keep_alive = False

    def _refuse_malformed(self, error: HttpProcessingError) -> None:
        self._is_unusable = True
        _log.info('request_malformed', error=type(error).__name__)
        if self._task is not None:
            self._task.cancel()
            self.abort()
            return
        status = error.code if error.code in {400, 413, 431} else 400
        lines = (b'Content-Length: 0\r\n',)
        self.write(encode_head(status, lines, b'Connection: close\r\n\r\n'))
        if self.transport is not None:
            self.transport.close()


@asynccontextmanager
async def serving(
    host: str, port: int, handler: Handler, limits: Limits | None = None
) -> AsyncIterator[Server]:
    """Listen on an address; abort its links on exit.

    Port 0 selects a free port; `Server.port` holds it.
    """
    server = Server(handler, limits or Limits())
    await server.listen(host, port)
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
