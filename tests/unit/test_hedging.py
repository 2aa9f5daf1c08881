"""Hedged attempts: the first success counts, and nothing else is given up."""

import asyncio
from typing import Any

import testtools

from asyncrun import run_async
from dragonflyknot.callers.hedging import HedgedAttempt
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)

SERVED = Answered(200, [], b'', 0)
FAILED = Answered(500, [], b'', 0)
BROKEN = MayHaveRun(Refusal.UPSTREAM_BROKE)
REFUSED = NotRun(Refusal.SHED)
NEVER = object()


class Attempt:
    """Ends with an outcome once it is told to; remembers its cancellation."""

    def __init__(self, outcome: Outcome | object) -> None:
        """Keep the outcome; `NEVER` stands for none."""
        self._outcome = outcome
        self.may_end = asyncio.Event()
        self.is_cancelled = False

    async def run(self) -> Outcome:
        """Wait, then return the outcome."""
        try:
            await self.may_end.wait()
            if self._outcome is NEVER:
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise
        assert isinstance(self._outcome, Answered | NotRun | MayHaveRun)
        return self._outcome


def _start(first: Attempt, second: Attempt) -> 'asyncio.Task[Outcome]':
    async def body() -> Outcome:
        task: asyncio.Task[Any] | None = asyncio.current_task()
        assert task is not None
        return await HedgedAttempt(task, 0, second.run).run(first.run())

    return asyncio.ensure_future(body())


class HedgedAttemptTest(testtools.TestCase):
    """Two attempts of one request run side by side."""

    def _race(
        self, first: Outcome | object, second: Outcome | object, *order: int
    ) -> tuple[Outcome, list[bool]]:
        """End two attempts in an order; return the outcome and the cancels."""

        async def body() -> tuple[Outcome, list[bool]]:
            attempts = [Attempt(first), Attempt(second)]
            racing = _start(*attempts)
            await asyncio.sleep(0.01)
            for number in order:
                attempts[number].may_end.set()
                await asyncio.sleep(0.01)
            outcome = await racing
            await asyncio.sleep(0)
            return outcome, [one.is_cancelled for one in attempts]

        return run_async(body())

    def test_first_success_ends_the_other(self) -> None:
        """Return the first success and cancel the other attempt."""
        self.assertEqual(
            (SERVED, [False, True]), self._race(SERVED, NEVER, 1, 0)
        )
        self.assertEqual(
            (SERVED, [True, False]), self._race(NEVER, SERVED, 0, 1)
        )

    def test_failure_leaves_the_other_at_work(self) -> None:
        """Wait for the other attempt if one fails or is refused."""
        for unserved in (FAILED, BROKEN, REFUSED):
            self.assertEqual(
                (SERVED, [False, False]), self._race(SERVED, unserved, 1, 0)
            )
            self.assertEqual(
                (SERVED, [False, False]), self._race(unserved, SERVED, 0, 1)
            )

    # A refusal promised "not run" for a request whose other attempt may run.
    def test_refusal_counts_only_if_no_attempt_may_have_run(self) -> None:
        """Prefer an outcome that may have run to a refusal."""
        for ran in (FAILED, BROKEN):
            for order in ((0, 1), (1, 0)):
                self.assertEqual(ran, self._race(ran, REFUSED, *order)[0])
                self.assertEqual(ran, self._race(REFUSED, ran, *order)[0])
        self.assertEqual(REFUSED, self._race(REFUSED, REFUSED, 0, 1)[0])

    def test_cancellation_ends_both(self) -> None:
        """Cancel both attempts if the caller leaves."""

        async def body() -> None:
            attempts = [Attempt(NEVER), Attempt(NEVER)]
            racing = _start(*attempts)
            await asyncio.sleep(0.01)
            racing.cancel()
            await asyncio.wait([racing])
            await asyncio.sleep(0)
            self.assertTrue(racing.cancelled())
            self.assertEqual(
                [True, True], [one.is_cancelled for one in attempts]
            )

        run_async(body())

    def test_unused_streamed_answer_is_released(self) -> None:
        """Release the connection of an answer that comes second."""

        async def body() -> None:
            released: list[str] = []
            streamed = Answered(
                200, [], b'', 0, lambda: released.append('hedge')
            )
            first, second = Attempt(SERVED), Attempt(streamed)
            racing = _start(first, second)
            await asyncio.sleep(0.01)
            # Both end before either learns of the other.
            second.may_end.set()
            first.may_end.set()
            self.assertIs(SERVED, await racing)
            self.assertEqual(['hedge'], released)

        run_async(body())
