"""Know the hosts of the site: by gossip, and by the table of the store.

A new process reads the table once. A host writes its row only when its
upstream changes. A few hosts of each region follow the table; `peergossip`
tells the others, and goes on while the store is out. `hostreaper` removes the
rows of hosts that nobody reaches.

A store that was restored from an older copy lacks rows, has older ones or
brings removed ones back. Each host writes its own row again; a row that is
absent then says nothing about its host, and a row that is back is removed.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

import structlog

from dragonflyknot.daemon.entrywriter import EntryWriter
from dragonflyknot.daemon.follower import TableFollower
from dragonflyknot.daemon.hostreaper import HostReaper
from dragonflyknot.daemon.peergossip import PeerGossip
from dragonflyknot.daemon.sitepolicy import SitePolicy
from dragonflyknot.daemon.sitesettings import SitePlatform, SiteSettings
from dragonflyknot.daemon.storefollowing import StoreFollowing
from dragonflyknot.daemon.tasks import keep_running
from dragonflyknot.daemon.timeofday import unix_ms
from dragonflyknot.decisions.balancer import Balancer
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.siteview import SiteEntry, SiteView
from dragonflyknot.decisions.upstreamdepartures import Departures
from dragonflyknot.decisions.upstreamstate import Upstream
from dragonflyknot.peers import sitewire
from dragonflyknot.peers.sitelinks import PeerLinks
from dragonflyknot.stores.rowstore import (
    RowName,
    Snapshot,
    StoreVersion,
    VersionedRow,
)

FEED_WAIT_S: Final = 5.0
FEED_PAUSE_S: Final = 1.0
# How long a restarted host waits for its own row, which says what an earlier
# process has acknowledged, before it goes by what peers know.
OWN_ROW_S: Final = 3.0
# Longest wait for the upstream's first announcement at a first start.
FIRST_ANNOUNCEMENT_S: Final = 4.0
# Hosts read a restored store one after another.
RESTORED_SPREAD_S: Final = 2.0
_log = structlog.get_logger(__name__)


class SiteMembers:
    """Own the view of the site's hosts."""

    def __init__(
        self,
        settings: SiteSettings,
        platform: SitePlatform,
        links: PeerLinks,
        balancer: Balancer,
        policy: SitePolicy,
    ) -> None:
        """Start without members."""
        self._settings = settings
        self._store = platform.store
        self._table = platform.hosts_table
        self._balancer = balancer
        self._policy = policy
        self._follower = TableFollower(
            platform.store,
            self._table,
            self._read,
            self.record_rows,
            wait_s=FEED_WAIT_S,
            is_wanted=self.is_follower,
            backoff_ratio=lambda: self.following.backoff_ratio,
            pause_s=FEED_PAUSE_S,
        )
        if not settings.is_first_start:
            self._follower.read_soon()
        self._listeners: list[Callable[[], None]] = []
        self.versions_by_host: dict[str, StoreVersion] = {}
        self._has_read = asyncio.Event()
        self._has_read_table = asyncio.Event()
        self._is_settled = False
        self._writer = EntryWriter(
            platform.store,
            RowName(platform.hosts_table, settings.host),
            lambda: self.view.own,
            self._entry_stored,
            self.record_rows,
        )
        self._own_row: bytes | None = None
        self._epoch = 0
        self.view = SiteView(settings.host)
        self.gossip = PeerGossip(settings, links, policy, self.view, self)
        self.following = StoreFollowing(
            settings,
            links,
            policy,
            self.view,
            self.gossip,
            lambda: self.is_following,
            self._follow_soon,
        )
        self._follower.subscribe(self.following.check_soon)
        policy.subscribe_following(self.following.check_soon)
        self.reaper = HostReaper(
            self._store, self._table, self, self.view, self.gossip
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when members change."""
        self._listeners.append(listener)

    @property
    def is_settled(self) -> bool:
        """Tell whether this process has learnt which hosts there are.

        It has after it has read the table, or when a peer knows the same.
        """
        return self._is_settled

    @property
    def has_store(self) -> bool:
        """Tell whether the store answers this host, about each table."""
        return self._follower.is_reachable and self._policy.has_store

    @property
    def is_following(self) -> bool:
        """Tell whether this host follows the feeds of all tables."""
        return self._follower.is_current and self._policy.is_following

    @property
    def silent_s(self) -> float:
        """Return the seconds since the last message of a peer."""
        return time.monotonic() - self.gossip.heard_at

    @property
    def epoch(self) -> int:
        """Return the highest epoch of the store that is known, 0 if none."""
        return max(self._epoch, self._store.epoch or 0)

    def is_follower(self) -> bool:
        """Tell whether this host has to follow the store."""
        return self.following.is_follower()

    def peer_addresses(self) -> list[str]:
        """Return where other daemons listen for peers, the nearest first."""
        return [one.place.address for one in self.gossip.choice.nearest_peers()]

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of the store that a peer knows.

        In a new one, the own row may be lost or older.
        """
        if epoch > self.epoch:
            loop = asyncio.get_running_loop()
            loop.call_later(
                random.random() * RESTORED_SPREAD_S, self._follower.read_soon
            )
        self._epoch = max(self._epoch, epoch)

    async def first_known(self) -> None:
        """Wait until other hosts are known, if there are any."""
        await self._has_read.wait()

    def entries(self) -> list[SiteEntry]:
        """Return the hosts that have not left."""
        return [
            entry
            for entry in self.view.entries_by_host.values()
            if not entry.is_gone
        ]

    def announce(
        self, upstream: Upstream | None, departures: Departures
    ) -> None:
        """Announce the own upstream to peers and in the store.

        Departures alone are announced if no upstream is in force.
        """
        entry = self._own_entry(upstream)
        if entry is None:
            return
        entry = replace(entry, departures=departures)
        if not self.view.adopt_own(entry):
            self._news([self.view.publish(entry, unix_ms())])
            self._writer.write_again()
            return
        if self._is_own_row_stored():
            self._writer.record_stored()
        self._writer.write_soon()

    def _own_entry(self, upstream: Upstream | None) -> SiteEntry | None:
        if upstream is None:
            return self.view.own
        settings = self._settings
        return SiteEntry(
            Place(
                host=settings.host,
                address=settings.peers_listen,
                data_center=settings.data_center,
                region=settings.region,
                service=settings.service,
                state=upstream.state,
                slots=upstream.slots,
            ),
            upstream.instance,
            upstream.born,
            sequence=upstream.sequence,
        )

    @property
    def departures(self) -> Departures:
        """Return the departures of the upstreams of this host."""
        own = self.view.own
        return () if own is None else own.departures

    async def kept(self) -> None:
        """Wait until the store holds what was announced last.

        Peers are told of departures meanwhile, as they are asked if the next
        process of this host doesn't reach the store.
        """
        await asyncio.gather(
            self._writer.stored(), self.gossip.tell_departures()
        )

    async def restored(self) -> Upstream | None:
        """Return the upstream that an earlier process of this host knew.

        What that process acknowledged is in the store, and peers may not know
        it yet, so they are asked only if the store does not answer.
        """
        try:
            async with asyncio.timeout(OWN_ROW_S):
                await self._has_read_table.wait()
        except TimeoutError:
            await self._has_read.wait()
        own = self.view.own
        if own is None or self.view.has_published:
            return None
        return Upstream(
            own.instance,
            own.born,
            own.place.state,
            own.place.slots,
            own.sequence,
        )

    def answer_stopping(self, content: bytes) -> bytes:
        """Answer a peer that stops: send it no attempts for a while."""
        host = content.decode('utf-8', 'replace')
        self._balancer.record_stopping(host, time.monotonic())
        return b''

    def remove(self, host: str, stamp: int = 0) -> None:
        """Remove a host that left; the own entry is published again."""
        self.versions_by_host.pop(host, None)
        own = self.view.own
        self.view.remove(host, stamp)
        if host == self._settings.host and own is not None:
            self._news([self.view.publish(own, unix_ms())])
            self._writer.write_again()
            return
        self._balancer.remove(host)
        self._notify_listeners()

    def merge(self, entries: Iterable[SiteEntry]) -> None:
        """Merge the entries of a peer or of the table."""
        own_before = self.view.own
        news = self.view.merge(entries)
        if not news:
            return
        self._news(news)
        if own_before is not None and self.view.own != own_before:
            self._writer.write_again()

    def settle(self) -> None:
        """Note that this process has learnt which hosts there are."""
        if not self._is_settled:
            self._is_settled = True
            self.following.settle()
            self._has_read.set()
            if self._settings.is_first_start:
                self._follower.cancel_read()
            self._notify_listeners()

    async def run(self) -> None:
        """Keep up until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_without_announcement())
            group.create_task(keep_running(self._follower.run))
            group.create_task(keep_running(self.gossip.compare_on))
            group.create_task(keep_running(self.gossip.push_on))
            group.create_task(keep_running(self.gossip.push_versions_on))
            group.create_task(keep_running(self.following.run))
            group.create_task(keep_running(self._writer.run))
            group.create_task(keep_running(self.reaper.run))

    def _read(self, snapshot: Snapshot) -> None:
        keys = {row.key for row in snapshot.rows}
        for host, version in tuple(self.versions_by_host.items()):
            if host in keys:
                continue
            if version.is_comparable(snapshot.version):
                self.remove(host)
            else:
                # The restored store may lack rows of hosts that are alive.
                self.versions_by_host.pop(host)
        self.record_rows(snapshot)
        self._keep_own_row(snapshot)
        self._has_read_table.set()
        self.settle()
        self._has_read.set()

    def record_rows(self, snapshot: Snapshot) -> None:
        """Merge the entries of rows that were read or have changed."""
        entries: list[SiteEntry] = []
        for row in snapshot.rows:
            entry = self._entry(row)
            if entry is not None:
                entries.append(entry)
        self.merge(entries)

    def _entry(self, row: VersionedRow) -> SiteEntry | None:
        if row.content is None:
            self.remove(row.key)
            return None
        if row.key == self._settings.host:
            self._writer.record_version(row.version)
        entry = sitewire.decode_entry(row.content, row.key)
        if entry is None or entry.place.host != row.key:
            self._restore_row(row.key, row.content)
            return None
        self.versions_by_host[row.key] = row.version
        if row.key == self._settings.host:
            self._own_row = row.content
        return entry

    def _is_own_row_stored(self) -> bool:
        own = self.view.own
        return own is not None and self._own_row == sitewire.encode_entry(own)

    def _keep_own_row(self, snapshot: Snapshot) -> None:
        """Write the own row again if the store has lost it or has an older."""
        own = self.view.own
        if own is None or not self._writer.has_stored:
            return
        stored = [
            row.content
            for row in snapshot.rows
            if row.key == self._settings.host
        ]
        if stored != [sitewire.encode_entry(own)]:
            _log.warning('entry_lost', stamp=own.stamp, rows=len(stored))
            self._writer.write_again()

    def _restore_row(self, host: str, content: bytes) -> None:
        """Write the own row again if another writer has spoilt it."""
        own = self.view.own
        if host != self._settings.host or own is None:
            return
        if content == sitewire.encode_entry(own):
            return
        if self._writer.is_idle:
            self._writer.write_again()

    def _news(self, entries: list[SiteEntry]) -> None:
        for entry in entries:
            self._balancer.update(entry.place)
        self.gossip.publish(entries)
        self._notify_listeners()

    def _follow_soon(self) -> None:
        self._follower.wake()
        self._policy.wake()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    async def _read_without_announcement(self) -> None:
        """Read the table if no upstream announces itself at a first start."""
        await asyncio.sleep(FIRST_ANNOUNCEMENT_S)
        if not self._has_read.is_set():
            self._follower.read_soon()

    def _entry_stored(self) -> None:
        if not self.gossip.choice.peers():
            # Of two hosts that start together, the later one to write reads
            # about the other.
            self._follower.read_soon()
