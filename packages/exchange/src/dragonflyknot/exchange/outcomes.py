"""Requests to an upstream and the possible outcomes of an attempt."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.links import CRLF, Body

MIN_SERVER_ERROR_STATUS: Final = 500
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


@dataclass(slots=True)
class OutgoingRequest:
    """Hold the request that an attempt forwards.

    `lines` are encoded header lines, each with its line end.
    """

    method: str
    target: bytes
    lines: list[bytes]
    body: Body
    request_id: bytes

    @property
    def is_safe(self) -> bool:
        """Return whether the method is safe, that is, without side effects."""
        return self.method in _SAFE_METHODS

    def framing(self) -> bytes:
        """Return the framing header of the body and the end of the head."""
        if not isinstance(self.body, bytes):
            return b'Transfer-Encoding: chunked\r\n\r\n'
        if self.body or not self.is_safe:
            return b'Content-Length: %d\r\n\r\n' % len(self.body)
        return CRLF


@dataclass(slots=True)
class Answered:
    """Hold the response of the upstream.

    `release`, if set, returns the connection of a streamed body to its pool.
    """

    status: int
    lines: list[bytes]
    body: Body
    length: int | None
    release: Callable[[], None] | None = None

    def free(self) -> None:
        """Release the connection of a streamed body."""
        if self.release is not None:
            self.release()


@dataclass(frozen=True, slots=True)
class NotRun:
    """Guarantee that the attempt did not run and never will.

    `reached_upstream` states that the upstream received and refused it.
    """

    refusal: Refusal
    reached_upstream: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Report an attempt whose response was lost or incomplete."""

    refusal: Refusal


Outcome = Answered | NotRun | MayHaveRun
