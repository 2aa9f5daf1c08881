"""Know the hosts of the site: by gossip, and by the table of the store.

A host writes its row only when its upstream changes. A few hosts of each
region follow the table. Whoever hears news passes it on to some peers at
once, and one comparison with a random peer a second finds what that missed;
both go on while the store is out. Rows of hosts that left, or that nobody
reaches, are removed by their peers under the condition that they have not
changed.

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

from dragonflyknot.daemon.follower import TableFollower
from dragonflyknot.daemon.sitepolicy import SitePolicy
from dragonflyknot.daemon.sitesettings import SitePlatform, SiteSettings
from dragonflyknot.decisions import followers
from dragonflyknot.decisions.balancer import Balancer, Place
from dragonflyknot.decisions.siteview import SiteEntry, SiteView, Stamps
from dragonflyknot.decisions.upstreamstate import Upstream
from dragonflyknot.exchange.clientlink import LinkLost
from dragonflyknot.peers import sitewire
from dragonflyknot.peers.sitelinks import PeerLinks
from dragonflyknot.stores.rowstore import (
    RowName,
    Snapshot,
    StoreOut,
    StoreVersion,
    VersionedRow,
)

GOSSIP_S: Final = 1.0
GOSSIP_WITHOUT_STORE_S: Final = 0.35
GOSSIP_TIMEOUT_S: Final = 0.5
NEAR_SHARE: Final = 0.75
WRITE_PAUSE_S: Final = 0.3
REAP_S: Final = 5.0
LOST_AFTER_S: Final = 15.0
MAX_ENTRIES: Final = 200
FEED_PAUSE_S: Final = 0.3
PUSH_PAUSE_S: Final = 0.1
PUSHED_TO: Final = 2
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
        self._links = links
        self._balancer = balancer
        self._policy = policy
        self._follower = TableFollower(
            platform.store,
            self._table,
            self._read,
            self._changed,
            is_wanted=self._follows,
            pause_s=FEED_PAUSE_S,
        )
        self._to_push: dict[str, SiteEntry] = {}
        self._has_news = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._versions_by_host: dict[str, StoreVersion] = {}
        self._unreached_since_by_host: dict[str, float] = {}
        self._has_read = asyncio.Event()
        self._is_settled = False
        self._unwritten = asyncio.Event()
        self._written: asyncio.Future[None] | None = None
        self._restored: Upstream | None = None
        self.view = SiteView(settings.host)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when members change."""
        self._listeners.append(listener)

    @property
    def is_settled(self) -> bool:
        """Tell whether this process has learnt which hosts there are.

        It has after it has read the table, or when a peer knows the same.
        """
        return self._is_settled

    def peer_addresses(self) -> list[str]:
        """Return where the daemons of other hosts listen for peers."""
        return [one.place.address for one in self._peers()]

    def entries(self) -> list[SiteEntry]:
        """Return the hosts that have not left."""
        return [
            entry
            for entry in self.view.entries_by_host.values()
            if not entry.is_gone
        ]

    def tell(self, upstream: Upstream) -> asyncio.Future[None]:
        """Announce the own upstream; the future is done once it is stored."""
        settings = self._settings
        entry = SiteEntry(
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
        )
        known = self.view.own if self.view.has_published else None
        if known is None or not _is_same(known, entry):
            self._news([self.view.publish(entry, _unix_ms())])
            self._written = None
        return self._write_soon()

    async def restored(self) -> Upstream | None:
        """Return the upstream that an earlier process of this host knew."""
        await self._has_read.wait()
        return self._restored

    def answer(self, content: bytes) -> bytes:
        """Answer a gossip message of a peer."""
        heard = sitewire.decode_gossip(content)
        if heard is None:
            return sitewire.encode_gossip(self._gossip())
        self._policy.heard(heard.version)
        self._merge(heard.entries)
        return sitewire.encode_gossip(self._reply(heard))

    async def run(self) -> None:
        """Keep up until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._gossip_on())
            group.create_task(self._push_on())
            group.create_task(self._write_on())
            group.create_task(self._reap_on())

    def _follows(self) -> bool:
        settings = self._settings
        return followers.follows(
            settings.host,
            settings.region,
            self.view.entries_by_host.values(),
            set(self._unreached_since_by_host),
        )

    def _peers(self) -> list[SiteEntry]:
        own = self._settings.host
        return [one for one in self.entries() if one.place.host != own]

    def _read(self, snapshot: Snapshot) -> None:
        keys = {row.key for row in snapshot.rows}
        for host, version in tuple(self._versions_by_host.items()):
            if host in keys:
                continue
            if version.is_comparable(snapshot.version):
                self._removed(host)
            else:
                # The restored store may lack rows of hosts that are alive.
                self._versions_by_host.pop(host)
        self._changed(snapshot)
        self._keep_own_row(snapshot)
        self._settle()
        self._has_read.set()

    def _changed(self, snapshot: Snapshot) -> None:
        entries: list[SiteEntry] = []
        for row in snapshot.rows:
            entry = self._entry(row)
            if entry is not None:
                entries.append(entry)
        self._merge(entries)

    def _entry(self, row: VersionedRow) -> SiteEntry | None:
        if row.content is None:
            self._removed(row.key)
            return None
        entry = sitewire.decode_entry(row.content)
        if entry is None or entry.place.host != row.key:
            return None
        self._versions_by_host[row.key] = row.version
        if row.key == self._settings.host and self.view.own is None:
            self._restored = Upstream(
                entry.instance, entry.born, entry.place.state, entry.place.slots
            )
        return entry

    def _keep_own_row(self, snapshot: Snapshot) -> None:
        """Write the own row again if the store has lost it or has an older."""
        own, written = self.view.own, self._written
        if own is None or written is None or not written.done():
            return
        stored = [
            row.content
            for row in snapshot.rows
            if row.key == self._settings.host
        ]
        if stored != [sitewire.encode_entry(own)]:
            _log.warning('entry_lost', stamp=own.stamp, rows=len(stored))
            self._written = None
            self._write_soon()

    def _removed(self, host: str, stamp: int = 0) -> None:
        self._versions_by_host.pop(host, None)
        own = self.view.own
        self.view.remove(host, stamp)
        if host == self._settings.host and own is not None:
            self._news([self.view.publish(own, _unix_ms())])
            self._written = None
            self._write_soon()
            return
        self._balancer.remove(host)
        self._told_listeners()

    def _merge(self, entries: tuple[SiteEntry, ...] | list[SiteEntry]) -> None:
        own_before = self.view.own
        news = self.view.merge(entries)
        if not news:
            return
        self._news(news)
        if own_before is not None and self.view.own != own_before:
            self._written = None
            self._write_soon()

    def _news(self, entries: list[SiteEntry]) -> None:
        for entry in entries:
            self._balancer.update(entry.place)
            self._to_push[entry.place.host] = entry
        self._has_news.set()
        self._told_listeners()

    def _settle(self) -> None:
        if not self._is_settled:
            self._is_settled = True
            self._told_listeners()

    def _told_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _gossip(
        self,
        entries: Iterable[SiteEntry] = (),
        wants: Iterable[str] = (),
    ) -> sitewire.SiteGossip:
        return sitewire.SiteGossip(
            self._policy.version,
            entries=tuple(entries)[:MAX_ENTRIES],
            wants=tuple(wants)[:MAX_ENTRIES],
        )

    def _reply(self, heard: sitewire.SiteGossip) -> sitewire.SiteGossip:
        own = self.view.entries_by_host
        wanted = (own[host] for host in heard.wants if host in own)
        reply = self._gossip(wanted)
        digest = self.view.digest()
        if not heard.digest:
            return reply
        is_same = heard.digest == digest
        if is_same:
            self._settle()
        stamps = None if is_same else self.view.stamps()
        return replace(reply, digest=digest, stamps=stamps)

    async def _gossip_on(self) -> None:
        while True:
            is_calm = self._policy.has_store
            pause_s = GOSSIP_S if is_calm else GOSSIP_WITHOUT_STORE_S
            await asyncio.sleep(pause_s * (0.75 + random.random() / 2))
            peers = self._peers()
            if peers:
                await self._gossip_with(self._any(peers).place)

    async def _push_on(self) -> None:
        while True:
            await self._has_news.wait()
            await asyncio.sleep(PUSH_PAUSE_S)
            self._has_news.clear()
            news = self._gossip(self._to_push.values())
            self._to_push.clear()
            peers = self._peers()
            chosen = {self._any(peers).place for _ in range(PUSHED_TO) if peers}
            await asyncio.gather(*(self._push(one, news) for one in chosen))

    async def _push(self, place: Place, news: sitewire.SiteGossip) -> None:
        if await self._tell(place, news) is None:
            _log.debug('news_not_pushed', peer=place.host)

    async def _gossip_with(self, place: Place) -> None:
        probe = replace(self._gossip(), digest=self.view.digest())
        heard = await self._tell(place, probe)
        if heard is None:
            self._unreached(place)
            return
        self._unreached_since_by_host.pop(place.host, None)
        if heard.stamps is None:
            self._settle()
        else:
            await self._exchange(place, heard.stamps)

    async def _exchange(self, place: Place, stamps: Stamps) -> None:
        for host in self.view.removed_elsewhere(stamps):
            self._removed(host, stamps.tombstones[host])
        entries = self.view.newer_than(stamps)
        wants = self.view.outdated_hosts(stamps)
        if entries or wants:
            await self._tell(place, self._gossip(entries, wants))

    async def _tell(
        self, place: Place, message: sitewire.SiteGossip
    ) -> sitewire.SiteGossip | None:
        """Send a message; return the answer, None where there is none."""
        content = sitewire.encode_gossip(message)
        try:
            async with asyncio.timeout(GOSSIP_TIMEOUT_S):
                reply = await self._links.ask(
                    place.address, sitewire.GOSSIP_PATH, content
                )
        except (LinkLost, TimeoutError):
            return None
        heard = sitewire.decode_gossip(reply)
        if heard is not None:
            self._policy.heard(heard.version)
            self._merge(heard.entries)
        return heard

    def _unreached(self, place: Place) -> None:
        now = time.monotonic()
        self._unreached_since_by_host.setdefault(place.host, now)

    def _any(self, peers: list[SiteEntry]) -> SiteEntry:
        near = [
            one for one in peers if one.place.region == self._settings.region
        ]
        if near and random.random() < NEAR_SHARE:
            return random.choice(near)
        return random.choice(peers)

    def _write_soon(self) -> asyncio.Future[None]:
        if self._written is None:
            loop = asyncio.get_running_loop()
            self._written = loop.create_future()
            self._unwritten.set()
        return self._written

    async def _write_on(self) -> None:
        while True:
            await self._unwritten.wait()
            self._unwritten.clear()
            await self._write()

    async def _write(self) -> None:
        while (own := self.view.own) is not None:
            written = self._written
            name = RowName(self._table, self._settings.host)
            try:
                await self._store.put(name, sitewire.encode_entry(own))
            except StoreOut as out:
                _log.info('entry_not_written', reason=out.reason)
                await asyncio.sleep(WRITE_PAUSE_S * (1 + random.random()))
                continue
            if own == self.view.own:
                self._follower.read_soon()
                if written is not None and not written.done():
                    written.set_result(None)
                return

    async def _reap_on(self) -> None:
        while True:
            await asyncio.sleep(REAP_S * (0.5 + random.random()))
            for host in (*self._dead(), *self._returned()):
                await self._reap(host)

    def _dead(self) -> list[str]:
        unreached = self._unreached_since_by_host
        # A host that reaches few others may be cut off itself.
        if 2 * len(unreached) > len(self._peers()):
            return []
        oldest = time.monotonic() - LOST_AFTER_S
        return [
            host
            for host, since in unreached.items()
            if since < oldest and self._policy.has_store
        ]

    def _returned(self) -> list[str]:
        """Return the removed hosts whose rows are in the store again."""
        if not self._policy.has_store or not self._follows():
            return []
        known = self.view.entries_by_host
        return [host for host in self._versions_by_host if host not in known]

    async def _reap(self, host: str) -> None:
        version = self._versions_by_host.get(host)
        self._unreached_since_by_host.pop(host, None)
        if version is None:
            # No row tells of it any more.
            self._removed(host)
            return
        try:
            is_done = await self._store.remove(
                [RowName(self._table, host)], [version]
            )
        except StoreOut as out:
            _log.info('entry_not_removed', host=host, reason=out.reason)
            return
        _log.info('entry_removed', lost_host=host, done=is_done)


def _unix_ms() -> int:
    return int(time.time() * 1000)


def _is_same(known: SiteEntry, entry: SiteEntry) -> bool:
    return (
        known.place == entry.place
        and known.instance == entry.instance
        and known.born == entry.born
    )
