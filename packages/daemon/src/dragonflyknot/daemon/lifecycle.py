"""Stop a daemon on a signal without cutting requests off.

The first signal drains: new work is refused as not run, peers hear of it at
once, and the daemon leaves when no request is in flight. A second signal
stops at once.
"""

import asyncio
import signal
from collections.abc import Callable

import structlog

POLL_S = 0.05
SETTLE_S = 0.3

_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_log = structlog.get_logger(__name__)


class StopSignals:
    """Count the signals that ask the daemon to stop."""

    def __init__(self) -> None:
        """Start before any signal."""
        self.first = asyncio.Event()
        self.second = asyncio.Event()

    def __enter__(self) -> 'StopSignals':
        """Take over the signals."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self._received)
        return self

    def __exit__(self, *_details: object) -> None:
        """Give the signals back."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.remove_signal_handler(number)

    def _received(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


async def drained(
    in_flight: Callable[[], int], stop: StopSignals, longest_s: float
) -> bool:
    """Wait until nothing is in flight; return whether that came about."""
    # Peers need a moment to hear of the drain before the sockets close.
    await asyncio.sleep(SETTLE_S)
    try:
        async with asyncio.timeout(longest_s):
            # The count has no event of its own; a poll is only made at a stop.
            while in_flight() and not stop.second.is_set():  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        _log.warning('drain_timed_out', in_flight=in_flight())
    return not in_flight()
