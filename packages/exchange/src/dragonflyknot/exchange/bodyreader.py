"""Bodies of requests, decoded while they arrive.

A decoder takes the bytes received and feeds a reader with the content. Both
stop in time: a decoder at a bound of chunks a step and of framing without
content, a reader at a bound of bytes that nobody has read.
"""

import asyncio
import re
from collections.abc import Callable
from typing import Final, Protocol

MAX_UNREAD_BYTES: Final = 128 * 1024
"""The most content of a body that waits to be read, but for one part."""
MAX_CHUNKS_A_STEP: Final = 256
MAX_CHUNK_LINE_BYTES: Final = 4096
# Framing that brings a body no nearer to its end.
MAX_IDLE_FRAMING_BYTES: Final = 16 * 1024
# A chunk of one byte has a line of three bytes and an end of two.
MAX_FRAMING_RATIO: Final = 16
MAX_TRAILER_BYTES: Final = 16 * 1024
_CHUNK_LINE: Final = re.compile(
    rb'([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\r\n\x00]*)?\r\n'
)
_CHUNK_END: Final = b'\r\n'


class MalformedBody(Exception):
    """Signal that a body has invalid framing, or too much of it."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__('The framing of the body is invalid.')


class BodyReader:
    """Hold the content of a body that has arrived and was not read yet."""

    __slots__ = (
        '_error',
        '_is_complete',
        '_loop',
        '_on_read',
        '_parts',
        '_waiter',
        'received_bytes',
        'unread_bytes',
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_read: Callable[[], None]
    ) -> None:
        """Create a reader; `on_read` is called when content was read."""
        self._loop = loop
        self._on_read = on_read
        self._parts: list[bytes] = []
        self._is_complete = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.unread_bytes = 0
        self.received_bytes = 0

    @property
    def is_awaited(self) -> bool:
        """Return whether somebody waits for content."""
        return self._waiter is not None

    @property
    def has_room(self) -> bool:
        """Return whether more content may arrive."""
        return self.unread_bytes < MAX_UNREAD_BYTES

    def is_eof(self) -> bool:
        """Return whether all content has arrived."""
        return self._is_complete

    def at_eof(self) -> bool:
        """Return whether all content has arrived and was read."""
        return self._is_complete and not self._parts

    def feed(self, content: bytes) -> None:
        """Add content that has arrived."""
        if content:
            self._parts.append(content)
            self.unread_bytes += len(content)
            self.received_bytes += len(content)
            self._wake()

    def feed_eof(self) -> None:
        """End the body."""
        self._is_complete = True
        self._wake()

    def fail(self, error: Exception) -> None:
        """Let the next read raise an error, unless the body is complete."""
        if not self._is_complete:
            self._error = error
            self._wake()

    async def readany(self) -> bytes:
        """Return what has arrived; wait if nothing has.

        Return no bytes at the end. Raise the error of a body that failed.
        """
        while not self._parts and not self._is_complete:
            if self._error is not None:
                raise self._error
            await self._wait()
        parts = self._parts
        self._parts = []
        self.unread_bytes = 0
        self._on_read()
        return parts[0] if len(parts) == 1 else b''.join(parts)

    def drop(self) -> None:
        """Drop what has arrived."""
        self._parts.clear()
        self.unread_bytes = 0

    async def _wait(self) -> None:
        waiter = self._loop.create_future()
        self._waiter = waiter
        try:
            await waiter
        finally:
            if self._waiter is waiter:
                self._waiter = None

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None:
            self._waiter = None
            if not waiter.done():
                waiter.set_result(None)


class BodyDecoder(Protocol):
    """Decodes one body."""

    def decode(self, received: bytes, reader: BodyReader) -> int:
        """Feed content; return how many bytes were used.

        Raise MalformedBody for invalid framing.
        """


class LengthDecoder:
    """Decode a body whose length is known."""

    def __init__(self, length: int) -> None:
        """Expect so many bytes, one at least."""
        self._missing_bytes = length

    def decode(self, received: bytes, reader: BodyReader) -> int:
        """Feed content; return how many bytes were used."""
        content = received[: self._missing_bytes]
        self._missing_bytes -= len(content)
        reader.feed(content)
        if not self._missing_bytes:
            reader.feed_eof()
        return len(content)


class ChunkedDecoder:
    """Decode a body in the chunked transfer coding (RFC 9112, section 7.1)."""

    def __init__(self) -> None:
        """Expect the first chunk."""
        self._missing_bytes = 0
        self._is_behind_content = False
        self._is_in_trailers = False
        self._content_bytes = 0
        self._framing_bytes = 0
        self._trailer_bytes = 0

    def decode(self, received: bytes, reader: BodyReader) -> int:
        """Feed content; return how many bytes were used.

        Raise MalformedBody for invalid framing, or too much of it.
        """
        parts: list[bytes] = []
        position = 0
        for _ in range(MAX_CHUNKS_A_STEP):
            if self._is_in_trailers:
                break
            start = position
            position = self._decode_chunk(received, start, parts)
            if position == start:
                break
        content = parts[0] if len(parts) == 1 else b''.join(parts)
        self._content_bytes += len(content)
        self._framing_bytes += position - len(content)
        reader.feed(content)
        self._check_framing()
        if self._is_in_trailers:
            position += self._skip_trailers(received[position:], reader)
        return position

    def _decode_chunk(
        self, received: bytes, position: int, parts: list[bytes]
    ) -> int:
        """Decode the next part of a chunk; return the position behind it."""
        if self._missing_bytes:
            part = received[position : position + self._missing_bytes]
            self._missing_bytes -= len(part)
            self._is_behind_content = not self._missing_bytes
            parts.append(part)
            position += len(part)
            if self._missing_bytes:
                return position
        if self._is_behind_content:
            end = received[position : position + 2]
            if len(end) < len(_CHUNK_END) and _CHUNK_END.startswith(end):
                return position
            if end != _CHUNK_END:
                raise MalformedBody
            self._is_behind_content = False
            position += 2
        return self._decode_line(received, position)

    def _decode_line(self, received: bytes, position: int) -> int:
        line = _CHUNK_LINE.match(received, position)
        if line is None:
            rest = received[position : position + MAX_CHUNK_LINE_BYTES + 1]
            if b'\n' in rest or len(rest) > MAX_CHUNK_LINE_BYTES:
                raise MalformedBody
            return position
        self._missing_bytes = int(line[1], 16)
        self._is_in_trailers = not self._missing_bytes
        return line.end()

    def _check_framing(self) -> None:
        """Raise MalformedBody if framing makes up too much of the body."""
        limit = MAX_IDLE_FRAMING_BYTES + MAX_FRAMING_RATIO * self._content_bytes
        if self._framing_bytes > limit:
            raise MalformedBody

    def _skip_trailers(self, received: bytes, reader: BodyReader) -> int:
        """Skip trailer fields; end the body at the empty line."""
        position = 0
        while True:
            end = received.find(_CHUNK_END, position)
            if end < 0:
                break
            is_last = end == position
            position = end + len(_CHUNK_END)
            if is_last:
                reader.feed_eof()
                return position
        self._trailer_bytes += position
        if self._trailer_bytes + len(received) - position > MAX_TRAILER_BYTES:
            raise MalformedBody
        return position
