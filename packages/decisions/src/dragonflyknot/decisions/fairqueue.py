"""Queue of the attempts that wait at one gate.

Attempts are served by priority. Within a priority, workspaces share the
service by weight with start-time fair queueing: each workspace has a tag
that grows by cost divided by weight with each start, and the lowest tag is
served next. An idle workspace rejoins near the tag of the last start, so
that idle time earns no more than a short burst. Within a workspace the
attempt deepest in its chain is served first, then the earliest deadline.
Attempts are shed from the other end of the same order.
"""

from bisect import insort
from collections.abc import Mapping
from dataclasses import dataclass, field

from dragonflyknot.decisions.document import OPEN_WORKSPACE

MAX_IDLE_FLOWS = 1024
MIN_WORKSPACE_WEIGHT = 1e-3

# Requests of mean cost by which an idle workspace may rejoin ahead.
MAX_REJOIN_CREDIT_REQUESTS = 16

# Weight of a new sample in the moving average of the cost.
MEAN_COST_SAMPLE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class Waiter:
    """Describe a waiting attempt; times are in monotonic seconds."""

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
    entries: list[tuple[int, float, int, Waiter]] = field(default_factory=list)


@dataclass(slots=True)
class _PriorityLevel:
    """Hold the flows of one priority; `virtual_time` is the last start tag."""

    virtual_time: float = 0
    mean_cost: float = 0
    waiting: int = 0
    flows_by_workspace: dict[str, _Flow] = field(default_factory=dict)
    active_by_workspace: dict[str, _Flow] = field(default_factory=dict)


class FairQueue:
    """Order waiting attempts for service and for shedding."""

    def __init__(self) -> None:
        """Create an empty queue with equal weights."""
        self._levels_by_priority: dict[int, _PriorityLevel] = {}
        self._priorities: list[int] = []
        self._waiters_by_id: dict[str, tuple[int, float, int, Waiter]] = {}
        self._weights_by_workspace: Mapping[str, float] = {}
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._waiters_by_id)

    def __contains__(self, attempt_id: object) -> bool:
        """Return whether an attempt is waiting."""
        return attempt_id in self._waiters_by_id

    def set_weights(self, weights_by_workspace: Mapping[str, float]) -> None:
        """Replace the weights of the workspaces."""
        self._weights_by_workspace = weights_by_workspace

    def waiting(self, priority: int) -> int:
        """Return the number of waiters of this priority or higher."""
        count = 0
        for queued_priority in self._priorities:
            if queued_priority < priority:
                break
            count += self._levels_by_priority[queued_priority].waiting
        return count

    def lowest_priority(self) -> int | None:
        """Return the lowest priority of any waiter."""
        for queued_priority in reversed(self._priorities):
            if self._levels_by_priority[queued_priority].waiting:
                return queued_priority
        return None

    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""
        level = self._level_for(waiter.priority)
        flow = _flow_for(level, waiter.workspace)
        self._sequence += 1
        entry = (-waiter.depth, waiter.deadline, self._sequence, waiter)
        if not flow.entries:
            flow.tag = max(flow.tag, self._rejoin_tag(level))
            level.active_by_workspace[waiter.workspace] = flow
        insort(flow.entries, entry)
        level.waiting += 1
        self._waiters_by_id[waiter.attempt_id] = entry

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter to serve."""
        for queued_priority in self._priorities:
            level = self._levels_by_priority[queued_priority]
            if level.waiting:
                flow = min(
                    level.active_by_workspace.values(), key=_service_order
                )
                return self._remove_at(level, flow, 0)
        return None

    def shed(self, cost: float) -> Waiter | None:
        """Remove and return the waiter that would be served last.

        `cost` is the expected charge of a start, in the unit of `charge`.
        """
        for queued_priority in reversed(self._priorities):
            level = self._levels_by_priority[queued_priority]
            if level.waiting:
                flow = self._flow_to_shed(level, cost)
                return self._remove_at(level, flow, len(flow.entries) - 1)
        return None

    def remove(self, attempt_id: str) -> Waiter | None:
        """Remove and return a waiter, or None if it is not waiting."""
        entry = self._waiters_by_id.get(attempt_id)
        if entry is None:
            return None
        waiter = entry[-1]
        level = self._levels_by_priority[waiter.priority]
        flow = level.active_by_workspace[waiter.workspace]
        return self._remove_at(level, flow, flow.entries.index(entry))

    def charge(self, priority: int, workspace: str, cost: float) -> None:
        """Charge the expected cost of a start to its workspace."""
        level = self._level_for(priority)
        flow = _flow_for(level, workspace)
        if not flow.entries:
            flow.tag = max(flow.tag, self._rejoin_tag(level))
        level.virtual_time = max(level.virtual_time, flow.tag)
        level.mean_cost += MEAN_COST_SAMPLE_WEIGHT * (cost - level.mean_cost)
        flow.tag += cost / self._weight(workspace)
        if len(level.flows_by_workspace) > MAX_IDLE_FLOWS:
            _evict_idle_flows(level)

    def adjust_charge(self, priority: int, workspace: str, cost: float) -> None:
        """Correct an earlier charge by `cost`, which may be negative."""
        level = self._level_for(priority)
        flow = level.flows_by_workspace.get(workspace)
        if flow is not None:
            flow.tag += cost / self._weight(workspace)

    def _level_for(self, priority: int) -> _PriorityLevel:
        level = self._levels_by_priority.get(priority)
        if level is None:
            level = _PriorityLevel()
            self._levels_by_priority[priority] = level
            self._priorities = sorted(self._levels_by_priority, reverse=True)
        return level

    def _rejoin_tag(self, level: _PriorityLevel) -> float:
        """Return the lowest tag at which an idle flow rejoins."""
        return level.virtual_time - MAX_REJOIN_CREDIT_REQUESTS * level.mean_cost

    def _flow_to_shed(self, level: _PriorityLevel, cost: float) -> _Flow:
        def shed_order(flow: _Flow) -> tuple[bool, float]:
            backlog = cost * len(flow.entries) / self._weight(flow.workspace)
            return (flow.workspace == OPEN_WORKSPACE, flow.tag + backlog)

        return max(level.active_by_workspace.values(), key=shed_order)

    def _remove_at(
        self, level: _PriorityLevel, flow: _Flow, position: int
    ) -> Waiter:
        waiter = flow.entries.pop(position)[-1]
        level.waiting -= 1
        if not flow.entries:
            level.active_by_workspace.pop(flow.workspace)
        self._waiters_by_id.pop(waiter.attempt_id)
        return waiter

    def _weight(self, workspace: str) -> float:
        return max(
            MIN_WORKSPACE_WEIGHT, self._weights_by_workspace.get(workspace, 1)
        )


def _flow_for(level: _PriorityLevel, workspace: str) -> _Flow:
    flow = level.flows_by_workspace.get(workspace)
    if flow is None:
        flow = _Flow(workspace)
        level.flows_by_workspace[workspace] = flow
    return flow


def _service_order(flow: _Flow) -> tuple[bool, float]:
    return (flow.workspace == OPEN_WORKSPACE, flow.tag)


def _evict_idle_flows(level: _PriorityLevel) -> None:
    idle = [
        flow.workspace
        for flow in level.flows_by_workspace.values()
        if not flow.entries and flow.tag <= level.virtual_time
    ]
    for workspace in idle:
        level.flows_by_workspace.pop(workspace)
