"""Adaptive limit on the requests that run at one upstream.

The slots that the upstream announces are the maximum. Below it the limit is
adjusted once per window of completions, from the ratio of the mean latency
to the lowest mean of any window (the baseline), and from refusals and
failures. High latency starts a trial with a lower limit. If that doesn't
reduce latency, the limit is restored, because the number of requests is not
the cause. After a cold start the limit ramps up from a fraction of the
slots.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from math import exp2

# A window closes after both minimums, or after ten times the duration.
MIN_WINDOW_S = 0.1
MIN_WINDOW_COMPLETIONS = 32

MAX_BASELINE_AGE_S = 60.0

# Ratios of a window's mean latency to the baseline.
CONGESTED_LATENCY_RATIO = 1.5
UNCONGESTED_LATENCY_RATIO = 1.25

# While the ratio grows by more than this per window, no trial starts.
RISING_LATENCY_FACTOR = 1.1

FAILURE_SHRINK_FACTOR = 0.85
GROWTH_FACTOR = 1.15

# Pause after a trial that didn't reduce latency; doubles up to the maximum.
MIN_TRIAL_PAUSE_S = 1.0
MAX_TRIAL_PAUSE_S = 16.0

TRIAL_SHRINK_FACTOR = 0.7

# A trial succeeds if latency falls to this fraction of the value before it.
TRIAL_SUCCESS_FRACTION = 0.85

# Mean latencies to wait before the effect of a lower limit is judged.
SETTLING_MEAN_LATENCIES = 1.5

COLD_START_SLOT_FRACTION = 0.125
COLD_START_GROWTH_FACTOR = 1.5
ESTIMATE_HALF_LIFE_S = 1.0

# Weights of a new sample in exponentially weighted moving averages. The low
# estimate falls quickly and rises slowly.
MEAN_SAMPLE_WEIGHT = 0.05
LOW_ESTIMATE_FALL_WEIGHT = 0.3
LOW_ESTIMATE_RISE_WEIGHT = 0.02


@unique
class Verdict(Enum):
    """Classify how a request ended at the upstream.

    `DEEPER` is a failure of a service further down the chain; it says
    nothing about this upstream.
    """

    SUCCEEDED = 'succeeded'
    DEEPER = 'deeper'
    FAILED = 'failed'
    REFUSED = 'refused'
    TIMED_OUT = 'timed-out'


@dataclass(frozen=True, slots=True)
class Latency:
    """Hold one latency in seconds.

    `own_s` excludes the upstream's calls to services further down the chain.
    """

    total_s: float
    own_s: float


@dataclass(slots=True)
class _LatencyStats:
    """Track the latencies of one priority, in seconds.

    The mean and the low estimate cover the total latency, because a slot is
    held and the deadline runs for all of it. The windows cover the
    upstream's own part.
    """

    mean_latency_s: float = 0
    low_estimate_s: float = 0
    updated_at: float = 0
    baseline_s: float = 0
    baseline_at: float = 0
    window_sum_s: float = 0
    window_count: int = 0


@dataclass(slots=True)
class _Window:
    """Count completions until the limit is next adjusted.

    `near_limit` counts those that ended while at least 80 % of the limit
    was in use.
    """

    opened_at: float = 0
    done: int = 0
    refused: int = 0
    failed: int = 0
    near_limit: int = 0


@dataclass(slots=True)
class ConcurrencyLimit:
    """Adjust the number of requests that may run at once."""

    slots: int = 0
    _limit: float = 0
    _ramping: bool = False
    _trials_paused_until: float = 0
    _limit_before_trial: float = 0
    _ratio_before_trial: float = 0
    _settled_at: float = 0
    _last_ratio: float = 1
    _trial_pause_s: float = MIN_TRIAL_PAUSE_S
    _window: _Window = field(default_factory=_Window)
    _stats_by_priority: dict[int, _LatencyStats] = field(default_factory=dict)

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at once."""
        return min(self.slots, max(1, int(self._limit)))

    def update_slots(self, slots: int) -> None:
        """Apply a change of the slots that a running upstream announces."""
        if not self._ramping and self._limit >= self.slots:
            self._limit = slots
        self.slots = max(0, slots)
        self._limit = min(self._limit, self.slots)

    def cold_start(self, slots: int, now: float) -> None:
        """Discard the statistics and ramp up from a fraction of the slots."""
        self.slots = max(0, slots)
        self._limit = max(1, slots * COLD_START_SLOT_FRACTION)
        self._ramping = True
        self._ratio_before_trial = 0
        self._stats_by_priority.clear()
        self._window = _Window(now)

    def mean_latency_s(self, priority: int) -> float:
        """Return the mean latency of a priority, 0 without a sample."""
        stats = self._stats_by_priority.get(priority)
        return stats.mean_latency_s if stats else 0

    def min_latency_s(self, priority: int, now: float) -> float:
        """Return a low estimate of the latency of a request started now.

        It decays while no request completes, so that an estimate that is
        too high cannot refuse every request.
        """
        stats = self._stats_by_priority.get(priority)
        if stats is None:
            return 0
        idle_s = max(0, now - stats.updated_at - stats.low_estimate_s)
        return stats.low_estimate_s * exp2(-idle_s / ESTIMATE_HALF_LIFE_S)

    def record_completion(
        self,
        priority: int,
        latency: Latency,
        verdict: Verdict,
        running: int,
        now: float,
    ) -> None:
        """Record one completion; adjust the limit when the window is full.

        `running` counts the requests at the upstream, this one included.
        """
        window = self._window
        if window.opened_at < self._settled_at <= now:
            window = self._restart_window(now)
        window.done += 1
        if running >= self.limit * 0.8:
            window.near_limit += 1
        match verdict:
            case Verdict.SUCCEEDED | Verdict.DEEPER:
                self._record_latency(priority, latency, now)
            case Verdict.REFUSED:
                window.refused += 1
            case Verdict.FAILED:
                window.failed += 1
            case Verdict.TIMED_OUT:
                window.failed += 1
                self._record_latency(priority, latency, now)
        elapsed_s = now - window.opened_at
        # While ramping up, a window is one completion per slot in use.
        min_completions = (
            self.limit if self._ramping else MIN_WINDOW_COMPLETIONS
        )
        if elapsed_s >= MIN_WINDOW_S and (
            window.done >= min_completions or elapsed_s >= 10 * MIN_WINDOW_S
        ):
            self._adjust_limit(window, now)
            self._window = _Window(now)

    def _restart_window(self, now: float) -> _Window:
        """Discard completions from before the last limit change took effect."""
        for stats in self._stats_by_priority.values():
            stats.window_sum_s = 0
            stats.window_count = 0
        self._window = _Window(now)
        return self._window

    def _record_latency(
        self, priority: int, latency: Latency, now: float
    ) -> None:
        total_s = latency.total_s
        stats = self._stats_by_priority.get(priority)
        if stats is None:
            stats = _LatencyStats(
                mean_latency_s=total_s, low_estimate_s=total_s
            )
            self._stats_by_priority[priority] = stats
        stats.mean_latency_s += MEAN_SAMPLE_WEIGHT * (
            total_s - stats.mean_latency_s
        )
        is_rising = total_s > stats.low_estimate_s
        weight = (
            LOW_ESTIMATE_RISE_WEIGHT if is_rising else LOW_ESTIMATE_FALL_WEIGHT
        )
        stats.low_estimate_s += weight * (total_s - stats.low_estimate_s)
        stats.updated_at = now
        stats.window_sum_s += latency.own_s
        stats.window_count += 1

    def _adjust_limit(self, window: _Window, now: float) -> None:
        if now < self._settled_at:
            return
        ratio = self._latency_ratio(now)
        if window.refused or window.failed * 2 > window.done:
            self._ramping = False
            self._shrink(FAILURE_SHRINK_FACTOR, now)
        elif self._ratio_before_trial:
            self._evaluate_trial(ratio, now)
        elif window.near_limit * 2 > window.done:
            self._adjust_to_latency(ratio, now)

    def _adjust_to_latency(self, ratio: float, now: float) -> None:
        is_paused = now < self._trials_paused_until
        is_rising = ratio > self._last_ratio * RISING_LATENCY_FACTOR
        self._last_ratio = ratio
        if ratio <= UNCONGESTED_LATENCY_RATIO or is_paused:
            self._grow()
        elif ratio > CONGESTED_LATENCY_RATIO and not is_rising:
            self._ramping = False
            self._begin_trial(ratio, now)

    def _begin_trial(self, ratio: float, now: float) -> None:
        self._ratio_before_trial = ratio
        self._limit_before_trial = self._limit
        self._shrink(TRIAL_SHRINK_FACTOR, now)

    def _evaluate_trial(self, ratio: float, now: float) -> None:
        if ratio > self._ratio_before_trial * TRIAL_SUCCESS_FRACTION:
            self._limit = min(self._limit_before_trial, self.slots)
            self._trials_paused_until = now + self._trial_pause_s
            self._trial_pause_s = min(
                MAX_TRIAL_PAUSE_S, 2 * self._trial_pause_s
            )
            self._ratio_before_trial = 0
            return
        self._trial_pause_s = MIN_TRIAL_PAUSE_S
        if ratio > CONGESTED_LATENCY_RATIO:
            self._begin_trial(ratio, now)
        else:
            self._ratio_before_trial = 0

    def _shrink(self, factor: float, now: float) -> None:
        """Lower the limit; make no decision until that has taken effect."""
        self._limit = max(1, self._limit * factor)
        means = (
            stats.mean_latency_s for stats in self._stats_by_priority.values()
        )
        self._settled_at = now + SETTLING_MEAN_LATENCIES * max(means, default=0)

    def _grow(self) -> None:
        factor = COLD_START_GROWTH_FACTOR if self._ramping else GROWTH_FACTOR
        self._limit = min(self.slots, self._limit * factor + 1)
        if self._limit >= self.slots:
            self._ramping = False

    def _latency_ratio(self, now: float) -> float:
        """Return the ratio of the window's mean latency to the baseline."""
        weighted_sum = float(0)
        count = 0
        for stats in self._stats_by_priority.values():
            if not stats.window_count:
                continue
            ratio = _close_window(stats, now)
            weighted_sum += ratio * stats.window_count
            count += stats.window_count
            stats.window_sum_s = 0
            stats.window_count = 0
        return weighted_sum / count if count else 1


def _close_window(stats: _LatencyStats, now: float) -> float:
    window_mean_s = stats.window_sum_s / stats.window_count
    is_sufficient = stats.window_count >= MIN_WINDOW_COMPLETIONS / 4
    is_expired = now - stats.baseline_at > MAX_BASELINE_AGE_S
    is_lower = window_mean_s < stats.baseline_s or not stats.baseline_s
    if (is_lower and is_sufficient) or is_expired:
        stats.baseline_s = window_mean_s
        stats.baseline_at = now
    if not stats.baseline_s:
        return 1
    return window_mean_s / stats.baseline_s
