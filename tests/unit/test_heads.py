"""Tests of which headers the edge and the gate forward."""

import testtools
from multidict import CIMultiDict, CIMultiDictProxy

from dragonflyknot.exchange.headerfilter import answer_head, request_head


def received(*pairs: tuple[str, str]) -> CIMultiDictProxy[str]:
    """Build headers as a server receives them."""
    return CIMultiDictProxy(CIMultiDict(pairs))


class RequestHeadTest(testtools.TestCase):
    """Requests are forwarded without the API key and hop-by-hop headers."""

    def test_drops(self) -> None:
        dropped = (
            ('Authorization', 'Bearer secret'),
            ('authorization', 'Bearer secret'),
            ('Connection', 'keep-alive'),
            ('Transfer-Encoding', 'chunked'),
            ('TE', 'trailers'),
            ('Upgrade', 'h2c'),
            ('Expect', '100-continue'),
            ('Dragonflyknot-Call', '{}'),
            ('DRAGONFLYKNOT-SECRET', 'guess'),
            ('Dragonflyknot-Chain', 'abc'),
        )
        for pair in dropped:
            self.assertEqual([], list(request_head(received(pair)).items()))

    def test_drops_what_connection_names(self) -> None:
        head = request_head(
            received(('Connection', 'close, X-Hop'), ('X-Hop', '1'))
        )
        self.assertEqual([], list(head.items()))

    def test_keeps_repeated_headers_and_length(self) -> None:
        head = request_head(
            received(('X-Tag', 'a'), ('X-Tag', 'b'), ('Content-Length', '3')),
            {'Request-Timeout': '9'},
        )
        self.assertEqual(['a', 'b'], head.getall('X-Tag'))
        self.assertEqual('3', head['Content-Length'])
        self.assertEqual('9', head['Request-Timeout'])


class AnswerHeadTest(testtools.TestCase):
    """An upstream cannot set headers with the reserved prefix."""

    def test_drops_reserved(self) -> None:
        head = answer_head(
            received(
                ('Dragonflyknot-Refusal', 'shed;local'),
                ('Dragonflyknot-Outcome', 'not-run'),
                ('ETag', 'x'),
            )
        )
        self.assertEqual([('ETag', 'x')], list(head.items()))
