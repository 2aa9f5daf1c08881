"""Messages between daemons and the meter of the rates."""

import testtools

from dragonflyknot.decisions.demand import (
    Allowance,
    MeterReply,
    WorkspaceDemand,
)
from dragonflyknot.peers import demandwire


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
        content = demandwire.encode_meter_reply(reply)
        self.assertEqual(reply, demandwire.decode_meter_reply(content))

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
            reply = demandwire.decode_meter_reply(content)
            self.assertEqual(MeterReply(), reply, str(content))
