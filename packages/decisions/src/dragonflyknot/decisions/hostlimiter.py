"""Decide which requests of the workspaces one daemon admits.

In touch with a meter, the daemon admits the ratio of its requests that the
meter allows. If its demand surges between two replies, it assumes that the
demand of the others has surged by the same factor.

Out of touch, it admits requests from a reserve that fills with its equal
share of the rate. All its admissions drain the reserve, so that a workspace
that has just used its rate up finds the reserve empty.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import exp
from typing import Final

from dragonflyknot.decisions.demand import (
    ALLOWANCE_LIFETIME_S,
    Allowance,
    MeterReply,
    RateLimit,
    WorkspaceDemand,
)

DEMAND_DECAY_S: Final = 1.0
GROWTH_SMOOTHING_PER_S: Final = 5.0
SURGE_RATIO: Final = 1.4
NEGLIGIBLE_PER_S: Final = 0.05
INITIAL_SHARE_MULTIPLE: Final = 3.0
MIN_INITIAL_RATE_PER_S: Final = 1.0
RESIDUAL_PER_S: Final = 0.5
# What all reserves hold beside the burst, so that small shares come to whole
# requests. Within the 20 requests that the users tolerate.
SPARE_REQUESTS: Final = 20.0
# A new process does not know what its predecessor admitted.
INITIAL_RESERVE_RATIO: Final = 0.5
MIN_RESERVE: Final = 1.0


class AdmissionBasis(Enum):
    """Name what a daemon admitted a request by.

    `FIRST_REQUESTS` are those of a workspace whose demand the meter does not
    know yet.
    """

    ALLOWANCE = 'allowance'
    FIRST_REQUESTS = 'first-requests'
    RESERVE = 'reserve'


@dataclass(slots=True)
class _RateEstimate:
    """Estimate a rate in requests/s by an exponentially decaying count."""

    per_s: float = 0
    updated_at: float = 0

    def add(self, now: float) -> None:
        """Count an arrival."""
        self.per_s = self.value(now) + 1 / DEMAND_DECAY_S
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the estimate, decayed to the given time."""
        return self.per_s * exp((self.updated_at - now) / DEMAND_DECAY_S)


@dataclass(slots=True)
class _Reserve:
    """Hold the requests that a host may admit out of touch.

    `share_per_s` is the host's equal share of the rate, `admitted` counts
    the requests admitted out of touch.
    """

    level: float
    updated_at: float
    max_level: float = MIN_RESERVE
    share_per_s: float = 0
    admitted: float = 0

    def update(self, limit: RateLimit, hosts: int, now: float) -> None:
        """Fill the reserve; without known hosts there is no share."""
        if hosts:
            self.share_per_s = limit.rate / hosts
            self.max_level = max(MIN_RESERVE, _reserve_of(limit, hosts))
        filled = self.level + self.share_per_s * (now - self.updated_at)
        self.level = min(self.max_level, filled)
        self.updated_at = now

    def drain(self) -> None:
        """Take out a request that was admitted by other means."""
        self.level = max(0, self.level - 1)

    def admit(self) -> bool:
        """Admit a request if the reserve holds one."""
        if self.level < 1:
            return False
        self.level -= 1
        self.admitted += 1
        return True

    def settle(self, out_of_touch_s: float) -> float:
        """Return what was admitted beyond the share of that time.

        It is negative if the host has left a part of its share unused.
        """
        excess = self.admitted - self.share_per_s * out_of_touch_s
        self.admitted = 0
        return excess


def _reserve_of(limit: RateLimit, hosts: int) -> float:
    return (limit.burst + SPARE_REQUESTS) / hosts


@dataclass(slots=True)
class _WorkspaceUsage:
    """Hold what a daemon knows about one workspace.

    `credit` accumulates the admissible ratio of each request; a request is
    admitted when it reaches 1.
    """

    reserve: _Reserve
    asked: _RateEstimate = field(default_factory=_RateEstimate)
    admitted: float = 0
    reported_per_s: float = 0
    allowance: Allowance | None = None
    allowance_until: float = float('-inf')
    credit: float = 0.5


class HostLimiter:
    """Limit the rates of workspaces at one daemon.

    `hosts` is the number of hosts of the site, 0 while it is not known.
    """

    def __init__(self, now: float) -> None:
        """Start without demand and out of touch."""
        self._usage_by_workspace: dict[str, _WorkspaceUsage] = {}
        self._in_touch_until = now
        self.admitted_by_basis: Counter[AdmissionBasis] = Counter()
        self.hosts = 0

    def admit(self, workspace: str, limit: RateLimit, now: float) -> bool:
        """Count a request; return whether it is within the limit."""
        usage = self._usage(workspace, limit, now)
        usage.asked.add(now)
        usage.reserve.update(limit, self.hosts, now)
        basis = self._basis(usage, now)
        if not self._is_within(usage, limit, basis, now):
            return False
        self.admitted_by_basis[basis] += 1
        if basis is not AdmissionBasis.RESERVE:
            usage.admitted += 1
            usage.reserve.drain()
        return True

    def give_back(self, workspace: str, now: float) -> None:
        """Uncount an admitted request that was not run."""
        usage = self._usage_by_workspace.get(workspace)
        if usage is None:
            # The workspace had no limit when the request was admitted.
            return
        reserve = usage.reserve
        reserve.level = min(reserve.max_level, reserve.level + 1)
        if self._basis(usage, now) is AdmissionBasis.RESERVE:
            reserve.admitted = max(0, reserve.admitted - 1)
        elif usage.admitted >= 1:
            usage.admitted -= 1

    def needs_immediate_report(self, workspace: str, now: float) -> bool:
        """Tell whether new or surging demand must be reported at once."""
        usage = self._usage_by_workspace[workspace]
        return not usage.reported_per_s or _growth(usage, now) > SURGE_RATIO

    def report(self, now: float) -> dict[str, WorkspaceDemand]:
        """Return the report for the meter, by workspace."""
        reports: dict[str, WorkspaceDemand] = {}
        for workspace, usage in self._usage_by_workspace.items():
            own_per_s = usage.asked.value(now)
            if (
                own_per_s > NEGLIGIBLE_PER_S
                or usage.admitted
                or usage.reported_per_s
            ):
                reports[workspace] = WorkspaceDemand(own_per_s, usage.admitted)
        return reports

    def apply_reply(
        self,
        reports: Mapping[str, WorkspaceDemand],
        reply: MeterReply,
        asked_at: float,
    ) -> None:
        """Apply the meter's reply to the reports sent at `asked_at`."""
        for workspace, asked in reports.items():
            usage = self._usage_by_workspace[workspace]
            usage.admitted -= asked.admitted
            usage.reported_per_s = asked.per_s
            if asked.per_s <= NEGLIGIBLE_PER_S:
                usage.reported_per_s = 0
        if reply.is_granting:
            self._apply_allowances(reply.allowances, asked_at)

    def _apply_allowances(
        self, allowances: Mapping[str, Allowance], asked_at: float
    ) -> None:
        out_of_touch_s = max(0, asked_at - self._in_touch_until)
        self._in_touch_until = asked_at + ALLOWANCE_LIFETIME_S
        for usage in self._usage_by_workspace.values():
            usage.admitted += usage.reserve.settle(out_of_touch_s)
        for workspace, allowance in allowances.items():
            usage = self._usage_by_workspace.setdefault(
                workspace, _WorkspaceUsage(_Reserve(MIN_RESERVE, asked_at))
            )
            usage.allowance = allowance
            usage.allowance_until = self._in_touch_until

    def _usage(
        self, workspace: str, limit: RateLimit, now: float
    ) -> _WorkspaceUsage:
        usage = self._usage_by_workspace.get(workspace)
        if usage is None:
            level = MIN_RESERVE
            if self.hosts:
                initial = _reserve_of(limit, self.hosts) * INITIAL_RESERVE_RATIO
                level = max(level, initial)
            usage = _WorkspaceUsage(_Reserve(level, now))
            self._usage_by_workspace[workspace] = usage
        return usage

    def _basis(self, usage: _WorkspaceUsage, now: float) -> AdmissionBasis:
        if now < usage.allowance_until:
            return AdmissionBasis.ALLOWANCE
        if now < self._in_touch_until:
            return AdmissionBasis.FIRST_REQUESTS
        return AdmissionBasis.RESERVE

    def _is_within(
        self,
        usage: _WorkspaceUsage,
        limit: RateLimit,
        basis: AdmissionBasis,
        now: float,
    ) -> bool:
        match basis:
            case AdmissionBasis.ALLOWANCE:
                return _is_allowed(usage, now)
            case AdmissionBasis.FIRST_REQUESTS:
                share_per_s = limit.rate / max(1, self.hosts)
                max_per_s = max(
                    MIN_INITIAL_RATE_PER_S, INITIAL_SHARE_MULTIPLE * share_per_s
                )
                # The request itself counts one; what is left of older ones
                # must not make it one too many.
                return usage.asked.value(now) < max_per_s + RESIDUAL_PER_S
            case AdmissionBasis.RESERVE:
                return usage.reserve.admit()


def _is_allowed(usage: _WorkspaceUsage, now: float) -> bool:
    allowance = usage.allowance
    if allowance is None:
        return False
    growth = _growth(usage, now)
    surge = growth / SURGE_RATIO if growth > SURGE_RATIO else 1
    fleet_per_s = max(usage.asked.value(now), allowance.fleet_per_s * surge)
    if fleet_per_s <= allowance.allowed_per_s:
        return True
    usage.credit += allowance.allowed_per_s / fleet_per_s
    if usage.credit < 1:
        return False
    usage.credit = min(usage.credit - 1, 1.0)
    return True


def _growth(usage: _WorkspaceUsage, now: float) -> float:
    own_per_s = usage.asked.value(now) + GROWTH_SMOOTHING_PER_S
    return own_per_s / (usage.reported_per_s + GROWTH_SMOOTHING_PER_S)
