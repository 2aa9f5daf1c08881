"""Messages between daemons and the meter of the rates."""

import testtools
from hypothesis import given, settings

from dragonflyknot.decisions.demand import (
    Allowance,
    MeterReply,
    WorkspaceDemand,
)
from dragonflyknot.peers import demandwire
from hostilejson import NESTED, strange_texts

LARGE = b'1' + b'0' * 400
USUAL = ('h', 'w', 1.5, [1.5, 2], {'w': [1.5, 2]}, True)


class DemandWireTest(testtools.TestCase):
    """Reports and replies survive the wire; bad ones grant nothing."""

    def test_report(self) -> None:
        """Carry fractions of requests, which reserves leave."""
        report = demandwire.DemandReport(
            'h', {'w': WorkspaceDemand(1.5, -0.25)}
        )
        content = demandwire.encode_report(report)
        self.assertEqual(report, demandwire.decode_report(content))

    def test_reply(self) -> None:
        """Carry allowances and whether the meter grants any."""
        reply = MeterReply(
            is_granting=True, allowances={'w': Allowance(3.5, 2.25)}
        )
        response = demandwire.MeterResponse('h', reply)
        content = demandwire.encode_meter_response(response)
        self.assertEqual(response, demandwire.decode_meter_response(content))

    def test_malformed_reply(self) -> None:
        """Grant nothing by a reply that cannot be read."""
        for content in (
            b'',
            b'[]',
            b'{}',
            b'{"granting":true}',
            b'{"granting":true,"allowances":{"w":[1]}}',
            b'{"granting":"yes","allowances":{}}',
        ):
            reply = demandwire.decode_meter_response(content).reply
            self.assertEqual(MeterReply(), reply, str(content))

    # Guards against a host that stops to report at what it can't read.
    def test_numbers_out_of_range(self) -> None:
        """Read no message that is nested or holds a number out of range."""
        pairs = (b'[%b,1]' % LARGE, b'[1e400,1]', b'[1,NaN]', b'[1e300,1]')
        reports = [b'{"host":"h","demand":{"w":%b}}' % pair for pair in pairs]
        for content in (NESTED, *reports):
            report = demandwire.decode_report(content)
            self.assertIsNone(report, str(content[:90]))
        replies = [
            b'{"granting":true,"allowances":{"w":%b}}' % pair for pair in pairs
        ]
        for content in (NESTED, *replies):
            reply = demandwire.decode_meter_response(content).reply
            self.assertEqual(MeterReply(), reply, str(content[:90]))

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        strange_texts(('host', 'demand', 'granting', 'allowances', 'w'), USUAL)
    )
    def test_any_bytes(self, content: bytes) -> None:
        """Decode any bytes to a message that encodes again, or to none."""
        report = demandwire.decode_report(content)
        if report is not None:
            demandwire.encode_report(report)
        response = demandwire.decode_meter_response(content)
        demandwire.encode_meter_response(response)
