"""Helpers shared by the client and the server side of HTTP/1.1 links.

`serverlink` and `clientlink` use aiohttp's parsers directly and forward
headers as raw bytes, which avoids the cost of a framework's request and
response objects on each hop. Bodies are read from aiohttp's stream readers.
"""

import re
import socket
from collections.abc import AsyncIterator, Iterable, Iterator
from dataclasses import dataclass
from functools import lru_cache
from typing import Final, Protocol, cast

from aiohttp import http_parser
from aiohttp.streams import EMPTY_PAYLOAD

from dragonflyknot.exchange import clientmemory

RawHeaders = tuple[tuple[bytes, bytes], ...]
"""Header lines as received: pairs of name and value."""

HeaderIndex = dict[bytes, bytes]
"""Header values by lower-case name."""

REQUEST_PARSER: Final = http_parser.HttpRequestParser
RESPONSE_PARSER: Final = http_parser.HttpResponseParser

CRLF: Final = b'\r\n'
HTTP_VERSION: Final = b'HTTP/1.'
LAST_CHUNK: Final = b'0\r\n\r\n'
READ_LIMIT_BYTES: Final = 65536
MAX_HEADERS: Final = 256
MAX_RESPONSE_HEAD_BYTES: Final = 256 * 1024
"""Beyond this, bytes without a complete response head break the link."""
PARSED_BYTES: Final = 4096
"""The most received bytes that are parsed in one step."""
MAX_QUEUED_RESPONSES: Final = 16
"""The most responses that wait to be read; more of them break the link."""
MAX_BUFFERED_BODY_BYTES: Final = 512 * 1024
"""The largest body that a daemon buffers."""


class BodySource(Protocol):
    """Yields a body while it arrives."""

    def is_eof(self) -> bool:
        """Return whether all content has arrived."""

    def at_eof(self) -> bool:
        """Return whether all content has arrived and was read."""

    async def readany(self) -> bytes:
        """Return what has arrived; wait if nothing has."""


@dataclass(frozen=True, slots=True)
class StreamedBody:
    """Hold a body that is forwarded while it arrives.

    `first_part` is the part that has been read, `reader` yields the rest.
    """

    first_part: bytes
    reader: BodySource


Body = bytes | StreamedBody

_STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] [1-5]\d\d')
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    )
)


class NoRoomForBody(Exception):
    """Signal that the process holds too many bytes to take a body."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__('Too many bodies are in memory; try again later.')


class BodyBroken(Exception):
    """Signal that a body ended early."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__('The body ended early; retry the request.')


def end_to_end_lines(
    received: RawHeaders, head: HeaderIndex, dropped: frozenset[bytes]
) -> list[bytes]:
    """Return the end-to-end header lines, ready to send.

    `dropped` holds further lower-case names to leave out.
    """
    excluded = _with_hop_by_hop(dropped)
    connection = head.get(b'connection')
    if connection is not None:
        options = (option.strip().lower() for option in connection.split(b','))
        excluded = excluded.union(options)
    # Without repeated names, the index is in the order of the lines.
    names: Iterable[bytes] = head
    if len(head) != len(received):
        names = (name.lower() for name, _text in received)
    return [
        b'%b: %b\r\n' % line
        for name, line in zip(names, received, strict=True)
        if name not in excluded
    ]


@lru_cache
def _with_hop_by_hop(dropped: frozenset[bytes]) -> frozenset[bytes]:
    return dropped | _HOP_BY_HOP


def index_headers(received: RawHeaders) -> HeaderIndex:
    """Return the last value of each header by its lower-case name."""
    return {name.lower(): text for name, text in received}


def has_inner_status_line(reason: str, received: RawHeaders) -> bool:
    """Return whether a response head contains another status line.

    Such a head consists of the beginning of one response and of another
    response. `reason` is the reason phrase, `received` are the header lines.
    """
    texts = [reason.encode('utf-8', 'surrogateescape')]
    texts.extend(text for _name, text in received)
    return any(_STATUS_LINE.search(text) is not None for text in texts)


def split_received(data: bytes) -> Iterator[bytes]:
    """Yield received bytes in parts to parse one after the other.

    A parsed message takes much more memory than its bytes. Whoever has enough
    messages leaves the rest unparsed. No bytes are a part too: they let a
    parser go on that was paused.
    """
    for start in range(0, max(1, len(data)), PARSED_BYTES):
        yield data[start : start + PARSED_BYTES]


def encode_chunk(content: bytes) -> bytes:
    """Return the content as one chunk of the chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(content), content)


async def buffer_body(reader: BodySource) -> Body:
    """Return a small body as bytes and a larger one as a stream.

    The limit is `MAX_BUFFERED_BODY_BYTES`, and less if the process holds much.
    Raise BodyBroken if the body ends early.
    """
    if reader is EMPTY_PAYLOAD:
        return b''
    parts: list[bytes] = []
    size = 0
    try:
        while not reader.at_eof():
            part = await reader.readany()
            parts.append(part)
            size += len(part)
            has_room = clientmemory.hold(len(part)) or reader.at_eof()
            if size > MAX_BUFFERED_BODY_BYTES or not has_room:
                clientmemory.hold(clientmemory.READ_AHEAD_BYTES)
                return StreamedBody(b''.join(parts), reader)
    except Exception as error:
        raise BodyBroken from error
    return parts[0] if len(parts) == 1 else b''.join(parts)


async def iter_parts(body: StreamedBody) -> AsyncIterator[bytes]:
    """Yield the parts of a streamed body as they arrive."""
    yield body.first_part
    while not body.reader.at_eof():
        part = await body.reader.readany()
        if part:
            yield part


def set_keepalive(transport_socket: object, *, user_timeout_ms: int) -> None:
    """Set TCP keepalive and user timeout to detect an unresponsive peer.

    Keepalive probes start after half of `user_timeout_ms`.
    """
    connected_socket = cast(socket.socket, transport_socket)
    tcp = socket.IPPROTO_TCP
    seconds = max(1, user_timeout_ms // 2000)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, seconds),
        (tcp, socket.TCP_KEEPINTVL, 1),
        (tcp, socket.TCP_KEEPCNT, 2),
        (tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for level, name, setting in options:
        connected_socket.setsockopt(level, name, setting)
