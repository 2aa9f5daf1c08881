"""Write log lines without ever waiting for who reads them.

Lines that the reader does not take in time are held up to a bound. Beyond
it they are dropped and counted, so that a blocked pipe stops no request.
"""

import asyncio
import os
import sys
from collections import deque
from typing import Final

MOST_HELD_BYTES: Final = 256 * 1024


class LogOutput:
    """Write whole lines to a descriptor; hold or drop what it can't take."""

    def __init__(self, descriptor: int, most_bytes: int = MOST_HELD_BYTES):
        """Make the descriptor non-blocking."""
        self._descriptor = descriptor
        self._most_bytes = most_bytes
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._is_armed = False
        self.dropped = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError as error:
            sys.stderr.write(f'The log output may block: {error}.\n')

    def write(self, text: str) -> int:
        """Write a line, hold it or drop it."""
        line = text.encode()
        if self._held_bytes + len(line) > self._most_bytes:
            self.dropped += 1
            return len(text)
        self._held.append(line)
        self._held_bytes += len(line)
        if not self._is_armed:
            self._write_held()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as lines are written at once or when it is possible."""

    def _write_held(self) -> None:
        try:
            while self._held:
                self._write_first()
        except BlockingIOError:
            self._arm()
            return
        except OSError:
            # Nobody reads any more; the process goes on without logs.
            self._drop_held()
        self._disarm()

    def _write_first(self) -> None:
        line = self._held[0]
        written = os.write(self._descriptor, line)
        self._held_bytes -= written
        if written == len(line):
            self._held.popleft()
        else:
            self._held[0] = line[written:]

    def _drop_held(self) -> None:
        self.dropped += len(self._held)
        self._held.clear()
        self._held_bytes = 0

    def _arm(self) -> None:
        if self._is_armed:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The next line tries again.
            return
        loop.add_writer(self._descriptor, self._write_held)
        self._is_armed = True

    def _disarm(self) -> None:
        if self._is_armed:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_armed = False
