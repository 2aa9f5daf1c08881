"""Read the body of a request for sending it on.

Small bodies of known length are read whole, so that an attempt can be
repeated. Other bodies stream with backpressure and are sent once; they ask
the receiver for a `100 Continue` first, so that a refusal costs no body.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

REPLAYABLE_BYTES = 64 * 1024
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclass(slots=True)
class RequestBody:
    """Hold the body of one request, whole or as a stream.

    `length` is in bytes, or None where it is not known beforehand.
    """

    whole: bytes | None
    length: int | None
    request: web.BaseRequest
    has_begun: bool = False

    @property
    def is_streamed(self) -> bool:
        """Tell whether the body can be sent only once."""
        return self.whole is None

    @property
    def can_be_sent(self) -> bool:
        """Tell whether an attempt can still send the body."""
        return self.whole is not None or not self.has_begun

    def content(self) -> bytes | AsyncIterator[bytes] | None:
        """Return what an HTTP client sends as the body."""
        if self.whole is not None:
            return self.whole or None
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self.has_begun = True
        await allow_body(self.request)
        async for chunk in self.request.content.iter_any():
            yield chunk


async def read_body(request: web.BaseRequest) -> RequestBody:
    """Return the body of a request, read whole where it is small."""
    if not request.can_read_body:
        return RequestBody(b'', 0, request)
    length = request.content_length
    if length is None or length > REPLAYABLE_BYTES:
        return RequestBody(None, length, request)
    await allow_body(request)
    whole = await request.content.read(-1)
    return RequestBody(whole, length, request)


async def allow_body(request: web.BaseRequest) -> None:
    """Send `100 Continue` to a client that waits for it."""
    if request.headers.get('Expect', '').lower() != '100-continue':
        return
    transport = request.transport
    if transport is not None and not request.content.is_eof():
        transport.write(_CONTINUE)
