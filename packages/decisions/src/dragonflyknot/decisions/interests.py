"""Which members a daemon keeps: all, or those that concern it.

A small fleet is kept whole. In a large one a daemon keeps its own service,
the services that it follows and a sample of the others.
"""

from dragonflyknot.decisions.hostsample import HostSample
from dragonflyknot.decisions.members import Member
from dragonflyknot.decisions.memberview import MemberView
from dragonflyknot.decisions.randomness import Randomness

WHOLE_VIEW_MEMBERS = 128
OTHERS_KEPT = 64
SAMPLED_OTHERS = 2


class Interests:
    """Decide which members of a view stay in it."""

    def __init__(self, view: MemberView, own_service: str) -> None:
        """Keep all members while they are few."""
        self.own_service = own_service
        self.keeps_all = len(view) <= WHOLE_VIEW_MEMBERS
        self.followed: set[str] = set()
        self._view = view
        self._others = HostSample(OTHERS_KEPT)
        if not self.keeps_all:
            self._others.load(self._unfollowed())

    def covers(self, service: str) -> bool:
        """Return whether all members of a service are kept."""
        own = service == self.own_service
        return self.keeps_all or own or service in self.followed

    def services(self) -> list[str]:
        """Return the services of which all members are kept by name."""
        return sorted({self.own_service, *self.followed})

    def missing(self) -> list[str]:
        """Return the followed services of which no member is known."""
        return [
            service
            for service in sorted(self.followed)
            if not any(True for _ in self._view.live(service))
        ]

    def follow(self, service: str) -> None:
        """Keep all members of a service from now on."""
        self.followed.add(service)
        for member in self._view.live(service):
            self._others.discard(member.host)

    def unfollow(self, service: str) -> None:
        """Let the members of a service become others."""
        self.followed.discard(service)
        if not self.covers(service):
            self._others.load(one.host for one in self._view.live(service))

    def bound(self, member: Member, rng: Randomness) -> list[str]:
        """Return the hosts that leave the view for one that came."""
        if self.keeps_all and len(self._view) > WHOLE_VIEW_MEMBERS:
            self.keeps_all = False
            self._others.load(self._unfollowed())
        if self.covers(member.service):
            return []
        return self._others.add(member.host, rng)

    def forget(self, host: str) -> None:
        """Note that a host left the view."""
        self._others.discard(host)

    def sample(self, rng: Randomness) -> list[Member]:
        """Return some others, which spread through the fleet this way."""
        if self.keeps_all:
            return []
        return self._view.find(self._others.draw(SAMPLED_OTHERS, rng))

    def _unfollowed(self) -> list[str]:
        return [
            member.host
            for member in self._view.live()
            if not self.covers(member.service)
        ]
