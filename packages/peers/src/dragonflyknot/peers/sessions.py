"""Hold an HTTP session for each daemon that requests are forwarded to.

When a connection to a daemon falls silent, something on the way has lost track
of it. Its other old connections are suspected too, and so are those of every
daemon that has not answered since: new sessions take over, and each old one
closes when its last request has ended.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import TracebackType

import aiohttp

SessionFactory = Callable[[], aiohttp.ClientSession]


@dataclass(slots=True)
class _Entry:
    session: aiohttp.ClientSession
    answered_at: float
    uses: int = 0


class PeerSessions:
    """Own the sessions by host; a context manager."""

    def __init__(self, factory: SessionFactory) -> None:
        """Keep how sessions are made."""
        self._factory = factory
        self._entries_by_host: dict[str, _Entry] = {}
        self._suspected: list[_Entry] = []

    async def __aenter__(self) -> 'PeerSessions':
        """Start without sessions."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all sessions."""
        entries = [*self._entries_by_host.values(), *self._suspected]
        for entry in entries:
            await entry.session.close()

    @contextmanager
    def using(self, host: str) -> Iterator[aiohttp.ClientSession]:
        """Lend the session of a host for one request."""
        entry = self._entries_by_host.get(host)
        if entry is None:
            entry = _Entry(self._factory(), time.monotonic())
            self._entries_by_host[host] = entry
        entry.uses += 1
        try:
            yield entry.session
            entry.answered_at = time.monotonic()
        finally:
            entry.uses -= 1

    def suspect(self, host: str, since: float) -> None:
        """Replace the sessions of a host and of all silent since a time.

        `since` is in monotonic seconds.
        """
        suspects = [
            other
            for other, entry in self._entries_by_host.items()
            if other == host or entry.answered_at < since
        ]
        for suspected in suspects:
            self._suspected.append(self._entries_by_host.pop(suspected))

    async def close_unused(self) -> None:
        """Close the suspected sessions that no request uses any more."""
        unused = [entry for entry in self._suspected if not entry.uses]
        self._suspected = [entry for entry in self._suspected if entry.uses]
        for entry in unused:
            await entry.session.close()
