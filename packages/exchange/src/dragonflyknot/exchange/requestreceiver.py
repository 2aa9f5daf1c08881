"""Receive the requests of one connection, one at a time.

A request is parsed once the one before it has been answered. What its client
sends ahead waits as received, up to a bound; the rest is dropped. It is read
on, since only what is read shows that a client has left.
"""

import asyncio
from typing import Final, Protocol

from aiohttp.http_exceptions import HttpProcessingError

from dragonflyknot.exchange.bodyreader import (
    BodyDecoder,
    BodyReader,
    MalformedBody,
)
from dragonflyknot.exchange.parsequeue import ParseQueue
from dragonflyknot.exchange.requestheads import (
    HEAD_END,
    HeadParser,
    RequestHead,
)

# Bytes that wait behind the request in progress.
MAX_WAITING_BYTES: Final = 16 * 1024
MAX_DROPPED_BYTES: Final = 4 * 1024 * 1024


class RequestLink(Protocol):
    """The connection whose requests are received."""

    @property
    def is_serving(self) -> bool:
        """Return whether a request is in progress."""

    @property
    def head_line_bytes(self) -> int:
        """Return the most bytes of a line of a head."""

    def begin(self, head: RequestHead, body: BodyReader | None) -> None:
        """Begin to serve a request whose head has arrived."""

    def refuse(self, error: Exception) -> None:
        """Refuse what cannot be parsed."""

    def abort(self) -> None:
        """Abort the connection."""

    def settle(self, *, may_read: bool) -> None:
        """Count what is held; read on, or stop reading."""


class RequestReceiver:
    """Parse received bytes in steps and hold what waits.

    `body` is that of the request in progress, None if it has none.
    """

    def __init__(
        self,
        link: RequestLink,
        heads: HeadParser,
        loop: asyncio.AbstractEventLoop,
        queue: ParseQueue,
    ) -> None:
        """Create a receiver that waits for a head."""
        self._link = link
        self._heads = heads
        self._loop = loop
        self._queue = queue
        self._received = b''
        self._decoder: BodyDecoder | None = None
        self._is_closed = False
        self._is_dropping = False
        self._dropped_bytes = 0
        self.body: BodyReader | None = None
        self.is_reading_head = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes that wait to be parsed or to be read."""
        unread_bytes = 0 if self.body is None else self.body.unread_bytes
        return len(self._received) + unread_bytes

    @property
    def is_in_body(self) -> bool:
        """Return whether the body of a request has not arrived whole."""
        return self._decoder is not None

    @property
    def has_more(self) -> bool:
        """Return whether bytes wait behind the request in progress."""
        return bool(self._received)

    @property
    def is_at_end(self) -> bool:
        """Return whether no whole request follows, as the rest is dropped."""
        return self._is_dropping and HEAD_END not in self._received

    def take(self, data: bytes) -> None:
        """Take in received bytes; parse them when it is their turn."""
        if self._is_dropping:
            self._drop(len(data))
            return
        self._received = self._received + data if self._received else data
        self.go_on()

    def go_on(self) -> None:
        """Parse what waits, unless a request is in progress."""
        if self._received and (self.is_in_body or not self._link.is_serving):
            self._queue.run(self)
        else:
            self._settle(needs_more=False)

    def drop_rest(self) -> None:
        """Drop what has arrived, and what arrives from now on."""
        self._is_dropping = True
        self._drop(len(self._received))
        self._received = b''

    def finish(self) -> None:
        """Forget the body of a request that has been answered."""
        self.body = None
        self.is_reading_head = self.has_more

    def close(self, error: Exception) -> None:
        """Drop what waits; fail the body that has not arrived whole."""
        self._is_closed = True
        self._received = b''
        self._decoder = None
        self._queue.remove(self)
        if self.body is not None:
            self.body.fail(error)

    def step(self) -> bool:
        """Parse a bounded part; return whether more can be parsed now."""
        if self._is_closed:
            return False
        waiting_bytes = len(self._received)
        try:
            if self._decoder is not None:
                self._decode_body(self._decoder)
            elif not self._link.is_serving:
                self._parse_head()
        except (HttpProcessingError, MalformedBody) as error:
            self._link.refuse(error)
            return False
        has_used = len(self._received) < waiting_bytes
        self._settle(needs_more=not has_used)
        return has_used and self._can_parse

    @property
    def _can_parse(self) -> bool:
        """Return whether received bytes wait that may be parsed now."""
        if not self._received:
            return False
        if self._decoder is None:
            return not self._link.is_serving
        return self.body is not None and self.body.has_room

    def _parse_head(self) -> None:
        self._received = self._heads.skip_blank(self._received)
        head = self._heads.parse(self._received, self._link.head_line_bytes)
        if head is None:
            return
        self._received = self._received[head.size :]
        self.is_reading_head = False
        if head.decoder is not None:
            self.body = BodyReader(self._loop, self.go_on)
            self._decoder = head.decoder
            self._decode_body(head.decoder)
        if self._is_dropping and self.is_in_body:
            # The rest of the body was dropped.
            self._link.abort()
            return
        self._link.begin(head, self.body)

    def _decode_body(self, decoder: BodyDecoder) -> None:
        body = self.body
        if body is None or not body.has_room or not self._received:
            return
        used = decoder.decode(self._received, body)
        self._received = self._received[used:]
        if body.is_eof():
            self._decoder = None

    def _drop(self, count: int) -> None:
        """Drop what a client sends too far ahead; end if it goes on."""
        self._dropped_bytes += count
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self._link.abort()

    def _limit_waiting(self) -> None:
        """Drop what is sent too far ahead of an answer."""
        if self._link.is_serving and not self.is_in_body:
            excess = len(self._received) - MAX_WAITING_BYTES
            if excess > 0:
                self._received = self._received[:MAX_WAITING_BYTES]
                self._is_dropping = True
                self._drop(excess)

    def _settle(self, *, needs_more: bool) -> None:
        self._limit_waiting()
        has_room = self.body is None or self.body.has_room
        may_wait = len(self._received) <= MAX_WAITING_BYTES
        self._link.settle(may_read=has_room and (may_wait or needs_more))
