"""Logs that nobody reads stop nothing."""

import asyncio
import os
from collections.abc import Iterator
from contextlib import contextmanager

import testtools

from asyncrun import run_async
from dragonflyknot.daemon.logoutput import LogOutput
from dragonflyknot.exchange.telemetry import (
    MAX_BURST_LINES,
    RateLimitedLog,
)

LINE = 'x' * 999 + '\n'


@contextmanager
def pipe() -> Iterator[tuple[int, int]]:
    """Open a pipe whose reader does not read by itself."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    try:
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


def available(reader: int) -> bytes:
    """Return what can be read without waiting."""
    try:
        return os.read(reader, 65536)
    except BlockingIOError:
        return b''


class BlockedReaderTest(testtools.TestCase):
    """The reader of the logs does not read."""

    def test_lines_are_held_and_then_dropped(self) -> None:
        """Return from each write, and keep the memory bounded."""
        with pipe() as (_reader, writer):
            output = LogOutput(writer, most_bytes=10 * len(LINE))
            for _line in range(1000):
                output.write(LINE)
            self.assertGreater(output.dropped, 500)

    def test_whole_lines_follow_when_it_reads_again(self) -> None:
        """Write what was held, line by line, and then new lines."""

        async def body() -> None:
            with pipe() as (reader, writer):
                output = LogOutput(writer, most_bytes=10 * len(LINE))
                for _line in range(1000):
                    output.write(LINE)
                kept = 1000 - output.dropped
                content = b''
                while len(content) < kept * len(LINE):
                    await asyncio.sleep(0.001)
                    content += available(reader)
                self.assertEqual(LINE.encode() * kept, content)
                output.write('last\n')
                self.assertEqual(b'last\n', available(reader))

        run_async(body())

    def test_reader_that_went_away(self) -> None:
        """Go on without logs."""
        reader, writer = os.pipe()
        os.close(reader)
        output = LogOutput(writer)
        output.write(LINE)
        os.close(writer)
        self.assertEqual(1, output.dropped)


class VolumeTest(testtools.TestCase):
    """Lines about requests are bounded, whatever the load."""

    def test_a_flood_of_refusals(self) -> None:
        """Write a burst of lines and count the rest."""
        log = RateLimitedLog()
        for _refusal in range(5000):
            log.write('refused', kind='shed')
        self.assertGreaterEqual(log.dropped, 5000 - 2 * MAX_BURST_LINES)
