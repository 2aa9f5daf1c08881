"""Keep workspaces to their rates with the meter of the fleet.

One host, which all find by the same order, adds up the demand. Reports go
often while a workspace is near its rate or its demand jumps, and seldom
otherwise. Where the meter does not answer, the next host in the order is
asked.
"""

import asyncio
import time
from collections import Counter
from functools import lru_cache
from hashlib import sha256
from typing import Final, Protocol

import structlog

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.demand import (
    AdmissionBasis,
    Allowance,
    DemandMeter,
    RateLimit,
    WorkspaceDemand,
    WorkspaceRateLimiter,
    report_interval_s,
)
from dragonflyknot.decisions.siteconfig import SiteConfiguration
from dragonflyknot.decisions.siteview import SiteEntry
from dragonflyknot.exchange.clientlink import LinkLost
from dragonflyknot.peers import sitewire

LEAST_PAUSE_S: Final = 0.04
ASK_S: Final = 0.4
AVOID_S: Final = 3.0
MOST_RANKS: Final = 32_768
LOG_INTERVAL_S: Final = 1.0
_log = structlog.get_logger(__name__)


class Members(Protocol):
    """Know the hosts of the site."""

    def entries(self) -> list[SiteEntry]:
        """Return the hosts that have not left."""


class ControlLinks(Protocol):
    """Send control messages to other hosts."""

    async def ask(self, address: str, path: str, content: bytes) -> bytes:
        """Return the reply. Raise LinkLost without a valid one."""


class SiteRates:
    """Share the rates of workspaces among the hosts of a site."""

    def __init__(
        self,
        host: str,
        members: Members,
        links: ControlLinks,
    ) -> None:
        """Start without demand."""
        self._host = host
        self._members = members
        self._links = links
        self._share = WorkspaceRateLimiter()
        self._meter = DemandMeter(time.monotonic())
        self._urgent = asyncio.Event()
        self._avoided_until_by_host: dict[str, float] = {}
        self._limits_by_workspace: dict[str, RateLimit] = {}
        self._is_busy = False
        self._meter_host = ''
        self._logged_at = float('-inf')
        self._logged_by_basis: Counter[AdmissionBasis] = Counter()
        self._logged_reporting_hosts = 0

    @property
    def admitted_by_basis(self) -> Counter[AdmissionBasis]:
        """Return the number of limited requests admitted, by basis."""
        return self._share.admitted_by_basis

    @property
    def reporting_hosts(self) -> int:
        """Return the number of hosts that report to the meter here."""
        return self._meter.reporting_hosts

    def admit(self, workspace: str, rate: float, now: float) -> bool:
        """Count a request; return whether it is within the rate."""
        is_within = self._share.admit(workspace, rate, now)
        if rate > 0 and self._share.needs_immediate_report(workspace, now):
            self._urgent.set()
        self._is_busy = self._is_busy or not is_within
        return is_within

    def give_back(self, workspace: str) -> None:
        """Return the place of a request that was not run after all."""
        self._share.give_back(workspace)

    def share_among(self, hosts: int) -> None:
        """Take the rates as those of so many hosts."""
        self._share.hosts = hosts
        self._meter.hosts = hosts

    def configure(self, configuration: SiteConfiguration) -> None:
        """Take the rates of a configuration."""
        self._limits_by_workspace = {
            one.name: RateLimit(one.rate, one.burst)
            for one in configuration.workspaces_by_name.values()
        }

    def answer(self, content: bytes) -> bytes:
        """Answer a demand report of a peer."""
        report = sitewire.decode_report(content)
        if report is None:
            return sitewire.encode_allowances({})
        return sitewire.encode_allowances(self._measure(report))

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(LEAST_PAUSE_S)
            await self._pause(
                report_interval_s(self._share.hosts, is_busy=self._is_busy)
            )
            self._urgent.clear()
            self._is_busy = False
            self._log_admissions(time.monotonic())
            told = self._share.report(time.monotonic())
            if told:
                await self._report(told)

    async def _pause(self, longest_s: float) -> None:
        try:
            async with asyncio.timeout(longest_s):
                await self._urgent.wait()
        except TimeoutError:
            return

    async def _report(self, told: dict[str, WorkspaceDemand]) -> None:
        meter = self._choose()
        self._log_meter(self._host if meter is None else meter.place.host)
        report = sitewire.DemandReport(self._host, told, self._share.known())
        if meter is None or meter.place.host == self._host:
            self._learn(told, self._measure(report))
            return
        try:
            async with asyncio.timeout(ASK_S):
                reply = await self._links.ask(
                    meter.place.address,
                    sitewire.DEMAND_PATH,
                    sitewire.encode_report(report),
                )
        except (LinkLost, TimeoutError):
            host = meter.place.host
            _log.info('meter_lost', meter=host)
            self._avoided_until_by_host[host] = time.monotonic() + AVOID_S
            return
        self._learn(told, sitewire.decode_allowances(reply))

    def _learn(
        self, told: dict[str, WorkspaceDemand], fleet: dict[str, Allowance]
    ) -> None:
        self._share.apply_reply(told, fleet, time.monotonic())

    def _measure(self, report: sitewire.DemandReport) -> dict[str, Allowance]:
        allowances = self._meter.record_report(
            report.host,
            report.demand,
            report.known,
            self._limits_by_workspace,
            time.monotonic(),
        )
        for started in self._meter.take_started_buckets():
            _log.info(
                'bucket_started',
                workspace=started.workspace,
                tokens=round(started.tokens, 1),
                reporting_hosts=started.reporting_hosts,
                hosts=started.hosts,
            )
        return allowances

    def _log_meter(self, host: str) -> None:
        if host != self._meter_host:
            _log.info(
                'meter_chosen',
                meter=host,
                previous=self._meter_host,
                hosts=self._share.hosts,
            )
            self._meter_host = host

    def _log_admissions(self, now: float) -> None:
        """Log what was admitted without a fresh allowance, once a second."""
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        admitted = self.admitted_by_basis - self._logged_by_basis
        self._logged_by_basis = Counter(self.admitted_by_basis)
        admitted.pop(AdmissionBasis.ALLOWANCE, None)
        if admitted:
            _log.info(
                'admitted_without_meter',
                meter=self._meter_host,
                **{
                    basis.name.lower(): count
                    for basis, count in admitted.items()
                },
            )
        if self.reporting_hosts != self._logged_reporting_hosts:
            self._logged_reporting_hosts = self.reporting_hosts
            _log.info(
                'meter_reporters',
                reporting_hosts=self.reporting_hosts,
                hosts=self._meter.hosts,
            )

    def _choose(self) -> SiteEntry | None:
        now = time.monotonic()
        usable = [
            entry
            for entry in self._members.entries()
            if entry.place.state is UpstreamState.READY
            and self._avoided_until_by_host.get(entry.place.host, 0) <= now
        ]
        return min(
            usable, key=lambda entry: _rank(entry.place.host), default=None
        )


@lru_cache(MOST_RANKS)
def _rank(host: str) -> bytes:
    return sha256(host.encode()).digest()
