"""What one connection holds, and how its client keeps up."""

import time

from dragonflyknot.exchange.clientmemory import ClientMemory


class LinkAccount:
    """Count a connection's bytes and note how long it waits for its client.

    Times are in seconds of the monotonic clock. `moved_bytes` are the bytes
    that the client has sent or read since `waiting_since`.
    """

    __slots__ = (
        '_memory',
        '_unwritten_bytes',
        'held_bytes',
        'last_active_at',
        'moved_bytes',
        'waiting_since',
    )

    def __init__(self, memory: ClientMemory) -> None:
        """Start with nothing held; the client is waited for."""
        self._memory = memory
        self._unwritten_bytes = 0
        self.held_bytes = 0
        self.moved_bytes = 0
        self.last_active_at = time.monotonic()
        self.waiting_since = self.last_active_at

    def count(self, held_bytes: int) -> None:
        """Count that the connection now holds so many bytes."""
        change = held_bytes - self.held_bytes
        if change:
            self.held_bytes = held_bytes
            self._memory.change(change)

    def begin_wait(self, now: float) -> None:
        """Begin to wait for the next that the client sends or reads."""
        self.waiting_since = now
        self.moved_bytes = 0

    def record_received(self, count: int, now: float) -> None:
        """Record that bytes arrived."""
        self.last_active_at = now
        self.moved_bytes += count

    def record_unwritten(self, unwritten_bytes: int, now: float) -> None:
        """Record as activity that the client has read since the last call."""
        if unwritten_bytes < self._unwritten_bytes:
            self.last_active_at = now
            self.moved_bytes += self._unwritten_bytes - unwritten_bytes
        self._unwritten_bytes = unwritten_bytes
