"""Hold an HTTP session for each daemon that requests are forwarded to.

When a connection to a daemon falls silent, its other old connections are
suspected too: a new session takes over, and the old one closes when its last
request has ended.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import TracebackType

import aiohttp

SessionFactory = Callable[[], aiohttp.ClientSession]


@dataclass(slots=True)
class _Entry:
    session: aiohttp.ClientSession
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
            entry = _Entry(self._factory())
            self._entries_by_host[host] = entry
        entry.uses += 1
        try:
            yield entry.session
        finally:
            entry.uses -= 1

    def suspect(self, host: str) -> None:
        """Use new connections to a host from now on."""
        entry = self._entries_by_host.pop(host, None)
        if entry is not None:
            self._suspected.append(entry)

    async def close_unused(self) -> None:
        """Close the suspected sessions that no request uses any more."""
        unused = [entry for entry in self._suspected if not entry.uses]
        self._suspected = [entry for entry in self._suspected if entry.uses]
        for entry in unused:
            await entry.session.close()
