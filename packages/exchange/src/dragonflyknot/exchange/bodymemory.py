"""Bound the bytes of bodies that a process holds.

Bodies up to a limit are buffered, so that their requests can be sent again;
longer ones are streamed, with some bytes read ahead. Each request counts both
until its answer is written. When the process holds too much, no more bodies of
responses are buffered, and requests are refused before they run.
"""

from contextvars import ContextVar, Token
from typing import Final

DEFAULT_LIMIT_BYTES: Final = 64 * 1024 * 1024
# What the parser and the transport of a streamed body hold: one read and the
# bytes beyond which reading pauses.
READ_AHEAD_BYTES: Final = 384 * 1024


class BodyMemory:
    """Count the bytes of bodies that the requests of a process hold."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Start with nothing held."""
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def is_full(self) -> bool:
        """Tell whether the process holds as much as it may."""
        return self.held_bytes >= self._limit_bytes

    def counting(self) -> 'HeldBytes':
        """Return a context in which a request counts what it holds."""
        return HeldBytes(self)


class HeldBytes:
    """Hold the count of one request; a context manager that releases it.

    The tasks that the request starts count here too.
    """

    __slots__ = ('_bytes', '_is_over', '_memory', '_token')

    def __init__(self, memory: BodyMemory) -> None:
        """Start with nothing held."""
        self._memory = memory
        self._bytes = 0
        self._is_over = False
        self._token: Token[HeldBytes | None]

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
        self._memory.held_bytes -= self._bytes
        self._bytes = 0

    def add(self, count: int) -> bool:
        """Count bytes; return whether there is room for more.

        A task that outlives its request counts nothing.
        """
        if not self._is_over:
            self._bytes += count
            self._memory.held_bytes += count
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
