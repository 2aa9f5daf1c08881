"""Read request bodies for forwarding.

Small bodies of known length are buffered, so that an attempt can be retried.
Other bodies are streamed with backpressure and can be sent only once; they
are sent with `Expect: 100-continue`, so that a refused request does not
transfer its body.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

MAX_REPLAYABLE_BODY_BYTES = 64 * 1024
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclass(slots=True)
class RequestBody:
    """Hold a request body, either buffered or streamed.

    `whole` is None for a streamed body. `length` is in bytes, or None if the
    request did not announce it. `has_started` is set once streaming started.
    """

    whole: bytes | None
    length: int | None
    request: web.BaseRequest
    has_started: bool = False

    @property
    def is_streamed(self) -> bool:
        """Return whether the body is streamed and so can be sent only once."""
        return self.whole is None

    @property
    def can_be_sent(self) -> bool:
        """Return whether the body is buffered or was not streamed yet."""
        return self.whole is not None or not self.has_started

    def content(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body in the form that `aiohttp.ClientSession` accepts."""
        if self.whole is not None:
            return self.whole or None
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self.has_started = True
        await send_continue(self.request)
        async for chunk in self.request.content.iter_any():
            yield chunk


async def read_body(request: web.BaseRequest) -> RequestBody:
    """Return the body of a request, buffered if its length is known and small.

    The limit is `MAX_REPLAYABLE_BODY_BYTES`.
    """
    if not request.can_read_body:
        return RequestBody(b'', 0, request)
    length = request.content_length
    if length is None or length > MAX_REPLAYABLE_BODY_BYTES:
        return RequestBody(None, length, request)
    await send_continue(request)
    whole = await request.content.read(-1)
    return RequestBody(whole, length, request)


async def send_continue(request: web.BaseRequest) -> None:
    """Send `100 Continue` if the client expects it."""
    if request.headers.get('Expect', '').lower() != '100-continue':
        return
    transport = request.transport
    if transport is not None and not request.content.is_eof():
        transport.write(_CONTINUE_RESPONSE)
