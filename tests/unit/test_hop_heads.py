"""Tests of the headers that daemons attach to a forwarded request."""

import testtools

from dragonflyknot.decisions.balancer import Load
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange import hopheaders, links

HOP = hopheaders.Hop(
    service='a,b c',
    workspace='wörk',
    caller='x',
    route='r-1',
    priority=7,
    left_s=1.5,
    target_left_s=0.25,
    is_call=True,
    version=12,
    is_retry=True,
)


class HopHeadsTest(testtools.TestCase):
    """Headers are decoded to what was encoded."""

    def test_round_trips(self) -> None:
        """Decode names with separators, and every number, unchanged."""
        text = hopheaders.encode_hop(HOP)
        self.assertEqual(HOP, hopheaders.decode_hop(text).unwrap())
        for makes_calls in (True, False):
            load = Load(UpstreamState.DRAINING, 10, 3, 2, makes_calls)
            report = hopheaders.GateReport(load, 9)
            decoded = hopheaders.decode_gate_report(
                hopheaders.encode_gate_report(report)
            )
            self.assertEqual(report, decoded)
        for offered in (True, False):
            text = hopheaders.encode_refusal(
                Refusal.SHED, reached_upstream=offered
            )
            decoded_refusal = hopheaders.decode_refusal(text)
            self.assertEqual((Refusal.SHED, offered), decoded_refusal)

    def test_newer_version_with_more_fields(self) -> None:
        """Ignore additional fields."""
        text = hopheaders.encode_hop(HOP) + b',new'
        self.assertEqual(HOP, hopheaders.decode_hop(text).unwrap())

    def test_older_version_with_fewer_fields(self) -> None:
        """Default to no retry and to an upstream that makes calls."""
        hop = hopheaders.decode_hop(b's,w,c,r,7,1500,250,1,12').unwrap()
        self.assertFalse(hop.is_retry)
        report = hopheaders.decode_gate_report(b'ready,1,1,1,1')
        assert report is not None
        self.assertTrue(report.load.makes_calls)

    def test_malformed(self) -> None:
        """Reject malformed headers."""
        for text in (b'', b'a,b,c,d', b'a,b,c,d,x,1,1,1,1'):
            self.assertTrue(hopheaders.decode_hop(text).is_err())
        for load in (
            None,
            b'',
            b'ready,1',
            b'odd,1,1,1,1,1',
            b'ready,x,1,1,1,1',
        ):
            self.assertIsNone(hopheaders.decode_gate_report(load))


class ForwardedHeadersTest(testtools.TestCase):
    """Hop-by-hop headers are not forwarded."""

    def test_connection_options(self) -> None:
        """Drop headers named by `Connection` and those given as dropped."""
        lines = (
            (b'Host', b'h'),
            (b'Connection', b'close, X-Hop'),
            (b'X-Hop', b'1'),
            (b'Key', b'secret'),
            (b'X-Kept', b'1'),
            (b'Content-Length', b'5'),
        )
        head = links.index_headers(lines)
        forwarded = links.end_to_end_lines(lines, head, frozenset((b'key',)))
        self.assertEqual([b'Host: h\r\n', b'X-Kept: 1\r\n'], forwarded)

    def test_repeated_names(self) -> None:
        """Keep every line of a repeated header."""
        lines = ((b'A', b'1'), (b'Key', b'k'), (b'a', b'2'), (b'B', b'3'))
        forwarded = links.end_to_end_lines(
            lines, links.index_headers(lines), frozenset((b'key',))
        )
        self.assertEqual([b'A: 1\r\n', b'a: 2\r\n', b'B: 3\r\n'], forwarded)
