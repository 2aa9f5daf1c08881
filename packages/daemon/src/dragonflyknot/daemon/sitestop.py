"""Stop a host in an order in which no request is lost.

First the host reports that it is not ready and serves everything until
callers have left. Then it refuses new requests of callers and new attempts,
while requests that its upstream runs may still make calls. It stops as soon
as nothing is in flight: hosts that are restarted together share the time for
which a service is short. What is left at the end is answered as if its time
were over.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import structlog

from dragonflyknot.callers.siteedge import SiteEdge
from dragonflyknot.exchange.serverlink import Server
from dragonflyknot.upstreams.sitegate import SiteGate

MAX_LEAVE_SHARE: Final = 0.35
MAX_DRAIN_SHARE: Final = 0.94
EXIT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.05
LAST_REQUESTS_S: Final = 0.15
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
    """Bundle the parts of a host that take part in a stop."""

    edge: SiteEdge
    gate: SiteGate
    servers: Sequence[Server]

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self.edge.in_flight + self.gate.in_flight


async def stop(parts: StoppingParts, times: StopTimes) -> None:
    """Serve, refuse and close in turn; return when nothing is in flight."""
    began = time.monotonic()
    for server in parts.servers:
        server.is_closing = True
    _log.info('draining', in_flight=parts.in_flight)
    await asyncio.sleep(times.refusing_after_s)
    parts.gate.is_refusing = True
    parts.edge.is_refusing = True
    _log.info('refusing', in_flight=parts.in_flight)
    left_s = began + times.max_drain_s - time.monotonic()
    await _wait_until(lambda: not parts.in_flight, left_s)
    for server in parts.servers:
        server.stop_listening()
    parts.edge.close()
    # What was sent before the close is still answered.
    await asyncio.sleep(LAST_REQUESTS_S)
    for server in parts.servers:
        server.close_idle()
    _log.info('drained', in_flight=parts.in_flight)


async def _wait_until(is_so: Callable[[], bool], timeout_s: float) -> None:
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if is_so():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
