"""How many slots of an upstream may wait for one deeper service.

A deeper service that slows down holds the slots of every upstream that
calls it, until requests that don't need it starve too. While a
deeper service is much slower than it was, calls to it may hold a part of
the slots only: the larger, the more important they are.
"""

from dataclasses import dataclass, field

SHARE_BASE = 0.1
SHARE_PER_PRIORITY = 0.1
SLOW_MEAN_RATIO = 3.0
SLOW_AGE_RATIO = 2.0
MEAN_WEIGHT = 0.05
BASELINE_RISE = 0.0002
ENOUGH_SAMPLES = 20


@dataclass(slots=True)
class _Service:
    """Track the calls to one deeper service; times are in seconds."""

    started_by_call: dict[str, float] = field(default_factory=dict)
    started_sum: float = 0
    samples: int = 0
    mean_s: float = 0
    baseline_s: float = 0

    def is_slow(self, now: float) -> bool:
        """Return whether the service is much slower than it was."""
        if self.samples < ENOUGH_SAMPLES:
            return False
        if self.mean_s > self.baseline_s * SLOW_MEAN_RATIO:
            return True
        waiting = len(self.started_by_call)
        age_s = now - self.started_sum / max(1, waiting)
        return age_s > self.baseline_s * SLOW_AGE_RATIO

    def sample(self, latency_s: float) -> None:
        """Learn from a call that was served."""
        self.samples += 1
        if self.samples == 1:
            self.mean_s = latency_s
        self.mean_s += MEAN_WEIGHT * (latency_s - self.mean_s)
        if self.samples <= ENOUGH_SAMPLES or self.mean_s < self.baseline_s:
            self.baseline_s = self.mean_s
        self.baseline_s += BASELINE_RISE * (self.mean_s - self.baseline_s)


class DeeperCalls:
    """Decide which deeper calls of one upstream may go out."""

    def __init__(self) -> None:
        """Start without calls."""
        self._services_by_name: dict[str, _Service] = {}

    def may_call(
        self, service: str, priority: int, limit: int, now: float
    ) -> bool:
        """Return whether a call may hold one of the gate's `limit` slots."""
        known = self._services_by_name.get(service)
        if known is None:
            return True
        share = SHARE_BASE + SHARE_PER_PRIORITY * priority
        if len(known.started_by_call) < share * limit:
            return True
        return not known.is_slow(now)

    def started(self, service: str, call_id: str, now: float) -> None:
        """Count a call that goes out."""
        known = self._services_by_name.setdefault(service, _Service())
        known.started_by_call[call_id] = now
        known.started_sum += now

    def ended(
        self, service: str, call_id: str, *, is_served: bool, now: float
    ) -> None:
        """Count the end of a call; only served ones tell the latency."""
        known = self._services_by_name[service]
        started_at = known.started_by_call.pop(call_id)
        known.started_sum -= started_at
        if not known.started_by_call:
            known.started_sum = 0
        if is_served:
            known.sample(now - started_at)
