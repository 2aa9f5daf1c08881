"""The hosts of a site, merged from the store and from peers.

Each host owns one entry and raises its stamp, a version number, with every
change: to the time of day, or by one where that is not higher. So a restarted
host exceeds the stamps of an earlier process also where its last entry was
lost with the store.

The entry with the higher stamp wins regardless of its source. A host that
receives a higher stamp for its own entry, written by an earlier process,
continues from that stamp; until it has published an entry itself, it takes
the entry as it is. A removed host leaves a tombstone with its last stamp,
which is propagated like an entry; a host that is alive replaces its own
tombstone by an entry with a higher stamp.

The departures in an entry are not replaced with it: what two entries of a
host tell of them is merged, whichever entry wins, and kept with a tombstone.

Two hosts compare digests of buckets of hosts. Of the buckets that differ they
compare stamps and digests of departures, and exchange only the entries that
one of them lacks.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from hashlib import sha256
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.upstreamdepartures import (
    Departures,
    digest_of,
    union,
)

DIGEST_DIGITS: Final = 16
BUCKETS: Final = 32
BUCKET_DIGEST_DIGITS: Final = 6
MAX_TOMBSTONES: Final = 500
MAX_STAMP: Final = 10**15
"""Highest stamp taken from others; their hosts must be able to outdo it.

It is more than clocks in milliseconds and 32-bit numbers, and less than the
largest integers that writers use, to which no host could add.
"""


@dataclass(frozen=True, slots=True)
class SiteEntry:
    """Hold the entry that a host publishes about itself.

    `born` is the start of the upstream instance in Unix milliseconds,
    `sequence` the number of the heartbeat that announced the state, or -1, and
    `departures` are those of all upstreams that the host has had.
    """

    place: Place
    instance: str = ''
    born: int = 0
    stamp: int = 0
    sequence: int = -1
    departures: Departures = ()

    @property
    def is_gone(self) -> bool:
        """Tell whether the upstream of the host is gone."""
        return self.place.state is UpstreamState.GONE


@dataclass(frozen=True, slots=True)
class Stamps:
    """Hold the stamps of entries and of tombstones, by host.

    They cover the hosts of some buckets, or all hosts if `buckets` is None.
    `departures` holds digests, of hosts alone that have departures.
    """

    entries: Mapping[str, int]
    tombstones: Mapping[str, int]
    buckets: frozenset[int] | None = None
    departures: Mapping[str, str] = field(default_factory=dict)

    def covers(self, host: str) -> bool:
        """Tell whether the stamp of a host would be among these."""
        return self.buckets is None or bucket_of(host) in self.buckets


@dataclass(frozen=True, slots=True)
class _Tombstone:
    stamp: int
    departures: Departures


def bucket_of(host: str) -> int:
    """Return the number of the bucket of a host."""
    return position_of(host)[0] % BUCKETS


class SiteView:
    """Hold the newest known entry of every host.

    `has_published` tells whether this process has published the own entry.
    """

    def __init__(self, host: str) -> None:
        """Start without entries; `host` is the name of this host."""
        self._host = host
        self.entries_by_host: dict[str, SiteEntry] = {}
        self._digest = ''
        self._bucket_digests: tuple[str, ...] = ()
        self.has_published = False
        self._tombstones_by_host: dict[str, _Tombstone] = {}

    @property
    def own(self) -> SiteEntry | None:
        """Return the entry of this host."""
        return self.entries_by_host.get(self._host)

    def merge(self, entries: Iterable[SiteEntry]) -> list[SiteEntry]:
        """Merge received entries; return those that changed the view."""
        updates: list[SiteEntry] = []
        for entry in entries:
            merged = self._merged(entry)
            if merged is not None:
                self._store(merged)
                updates.append(merged)
        return updates

    def publish(self, entry: SiteEntry, now_ms: int) -> SiteEntry:
        """Replace the entry of this host; return it with its new stamp.

        `now_ms` is the time of day in Unix milliseconds.
        """
        stamped = replace(
            entry,
            stamp=max(now_ms, self._last_stamp(self._host) + 1),
            departures=union(self._departures(self._host), entry.departures),
        )
        self.has_published = True
        self._store(stamped)
        return stamped

    def remove(self, host: str, stamp: int = 0) -> None:
        """Replace the entry of a removed host by a tombstone.

        The tombstone keeps older entries of the host out. `stamp` is the one
        of the tombstone that another host has.
        """
        known = self.entries_by_host.pop(host, None)
        if known is not None:
            latest = max(known.stamp, stamp)
            self._add_tombstone(host, _Tombstone(latest, known.departures))
            self._forget_digests()

    def adopt_own(self, entry: SiteEntry) -> bool:
        """Go on with an earlier process's entry if it says the same.

        Return whether it does; otherwise an entry has to be published. A later
        heartbeat that says the same needs no new entry.
        """
        own = self.own
        if own is None:
            return False
        adopted = replace(
            entry,
            stamp=own.stamp,
            sequence=own.sequence,
            departures=union(own.departures, entry.departures),
        )
        if adopted != own:
            return False
        self.has_published = True
        return True

    def stamps(self, buckets: frozenset[int] | None = None) -> Stamps:
        """Return the stamps of some buckets to compare with another host."""
        covered = Stamps({}, {}, buckets).covers
        entries = {
            host: entry.stamp
            for host, entry in self.entries_by_host.items()
            if covered(host)
        }
        tombstones = {
            host: tombstone.stamp
            for host, tombstone in self._tombstones_by_host.items()
            if covered(host)
        }
        departures = {
            host: digest_of(entry.departures)
            for host, entry in self.entries_by_host.items()
            if entry.departures and covered(host)
        }
        return Stamps(entries, tombstones, buckets, departures)

    def newer_than(self, stamps: Stamps) -> list[SiteEntry]:
        """Return the entries that another host lacks or has outdated."""
        return [
            entry
            for host, entry in self.entries_by_host.items()
            if stamps.covers(host) and _tells_more(entry, stamps)
        ]

    def outdated_hosts(self, stamps: Stamps) -> list[str]:
        """Return the hosts of which another host has newer entries."""
        return [
            host
            for host, stamp in stamps.entries.items()
            if stamp > self._last_stamp(host)
            or self._lacks_departures(host, stamps)
        ]

    def lacking_departures(
        self, entries: Iterable[SiteEntry]
    ) -> list[SiteEntry]:
        """Return the known entries of hosts with more departures than these."""
        known = (
            (entry, self.entries_by_host.get(entry.place.host))
            for entry in entries
        )
        return [
            here
            for there, here in known
            if here is not None
            and union(there.departures, here.departures) != there.departures
        ]

    def removed_elsewhere(self, stamps: Stamps) -> list[str]:
        """Return the hosts with an entry here that another host has removed."""
        return [
            host
            for host, stamp in stamps.tombstones.items()
            if host in self.entries_by_host
            and stamp >= self.entries_by_host[host].stamp
        ]

    def digest(self) -> str:
        """Return a digest of the entries; equal entries give equal digests."""
        if not self._digest:
            self._digest = _digest_of(self.bucket_digests(), DIGEST_DIGITS)
        return self._digest

    def bucket_digests(self) -> tuple[str, ...]:
        """Return a digest of the entries of each bucket."""
        if not self._bucket_digests:
            stamps: list[list[str]] = [[] for _ in range(BUCKETS)]
            for host, entry in self.entries_by_host.items():
                departures = digest_of(entry.departures)
                stamps[bucket_of(host)].append(
                    f'{host}={entry.stamp}{departures}'
                )
            self._bucket_digests = tuple(
                _digest_of(sorted(one), BUCKET_DIGEST_DIGITS) for one in stamps
            )
        return self._bucket_digests

    def differing_buckets(
        self, digests: tuple[str, ...]
    ) -> frozenset[int] | None:
        """Return the buckets whose digests differ from another host's.

        Return None if the other host has other buckets.
        """
        own = self.bucket_digests()
        if len(digests) != len(own):
            return None
        return frozenset(
            number
            for number, (here, there) in enumerate(
                zip(own, digests, strict=True)
            )
            if here != there
        )

    def _merged(self, entry: SiteEntry) -> SiteEntry | None:
        """Return what is to be stored of a received entry, None if nothing."""
        host = entry.place.host
        known = self.entries_by_host.get(host)
        known_departures = self._departures(host)
        departures = union(known_departures, entry.departures)
        is_newer = entry.stamp > self._last_stamp(host)
        if not is_newer and departures == known_departures:
            return None
        if known is None:
            return replace(entry, departures=departures) if is_newer else None
        if host == self._host and self.has_published:
            # Another host or an earlier process wrote this entry.
            stamp = max(known.stamp, entry.stamp) + 1
            return replace(known, stamp=stamp, departures=departures)
        newest = entry if is_newer else known
        return replace(newest, departures=departures)

    def _departures(self, host: str) -> Departures:
        known = self.entries_by_host.get(host)
        if known is not None:
            return known.departures
        tombstone = self._tombstones_by_host.get(host)
        return () if tombstone is None else tombstone.departures

    def _lacks_departures(self, host: str, stamps: Stamps) -> bool:
        known = self.entries_by_host.get(host)
        there = stamps.departures.get(host, '')
        return known is not None and there not in {
            '',
            digest_of(known.departures),
        }

    def _last_stamp(self, host: str) -> int:
        known = self.entries_by_host.get(host)
        tombstone = self._tombstones_by_host.get(host)
        return max(
            -1 if known is None else known.stamp,
            -1 if tombstone is None else tombstone.stamp,
        )

    def _add_tombstone(self, host: str, tombstone: _Tombstone) -> None:
        self._tombstones_by_host[host] = tombstone
        if len(self._tombstones_by_host) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones_by_host))
            self._tombstones_by_host.pop(oldest)

    def _store(self, entry: SiteEntry) -> None:
        self.entries_by_host[entry.place.host] = entry
        self._tombstones_by_host.pop(entry.place.host, None)
        self._forget_digests()

    def _forget_digests(self) -> None:
        self._digest = ''
        self._bucket_digests = ()


def _tells_more(entry: SiteEntry, stamps: Stamps) -> bool:
    """Tell whether an entry is newer or has departures that others lack."""
    host = entry.place.host
    if entry.stamp <= stamps.tombstones.get(host, -1):
        return False
    if entry.stamp > stamps.entries.get(host, -1):
        return True
    if not entry.departures:
        return False
    return digest_of(entry.departures) != stamps.departures.get(host, '')


def _digest_of(texts: Iterable[str], digits: int) -> str:
    return sha256('\n'.join(texts).encode()).hexdigest()[:digits]
