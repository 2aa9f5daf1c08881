"""Run the daemon of one host of a site whose platform keeps the state.

`SiteHost` wires the edge, the gate and the links to peers to the
state machines, and runs the loops that keep up with the store and the
peers. What must last lies in the store; all the rest is learnt again.
"""

import asyncio
import random
import time
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Final

import structlog

from dragonflyknot.callers.siteedge import SiteEdge
from dragonflyknot.callers.siteedgeports import SiteEdgeCounts, SiteEdgePorts
from dragonflyknot.daemon import siteadmin, sitestop, siteusage
from dragonflyknot.daemon.sitemembers import SiteMembers
from dragonflyknot.daemon.sitepolicy import SitePolicy
from dragonflyknot.daemon.siterates import SiteRates
from dragonflyknot.daemon.sitesettings import SitePlatform, SiteSettings
from dragonflyknot.daemon.tasks import Tasks, keep_running
from dragonflyknot.daemon.timeofday import unix_ms
from dragonflyknot.decisions.balancer import Balancer
from dragonflyknot.decisions.calls import UpstreamState
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
from dragonflyknot.peers import demandwire, sitewire
from dragonflyknot.peers.sitelinks import PeerLinks, SiteReceiver, SiteSender
from dragonflyknot.upstreams.sitegate import SiteGate

TRIM_S: Final = 5.0
PEER_IDLE_S: Final = 90.0
PEER_HEAD_BYTES: Final = 65536
# Requests have shorter timeouts; their bodies end with them.
PEER_BODY_S: Final = 120.0
CONTROL_BODY_S: Final = 10.0
# A later acknowledgement comes too late for the upstream, which asks again.
MAX_ACK_S: Final = 0.8
_log = structlog.get_logger(__name__)


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
            is_first_start=settings.is_first_start,
        )
        self.members = SiteMembers(
            settings, platform, self.links, self.balancer, self.policy
        )
        self.rates = SiteRates(settings.host, self.members, self.links)
        self.counts = SiteEdgeCounts(RateLimitedLog())
        self.edge = SiteEdge(self._edge_ports())
        self.is_draining = False
        self._knows_earlier = asyncio.Event()
        if settings.is_first_start:
            self._knows_earlier.set()
        self._callers_server: Server
        self._peers_server: Server
        self._tasks = Tasks()
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
                self._restore(),
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
        heartbeat = replace(heartbeat, received_at=time.monotonic())
        try:
            async with asyncio.timeout(MAX_ACK_S):
                await self._knows_earlier.wait()
                self._apply_heartbeat(heartbeat)
                await self._leaving_kept(heartbeat)
        except TimeoutError:
            _log.info('heartbeat_not_stored', instance=heartbeat.instance)
            return False
        return True

    async def handle_deregistration(self, leaving: LeaveMessage) -> bool:
        """Apply a leave message; return whether it may be acknowledged."""
        leaving = replace(leaving, received_ms=unix_ms())
        try:
            async with asyncio.timeout(MAX_ACK_S):
                await self._knows_earlier.wait()
                self._apply_leave(leaving)
                await self._upstream_kept()
        except TimeoutError:
            _log.warning('leaving_not_stored', instance=leaving.instance)
            return False
        return True

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

    def _configured(self, configuration: SiteConfiguration) -> None:
        limits = self._caller_limits
        limits.head_bytes = configuration.limits.head_bytes
        limits.head_s = configuration.limits.head_s * 1.5
        limits.idle_s = configuration.limits.idle_s * 1.1
        self.rates.configure(configuration)

    def _members_changed(self) -> None:
        self._learn_departures()
        if not self.members.is_settled:
            # This host would take the parts of those that it does not know.
            return
        hosts = max(1, len(self.members.view.entries_by_host))
        self.site_retries.set_host_count(hosts)
        self.rates.set_host_count(len(self.members.entries()))

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        if self.register.apply_heartbeat(heartbeat):
            _log.info(
                'upstream_announced',
                instance=heartbeat.instance,
                state=heartbeat.state.value,
                slots=heartbeat.slots,
            )
            self._announce_upstream()
        elif self.register.start_in_question is heartbeat:
            self._log_question(heartbeat)
            self._tasks.start(self._check_start(heartbeat))

    def _log_question(self, heartbeat: Heartbeat) -> None:
        _log.info(
            'start_in_question',
            instance=heartbeat.instance,
            born=heartbeat.born,
            sequence=heartbeat.sequence,
            signs=self.register.signs_of_new_start(),
        )

    async def _check_start(self, heartbeat: Heartbeat) -> None:
        """Ask an upstream that may have left whether it is in service."""
        path = self._health_path()
        if path is None:
            return
        instance = await self.gate.check_health(path)
        if self.register.apply_health_check(heartbeat, instance):
            _log.info('start_confirmed', instance=heartbeat.instance)
            self._announce_upstream()

    def _apply_leave(self, leaving: LeaveMessage) -> None:
        if self.register.apply_leave(leaving):
            _log.info('upstream_left', instance=leaving.instance)
            self._announce_upstream()
        else:
            _log.info('leaving_known', instance=leaving.instance)

    def _learn_departures(self) -> None:
        """Apply departures that peers or the store know of."""
        departures = self.members.departures
        if departures == self.register.departures:
            return
        if self.register.learn(departures):
            _log.info('departure_learnt', departures=len(departures))
            self._announce_upstream()

    def _announce_upstream(self) -> None:
        self.gate.apply_announcement()
        register = self.register
        self.members.announce(register.current, register.departures)

    async def _leaving_kept(self, heartbeat: Heartbeat) -> None:
        """Wait until it is kept that an upstream leaves, if one does.

        The next process of this host learns it from the store or from peers.
        """
        upstream = self.register.current
        is_leaving = upstream is not None and not upstream.is_ready
        if is_leaving or heartbeat.state is not UpstreamState.READY:
            await self._upstream_kept()

    async def _upstream_kept(self) -> None:
        """Wait until the state of the upstream and departures are kept."""
        register = self.register
        self.members.announce(register.current, register.departures)
        await self.members.kept()

    def _health_path(self) -> str | None:
        configuration = self.policy.configuration
        if configuration is None:
            return None
        services = configuration.services_by_name
        service = services.get(self.settings.service)
        return None if service is None else service.health_path

    async def _restore(self) -> None:
        """Learn what an earlier process knew; use its upstream again."""
        known = await self.members.restored()
        self.register.learn(self.members.departures)
        if known is not None:
            self.register.record_earlier(known)
            self.gate.apply_announcement()
        self._knows_earlier.set()
        await self.policy.first()
        path = self._health_path()
        if known is None or self.register.current is not None or path is None:
            return
        instance = await self.gate.check_health(path)
        if instance == known.instance and self.register.restore(known):
            _log.info('upstream_restored', instance=instance)
            self.gate.apply_announcement()

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
