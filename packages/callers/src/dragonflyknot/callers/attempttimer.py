"""Detect an attempt that takes unusually long, and cancel it on demand.

The timer watches the task that runs the attempt. After a cancellation by the
timer the task continues after the `with` block; other cancellations
propagate.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self


class AttemptTimer:
    """Call `on_late` once an attempt is late; a context manager."""

    __slots__ = (
        '_cancellations_before',
        '_delay_s',
        '_has_cancelled',
        '_is_running',
        '_on_late',
        '_task',
        '_timer',
    )

    def __init__(
        self,
        task: asyncio.Task[Any],
        delay_s: float,
        on_late: Callable[[], None],
    ) -> None:
        """Watch a task; an attempt is late after `delay_s` seconds."""
        self._task = task
        self._delay_s = delay_s
        self._on_late = on_late
        self._is_running = False
        self._has_cancelled = False

    def __enter__(self) -> Self:
        """Start the timer."""
        self._cancellations_before = self._task.cancelling()
        loop = self._task.get_loop()
        self._timer = loop.call_later(self._delay_s, self._on_late)
        self._is_running = True
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> bool:
        """Stop the timer; suppress the cancellation that it caused."""
        self._is_running = False
        self._timer.cancel()
        if not self._has_cancelled:
            return False
        is_only_cancellation = (
            self._task.uncancel() <= self._cancellations_before
        )
        return is_only_cancellation and kind is asyncio.CancelledError

    def cancel(self) -> None:
        """Cancel the attempt, unless it has ended."""
        if self._is_running and not self._has_cancelled:
            self._has_cancelled = True
            self._task.cancel()
