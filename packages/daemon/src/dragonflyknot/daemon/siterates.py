"""Keep workspaces to their rates with the meters of the fleet.

Reports go to the meter often while a workspace is near its rate or its
demand jumps, and seldom otherwise. Where the meter does not answer, the next
host in the order is asked. Lost meters are probed beside the reports.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from typing import Final, Protocol

import structlog

from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.demand import (
    MeterReply,
    RateLimit,
    report_interval_s,
)
from dragonflyknot.decisions.demandmeter import DemandMeter
from dragonflyknot.decisions.hostlimiter import AdmissionBasis, HostLimiter
from dragonflyknot.decisions.meterchoice import MeterChoice
from dragonflyknot.decisions.siteconfig import SiteConfiguration
from dragonflyknot.decisions.siteview import SiteEntry
from dragonflyknot.exchange.clientlink import LinkLost
from dragonflyknot.peers import demandwire

MIN_REPORT_INTERVAL_S: Final = 0.04
REPLY_TIMEOUT_S: Final = 0.4
PROBE_INTERVAL_S: Final = 0.5
LOG_INTERVAL_S: Final = 1.0
NO_LIMIT: Final = RateLimit(0, 0)
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
        self, host: str, members: Members, links: ControlLinks
    ) -> None:
        """Start without demand."""
        now = time.monotonic()
        self._host = host
        self._members = members
        self._links = links
        self._limiter = HostLimiter(now)
        self._meter = DemandMeter(now)
        self._choice = MeterChoice()
        self._urgent = asyncio.Event()
        self._limits_by_workspace: dict[str, RateLimit] = {}
        self._is_busy = False
        self._meter_host = ''
        self._logged_at = float('-inf')
        self._logged_by_basis: Counter[AdmissionBasis] = Counter()
        self._logged_reporting_hosts = 0

    @property
    def admitted_by_basis(self) -> Counter[AdmissionBasis]:
        """Return the number of limited requests admitted, by basis."""
        return self._limiter.admitted_by_basis

    @property
    def reporting_hosts(self) -> int:
        """Return the number of hosts that report to the meter here."""
        return self._meter.reporting_hosts

    def admit(self, workspace: str, now: float) -> bool:
        """Count a request; return whether it is within the rate."""
        limit = self._limits_by_workspace.get(workspace, NO_LIMIT)
        if limit.rate <= 0:
            return True
        is_within = self._limiter.admit(workspace, limit, now)
        if self._limiter.needs_immediate_report(workspace, now):
            self._urgent.set()
        self._is_busy = self._is_busy or not is_within
        return is_within

    def give_back(self, workspace: str, now: float) -> None:
        """Uncount an admitted request that was not run."""
        self._limiter.give_back(workspace, now)

    def set_host_count(self, hosts: int) -> None:
        """Set the number of hosts that share the rates, 0 if not known."""
        self._limiter.hosts = hosts
        self._meter.hosts = hosts

    def configure(self, configuration: SiteConfiguration) -> None:
        """Apply the rates of a configuration."""
        self._limits_by_workspace = {
            one.name: RateLimit(one.rate, one.burst)
            for one in configuration.workspaces_by_name.values()
        }

    def answer(self, content: bytes) -> bytes:
        """Answer a demand report of a peer, or its probe."""
        reply = MeterReply()
        if content != demandwire.PROBE:
            report = demandwire.decode_report(content)
            reply = reply if report is None else self._measure(report)
        response = demandwire.MeterResponse(self._host, reply)
        return demandwire.encode_meter_response(response)

    async def run(self) -> None:
        """Report until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._report_on())
            group.create_task(self._probe_on())

    async def _report_on(self) -> None:
        while True:
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)
            await self._pause(
                report_interval_s(self._limiter.hosts, is_busy=self._is_busy)
            )
            self._urgent.clear()
            self._is_busy = False
            self._log_admissions(time.monotonic())
            await self._report()

    async def _pause(self, longest_s: float) -> None:
        try:
            async with asyncio.timeout(longest_s):
                await self._urgent.wait()
        except TimeoutError:
            return

    async def _report(self) -> None:
        asked_at = time.monotonic()
        meter = self._choice.choose(self._places())
        meter_host = self._host if meter is None else meter.host
        self._log_meter(meter_host)
        demand = self._limiter.report(asked_at)
        report = demandwire.DemandReport(self._host, demand)
        if meter is None or meter_host == self._host:
            self._limiter.apply_reply(demand, self._measure(report), asked_at)
            return
        reply = await self._ask(meter, report)
        if reply is not None:
            self._meter.defer(time.monotonic())
            self._limiter.apply_reply(demand, reply, asked_at)

    async def _probe_on(self) -> None:
        """Probe lost meters at intervals, one at a time."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            lost = self._choice.lost_to_probe(self._places(), time.monotonic())
            if lost is None:
                continue
            if await self._send(lost, demandwire.PROBE) is None:
                self._choice.avoid(lost.host, time.monotonic())
            else:
                self._choice.restore(lost.host)

    async def _ask(
        self, meter: Place, report: demandwire.DemandReport
    ) -> MeterReply | None:
        reply = await self._send(meter, demandwire.encode_report(report))
        if reply is None:
            _log.info('meter_lost', meter=meter.host)
            self._choice.avoid(meter.host, time.monotonic())
            self._urgent.set()
        return reply

    async def _send(self, meter: Place, content: bytes) -> MeterReply | None:
        """Return the reply of a host, None if it did not answer itself."""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                received = await self._links.ask(
                    meter.address, demandwire.DEMAND_PATH, content
                )
        except (LinkLost, TimeoutError):
            return None
        response = demandwire.decode_meter_response(received)
        if not response.is_from(meter.host):
            # It would grant shares beside the meter that the others use.
            _log.info(
                'answered_by_another', peer=meter.host, sender=response.host
            )
            return None
        return response.reply

    def _places(self) -> Iterator[Place]:
        return (entry.place for entry in self._members.entries())

    def _measure(self, report: demandwire.DemandReport) -> MeterReply:
        reply = self._meter.record_report(
            report.host,
            report.demand,
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
        return reply

    def _log_meter(self, host: str) -> None:
        if host != self._meter_host:
            _log.info(
                'meter_chosen',
                meter=host,
                previous=self._meter_host,
                hosts=self._limiter.hosts,
            )
            self._meter_host = host

    def _log_admissions(self, now: float) -> None:
        """Log what was admitted without an allowance, once a second."""
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        admitted = self.admitted_by_basis - self._logged_by_basis
        self._logged_by_basis = Counter(self.admitted_by_basis)
        admitted.pop(AdmissionBasis.ALLOWANCE, None)
        if admitted:
            _log.info(
                'admitted_without_allowance',
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
