"""Wire the border packages to the state machines and run them.

`Daemon` owns every part through one exit stack: parts are opened in the
order in which they need each other and closed in reverse.
"""

import asyncio
import gc
import math
import random
import time
from contextlib import AsyncExitStack

import structlog

from dragonflyknot.callers.edge import Edge
from dragonflyknot.callers.ports import EdgePorts
from dragonflyknot.daemon import lifecycle, listeners, metrics
from dragonflyknot.daemon.fleet import Fleet, FleetParts
from dragonflyknot.daemon.metrics import Gauge, Metrics
from dragonflyknot.daemon.policies import PolicyHolder
from dragonflyknot.daemon.rates import Rates, RateSettings
from dragonflyknot.daemon.settings import Settings
from dragonflyknot.daemon.status import Status
from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions import admission
from dragonflyknot.decisions.chains import Chains
from dragonflyknot.decisions.document import Configuration, Service
from dragonflyknot.decisions.keyring import Keyring
from dragonflyknot.decisions.ledger import Ledger
from dragonflyknot.decisions.members import Member, OwnChanged, Standing
from dragonflyknot.decisions.retry import RetryBudget
from dragonflyknot.decisions.routing import Router
from dragonflyknot.exchange.clientmemory import ClientMemory
from dragonflyknot.exchange.linkset import LinkShares
from dragonflyknot.exchange.sessions import relay_session
from dragonflyknot.exchange.tally import Tally
from dragonflyknot.peers.directory import Directory
from dragonflyknot.peers.forward import Forwarder
from dragonflyknot.peers.receiving import Receiver
from dragonflyknot.peers.sessions import PeerSessions
from dragonflyknot.stores.backends import (
    RemoteBackend,
)
from dragonflyknot.stores.interfaces import Usage
from dragonflyknot.stores.settings import PlatformSettings
from dragonflyknot.upstreams.admissionqueue import AdmissionQueue
from dragonflyknot.upstreams.announcements import AnnouncementCache
from dragonflyknot.upstreams.gate import Gate, GatePorts
from dragonflyknot.upstreams.listener import UpstreamListener

EXIT_OK = 0
EXIT_CUT_OFF = 1
HOUSEKEEPING_S = 0.5
COLLECT_AFTER_OBJECTS = 20_000
MS_PER_SECOND = 1000
MB_BYTES = 1024 * 1024
NS_PER_MS = 1_000_000

_log = structlog.get_logger(__name__)


class Daemon:
    """Own the parts of one daemon."""

    def __init__(self, settings: Settings) -> None:
        """Make the state machines; `__aenter__` opens the rest."""
        self.settings = settings
        self.incarnation = time.time_ns() // NS_PER_MS
        self.tally = Tally()
        self.policies = PolicyHolder()
        self.keyring = Keyring()
        self.ledger = Ledger(self.incarnation)
        self.chains = Chains()
        self.announcements = AnnouncementCache()
        self.directory = Directory()
        self.router = Router(
            settings.host, settings.data_center, settings.region
        )
        self.admission_queue = AdmissionQueue(admission.Gate(Service(name='')))
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'Daemon':
        """Open sessions, loops and listeners."""
        self.policies.subscribe(self._configure)
        async with AsyncExitStack() as stack:
            await self._open(stack)
            await self._listen(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close everything in reverse order."""
        await self._stack.aclose()

    @property
    def usages(self) -> tuple[Usage, Usage]:
        """Return the use of the table service and of the object store."""
        return self._backend.table.usage, self._backend.objects.usage

    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self.edge.in_flight + self.gate.in_flight

    def members(self) -> tuple[Member, ...]:
        """Return the daemons that this one knows."""
        view = self.fleet.gossip.machine.view
        return tuple(
            member
            for member in view.members_by_host.values()
            if member.standing is not Standing.GONE
        )

    def missing(self) -> tuple[str, ...]:
        """Return why callers cannot be served yet, empty if they can."""
        reasons = []
        if self.edge.is_draining:
            reasons.append('draining')
        if self.policies.current() is None:
            reasons.append('no configuration from the store or a peer')
        if not self.keyring.is_fresh(time.monotonic()):
            reasons.append('the copy of the keys is too old')
        return tuple(reasons)

    def drain(self) -> None:
        """Refuse new work as not run; work in flight goes on."""
        self.edge.is_draining = True
        self.gate.is_draining = True
        self.fleet.gossip.refresh()
        _log.info('draining', in_flight=self.in_flight())

    def own_state(self) -> OwnChanged:
        """Return what gossip tells of the upstream and the revision."""
        announcement = self.announcements.current(time.monotonic())
        policy = self.policies.current()
        report = self.gate.report()
        return OwnChanged(
            service='' if announcement is None else announcement.service,
            state=report.state,
            report=report,
            revision=policy.configuration.revision.number if policy else 0,
        )

    async def _open(self, stack: AsyncExitStack) -> None:
        self._backend = await stack.enter_async_context(
            _remote_backend(self.settings)
        )
        upstream_session = await stack.enter_async_context(relay_session())
        self.gate = Gate(
            GatePorts(
                admission_queue=self.admission_queue,
                ledger=self.ledger,
                chains=self.chains,
                announcements=self.announcements,
                session=upstream_session,
                tally=self.tally,
            )
        )
        parts = self._fleet_parts()
        self.fleet = Fleet(parts)
        self.rates = self._join_rates(parts)
        await stack.enter_async_context(self.fleet)
        await stack.enter_async_context(self.rates)
        sessions = PeerSessions(relay_session)
        await stack.enter_async_context(sessions)
        self._sessions = sessions
        self.edge = Edge(self._edge_ports(sessions))

    def _fleet_parts(self) -> FleetParts:
        return FleetParts(
            settings=self.settings,
            incarnation=self.incarnation,
            keyring=self.keyring,
            ledger=self.ledger,
            router=self.router,
            directory=self.directory,
            policies=self.policies,
            backend=self._backend,
            own_state=self.own_state,
        )

    def _join_rates(self, parts: FleetParts) -> Rates:
        settings = self.settings
        rates = Rates(
            RateSettings(
                host=settings.host,
                incarnation=self.incarnation,
                data_center=settings.data_center,
                region=settings.region,
                environment=settings.environment,
            ),
            self._backend.table,
            self.fleet.calls,
        )
        parts.answer_grant = rates.answer_grant
        parts.answer_witness = rates.answer_witness
        parts.nudged = rates.nudged
        parts.member_listeners.append(rates.member_changed)
        parts.gone_listeners.append(rates.member_gone)
        parts.raised_listeners.append(rates.adopt)
        self.policies.subscribe(rates.configure)
        return rates

    def _edge_ports(self, sessions: PeerSessions) -> EdgePorts:
        return EdgePorts(
            policies=self.policies,
            keyring=self.keyring,
            rates=self.rates,
            router=self.router,
            budget=RetryBudget(),
            sender=Forwarder(
                sessions,
                self.directory,
                self.fleet.calls,
                self.settings.fleet_secret.get_secret_value(),
            ),
            operations=self.fleet.claims,
            chains=self.chains,
            tally=self.tally,
            rng=random.Random(),
            gate_limit=lambda: self.admission_queue.report().limit,
        )

    async def _listen(self, stack: AsyncExitStack) -> None:
        settings = self.settings
        secret = settings.fleet_secret.get_secret_value()
        upstream = UpstreamListener(
            self.announcements,
            self.admission_queue,
            self.edge,
            self._upstream_changed,
        )
        memory_bytes = settings.client_memory_mb * MB_BYTES
        memory = ClientMemory(memory_bytes)
        peers = Receiver(self.gate, secret)
        links = LinkShares(settings.max_sockets, memory_bytes)
        for address, handler, max_links in (
            (settings.operators_listen, Status(self).serve, links.control),
            (settings.requests_listen, peers.serve, links.peers),
            (settings.upstream_listen, upstream.serve, links.control),
            (settings.callers_listen, self.edge.serve_caller, links.callers),
        ):
            await stack.enter_async_context(
                listeners.listening(address, handler, memory, max_links)
            )
        await stack.enter_async_context(
            Metrics(settings.statsd, self.tally, self._gauges)
        )
        tasks = await stack.enter_async_context(Tasks())
        tasks.start(self._keep_house(upstream))

    def _gauges(self) -> list[Gauge]:
        policy = self.policies.current()
        revision = policy.configuration.revision.number if policy else 0
        gauges = [
            Gauge(metrics.IN_FLIGHT, self.in_flight()),
            Gauge(metrics.MEMBERS, len(self.members())),
            Gauge(metrics.REVISION, revision),
            Gauge(metrics.LINK_BYTES, self.router.link_bytes),
        ]
        age_s = self.keyring.age_s(time.monotonic())
        if math.isfinite(age_s):
            gauges.append(Gauge(metrics.KEY_AGE_MS, age_s * MS_PER_SECOND))
        return gauges

    def _configure(self, configuration: Configuration) -> None:
        weights = {
            name: workspace.weight
            for name, workspace in configuration.workspaces_by_name.items()
        }
        self.admission_queue.apply(admission.WeightsChanged(weights))
        self.keyring.bound_s = configuration.key_freshness_seconds
        self._set_queue_limits(configuration)

    def _upstream_changed(self) -> None:
        policy = self.policies.current()
        if policy is not None:
            self._set_queue_limits(policy.configuration)
        # A state that changed, draining above all, is told at once.
        self.fleet.gossip.refresh()

    def _set_queue_limits(self, configuration: Configuration) -> None:
        announcement = self.announcements.current(time.monotonic())
        if announcement is None:
            return
        service = configuration.services_by_name.get(announcement.service)
        if service is not None:
            self.admission_queue.apply(admission.ServiceChanged(service))

    async def _keep_house(self, upstream: UpstreamListener) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            upstream.expire_announcement()
            await self._sessions.close_unused()


def _tune_collector() -> None:
    # The libraries' objects live as long as the process; walking them again
    # and again would stop the loop for tens of milliseconds each time.
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)


def _remote_backend(settings: Settings) -> RemoteBackend:
    return RemoteBackend(
        PlatformSettings(
            table_endpoint=settings.table_endpoint,
            objects_endpoint=settings.objects_endpoint,
            region=settings.platform_region,
            table=settings.table,
            bucket=settings.bucket,
            access_key=settings.access_key.get_secret_value(),
            secret_key=settings.secret_key.get_secret_value(),
        )
    )


async def run_daemon(settings: Settings) -> int:
    """Run until a signal, drain and return the exit code."""
    with lifecycle.StopSignals() as stop:
        async with Daemon(settings) as daemon:
            _tune_collector()
            _log.info('started', incarnation=daemon.incarnation)
            await stop.first.wait()
            daemon.drain()
            is_idle = await lifecycle.drained(
                daemon.in_flight, stop, settings.drain_seconds
            )
    _log.info('stopped', cut_off=not is_idle)
    return EXIT_OK if is_idle else EXIT_CUT_OFF
