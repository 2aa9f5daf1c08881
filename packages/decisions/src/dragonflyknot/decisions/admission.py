"""The gate in front of one upstream: who runs, who waits, who is refused.

The gate is the one place that knows how many requests run at its upstream.
Up to the limit (`concurrency.py`) they start; a short queue beyond it
(`fairqueue.py`) is ordered by importance. A more important arrival evicts
the least important waiter, and whoever can't finish in the time left is
refused at once. A refusal from here always means that nothing ran.
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
DEFAULT_COST_S = 0.01
DEADLINE_MARGIN_S = 0.05
CALM_QUEUE_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class Announced:
    """Report what the upstream says about itself."""

    slots: int
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class WeightsChanged:
    """Bring the weights of a new configuration."""

    weights_by_workspace: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ServiceChanged:
    """Bring the queue limits of a new configuration."""

    service: Service


@dataclass(frozen=True, slots=True)
class Arrived:
    """Report a new attempt; `deadline` is in monotonic seconds."""

    attempt_id: str
    workspace: str
    priority: int
    depth: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Finished:
    """Report that the upstream ended an attempt.

    `deeper_s` is the part of `latency_s` that the upstream spent waiting
    for its own calls to deeper services.
    """

    attempt_id: str
    latency_s: float
    verdict: Verdict
    deeper_s: float = 0


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Report that the caller of an attempt went away."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Ticked:
    """Report that the time of `next_deadline` has come."""


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
    """Answer that the attempt was not run; the delay is in seconds."""

    attempt_id: str
    refusal: Refusal
    retry_after_s: float


Command = Start | Refuse


@dataclass(frozen=True, slots=True)
class _Running:
    workspace: str
    priority: int
    charged_s: float
    started_at: float
    deadline: float


class Gate:
    """Admit attempts to one upstream."""

    def __init__(self, service: Service) -> None:
        """Start without an upstream: everything is refused."""
        self._service = service
        self._state = UpstreamState.GONE
        self._concurrency = ConcurrencyLimit()
        self._queue = FairQueue()
        self._running_by_id: dict[str, _Running] = {}
        self._expiries: list[tuple[float, str]] = []
        self._level = LOWEST_PRIORITY

    def handle(self, event: Event, now: float) -> tuple[Command, ...]:
        """Take an event; return what the shell has to do about it."""
        match event:
            case Arrived():
                return self._arrive(event, now)
            case Finished():
                self._finish(event, now)
            case Cancelled(attempt_id):
                self._queue.remove(attempt_id)
                self._cancel_running(attempt_id, now)
            case Announced():
                return self._announce(event, now)
            case WeightsChanged(weights_by_workspace):
                self._queue.reweigh(weights_by_workspace)
            case ServiceChanged(service):
                self._service = service
            case Ticked():
                return self._expire(now) + self._fill(now)
        return self._fill(now)

    def report(self) -> LoadReport:
        """Return the load for edges."""
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
            self._level = LOWEST_PRIORITY
            return report
        return replace(
            report, threshold=self._threshold(), prompt=self._prompt(limit)
        )

    def next_deadline(self) -> float | None:
        """Return when `Ticked` must come, in monotonic seconds."""
        while self._expiries:
            expires_at, attempt_id = self._expiries[0]
            if attempt_id in self._queue:
                return expires_at
            heappop(self._expiries)
        return None

    def _arrive(self, event: Arrived, now: float) -> tuple[Command, ...]:
        attempt_id = event.attempt_id
        if attempt_id in self._running_by_id or attempt_id in self._queue:
            return ()
        if self._state is not UpstreamState.READY:
            return (self._refuse(attempt_id, _refusal_in(self._state)),)
        least_s = self._concurrency.least_s(event.priority, now)
        if now + least_s + self._wait_s(event.priority) > event.deadline:
            return (self._refuse(attempt_id, Refusal.NO_TIME),)
        if self._has_slot():
            self._start(event, now)
            return (Start(attempt_id),)
        if event.priority < self._threshold():
            return (self._refuse(attempt_id, Refusal.SHED),)
        self._enqueue(event, event.deadline - least_s, now)
        return self._shed()

    def _enqueue(self, event: Arrived, latest_start: float, now: float) -> None:
        steps = event.priority - LOWEST_PRIORITY + 1
        wait_s = steps * self._service.queue_wait_ms / 1000
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

    def _finish(self, event: Finished, now: float) -> None:
        running = self._running_by_id.get(event.attempt_id)
        if running is None:
            return
        self._concurrency.observe(
            running.priority,
            Latency(event.latency_s, max(0, event.latency_s - event.deeper_s)),
            event.verdict,
            len(self._running_by_id),
            now,
        )
        self._running_by_id.pop(event.attempt_id)
        self._queue.correct(
            running.priority,
            running.workspace,
            event.latency_s - running.charged_s,
        )

    def _cancel_running(self, attempt_id: str, now: float) -> None:
        running = self._running_by_id.get(attempt_id)
        if running is None:
            return
        if now >= running.deadline - DEADLINE_MARGIN_S:
            elapsed_s = now - running.started_at
            late = Finished(attempt_id, elapsed_s, Verdict.TIMED_OUT)
            self._finish(late, now)
        self._running_by_id.pop(attempt_id, None)

    def _announce(self, event: Announced, now: float) -> tuple[Command, ...]:
        before = self._state
        self._state = event.state
        if event.state is not UpstreamState.READY:
            return self._refuse_all(_refusal_in(event.state))
        if before in {UpstreamState.READY, UpstreamState.DRAINING}:
            self._concurrency.announce(event.slots)
        else:
            self._concurrency.cold_start(event.slots, now)
        return self._fill(now)

    def _fill(self, now: float) -> tuple[Command, ...]:
        commands: list[Command] = []
        while self._has_slot():
            waiter = self._queue.pop()
            if waiter is None:
                break
            commands.append(self._start_or_drop(waiter, now))
        return tuple(commands)

    def _start_or_drop(self, waiter: Waiter, now: float) -> Command:
        if waiter.expires_at < now:
            return self._drop(waiter, now)
        self._start(waiter, now)
        return Start(waiter.attempt_id)

    def _start(self, asked: Arrived | Waiter, now: float) -> None:
        cost_s = self._cost_s(asked.priority)
        self._queue.charge(asked.priority, asked.workspace, cost_s)
        self._running_by_id[asked.attempt_id] = _Running(
            asked.workspace, asked.priority, cost_s, now, asked.deadline
        )

    def _expire(self, now: float) -> tuple[Command, ...]:
        commands: list[Command] = []
        while (due := self.next_deadline()) is not None and due <= now:
            attempt_id = heappop(self._expiries)[1]
            waiter = self._queue.remove(attempt_id)
            if waiter is not None:
                commands.append(self._drop(waiter, now))
                commands.extend(self._shed_below(waiter.priority))
        return tuple(commands)

    def _drop(self, waiter: Waiter, now: float) -> Refuse:
        least_s = self._concurrency.least_s(waiter.priority, now)
        late = now + least_s >= waiter.deadline
        kind = Refusal.NO_TIME if late else Refusal.SHED
        return self._refuse(waiter.attempt_id, kind)

    def _shed(self) -> tuple[Command, ...]:
        if len(self._queue) <= self._service.queue_limit:
            return ()
        lowest = self._queue.lowest_priority() or LOWEST_PRIORITY
        return self._shed_one(lowest)

    def _shed_one(self, lowest: int) -> tuple[Command, ...]:
        waiter = self._queue.shed(self._cost_s(lowest))
        if waiter is None:
            return ()
        return (self._refuse(waiter.attempt_id, Refusal.SHED),)

    def _shed_below(self, priority: int) -> list[Command]:
        """Shed what is less important than a waiter that was dropped."""
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

    def _wait_s(self, priority: int) -> float:
        ahead = self._queue.waiting(priority + 1)
        limit = max(1, self._concurrency.limit)
        return ahead * self._concurrency.mean_s(priority) / limit

    def _cost_s(self, priority: int) -> float:
        return self._concurrency.mean_s(priority) or DEFAULT_COST_S

    def _threshold(self) -> int:
        """Return the lowest priority that is admitted.

        It rises when the queue is full and falls again only when a part of
        the queue is free, so that edges with an older report agree.
        """
        waiting = len(self._queue)
        limit = self._service.queue_limit
        if waiting >= limit:
            lowest = self._queue.lowest_priority() or LOWEST_PRIORITY
            self._level = max(self._level, lowest)
        elif waiting <= limit * CALM_QUEUE_SHARE:
            self._level = LOWEST_PRIORITY
        return self._level

    def _prompt(self, limit: int) -> int:
        """Return the lowest priority that would start without a long wait."""
        for priority in range(LOWEST_PRIORITY, HIGHEST_PRIORITY + 1):
            if self._queue.waiting(priority) * 4 <= limit:
                return priority
        return HIGHEST_PRIORITY + 1


def _refusal_in(state: UpstreamState) -> Refusal:
    if state is UpstreamState.DRAINING:
        return Refusal.DRAINING
    return Refusal.NO_UPSTREAM
