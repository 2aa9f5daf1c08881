"""Probe an attempt whose connection may have gone silent.

If no answer arrives for a while, the gate is asked over another connection
what became of the attempt. `ResolvedNever` is binding: an attempt that is
merely delayed on the network is refused on arrival. An idempotent call is
probed early, so that it soon gets another attempt; for any other call the
delay grows with its remaining time. The wait ends if the gate never saw the
attempt, or finished it and the answer did not arrive; it continues while the
attempt is queued or running.

Most answers arrive before the first probe, so one timer serves both the
probe and the deadline of the attempt.
"""

import asyncio
import time
from types import TracebackType
from typing import Protocol

from dragonflyknot.decisions import ledger
from dragonflyknot.decisions.calls import Attempt, Call

MIN_PROBE_DELAY_S = 0.5
MAX_PROBE_DELAY_S = 2.0
# Part of its remaining time after which a non-idempotent call is probed.
PROBE_DELAY_SHARE = 0.25
PROBE_INTERVAL_S = 1.0
LATE_ANSWER_GRACE_S = 0.5


class Resolving(Protocol):
    """Resolve attempts at gates."""

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Return the state of an attempt; `ResolvedNever` is binding."""

    def suspect(self, host: str, since: float) -> None:
        """Replace connections to a host without an answer since `since`."""


class AttemptProbe:
    """Probe one attempt while its answer is awaited; a context manager."""

    def __init__(
        self, resolver: Resolving, attempt: Attempt, scope: asyncio.Timeout
    ) -> None:
        """Probe an attempt in an open timeout scope, which it reschedules."""
        self._resolver = resolver
        self._attempt = attempt
        self._scope = scope
        self._deadline: float = 0
        self._began: float = 0
        self._timer: asyncio.TimerHandle | None = None
        self._probe: asyncio.Task[None] | None = None
        self.resolved: ledger.Resolved | None = None

    def __enter__(self) -> 'AttemptProbe':
        """Schedule the first probe, or the deadline if that comes first."""
        loop = asyncio.get_running_loop()
        now = time.monotonic()
        self._began = now
        call = self._attempt.call
        left_s = max(call.deadline - now, 0)
        probe_delay_s = _probe_delay_s(call, now)
        self._deadline = loop.time() + left_s
        if left_s <= probe_delay_s:
            self._scope.reschedule(self._deadline)
        else:
            self._timer = loop.call_later(probe_delay_s, self._start_probing)
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

    def _start_probing(self) -> None:
        self._scope.reschedule(self._deadline)
        self._probe = asyncio.ensure_future(self._probe_until_ended())

    async def _probe_until_ended(self) -> None:
        while True:
            resolved = await self._resolver.resolve(self._attempt)
            if _has_ended(resolved):
                break
            await asyncio.sleep(PROBE_INTERVAL_S)
        if isinstance(resolved, ledger.ResolvedFinished):
            # The answer may still arrive; it is preferred to the resolution.
            await asyncio.sleep(LATE_ANSWER_GRACE_S)
        self.resolved = resolved
        self._resolver.suspect(self._attempt.host, self._began)
        self._scope.reschedule(asyncio.get_running_loop().time())


def _probe_delay_s(call: Call, now: float) -> float:
    if call.idempotent:
        return MIN_PROBE_DELAY_S
    share_s = PROBE_DELAY_SHARE * (call.deadline - now)
    return min(MAX_PROBE_DELAY_S, max(MIN_PROBE_DELAY_S, share_s))


def _has_ended(resolved: ledger.Resolved) -> bool:
    match resolved:
        case ledger.ResolvedNever() | ledger.ResolvedFinished():
            return True
        case _:
            return False
