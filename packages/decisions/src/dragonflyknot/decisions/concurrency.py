"""How many requests a gate lets run at its upstream.

The slots that the upstream announces are a ceiling. Below it the limit
follows what the gate measures, in windows of some completions: mean latency
against the lowest window seen, refusals and failures. A limit that is
lowered without bringing latency down is put back, since then the slowness
does not come from the number of requests. A cold start ramps up.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from math import exp2

WINDOW_S = 0.1
WINDOW_SAMPLES = 32
BASELINE_LIFE_S = 60.0
CONGESTED_RATIO = 1.5
CALM_RATIO = 1.25
RISING_RATIO = 1.1
SHRINK = 0.85
GROWTH = 1.15
HOLD_OFF_S = 1.0
MAX_HOLD_OFF_S = 16.0
TRIAL_SHRINK = 0.7
MAX_VAIN_RATIO = 0.85
SETTLE_MEANS = 1.5
COLD_START_FRACTION = 0.125
COLD_START_GROWTH = 1.5
ESTIMATE_LIFE_S = 1.0
MEAN_WEIGHT = 0.05
LOW_WEIGHT_DOWN = 0.3
LOW_WEIGHT_UP = 0.02


@unique
class Verdict(Enum):
    """Say how an upstream ended a request.

    `DEEPER` is a failure that a deeper service caused; it says nothing
    about this upstream.
    """

    SUCCEEDED = 'succeeded'
    DEEPER = 'deeper'
    FAILED = 'failed'
    REFUSED = 'refused'
    TIMED_OUT = 'timed-out'


@dataclass(frozen=True, slots=True)
class Latency:
    """Hold one latency in seconds; `own_s` leaves deeper calls out."""

    total_s: float
    own_s: float


@dataclass(slots=True)
class _Latencies:
    """Track the latencies of one priority, in seconds.

    The mean and the low estimate are of the total, since slots are held and
    deadlines run for so long; the windows are of the upstream's own part.
    """

    mean_s: float = 0
    low_s: float = 0
    seen_at: float = 0
    lowest_s: float = 0
    lowest_at: float = 0
    window_sum_s: float = 0
    window_count: int = 0


@dataclass(slots=True)
class _Window:
    """Gather completions until the next decision about the limit."""

    opened_at: float = 0
    done: int = 0
    refused: int = 0
    failed: int = 0
    busy: int = 0


@dataclass(slots=True)
class ConcurrencyLimit:
    """Set the number of requests that may run at once."""

    slots: int = 0
    _limit: float = 0
    _ramping: bool = False
    _held_until: float = 0
    _trial_limit: float = 0
    _trial_ratio: float = 0
    _settled_at: float = 0
    _last_ratio: float = 1
    _hold_off_s: float = HOLD_OFF_S
    _window: _Window = field(default_factory=_Window)
    _latencies_by_priority: dict[int, _Latencies] = field(default_factory=dict)

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at once."""
        return min(self.slots, max(1, int(self._limit)))

    def announce(self, slots: int) -> None:
        """Follow a change of the announced slots of a running upstream."""
        if not self._ramping and self._limit >= self.slots:
            self._limit = slots
        self.slots = max(0, slots)
        self._limit = min(self._limit, self.slots)

    def cold_start(self, slots: int, now: float) -> None:
        """Ramp up from a fraction of the slots."""
        self.slots = max(0, slots)
        self._limit = max(1, slots * COLD_START_FRACTION)
        self._ramping = True
        self._trial_ratio = 0
        self._latencies_by_priority.clear()
        self._window = _Window(now)

    def mean_s(self, priority: int) -> float:
        """Return the mean latency of a priority, 0 before the first one."""
        latency = self._latencies_by_priority.get(priority)
        return latency.mean_s if latency else 0

    def least_s(self, priority: int, now: float) -> float:
        """Return a low estimate of the latency that a start would have.

        It fades while nothing completes, so that a wrong estimate can't
        keep everything out.
        """
        latency = self._latencies_by_priority.get(priority)
        if latency is None:
            return 0
        idle_s = max(0, now - latency.seen_at - latency.low_s)
        return latency.low_s * exp2(-idle_s / ESTIMATE_LIFE_S)

    def observe(
        self,
        priority: int,
        latency: Latency,
        verdict: Verdict,
        running: int,
        now: float,
    ) -> None:
        """Learn from one completion.

        `running` counts requests at the upstream before it ended.
        """
        window = self._window
        if window.opened_at < self._settled_at <= now:
            window = self._reopen(now)
        window.done += 1
        if running >= self.limit * 0.8:
            window.busy += 1
        match verdict:
            case Verdict.SUCCEEDED | Verdict.DEEPER:
                self._sample(priority, latency, now)
            case Verdict.REFUSED:
                window.refused += 1
            case Verdict.FAILED:
                window.failed += 1
            case Verdict.TIMED_OUT:
                window.failed += 1
                self._sample(priority, latency, now)
        elapsed_s = now - window.opened_at
        # A ramp goes on after each round of the slots that are in use.
        enough = self.limit if self._ramping else WINDOW_SAMPLES
        if elapsed_s >= WINDOW_S and (
            window.done >= enough or elapsed_s >= 10 * WINDOW_S
        ):
            self._decide(window, now)
            self._window = _Window(now)

    def _reopen(self, now: float) -> _Window:
        """Forget what ended before a change of the limit had its effect."""
        for known in self._latencies_by_priority.values():
            known.window_sum_s = 0
            known.window_count = 0
        self._window = _Window(now)
        return self._window

    def _sample(self, priority: int, latency: Latency, now: float) -> None:
        total_s = latency.total_s
        known = self._latencies_by_priority.get(priority)
        if known is None:
            known = _Latencies(mean_s=total_s, low_s=total_s)
            self._latencies_by_priority[priority] = known
        known.mean_s += MEAN_WEIGHT * (total_s - known.mean_s)
        rising = total_s > known.low_s
        weight = LOW_WEIGHT_UP if rising else LOW_WEIGHT_DOWN
        known.low_s += weight * (total_s - known.low_s)
        known.seen_at = now
        known.window_sum_s += latency.own_s
        known.window_count += 1

    def _decide(self, window: _Window, now: float) -> None:
        if now < self._settled_at:
            return
        ratio = self._latency_ratio(now)
        if window.refused or window.failed * 2 > window.done:
            self._ramping = False
            self._shrink(SHRINK, now)
        elif self._trial_ratio:
            self._judge_trial(ratio, now)
        elif window.busy * 2 > window.done:
            self._follow_latency(ratio, now)

    def _follow_latency(self, ratio: float, now: float) -> None:
        held = now < self._held_until
        is_rising = ratio > self._last_ratio * RISING_RATIO
        self._last_ratio = ratio
        if ratio <= CALM_RATIO or held:
            self._grow()
        elif ratio > CONGESTED_RATIO and not is_rising:
            self._ramping = False
            self._begin_trial(ratio, now)

    def _begin_trial(self, ratio: float, now: float) -> None:
        self._trial_ratio = ratio
        self._trial_limit = self._limit
        self._shrink(TRIAL_SHRINK, now)

    def _judge_trial(self, ratio: float, now: float) -> None:
        if ratio > self._trial_ratio * MAX_VAIN_RATIO:
            self._limit = min(self._trial_limit, self.slots)
            self._held_until = now + self._hold_off_s
            self._hold_off_s = min(MAX_HOLD_OFF_S, 2 * self._hold_off_s)
            self._trial_ratio = 0
            return
        self._hold_off_s = HOLD_OFF_S
        if ratio > CONGESTED_RATIO:
            self._begin_trial(ratio, now)
        else:
            self._trial_ratio = 0

    def _shrink(self, factor: float, now: float) -> None:
        """Lower the limit; wait until what runs has felt it."""
        self._limit = max(1, self._limit * factor)
        means = (one.mean_s for one in self._latencies_by_priority.values())
        self._settled_at = now + SETTLE_MEANS * max(means, default=0)

    def _grow(self) -> None:
        factor = COLD_START_GROWTH if self._ramping else GROWTH
        self._limit = min(self.slots, self._limit * factor + 1)
        if self._limit >= self.slots:
            self._ramping = False

    def _latency_ratio(self, now: float) -> float:
        """Return the window's mean latency over the lowest one."""
        weighted = float(0)
        count = 0
        for latency in self._latencies_by_priority.values():
            if not latency.window_count:
                continue
            ratio = _close_latency(latency, now)
            weighted += ratio * latency.window_count
            count += latency.window_count
            latency.window_sum_s = 0
            latency.window_count = 0
        return weighted / count if count else 1


def _close_latency(latency: _Latencies, now: float) -> float:
    mean_s = latency.window_sum_s / latency.window_count
    enough = latency.window_count >= WINDOW_SAMPLES / 4
    stale = now - latency.lowest_at > BASELINE_LIFE_S
    lower = mean_s < latency.lowest_s or not latency.lowest_s
    if (lower and enough) or stale:
        latency.lowest_s = mean_s
        latency.lowest_at = now
    if not latency.lowest_s:
        return 1
    return mean_s / latency.lowest_s
