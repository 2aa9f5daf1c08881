"""See that clients have left while their connections are not read."""

import asyncio
import select
from typing import Final, Protocol

WATCH_INTERVAL_S: Final = 0.25
_LEFT: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Unread(Protocol):
    """A connection that is not read at present."""

    def fileno(self) -> int:
        """Return the descriptor of the connection, negative if closed."""

    def client_left(self) -> None:
        """Handle that the client has closed the connection."""


class DepartureWatch:
    """Ask the system about the connections that are not read.

    The event loop learns of a close only from what it reads.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Watch nothing."""
        self._loop = loop
        self._unread: set[Unread] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, unread: Unread) -> None:
        """Watch a connection until it is removed."""
        self._unread.add(unread)
        if self._timer is None:
            self._start()

    def remove(self, unread: Unread) -> None:
        """Stop watching a connection, which is read again or lost."""
        self._unread.discard(unread)

    def close(self) -> None:
        """Watch nothing any more."""
        self._unread.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _start(self) -> None:
        self._timer = self._loop.call_later(WATCH_INTERVAL_S, self._look)

    def _look(self) -> None:
        self._timer = None
        by_descriptor = {one.fileno(): one for one in self._unread}
        by_descriptor.pop(-1, None)
        poll = select.poll()
        for descriptor in by_descriptor:
            poll.register(descriptor, _LEFT)
        for descriptor, _event in poll.poll(0):
            unread = by_descriptor[descriptor]
            self._unread.discard(unread)
            unread.client_left()
        if self._unread:
            self._start()
