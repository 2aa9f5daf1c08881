"""Let attempts wait for admission to the upstream.

`AdmissionQueue` passes events to the admission state machine and wakes the
tasks that its commands name. One timer serves the earliest deadline of the
queue.
"""

import asyncio
import time
from collections.abc import Iterable

from dragonflyknot.decisions import admission
from dragonflyknot.decisions.calls import Attempt, LoadReport
from dragonflyknot.exchange.refusing import Refused

_MIN_TIMER_DELAY_S = 0.001


class AdmissionQueue:
    """Run the admission state machine for waiting tasks."""

    def __init__(self, gate: admission.Gate) -> None:
        """Create a queue on an admission state machine."""
        self._gate = gate
        self._waiters_by_attempt_id: dict[
            str, asyncio.Future[Refused | None]
        ] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def admit(self, attempt: Attempt) -> Refused | None:
        """Wait until an attempt may start; return a refusal if it may not."""
        arrived = admission.Arrived(
            attempt.attempt_id,
            attempt.call.workspace,
            attempt.call.priority,
            attempt.call.depth,
            attempt.call.deadline,
        )
        waiter: asyncio.Future[Refused | None]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_attempt_id[attempt.attempt_id] = waiter
        self.apply(arrived)
        if waiter.done():
            return waiter.result()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._waiters_by_attempt_id.pop(attempt.attempt_id, None)
            self.apply(admission.Cancelled(attempt.attempt_id))
            raise

    def apply(self, event: admission.Event) -> None:
        """Pass an event to the state machine and execute its commands."""
        self._execute(self._gate.handle(event, time.monotonic()))
        self._schedule_timer()

    def report(self) -> LoadReport:
        """Return the load of the gate."""
        return self._gate.report()

    def _execute(self, commands: Iterable[admission.Command]) -> None:
        for command in commands:
            match command:
                case admission.Start(attempt_id):
                    self._wake(attempt_id, None)
                case admission.Refuse(attempt_id, refusal, retry_after_s):
                    self._wake(attempt_id, Refused(refusal, retry_after_s))

    def _wake(self, attempt_id: str, refused: Refused | None) -> None:
        waiter = self._waiters_by_attempt_id.pop(attempt_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(refused)

    def _schedule_timer(self) -> None:
        deadline = self._gate.next_deadline()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if deadline is None:
            return
        delay_s = max(deadline - time.monotonic(), _MIN_TIMER_DELAY_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self.apply, admission.Ticked())
