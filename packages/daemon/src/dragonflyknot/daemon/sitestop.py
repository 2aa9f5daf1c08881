"""Stop a host in an order in which no request is lost.

First the host reports that it is not ready and serves everything until
callers have left. Then it refuses new requests of callers and new attempts
and tells its peers so, while requests that its upstream runs may still make
calls. It stops as soon as all answers are written: hosts that are restarted
together share the time for which a service is short. What is left at the end
is answered as if its time were over.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Final

import structlog

from dragonflyknot.callers.siteedge import SiteEdge
from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.exchange.listener import Server
from dragonflyknot.upstreams.sitegate import SiteGate

MAX_LEAVE_SHARE: Final = 0.35
MAX_DRAIN_SHARE: Final = 0.94
EXIT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.05
# Time in which peers learn that the gate refuses.
SETTLE_S: Final = 0.3
LAST_ANSWERS_S: Final = 0.15
LAST_REQUESTS_S: Final = 0.05
_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Bound the phases of a stop; times are in seconds.

    `callers_leave_s` is the time after which callers have seen that the host
    is not ready. The process must have ended after `grace_s`.
    """

    callers_leave_s: float
    grace_s: float

    @property
    def refusing_after_s(self) -> float:
        """Return the time after which new requests are refused."""
        return min(self.callers_leave_s, self.grace_s * MAX_LEAVE_SHARE)

    @property
    def max_drain_s(self) -> float:
        """Return how long a stop may wait for requests in flight."""
        return min(self.grace_s * MAX_DRAIN_SHARE, self.grace_s - EXIT_S)


@dataclass(frozen=True, slots=True)
class StoppingParts:
    """Bundle the parts of a host that take part in a stop.

    `tell_peers` tells other hosts that the gate refuses.
    """

    edge: SiteEdge
    gate: SiteGate
    callers: Server
    peers: Server
    tell_peers: Callable[[], Coroutine[object, object, None]]

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose answers are not yet written."""
        return self.callers.in_flight + self.peers.in_flight


async def stop(parts: StoppingParts, times: StopTimes) -> None:
    """Serve, refuse and close in turn; return when all is answered."""
    ends_at = time.monotonic() + times.max_drain_s
    parts.callers.is_closing = True
    _log.info('draining', in_flight=parts.in_flight)
    await asyncio.sleep(times.refusing_after_s)
    async with Tasks() as tasks:
        _refuse(parts, ends_at)
        tasks.start(parts.tell_peers())
        await asyncio.sleep(min(SETTLE_S, ends_at - time.monotonic()))
        await _wait_until_answered(parts, ends_at)
    parts.edge.close()
    await _wait_until_answered(parts, time.monotonic() + LAST_ANSWERS_S)
    for server in (parts.callers, parts.peers):
        server.stop_listening()
    # What was sent before the close is still answered.
    await asyncio.sleep(LAST_REQUESTS_S)
    for server in (parts.callers, parts.peers):
        server.close_idle()
    _log.info('drained', in_flight=parts.in_flight)


def _refuse(parts: StoppingParts, ends_at: float) -> None:
    parts.gate.is_refusing = True
    parts.edge.stop_admitting(ends_at)
    parts.peers.is_closing = True
    _log.info('refusing', in_flight=parts.in_flight)


async def _wait_until_answered(parts: StoppingParts, deadline: float) -> None:
    while time.monotonic() < deadline:
        if not parts.in_flight:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
