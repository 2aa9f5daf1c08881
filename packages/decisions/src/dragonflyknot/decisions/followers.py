"""Select the hosts of a region that follow the change feed of the host table.

If every host of the site followed the feed, each change would cause a read
of the store by all of them. A few hosts per region follow it; the others
learn of changes by gossip and read the table periodically. All hosts derive
the same order from hashes of the host names.
"""

from collections.abc import Iterable
from typing import Final

from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.siteview import SiteEntry

FOLLOWERS_PER_REGION: Final = 3


def follows(
    host: str,
    region: str,
    entries: Iterable[SiteEntry],
    unreachable_hosts: set[str],
) -> bool:
    """Tell whether a host is one of the followers of its region.

    `unreachable_hosts` did not respond recently; they are skipped.
    """
    others = (
        entry.place.host
        for entry in entries
        if entry.place.region == region
        and entry.place.host != host
        and entry.place.host not in unreachable_hosts
        and not entry.is_gone
    )
    own_position = position_of(host)
    preceding = sum(position_of(other) < own_position for other in others)
    return preceding < FOLLOWERS_PER_REGION
