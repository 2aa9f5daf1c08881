"""Client side of HTTP/1.1 links: send requests and read the responses.

A link is one TCP connection that carries one request at a time. It is reused
only after a complete response without trailing bytes.
"""

import asyncio
import socket
import time
from collections import deque
from dataclasses import dataclass
from typing import Any, Final, cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from dragonflyknot.exchange import links

FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
SWITCHING_PROTOCOLS_STATUS: Final = 101
# More interim responses to one request break the link.
MAX_INTERIM_RESPONSES: Final = 16
# Beyond twice this, a response that nobody reads stops the reading.
READ_AHEAD_BYTES: Final = 16 * 1024
# What one read may bring before a slow client stops the reading.
RECEIVE_BUFFER_BYTES: Final = 64 * 1024
# A link that carried so many requests that were not served is closed.
MAX_UNSERVED_IDS: Final = 64


class LinkLost(Exception):
    """Signal that a link failed before a response head arrived.

    `was_sent` states whether the peer may have received the request.
    """

    def __init__(self, *, was_sent: bool) -> None:
        """Store whether the peer may have received the request."""
        super().__init__('The connection was lost; open a new one.')
        self.was_sent = was_sent


@dataclass(slots=True)
class Response:
    """Hold a response whose head has arrived.

    `lines` are the header lines as received, `head` indexes them by name, and
    `reader` yields the body. `is_keep_alive` states whether the peer keeps the
    connection open after this response.
    """

    status: int
    lines: links.RawHeaders
    head: links.HeaderIndex
    reader: StreamReader
    is_keep_alive: bool
    is_chunked: bool

    @property
    def length(self) -> int | None:
        """Return the `Content-Length` in bytes, None if absent or invalid."""
        text = self.head.get(b'content-length')
        if text is None or not text.isdigit():
            return None
        return int(text)


class ClientLink(BaseProtocol):
    """Send requests on one connection, one at a time.

    `idle_since` is in seconds of the monotonic clock. `unserved_ids` holds
    the ids of the requests that were sent on this link and may be sent again,
    and `sends` counts all requests sent on it.
    """

    def __init__(self, user_timeout_ms: int) -> None:
        """Create the response parser.

        `user_timeout_ms` is the time after which an unresponsive peer breaks
        the connection.
        """
        loop = asyncio.get_running_loop()
        parser = self._new_parser(loop, has_body=True)
        super().__init__(loop, parser)
        self._reader = parser
        self._silent_after_ms = user_timeout_ms
        self._responses: deque[Response] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._last_response: Response | None = None
        self._is_unusable = False
        self._is_broken = False
        self._is_head = False
        self._incomplete_head_bytes = 0
        self._interim_responses = 0
        self._has_received = False
        self.is_busy = False
        self.idle_since = time.monotonic()
        self.idle_before_use_s = float(0)
        self.unserved_ids: set[bytes] = set()
        self.sends = 0

    @property
    def is_reusable(self) -> bool:
        """Return whether the link can carry another request."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self._is_unusable or self._is_broken or self._responses:
            return False
        last = self._last_response
        return last is None or (last.is_keep_alive and last.reader.is_eof())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options; the event loop sets TCP_NODELAY."""
        self.transport = cast(asyncio.Transport, transport)
        connection = transport.get_extra_info('socket')
        links.set_keepalive(connection, user_timeout_ms=self._silent_after_ms)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def connection_lost(self, error: BaseException | None) -> None:
        """Fail the body in progress and wake the waiting request."""
        super().connection_lost(error)
        self._is_broken = True
        self._end_body(error)
        self._wake_waiter()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited bytes make the link unusable."""
        if self._is_broken:
            return
        if not self.is_busy:
            self._fail(None)
            return
        for part in links.split_received(data):
            self._parse(part)
            if self._is_broken:
                return

    @property
    def has_partial_response(self) -> bool:
        """Return whether a response began behind the last complete one.

        The parser would join its bytes with the next response.
        """
        try:
            return self._reader.feed_eof() is not None
        except HttpProcessingError:
            return True

    def send(self, content: bytes, *, is_head: bool) -> None:
        """Send a request head, followed by its body if that is buffered.

        `is_head` marks a HEAD request, whose response has no body. Raise
        LinkLost if the connection is closed.
        """
        if self.transport is None:
            raise LinkLost(was_sent=False)
        if is_head != self._is_head:
            self._is_head = is_head
            self._reader = self._new_parser(self._loop, has_body=not is_head)
            self._parser = self._reader
        self.is_busy = True
        self.sends += 1
        self._last_response = None
        self._incomplete_head_bytes = 0
        self._interim_responses = 0
        self._has_received = False
        self.transport.write(content)

    async def send_body(
        self, body: links.StreamedBody, *, is_chunked: bool
    ) -> None:
        """Send a streamed body with backpressure while it arrives.

        Raise LinkLost if the link fails, unless the response has arrived.
        """
        try:
            async for part in links.iter_parts(body):
                await self._send_part(
                    links.encode_chunk(part) if is_chunked else part
                )
            if is_chunked:
                await self._send_part(links.LAST_CHUNK)
        except ConnectionError as error:
            if not self._responses:
                raise LinkLost(was_sent=True) from error

    async def _send_part(self, part: bytes) -> None:
        """Send a part of a body and wait for room. Raise ConnectionError."""
        if self.transport is not None:
            self.transport.write(part)
            await self._drain_helper()

    async def receive(self) -> Response:
        """Wait for the next response. Raise LinkLost if the link fails."""
        self._last_response = None
        while not self._responses:
            if self._is_broken:
                raise LinkLost(was_sent=True)
            self._waiter = self._loop.create_future()
            await self._waiter
        self._last_response = self._responses.popleft()
        return self._last_response

    def mark_unusable(self) -> None:
        """Exclude the link from reuse; the request in progress goes on."""
        self._is_unusable = True

    def remember_unserved(self, request_id: bytes) -> None:
        """Remember a request that may be sent again, but not on this link.

        A second copy of the answer to the first send would be taken as the
        answer to the second send, as both have the same id. Requests without
        an id are not remembered.
        """
        if request_id:
            self.unserved_ids.add(request_id)
        if len(self.unserved_ids) >= MAX_UNSERVED_IDS:
            self.mark_unusable()

    def abort(self) -> None:
        """Abort the connection without flushing pending writes."""
        self._is_broken = True
        if self.transport is not None:
            self.transport.abort()

    def _parse(self, data: bytes) -> None:
        try:
            messages, _is_upgraded, _tail = self._reader.feed_data(data)
        except HttpProcessingError as error:
            self._fail(error)
            return
        if messages:
            self._accept(messages, data)
        else:
            self._limit_head(len(data))
        self._has_received = True

    def _accept(self, messages: Any, data: bytes) -> None:
        """Queue the responses whose heads ended in the received bytes."""
        is_one_head = not self._has_received and (
            data.find(links.HTTP_VERSION, 1) < 0
        )
        for message, payload in messages:
            if not is_one_head and links.has_inner_status_line(
                message.reason, message.raw_headers
            ):
                self._fail(None)
                return
            if not FIRST_STATUS <= message.code <= LAST_STATUS:
                self._fail(None)
                return
            if message.code < FIRST_FINAL_STATUS:
                self._skip_interim(message.code)
                continue
            self._responses.append(
                Response(
                    message.code,
                    message.raw_headers,
                    links.index_headers(message.raw_headers),
                    payload,
                    not message.should_close,
                    message.chunked,
                )
            )
        self._wake_waiter()
        if len(self._responses) > links.MAX_QUEUED_RESPONSES:
            self._fail(None)

    def _skip_interim(self, status: int) -> None:
        """Ignore an interim response (RFC 9110, section 15.2).

        No request asks to switch protocols, so such a response is an error.
        """
        self._interim_responses += 1
        is_excessive = self._interim_responses > MAX_INTERIM_RESPONSES
        if is_excessive or status == SWITCHING_PROTOCOLS_STATUS:
            self._fail(None)
        elif self._responses or self._last_response is not None:
            self.mark_unusable()

    def _limit_head(self, received_bytes: int) -> None:
        """Fail if the head of the response takes too many bytes.

        The parser limits the lines of a head, but not their total size.
        """
        if self._responses or self._last_response is not None:
            return
        self._incomplete_head_bytes += received_bytes
        if self._incomplete_head_bytes > links.MAX_RESPONSE_HEAD_BYTES:
            self._fail(None)

    def _fail(self, error: BaseException | None) -> None:
        self._is_broken = True
        if self.transport is not None and not self.is_busy:
            self.transport.close()
        self._end_body(error)
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _end_body(self, error: BaseException | None) -> None:
        last = self._responses[-1] if self._responses else self._last_response
        if last is None or last.reader.is_eof():
            return
        if error is None:
            try:
                self._reader.feed_eof()
            except HttpProcessingError as parse_error:
                error = parse_error
        if error is not None or not last.reader.is_eof():
            last.reader.set_exception(links.BodyBroken())

    def _new_parser(
        self, loop: asyncio.AbstractEventLoop, *, has_body: bool
    ) -> Any:
        return links.RESPONSE_PARSER(
            self,
            loop,
            READ_AHEAD_BYTES,
            max_line_size=links.READ_LIMIT_BYTES,
            max_headers=links.MAX_HEADERS,
            max_field_size=links.READ_LIMIT_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )


async def read_body(answer: Response) -> links.Body:
    """Return the body of a response. Raise BodyBroken if it is cut short."""
    if answer.reader is EMPTY_PAYLOAD:
        return b''
    return await links.buffer_body(answer.reader)
