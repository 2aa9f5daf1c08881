"""Run the membership state machine over the control channel."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import structlog
from result import Err, Ok

from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions import members as msg
from dragonflyknot.decisions.document import Revision
from dragonflyknot.decisions.keyring import PeerFreshness
from dragonflyknot.decisions.membership import (
    REPLY_TIMEOUT_S,
    TICK_S,
    Membership,
)
from dragonflyknot.peers.controlclient import ControlClient

LEAVE_S = 0.3

_log = structlog.get_logger(__name__)


class GossipPorts(Protocol):
    """Take in what gossip tells, and tell what gossip spreads."""

    def own_state(self) -> msg.OwnChanged:
        """Return the state of this daemon's upstream and configuration."""

    def member_changed(self, member: msg.Member) -> None:
        """Take in a member that is new or changed."""

    def member_gone(self, host: str) -> None:
        """Take in that a member left."""

    def revision_heard(self, revision: Revision, host: str) -> None:
        """Take in a revision and who knows it."""

    def incarnation_raised(self, incarnation: int) -> None:
        """Answer to a further incarnation from now on."""

    def freshness(self) -> PeerFreshness:
        """Return how fresh this daemon's keys are."""

    def freshness_heard(
        self, address: str, freshness: PeerFreshness, asked_at: float
    ) -> None:
        """Take in how fresh a peer's keys were after `asked_at`."""

    def freshness_told(self, address: str, freshness: PeerFreshness) -> None:
        """Take in what a peer's message claims of its keys."""

    async def addresses(self, service: str) -> tuple[str, ...]:
        """Return control addresses from the table; all for no service."""


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Describe this daemon and the peers that it is told of."""

    own: msg.Member
    seeds: tuple[str, ...]
    followed: tuple[str, ...] = ()


class Gossip:
    """Own the gossip of one daemon; a context manager."""

    def __init__(
        self,
        settings: GossipSettings,
        client: ControlClient,
        ports: GossipPorts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep what the state machine needs."""
        self._machine = Membership(settings.own)
        self._settings = settings
        self._client = client
        self._ports = ports
        self._clock = clock
        self._rng = random.Random()
        self._tasks = Tasks()

    async def __aenter__(self) -> 'Gossip':
        """Start to gossip."""
        await self._tasks.__aenter__()
        self._feed(msg.AddressesLearned(self._settings.seeds))
        for service in self._settings.followed:
            self._feed(msg.ServiceFollowed(service))
        self._tasks.start(self._tick())
        self._tasks.start(self._look_up(''))
        return self

    async def __aexit__(self, *details: object) -> None:
        """Tell peers that this daemon leaves, and stop."""
        self._feed(msg.DaemonStopping())
        await asyncio.sleep(LEAVE_S)
        await self._tasks.__aexit__(*details)

    @property
    def machine(self) -> Membership:
        """Return the state machine for dumps."""
        return self._machine

    def answer(self, message: msg.Gossip) -> msg.Gossip:
        """Take in a peer's message and return the reply."""
        if message.keys is not None:
            self._ports.freshness_told(message.sender.peers_grpc, message.keys)
        replies = self._feed(msg.GossipReceived(message))
        return replace(replies[0], keys=self._ports.freshness())

    def follow(self, service: str) -> None:
        """Keep all members of a service from now on."""
        self._feed(msg.ServiceFollowed(service))

    def learn_revision(self, revision: Revision) -> None:
        """Spread a revision that the store told."""
        self._feed(msg.RevisionLearned(revision))

    def refresh(self) -> None:
        """Tell peers of a changed state at once."""
        self._feed(self._ports.own_state())

    def _feed(self, event: msg.MembershipEvent) -> list[msg.Gossip]:
        replies: list[msg.Gossip] = []
        commands = self._machine.handle(event, self._clock(), self._rng)
        for command in commands:
            match command:
                case msg.ReplyGossip(message):
                    replies.append(message)
                case msg.SendGossip():
                    self._tasks.start(self._send(command))
                case msg.LookUpService(service):
                    self._tasks.start(self._look_up(service))
                case _:
                    self._tell(command)
        return replies

    def _tell(self, command: msg.MembershipCommand) -> None:
        match command:
            case msg.MemberChanged(member):
                self._ports.member_changed(member)
            case msg.MemberGone(host):
                _log.info('member_gone', member=host)
                self._ports.member_gone(host)
            case msg.RevisionHeard(revision, host):
                if host != self._settings.own.host:
                    self._ports.revision_heard(revision, host)
            case msg.IncarnationRaised(incarnation):
                _log.warning('incarnation_raised', incarnation=incarnation)
                self._ports.incarnation_raised(incarnation)

    async def _tick(self) -> None:
        while True:
            self._feed(self._ports.own_state())
            self._feed(msg.Ticked())
            await asyncio.sleep(TICK_S)

    async def _send(self, command: msg.SendGossip) -> None:
        message = replace(command.message, keys=self._ports.freshness())
        asked_at = self._clock()
        answer = await self._client.gossip(
            command.address, message, REPLY_TIMEOUT_S
        )
        match answer:
            case Ok(reply):
                if reply.keys is not None:
                    self._ports.freshness_heard(
                        command.address, reply.keys, asked_at
                    )
                self._feed(msg.GossipReplied(reply))
            case Err(error):
                _log.debug('gossip_failed', reason=str(error))
                self._feed(msg.GossipFailed(command.host))

    async def _look_up(self, service: str) -> None:
        addresses = await self._ports.addresses(service)
        if addresses:
            known = (*self._settings.seeds, *addresses)
            self._feed(msg.AddressesLearned(known))
