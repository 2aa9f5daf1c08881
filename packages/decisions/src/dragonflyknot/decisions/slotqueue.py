"""Queue of the attempts that wait for a slot at one upstream.

The upstream announces the number of slots. Waiters are ordered by priority;
within a priority, the workspace that has recently started the least work at
that priority goes first.
A small share of the slots is reserved for requests of callers, so that calls
do not starve them. A request is refused at once if the work ahead of it, at
the recently measured service times, leaves it no time, and refused later if
its latest useful start has passed. A refused request never reached the
upstream.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, unique
from math import exp
from typing import Final

from dragonflyknot.decisions.siteconfig import (
    HIGHEST_CALL_PRIORITY,
    LOWEST_CALL_PRIORITY,
)

PRIORITY_LEVELS: Final = HIGHEST_CALL_PRIORITY + 1
SERVICE_TIME_EWMA_WEIGHT: Final = 0.1
INITIAL_SERVICE_TIME_S: Final = 0.1
STARTED_WORK_DECAY_S: Final = 2.0
CALLER_SLOT_RATIO: Final = 0.15


@unique
class SlotDecision(Enum):
    """Tell whether an attempt starts, waits or is refused."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(slots=True)
class Waiter:
    """Describe an attempt; times are in monotonic seconds.

    `start_by` is the latest time at which a start is useful. Attempts of one
    `group` share an estimate of the service time. `is_over` states that the
    attempt no longer waits, `holds_slot` that it has started and not ended.
    """

    attempt: int
    workspace: str
    priority: int
    start_by: float
    group: str = ''
    started_at: float = 0
    service_time_s: float = 0
    is_over: bool = False
    holds_slot: bool = False


@dataclass(slots=True)
class _Flow:
    """Hold the waiters of one workspace at one priority."""

    started_s: float = 0
    updated_at: float = 0
    queued_s: float = 0
    waiters: deque[Waiter] = field(default_factory=deque)

    def recent_s(self, now: float) -> float:
        """Return the recently started work in seconds, decayed by age."""
        return self.started_s * exp(
            (self.updated_at - now) / STARTED_WORK_DECAY_S
        )


@dataclass(slots=True)
class _ServiceTime:
    """Track the mean time for which a group of requests holds a slot."""

    mean_s: float = 0
    updated_at: float = 0


class SlotQueue:
    """Assign the slots of one upstream to attempts."""

    def __init__(self) -> None:
        """Start without slots, so that all attempts are refused."""
        self.slots = 0
        self.running = 0
        self.waiting = 0
        self._levels: list[dict[str, _Flow]] = [
            {} for _ in range(PRIORITY_LEVELS)
        ]
        self._waiting_by_level = _zero_per_level()
        self._running_by_level = _zero_per_level()
        self._service_time_by_group: dict[str, _ServiceTime] = {}
        self._queued_s_by_level = [float(0) for _ in range(PRIORITY_LEVELS)]

    @property
    def has_free_slot(self) -> bool:
        """Tell whether an attempt that arrives now would start at once."""
        return self.running < self.slots and not self.waiting

    def arrive(self, waiter: Waiter, now: float) -> SlotDecision:
        """Start an attempt, queue it or refuse it."""
        if self.slots <= 0:
            return SlotDecision.REFUSE
        if self.has_free_slot:
            self._start(waiter, now)
            return SlotDecision.START
        wait_s = self._wait_s(waiter, now)
        if now + wait_s > waiter.start_by:
            return SlotDecision.REFUSE
        waiter.service_time_s = self.service_time_s(waiter.group)
        self._flow(waiter).waiters.append(waiter)
        self._count_waiting(waiter, 1)
        return SlotDecision.WAIT

    def finish(self, waiter: Waiter, now: float, *, is_sample: bool) -> None:
        """Release the slot of a started attempt.

        If `is_sample`, the attempt updates the service time of its group.
        """
        waiter.holds_slot = False
        self.running -= 1
        self._running_by_level[waiter.priority] -= 1
        if is_sample:
            service_time = self._service_time_by_group.setdefault(
                waiter.group, _ServiceTime()
            )
            held_s = now - waiter.started_at
            if service_time.mean_s:
                service_time.mean_s += SERVICE_TIME_EWMA_WEIGHT * (
                    held_s - service_time.mean_s
                )
            else:
                service_time.mean_s = held_s
            service_time.updated_at = now

    def cancel(self, waiter: Waiter) -> None:
        """Remove a waiting attempt from the queue; idempotent."""
        if waiter.is_over:
            return
        waiter.is_over = True
        self._count_waiting(waiter, -1)

    def withdraw(self, waiter: Waiter, now: float) -> None:
        """Release the slot of an attempt, or its place among the waiting.

        An attempt whose caller has left may have been started since.
        """
        if waiter.holds_slot:
            self.finish(waiter, now, is_sample=False)
        else:
            self.cancel(waiter)

    def clear(self) -> None:
        """Remove all waiting attempts."""
        for flows in self._levels:
            for flow in flows.values():
                for waiter in flow.waiters:
                    self.cancel(waiter)
                flow.waiters.clear()

    def next(self, now: float) -> tuple[Waiter, SlotDecision] | None:
        """Return the next waiter to start or to refuse, or None."""
        if self.running >= self.slots:
            return None
        waiter = self._pop(now)
        if waiter is None:
            return None
        if waiter.start_by < now:
            return waiter, SlotDecision.REFUSE
        self._start(waiter, now)
        return waiter, SlotDecision.START

    def service_time_s(self, group: str) -> float:
        """Return the mean time in seconds that a group holds a slot."""
        service_time = self._service_time_by_group.get(group)
        return (
            service_time.mean_s
            if service_time and service_time.mean_s
            else INITIAL_SERVICE_TIME_S
        )

    def _wait_s(self, waiter: Waiter, now: float) -> float:
        priority = waiter.priority
        # Slots held by higher priorities are likely to be taken by them again.
        running_above = sum(self._running_by_level[priority + 1 :])
        slots = max(1, self.slots - running_above)
        wait_s = (
            self._ahead_s(waiter, now, PRIORITY_LEVELS) + self._mean_s()
        ) / slots
        reserved = self._reserved_slots()
        if priority >= LOWEST_CALL_PRIORITY or not reserved:
            return wait_s
        ahead_s = self._ahead_s(waiter, now, LOWEST_CALL_PRIORITY)
        return min(wait_s, (ahead_s + self._mean_s()) / reserved)

    def _reserved_slots(self) -> int:
        """Return the number of slots reserved for requests of callers."""
        return int(CALLER_SLOT_RATIO * self.slots)

    def _ahead_s(self, waiter: Waiter, now: float, end: int) -> float:
        """Return the work below priority `end` that starts before a new waiter.

        Within its priority, another workspace gets as much work as the
        workspace of the waiter, plus the difference by which its recent work
        is behind.
        """
        ahead_s = sum(self._queued_s_by_level[waiter.priority + 1 : end])
        own_flow = self._flow(waiter)
        own_recent_s = own_flow.recent_s(now)
        own_queued_s = own_flow.queued_s + self.service_time_s(waiter.group)
        for flow in self._levels[waiter.priority].values():
            if flow is own_flow or not flow.queued_s:
                continue
            deficit_s = own_recent_s - flow.recent_s(now)
            ahead_s += min(flow.queued_s, max(0, own_queued_s + deficit_s))
        return ahead_s + own_flow.queued_s

    def _start(self, waiter: Waiter, now: float) -> None:
        waiter.is_over = True
        waiter.holds_slot = True
        waiter.started_at = now
        self.running += 1
        self._running_by_level[waiter.priority] += 1
        flow = self._flow(waiter)
        flow.started_s = flow.recent_s(now) + self.service_time_s(waiter.group)
        flow.updated_at = now

    def _pop(self, now: float) -> Waiter | None:
        if self._is_caller_reserve_unused():
            waiter = self._pop_below(LOWEST_CALL_PRIORITY, now)
            if waiter is not None:
                return waiter
        return self._pop_below(PRIORITY_LEVELS, now)

    def _pop_below(self, end: int, now: float) -> Waiter | None:
        for priority in range(end - 1, -1, -1):
            if self._waiting_by_level[priority]:
                return self._pop_fairest(self._levels[priority], now)
        return None

    def _is_caller_reserve_unused(self) -> bool:
        callers = sum(self._running_by_level[:LOWEST_CALL_PRIORITY])
        return callers < self._reserved_slots()

    def _pop_fairest(
        self, flows: dict[str, _Flow], now: float
    ) -> Waiter | None:
        fairest: _Flow | None = None
        least_recent_s = float('inf')
        for flow in flows.values():
            while flow.waiters and flow.waiters[0].is_over:
                flow.waiters.popleft()
            if not flow.waiters:
                flow.queued_s = 0
            elif flow.recent_s(now) < least_recent_s:
                fairest = flow
                least_recent_s = flow.recent_s(now)
        if fairest is None:
            return None
        waiter = fairest.waiters.popleft()
        waiter.is_over = True
        self._count_waiting(waiter, -1)
        return waiter

    def _flow(self, waiter: Waiter) -> _Flow:
        flows = self._levels[waiter.priority]
        flow = flows.get(waiter.workspace)
        if flow is None:
            flow = _Flow()
            flows[waiter.workspace] = flow
        return flow

    def _count_waiting(self, waiter: Waiter, delta: int) -> None:
        priority = waiter.priority
        flow = self._flow(waiter)
        service_time_s = delta * waiter.service_time_s
        self.waiting += delta
        self._waiting_by_level[priority] += delta
        self._queued_s_by_level[priority] += service_time_s
        flow.queued_s += service_time_s
        if not self._waiting_by_level[priority]:
            self._queued_s_by_level[priority] = 0

    def _mean_s(self) -> float:
        means_s = [
            service_time.mean_s
            for service_time in self._service_time_by_group.values()
        ]
        return (
            sum(means_s) / len(means_s) if means_s else INITIAL_SERVICE_TIME_S
        )


def _zero_per_level() -> list[int]:
    return [0 for _ in range(PRIORITY_LEVELS)]
