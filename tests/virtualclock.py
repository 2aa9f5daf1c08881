"""Run coroutines in virtual time: waits pass at once, and time stands still
while code runs.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

_Result = TypeVar('_Result')


class _JumpingSelector(selectors.PollSelector):
    """Advance the time by each wait instead of waiting."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self.now = float(0)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now; let `timeout` seconds pass."""
        self.now += timeout or 0
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Take the time from the selector."""

    def __init__(self) -> None:
        """Create a loop at time 0."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping.now


def run_virtual(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end with `time.monotonic` in virtual time."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        loop = runner.get_loop()
        with mock.patch('time.monotonic', loop.time):
            return runner.run(coroutine)
