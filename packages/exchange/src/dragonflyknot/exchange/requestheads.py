"""Heads of requests, parsed once they have arrived whole.

The parser sees one head at a time. What follows it, a body or the next
request, stays as it was received until its turn.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError
from aiohttp.http_writer import HttpVersion10

from dragonflyknot.exchange import links
from dragonflyknot.exchange.bodyreader import (
    BodyDecoder,
    ChunkedDecoder,
    LengthDecoder,
)

HEAD_END: Final = b'\r\n\r\n'
# A client may count the lines of a head without its first line, or without
# the ends of the lines.
MAX_HEAD_LINES: Final = 2
HEAD_TOO_LONG: Final = 431
_LENGTH: Final = b'content-length'


class HeadTooLong(HttpProcessingError):
    """Signal that a head is longer than allowed."""

    code = HEAD_TOO_LONG

    def __init__(self) -> None:
        """Set the message."""
        super().__init__(message='The request head is too long.')


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold a parsed head; `size` is how many received bytes it took.

    `decoder` decodes the body, None if there is none. `takes_chunks` tells
    that the client knows the chunked transfer coding. `is_last` tells that
    what follows is no request.
    """

    method: str
    target: bytes
    lines: links.RawHeaders
    by_name: links.HeaderIndex
    is_keep_alive: bool
    takes_chunks: bool
    is_last: bool
    decoder: BodyDecoder | None
    size: int


class HeadParser:
    """Parse the heads of one connection."""

    def __init__(
        self, protocol: BaseProtocol, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Make the parser when the first head is there."""
        self._protocol = protocol
        self._loop = loop
        self._parser: Any = None
        self._line_bytes = 0
        self._skipped_bytes = 0

    def parse(self, received: bytes, line_bytes: int) -> RequestHead | None:
        """Return the first head in the bytes received, None if incomplete.

        `line_bytes` bounds a line, and a head at twice that. Raise
        HttpProcessingError for a head that is malformed or too long.
        """
        start = _blank_bytes(received)
        end = received.find(HEAD_END, start)
        size = len(received) if end < 0 else end + len(HEAD_END)
        if self._skipped_bytes + size > MAX_HEAD_LINES * line_bytes:
            raise HeadTooLong
        if end < 0:
            return None
        self._skipped_bytes = 0
        return self._parse_whole(received[start:size], size, line_bytes)

    def skip_blank(self, received: bytes) -> bytes:
        """Return the bytes received without the empty lines before a head.

        What was skipped counts as a part of the head.
        """
        start = _blank_bytes(received)
        self._skipped_bytes += start
        return received[start:] if start else received

    def _parse_whole(
        self, head: bytes, size: int, line_bytes: int
    ) -> RequestHead:
        if self._parser is None or self._line_bytes != line_bytes:
            self._parser = self._new_parser(line_bytes)
            self._line_bytes = line_bytes
        messages, is_upgraded, _tail = self._parser.feed_data(head)
        if len(messages) != 1:
            raise BadHttpMessage('The end of the head is not where it seems.')
        message, _payload = messages[0]
        index = links.index_headers(message.raw_headers)
        decoder = _decoder(message, index)
        if decoder is not None or is_upgraded:
            # This parser expects the body, which is decoded without it.
            self._parser = None
        target: str = message.path
        is_old = message.version == HttpVersion10
        return RequestHead(
            method=message.method,
            target=target.encode('utf-8', 'surrogateescape'),
            lines=message.raw_headers,
            by_name=index,
            is_keep_alive=not (is_old or message.should_close),
            takes_chunks=not is_old,
            is_last=is_upgraded
            or message.method == 'CONNECT'
            or (message.upgrade and decoder is not None),
            decoder=decoder,
            size=size,
        )

    def _new_parser(self, line_bytes: int) -> Any:
        return links.REQUEST_PARSER(
            self._protocol,
            self._loop,
            links.READ_LIMIT_BYTES,
            max_line_size=line_bytes,
            max_headers=links.MAX_HEADERS,
            max_field_size=line_bytes,
            auto_decompress=False,
        )


def _blank_bytes(received: bytes) -> int:
    """Return the number of bytes of empty lines before a head."""
    if not received.startswith((b'\r', b'\n')):
        return 0
    return len(received) - len(received.lstrip(b'\r\n'))


def _decoder(message: Any, index: links.HeaderIndex) -> BodyDecoder | None:
    if message.chunked:
        return ChunkedDecoder()
    text = index.get(_LENGTH)
    if text is None:
        return None
    if not text.isdigit():
        raise BadHttpMessage('Content-Length must be a number.')
    length = int(text)
    return LengthDecoder(length) if length else None
