"""Tests of the headers that daemons attach to a forwarded request."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Load
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
            report = hopheaders.GateReport(load, 9, 'host, 1')
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
        self.assertTrue(report.is_from('any host'))

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

    # Guards against an attempt that ends by an OverflowError, unanswered.
    def test_numbers_out_of_range(self) -> None:
        """Reject headers with numbers beyond their range."""
        large = b'1' + b'0' * 400
        for number in (large, b'-' + large, b'9' * 16, b'1' * 5000):
            for place in range(4, 9):
                fields = [b's', b'w', b'c', b'r', b'7', b'1', b'1', b'1', b'1']
                fields[place] = number
                hop = hopheaders.decode_hop(b','.join(fields))
                self.assertTrue(hop.is_err(), (place, number[:20]))
            for place in range(1, 5):
                fields = [b'ready', b'1', b'1', b'1', b'1']
                fields[place] = number
                report = hopheaders.decode_gate_report(b','.join(fields))
                self.assertIsNone(report, str((place, number[:20])))
        for load in (b'ready,-1,1,1,1', b'ready,100001,1,1,1'):
            self.assertIsNone(hopheaders.decode_gate_report(load))

    # Guards against names that add headers to a request.
    def test_names_with_control_characters(self) -> None:
        """Reject names that fit in no header."""
        for name in (b'a%0D%0AKey:x', b'%00', b'a' * 257):
            text = b's,%b,c,r,7,1500,250,1,12' % name
            self.assertTrue(hopheaders.decode_hop(text).is_err())

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.binary()
        | st.lists(
            st.integers().map(lambda number: b'%d' % number)
            | st.sampled_from((b'ready', b's', b'', b'%', b'%ED%A0%80'))
            | st.binary(max_size=4),
            max_size=12,
        ).map(b','.join)
    )
    def test_any_bytes(self, text: bytes) -> None:
        """Decode any bytes to what encodes again, or to an error."""
        match hopheaders.decode_hop(text):
            case Ok(hop):
                hopheaders.encode_hop(hop)
        report = hopheaders.decode_gate_report(text)
        if report is not None:
            hopheaders.encode_gate_report(report)
        hopheaders.decode_refusal(text)


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
