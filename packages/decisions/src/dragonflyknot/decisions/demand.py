"""Enforce the rate limits of workspaces across the whole fleet.

Every daemon counts its offered and admitted requests and reports them to one
of the hosts, the meter. The meter keeps one token bucket per workspace,
takes the admitted requests from it, and replies with the rate that may now
be admitted and the demand of the whole fleet. Each daemon admits the same
ratio of its requests, so that the sum stays within the rate however the
requests are distributed. If the demand of a daemon surges between two
replies, it assumes that the demand of the others has surged by the same
factor.

A new meter may succeed one that has already given a burst away, so its
buckets start empty and fill from the start of its process. Until every host
has had time to report, it extrapolates from the hosts that have reported.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import exp
from typing import Final

DEMAND_DECAY_S: Final = 1.0
GROWTH_SMOOTHING_PER_S: Final = 5.0
SURGE_RATIO: Final = 1.4
REPORT_OVERDUE_S: Final = 1.0
REPORTER_EXPIRY_S: Final = 15.0
TAKEOVER_WINDOW_S: Final = 2.0
USABLE_BURST_RATIO: Final = 0.8
BURST_RELEASE_S: Final = 1.0
MIN_ADMITTED_RATIO: Final = 0.05
NEGLIGIBLE_PER_S: Final = 0.05
WARNING_LIFETIME_S: Final = 1.0
FRESH_ALLOWANCE_S: Final = 1.0
INITIAL_SHARE_MULTIPLE: Final = 3.0
MIN_INITIAL_RATE_PER_S: Final = 1.0
EXTRAPOLATION_OFFSET_PER_S: Final = 3.0
OVERDUE_CHECK_INTERVAL_S: Final = 0.25
IDLE_REPORT_INTERVAL_S: Final = 0.5
MIN_BUSY_REPORT_INTERVAL_S: Final = 0.15
BUSY_REPORT_INTERVAL_PER_HOST_S: Final = 0.004
"""Up to 125 hosts send at most 250 reports/s in total."""


def report_interval_s(hosts: int, *, is_busy: bool) -> float:
    """Return the time between two reports of a daemon, in seconds."""
    if not is_busy:
        return IDLE_REPORT_INTERVAL_S
    return min(
        IDLE_REPORT_INTERVAL_S,
        max(
            MIN_BUSY_REPORT_INTERVAL_S, hosts * BUSY_REPORT_INTERVAL_PER_HOST_S
        ),
    )


@dataclass(frozen=True, slots=True)
class WorkspaceDemand:
    """Report the demand for a workspace in requests/s.

    `admitted` counts the requests admitted since the last report.
    """

    per_s: float
    admitted: int


@dataclass(frozen=True, slots=True)
class Allowance:
    """Hold the fleet's demand and its admissible rate, in requests/s."""

    fleet_per_s: float
    allowed_per_s: float


class AdmissionBasis(Enum):
    """Name what a daemon admitted a request by."""

    ALLOWANCE = 'allowance'
    STALE_ALLOWANCE = 'stale-allowance'
    NO_ALLOWANCE = 'no-allowance'


@dataclass(frozen=True, slots=True)
class BucketStarted:
    """Tell that a meter started the bucket of a workspace.

    `tokens` are in requests; `reporting_hosts` and `hosts` count the hosts
    that have reported and all hosts that the meter knows.
    """

    workspace: str
    tokens: float
    reporting_hosts: int
    hosts: int


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Hold a rate in requests/s and a burst in requests."""

    rate: float
    burst: float


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
class _WorkspaceUsage:
    """Hold what a daemon knows about one workspace.

    `credit` accumulates the admissible ratio of each request; a request is
    admitted when it reaches 1.
    """

    asked: _RateEstimate = field(default_factory=_RateEstimate)
    admitted: int = 0
    reported_per_s: float = 0
    allowance: Allowance | None = None
    allowance_at: float = 0
    credit: float = 0.5


class WorkspaceRateLimiter:
    """Decide which requests of a workspace one daemon admits."""

    def __init__(self) -> None:
        """Start without demand."""
        self._usage_by_workspace: dict[str, _WorkspaceUsage] = {}
        self.admitted_by_basis: Counter[AdmissionBasis] = Counter()
        self.hosts = 1

    def admit(self, workspace: str, rate: float, now: float) -> bool:
        """Count a request; return whether it is within the rate.

        A `rate` of 0 means no limit.
        """
        usage = self._usage_by_workspace.get(workspace)
        if usage is None:
            usage = _WorkspaceUsage()
            self._usage_by_workspace[workspace] = usage
        usage.asked.add(now)
        if rate > 0:
            if not self._is_within(usage, rate, now):
                return False
            self.admitted_by_basis[_basis(usage, now)] += 1
        usage.admitted += 1
        return True

    def give_back(self, workspace: str) -> None:
        """Uncount an admitted request that was not run."""
        self._usage_by_workspace[workspace].admitted -= 1

    def _is_within(
        self, usage: _WorkspaceUsage, rate: float, now: float
    ) -> bool:
        # An allowance received without own demand is a warning, which expires.
        is_expired = (
            now - usage.allowance_at > WARNING_LIFETIME_S
            and not usage.reported_per_s
        )
        if usage.allowance is not None and not is_expired:
            return _is_within(usage, usage.allowance, now)
        # Without a reply, admit a multiple of an equal share; the meter takes
        # any excess from the bucket later.
        share_per_s = INITIAL_SHARE_MULTIPLE * rate / self.hosts
        return usage.asked.value(now) <= max(
            MIN_INITIAL_RATE_PER_S, share_per_s
        )

    def needs_immediate_report(self, workspace: str, now: float) -> bool:
        """Tell whether new or surging demand must be reported at once."""
        usage = self._usage_by_workspace[workspace]
        return usage.allowance is None or _growth(usage, now) > SURGE_RATIO

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
        fleet: Mapping[str, Allowance],
        now: float,
    ) -> None:
        """Apply the meter's reply `fleet` to the report `reports`."""
        for workspace, asked in reports.items():
            usage = self._usage_by_workspace[workspace]
            usage.admitted -= asked.admitted
            usage.reported_per_s = asked.per_s
            if asked.per_s <= NEGLIGIBLE_PER_S:
                usage.reported_per_s = 0
        for workspace, allowance in fleet.items():
            usage = self._usage_by_workspace.setdefault(
                workspace, _WorkspaceUsage()
            )
            usage.allowance = allowance
            usage.allowance_at = now

    def known(self) -> dict[str, float]:
        """Return the last known demand of the fleet, in requests/s."""
        return {
            workspace: usage.allowance.fleet_per_s
            for workspace, usage in self._usage_by_workspace.items()
            if usage.allowance is not None
        }


def _basis(usage: _WorkspaceUsage, now: float) -> AdmissionBasis:
    if usage.allowance is None:
        return AdmissionBasis.NO_ALLOWANCE
    if now - usage.allowance_at > FRESH_ALLOWANCE_S:
        return AdmissionBasis.STALE_ALLOWANCE
    return AdmissionBasis.ALLOWANCE


def _is_within(
    usage: _WorkspaceUsage, allowance: Allowance, now: float
) -> bool:
    own_per_s = usage.asked.value(now)
    growth = _growth(usage, now)
    surge = growth / SURGE_RATIO if growth > SURGE_RATIO else 1
    fleet_per_s = max(own_per_s, allowance.fleet_per_s * surge)
    if fleet_per_s <= allowance.allowed_per_s:
        return True
    usage.credit += max(
        MIN_ADMITTED_RATIO, allowance.allowed_per_s / fleet_per_s
    )
    if usage.credit < 1:
        return False
    usage.credit = min(usage.credit - 1, 1.0)
    return True


def _growth(usage: _WorkspaceUsage, now: float) -> float:
    own_per_s = usage.asked.value(now) + GROWTH_SMOOTHING_PER_S
    return own_per_s / (usage.reported_per_s + GROWTH_SMOOTHING_PER_S)


@dataclass(slots=True)
class _HostReport:
    """Hold the last report of a host about one workspace.

    `charged` counts the requests charged to the bucket while reports of the
    host were overdue, `charged_until` is the time up to which they were.
    """

    updated_at: float
    per_s: float
    admitted_per_s: float = 0
    charged: float = 0
    charged_until: float = 0


@dataclass(slots=True)
class _WorkspaceBucket:
    """Hold the tokens of one workspace and the reports about it.

    `inherited_per_s` is the demand that an earlier meter told the hosts.
    """

    tokens: float
    updated_at: float
    inherited_per_s: float = 0
    reported_per_s: float = 0
    overdue_checked_at: float = float('-inf')
    reports_by_host: dict[str, _HostReport] = field(default_factory=dict)


class DemandMeter:
    """Maintain the token buckets of workspaces for the whole fleet."""

    def __init__(self, now: float) -> None:
        """Start without reports; buckets fill from `now` on."""
        self._buckets_by_workspace: dict[str, _WorkspaceBucket] = {}
        self._last_report_at = float('-inf')
        self._started_at = now
        self._fill_started_at = now
        self._reporting_hosts: set[str] = set()
        self._over_limit: set[str] = set()
        self._started_buckets: list[BucketStarted] = []
        self.hosts = 1

    @property
    def reporting_hosts(self) -> int:
        """Return the number of hosts that have reported."""
        return len(self._reporting_hosts)

    def take_started_buckets(self) -> list[BucketStarted]:
        """Return the buckets started since the last call."""
        started = self._started_buckets
        self._started_buckets = []
        return started

    def record_report(
        self,
        host: str,
        demand: Mapping[str, WorkspaceDemand],
        known: Mapping[str, float],
        limits: Mapping[str, RateLimit],
        now: float,
    ) -> dict[str, Allowance]:
        """Record a report; return the allowances by workspace.

        `known` is the fleet's demand as the reporting host last received it.
        A meter that has just taken over uses it as a lower bound until every
        host has had time to report.
        """
        if now - self._last_report_at > TAKEOVER_WINDOW_S:
            self._restart(now)
        self._last_report_at = now
        self._reporting_hosts.add(host)
        allowances: dict[str, Allowance] = {}
        for workspace, asked in demand.items():
            limit = limits.get(workspace)
            if limit is not None and limit.rate > 0:
                inherited = known.get(workspace, 0)
                bucket = self._bucket(workspace, limit, inherited, now)
                _record_report(bucket, host, asked, now)
                allowances[workspace] = self._allowance(bucket, limit, now)
                self._update_over_limit(workspace, allowances[workspace])
        self._add_warnings(allowances, limits, now)
        return allowances

    def _restart(self, now: float) -> None:
        self._started_at = now
        if self._reporting_hosts:
            # Another meter may have replied in the meantime.
            self._fill_started_at = now
        self._reporting_hosts.clear()
        self._over_limit.clear()
        self._buckets_by_workspace.clear()

    def _add_warnings(
        self,
        allowances: dict[str, Allowance],
        limits: Mapping[str, RateLimit],
        now: float,
    ) -> None:
        """Add allowances of workspaces over their limit that were not reported.

        The reporting host may not have received requests of them yet.
        """
        for workspace in self._over_limit.difference(allowances):
            limit = limits.get(workspace)
            if limit is None:
                self._over_limit.discard(workspace)
                continue
            bucket = self._bucket(workspace, limit, 0, now)
            allowance = self._allowance(bucket, limit, now)
            self._update_over_limit(workspace, allowance)
            if workspace in self._over_limit:
                allowances[workspace] = allowance

    def _update_over_limit(self, workspace: str, allowance: Allowance) -> None:
        """Record whether the demand of a workspace exceeds its allowance."""
        if allowance.fleet_per_s > allowance.allowed_per_s:
            self._over_limit.add(workspace)
        else:
            self._over_limit.discard(workspace)

    def _bucket(
        self, workspace: str, limit: RateLimit, inherited: float, now: float
    ) -> _WorkspaceBucket:
        bucket = self._buckets_by_workspace.get(workspace)
        max_tokens = limit.burst * USABLE_BURST_RATIO
        is_new = bucket is None
        if bucket is None:
            if inherited:
                # An earlier meter may have given the burst away already.
                self._fill_started_at = self._started_at
            bucket = _WorkspaceBucket(0, self._fill_started_at)
            self._buckets_by_workspace[workspace] = bucket
        elapsed_s = max(0, now - bucket.updated_at)
        bucket.updated_at = now
        bucket.inherited_per_s = max(bucket.inherited_per_s, inherited)
        bucket.tokens = min(max_tokens, bucket.tokens + limit.rate * elapsed_s)
        if is_new:
            self._started_buckets.append(
                BucketStarted(
                    workspace,
                    bucket.tokens,
                    len(self._reporting_hosts),
                    self.hosts,
                )
            )
        if now - bucket.overdue_checked_at >= OVERDUE_CHECK_INTERVAL_S:
            _charge_overdue_hosts(bucket, now)
        return bucket

    def _allowance(
        self, bucket: _WorkspaceBucket, limit: RateLimit, now: float
    ) -> Allowance:
        fleet_per_s = bucket.reported_per_s
        if now < self._started_at + TAKEOVER_WINDOW_S:
            hosts_per_reporter = max(1, self.hosts / len(self._reporting_hosts))
            # A few requests are too few to extrapolate from.
            scaled_per_s = max(0, fleet_per_s - EXTRAPOLATION_OFFSET_PER_S)
            fleet_per_s += (hosts_per_reporter - 1) * scaled_per_s
            fleet_per_s = max(fleet_per_s, bucket.inherited_per_s)
        allowed = limit.rate + bucket.tokens / BURST_RELEASE_S
        return Allowance(
            fleet_per_s, max(MIN_ADMITTED_RATIO * limit.rate, allowed)
        )


def _charge_overdue_hosts(bucket: _WorkspaceBucket, now: float) -> None:
    """Charge hosts with overdue reports at their last admitted rate."""
    bucket.overdue_checked_at = now
    for host, report in tuple(bucket.reports_by_host.items()):
        if now - report.updated_at > REPORTER_EXPIRY_S:
            bucket.reports_by_host.pop(host)
            continue
        uncharged_since = max(
            report.updated_at + REPORT_OVERDUE_S, report.charged_until
        )
        if now > uncharged_since:
            admitted = (now - uncharged_since) * report.admitted_per_s
            report.charged += admitted
            report.charged_until = now
            bucket.tokens -= admitted
    # Recomputed, so that rounding errors do not accumulate.
    bucket.reported_per_s = sum(
        host_report.per_s for host_report in bucket.reports_by_host.values()
    )


def _record_report(
    bucket: _WorkspaceBucket, host: str, asked: WorkspaceDemand, now: float
) -> None:
    report = bucket.reports_by_host.get(host)
    if report is None:
        report = _HostReport(now, 0)
        bucket.reports_by_host[host] = report
    elapsed_s = max(0.1, now - report.updated_at)
    rate = asked.admitted / elapsed_s
    report.admitted_per_s += min(1, elapsed_s) * (rate - report.admitted_per_s)
    bucket.tokens += report.charged - asked.admitted
    report.charged = 0
    report.charged_until = 0
    report.updated_at = now
    bucket.reported_per_s += asked.per_s - report.per_s
    report.per_s = asked.per_s
