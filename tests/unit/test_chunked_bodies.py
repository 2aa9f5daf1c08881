"""Tests of bodies in the chunked transfer coding."""

import asyncio
from collections.abc import Iterable

import testtools

from asyncrun import run_async
from dragonflyknot.exchange.bodyreader import BodyReader, ChunkedDecoder

CONTENT = b'one, two and the rest'
BODY = b'5;a=b\r\none, \r\n10\r\ntwo and the rest\r\n'
ENDS = (b'0\r\n\r\n', b'0\r\nSum: 1\r\n\r\n', b'00;x\r\nA: 1\r\nB: 2\r\n\r\n')
NEXT = b'GET / HTTP/1.1\r\n'


async def decoded(pieces: Iterable[bytes]) -> tuple[bytes, bytes, bool]:
    """Return the content, what was left of the bytes, and if it is whole."""
    reader = BodyReader(asyncio.get_running_loop(), lambda: None)
    decoder = ChunkedDecoder()
    left = b''
    for piece in pieces:
        left += piece
        if not reader.is_eof():
            left = left[decoder.decode(left, reader) :]
    is_whole = reader.is_eof()
    reader.feed_eof()
    content = b''
    while part := await reader.readany():
        content += part
    return content, left, is_whole


class ChunkedDecoderTest(testtools.TestCase):
    """A body is the same wherever a segment of the link ends."""

    # Guards against uploads that are cut since their last bytes arrive in a
    # segment of their own.
    def test_two_segments(self) -> None:
        """Decode a body that arrives in two pieces."""
        for end in ENDS:
            sent = BODY + end + NEXT
            for at in range(len(sent)):
                pieces = (sent[:at], sent[at:])
                result = run_async(decoded(pieces))
                self.assertEqual((CONTENT, NEXT, True), result, str(pieces))

    # Guards against the same for links that carry a byte at a time.
    def test_bytes(self) -> None:
        """Decode a body that arrives byte by byte."""
        for end in ENDS:
            sent = BODY + end
            pieces = [sent[at : at + 1] for at in range(len(sent))]
            result = run_async(decoded(pieces))
            self.assertEqual((CONTENT, b'', True), result)

    def test_cut_body(self) -> None:
        """Take no body as whole before its last byte."""
        for end in ENDS:
            sent = BODY + end
            for at in range(len(sent)):
                _content, _left, is_whole = run_async(decoded([sent[:at]]))
                self.assertFalse(is_whole, str(sent[:at]))
