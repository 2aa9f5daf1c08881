"""Run membership state machines against each other in virtual time.

Messages take a fixed time and can be lost, doubled or cut off between
regions; daemons can be stopped, paused and restarted. Everything is drawn
from one seed.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial

from dragonflyknot.decisions import members as msg
from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.membership import (
    REPLY_TIMEOUT_S,
    TICK_S,
    Membership,
)

LATENCY_S = 0.01


@dataclass(slots=True)
class Faults:
    """State which messages fail; shares are between 0 and 1."""

    lost: float = 0
    doubled: float = 0
    late: float = 0
    late_s: float = 2.0
    regions_cut: bool = False


class GossipFleet:
    """Own one membership state machine for each daemon."""

    def __init__(self, seed: int) -> None:
        """Start without daemons at time zero."""
        self.now: float = 0
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.daemons_by_host: dict[str, Membership] = {}
        self.paused: set[str] = set()
        self.known_hosts_by_host: dict[str, set[str]] = {}
        self.revision_at_by_host: dict[str, float] = {}
        self.on_message: Callable[[str, str, msg.Gossip], None] | None = None
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._queued = 0

    def add(
        self,
        member: msg.Member,
        addresses: tuple[str, ...] = (),
        known: Iterable[msg.Member] = (),
    ) -> None:
        """Start a daemon that knows some addresses or members."""
        self.daemons_by_host[member.host] = Membership(member, known)
        self.known_hosts_by_host[member.host] = set()
        self.feed(member.host, msg.AddressesLearned(addresses))
        daemon = self.daemons_by_host[member.host]
        first_s = self.rng.random() * TICK_S
        self._later(first_s, partial(self._tick, member.host, daemon))

    def stop(self, host: str) -> None:
        """End a daemon without notice."""
        self.daemons_by_host.pop(host)

    def feed(self, host: str, event: msg.MembershipEvent) -> None:
        """Give an event to a daemon and carry out its commands."""
        daemon = self.daemons_by_host[host]
        for command in daemon.handle(event, self.now, self.rng):
            self._carry_out(host, command)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            due_at, _, step = heapq.heappop(self._queue)
            self.now = due_at
            step()
        self.now = end

    def _later(self, delay_s: float, step: Callable[[], None]) -> None:
        self._queued += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._queued, step))

    def _tick(self, host: str, daemon: Membership) -> None:
        if self.daemons_by_host.get(host) is not daemon:
            return
        if host not in self.paused:
            self.feed(host, msg.Ticked())
        self._later(TICK_S, partial(self._tick, host, daemon))

    def _carry_out(self, host: str, command: msg.MembershipCommand) -> None:
        match command:
            case msg.SendGossip():
                self._send(host, command)
            case msg.MemberChanged(member):
                self.known_hosts_by_host[host].add(member.host)
            case msg.MemberGone(gone):
                self.known_hosts_by_host[host].discard(gone)
            case msg.RevisionHeard():
                self.revision_at_by_host[host] = self.now
            case _:
                pass

    def _send(self, host: str, command: msg.SendGossip) -> None:
        if self.on_message:
            self.on_message(host, command.address, command.message)
        answered: list[bool] = []
        copies = 2 if self.rng.random() < self.faults.doubled else 1
        for _ in range(copies):
            self._later(
                self._delay(), partial(self._ask, host, command, answered)
            )
        self._later(
            REPLY_TIMEOUT_S, partial(self._fail, host, command, answered)
        )

    def _ask(
        self, host: str, command: msg.SendGossip, answered: list[bool]
    ) -> None:
        peer = command.address
        if not self._reaches(host, peer):
            return
        daemon = self.daemons_by_host[peer]
        event = msg.GossipReceived(command.message)
        for result in daemon.handle(event, self.now, self.rng):
            match result:
                case msg.ReplyGossip(message):
                    self._answer(peer, host, message, answered)
                case _:
                    self._carry_out(peer, result)

    def _answer(
        self, peer: str, host: str, message: msg.Gossip, answered: list[bool]
    ) -> None:
        if self.on_message:
            self.on_message(peer, host, message)

        def deliver() -> None:
            if self._reaches(peer, host):
                answered.append(True)
                self.feed(host, msg.GossipReplied(message))

        self._later(self._delay(), deliver)

    def _fail(
        self, host: str, command: msg.SendGossip, answered: list[bool]
    ) -> None:
        if not answered and host in self.daemons_by_host:
            if host not in self.paused:
                self.feed(host, msg.GossipFailed(command.host))

    def _delay(self) -> float:
        if self.rng.random() < self.faults.late:
            return self.faults.late_s * self.rng.random()
        return LATENCY_S

    def _reaches(self, host: str, peer: str) -> bool:
        if peer not in self.daemons_by_host or host not in self.daemons_by_host:
            return False
        if peer in self.paused or self.rng.random() < self.faults.lost:
            return False
        return not (
            self.faults.regions_cut
            and self.daemons_by_host[host].own.region
            != self.daemons_by_host[peer].own.region
        )


def build_member(
    number: int, service: str, data_centers: int = 4, regions: int = 2
) -> msg.Member:
    """Return a ready member; its host name is its address too."""
    host = f'10.0.{number // 250}.{number % 250}'
    return msg.Member(
        host,
        incarnation=1,
        counter=0,
        data_center=f'dc{number % data_centers}',
        region=f'region{number % regions}',
        peers_http=host,
        peers_grpc=host,
        service=service,
        state=UpstreamState.READY,
        report=LoadReport(UpstreamState.READY, 90, 10, 0, 0),
    )


def restarted(member: msg.Member) -> msg.Member:
    """Return the member as a later process of the same host."""
    return replace(member, incarnation=member.incarnation + 1, counter=0)
