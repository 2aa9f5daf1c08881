"""Detect an attempt that takes unusually long, and cancel it if allowed.

The timer runs in the task of the request. After a cancellation by the timer
the task continues after the `with` block; other cancellations propagate.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self


class AttemptTimer:
    """Call `on_late` once an attempt is late; a context manager.

    The attempt is cancelled if `on_late` returns true.
    """

    __slots__ = (
        '_cancellations_before',
        '_delay_s',
        '_on_late',
        '_task',
        '_timer',
        'has_cancelled',
    )

    def __init__(
        self,
        task: asyncio.Task[None],
        delay_s: float,
        on_late: Callable[[], bool],
    ) -> None:
        """Watch a task; an attempt is late after `delay_s` seconds."""
        self._task = task
        self._delay_s = delay_s
        self._on_late = on_late
        self.has_cancelled = False

    def __enter__(self) -> Self:
        """Start the timer."""
        self._cancellations_before = self._task.cancelling()
        loop = self._task.get_loop()
        self._timer = loop.call_later(self._delay_s, self._on_timer)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> bool:
        """Stop the timer; suppress the cancellation that it caused."""
        self._timer.cancel()
        if not self.has_cancelled:
            return False
        is_only_cancellation = (
            self._task.uncancel() <= self._cancellations_before
        )
        return is_only_cancellation and kind is asyncio.CancelledError

    def _on_timer(self) -> None:
        if self._on_late():
            self.has_cancelled = True
            self._task.cancel()
