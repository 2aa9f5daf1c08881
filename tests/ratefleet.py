"""A fleet of daemons that limit the rate of one workspace, in virtual time.

Each host runs the `SiteRates` of the daemon over a fake network on which
hosts are killed, started and cut off.
"""

import asyncio
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from dragonflyknot.daemon.siterates import SiteRates
from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.demand import RateLimit
from dragonflyknot.decisions.siteconfig import (
    SiteConfiguration,
    SiteWorkspace,
)
from dragonflyknot.decisions.siteview import SiteEntry
from dragonflyknot.exchange.clientlink import LinkLost
from ratewindow import max_in_window, window_bound

READ_MEMBERS_S = 0.05
CROSS_REGION_S = 0.009
SAME_REGION_S = 0.001
LOST_S = 60.0
WORKSPACE = 'w'


@dataclass
class Network:
    """Deliver control messages between the hosts that reach each other.

    `groups_by_host` names the part of a split network that a host is in.
    """

    rates_by_host: dict[str, SiteRates] = field(default_factory=dict)
    groups_by_host: dict[str, int] = field(default_factory=dict)

    async def send(self, sender: str, receiver: str, content: bytes) -> bytes:
        """Return the reply of a host; raise LinkLost if it is not running."""
        is_near = int(sender[1:]) % 2 == int(receiver[1:]) % 2
        one_way_s = SAME_REGION_S if is_near else CROSS_REGION_S
        await self._deliver(sender, receiver, one_way_s)
        rates = self.rates_by_host.get(receiver)
        if rates is None:
            raise LinkLost(was_sent=False)
        reply = rates.answer(content)
        await self._deliver(sender, receiver, one_way_s)
        return reply

    async def _deliver(
        self, sender: str, receiver: str, one_way_s: float
    ) -> None:
        await asyncio.sleep(one_way_s)
        groups = self.groups_by_host
        if groups.get(sender, 0) != groups.get(receiver, 0):
            await asyncio.sleep(LOST_S)
            raise LinkLost(was_sent=True)


@dataclass
class HostLinks:
    """Send the control messages of one host."""

    network: Network
    host: str

    async def ask(self, address: str, _path: str, content: bytes) -> bytes:
        """Return the reply; addresses are the names of hosts here."""
        return await self.network.send(self.host, address, content)


@dataclass
class HostMembers:
    """Hold the hosts that one host knows; a new process knows itself only."""

    known: list[SiteEntry]

    def entries(self) -> list[SiteEntry]:
        """Return the hosts that have not left."""
        return self.known


def entry_of(host: str) -> SiteEntry:
    """Return the entry of a host with a ready upstream."""
    place = Place(
        host=host,
        address=host,
        data_center='a',
        region='r',
        service='s',
        state=UpstreamState.READY,
        slots=10,
    )
    return SiteEntry(place, host, born=1, stamp=1)


class RateFleet:
    """Run hosts, send them requests and record what they admit."""

    def __init__(self, rate: float, hosts: int, seed: int) -> None:
        """Prepare `hosts` hosts; the burst is one second of the rate."""
        self.rate = rate
        self.rng = random.Random(seed)
        self.hosts = [f'h{number}' for number in range(hosts)]
        self.network = Network()
        self.admitted_at: list[float] = []
        self.asked = 0
        self._entries = [entry_of(host) for host in self.hosts]
        self._runs_by_host: dict[str, asyncio.Task[None]] = {}
        self._tasks = Tasks()
        self._configuration = SiteConfiguration(
            version=1,
            workspaces_by_name={
                WORKSPACE: SiteWorkspace(WORKSPACE, rate, rate)
            },
        )

    async def __aenter__(self) -> 'RateFleet':
        """Start all hosts and let them find each other."""
        await self._tasks.__aenter__()
        self.start(self.hosts)
        await asyncio.sleep(10)
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop all hosts."""
        self.kill(list(self._runs_by_host))
        await self._tasks.__aexit__(*details)

    def start(self, hosts: Iterable[str]) -> None:
        """Start the processes of hosts."""
        for host in hosts:
            members = HostMembers([entry_of(host)])
            rates = SiteRates(host, members, HostLinks(self.network, host))
            rates.configure(self._configuration)
            self.network.rates_by_host[host] = rates
            self._runs_by_host[host] = asyncio.create_task(rates.run())
            self._tasks.start(self._read_members(rates, members))

    def kill(self, hosts: Iterable[str]) -> None:
        """Kill the processes of hosts."""
        for host in tuple(hosts):
            self.network.rates_by_host.pop(host)
            self._runs_by_host.pop(host).cancel()

    def cut_off(self, hosts: Iterable[str], *, together: bool) -> None:
        """Cut hosts off, from each other too unless `together`."""
        for number, host in enumerate(hosts, 1):
            group = 1 if together else number
            self.network.groups_by_host[host] = group

    def heal(self) -> None:
        """Let all hosts reach each other again."""
        self.network.groups_by_host.clear()

    def pick(self, share: float) -> list[str]:
        """Return a random part of the hosts."""
        return self.rng.sample(self.hosts, round(share * len(self.hosts)))

    async def send(self, per_s: float, duration_s: float) -> None:
        """Send requests to random running hosts for a while."""
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(per_s))
            running = tuple(self.network.rates_by_host)
            if running:
                self._ask(self.rng.choice(running))

    def max_admitted_in_window(self) -> int:
        """Return the largest number of requests admitted in any window."""
        return max_in_window(self.admitted_at)

    def bound(self) -> float:
        """Return the number of requests that the users allow in a window."""
        return window_bound(RateLimit(self.rate, self.rate))

    def _ask(self, host: str) -> None:
        now = time.monotonic()
        self.asked += 1
        if self.network.rates_by_host[host].admit(WORKSPACE, now):
            self.admitted_at.append(now)

    async def _read_members(
        self, rates: SiteRates, members: HostMembers
    ) -> None:
        await asyncio.sleep(READ_MEMBERS_S)
        members.known = self._entries
        rates.set_host_count(len(self._entries))
