"""Maintain the token buckets of workspaces for the hosts that report.

Several meters may run at the same time, for example on both sides of a
partition. Each fills its buckets with the shares of the hosts that report to
it, so that together they fill with the rate. Hosts out of touch keep their
shares.

A new meter may succeed one that has already given a burst away, so its
buckets fill from the last time that its host heard of another meter, at the
earliest from the start of its process. It grants nothing before the hosts
have had time to report.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from dragonflyknot.decisions.demand import (
    IDLE_REPORT_INTERVAL_S,
    REPORT_OVERDUE_S,
    Allowance,
    MeterReply,
    RateLimit,
    WorkspaceDemand,
)

REPORTER_EXPIRY_S: Final = 15.0
TAKEOVER_WINDOW_S: Final = IDLE_REPORT_INTERVAL_S + 0.1
USABLE_BURST_RATIO: Final = 0.8
BURST_RELEASE_S: Final = 1.0
MIN_ADMITTED_RATIO: Final = 0.05
MIN_BUCKET_SIZE: Final = 1.0
MIN_REPORT_GAP_S: Final = 0.1
OVERDUE_CHECK_INTERVAL_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class BucketStarted:
    """Tell that a meter started the bucket of a workspace.

    `tokens` are in requests; `reporting_hosts` and `hosts` count the hosts
    that report and all hosts that the meter knows.
    """

    workspace: str
    tokens: float
    reporting_hosts: int
    hosts: int


@dataclass(slots=True)
class _HostReport:
    """Hold the last report of a host about one workspace.

    `charged` counts the requests charged to the bucket when the host got out
    of touch, None while it is in touch.
    """

    updated_at: float
    per_s: float
    admitted_per_s: float = 0
    charged: float | None = None


@dataclass(slots=True)
class _WorkspaceBucket:
    """Hold the tokens of one workspace and the reports about it."""

    tokens: float
    updated_at: float
    reported_per_s: float = 0
    overdue_checked_at: float = float('-inf')
    reports_by_host: dict[str, _HostReport] = field(default_factory=dict)


class DemandMeter:
    """Grant the rates of workspaces to the hosts that report.

    `hosts` is the number of hosts of the site, 0 while it is not known.
    """

    def __init__(self, now: float) -> None:
        """Start without reports; buckets fill from `now` on."""
        self._buckets_by_workspace: dict[str, _WorkspaceBucket] = {}
        self._last_report_at = float('-inf')
        self._granting_from = float('inf')
        self._fill_started_at = now
        self._reported_at_by_host: dict[str, float] = {}
        self._overdue_checked_at = float('-inf')
        self._over_limit: set[str] = set()
        self._started_buckets: list[BucketStarted] = []
        self.hosts = 0

    @property
    def reporting_hosts(self) -> int:
        """Return the number of hosts that report."""
        return len(self._reported_at_by_host)

    def defer(self, now: float) -> None:
        """Note that another meter grants the rates at this time."""
        self._fill_started_at = now

    def take_started_buckets(self) -> list[BucketStarted]:
        """Return the buckets started since the last call."""
        started = self._started_buckets
        self._started_buckets = []
        return started

    def record_report(
        self,
        host: str,
        demand: Mapping[str, WorkspaceDemand],
        limits: Mapping[str, RateLimit],
        now: float,
    ) -> MeterReply:
        """Record a report; return the allowances by workspace."""
        self._note_report(host, now)
        allowances: dict[str, Allowance] = {}
        for workspace, asked in demand.items():
            limit = limits.get(workspace)
            if limit is not None and limit.rate > 0:
                bucket = self._bucket(workspace, limit, now)
                _record_report(bucket, host, asked, now)
                allowances[workspace] = self._allowance(bucket, limit)
                self._update_over_limit(workspace, allowances[workspace])
        if not self._is_granting(now):
            return MeterReply()
        self._add_warnings(allowances, limits, now)
        return MeterReply(is_granting=True, allowances=allowances)

    def _note_report(self, host: str, now: float) -> None:
        if now - self._last_report_at > REPORT_OVERDUE_S:
            self._restart(now)
        self._last_report_at = now
        self._reported_at_by_host[host] = now
        if now - self._overdue_checked_at < OVERDUE_CHECK_INTERVAL_S:
            return
        self._overdue_checked_at = now
        for reporter, reported_at in tuple(self._reported_at_by_host.items()):
            if now - reported_at > REPORT_OVERDUE_S:
                self._reported_at_by_host.pop(reporter)

    def _restart(self, now: float) -> None:
        if self._buckets_by_workspace:
            # Another meter may have granted the rates in the meantime.
            self._fill_started_at = now
        self._granting_from = now + TAKEOVER_WINDOW_S
        self._reported_at_by_host.clear()
        self._over_limit.clear()
        self._buckets_by_workspace.clear()

    def _is_granting(self, now: float) -> bool:
        if not self.hosts:
            return False
        return now >= self._granting_from or self.reporting_hosts >= self.hosts

    def _share(self) -> float:
        """Return the share of the rate that belongs to the reporting hosts."""
        if not self.hosts:
            return 0
        return min(1, self.reporting_hosts / self.hosts)

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
            if limit is None or limit.rate <= 0:
                self._over_limit.discard(workspace)
                continue
            bucket = self._bucket(workspace, limit, now)
            allowance = self._allowance(bucket, limit)
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
        self, workspace: str, limit: RateLimit, now: float
    ) -> _WorkspaceBucket:
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            waited_s = max(0, now - self._fill_started_at)
            tokens = min(
                self._bucket_size(limit), limit.rate * self._share() * waited_s
            )
            bucket = _WorkspaceBucket(tokens, now)
            self._buckets_by_workspace[workspace] = bucket
            self._started_buckets.append(
                BucketStarted(
                    workspace, bucket.tokens, self.reporting_hosts, self.hosts
                )
            )
            return bucket
        self._fill(bucket, limit, now)
        if now - bucket.overdue_checked_at >= OVERDUE_CHECK_INTERVAL_S:
            _charge_overdue_hosts(bucket, now)
        return bucket

    def _fill(
        self, bucket: _WorkspaceBucket, limit: RateLimit, now: float
    ) -> None:
        # Before the meter grants anything, the hosts still use their shares.
        share = self._share() if self._is_granting(now) else 0
        elapsed_s = max(0, now - bucket.updated_at)
        bucket.tokens = min(
            self._bucket_size(limit),
            bucket.tokens + limit.rate * share * elapsed_s,
        )
        bucket.updated_at = now

    def _bucket_size(self, limit: RateLimit) -> float:
        usable = limit.burst * USABLE_BURST_RATIO * self._share()
        return max(MIN_BUCKET_SIZE, usable)

    def _allowance(
        self, bucket: _WorkspaceBucket, limit: RateLimit
    ) -> Allowance:
        granted_per_s = limit.rate * self._share()
        allowed_per_s = granted_per_s + bucket.tokens / BURST_RELEASE_S
        return Allowance(
            bucket.reported_per_s,
            max(MIN_ADMITTED_RATIO * granted_per_s, allowed_per_s),
        )


def _charge_overdue_hosts(bucket: _WorkspaceBucket, now: float) -> None:
    """Charge hosts that got out of touch for the time of their allowances.

    Their demand no longer counts, since they have shares of their own.
    """
    bucket.overdue_checked_at = now
    for host, report in tuple(bucket.reports_by_host.items()):
        if now - report.updated_at > REPORTER_EXPIRY_S:
            bucket.reports_by_host.pop(host)
        elif (
            report.charged is None
            and now - report.updated_at > REPORT_OVERDUE_S
        ):
            report.charged = report.admitted_per_s * REPORT_OVERDUE_S
            report.per_s = 0
            bucket.tokens -= report.charged
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
    elapsed_s = max(MIN_REPORT_GAP_S, now - report.updated_at)
    rate = max(0, asked.admitted) / elapsed_s
    report.admitted_per_s += min(1, elapsed_s) * (rate - report.admitted_per_s)
    bucket.tokens += (report.charged or 0) - asked.admitted
    report.charged = None
    report.updated_at = now
    bucket.reported_per_s += asked.per_s - report.per_s
    report.per_s = asked.per_s
