"""Membership by gossip with failure detection, as a state machine.

Every `PROBE_INTERVAL_S` a daemon sends its recent changes and a digest of its
view to one peer. The reply contains the peer's changes and, if the digests
differ, the versions that it holds, from which both sides repair their views.
A peer that does not reply becomes a suspect; a suspect that does not raise
its own counter before the suspicion times out is considered gone.

In a small fleet a daemon keeps every member. In a large one it keeps those of
its own service, those of the services that it follows, and a random sample of
the others, so that its memory use and message size do not grow with the
fleet.
"""

from collections.abc import Iterable
from dataclasses import replace

from dragonflyknot.decisions import members as msg
from dragonflyknot.decisions.document import NO_REVISION, Revision
from dragonflyknot.decisions.members import Member, Standing
from dragonflyknot.decisions.memberview import MemberView
from dragonflyknot.decisions.peerselection import choose_peer, pick_random
from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.suspicion import SuspicionTimers
from dragonflyknot.decisions.viewfilter import ViewFilter

TICK_S = 0.25
PROBE_INTERVAL_S = 0.5
REPLY_TIMEOUT_S = 0.6
REJOIN_ALONE_INTERVAL_S = 0.5
REJOIN_INTERVAL_S = 5.0
URGENT_INTERVAL_S = 0.2
REPAIR_INTERVAL_S = 1.0
URGENT_FANOUT = 3
EXPECTED_SUSPECT_PROBES = 3
MAX_CHANGES_PER_MESSAGE = 8
MAX_REPAIRS_PER_MESSAGE = 64
MAX_VERSIONS_PER_MESSAGE = 256
MAX_LOOKUPS_PER_MESSAGE = 4
_NEVER = float('-inf')

Commands = list[msg.MembershipCommand]


class Membership:
    """Maintain one daemon's view and decide which messages to send."""

    def __init__(self, own: Member, known: Iterable[Member] = ()) -> None:
        """Create the state machine with initially known members."""
        self.view = MemberView()
        for member in known:
            self.view.put(member, 0, is_propagated=False)
        self._own = own
        self._filter = ViewFilter(self.view, own.service)
        self._addresses: tuple[str, ...] = ()
        self._revision = NO_REVISION
        self._suspicions = SuspicionTimers()
        self._now = _NEVER
        self._probe_at = _NEVER
        self._rejoin_at = _NEVER
        self._repair_at = _NEVER
        self._urgent_at = _NEVER
        self._has_urgent_change = False
        self._commands: Commands = []

    @property
    def own(self) -> Member:
        """Return this daemon as it announces itself to peers."""
        return self._own

    @property
    def keeps_all(self) -> bool:
        """Return whether the view contains the whole fleet."""
        return self._filter.keeps_all

    @property
    def revision(self) -> Revision:
        """Return the highest revision that is known to exist."""
        return self._revision

    def handle(
        self, event: msg.MembershipEvent, now: float, rng: Randomness
    ) -> tuple[msg.MembershipCommand, ...]:
        """Process an event and return the commands to carry out.

        `now` is in seconds and must not decrease. The commands for an event
        `GossipReceived` include exactly one `ReplyGossip`.
        """
        self._commands = []
        self._now = now
        match event:
            case msg.Ticked():
                self._tick(now, rng)
            case msg.GossipReceived(message):
                self._merge_message(message, now, rng)
                self._reply(message, rng)
            case msg.GossipReplied(message):
                self._merge_message(message, now, rng)
                self._repair(message, now, rng)
            case msg.GossipFailed(host):
                self._suspect(host, now)
            case _:
                self._handle_local(event)
        self._send_urgent(now, rng)
        return tuple(self._commands)

    def follows(self, service: str) -> bool:
        """Return whether all members of a service are kept."""
        return self._filter.covers(service)

    # Received messages.

    def _merge_message(
        self, message: msg.Gossip, now: float, rng: Randomness
    ) -> None:
        if message.held is not None:
            self._refute(message.held)
        for member in (message.sender, *message.members):
            if member.host == self._own.host:
                self._refute(msg.version_of(member))
            else:
                self._merge_member(member, now, rng)
        self._note_revision(message.revision, message.sender.host)

    def _merge_member(
        self, member: Member, now: float, rng: Randomness
    ) -> None:
        known = self.view.get(member.host)
        if known is None and member.standing is Standing.GONE:
            return
        is_propagated = self.follows(member.service)
        if not self.view.put(member, now, is_propagated=is_propagated):
            if self.view.get(member.host) is not known:
                self._notify(member.host)
            return
        self._suspicions.clear(member.host)
        if member.standing is Standing.SUSPECT:
            self._suspicions.add(member.host, now)
            if rng.random() * (len(self.view) + 1) < EXPECTED_SUSPECT_PROBES:
                self._send(member, rng)
        self._notify(member.host)
        if is_propagated and _is_urgent(known, member):
            self._has_urgent_change = True
        for host in self._filter.admit(member, rng):
            self._forget(host)

    def _notify(self, host: str) -> None:
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
            self._has_urgent_change = True
        elif held > own:
            self._own = self._with_counter(held.counter + 1)
            self._has_urgent_change = True

    def _note_revision(self, revision: Revision, host: str) -> None:
        if revision.number > self._revision.number:
            self._revision = revision
            self._commands.append(msg.RevisionHeard(revision, host))
            self._has_urgent_change = True

    # Replies and repairs.

    def _reply(self, message: msg.Gossip, rng: Randomness) -> None:
        members = self._look_up(message.lookups)
        members.extend(self.view.find(message.wanted))
        versions: tuple[msg.HeldVersion, ...] = ()
        view = message.view
        if view is not None and self._differs(view):
            versions = self.view.versions(
                view.service, MAX_VERSIONS_PER_MESSAGE
            )
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
        to_send, wanted = self.view.differences(
            message.view.service, message.versions
        )
        wanted = [host for host in wanted if host != self._own.host]
        peer = message.sender
        to_send = [one for one in to_send if one.host != peer.host]
        if to_send or wanted:
            sent = self._compose(peer, to_send[:MAX_REPAIRS_PER_MESSAGE], rng)
            self._commands.append(
                msg.SendGossip(
                    peer.host,
                    peer.peers_grpc,
                    replace(
                        sent, wanted=tuple(wanted[:MAX_REPAIRS_PER_MESSAGE])
                    ),
                )
            )

    def _look_up(self, services: Iterable[str]) -> list[Member]:
        found: list[Member] = []
        for service in services:
            if service and service != self._own.service:
                found.extend(
                    list(self.view.live(service))[:MAX_LOOKUPS_PER_MESSAGE]
                )
        return found

    # Periodic work.

    def _tick(self, now: float, rng: Randomness) -> None:
        self._remove_suspects(now)
        self.view.forget_gone(now)
        if now >= self._probe_at:
            self._probe_at = now + PROBE_INTERVAL_S
            self._probe(rng)
        is_alone = len(self.view) == 0
        if now >= self._rejoin_at:
            interval_s = (
                REJOIN_ALONE_INTERVAL_S if is_alone else REJOIN_INTERVAL_S
            )
            self._rejoin_at = now + interval_s
            self._try_rejoin(rng)

    def _remove_suspects(self, now: float) -> None:
        for suspect in self.view.find(self._suspicions.take_expired(now)):
            self.view.put(replace(suspect, standing=Standing.GONE), now)
            self._notify(suspect.host)

    def _probe(self, rng: Randomness) -> None:
        service = msg.ALL_SERVICES
        if not self.keeps_all:
            service = pick_random(self._filter.services(), rng)
        peer = choose_peer(self._own, self.view.live(service), rng)
        if peer is not None:
            self._send(peer, rng)

    def _try_rejoin(self, rng: Randomness) -> None:
        """Contact a host that is considered gone and a known address.

        This joins the fleet at first, and reunites it after a partition.
        """
        gone = self.view.gone_hosts()
        if gone:
            self._send(self.view.members_by_host[pick_random(gone, rng)], rng)
        others = list(self._addresses)
        if self._own.peers_grpc in others:
            others.remove(self._own.peers_grpc)
        if others:
            message = replace(
                msg.Gossip(self._own),
                view=self._view_digest(self._own.service),
                lookups=tuple(
                    self._filter.unknown_services()[:MAX_LOOKUPS_PER_MESSAGE]
                ),
                revision=self._revision,
            )
            self._commands.append(
                msg.SendGossip('', pick_random(others, rng), message)
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
        self._notify(host)

    # Events of this daemon.

    def _handle_local(self, event: msg.LocalEvent) -> None:
        match event:
            case msg.OwnChanged():
                self._change_own(event)
            case msg.ServiceFollowed(service):
                self._follow(service)
            case msg.ServiceUnfollowed(service):
                self._filter.unfollow(service)
            case msg.AddressesLearned(addresses):
                self._addresses = addresses
            case msg.RevisionLearned(revision):
                self._note_revision(revision, self._own.host)
            case msg.DaemonStopping():
                self._leave()

    def _leave(self) -> None:
        left = self._with_counter(self._own.counter + 1)
        self._own = replace(left, standing=Standing.GONE)
        self._has_urgent_change = True

    def _change_own(self, event: msg.OwnChanged) -> None:
        own = self._own
        if event.service != own.service or event.state is not own.state:
            own = self._with_counter(own.counter + 1)
            self._has_urgent_change = True
        if event.revision != own.revision:
            # Peers that wait for its sections can fetch them from here.
            self._has_urgent_change = True
        self._filter.own_service = event.service
        self._own = replace(
            own,
            service=event.service,
            state=event.state,
            report=event.report,
            revision=event.revision,
            beat=own.beat + 1,
        )

    def _with_counter(self, counter: int) -> Member:
        return replace(self._own, counter=counter, standing=Standing.ALIVE)

    def _follow(self, service: str) -> None:
        if service not in self._filter.followed:
            self._filter.follow(service)
            if service in self._filter.unknown_services():
                self._commands.append(msg.LookUpService(service))

    # Outgoing messages.

    def _send_urgent(self, now: float, rng: Randomness) -> None:
        if not self._has_urgent_change or now < self._urgent_at:
            return
        self._has_urgent_change = False
        self._urgent_at = now + URGENT_INTERVAL_S
        contacted: set[str] = set()
        for number in range(URGENT_FANOUT):
            to_own_service = number % 2 == 0 and not self.keeps_all
            service = self._own.service if to_own_service else msg.ALL_SERVICES
            peer = choose_peer(self._own, self.view.live(service), rng)
            if peer is not None and peer.host not in contacted:
                contacted.add(peer.host)
                self._send(peer, rng)

    def _send(self, peer: Member, rng: Randomness) -> None:
        message = replace(
            self._compose(peer, (), rng),
            view=self._view_digest(peer.service),
            lookups=tuple(
                self._filter.unknown_services()[:MAX_LOOKUPS_PER_MESSAGE]
            ),
        )
        self._commands.append(
            msg.SendGossip(peer.host, peer.peers_grpc, message)
        )

    def _compose(
        self, peer: Member, members: Iterable[Member], rng: Randomness
    ) -> msg.Gossip:
        service = msg.ALL_SERVICES if self.keeps_all else peer.service
        changes = list(members)
        changes.extend(
            self.view.take_changes(peer.host, service, MAX_CHANGES_PER_MESSAGE)
        )
        changes.extend(self._filter.sample_others(rng))
        held = self.view.get(peer.host)
        return msg.Gossip(
            self._own,
            tuple(changes),
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
        self._filter.forget(host)
        self._suspicions.clear(host)
        self._commands.append(msg.MemberGone(host))


def _is_urgent(known: Member | None, member: Member) -> bool:
    if known is None or member.standing is Standing.GONE:
        return True
    return known.state is not member.state
