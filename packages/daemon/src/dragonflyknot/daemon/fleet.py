"""Take part in the fleet: control channel, gossip, configuration, keys.

`Fleet` owns the shells of the state machines that act together with other
daemons and passes what they learn to the router, the directory, the keyring
and the policies. It is all that the daemon has to open.
"""

import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from dragonflyknot.daemon.claims import ClaimPorts, Claims
from dragonflyknot.daemon.configsync import (
    ConfigurationLoop,
    ConfigurationPorts,
)
from dragonflyknot.daemon.gossip import Gossip, GossipSettings
from dragonflyknot.daemon.keysync import Announced, KeyLoop
from dragonflyknot.daemon.policies import PolicyHolder
from dragonflyknot.daemon.registry import Registration, Registry
from dragonflyknot.daemon.settings import (
    Settings,
    split_address,
    split_list,
)
from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions import grants, ledger, members, routing, tickets
from dragonflyknot.decisions.document import Revision
from dragonflyknot.decisions.keyring import Keyring, PeerFreshness
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.decisions.ledger import Ledger
from dragonflyknot.decisions.routing import Router
from dragonflyknot.peers.control import ControlServer
from dragonflyknot.peers.controlclient import ControlClient
from dragonflyknot.peers.controlwire import KeysReport
from dragonflyknot.peers.directory import Directory, PeerAddress
from dragonflyknot.peers.peercalls import PeerCalls
from dragonflyknot.stores.backends import Backend

EVERY_SERVICE = '*'
LARGE_FLEET_POLL_S = 60.0

GrantAnswerer = Callable[[grants.GrantRequest], Awaitable[grants.GrantAnswer]]
WitnessAnswerer = Callable[[str], Awaitable[AnswerWitness]]
MemberListener = Callable[[members.Member], None]
GoneListener = Callable[[str], None]


async def _no_grant(request: grants.GrantRequest) -> grants.GrantAnswer:
    return grants.GrantAnswer(
        request.grant_id, request.workspace, 0, holds=False
    )


async def _no_witness(holder: str) -> AnswerWitness:
    return AnswerWitness('', holder, granted=False)


async def _no_nudge() -> None:
    """Ignore a nudge."""


@dataclass(slots=True)
class FleetParts:
    """Bundle the daemon's parts that the fleet feeds or asks.

    `own_state` tells of the upstream; `own_state().service` is empty
    without one. The listeners hear of members, this daemon included.
    """

    settings: Settings
    incarnation: int
    keyring: Keyring
    ledger: Ledger
    router: Router
    directory: Directory
    policies: PolicyHolder
    backend: Backend
    own_state: Callable[[], members.OwnChanged]
    answer_grant: GrantAnswerer = _no_grant
    answer_witness: WitnessAnswerer = _no_witness
    nudged: Callable[[], Awaitable[None]] = _no_nudge
    member_listeners: list[MemberListener] = field(default_factory=list)
    gone_listeners: list[GoneListener] = field(default_factory=list)
    raised_listeners: list[Callable[[int], None]] = field(default_factory=list)


class Fleet:
    """Own the daemon's part in the fleet; a context manager."""

    def __init__(self, parts: FleetParts) -> None:
        """Make the shells; `__aenter__` opens them."""
        self._parts = parts
        settings = parts.settings
        self._own = members.Member(
            host=settings.host,
            incarnation=parts.incarnation,
            counter=0,
            data_center=settings.data_center,
            region=settings.region,
            peers_http=settings.peers_requests,
            peers_grpc=settings.peers_control,
            operators=settings.operators_listen,
            service='',
            state=parts.own_state().state,
        )
        self.client = ControlClient(_control_secret(settings))
        self.calls = PeerCalls(self.client, parts.directory)
        self.gossip = Gossip(
            GossipSettings(
                self._own,
                split_list(settings.seeds),
                _followed(settings.calls),
            ),
            self.client,
            self,
        )
        self.configuration = ConfigurationLoop(
            ConfigurationPorts(
                environment=settings.environment,
                backend=parts.backend,
                client=self.client,
                directory=parts.directory,
                install=parts.policies.install,
                learn_revision=self.gossip.learn_revision,
            )
        )
        self.keys = KeyLoop(
            parts.keyring,
            parts.backend.table,
            settings.environment,
            self.client,
        )
        self.claims = Claims(
            ClaimPorts(
                host=settings.host,
                incarnation=parts.incarnation,
                environment=settings.environment,
                table=parts.backend.table,
                client=self.client,
                directory=parts.directory,
            )
        )
        self._registry = Registry(
            parts.backend.table,
            Registration(
                settings.environment, settings.host, settings.peers_control
            ),
        )
        self._served = ''
        self._tasks = Tasks()
        self._stack = AsyncExitStack()
        self._rng = random.Random()

    async def __aenter__(self) -> 'Fleet':
        """Open the control channel and join the fleet."""
        settings = self._parts.settings
        host, port = split_address(settings.control_listen)
        server = ControlServer(
            _Handlers(self, self._parts),
            host,
            port,
            _control_secret(settings),
        )
        async with AsyncExitStack() as stack:
            for part in (
                self.client,
                server,
                self._tasks,
                self._registry,
                self.claims,
                self.keys,
                self.configuration,
                self.gossip,
            ):
                await stack.enter_async_context(part)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *details: object) -> None:
        """Tell peers that this daemon leaves, and close everything."""
        await self._stack.aclose()

    async def announce_withdrawal(self, key_hash: str) -> Announced:
        """Announce a withdrawal to the witnesses before it is written."""
        return await self.keys.announce(key_hash)

    def own_state(self) -> members.OwnChanged:
        """Return the state to gossip; registers a service at first sight."""
        state = self._parts.own_state()
        if state.service != self._served:
            self._served = state.service
            self._tasks.start(self._registry.serve(state.service))
        if state.service:
            self._tell_own()
        return state

    def member_changed(self, member: members.Member) -> None:
        """Pass a member to the directory, the router and the listeners."""
        self._learn(member)
        self._choose_witnesses()

    def member_gone(self, host: str) -> None:
        """Pass on that a member left."""
        self._parts.directory.forget(host)
        self._parts.router.handle(routing.TargetGone(host), time.monotonic())
        for listener in self._parts.gone_listeners:
            listener(host)
        self._choose_witnesses()

    def revision_heard(self, revision: Revision, host: str) -> None:
        """Fetch a revision that a peer knows."""
        self.configuration.see(revision, host)

    def incarnation_raised(self, incarnation: int) -> None:
        """Answer to a further incarnation of this process."""
        self._parts.ledger.add_incarnation(incarnation)
        for listener in self._parts.raised_listeners:
            listener(incarnation)

    def freshness(self) -> PeerFreshness:
        """Return how fresh the keys are."""
        return self.keys.freshness()

    def freshness_heard(
        self, address: str, freshness: PeerFreshness, asked_at: float
    ) -> None:
        """Pass a peer's freshness to the keys."""
        self.keys.heard(address, freshness, asked_at)

    def freshness_told(self, address: str, freshness: PeerFreshness) -> None:
        """Pass on what a peer's message claims of its keys."""
        self.keys.told(address, freshness)

    async def addresses(self, service: str) -> tuple[str, ...]:
        """Return control addresses from the table."""
        return await self._registry.addresses(service)

    def _tell_own(self) -> None:
        own = self.gossip.machine.own
        if own.service:
            self._learn(own)

    def _learn(self, member: members.Member) -> None:
        parts = self._parts
        parts.directory.learn(
            member.host, PeerAddress(member.peers_http, member.peers_grpc)
        )
        if member.report is not None:
            parts.directory.record_epoch(member.host, member.report.epoch)
        parts.router.handle(_target(member), time.monotonic())
        if member.revision == self.configuration.machine.seen.number:
            seen = self.configuration.machine.seen
            self.configuration.see(seen, member.host)
        for listener in parts.member_listeners:
            listener(member)

    def _choose_witnesses(self) -> None:
        """Count silent members too, so that no half of a region decides.

        In a large fleet no daemon knows a whole region, so there are none.
        """
        if not self.gossip.machine.keeps_all:
            self.configuration.poll_interval_s = LARGE_FLEET_POLL_S
            self.keys.is_large = True
            self.keys.choose_witnesses({}, '')
            return
        region = self._parts.settings.store_region
        own = self._own.host if self._own.region == region else ''
        addresses_by_host = {
            member.host: member.peers_grpc
            for member in self.gossip.machine.view.members_by_host.values()
            if region and member.region == region
        }
        self.keys.choose_witnesses(addresses_by_host, own)


class _Handlers:
    """Answer the control calls of peers from the daemon's parts."""

    def __init__(self, fleet: Fleet, parts: FleetParts) -> None:
        self._fleet = fleet
        self._parts = parts

    async def gossip(self, message: members.Gossip) -> members.Gossip:
        return self._fleet.gossip.answer(message)

    async def resolve(
        self, attempt_id: str, incarnation: int
    ) -> ledger.Resolved:
        return self._parts.ledger.resolve(
            attempt_id, incarnation, time.monotonic()
        )

    async def grant(self, request: grants.GrantRequest) -> grants.GrantAnswer:
        return await self._parts.answer_grant(request)

    async def content(self, digest: str) -> bytes | None:
        return self._fleet.configuration.machine.content(digest)

    async def keys(self, since: int) -> KeysReport:
        return self._fleet.keys.tell(since)

    async def spend(self, spending: tickets.Spending) -> tickets.TicketAnswer:
        return self._fleet.claims.spend(spending)

    async def release(self, spending: tickets.Spending) -> None:
        self._fleet.claims.release(spending)

    async def withdraw(self, key_hash: str) -> None:
        self._fleet.keys.withdraw(key_hash)

    async def witness(self, holder: str) -> AnswerWitness:
        return await self._parts.answer_witness(holder)

    async def nudge(self) -> None:
        await self._parts.nudged()


def _target(
    member: members.Member,
) -> routing.TargetSeen | routing.TargetGone:
    if not member.service:
        return routing.TargetGone(member.host)
    return routing.TargetSeen(
        member.host,
        member.incarnation,
        member.service,
        member.data_center,
        member.region,
        member.state,
        member.report,
    )


def _control_secret(settings: Settings) -> str:
    """Keep daemons of different environments apart, too."""
    secret = settings.fleet_secret.get_secret_value()
    return f'{settings.environment}/{secret}'


def _followed(calls: str) -> tuple[str, ...]:
    return tuple(
        service for service in split_list(calls) if service != EVERY_SERVICE
    )
