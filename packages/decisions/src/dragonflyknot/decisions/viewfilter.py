"""Select the members that a daemon keeps in its view.

In a small fleet a daemon keeps every member. In a large one it keeps those of
its own service, those of the services that it follows (which it calls), and a
random sample of the others.
"""

from dragonflyknot.decisions.hostsample import HostSample
from dragonflyknot.decisions.members import Member
from dragonflyknot.decisions.memberview import MemberView
from dragonflyknot.decisions.randomness import Randomness

MAX_FULL_VIEW_MEMBERS = 128
MAX_SAMPLED_MEMBERS = 64
OTHERS_PER_MESSAGE = 2


class ViewFilter:
    """Decide which members stay in a view."""

    def __init__(self, view: MemberView, own_service: str) -> None:
        """Keep all members if the view is small enough."""
        self.own_service = own_service
        self.keeps_all = len(view) <= MAX_FULL_VIEW_MEMBERS
        self.followed: set[str] = set()
        self._view = view
        self._others = HostSample(MAX_SAMPLED_MEMBERS)
        if not self.keeps_all:
            self._others.load(self._unfollowed_hosts())

    def covers(self, service: str) -> bool:
        """Return whether all members of a service are kept."""
        is_own = service == self.own_service
        return self.keeps_all or is_own or service in self.followed

    def services(self) -> list[str]:
        """Return the daemon's own service and those that it follows, sorted."""
        return sorted({self.own_service, *self.followed})

    def unknown_services(self) -> list[str]:
        """Return the followed services without a known live member, sorted."""
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
        """Keep the members of a service only as candidates for the sample."""
        self.followed.discard(service)
        if not self.covers(service):
            self._others.load(one.host for one in self._view.live(service))

    def admit(self, member: Member, rng: Randomness) -> list[str]:
        """Account for a member added to the view; return the hosts to evict."""
        if self.keeps_all and len(self._view) > MAX_FULL_VIEW_MEMBERS:
            self.keeps_all = False
            self._others.load(self._unfollowed_hosts())
        if self.covers(member.service):
            return []
        return self._others.add(member.host, rng)

    def forget(self, host: str) -> None:
        """Remove a host that is no longer in the view from the sample."""
        self._others.discard(host)

    def sample_others(self, rng: Randomness) -> list[Member]:
        """Return a few sampled members to include in a message.

        This spreads knowledge of them through a large fleet.
        """
        if self.keeps_all:
            return []
        return self._view.find(self._others.draw(OTHERS_PER_MESSAGE, rng))

    def _unfollowed_hosts(self) -> list[str]:
        return [
            member.host
            for member in self._view.live()
            if not self.covers(member.service)
        ]
