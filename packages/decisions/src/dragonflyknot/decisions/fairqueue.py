"""The waiting attempts of one gate, in their order of service.

Priority goes first. Inside a priority the workspace with the least service
against its weight is next (start-time fair queueing: each workspace carries
a tag that grows by cost over weight with each start, and an idle workspace
rejoins at the tag of the last start, so that idleness earns nothing).
Inside a workspace the deepest chain goes first, then the earliest deadline.
Shedding takes the same order from its other end.
"""

from bisect import insort
from collections.abc import Mapping
from dataclasses import dataclass, field

from dragonflyknot.decisions.document import OPEN_WORKSPACE

MAX_IDLE_FLOWS = 1024
MIN_WEIGHT = 1e-3
BURST_REQUESTS = 16
MEAN_COST_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class Waiter:
    """Describe an attempt that waits; times are in monotonic seconds."""

    attempt_id: str
    workspace: str
    priority: int
    depth: int
    deadline: float
    expires_at: float


@dataclass(slots=True)
class _Flow:
    workspace: str
    tag: float = 0
    ranked: list[tuple[int, float, int, Waiter]] = field(default_factory=list)


@dataclass(slots=True)
class _Level:
    """Hold the flows of one priority; `clock` is the tag last started."""

    clock: float = 0
    mean_cost: float = 0
    waiting: int = 0
    flows_by_workspace: dict[str, _Flow] = field(default_factory=dict)
    active_by_workspace: dict[str, _Flow] = field(default_factory=dict)


class FairQueue:
    """Order waiters for service and for shedding."""

    def __init__(self) -> None:
        """Start empty, with equal weights."""
        self._levels_by_priority: dict[int, _Level] = {}
        self._priorities: list[int] = []
        self._waiters_by_id: dict[str, tuple[int, float, int, Waiter]] = {}
        self._weights_by_workspace: Mapping[str, float] = {}
        self._sequence = 0

    def __len__(self) -> int:
        """Return how many attempts wait."""
        return len(self._waiters_by_id)

    def __contains__(self, attempt_id: object) -> bool:
        """Return whether an attempt waits."""
        return attempt_id in self._waiters_by_id

    def reweigh(self, weights_by_workspace: Mapping[str, float]) -> None:
        """Replace the weights of the workspaces."""
        self._weights_by_workspace = weights_by_workspace

    def waiting(self, priority: int) -> int:
        """Return how many waiters have this priority or a higher one."""
        total = 0
        for rank in self._priorities:
            if rank < priority:
                break
            total += self._levels_by_priority[rank].waiting
        return total

    def lowest_priority(self) -> int | None:
        """Return the lowest priority that waits."""
        for rank in reversed(self._priorities):
            if self._levels_by_priority[rank].waiting:
                return rank
        return None

    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""
        level = self._level(waiter.priority)
        flow = _flow(level, waiter.workspace)
        self._sequence += 1
        ranked = (-waiter.depth, waiter.deadline, self._sequence, waiter)
        if not flow.ranked:
            flow.tag = max(flow.tag, self._floor(level))
            level.active_by_workspace[waiter.workspace] = flow
        insort(flow.ranked, ranked)
        level.waiting += 1
        self._waiters_by_id[waiter.attempt_id] = ranked

    def pop(self) -> Waiter | None:
        """Remove and return the waiter that is served next."""
        for rank in self._priorities:
            level = self._levels_by_priority[rank]
            if level.waiting:
                flow = min(level.active_by_workspace.values(), key=_claim)
                return self._take(level, flow, 0)
        return None

    def shed(self, cost: float) -> Waiter | None:
        """Remove and return the least important waiter.

        `cost` is what a start is expected to charge, in the unit of
        `charge`.
        """
        for rank in reversed(self._priorities):
            level = self._levels_by_priority[rank]
            if level.waiting:
                flow = self._last_flow(level, cost)
                return self._take(level, flow, len(flow.ranked) - 1)
        return None

    def remove(self, attempt_id: str) -> Waiter | None:
        """Remove and return one waiter, if it waits."""
        ranked = self._waiters_by_id.get(attempt_id)
        if ranked is None:
            return None
        waiter = ranked[-1]
        level = self._levels_by_priority[waiter.priority]
        flow = level.active_by_workspace[waiter.workspace]
        return self._take(level, flow, flow.ranked.index(ranked))

    def charge(self, priority: int, workspace: str, cost: float) -> None:
        """Count a start against its workspace."""
        level = self._level(priority)
        flow = _flow(level, workspace)
        if not flow.ranked:
            flow.tag = max(flow.tag, self._floor(level))
        level.clock = max(level.clock, flow.tag)
        level.mean_cost += MEAN_COST_WEIGHT * (cost - level.mean_cost)
        flow.tag += cost / self._weight(workspace)
        if len(level.flows_by_workspace) > MAX_IDLE_FLOWS:
            _forget_idle(level)

    def correct(self, priority: int, workspace: str, cost: float) -> None:
        """Add what a start has cost beyond its charge; may be negative."""
        level = self._level(priority)
        flow = level.flows_by_workspace.get(workspace)
        if flow is not None:
            flow.tag += cost / self._weight(workspace)

    def _level(self, priority: int) -> _Level:
        level = self._levels_by_priority.get(priority)
        if level is None:
            level = _Level()
            self._levels_by_priority[priority] = level
            self._priorities = sorted(self._levels_by_priority, reverse=True)
        return level

    def _floor(self, level: _Level) -> float:
        """Return the tag at which an idle flow rejoins."""
        return level.clock - BURST_REQUESTS * level.mean_cost

    def _last_flow(self, level: _Level, cost: float) -> _Flow:
        def last_tag(flow: _Flow) -> tuple[bool, float]:
            backlog = cost * len(flow.ranked) / self._weight(flow.workspace)
            return (flow.workspace == OPEN_WORKSPACE, flow.tag + backlog)

        return max(level.active_by_workspace.values(), key=last_tag)

    def _take(self, level: _Level, flow: _Flow, position: int) -> Waiter:
        waiter = flow.ranked.pop(position)[-1]
        level.waiting -= 1
        if not flow.ranked:
            level.active_by_workspace.pop(flow.workspace)
        self._waiters_by_id.pop(waiter.attempt_id)
        return waiter

    def _weight(self, workspace: str) -> float:
        return max(MIN_WEIGHT, self._weights_by_workspace.get(workspace, 1))


def _flow(level: _Level, workspace: str) -> _Flow:
    flow = level.flows_by_workspace.get(workspace)
    if flow is None:
        flow = _Flow(workspace)
        level.flows_by_workspace[workspace] = flow
    return flow


def _claim(flow: _Flow) -> tuple[bool, float]:
    return (flow.workspace == OPEN_WORKSPACE, flow.tag)


def _forget_idle(level: _Level) -> None:
    idle = [
        flow.workspace
        for flow in level.flows_by_workspace.values()
        if not flow.ranked and flow.tag <= level.clock
    ]
    for workspace in idle:
        level.flows_by_workspace.pop(workspace)
