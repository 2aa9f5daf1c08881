"""Watch an attempt whose connection may have fallen silent.

An attempt without an answer for a while is resolved over another connection.
A resolved *never* binds, so that one that is only slow on its way is refused
on arrival. An idempotent call soon gets another attempt; any other waits
longer, in proportion to its time. If the gate never saw it, or ended it
without the answer coming through, the wait ends; while it is queued or
running, the wait goes on.
Most answers come before the first probe, so one timer serves both the probe
and the deadline of the attempt.
"""

import asyncio
import time
from types import TracebackType
from typing import Protocol

from dragonflyknot.decisions import ledger
from dragonflyknot.decisions.calls import Attempt, Call

SHORT_PATIENCE_S = 0.5
LONG_PATIENCE_S = 2.0
PATIENCE_SHARE = 0.25
PROBE_EVERY_S = 1.0
GRACE_S = 0.5


class Resolving(Protocol):
    """Ask a gate what became of an attempt."""

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Return what the gate knows; *never* binds."""

    def suspect(self, host: str, since: float) -> None:
        """Use new connections where none has answered since a time."""


class Watch:
    """Probe one attempt while its answer is awaited; a context manager."""

    def __init__(
        self, resolver: Resolving, attempt: Attempt, scope: asyncio.Timeout
    ) -> None:
        """Keep the open timeout scope; the watch sets when it ends."""
        self._resolver = resolver
        self._attempt = attempt
        self._scope = scope
        self._deadline: float = 0
        self._began: float = 0
        self._timer: asyncio.TimerHandle | None = None
        self._probe: asyncio.Task[None] | None = None
        self.resolved: ledger.Resolved | None = None

    def __enter__(self) -> 'Watch':
        """Begin to wait for the deadline or the time of the first probe."""
        loop = asyncio.get_running_loop()
        now = time.monotonic()
        self._began = now
        call = self._attempt.call
        left_s = max(call.deadline - now, 0)
        patience_s = _patience_s(call, now)
        self._deadline = loop.time() + left_s
        if left_s <= patience_s:
            self._scope.reschedule(self._deadline)
        else:
            self._timer = loop.call_later(patience_s, self._start)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop probing."""
        if self._timer is not None:
            self._timer.cancel()
        if self._probe is not None:
            self._probe.cancel()

    def _start(self) -> None:
        self._scope.reschedule(self._deadline)
        self._probe = asyncio.ensure_future(self._probe_until_ended())

    async def _probe_until_ended(self) -> None:
        while True:
            resolved = await self._resolver.resolve(self._attempt)
            if _has_ended(resolved):
                break
            await asyncio.sleep(PROBE_EVERY_S)
        if isinstance(resolved, ledger.ResolvedFinished):
            # The answer may be on its way; it goes before the verdict.
            await asyncio.sleep(GRACE_S)
        self.resolved = resolved
        self._resolver.suspect(self._attempt.host, self._began)
        self._scope.reschedule(asyncio.get_running_loop().time())


def _patience_s(call: Call, now: float) -> float:
    if call.idempotent:
        return SHORT_PATIENCE_S
    share_s = PATIENCE_SHARE * (call.deadline - now)
    return min(LONG_PATIENCE_S, max(SHORT_PATIENCE_S, share_s))


def _has_ended(resolved: ledger.Resolved) -> bool:
    match resolved:
        case ledger.ResolvedNever() | ledger.ResolvedFinished():
            return True
        case _:
            return False
