"""Admission control for one upstream: start, queue or refuse attempts.

The gate is the only component that knows how many requests run at its
upstream. Attempts up to the concurrency limit (`concurrency.py`) start at
once. Beyond it they wait in a short queue ordered by priority
(`fairqueue.py`). When the queue is full, an arrival of higher priority
evicts the waiter of lowest priority. An attempt that cannot finish before
its deadline is refused at once. A refused attempt was never run.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from heapq import heappop, heappush

from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.concurrency import (
    ConcurrencyLimit,
    Latency,
    Verdict,
)
from dragonflyknot.decisions.document import (
    HIGHEST_PRIORITY,
    LOWEST_PRIORITY,
    Service,
)
from dragonflyknot.decisions.fairqueue import FairQueue, Waiter
from dragonflyknot.decisions.refusals import Refusal

__all__ = (
    'Announced',
    'Arrived',
    'Cancelled',
    'Command',
    'Event',
    'Finished',
    'Gate',
    'Refuse',
    'Start',
    'Ticked',
    'Verdict',
    'WeightsChanged',
)

RETRY_AFTER_S = 1.0

# Charged to a workspace until a latency of the priority has been observed.
DEFAULT_COST_S = 0.01

# A cancellation this close to the deadline counts as a timeout.
DEADLINE_MARGIN_S = 0.05

# The admission threshold is reset once the queue is no fuller than this.
THRESHOLD_RESET_QUEUE_FRACTION = 0.75


@dataclass(frozen=True, slots=True)
class Announced:
    """Report the slots and the state that the upstream announced."""

    slots: int
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class WeightsChanged:
    """Apply the workspace weights of a new configuration."""

    weights_by_workspace: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ServiceChanged:
    """Apply the queue limits of a new configuration."""

    service: Service


@dataclass(frozen=True, slots=True)
class Arrived:
    """Report a new attempt.

    `deadline` is in monotonic seconds. `depth` counts the hops of the chain
    before this one.
    """

    attempt_id: str
    workspace: str
    priority: int
    depth: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Finished:
    """Report that an attempt ended at the upstream.

    `downstream_s` is the part of `latency_s` that the upstream spent waiting
    for its own calls to services further down the chain.
    """

    attempt_id: str
    latency_s: float
    verdict: Verdict
    downstream_s: float = 0


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Report that the caller of an attempt disconnected."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Ticked:
    """Report that the time returned by `Gate.next_deadline` has passed."""


Event = (
    Announced
    | WeightsChanged
    | ServiceChanged
    | Arrived
    | Finished
    | Cancelled
    | Ticked
)


@dataclass(frozen=True, slots=True)
class Start:
    """Send the attempt to the upstream."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the attempt as not run."""

    attempt_id: str
    refusal: Refusal
    retry_after_s: float


Command = Start | Refuse


@dataclass(frozen=True, slots=True)
class _Running:
    workspace: str
    priority: int
    charged_cost_s: float
    started_at: float
    deadline: float


class Gate:
    """State machine that admits attempts to one upstream."""

    def __init__(self, service: Service) -> None:
        """Refuse every attempt until the upstream announces itself."""
        self._service = service
        self._state = UpstreamState.GONE
        self._concurrency = ConcurrencyLimit()
        self._queue = FairQueue()
        self._running_by_id: dict[str, _Running] = {}
        self._expiries: list[tuple[float, str]] = []
        self._current_threshold = LOWEST_PRIORITY

    def handle(self, event: Event, now: float) -> tuple[Command, ...]:
        """Apply an event; return the commands to execute."""
        match event:
            case Arrived():
                return self._handle_arrival(event, now)
            case Finished():
                self._record_finish(event, now)
            case Cancelled(attempt_id):
                self._queue.remove(attempt_id)
                self._cancel_running(attempt_id, now)
            case Announced():
                return self._handle_announcement(event, now)
            case WeightsChanged(weights_by_workspace):
                self._queue.set_weights(weights_by_workspace)
            case ServiceChanged(service):
                self._service = service
            case Ticked():
                return self._expire_waiters(now) + self._start_waiters(now)
        return self._start_waiters(now)

    def report(self) -> LoadReport:
        """Return the load report for edges."""
        limit = self._concurrency.limit
        report = LoadReport(
            state=self._state,
            limit=limit,
            running=len(self._running_by_id),
            queued=len(self._queue),
            threshold=LOWEST_PRIORITY,
        )
        if self._state is not UpstreamState.READY:
            return replace(
                report,
                threshold=HIGHEST_PRIORITY + 1,
                prompt=HIGHEST_PRIORITY + 1,
            )
        if not self._queue:
            self._current_threshold = LOWEST_PRIORITY
            return report
        return replace(
            report,
            threshold=self._threshold(),
            prompt=self._prompt_threshold(limit),
        )

    def next_deadline(self) -> float | None:
        """Return when `Ticked` is due, in monotonic seconds."""
        while self._expiries:
            expires_at, attempt_id = self._expiries[0]
            if attempt_id in self._queue:
                return expires_at
            heappop(self._expiries)
        return None

    def _handle_arrival(
        self, event: Arrived, now: float
    ) -> tuple[Command, ...]:
        attempt_id = event.attempt_id
        if attempt_id in self._running_by_id or attempt_id in self._queue:
            return ()
        if self._state is not UpstreamState.READY:
            return (self._refuse(attempt_id, _refusal_for(self._state)),)
        min_latency_s = self._concurrency.min_latency_s(event.priority, now)
        if (
            now + min_latency_s + self._estimate_wait_s(event.priority)
            > event.deadline
        ):
            return (self._refuse(attempt_id, Refusal.NO_TIME),)
        if self._has_slot():
            self._start(event, now)
            return (Start(attempt_id),)
        if event.priority < self._threshold():
            return (self._refuse(attempt_id, Refusal.SHED),)
        self._enqueue(event, event.deadline - min_latency_s, now)
        return self._shed_overflow()

    def _enqueue(self, event: Arrived, latest_start: float, now: float) -> None:
        priority_steps = event.priority - LOWEST_PRIORITY + 1
        wait_s = priority_steps * self._service.queue_wait_ms / 1000
        expires_at = min(latest_start, now + wait_s)
        self._queue.push(
            Waiter(
                event.attempt_id,
                event.workspace,
                event.priority,
                event.depth,
                event.deadline,
                expires_at,
            )
        )
        heappush(self._expiries, (expires_at, event.attempt_id))

    def _record_finish(self, event: Finished, now: float) -> None:
        running = self._running_by_id.get(event.attempt_id)
        if running is None:
            return
        self._concurrency.record_completion(
            running.priority,
            Latency(
                event.latency_s, max(0, event.latency_s - event.downstream_s)
            ),
            event.verdict,
            len(self._running_by_id),
            now,
        )
        self._running_by_id.pop(event.attempt_id)
        self._queue.adjust_charge(
            running.priority,
            running.workspace,
            event.latency_s - running.charged_cost_s,
        )

    def _cancel_running(self, attempt_id: str, now: float) -> None:
        running = self._running_by_id.get(attempt_id)
        if running is None:
            return
        if now >= running.deadline - DEADLINE_MARGIN_S:
            elapsed_s = now - running.started_at
            timeout = Finished(attempt_id, elapsed_s, Verdict.TIMED_OUT)
            self._record_finish(timeout, now)
        self._running_by_id.pop(attempt_id, None)

    def _handle_announcement(
        self, event: Announced, now: float
    ) -> tuple[Command, ...]:
        previous_state = self._state
        self._state = event.state
        if event.state is not UpstreamState.READY:
            return self._refuse_all(_refusal_for(event.state))
        if previous_state in {UpstreamState.READY, UpstreamState.DRAINING}:
            self._concurrency.update_slots(event.slots)
        else:
            self._concurrency.cold_start(event.slots, now)
        return self._start_waiters(now)

    def _start_waiters(self, now: float) -> tuple[Command, ...]:
        commands: list[Command] = []
        while self._has_slot():
            waiter = self._queue.pop()
            if waiter is None:
                break
            commands.append(self._start_or_refuse(waiter, now))
        return tuple(commands)

    def _start_or_refuse(self, waiter: Waiter, now: float) -> Command:
        if waiter.expires_at < now:
            return self._refuse_expired(waiter, now)
        self._start(waiter, now)
        return Start(waiter.attempt_id)

    def _start(self, attempt: Arrived | Waiter, now: float) -> None:
        cost_s = self._expected_cost_s(attempt.priority)
        self._queue.charge(attempt.priority, attempt.workspace, cost_s)
        self._running_by_id[attempt.attempt_id] = _Running(
            attempt.workspace, attempt.priority, cost_s, now, attempt.deadline
        )

    def _expire_waiters(self, now: float) -> tuple[Command, ...]:
        commands: list[Command] = []
        while (due_at := self.next_deadline()) is not None and due_at <= now:
            attempt_id = heappop(self._expiries)[1]
            waiter = self._queue.remove(attempt_id)
            if waiter is not None:
                commands.append(self._refuse_expired(waiter, now))
                commands.extend(self._shed_below(waiter.priority))
        return tuple(commands)

    def _refuse_expired(self, waiter: Waiter, now: float) -> Refuse:
        min_latency_s = self._concurrency.min_latency_s(waiter.priority, now)
        is_late = now + min_latency_s >= waiter.deadline
        refusal = Refusal.NO_TIME if is_late else Refusal.SHED
        return self._refuse(waiter.attempt_id, refusal)

    def _shed_overflow(self) -> tuple[Command, ...]:
        if len(self._queue) <= self._service.queue_limit:
            return ()
        lowest = self._queue.lowest_priority() or LOWEST_PRIORITY
        return self._shed_one(lowest)

    def _shed_one(self, lowest: int) -> tuple[Command, ...]:
        waiter = self._queue.shed(self._expected_cost_s(lowest))
        if waiter is None:
            return ()
        return (self._refuse(waiter.attempt_id, Refusal.SHED),)

    def _shed_below(self, priority: int) -> list[Command]:
        """Shed the waiters of lower priority than an expired waiter."""
        commands: list[Command] = []
        while (lowest := self._queue.lowest_priority()) is not None:
            if lowest >= priority:
                break
            commands.extend(self._shed_one(lowest))
        return commands

    def _refuse_all(self, refusal: Refusal) -> tuple[Command, ...]:
        commands: list[Command] = []
        while (waiter := self._queue.pop()) is not None:
            commands.append(self._refuse(waiter.attempt_id, refusal))
        return tuple(commands)

    def _refuse(self, attempt_id: str, refusal: Refusal) -> Refuse:
        return Refuse(attempt_id, refusal, RETRY_AFTER_S)

    def _has_slot(self) -> bool:
        ready = self._state is UpstreamState.READY
        return ready and len(self._running_by_id) < self._concurrency.limit

    def _estimate_wait_s(self, priority: int) -> float:
        attempts_ahead = self._queue.waiting(priority + 1)
        limit = max(1, self._concurrency.limit)
        return (
            attempts_ahead * self._concurrency.mean_latency_s(priority) / limit
        )

    def _expected_cost_s(self, priority: int) -> float:
        return self._concurrency.mean_latency_s(priority) or DEFAULT_COST_S

    def _threshold(self) -> int:
        """Return the lowest priority that is admitted.

        It rises when the queue is full and is reset only when a part of the
        queue is free. Without this hysteresis the decisions of edges that
        hold an older report would differ from the gate's.
        """
        waiting = len(self._queue)
        limit = self._service.queue_limit
        if waiting >= limit:
            lowest = self._queue.lowest_priority() or LOWEST_PRIORITY
            self._current_threshold = max(self._current_threshold, lowest)
        elif waiting <= limit * THRESHOLD_RESET_QUEUE_FRACTION:
            self._current_threshold = LOWEST_PRIORITY
        return self._current_threshold

    def _prompt_threshold(self, limit: int) -> int:
        """Return the lowest priority that starts without a long wait."""
        for priority in range(LOWEST_PRIORITY, HIGHEST_PRIORITY + 1):
            if self._queue.waiting(priority) * 4 <= limit:
                return priority
        return HIGHEST_PRIORITY + 1


def _refusal_for(state: UpstreamState) -> Refusal:
    if state is UpstreamState.DRAINING:
        return Refusal.DRAINING
    return Refusal.NO_UPSTREAM
