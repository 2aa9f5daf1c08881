"""Gossip that keeps each daemon's view of the others.

Every half second a daemon sends one peer what changed lately and a digest
of its view. The answer brings the peer's changes and, where the digests
differ, its versions, from which the two repair their views. An unanswered
message makes its receiver suspect; a suspect that does not raise its own
counter in time is gone.

A small fleet is kept whole. In a large one a daemon keeps its own service,
the services that it follows and a few others drawn at random, so that
neither its memory nor its messages grow with the fleet.
"""

from collections.abc import Iterable
from dataclasses import replace

from dragonflyknot.decisions import members as msg
from dragonflyknot.decisions.document import NO_REVISION, Revision
from dragonflyknot.decisions.interests import Interests
from dragonflyknot.decisions.members import Member, Standing
from dragonflyknot.decisions.memberview import MemberView
from dragonflyknot.decisions.peerchoice import choose_peer, pick
from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.suspicion import Suspicions

TICK_S = 0.25
PROBE_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 0.6
LONELY_RETRY_S = 0.5
GONE_RETRY_S = 5.0
URGENT_INTERVAL_S = 0.2
REPAIR_INTERVAL_S = 1.0
URGENT_PEERS = 3
SUSPECT_PROBES = 3
MAX_CHANGES = 8
MAX_REPAIRS = 64
MAX_VERSIONS = 256
MAX_LOOKUPS = 4
_LONG_AGO = float('-inf')

Commands = list[msg.MembershipCommand]


class Membership:
    """Hold one daemon's view and decide whom to tell what."""

    def __init__(self, own: Member, known: Iterable[Member] = ()) -> None:
        """Start with the members that are known already."""
        self.view = MemberView()
        for member in known:
            self.view.put(member, 0, is_news=False)
        self._own = own
        self._interests = Interests(self.view, own.service)
        self._addresses: tuple[str, ...] = ()
        self._revision = NO_REVISION
        self._suspicions = Suspicions()
        self._now = _LONG_AGO
        self._probe_at = _LONG_AGO
        self._outside_at = _LONG_AGO
        self._repair_at = _LONG_AGO
        self._urgent_at = _LONG_AGO
        self._urgent = False
        self._commands: Commands = []

    @property
    def own(self) -> Member:
        """Return the daemon itself as it tells others."""
        return self._own

    @property
    def keeps_all(self) -> bool:
        """Return whether the fleet is small enough to be kept whole."""
        return self._interests.keeps_all

    @property
    def revision(self) -> Revision:
        """Return the highest revision that was heard of."""
        return self._revision

    def handle(
        self, event: msg.MembershipEvent, now: float, rng: Randomness
    ) -> tuple[msg.MembershipCommand, ...]:
        """Take in an event; return what has to be sent and told."""
        self._commands = []
        self._now = now
        match event:
            case msg.Ticked():
                self._tick(now, rng)
            case msg.GossipAsked(message):
                self._take(message, now, rng)
                self._reply(message, rng)
            case msg.GossipAnswered(message):
                self._take(message, now, rng)
                self._repair(message, now, rng)
            case msg.GossipFailed(host):
                self._suspect(host, now)
            case _:
                self._note(event)
        self._send_urgent(now, rng)
        return tuple(self._commands)

    def follows(self, service: str) -> bool:
        """Return whether all members of a service are kept."""
        return self._interests.covers(service)

    # What arrives.

    def _take(self, message: msg.Gossip, now: float, rng: Randomness) -> None:
        if message.held is not None:
            self._refute(message.held)
        for member in (message.sender, *message.members):
            if member.host == self._own.host:
                self._refute(msg.version_of(member))
            else:
                self._put(member, now, rng)
        self._hear_revision(message.revision, message.sender.host)

    def _put(self, member: Member, now: float, rng: Randomness) -> None:
        known = self.view.get(member.host)
        if known is None and member.standing is Standing.GONE:
            return
        is_news = self.follows(member.service)
        if not self.view.put(member, now, is_news=is_news):
            if self.view.get(member.host) is not known:
                self._tell(member.host)
            return
        self._suspicions.clear(member.host)
        if member.standing is Standing.SUSPECT:
            self._suspicions.add(member.host, now)
            if rng.random() * (len(self.view) + 1) < SUSPECT_PROBES:
                self._send(member, rng)
        self._tell(member.host)
        if is_news and _is_urgent(known, member):
            self._urgent = True
        for host in self._interests.bound(member, rng):
            self._forget(host)

    def _tell(self, host: str) -> None:
        member = self.view.members_by_host[host]
        if member.standing is Standing.GONE:
            self._commands.append(msg.MemberGone(host))
        else:
            self._commands.append(msg.MemberChanged(member))

    def _refute(self, held: msg.Version) -> None:
        if self._own.standing is Standing.GONE:
            return
        own = msg.version_of(self._own)
        if held.incarnation > own.incarnation:
            self._own = replace(
                self._own, incarnation=held.incarnation + 1, counter=0
            )
            self._commands.append(msg.IncarnationRaised(self._own.incarnation))
            self._urgent = True
        elif held > own:
            self._own = self._raised(held.counter + 1)
            self._urgent = True

    def _hear_revision(self, revision: Revision, host: str) -> None:
        if revision.number > self._revision.number:
            self._revision = revision
            self._commands.append(msg.RevisionHeard(revision, host))
            self._urgent = True

    # What is answered.

    def _reply(self, message: msg.Gossip, rng: Randomness) -> None:
        members = self._found(message.lookups)
        members.extend(self.view.find(message.wanted))
        versions: tuple[msg.HeldVersion, ...] = ()
        view = message.view
        if view is not None and self._differs(view):
            versions = self.view.versions(view.service, MAX_VERSIONS)
        reply = self._compose(message.sender, members, rng)
        self._commands.append(
            msg.ReplyGossip(replace(reply, view=view, versions=versions))
        )

    def _differs(self, view: msg.ViewDigest) -> bool:
        if view.service == msg.ALL_SERVICES and not self.keeps_all:
            return False
        if not self.follows(view.service):
            return False
        return self.view.digest(view.service, self._own) != view.digest

    def _repair(self, message: msg.Gossip, now: float, rng: Randomness) -> None:
        if not message.versions or message.view is None:
            return
        if now < self._repair_at:
            return
        self._repair_at = now + REPAIR_INTERVAL_S
        lacking, wanted = self.view.differences(
            message.view.service, message.versions
        )
        wanted = [host for host in wanted if host != self._own.host]
        peer = message.sender
        lacking = [one for one in lacking if one.host != peer.host]
        if lacking or wanted:
            sent = self._compose(peer, lacking[:MAX_REPAIRS], rng)
            self._commands.append(
                msg.SendGossip(
                    peer.host,
                    peer.peers_grpc,
                    replace(sent, wanted=tuple(wanted[:MAX_REPAIRS])),
                )
            )

    def _found(self, services: Iterable[str]) -> list[Member]:
        found: list[Member] = []
        for service in services:
            if service and service != self._own.service:
                found.extend(list(self.view.live(service))[:MAX_LOOKUPS])
        return found

    # What time brings.

    def _tick(self, now: float, rng: Randomness) -> None:
        self._remove_suspects(now)
        self.view.forget_gone(now)
        if now >= self._probe_at:
            self._probe_at = now + PROBE_INTERVAL_S
            self._probe(rng)
        alone = len(self.view) == 0
        if now >= self._outside_at:
            retry_s = LONELY_RETRY_S if alone else GONE_RETRY_S
            self._outside_at = now + retry_s
            self._try_outside(rng)

    def _remove_suspects(self, now: float) -> None:
        for suspect in self.view.find(self._suspicions.take_due(now)):
            self.view.put(replace(suspect, standing=Standing.GONE), now)
            self._tell(suspect.host)

    def _probe(self, rng: Randomness) -> None:
        service = msg.ALL_SERVICES
        if not self.keeps_all:
            service = pick(self._interests.services(), rng)
        peer = choose_peer(self._own, self.view.live(service), rng)
        if peer is not None:
            self._send(peer, rng)

    def _try_outside(self, rng: Randomness) -> None:
        """Speak to a host that seems gone or to a first address."""
        gone = self.view.gone_hosts()
        if gone:
            self._send(self.view.members_by_host[pick(gone, rng)], rng)
        others = list(self._addresses)
        if self._own.peers_grpc in others:
            others.remove(self._own.peers_grpc)
        if others:
            message = replace(
                msg.Gossip(self._own),
                view=self._view_digest(self._own.service),
                lookups=tuple(self._interests.missing()[:MAX_LOOKUPS]),
                revision=self._revision,
            )
            self._commands.append(
                msg.SendGossip('', pick(others, rng), message)
            )

    def _suspect(self, host: str, now: float) -> None:
        member = self.view.get(host)
        if member is None or member.standing is not Standing.ALIVE:
            return
        if not self.follows(member.service):
            self._forget(host)
            return
        self.view.put(replace(member, standing=Standing.SUSPECT), now)
        self._suspicions.add(host, now)
        self._tell(host)

    # What the daemon itself reports.

    def _note(self, event: msg.OwnEvent) -> None:
        match event:
            case msg.OwnChanged():
                self._change_own(event)
            case msg.ServiceFollowed(service):
                self._follow(service)
            case msg.ServiceUnfollowed(service):
                self._interests.unfollow(service)
            case msg.AddressesLearned(addresses):
                self._addresses = addresses
            case msg.RevisionLearned(revision):
                self._hear_revision(revision, self._own.host)
            case msg.Left():
                self._leave()

    def _leave(self) -> None:
        left = self._raised(self._own.counter + 1)
        self._own = replace(left, standing=Standing.GONE)
        self._urgent = True

    def _change_own(self, event: msg.OwnChanged) -> None:
        own = self._own
        if event.service != own.service or event.state is not own.state:
            own = self._raised(own.counter + 1)
            self._urgent = True
        if event.revision != own.revision:
            # Peers that wait for its sections learn where they are.
            self._urgent = True
        self._interests.own_service = event.service
        self._own = replace(
            own,
            service=event.service,
            state=event.state,
            report=event.report,
            revision=event.revision,
            beat=own.beat + 1,
        )

    def _raised(self, counter: int) -> Member:
        return replace(self._own, counter=counter, standing=Standing.ALIVE)

    def _follow(self, service: str) -> None:
        if service not in self._interests.followed:
            self._interests.follow(service)
            if service in self._interests.missing():
                self._commands.append(msg.LookUpService(service))

    # What is sent.

    def _send_urgent(self, now: float, rng: Randomness) -> None:
        if not self._urgent or now < self._urgent_at:
            return
        self._urgent = False
        self._urgent_at = now + URGENT_INTERVAL_S
        told: set[str] = set()
        for number in range(URGENT_PEERS):
            kin = number % 2 == 0 and not self.keeps_all
            service = self._own.service if kin else msg.ALL_SERVICES
            peer = choose_peer(self._own, self.view.live(service), rng)
            if peer is not None and peer.host not in told:
                told.add(peer.host)
                self._send(peer, rng)

    def _send(self, peer: Member, rng: Randomness) -> None:
        message = replace(
            self._compose(peer, (), rng),
            view=self._view_digest(peer.service),
            lookups=tuple(self._interests.missing()[:MAX_LOOKUPS]),
        )
        self._commands.append(
            msg.SendGossip(peer.host, peer.peers_grpc, message)
        )

    def _compose(
        self, peer: Member, members: Iterable[Member], rng: Randomness
    ) -> msg.Gossip:
        service = msg.ALL_SERVICES if self.keeps_all else peer.service
        told = list(members)
        told.extend(self.view.take_changes(peer.host, service, MAX_CHANGES))
        told.extend(self._interests.sample(rng))
        held = self.view.get(peer.host)
        return msg.Gossip(
            self._own,
            tuple(told),
            held=None if held is None else msg.version_of(held),
            revision=self._revision,
        )

    def _view_digest(self, service: str) -> msg.ViewDigest | None:
        if self._now < self._repair_at or not self.follows(service):
            return None
        if self.keeps_all:
            service = msg.ALL_SERVICES
        return msg.ViewDigest(service, self.view.digest(service, self._own))

    def _forget(self, host: str) -> None:
        self.view.drop(host)
        self._interests.forget(host)
        self._suspicions.clear(host)
        self._commands.append(msg.MemberGone(host))


def _is_urgent(known: Member | None, member: Member) -> bool:
    if known is None or member.standing is Standing.GONE:
        return True
    return known.state is not member.state
