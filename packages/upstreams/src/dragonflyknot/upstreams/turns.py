"""Let attempts wait for their turn at the admission gate.

`Turns` feeds the admission state machine and wakes the tasks that its
commands name. One timer serves the earliest deadline of the queue.
"""

import asyncio
import time
from collections.abc import Iterable

from dragonflyknot.decisions import admission
from dragonflyknot.decisions.calls import Attempt, LoadReport
from dragonflyknot.exchange.refusing import Refused

_MINIMUM_DELAY_S = 0.001


class Turns:
    """Run the admission state machine for tasks that wait."""

    def __init__(self, gate: admission.Gate) -> None:
        """Keep the state machine."""
        self._gate = gate
        self._waiting_by_attempt: dict[str, asyncio.Future[Refused | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def take(self, attempt: Attempt) -> Refused | None:
        """Wait until the attempt may start; return a refusal if it may not."""
        arrived = admission.Arrived(
            attempt.attempt_id,
            attempt.call.workspace,
            attempt.call.priority,
            attempt.call.depth,
            attempt.call.deadline,
        )
        turn: asyncio.Future[Refused | None]
        turn = asyncio.get_running_loop().create_future()
        self._waiting_by_attempt[attempt.attempt_id] = turn
        self.tell(arrived)
        if turn.done():
            return turn.result()
        try:
            return await turn
        except asyncio.CancelledError:
            self._waiting_by_attempt.pop(attempt.attempt_id, None)
            self.tell(admission.Cancelled(attempt.attempt_id))
            raise

    def tell(self, event: admission.Event) -> None:
        """Feed an event to the state machine and carry out its commands."""
        self._carry_out(self._gate.handle(event, time.monotonic()))
        self._schedule()

    def report(self) -> LoadReport:
        """Return the load of the gate."""
        return self._gate.report()

    def _carry_out(self, commands: Iterable[admission.Command]) -> None:
        for command in commands:
            match command:
                case admission.Start(attempt_id):
                    self._wake(attempt_id, None)
                case admission.Refuse(attempt_id, refusal, retry_after_s):
                    self._wake(attempt_id, Refused(refusal, retry_after_s))

    def _wake(self, attempt_id: str, refused: Refused | None) -> None:
        turn = self._waiting_by_attempt.pop(attempt_id, None)
        if turn is not None and not turn.done():
            turn.set_result(refused)

    def _schedule(self) -> None:
        deadline = self._gate.next_deadline()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if deadline is None:
            return
        delay_s = max(deadline - time.monotonic(), _MINIMUM_DELAY_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self.tell, admission.Ticked())
