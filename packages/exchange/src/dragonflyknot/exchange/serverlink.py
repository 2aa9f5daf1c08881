"""Server side of HTTP/1.1 links: serve requests and write responses.

A link serves its requests one after the other, each in a task. If the client
disconnects, the task is cancelled.
"""

import asyncio
import socket
import struct
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Final, cast

import structlog
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from dragonflyknot.exchange import links
from dragonflyknot.exchange.bodyreader import BodyReader
from dragonflyknot.exchange.clientmemory import HeldBytes
from dragonflyknot.exchange.linkaccount import LinkAccount
from dragonflyknot.exchange.requestheads import HeadParser, RequestHead
from dragonflyknot.exchange.requestreceiver import RequestReceiver
from dragonflyknot.exchange.serverrequest import Request, encode_head

if TYPE_CHECKING:
    from dragonflyknot.exchange.listener import Server

# Requests that a client sends while the one before is served; after more of
# them in a row, the connection is closed.
MAX_PIPELINED_REQUESTS: Final = 64
MAX_DISCARDED_BYTES: Final = 4 * 1024 * 1024
# Time for a client to read the last answer while it still sends.
LINGER_S: Final = 2.0
BAD_GATEWAY: Final = 502
WRITE_TIMEOUT_S: Final = 20.0
# What the objects of a link take, in bytes.
LINK_BYTES: Final = 8 * 1024
MAX_UNSENT_BYTES: Final = 32 * 1024
# Linger for no time: drop what was not sent, and reset.
_RESET: Final = struct.pack('ii', 1, 0)
_log = structlog.get_logger(__name__)


class ServerLink(BaseProtocol):
    """Serve the requests of one connection.

    `ends_body_by_close` tells that only a reset shows that a body was cut.
    """

    def __init__(self, server: 'Server') -> None:
        """Create a link; it takes part once its connection is made."""
        super().__init__(server.loop)
        self.server = server
        self.ends_body_by_close = False
        self._receiver = RequestReceiver(
            self,
            HeadParser(self, server.loop),
            server.loop,
            server.parse_queue,
        )
        self._account = LinkAccount(server.limits.memory)
        self._task: asyncio.Task[None] | None = None
        self._held: HeldBytes | None = None
        self._is_ending = False
        self._pipelined = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; the event loop sets TCP_NODELAY."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.server.links.add(self)
        self._recount()

    def connection_lost(self, error: BaseException | None) -> None:
        """Cancel the request in progress, as the client disconnected."""
        super().connection_lost(error)
        self._receiver.close(links.BodyBroken())
        if self._task is not None:
            self._task.cancel()
        self._account.count(0)
        self.server.links.remove(self)
        self.server.departures.remove(self)

    def data_received(self, data: bytes) -> None:
        """Take in received bytes."""
        now = time.monotonic()
        self._account.record_received(len(data), now)
        is_first = not (self.is_serving or self._receiver.is_reading_head)
        if is_first and not self._is_ending:
            self._receiver.is_reading_head = True
            self._account.begin_wait(now)
        self._receiver.take(data)

    @property
    def head_line_bytes(self) -> int:
        """Return the most bytes of a line of a head."""
        return self.server.limits.head_bytes

    def begin(self, head: RequestHead, body: BodyReader | None) -> None:
        """Begin to serve a request whose head has arrived."""
        arrived_at = self._account.last_active_at
        self._account.begin_wait(arrived_at)
        is_last = head.is_last or self._receiver.is_at_end
        if self._pipelined >= MAX_PIPELINED_REQUESTS:
            _log.info('pipeline_too_long')
            is_last = True
        request = Request(
            method=head.method,
            target=head.target,
            lines=head.lines,
            head=head.by_name,
            reader=EMPTY_PAYLOAD if body is None else body,
            link=self,
            is_keep_alive=head.is_keep_alive and not is_last,
            arrived_at=arrived_at,
            takes_chunks=head.takes_chunks,
        )
        self._task = self._loop.create_task(self._run(request))

    def settle(self, *, may_read: bool) -> None:
        """Count what is held; read on, or stop reading."""
        self._recount()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if may_read:
            self._read_on(transport)
        elif not self._reading_paused:
            self._reading_paused = True
            transport.pause_reading()
            self.server.departures.add(self)

    def refuse(self, error: Exception) -> None:
        """Refuse what cannot be parsed, and close."""
        _log.info('request_malformed', error=type(error).__name__)
        if self._task is not None:
            self._task.cancel()
            self.abort()
            return
        code = error.code if isinstance(error, HttpProcessingError) else 400
        status = code if code in {400, 413, 431} else 400
        lines = (b'Content-Length: 0\r\n',)
        self.write(encode_head(status, lines, b'Connection: close\r\n\r\n'))
        self._end()

    @property
    def is_serving(self) -> bool:
        """Return whether a request is in progress."""
        return self._task is not None

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

    @property
    def held_bytes(self) -> int:
        """Return all that is counted for this link, in bytes."""
        if self._held is None:
            return self._account.held_bytes
        return self._account.held_bytes + self._held.count

    @property
    def waiting_since(self) -> float | None:
        """Return since when this link waits for its client.

        In seconds of the monotonic clock; None if the client waits.
        """
        is_waiting = self._task is None or self._is_ending or self._paused
        if is_waiting or self._awaits_body:
            return self._account.waiting_since
        return None

    @property
    def moved_bytes(self) -> int:
        """Return the bytes received, or read by the client, in this wait."""
        body = self._receiver.body
        if body is not None and self._awaits_body and not self._paused:
            return body.received_bytes
        return self._account.moved_bytes

    def send_continue(self, request: Request) -> None:
        """Send `100 Continue` if the client expects it."""
        expects = request.head.get(b'expect')
        if expects is not None and not request.reader.is_eof():
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def write(self, content: bytes) -> None:
        """Write to the client, unless it disconnected."""
        if self.transport is not None:
            self._account.last_active_at = time.monotonic()
            self.transport.write(content)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._drain_helper()

    def pause_writing(self) -> None:
        """Wait for the client, which doesn't read as fast as it is sent to."""
        super().pause_writing()
        self._account.begin_wait(time.monotonic())

    def abort(self) -> None:
        """Abort the connection, so that the client sees an error."""
        if self.transport is None:
            return
        if self.ends_body_by_close:
            # A plain close would look like the end of the body.
            connection = self.transport.get_extra_info('socket')
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()

    def fileno(self) -> int:
        """Return the descriptor of the connection, negative if closed."""
        if self.transport is None:
            return -1
        return int(self.transport.get_extra_info('socket').fileno())

    def client_left(self) -> None:
        """End the request in progress, as the client has disconnected."""
        self.abort()

    def close_for_room(self) -> None:
        """Close the connection, as others need what it holds."""
        if self._task is None and not self._receiver.is_reading_head:
            self.close_if_idle()
        else:
            _log.info('link_closed_for_room', held_bytes=self.held_bytes)
            self.abort()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self._task is None and self.transport is not None:
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if it exceeded a timeout at `now`.

        A request in progress is aborted only if its client stopped reading,
        or stopped sending the body.
        """
        transport = self.transport
        if transport is not None and self._paused:
            unwritten_bytes = transport.get_write_buffer_size()
            self._account.record_unwritten(unwritten_bytes, now)
        self._recount()
        inactive_s = now - self._account.last_active_at
        waited_s = now - self._account.waiting_since
        if self._is_ending:
            if waited_s > LINGER_S:
                self.abort()
        elif self._task is None:
            if self._is_overdue(inactive_s, waited_s):
                self.close_if_idle()
        elif self._has_stopped(inactive_s, waited_s):
            self.abort()

    def _is_overdue(self, inactive_s: float, waited_s: float) -> bool:
        """Return whether the next request takes too long to arrive."""
        limits = self.server.limits
        if self._receiver.is_reading_head:
            return waited_s > limits.head_s
        return inactive_s > limits.idle_s

    def _has_stopped(self, inactive_s: float, waited_s: float) -> bool:
        """Return whether the client has stopped in the middle of a request."""
        if self._paused:
            return inactive_s > WRITE_TIMEOUT_S
        limits = self.server.limits
        is_too_slow = inactive_s > limits.idle_s or waited_s > limits.body_s
        return is_too_slow and self._awaits_body

    @property
    def _awaits_body(self) -> bool:
        """Return whether the request in progress waits for its body."""
        body = self._receiver.body
        return body is not None and body.is_awaited

    def _read_on(self, transport: asyncio.Transport) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self.server.departures.remove(self)
            transport.resume_reading()

    def _recount(self) -> None:
        """Count what this link holds, besides the request in progress."""
        if self.transport is not None:
            unwritten_bytes = self.transport.get_write_buffer_size()
            self._account.count(
                LINK_BYTES + self._receiver.held_bytes + unwritten_bytes
            )

    async def _run(self, request: Request) -> None:
        try:
            with self.server.limits.memory.counting() as held:
                self._held = held
                await self._serve(request, held)
        finally:
            self._finish()

    def _finish(self) -> None:
        """Go on with the next request, if the client has sent it already."""
        self._task = None
        self._held = None
        if self.transport is None or self._is_ending:
            return
        now = time.monotonic()
        self._account.last_active_at = now
        self._account.begin_wait(now)
        self.server.links.renew(self)
        self._receiver.finish()
        self._pipelined = self._pipelined + 1 if self._receiver.has_more else 0
        self._receiver.go_on()

    async def _serve(self, request: Request, held: HeldBytes) -> None:
        try:
            await self.server.handler(request)
        except Exception:
            _log.exception('request_failed', target=str(request.target))
            self._answer_failed(request)
        if not request.is_answered:
            self.abort()
            return
        # From here on the answer counts as unwritten bytes of the link.
        held.release()
        self._recount()
        if not request.reader.at_eof():
            await self._discard(request)
        if self._paused:
            with suppress(ConnectionError):
                await self.drain()
        if not request.is_keep_alive:
            self._end()

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
            async with asyncio.timeout(LINGER_S):
                while remaining > 0 and not request.reader.at_eof():
                    remaining -= len(await request.reader.readany())
        except Exception as error:
            _log.debug('request_body_incomplete', error=type(error).__name__)
            remaining = 0
        if remaining <= 0:
            request.is_keep_alive = False

    def _end(self) -> None:
        """Close after the last answer; let the client read it first.

        Requests behind the last answer of a connection must not run.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        has_more = self._receiver.has_more or self._receiver.is_in_body
        if not has_more:
            transport.close()
            return
        self._is_ending = True
        self._receiver.drop_rest()
        self._account.begin_wait(time.monotonic())
        self._read_on(transport)
        transport.write_eof()
        self._recount()
