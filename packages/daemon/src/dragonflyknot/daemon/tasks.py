"""Run background tasks that end with their owner."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Final

import structlog

RESTART_PAUSE_S: Final = 1.0
_log = structlog.get_logger(__name__)


class Tasks:
    """Own tasks; a context manager that cancels what still runs."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    async def __aenter__(self) -> 'Tasks':
        """Start without tasks."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Cancel all tasks, wait for their ends and start no more."""
        self._is_closed = True
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with suppress(asyncio.CancelledError):
                await task

    def start(self, work: Coroutine[object, object, None]) -> None:
        """Run a coroutine; log an error that it does not handle."""
        if self._is_closed:
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('task_failed', exc_info=task.exception())


def jittered(interval_s: float) -> float:
    """Return an interval that differs a little each time, in seconds."""
    return interval_s * (0.75 + random.random() / 2)


async def keep_running(
    work: Callable[[], Coroutine[object, object, None]],
) -> None:
    """Run a loop until cancelled; start it again after an unforeseen error."""
    while True:
        try:
            await work()
        except Exception:
            _log.exception('task_restarted', task=work.__qualname__)
        await asyncio.sleep(RESTART_PAUSE_S)
