"""Tests of the log lines about what others write."""

import json
from unittest import mock

import testtools
from structlog.testing import capture_logs

from dragonflyknot.exchange.telemetry import MAX_BURST_LINES, FaultLog
from dragonflyknot.peers import sitewire


class FaultLogTest(testtools.TestCase):
    """A fault is told once, and many faults at a limited rate."""

    # Guards against a line with each read of a row that stays as it is.
    def test_same_fault(self) -> None:
        """Write one line for what is read again and again."""
        faults = FaultLog()
        with capture_logs() as lines:
            for _read in range(50):
                faults.write('entry_malformed', row='a', fault='slots')
                faults.write('entry_malformed', row='b', fault='slots')
        self.assertEqual(['a', 'b'], [line['row'] for line in lines])

    # Guards against a log that another writer fills.
    def test_many_faults(self) -> None:
        """Write a bounded number of lines for ever new faults."""
        with mock.patch('time.monotonic', return_value=float(0)):
            faults = FaultLog()
            with capture_logs() as lines:
                for number in range(10_000):
                    faults.write('entry_malformed', fault=str(number))
        self.assertEqual(MAX_BURST_LINES, len(lines))

    def test_length_of_a_line(self) -> None:
        """Name the row and the field, and not all that it held."""
        stamps = {'h' * 100_000: 'x'}
        content = json.dumps(
            {'version': 1, 'digest': '', 'entries': [], 'stamps': stamps}
        )
        faults = mock.patch.object(sitewire, '_faults', FaultLog())
        with faults, capture_logs() as lines:
            self.assertIsNone(sitewire.decode_entry(b'{', 'odd-row'))
            self.assertIsNone(sitewire.decode_gossip(content.encode()))
        self.assertEqual('odd-row', lines[0]['row'])
        self.assertLessEqual(len(str(lines[1])), 500)
