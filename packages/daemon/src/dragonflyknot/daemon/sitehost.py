"""Run the daemon of one host of a site whose platform keeps the state.

`SiteHost` wires the edge, the gate and the links to peers to the
state machines, and runs the loops that keep up with the store and the
peers. What must last lies in the store; all the rest is learnt again.
"""

import asyncio
import random
from contextlib import AsyncExitStack
from typing import Final

from dragonflyknot.callers.siteedge import SiteEdge
from dragonflyknot.callers.siteedgeports import SiteEdgeCounts, SiteEdgePorts
from dragonflyknot.daemon import siteadmin, sitestop, siteusage
from dragonflyknot.daemon.sitemembers import SiteMembers
from dragonflyknot.daemon.sitepolicy import SitePolicy
from dragonflyknot.daemon.siterates import SiteRates
from dragonflyknot.daemon.sitesettings import SitePlatform, SiteSettings
from dragonflyknot.daemon.tasks import Tasks, keep_running
from dragonflyknot.daemon.upstreamannouncements import (
    AnnouncementParts,
    UpstreamAnnouncements,
)
from dragonflyknot.decisions.balancer import Balancer
from dragonflyknot.decisions.candidates import Load
from dragonflyknot.decisions.siteconfig import SiteConfiguration
from dragonflyknot.decisions.siteretries import SiteRetryBudget
from dragonflyknot.decisions.throttle import Throttle
from dragonflyknot.decisions.upstreammessages import Heartbeat, LeaveMessage
from dragonflyknot.decisions.upstreamstate import UpstreamRegister
from dragonflyknot.exchange.clientmemory import ClientMemory
from dragonflyknot.exchange.listener import (
    Handler,
    Limits,
    Server,
    serving,
)
from dragonflyknot.exchange.telemetry import RateLimitedLog
from dragonflyknot.peers import demandwire, followerwire, sitewire
from dragonflyknot.peers.sitelinks import PeerLinks, SiteReceiver, SiteSender
from dragonflyknot.upstreams.sitegate import SiteGate

TRIM_S: Final = 5.0
PEER_IDLE_S: Final = 90.0
PEER_HEAD_BYTES: Final = 65536
# Requests have shorter timeouts; their bodies end with them.
PEER_BODY_S: Final = 120.0
CONTROL_BODY_S: Final = 10.0


class SiteHost:
    """Own the parts of one daemon."""

    def __init__(self, settings: SiteSettings, platform: SitePlatform) -> None:
        """Make the state machines; `__aenter__` opens the rest."""
        self.settings = settings
        self.platform = platform
        self.register = UpstreamRegister(
            settings.service, settings.upstream_address
        )
        self.gate = SiteGate(
            self.register, settings.upstream_address, platform.dialect
        )
        self.balancer = Balancer(
            settings.host, settings.data_center, settings.region
        )
        self.site_retries = SiteRetryBudget(settings.retry_bound)
        self.links = PeerLinks()
        self.memory = ClientMemory(settings.client_memory_bytes)
        self.policy = SitePolicy(
            platform,
            self.links,
            self._peers,
            self._is_follower,
            self._backoff_ratio,
            is_first_start=settings.is_first_start,
        )
        self.members = SiteMembers(
            settings, platform, self.links, self.balancer, self.policy
        )
        self.rates = SiteRates(settings.host, self.members, self.links)
        self.counts = SiteEdgeCounts(RateLimitedLog())
        self.edge = SiteEdge(self._edge_ports())
        self.is_draining = False
        self._callers_server: Server
        self._peers_server: Server
        self._tasks = Tasks()
        self._announcements = UpstreamAnnouncements(
            settings,
            AnnouncementParts(
                self.register,
                self.gate,
                self.members,
                self.policy,
                self._tasks,
            ),
        )
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'SiteHost':
        """Open listeners and start the loops."""
        async with AsyncExitStack() as stack:
            stack.enter_context(self.gate)
            stack.enter_context(self.links)
            self.policy.subscribe(self._configured)
            self.members.subscribe(self._members_changed)
            await self._listen(stack)
            tasks = await stack.enter_async_context(self._tasks)
            for work in (
                self.policy.run(),
                self.members.run(),
                keep_running(self.rates.run),
                self._announcements.restore(),
                keep_running(self._trim),
                siteusage.log_usage_on(self.platform.store, self.links),
            ):
                tasks.start(work)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *_details: object) -> None:
        """Close everything in reverse order."""
        await self._stack.aclose()

    @property
    def not_ready_reason(self) -> str:
        """Return why callers can't be served, empty if they can."""
        if self.is_draining:
            return 'the host is stopping'
        if self.policy.configuration is not None:
            return ''
        if self.policy.fault:
            return f'the configuration is malformed: {self.policy.fault}'
        return 'no configuration has arrived yet'

    @property
    def is_ready(self) -> bool:
        """Tell whether callers can be served."""
        return not self.not_ready_reason

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self.edge.in_flight + self.gate.in_flight

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return whether it may be acknowledged."""
        return await self._announcements.handle_heartbeat(heartbeat)

    async def handle_deregistration(self, leaving: LeaveMessage) -> bool:
        """Apply a leave message; return whether it may be acknowledged."""
        return await self._announcements.handle_deregistration(leaving)

    async def drain(self) -> None:
        """Stop being ready and wait until nothing is in flight."""
        self.is_draining = True
        await sitestop.stop(
            sitestop.StoppingParts(
                self.edge,
                self.gate,
                self._callers_server,
                self._peers_server,
                self.members.gossip.tell_stopping,
            ),
            sitestop.StopTimes(
                self.settings.callers_leave_s, self.settings.grace_s
            ),
        )
        siteusage.log_usage(self.platform.store, self.links)

    def control_limits(self) -> Limits:
        """Return the limits of a listener that serves no requests."""
        return Limits(
            body_s=CONTROL_BODY_S,
            max_links=self.settings.links.control,
            memory=self.memory,
        )

    def load(self) -> Load:
        """Return the load to tell other daemons."""
        return self.gate.load()

    def _edge_ports(self) -> SiteEdgePorts:
        return SiteEdgePorts(
            site=self.policy,
            rates=self.rates,
            balancer=self.balancer,
            site_retries=self.site_retries,
            throttle=Throttle(),
            sender=SiteSender(
                self.settings.host,
                self.gate,
                self.links,
                self.balancer,
                self.policy.record_peer_version,
            ),
            origins=self.gate,
            dialect=self.platform.dialect,
            caller=self.settings.service,
            counts=self.counts,
            rng=random.Random(),
        )

    async def _listen(self, stack: AsyncExitStack) -> None:
        settings = self.settings
        receiver = SiteReceiver(
            settings.host,
            self.gate,
            self._control,
            self.platform.dialect.request_id,
            lambda: self.policy.version,
            self.policy.record_peer_version,
        )
        self._caller_limits = Limits(
            max_links=settings.links.callers, memory=self.memory
        )
        peers = Limits(
            head_bytes=PEER_HEAD_BYTES,
            body_s=PEER_BODY_S,
            idle_s=PEER_IDLE_S,
            max_links=settings.links.peers,
            memory=self.memory,
        )
        self._peers_server = await _open(
            stack, settings.peers_listen, receiver.serve, peers
        )
        self._callers_server = await _open(
            stack,
            settings.callers_listen,
            self.edge.serve,
            self._caller_limits,
        )
        admin = siteadmin.SiteAdmin(self)
        await _open(
            stack, settings.operators_listen, admin.serve, self.control_limits()
        )

    async def _control(self, path: str, content: bytes) -> bytes | None:
        match path:
            case sitewire.GOSSIP_PATH:
                return self.members.gossip.answer(content)
            case followerwire.FOLLOWERS_PATH:
                return self.members.following.answer(content)
            case demandwire.DEMAND_PATH:
                return self.rates.answer(content)
            case sitewire.CONFIGURATION_PATH:
                return self.policy.content
            case sitewire.COMPRESSED_CONFIGURATION_PATH:
                return self.policy.compressed
            case sitewire.STOPPING_PATH:
                return self.members.answer_stopping(content)
            case _:
                return None

    def _peers(self) -> list[str]:
        return self.members.peer_addresses()

    def _is_follower(self) -> bool:
        return self.members.is_follower()

    def _backoff_ratio(self) -> float:
        return self.members.following.backoff_ratio

    def _configured(self, configuration: SiteConfiguration) -> None:
        limits = self._caller_limits
        limits.head_bytes = configuration.limits.head_bytes
        limits.head_s = configuration.limits.head_s * 1.5
        limits.idle_s = configuration.limits.idle_s * 1.1
        self.rates.configure(configuration)

    def _members_changed(self) -> None:
        self._announcements.learn_departures()
        if not self.members.is_settled:
            # This host would take the parts of those that it does not know.
            return
        hosts = max(1, len(self.members.view.entries_by_host))
        self.site_retries.set_host_count(hosts)
        self.rates.set_host_count(len(self.members.entries()))

    async def _trim(self) -> None:
        while True:
            await asyncio.sleep(TRIM_S)
            self.links.trim()


async def _open(
    stack: AsyncExitStack, address: str, handler: Handler, limits: Limits
) -> Server:
    host, _colon, port = address.rpartition(':')
    return await stack.enter_async_context(
        serving(host, int(port), handler, limits)
    )
