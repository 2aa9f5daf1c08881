"""The members that a daemon knows, indexed for gossip.

The view keeps the highest version of each member, a digest per service that
two daemons compare, and how often each recent change still has to be sent.
A member that is gone is kept for some time as a tombstone, so that delayed
messages do not restore it.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import replace
from hashlib import blake2b

from dragonflyknot.decisions.members import (
    ALL_SERVICES,
    HeldVersion,
    Member,
    Standing,
    Version,
    version_of,
)

GONE_RETENTION_S = 600.0
MAX_GONE_MEMBERS = 512
SENDS_PER_FLEET_DOUBLING = 2
_DIGEST_BYTES = 8


class MemberView:
    """Hold the highest known version of each member."""

    def __init__(self) -> None:
        """Create an empty view."""
        self.members_by_host: dict[str, Member] = {}
        self._hosts_by_service: dict[str, dict[str, None]] = {}
        self._digests_by_service: dict[str, int] = {}
        self._gone_at_by_host: dict[str, float] = {}
        self._sends_left_by_host: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of members that are not gone."""
        return len(self.members_by_host) - len(self._gone_at_by_host)

    def get(self, host: str) -> Member | None:
        """Return the member of a host, also if it is gone; None if unknown."""
        return self.members_by_host.get(host)

    def live(self, service: str = ALL_SERVICES) -> Iterator[Member]:
        """Yield the members of a service, or of all, that are not gone."""
        if service == ALL_SERVICES:
            hosts: Iterable[str] = self.members_by_host
        else:
            hosts = self._hosts_by_service.get(service, ())
        for host in hosts:
            member = self.members_by_host[host]
            if member.standing is not Standing.GONE:
                yield member

    def gone_hosts(self) -> list[str]:
        """Return the hosts that are kept as gone, oldest first."""
        return list(self._gone_at_by_host)

    def digest(self, service: str, own: Member) -> int:
        """Return a hash of the live versions of a service, or of all.

        `own` is this daemon, which its own view does not contain.
        """
        digest = self._digests_by_service.get(service, 0)
        if service in {ALL_SERVICES, own.service}:
            return digest ^ _version_hash(own)
        return digest

    def put(
        self, member: Member, now: float, *, is_propagated: bool = True
    ) -> bool:
        """Store a member if its version is higher; return whether it was.

        Otherwise only a newer load report is taken over. `is_propagated`
        marks the change for sending to peers.
        """
        known = self.members_by_host.get(member.host)
        if known is not None and version_of(member) <= version_of(known):
            self._update_report(known, member)
            return False
        if known is not None:
            self._remove(known)
            if known.incarnation == member.incarnation:
                member = _with_latest_report(member, known)
        self._insert(member, now)
        if is_propagated:
            self._sends_left_by_host[member.host] = self._send_count()
        return True

    def drop(self, host: str) -> None:
        """Remove a host without keeping its last version."""
        self._remove(self.members_by_host[host])
        self._sends_left_by_host.pop(host, None)

    def forget_gone(self, now: float) -> None:
        """Remove gone hosts past their retention period or excess number."""
        excess = len(self._gone_at_by_host) - MAX_GONE_MEMBERS
        for host, gone_at in list(self._gone_at_by_host.items()):
            if excess <= 0 and now - gone_at < GONE_RETENTION_S:
                break
            excess -= 1
            self.drop(host)

    def take_changes(
        self, receiver: str, service: str, limit: int
    ) -> list[Member]:
        """Return up to `limit` changes for a receiver, least sent first.

        Each counts as sent once more. Only members of `service` are
        returned.
        """
        hosts = [
            host
            for host in self._sends_left_by_host
            if host != receiver and self._is_in_service(host, service)
        ]
        hosts.sort(key=self._sends_left_by_host.__getitem__, reverse=True)
        return [self._count_send(host) for host in hosts[:limit]]

    def find(self, hosts: Iterable[str]) -> list[Member]:
        """Return the members of those hosts that are known."""
        known = (self.members_by_host.get(host) for host in hosts)
        return [member for member in known if member is not None]

    def versions(self, service: str, limit: int) -> tuple[HeldVersion, ...]:
        """Return up to `limit` versions of a service, gone members first."""
        hosts = [
            host
            for host in self._gone_at_by_host
            if self._is_in_service(host, service)
        ]
        hosts.extend(member.host for member in self.live(service))
        return tuple(
            HeldVersion(host, version_of(self.members_by_host[host]))
            for host in hosts[:limit]
        )

    def differences(
        self, service: str, theirs: Iterable[HeldVersion]
    ) -> tuple[list[Member], list[str]]:
        """Return members that are newer here, and hosts newer at the peer."""
        theirs_by_host = {held.host: held.version for held in theirs}
        to_send = [
            member
            for member in self.live(service)
            if member.host not in theirs_by_host
        ]
        wanted: list[str] = []
        for host, version in theirs_by_host.items():
            if self._is_older(host, version):
                wanted.append(host)
            elif self._is_newer(host, version):
                to_send.append(self.members_by_host[host])
        return to_send, wanted

    def _is_older(self, host: str, version: Version) -> bool:
        known = self.members_by_host.get(host)
        if known is None:
            return version.standing is not Standing.GONE
        return version_of(known) < version

    def _is_newer(self, host: str, version: Version) -> bool:
        known = self.members_by_host.get(host)
        return known is not None and version_of(known) > version

    def _update_report(self, known: Member, member: Member) -> None:
        if known.incarnation == member.incarnation:
            self.members_by_host[known.host] = _with_latest_report(
                known, member
            )

    def _is_in_service(self, host: str, service: str) -> bool:
        if service == ALL_SERVICES:
            return True
        return self.members_by_host[host].service == service

    def _count_send(self, host: str) -> Member:
        self._sends_left_by_host[host] -= 1
        if self._sends_left_by_host[host] <= 0:
            self._sends_left_by_host.pop(host)
        return self.members_by_host[host]

    def _send_count(self) -> int:
        doublings = math.log2(len(self) + 2)
        return math.ceil(SENDS_PER_FLEET_DOUBLING * doublings)

    def _insert(self, member: Member, now: float) -> None:
        self.members_by_host[member.host] = member
        hosts = self._hosts_by_service.setdefault(member.service, {})
        hosts[member.host] = None
        if member.standing is Standing.GONE:
            self._gone_at_by_host[member.host] = now
        self._toggle_in_digests(member)

    def _remove(self, member: Member) -> None:
        self.members_by_host.pop(member.host)
        self._gone_at_by_host.pop(member.host, None)
        hosts = self._hosts_by_service[member.service]
        hosts.pop(member.host)
        if not hosts:
            self._hosts_by_service.pop(member.service)
        self._toggle_in_digests(member)

    def _toggle_in_digests(self, member: Member) -> None:
        if member.standing is Standing.GONE:
            return
        version_hash = _version_hash(member)
        self._toggle_digest(ALL_SERVICES, version_hash)
        if member.service != ALL_SERVICES:
            self._toggle_digest(member.service, version_hash)

    def _toggle_digest(self, service: str, version_hash: int) -> None:
        digest = self._digests_by_service.pop(service, 0) ^ version_hash
        if digest:
            self._digests_by_service[service] = digest


def _with_latest_report(member: Member, other: Member) -> Member:
    if other.beat <= member.beat:
        return member
    return replace(
        member,
        report=other.report,
        revision=other.revision,
        beat=other.beat,
    )


def _version_hash(member: Member) -> int:
    """Return a hash of a member's version, equal on all daemons."""
    text = (
        f'{member.host} {member.incarnation} {member.counter}'
        f' {member.standing.value}'
    )
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')
