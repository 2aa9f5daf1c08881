"""Client side of HTTP/1.1 links: send requests and read the responses.

A link is one TCP connection that carries one request at a time. It is reused
only after a complete response without trailing bytes. `LinkPool` holds the
idle links to one address. After the peer silently dropped an idle link, the
pool shortens its idle timeout for a while.
"""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import Any, Final, cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from dragonflyknot.exchange import links

CONNECT_TIMEOUT_S: Final = 0.5
MAX_IDLE_LINKS: Final = 256
FIRST_FINAL_STATUS: Final = 200
SWITCHING_PROTOCOLS_STATUS: Final = 101
# More interim responses to one request break the link.
MAX_INTERIM_RESPONSES: Final = 16
# A link that carried so many requests that were not served is closed.
MAX_UNSERVED_IDS: Final = 64
MIN_IDLE_TIMEOUT_S: Final = 0.1
# After a link broke when it was reused, links are kept idle for only this
# share of the time for which that link had been idle.
IDLE_TIMEOUT_BACKOFF_RATIO: Final = 0.6
IDLE_TIMEOUT_BACKOFF_S: Final = 20.0


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
        """Set the keepalive options; the event loop sets TCP_NODELAY."""
        self.transport = cast(asyncio.Transport, transport)
        links.set_keepalive(
            transport.get_extra_info('socket'),
            user_timeout_ms=self._silent_after_ms,
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
        try:
            messages, _is_upgraded, _tail = self._reader.feed_data(data)
        except HttpProcessingError as error:
            self._fail(error)
            return
        if not messages:
            self._limit_head(len(data))
        for message, payload in messages:
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
        if messages:
            self._wake_waiter()

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
        self.transport.write(content)

    async def send_body(
        self, body: links.StreamedBody, *, is_chunked: bool
    ) -> None:
        """Send a streamed body with backpressure while it arrives."""
        async for part in links.iter_parts(body):
            if self.transport is not None:
                self.transport.write(
                    links.encode_chunk(part) if is_chunked else part
                )
                await self._drain_helper()
        if is_chunked and self.transport is not None:
            self.transport.write(links.LAST_CHUNK)

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
            links.READ_LIMIT_BYTES,
            max_line_size=links.READ_LIMIT_BYTES,
            max_headers=links.MAX_HEADERS,
            max_field_size=links.READ_LIMIT_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )


class LinkPool:
    """Hold the idle links to one address, in last-in, first-out order."""

    def __init__(
        self, host: str, port: int, *, idle_s: float, user_timeout_ms: int
    ) -> None:
        """Create an empty pool; `idle_s` is the idle timeout of its links."""
        self.host = host
        self.port = port
        self.idle_s = idle_s
        self._silent_after_ms = user_timeout_ms
        self._idle: deque[ClientLink] = deque()
        self._reduced_idle_s = idle_s
        self._reduced_until = float(0)

    async def acquire(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_s: float | None = None,
        request_id: bytes = b'',
    ) -> ClientLink:
        """Return a reusable idle link, or a new one.

        `max_idle_s` further limits how long a reused link may have been
        idle. A link that carried `request_id` before is not used for it again.
        Raise LinkLost if no connection opens within the timeout.
        """
        now = time.monotonic()
        limit_s = self._idle_limit_s(now)
        if max_idle_s is not None:
            limit_s = min(limit_s, max_idle_s)
        link = self._take_idle(now, limit_s, request_id)
        if link is not None:
            return link
        self.trim()
        return await self._open(connect_timeout_s)

    def release(self, link: ClientLink) -> None:
        """Return a link to the pool, or abort it if it is not reusable."""
        link.is_busy = False
        if not link.is_reusable or len(self._idle) >= MAX_IDLE_LINKS:
            link.abort()
            return
        link.idle_since = time.monotonic()
        self._idle.append(link)

    def report_lost(self, link: ClientLink) -> None:
        """Shorten the idle timeout after a reused link was lost.

        The peer has probably closed the link while it was idle. A link that
        was hardly idle is no evidence of that.
        """
        now = time.monotonic()
        if link.idle_before_use_s < MIN_IDLE_TIMEOUT_S:
            return
        reduced_s = max(
            MIN_IDLE_TIMEOUT_S,
            link.idle_before_use_s * IDLE_TIMEOUT_BACKOFF_RATIO,
        )
        self._reduced_idle_s = min(self._idle_limit_s(now), reduced_s)
        self._reduced_until = now + IDLE_TIMEOUT_BACKOFF_S

    def trim(self) -> None:
        """Close the links that exceeded the idle timeout."""
        now = time.monotonic()
        cutoff = now - self._idle_limit_s(now)
        while self._idle and self._idle[0].idle_since < cutoff:
            self._idle.popleft().abort()

    def close(self) -> None:
        """Close every idle link."""
        while self._idle:
            self._idle.popleft().abort()

    def _take_idle(
        self, now: float, limit_s: float, request_id: bytes
    ) -> ClientLink | None:
        """Return the last idle link that may carry the request, if any."""
        passed_over: list[ClientLink] = []
        taken: ClientLink | None = None
        while self._idle and taken is None:
            link = self._idle[-1]
            link.idle_before_use_s = now - link.idle_since
            if link.idle_before_use_s > limit_s and link.is_reusable:
                break
            self._idle.pop()
            if request_id in link.unserved_ids:
                passed_over.append(link)
            elif link.is_reusable:
                taken = link
        self._idle.extend(reversed(passed_over))
        return taken

    def _idle_limit_s(self, now: float) -> float:
        if now >= self._reduced_until:
            return self.idle_s
        return min(self.idle_s, self._reduced_idle_s)

    async def _open(self, connect_timeout_s: float) -> ClientLink:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_timeout_s):
                _transport, link = await loop.create_connection(
                    lambda: ClientLink(self._silent_after_ms),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            raise LinkLost(was_sent=False) from error
        return link


async def read_body(answer: Response) -> links.Body:
    """Return the body of a response. Raise BodyBroken if it is cut short."""
    if answer.reader is EMPTY_PAYLOAD:
        return b''
    return await links.buffer_body(answer.reader)
