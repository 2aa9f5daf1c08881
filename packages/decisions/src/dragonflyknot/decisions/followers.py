"""Select the hosts of a region that follow the change feeds of the store.

If every host of the site followed the feeds, each change would cause a read
of the store by all of them. A few hosts per region follow them; the others
learn of changes from peers. All hosts derive the same order from hashes of
the host names, and the first ones that live and reach the store follow.

Nobody needs to know which hosts live. Each host asks the nearest one before
it in the order how many hosts follow up to there, and goes back to the next
one if there is no answer. So the first host that lives finds nobody before
it, whichever others are lost, and follows.

Hosts that are about to follow, or try to in vain, count as well at first. The
longer too few hosts follow, the more of them are passed over.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.siteview import SiteEntry

FOLLOWERS_PER_REGION: Final = 3
DOUBT_S: Final = 3.0
LONGEST_DOUBT_S: Final = 24.0
COUNT_VALID_S: Final = 2.0
STARTERS_DOUBLE_S: Final = 0.5
MAX_DOUBLINGS: Final = 16
FIRST_SUSPECTS: Final = 4
BATCH_GROWTH: Final = 4


@dataclass(frozen=True, slots=True)
class FollowerCount:
    """Count the hosts of a region up to one of them in the order.

    `following` hosts follow the store. `starting` ones are about to, or the
    store does not answer them.
    """

    following: int = 0
    starting: int = 0

    def plus(self, other: 'FollowerCount') -> 'FollowerCount':
        """Return the sum of two counts."""
        return FollowerCount(
            self.following + other.following, self.starting + other.starting
        )

    def essence(self) -> 'FollowerCount':
        """Return what matters to later hosts; more followers don't."""
        if self.following < FOLLOWERS_PER_REGION:
            return self
        return FollowerCount(FOLLOWERS_PER_REGION)


@dataclass(slots=True)
class _Doubt:
    """Remember a host that did not answer, until when it is not asked."""

    until: float
    length_s: float


class FollowerChoice:
    """Decide whether a host follows, and whom it asks about that.

    All times are in monotonic seconds. `preceding` counts the hosts before
    this one, as told by the nearest one that answered.
    """

    def __init__(self, host: str, region: str) -> None:
        """Start without an answer; the arguments locate this host."""
        self._host = host
        self._region = region
        self._doubts_by_host: dict[str, _Doubt] = {}
        self._counted_at = float('-inf')
        self._lacking_since = float('inf')
        self._is_chosen = False
        self.preceding: FollowerCount | None = None

    def record_preceding(self, preceding: FollowerCount, now: float) -> None:
        """Record how many of the hosts before this one follow."""
        self.preceding = preceding
        self._counted_at = now

    def record_answer(self, host: str) -> None:
        """Record that a host answered."""
        self._doubts_by_host.pop(host, None)

    def record_silence(self, host: str, now: float) -> None:
        """Record that a host did not answer; it is asked ever less often."""
        doubt = self._doubts_by_host.get(host)
        length_s = DOUBT_S if doubt is None else 2 * doubt.length_s
        length_s = min(LONGEST_DOUBT_S, length_s)
        self._doubts_by_host[host] = _Doubt(now + length_s, length_s)

    def choose(self, now: float) -> bool:
        """Decide whether this host follows the store from now on."""
        preceding = self.preceding
        if preceding is None or preceding.following >= FOLLOWERS_PER_REGION:
            self._lacking_since = float('inf')
            self._is_chosen = False
            return False
        self._lacking_since = min(self._lacking_since, now)
        if not self._is_chosen:
            passed_over = self._max_starters(now)
            others = preceding.following + preceding.starting
            self._is_chosen = others < passed_over
        return self._is_chosen

    def count(self, own: FollowerCount, now: float) -> FollowerCount | None:
        """Return the count up to this host, None if it is not known lately.

        `own` is what this host adds to it.
        """
        if self.preceding is None or now > self._counted_at + COUNT_VALID_S:
            return None
        return self.preceding.plus(own)

    def backoff_ratio(self) -> float:
        """Return how much longer this host rests than the first ones.

        If the store answers nobody, all hosts together call it only a few
        times as often as the first ones alone.
        """
        if self.preceding is None:
            return 1
        others = self.preceding.following + self.preceding.starting
        return max(1, others / FOLLOWERS_PER_REGION)

    def batches(
        self, entries: Iterable[SiteEntry], now: float
    ) -> Iterator[list[SiteEntry]]:
        """Yield the hosts before this one to ask, the nearest ones first.

        The next batch is meant to be asked if none of the last one answered.
        The first one ends with a host that answered last time; hosts before
        it that did not may be back.
        """
        preceding = self._preceding(entries)
        self._forget_doubts(preceding)
        hosts = [one for one in preceding if not self._is_doubted(one, now)]
        size = self._first_batch_size(hosts)
        while hosts:
            yield hosts[:size]
            hosts = hosts[size:]
            size *= BATCH_GROWTH

    def _max_starters(self, now: float) -> int:
        """Return how many other followers and starters keep this host back."""
        doublings = (now - self._lacking_since) / STARTERS_DOUBLE_S
        return FOLLOWERS_PER_REGION << min(MAX_DOUBLINGS, int(doublings))

    def _first_batch_size(self, hosts: list[SiteEntry]) -> int:
        suspects = 0
        for entry in hosts[:FIRST_SUSPECTS]:
            if entry.place.host not in self._doubts_by_host:
                break
            suspects += 1
        return suspects + 1

    def _is_doubted(self, entry: SiteEntry, now: float) -> bool:
        doubt = self._doubts_by_host.get(entry.place.host)
        return doubt is not None and now < doubt.until

    def _forget_doubts(self, preceding: list[SiteEntry]) -> None:
        listed = {entry.place.host for entry in preceding}
        for host in self._doubts_by_host.keys() - listed:
            self._doubts_by_host.pop(host)

    def _preceding(self, entries: Iterable[SiteEntry]) -> list[SiteEntry]:
        """Return the hosts of the region before this one, nearest first."""
        own_position = position_of(self._host)
        preceding = [
            entry
            for entry in entries
            if entry.place.region == self._region
            and not entry.is_gone
            and position_of(entry.place.host) < own_position
        ]
        return sorted(preceding, key=_position, reverse=True)


def _position(entry: SiteEntry) -> bytes:
    return position_of(entry.place.host)
