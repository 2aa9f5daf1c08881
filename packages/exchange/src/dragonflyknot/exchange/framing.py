"""Check the framing of requests before another parser sees it."""

import asyncio

from aiohttp.base_protocol import BaseProtocol

from dragonflyknot.exchange.bodyreader import BodyDecoder, BodyReader
from dragonflyknot.exchange.requestheads import HeadParser


class Framing:
    """Tell how many received bytes may be passed on.

    A head is passed on once it is whole, and a body while it arrives. Both are
    bounded as those of `HeadParser` and `BodyDecoder`.
    """

    def __init__(
        self, protocol: BaseProtocol, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Expect a head."""
        self._heads = HeadParser(protocol, loop)
        self._loop = loop
        self._decoder: BodyDecoder | None = None
        self._content = BodyReader(loop, _pass)

    @property
    def is_in_body(self) -> bool:
        """Return whether the body of a request has not ended."""
        return self._decoder is not None

    def passable(self, received: bytes, line_bytes: int) -> tuple[int, int]:
        """Return how many bytes to drop and how many to pass on then.

        Raise HttpProcessingError or MalformedBody if they are not to be served.
        """
        if self._decoder is not None:
            return 0, self._pass_body(received, self._decoder)
        rest = self._heads.skip_blank(received)
        dropped = len(received) - len(rest)
        head = self._heads.parse(rest, line_bytes)
        if head is None:
            return dropped, 0
        self._decoder = head.decoder
        self._content = BodyReader(self._loop, _pass)
        return dropped, head.size

    def _pass_body(self, received: bytes, decoder: BodyDecoder) -> int:
        count = decoder.decode(received, self._content)
        self._content.drop()
        if self._content.is_eof():
            self._decoder = None
        return count


def _pass() -> None:
    """Ignore that content was read; nobody waits for room."""
