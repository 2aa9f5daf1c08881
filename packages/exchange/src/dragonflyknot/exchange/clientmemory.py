"""Bound what a process holds for its clients.

One account counts, for all listeners: connections, heads that have not ended,
requests that wait for their turn, bodies and unread answers. Bodies up to a
limit are buffered, so that their requests can be sent again; longer ones are
streamed, with some bytes read ahead. Each request counts both until its answer
is written.

When little is left, new requests are refused before they run. When nothing is
left, the connection that has waited longest for its client is closed, of those
that hold more than an idle one does.
"""

import time
from contextvars import ContextVar, Token
from typing import Final, Protocol

DEFAULT_LIMIT_BYTES: Final = 64 * 1024 * 1024
# What the parser and the transport of a streamed body hold: one read and the
# bytes beyond which reading pauses.
READ_AHEAD_BYTES: Final = 384 * 1024
# From here on no more requests and bodies are taken; the rest is for what
# those that were taken still receive.
REFUSING_SHARE: Final = 0.8
# A client that lets this time pass, and sends or reads less than this on
# average, gives way to others when the account is full.
STALLED_AFTER_S: Final = 2.0
MIN_BYTES_PER_S: Final = 8 * 1024
ROOM_INTERVAL_S: Final = 0.1
# To close a connection that holds no more than this would hardly make room.
IDLE_LINK_BYTES: Final = 16 * 1024


class ClientLink(Protocol):
    """A connection that counts in the account."""

    @property
    def held_bytes(self) -> int:
        """Return all that is counted for the connection, in bytes."""

    @property
    def waiting_since(self) -> float | None:
        """Return since when it waits for its client (monotonic seconds).

        None if the client waits for the process.
        """

    @property
    def moved_bytes(self) -> int:
        """Return the bytes received or read by the client while it waits."""

    def close_for_room(self) -> None:
        """Close the connection, as others need what it holds."""


class ClientMemory:
    """Count the bytes that a process holds for its clients."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Start with nothing held."""
        self._limit_bytes = limit_bytes
        self._refusing_bytes = int(limit_bytes * REFUSING_SHARE)
        self._links: set[ClientLink] = set()
        self._closing_bytes_by_link: dict[ClientLink, int] = {}
        self._room_made_at = float(0)
        self.held_bytes = 0
        self.closed_links = 0

    @property
    def is_full(self) -> bool:
        """Tell whether no more requests may be taken."""
        return self.held_bytes > self._refusing_bytes

    def join(self, link: ClientLink) -> None:
        """Let a connection take part."""
        self._links.add(link)

    def leave(self, link: ClientLink) -> None:
        """Forget a connection, which has released what it counted."""
        self._links.discard(link)
        self._closing_bytes_by_link.pop(link, None)

    def change(self, count: int) -> None:
        """Count bytes that are held now, or that no longer are.

        Close connections if the sum is over the limit.
        """
        self.held_bytes += count
        if count > 0 and self.held_bytes > self._limit_bytes:
            self._close_until(self._limit_bytes, self._waiting())

    def has_room(self) -> bool:
        """Return whether another request may be taken.

        If there is no room, close the connections of stalled clients.
        """
        if not self.is_full:
            return True
        now = time.monotonic()
        if now - self._room_made_at >= ROOM_INTERVAL_S:
            self._room_made_at = now
            stalled = [one for one in self._waiting() if is_stalled(one, now)]
            self._close_until(self._refusing_bytes, stalled)
        return not self.is_full

    def counting(self) -> 'HeldBytes':
        """Return a context in which a request counts what it holds."""
        return HeldBytes(self)

    def _waiting(self) -> list[ClientLink]:
        """Return the connections that can make room, longest wait first."""
        waiting = [
            (since, one)
            for one in self._links
            if (since := one.waiting_since) is not None
            and one.held_bytes > IDLE_LINK_BYTES
            and one not in self._closing_bytes_by_link
        ]
        waiting.sort(key=lambda pair: pair[0])
        return [one for _since, one in waiting]

    def _close_until(self, limit_bytes: int, links: list[ClientLink]) -> None:
        """Close connections in turn until what is left is below a limit."""
        closing_bytes = sum(self._closing_bytes_by_link.values())
        for link in links:
            if self.held_bytes - closing_bytes <= limit_bytes:
                return
            closing_bytes += link.held_bytes
            self._closing_bytes_by_link[link] = link.held_bytes
            self.closed_links += 1
            link.close_for_room()


def is_stalled(link: ClientLink, now: float) -> bool:
    """Return whether a connection waits for a client that is too slow."""
    since = link.waiting_since
    if since is None or now - since < STALLED_AFTER_S:
        return False
    return link.moved_bytes < MIN_BYTES_PER_S * (now - since)


class HeldBytes:
    """Hold the count of one request; a context manager that releases it.

    The tasks that the request starts count here too.
    """

    __slots__ = ('_is_over', '_memory', '_token', 'count')

    def __init__(self, memory: ClientMemory) -> None:
        """Start with nothing held; `count` is in bytes."""
        self._memory = memory
        self._is_over = False
        self._token: Token[HeldBytes | None]
        self.count = 0

    def __enter__(self) -> 'HeldBytes':
        """Count for this request from now on."""
        self._token = _held.set(self)
        return self

    def __exit__(self, *_details: object) -> None:
        """Release all that was counted."""
        _held.reset(self._token)
        self._is_over = True
        self.release()

    def release(self) -> None:
        """Release what was counted so far."""
        self._memory.change(-self.count)
        self.count = 0

    def add(self, count: int) -> bool:
        """Count bytes; return whether there is room for more.

        A task that outlives its request counts nothing.
        """
        if not self._is_over:
            self.count += count
            self._memory.change(count)
        return not self._memory.is_full


_held: ContextVar[HeldBytes | None] = ContextVar('held', default=None)


def release() -> None:
    """Release what the present request has counted, as it dropped all."""
    held = _held.get()
    if held is not None:
        held.release()


def hold(count: int) -> bool:
    """Count bytes that the present request holds until its answer is written.

    Return whether there is room for more, which always holds outside of
    requests.
    """
    held = _held.get()
    return held is None or held.add(count)
