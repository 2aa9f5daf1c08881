"""HTTP sessions to the daemons that requests are forwarded to.

When a connection to a daemon stops answering, a device on the path has lost
its state and may have lost that of others. The other old connections to the
daemon, and those to every daemon that has not answered since, are therefore
suspected too: new requests use new sessions, and an old session is closed
when its last request has ended.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import TracebackType

import aiohttp

SessionFactory = Callable[[], aiohttp.ClientSession]


@dataclass(slots=True)
class _SessionEntry:
    session: aiohttp.ClientSession
    answered_at: float
    active_requests: int = 0


class PeerSessions:
    """HTTP sessions by host, as a context manager."""

    def __init__(self, factory: SessionFactory) -> None:
        """Create sessions with a factory."""
        self._factory = factory
        self._entries_by_host: dict[str, _SessionEntry] = {}
        self._suspected: list[_SessionEntry] = []

    async def __aenter__(self) -> 'PeerSessions':
        """Return the pool; sessions are created on first use."""
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
        """Provide the session of a host for one request."""
        entry = self._entries_by_host.get(host)
        if entry is None:
            entry = _SessionEntry(self._factory(), time.monotonic())
            self._entries_by_host[host] = entry
        entry.active_requests += 1
        try:
            yield entry.session
            entry.answered_at = time.monotonic()
        finally:
            entry.active_requests -= 1

    def suspect(self, host: str, since: float) -> None:
        """Replace the sessions of a host and of daemons silent since a time.

        `since` is in monotonic seconds.
        """
        suspected_hosts = [
            known_host
            for known_host, entry in self._entries_by_host.items()
            if known_host == host or entry.answered_at < since
        ]
        for suspected_host in suspected_hosts:
            self._suspected.append(self._entries_by_host.pop(suspected_host))

    async def close_unused(self) -> None:
        """Close suspected sessions without active requests."""
        unused = [
            entry for entry in self._suspected if not entry.active_requests
        ]
        self._suspected = [
            entry for entry in self._suspected if entry.active_requests
        ]
        for entry in unused:
            await entry.session.close()
