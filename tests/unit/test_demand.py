"""Tests of fleet-wide rate limits over many hosts, in virtual time."""

import random
import sys
from dataclasses import dataclass, field

import testtools

from dragonflyknot.decisions.demand import (
    RateLimit,
    WorkspaceDemand,
    report_interval_s,
)
from dragonflyknot.decisions.demandmeter import DemandMeter
from dragonflyknot.decisions.hostlimiter import HostLimiter
from ratewindow import max_in_window, window_bound

HOSTS = 16
REPORT_S = 0.2


@dataclass
class Fleet:
    """Simulate hosts that report to one meter.

    Hosts in `unreachable` do not reach the meter.
    """

    limit: RateLimit
    hosts: int = HOSTS
    rng: random.Random = field(default_factory=lambda: random.Random(11))
    meter: DemandMeter = field(default_factory=lambda: DemandMeter(0))
    unreachable: set[int] = field(default_factory=set)
    admitted: list[float] = field(default_factory=list)
    refused: int = 0
    asked: int = 0
    now: float = 0

    def __post_init__(self) -> None:
        """Start the hosts at different times."""
        self.meter.hosts = self.hosts
        self.shares = [self.share() for _ in range(self.hosts)]
        self.report_due_at = [
            self.rng.random() * REPORT_S for _ in range(self.hosts)
        ]

    def share(self) -> HostLimiter:
        """Return the share of a host that has just started."""
        share = HostLimiter(self.now)
        share.hosts = self.hosts
        return share

    def run(self, per_s: float, duration_s: float) -> None:
        """Send requests to random hosts for a while."""
        end = self.now + duration_s
        while self.now < end:
            self.now += self.rng.expovariate(per_s)
            for host in range(self.hosts):
                if self.report_due_at[host] <= self.now:
                    self.report(host)
            host = self.rng.randrange(self.hosts)
            self.asked += 1
            share = self.shares[host]
            if share.admit('w', self.limit, self.now):
                self.admitted.append(self.now)
            else:
                self.refused += 1
            if share.needs_immediate_report('w', self.now):
                self.report_due_at[host] = min(
                    self.report_due_at[host], self.now + 0.04
                )

    def restart(self, down_s: float) -> None:
        """Restart all processes without their state."""
        self.now += down_s
        self.meter = DemandMeter(self.now)
        self.meter.hosts = self.hosts
        self.shares = [self.share() for _ in range(self.hosts)]
        self.report_due_at = [
            self.now + self.rng.random() for _ in self.report_due_at
        ]

    def report(self, host: int) -> None:
        """Send the report of one host."""
        self.report_due_at[host] = self.now + REPORT_S
        if host in self.unreachable:
            return
        share = self.shares[host]
        reports = share.report(self.now)
        limits = {'w': self.limit}
        reply = self.meter.record_report(str(host), reports, limits, self.now)
        share.apply_reply(reports, reply, self.now)

    def max_admitted_in_window(self) -> int:
        """Return the maximum number of admissions in any window."""
        return max_in_window(self.admitted)

    def bound(self) -> float:
        """Return the number of requests allowed in a window."""
        return window_bound(self.limit)


class WithinRateTest(testtools.TestCase):
    """A workspace stays within its rate."""

    def test_nothing_is_refused(self) -> None:
        """Refuse at most one request in a thousand at small and large rates."""
        for rate in (12.0, 117.0, 600.0):
            fleet = Fleet(RateLimit(rate, rate))
            fleet.run(rate / 1.6, 40)
            self.assertLessEqual(fleet.refused, 0.001 * fleet.asked, rate)


class SmallWorkspacesTest(testtools.TestCase):
    """Many small workspaces, each received by few of many hosts."""

    def test_nothing_is_refused_at_the_start(self) -> None:
        """Refuse at most one in a hundred in the first seconds of a meter."""
        rng = random.Random(4)
        limits = {f'w{number}': RateLimit(8, 8) for number in range(77)}
        meter = DemandMeter(0)
        meter.hosts = 69
        shares = [HostLimiter(0) for _ in range(69)]
        for share in shares:
            share.hosts = 69
        refused = asked = 0
        now = float(10)
        while now < 13:
            now += rng.expovariate(77 * 5)
            host = rng.randrange(69)
            share = shares[host]
            asked += 1
            workspace = f'w{rng.randrange(77)}'
            refused += not share.admit(workspace, RateLimit(8, 8), now)
            if (
                share.needs_immediate_report(workspace, now)
                or rng.random() < 0.1
            ):
                reports = share.report(now)
                reply = meter.record_report(str(host), reports, limits, now)
                share.apply_reply(reports, reply, now)
        self.assertLessEqual(refused, 0.01 * asked)


class HotWorkspaceTest(testtools.TestCase):
    """The demand of one workspace suddenly grows eightfold."""

    def test_bound_holds_and_rate_is_used(self) -> None:
        """Keep the bound in every window and use nine tenths of the rate."""
        for rate in (40.0, 117.0, 400.0):
            fleet = Fleet(RateLimit(rate, rate))
            fleet.run(rate / 1.6, 10)
            before = len(fleet.admitted)
            fleet.run(rate * 5, 10)
            self.assertLessEqual(
                fleet.max_admitted_in_window(), fleet.bound(), rate
            )
            used = len(fleet.admitted) - before
            self.assertGreater(used, 0.9 * rate * 10, rate)

    def test_lower_limit(self) -> None:
        """Apply a new limit far below the demand."""
        fleet = Fleet(RateLimit(200, 200))
        fleet.run(120, 10)
        fleet.limit = RateLimit(40, 40)
        fleet.run(120, 2)
        fleet.admitted.clear()
        fleet.run(120, 15)
        self.assertLessEqual(fleet.max_admitted_in_window(), fleet.bound())


class MeterFailureTest(testtools.TestCase):
    """Hosts or the meter become unreachable during a surge."""

    def test_hosts_that_cannot_reach_the_meter(self) -> None:
        """Keep the bound while a third of the hosts cannot report."""
        fleet = Fleet(RateLimit(117, 117))
        fleet.run(150, 10)
        fleet.unreachable = set(range(5))
        fleet.run(150, 10)
        self.assertLessEqual(fleet.max_admitted_in_window(), fleet.bound())

    def test_new_meter(self) -> None:
        """Keep the bound when another host becomes the meter."""
        fleet = Fleet(RateLimit(117, 117))
        fleet.run(400, 10)
        fleet.meter = DemandMeter(fleet.now)
        fleet.meter.hosts = fleet.hosts
        fleet.run(400, 10)
        self.assertLessEqual(fleet.max_admitted_in_window(), fleet.bound())

    def test_all_hosts_restart(self) -> None:
        """Keep the bound when every process is killed during a surge."""
        for rate, per_s in ((70, 300), (117, 400), (12, 60)):
            for down_s in (0.3, 1.0, 2.0):
                fleet = Fleet(RateLimit(rate, rate), hosts=69)
                fleet.run(rate / 1.6, 10)
                fleet.run(per_s, 3)
                fleet.restart(down_s)
                fleet.run(per_s, 8)
                self.assertLessEqual(
                    fleet.max_admitted_in_window(),
                    fleet.bound(),
                    f'{rate} {down_s}',
                )


class MeterCostTest(testtools.TestCase):
    """The cost and the interval of reports."""

    def test_report_cost_does_not_grow_with_hosts(self) -> None:
        """Process a report at about the same cost with 64 hosts as with 8."""
        few, many = _calls_per_report(8), _calls_per_report(64)
        self.assertLess(many, 2 * few)

    def test_report_interval_of_a_large_fleet(self) -> None:
        """Lengthen the busy interval with the hosts up to the idle one."""
        for hosts, pause_s in ((16, 0.15), (75, 0.3), (1000, 0.5)):
            self.assertEqual(pause_s, report_interval_s(hosts, is_busy=True))
            self.assertEqual(0.5, report_interval_s(hosts, is_busy=False))


def _calls_per_report(hosts: int) -> float:
    """Return the number of function calls per report."""
    meter = DemandMeter(0)
    meter.hosts = hosts
    limits = {f'w{number}': RateLimit(30, 30) for number in range(40)}
    demand = {name: WorkspaceDemand(0.5, 1) for name in limits}
    rounds = 10
    calls = 0

    def count(_frame: object, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event == 'call'

    for number in range(rounds * hosts):
        now = 10 + number / hosts / 2
        sys.setprofile(count)
        try:
            meter.record_report(f'h{number % hosts}', demand, limits, now)
        finally:
            sys.setprofile(None)
    return calls / rounds / hosts


class WarningTest(testtools.TestCase):
    """Hosts learn of a workspace over its rate before its requests arrive."""

    def test_warning_expires(self) -> None:
        """Refuse on a recent warning and admit after it has expired."""
        limits = {'w': RateLimit(10, 10)}
        meter = DemandMeter(0)
        meter.hosts = 2
        busy, idle = HostLimiter(0), HostLimiter(0)
        now = float(10)
        for _request in range(200):
            now += 0.01
            busy.admit('w', limits['w'], now)
            reports = busy.report(now)
            busy.apply_reply(
                reports, meter.record_report('1', reports, limits, now), now
            )
        idle.apply_reply({}, meter.record_report('2', {}, limits, now), now)
        self.assertFalse(idle.admit('w', limits['w'], now + 0.1))
        self.assertTrue(idle.admit('w', limits['w'], now + 5))
