"""Take in the requests of one connection of the project's own interface.

aiohttp parses and answers them. It sees a head when it is whole and the
request before it has been answered, and a body in bounded parts.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import Any, Final

import structlog
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.bodyreader import MalformedBody
from dragonflyknot.exchange.clientmemory import ClientMemory
from dragonflyknot.exchange.departures import DepartureWatch
from dragonflyknot.exchange.framing import Framing
from dragonflyknot.exchange.linkaccount import LinkAccount
from dragonflyknot.exchange.linkset import LinkSet
from dragonflyknot.exchange.parsequeue import ParseQueue
from dragonflyknot.exchange.refusing import Refused, refusal_response

MAX_HEADER_BYTES: Final = 16 * 1024
MAX_WAITING_BYTES: Final = 16 * 1024
# Beyond twice this, aiohttp stops reading a body.
READ_AHEAD_BYTES: Final = 32 * 1024
# What a request with a body holds at most, besides what waits to be parsed.
BODY_BYTES: Final = 128 * 1024
LINK_BYTES: Final = 16 * 1024
HEAD_S: Final = 10.0
BODY_SILENCE_S: Final = 75.0
# Time for a client to read a refusal while it still sends.
LINGER_S: Final = 2.0
_SERVER_ERROR: Final = 500
_MALFORMED: Final = Refused(Refusal.MALFORMED)
_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Shared:
    """Bundle what the connections of one listener share."""

    links: 'LinkSet[WebHandler]'
    memory: ClientMemory
    parse_queue: ParseQueue
    departures: DepartureWatch


class WebHandler(RequestHandler):
    """Pass on what a client sends, within the bounds of the process."""

    def __init__(
        self,
        manager: web.Server,
        loop: asyncio.AbstractEventLoop,
        shared: Shared,
        **options: Any,
    ) -> None:
        """Create the handler of one new connection."""
        super().__init__(
            manager,
            loop=loop,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            read_bufsize=READ_AHEAD_BYTES,
            **options,
        )
        self._shared = shared
        self._framing = Framing(self, loop)
        self._received = b''
        self._is_held = False
        self._is_reading_head = False
        self._is_ending = False
        self._account = LinkAccount(shared.memory)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take part in the listener's set of connections."""
        super().connection_made(transport)
        self._shared.links.add(self)
        self._recount()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection held."""
        super().connection_lost(exc)
        self._received = b''
        self._account.count(0)
        self._shared.links.remove(self)
        self._shared.parse_queue.remove(self)
        self._shared.departures.remove(self)

    def data_received(self, data: bytes) -> None:
        """Take in received bytes; pass them on when it is their turn."""
        if self._is_ending:
            return
        if not data:
            # The parser goes on after a pause.
            super().data_received(data)
            self._shared.parse_queue.run(self)
            return
        now = time.monotonic()
        if not self._is_reading_head and self._awaits_head:
            self._is_reading_head = True
            self._account.begin_wait(now)
        self._account.record_received(len(data), now)
        self._received += data
        self._shared.parse_queue.run(self)

    def step(self) -> bool:
        """Pass on a bounded part; return whether more can be passed on now."""
        if self.transport is None or not self._may_pass:
            self._settle(needs_more=False)
            return False
        try:
            dropped, passed = self._framing.passable(
                self._received, MAX_HEADER_BYTES
            )
        except (HttpProcessingError, MalformedBody) as error:
            self._refuse(error)
            return False
        part = self._received[dropped : dropped + passed]
        self._received = self._received[dropped + passed :]
        if part:
            self._is_reading_head = False
            RequestHandler.data_received(self, part)
        self._settle(needs_more=not part)
        return bool(part and self._received and self._may_pass)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; go on with the next request after it."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._loop.call_soon(self._go_on)

    @property
    def held_bytes(self) -> int:
        """Return all that is counted for this connection, in bytes."""
        return self._account.held_bytes

    @property
    def waiting_since(self) -> float | None:
        """Return since when this connection waits for its client.

        In seconds of the monotonic clock; None if the client waits.
        """
        is_waiting = self._is_idle or self._framing.is_in_body or self._paused
        return self._account.waiting_since if is_waiting else None

    @property
    def moved_bytes(self) -> int:
        """Return the bytes received in this wait."""
        return self._account.moved_bytes

    def fileno(self) -> int:
        """Return the descriptor of the connection, negative if closed."""
        if self.transport is None:
            return -1
        return int(self.transport.get_extra_info('socket').fileno())

    def client_left(self) -> None:
        """End the request in progress, as the client has disconnected."""
        self._abort()

    def close_for_room(self) -> None:
        """Close the connection, as others need what it holds."""
        if not self._is_idle:
            _log.info('link_closed_for_room', held_bytes=self.held_bytes)
        self._abort()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if its client takes too long at `now`."""
        silent_s = now - self._account.last_active_at
        waited_s = now - self._account.waiting_since
        if self._is_ending:
            is_overdue = waited_s > LINGER_S
        elif self._is_reading_head:
            is_overdue = waited_s > HEAD_S
        else:
            is_overdue = self._framing.is_in_body and silent_s > BODY_SILENCE_S
        if is_overdue:
            self._abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the refusal of a bad request or of an internal error."""
        if status < _SERVER_ERROR:
            refused = _MALFORMED
        else:
            _log.error('handler_failed', exc_info=exc)
            refused = Refused(Refusal.UPSTREAM_BROKE)
        response = refusal_response(refused, '', '')
        response.force_close()
        return response

    @property
    def _is_idle(self) -> bool:
        return not self._request_in_progress and not self._messages

    @property
    def _awaits_head(self) -> bool:
        return self._is_idle and not self._framing.is_in_body

    @property
    def _may_pass(self) -> bool:
        """Return whether aiohttp takes more bytes now."""
        if not self._received or self._reading_paused or self._buffer_paused:
            return False
        return self._framing.is_in_body or self._is_idle

    def _go_on(self) -> None:
        if self.transport is not None:
            self._account.begin_wait(time.monotonic())
            self._is_reading_head = bool(self._received)
            self._shared.links.renew(self)
            self._shared.parse_queue.run(self)

    def _settle(self, *, needs_more: bool) -> None:
        """Count what is held; read on if there is room for more."""
        self._recount()
        may_read = needs_more or len(self._received) <= MAX_WAITING_BYTES
        if may_read and self._is_held:
            self._is_held = False
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()
        elif not may_read and not self._is_held:
            self._is_held = True
            self._pause_transport_reading()

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        self._shared.departures.add(self)

    def _resume_transport_reading(self) -> None:
        self._shared.departures.remove(self)
        super()._resume_transport_reading()

    def _recount(self) -> None:
        if self.transport is None:
            return
        held_bytes = LINK_BYTES + len(self._received)
        held_bytes += self.transport.get_write_buffer_size()
        if self._framing.is_in_body:
            held_bytes += BODY_BYTES
        self._account.count(held_bytes)

    def _refuse(self, error: Exception) -> None:
        """Refuse what is no request; nothing behind it is served."""
        _log.info('request_malformed', error=type(error).__name__)
        self._received = b''
        transport = self.transport
        if transport is None or not self._awaits_head:
            self._abort()
            return
        self._is_ending = True
        self._account.begin_wait(time.monotonic())
        transport.write(_encode(refusal_response(_MALFORMED, '', '')))
        transport.write_eof()
        self.close()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def _encode(response: web.Response) -> bytes:
    """Return a whole response after which the connection closes."""
    response.headers['Connection'] = 'close'
    response.headers['Content-Length'] = str(response.content_length)
    lines = [f'{name}: {text}' for name, text in response.headers.items()]
    head = f'HTTP/1.1 {response.status} {response.reason}'
    content = (response.text or '').encode()
    return '\r\n'.join((head, *lines, '', '')).encode() + content
