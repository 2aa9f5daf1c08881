"""Select the hosts of a region that follow the change feeds of the store.

If every host of the site followed the feeds, each change would cause a read
of the store by all of them. A few hosts per region follow them; the others
learn of changes from peers. All hosts derive the same order from hashes of
the host names.

The next hosts in the order are standbys: they check on the followers before
them, and take over from one that does not respond or has lost the store.
"""

from collections.abc import Iterable
from typing import Final

from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.siteview import SiteEntry

FOLLOWERS_PER_REGION: Final = 3
STANDBYS_PER_REGION: Final = 4
# A standby checks once a second; a doubt lasts over a check that is late.
DOUBT_S: Final = 3.0


def follows(
    host: str,
    region: str,
    entries: Iterable[SiteEntry],
    unreachable_hosts: set[str],
) -> bool:
    """Tell whether a host is one of the followers of its region.

    `unreachable_hosts` did not respond recently; they are skipped.
    """
    preceding = _preceding(host, region, entries)
    count = sum(one.place.host not in unreachable_hosts for one in preceding)
    return count < FOLLOWERS_PER_REGION


class FollowerChoice:
    """Decide whether a host follows, and on whom it checks.

    All times are in monotonic seconds.
    """

    def __init__(self, host: str, region: str) -> None:
        """Start without doubts; the arguments locate this host."""
        self._host = host
        self._region = region
        self._doubted_until_by_host: dict[str, float] = {}

    def end_doubt(self, host: str) -> None:
        """Record that a host responded and is served by the store."""
        self._doubted_until_by_host.pop(host, None)

    def record_doubt(self, host: str, now: float) -> None:
        """Record that a host did not respond, or has lost the store."""
        self._doubted_until_by_host[host] = now + DOUBT_S

    def follows(self, entries: Iterable[SiteEntry], now: float) -> bool:
        """Tell whether this host is one of the followers of its region."""
        return follows(
            self._host, self._region, entries, self._doubted_hosts(now)
        )

    def hosts_to_check(
        self, entries: Iterable[SiteEntry], now: float
    ) -> list[SiteEntry]:
        """Return the hosts before this one that should follow.

        The list ends with the last follower; doubted hosts before it are
        checked too, as they may have come back.
        """
        preceding = _preceding(self._host, self._region, entries)
        if len(preceding) >= FOLLOWERS_PER_REGION + STANDBYS_PER_REGION:
            return []
        doubted_hosts = self._doubted_hosts(now)
        checked: list[SiteEntry] = []
        trusted = 0
        for entry in sorted(preceding, key=_position):
            if trusted == FOLLOWERS_PER_REGION:
                break
            checked.append(entry)
            trusted += entry.place.host not in doubted_hosts
        return checked

    def _doubted_hosts(self, now: float) -> set[str]:
        return {
            host
            for host, until in self._doubted_until_by_host.items()
            if until > now
        }


def _preceding(
    host: str, region: str, entries: Iterable[SiteEntry]
) -> list[SiteEntry]:
    """Return the hosts of a region before a host, in any order."""
    own_position = position_of(host)
    return [
        entry
        for entry in entries
        if entry.place.region == region
        and not entry.is_gone
        and position_of(entry.place.host) < own_position
    ]


def _position(entry: SiteEntry) -> bytes:
    return position_of(entry.place.host)
