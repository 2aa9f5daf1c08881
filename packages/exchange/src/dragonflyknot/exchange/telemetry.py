"""Rate-limited logging and latency histograms."""

import time
from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Any, Final

import structlog

MAX_LINES_PER_S: Final = 20.0
MAX_BURST_LINES: Final = 100.0
MAX_KNOWN_FAULTS: Final = 256
LATENCY_BUCKETS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
_log = structlog.get_logger(__name__)


class RateLimitedLog:
    """Log lines about requests at a limited rate, by a token bucket."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0

    def write(self, event: str, **fields: Any) -> None:
        """Log a line, or count it as dropped if the rate is exceeded."""
        now = time.monotonic()
        tokens = self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, tokens)
        if self._tokens < 1:
            self.dropped += 1
            return
        self._tokens -= 1
        _log.info(event, dropped=self.dropped, **fields)


class FaultLog:
    """Log each fault of what others write once, at a limited rate.

    What can't be read is often read again; one line tells of it.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self._log = RateLimitedLog()
        self._known: set[tuple[str, ...]] = set()

    def write(self, event: str, **fields: str) -> None:
        """Log a line unless the same one was logged before."""
        line = (event, *fields.values())
        if line in self._known:
            return
        if len(self._known) >= MAX_KNOWN_FAULTS:
            self._known.clear()
        self._known.add(line)
        self._log.write(event, **fields)


@dataclass(slots=True)
class Histogram:
    """Count latencies in the buckets of `LATENCY_BUCKETS_S`."""

    counts: list[int] = field(
        default_factory=lambda: [0 for _ in range(len(LATENCY_BUCKETS_S) + 1)]
    )
    total_s: float = 0

    def add(self, seconds: float) -> None:
        """Count one latency, in seconds."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total_s += seconds
