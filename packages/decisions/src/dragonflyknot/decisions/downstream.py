"""Limit the slots of an upstream that wait for one downstream service.

A slow downstream service occupies the slots of every upstream that calls it,
until requests that do not need it starve as well. While a downstream service
is much slower than its baseline, calls to it may occupy only a share of the
slots, which grows with their priority.
"""

from dataclasses import dataclass, field

BASE_SLOT_SHARE = 0.1
SLOT_SHARE_PER_PRIORITY = 0.1
SLOW_MEAN_RATIO = 3.0
SLOW_AGE_RATIO = 2.0
MEAN_EWMA_WEIGHT = 0.05
BASELINE_EWMA_WEIGHT = 0.0002
MIN_SAMPLES = 20


@dataclass(slots=True)
class _DownstreamService:
    """Track the calls to one downstream service; times are in seconds."""

    started_at_by_call: dict[str, float] = field(default_factory=dict)
    started_at_sum: float = 0
    samples: int = 0
    mean_s: float = 0
    baseline_s: float = 0

    def is_slow(self, now: float) -> bool:
        """Tell whether the service is much slower than its baseline.

        Both the mean latency and the mean age of the calls in flight count.
        """
        if self.samples < MIN_SAMPLES:
            return False
        if self.mean_s > self.baseline_s * SLOW_MEAN_RATIO:
            return True
        waiting = len(self.started_at_by_call)
        age_s = now - self.started_at_sum / max(1, waiting)
        return age_s > self.baseline_s * SLOW_AGE_RATIO

    def record_latency(self, latency_s: float) -> None:
        """Update the mean and the baseline from a successful call."""
        self.samples += 1
        if self.samples == 1:
            self.mean_s = latency_s
        self.mean_s += MEAN_EWMA_WEIGHT * (latency_s - self.mean_s)
        if self.samples <= MIN_SAMPLES or self.mean_s < self.baseline_s:
            self.baseline_s = self.mean_s
        self.baseline_s += BASELINE_EWMA_WEIGHT * (
            self.mean_s - self.baseline_s
        )


class DownstreamCalls:
    """Decide which downstream calls of one upstream may be sent."""

    def __init__(self) -> None:
        """Start without calls."""
        self._services_by_name: dict[str, _DownstreamService] = {}

    def may_call(
        self, service: str, priority: int, limit: int, now: float
    ) -> bool:
        """Tell whether a call may occupy one of the gate's `limit` slots."""
        known = self._services_by_name.get(service)
        if known is None:
            return True
        share = BASE_SLOT_SHARE + SLOT_SHARE_PER_PRIORITY * priority
        if len(known.started_at_by_call) < share * limit:
            return True
        return not known.is_slow(now)

    def started(self, service: str, call_id: str, now: float) -> None:
        """Record a call that is sent."""
        known = self._services_by_name.setdefault(service, _DownstreamService())
        known.started_at_by_call[call_id] = now
        known.started_at_sum += now

    def ended(
        self, service: str, call_id: str, *, is_served: bool, now: float
    ) -> None:
        """Record the end of a call; only a served one is a latency sample."""
        known = self._services_by_name[service]
        started_at = known.started_at_by_call.pop(call_id)
        known.started_at_sum -= started_at
        if not known.started_at_by_call:
            known.started_at_sum = 0
        if is_served:
            known.record_latency(now - started_at)
