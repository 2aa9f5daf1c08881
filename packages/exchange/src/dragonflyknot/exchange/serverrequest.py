"""Requests of callers and peers, and the responses written to them."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import structlog
from aiohttp.streams import EMPTY_PAYLOAD

from dragonflyknot.exchange import clientmemory, links
from dragonflyknot.exchange.outcomes import Answered

if TYPE_CHECKING:
    from dragonflyknot.exchange.serverlink import ServerLink

_REASON_PHRASES: Final = MappingProxyType(
    {status.value: status.phrase.encode() for status in HTTPStatus}
)
_CONNECTION_CLOSE: Final = b'Connection: close\r\n'
_CONNECTION_KEPT: Final = b''
_BODILESS_STATUSES: Final = frozenset((204, 304))
_log = structlog.get_logger(__name__)


@dataclass(slots=True)
class Request:
    """Hold a request whose head has arrived.

    `lines` are the header lines as received, `head` indexes them by name, and
    `reader` yields the body. `arrived_at` is in seconds of the monotonic
    clock. `takes_chunks` tells that the client knows chunked bodies.
    """

    method: str
    target: bytes
    lines: links.RawHeaders
    head: links.HeaderIndex
    reader: links.BodySource
    link: 'ServerLink'
    is_keep_alive: bool
    arrived_at: float
    is_answered: bool = False
    takes_chunks: bool = True

    @property
    def task(self) -> 'asyncio.Task[None]':
        """Return the task that serves the request.

        This avoids `asyncio.current_task`, which costs a system call.
        """
        return self.link.serving_task

    @property
    def has_room(self) -> bool:
        """Tell whether the process may hold more bytes of bodies."""
        return self.link.server.limits.memory.has_room()

    async def body(self) -> links.Body:
        """Return the body.

        Raise BodyBroken if it ends early, and NoRoomForBody if it would be
        streamed while the process holds too much.
        """
        if self.reader is EMPTY_PAYLOAD:
            return b''
        self.link.send_continue(self)
        body = await links.buffer_body(self.reader)
        if isinstance(body, links.StreamedBody) and not self.has_room:
            clientmemory.release()
            raise links.NoRoomForBody
        return body

    def respond(
        self, status: int, lines: Iterable[bytes], body: bytes = b''
    ) -> None:
        """Write a complete response.

        `lines` are encoded header lines, each with its line end.
        """
        head = encode_head(status, lines, self._connection_line())
        if status in _BODILESS_STATUSES:
            self.link.write(head + links.CRLF)
        elif self.method == 'HEAD':
            self.link.write(head + _length_line(lines, body) + links.CRLF)
        else:
            length = b'Content-Length: %d\r\n\r\n' % len(body)
            self.link.write(head + length + body)
        self.is_answered = True

    async def stream(
        self,
        status: int,
        lines: Iterable[bytes],
        length: int | None,
        body: links.StreamedBody,
    ) -> None:
        """Write a response while its body arrives.

        `length` is in bytes; if it is None, the body is chunked, or ends with
        the connection where the client knows no chunks. The connection is
        aborted if the body fails.
        """
        is_chunked = length is None and self.takes_chunks
        if length is not None:
            framing = b'Content-Length: %d\r\n\r\n' % length
        elif is_chunked:
            framing = b'Transfer-Encoding: chunked\r\n\r\n'
        else:
            framing = links.CRLF
            self.is_keep_alive = False
            self.link.ends_body_by_close = True
        self.is_answered = True
        self.link.write(
            encode_head(status, lines, self._connection_line()) + framing
        )
        try:
            await self._copy(body, is_chunked=is_chunked)
        except Exception as error:
            _log.info('response_aborted', error=type(error).__name__)
            self.link.abort()

    async def _copy(
        self, body: links.StreamedBody, *, is_chunked: bool
    ) -> None:
        async for part in links.iter_parts(body):
            self.link.write(links.encode_chunk(part) if is_chunked else part)
            await self.link.drain()
        if is_chunked:
            self.link.write(links.LAST_CHUNK)

    def _connection_line(self) -> bytes:
        if self.link.server.is_closing:
            self.is_keep_alive = False
        return _CONNECTION_KEPT if self.is_keep_alive else _CONNECTION_CLOSE


async def relay(
    request: Request, answered: Answered, extra_line: bytes = b''
) -> None:
    """Write the response of an upstream, with one more header line."""
    lines = (*answered.lines, extra_line)
    try:
        if isinstance(answered.body, bytes):
            request.respond(answered.status, lines, answered.body)
        else:
            await request.stream(
                answered.status, lines, answered.length, answered.body
            )
    finally:
        answered.free()


def encode_head(
    status: int, lines: Iterable[bytes], connection_line: bytes
) -> bytes:
    """Return the head of a response without its framing.

    `lines` are encoded header lines, each with its line end.
    """
    reason = _REASON_PHRASES.get(status, b'Status')
    rest = b''.join(lines)
    return b'HTTP/1.1 %d %b\r\n%b%b' % (status, reason, rest, connection_line)


def _length_line(lines: Iterable[bytes], body: bytes) -> bytes:
    if body:
        return b'Content-Length: %d\r\n' % len(body)
    return b''
