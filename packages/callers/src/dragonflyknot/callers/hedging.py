"""Hedge an attempt: race it against a second one once it is late.

Nothing is given up for the hedge. The first success ends the other one; a
refusal or failure of one leaves the other at work.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from dragonflyknot.callers.attempttimer import AttemptTimer
from dragonflyknot.exchange.outcomes import (
    MIN_SERVER_ERROR_STATUS,
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)

Hedge = Coroutine[Any, Any, Outcome]


class HedgedAttempt:
    """Run an attempt in a task, and a hedge beside it if it is late."""

    __slots__ = ('_hedge', '_on_late', '_timer')

    def __init__(
        self,
        task: asyncio.Task[Any],
        late_after_s: float,
        on_late: Callable[[], Hedge | None],
    ) -> None:
        """Run in `task`; `on_late` returns the hedge, None to only wait."""
        self._on_late = on_late
        self._hedge: asyncio.Task[Outcome] | None = None
        self._timer = AttemptTimer(task, late_after_s, self._start_hedge)

    async def run(self, attempt: Awaitable[Outcome]) -> Outcome:
        """Return the outcome of the attempt or of its hedge.

        The connection of a streamed answer that is not returned is released.
        """
        outcome: Outcome | None = None
        used: Outcome | None = None
        try:
            with self._timer:
                outcome = await attempt
            used = await self._settle(outcome)
            return used
        finally:
            for unused in (outcome, self._end_hedge()):
                if isinstance(unused, Answered) and unused is not used:
                    unused.free()

    def _start_hedge(self) -> None:
        hedge = self._on_late()
        if hedge is not None:
            self._hedge = asyncio.ensure_future(hedge)
            self._hedge.add_done_callback(self._on_hedge_ended)

    def _on_hedge_ended(self, hedge: asyncio.Task[Outcome]) -> None:
        if has_succeeded(_outcome_of(hedge)):
            self._timer.cancel()

    async def _settle(self, outcome: Outcome | None) -> Outcome:
        """Return the outcome to use; None stands for a cancelled attempt."""
        if self._hedge is None or has_succeeded(outcome):
            assert outcome is not None
            return outcome
        hedged = await self._hedge
        if outcome is None or _rank(hedged) > _rank(outcome):
            return hedged
        return outcome

    def _end_hedge(self) -> Outcome | None:
        """Cancel the hedge unless it has ended; return its outcome, if any."""
        hedge = self._hedge
        if hedge is None or hedge.cancel():
            return None
        return _outcome_of(hedge)


def has_succeeded(outcome: Outcome | None) -> bool:
    """Tell whether an attempt got an answer that is no server error."""
    match outcome:
        case Answered(status):
            return status < MIN_SERVER_ERROR_STATUS
        case _:
            return False


def _outcome_of(hedge: asyncio.Task[Outcome]) -> Outcome | None:
    """Return the outcome of an ended hedge, None if it has none."""
    if hedge.cancelled() or hedge.exception() is not None:
        return None
    return hedge.result()


def _rank(outcome: Outcome) -> int:
    """Rank outcomes by what they tell the caller of a request."""
    match outcome:
        case Answered():
            return 3 if has_succeeded(outcome) else 2
        case MayHaveRun():
            return 1
        case NotRun():
            return 0
