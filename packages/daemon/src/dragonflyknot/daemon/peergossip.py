"""Gossip with other hosts about the hosts of the site.

News are pushed to some peers at once, and one comparison with a random peer a
second finds what that missed. So is the version of a new configuration, which
peers then fetch. All go on while the store is out.
"""

import asyncio
import random
import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Final, Protocol

import structlog

from dragonflyknot.daemon.peerchoice import PeerChoice
from dragonflyknot.daemon.sitepolicy import SitePolicy
from dragonflyknot.daemon.sitesettings import SiteSettings
from dragonflyknot.daemon.tasks import jittered
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.siteview import SiteEntry, SiteView, Stamps
from dragonflyknot.decisions.upstreamdepartures import Departures
from dragonflyknot.exchange.clientlink import LinkLost
from dragonflyknot.peers import sitewire
from dragonflyknot.peers.sitelinks import PeerLinks

GOSSIP_INTERVAL_S: Final = 1.0
GOSSIP_TIMEOUT_S: Final = 0.5
SAME_DATA_CENTER_SHARE: Final = 0.75
MAX_ENTRIES: Final = 200
MAX_TOLD_PEERS: Final = 64
PUSH_DELAY_S: Final = 0.1
PUSHED_NEAR: Final = 2
PUSHED_ELSEWHERE_SHARE: Final = 0.3
TOLD_NEAR: Final = 2
TOLD_ELSEWHERE: Final = 1
VERSION_PUSHED_NEAR: Final = 3
GREETED_PEERS: Final = 2
_log = structlog.get_logger(__name__)


class Membership(Protocol):
    """Apply what peers tell about the hosts of the site."""

    def merge(self, entries: Iterable[SiteEntry]) -> None:
        """Merge the entries that a peer sent."""

    def remove(self, host: str, stamp: int) -> None:
        """Remove a host whose entry a peer has removed at a stamp."""

    def settle(self) -> None:
        """Note that a peer knows the same hosts."""

    async def first_known(self) -> None:
        """Wait until other hosts are known, if there are any."""

    @property
    def has_store(self) -> bool:
        """Tell whether the store answered the last call of this host."""

    @property
    def epoch(self) -> int:
        """Return the highest epoch of the store that is known, 0 if none."""

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of the store that a peer knows."""


class PeerGossip:
    """Exchange entries with peers.

    `choice` chooses them.
    `unreached_since_by_host` holds the monotonic time since which a peer has
    not answered, `heard_at` the time of the last message of any peer.
    """

    def __init__(
        self,
        settings: SiteSettings,
        links: PeerLinks,
        policy: SitePolicy,
        view: SiteView,
        membership: Membership,
    ) -> None:
        """Start without news."""
        self._settings = settings
        self._links = links
        self._policy = policy
        self._view = view
        self._membership = membership
        self._to_push: dict[str, SiteEntry] = {}
        self._has_news = asyncio.Event()
        self._has_version = asyncio.Event()
        policy.subscribe(lambda _configuration: self._has_version.set())
        self.unreached_since_by_host: dict[str, float] = {}
        self.heard_at = time.monotonic()
        self.choice = PeerChoice(settings, view, self.unreached_since_by_host)
        self._told_departures: Departures = ()

    def learn_of(self, sender: str, version: int) -> None:
        """Record that a host sent a message, and the version that it has."""
        self.heard_at = time.monotonic()
        self.unreached_since_by_host.pop(sender, None)
        known = self._view.entries_by_host.get(sender)
        # A new host is not known yet.
        address = '' if known is None else known.place.address
        self._policy.record_peer_version(version, address)

    def record_answer(self, place: Place) -> None:
        """Record that a host answered."""
        self.unreached_since_by_host.pop(place.host, None)

    def record_silence(self, place: Place) -> None:
        """Record that a host did not answer."""
        self.unreached_since_by_host.setdefault(place.host, time.monotonic())

    def publish(self, entries: Iterable[SiteEntry]) -> None:
        """Push changed entries to some peers soon."""
        for entry in entries:
            self._to_push[entry.place.host] = entry
        self._has_news.set()

    def answer(self, content: bytes) -> bytes:
        """Answer a gossip message of a peer."""
        received = sitewire.decode_gossip(content)
        if received is None:
            return sitewire.encode_gossip(self._gossip())
        self._learn(received)
        return sitewire.encode_gossip(self._reply(received))

    async def tell_departures(self) -> None:
        """Tell some peers the own departures, and wait for their responses.

        They answer for this host while the store is out. Peers are not told
        the same departures again.
        """
        own = self._view.own
        if own is None or own.departures == self._told_departures:
            return
        told = self.choice.random_peers(TOLD_NEAR, is_near=True)
        told += self.choice.random_peers(TOLD_ELSEWHERE, is_near=False)
        if await self._push_to(told, self._gossip([own])):
            self._told_departures = own.departures

    async def tell_stopping(self) -> None:
        """Tell peers that this host refuses attempts until it is back.

        The nearest ones are told, which send most attempts here. A peer that
        is not told learns of it by its first refused attempt.
        """
        told = self.choice.nearest_peers()[:MAX_TOLD_PEERS]
        await asyncio.gather(*(self._tell_stopping_to(one) for one in told))

    async def compare_on(self) -> None:
        """Compare entries with a random peer at intervals."""
        await self._membership.first_known()
        greeted = self.choice.nearest_peers()[:GREETED_PEERS]
        await asyncio.gather(*(self._gossip_with(one.place) for one in greeted))
        if greeted or not self._settings.is_first_start:
            self._policy.record_peers_asked()
        while True:
            await asyncio.sleep(jittered(GOSSIP_INTERVAL_S))
            is_near = random.random() < SAME_DATA_CENTER_SHARE
            chosen = self.choice.random_peers(1, is_near=is_near)
            chosen += self.choice.unreached_peers()
            compared = [self._gossip_with(peer.place) for peer in chosen]
            leaving = [
                self._compare_with(one.place)
                for one in self.choice.leaving_hosts()
            ]
            await asyncio.gather(*compared, *leaving)

    async def push_on(self) -> None:
        """Push news to some peers as it comes."""
        while True:
            await self._has_news.wait()
            await asyncio.sleep(PUSH_DELAY_S)
            self._has_news.clear()
            if not self.choice.peers():
                # The first peers that are known raise the event again.
                continue
            news = self._gossip(self._to_push.values())
            self._to_push.clear()
            chosen = self.choice.random_peers(PUSHED_NEAR, is_near=True)
            if random.random() < PUSHED_ELSEWHERE_SHARE:
                chosen += self.choice.random_peers(1, is_near=False)
            await self._push_to(chosen, news)

    async def push_versions_on(self) -> None:
        """Tell some peers of each configuration that is installed."""
        while True:
            await self._has_version.wait()
            self._has_version.clear()
            chosen = self.choice.random_peers(VERSION_PUSHED_NEAR, is_near=True)
            chosen += self.choice.random_peers(1, is_near=False)
            await self._push_to(chosen, self._gossip())

    async def reaches(self, host: str) -> bool:
        """Ask a host once more; return whether it answers."""
        entry = self._view.entries_by_host.get(host)
        if entry is not None:
            await self._gossip_with(entry.place)
        return entry is not None and host not in self.unreached_since_by_host

    def _gossip(
        self,
        entries: Iterable[SiteEntry] = (),
        wants: Iterable[str] = (),
    ) -> sitewire.SiteGossip:
        return sitewire.SiteGossip(
            self._policy.version,
            entries=tuple(entries)[:MAX_ENTRIES],
            wants=tuple(wants)[:MAX_ENTRIES],
            sender=self._settings.host,
            epoch=self._membership.epoch,
            has_store=self._membership.has_store,
        )

    def _learn(self, received: sitewire.SiteGossip) -> None:
        """Apply what every gossip message of a peer tells."""
        self.learn_of(received.sender, received.version)
        self._membership.record_epoch(received.epoch)
        self._membership.merge(received.entries)

    def _reply(self, received: sitewire.SiteGossip) -> sitewire.SiteGossip:
        own = self._view.entries_by_host
        wanted = {host: own[host] for host in received.wants if host in own}
        for entry in self._view.lacking_departures(received.entries):
            wanted[entry.place.host] = entry
        reply = self._gossip(wanted.values())
        digest = self._view.digest()
        if not received.digest:
            return reply
        if received.digest == digest:
            self._membership.settle()
            return replace(reply, digest=digest)
        buckets = self._view.differing_buckets(received.bucket_digests)
        return replace(reply, digest=digest, stamps=self._view.stamps(buckets))

    async def _push_to(
        self, peers: list[SiteEntry], news: sitewire.SiteGossip
    ) -> bool:
        """Push news to peers; return whether one of them has it."""
        places = {peer.place for peer in peers}
        return any(
            await asyncio.gather(*(self._push(one, news) for one in places))
        )

    async def _push(self, place: Place, news: sitewire.SiteGossip) -> bool:
        is_received = await self._send(place, news) is not None
        if not is_received:
            self.record_silence(place)
            _log.debug('news_not_pushed', peer=place.host)
        return is_received

    async def _gossip_with(self, place: Place) -> None:
        """Compare with a host, and record whether it answered."""
        if await self._compare_with(place):
            self.record_answer(place)
        else:
            self.record_silence(place)

    async def _compare_with(self, place: Place) -> bool:
        """Exchange what one of two hosts lacks; return whether it answered."""
        probe = replace(
            self._gossip(),
            digest=self._view.digest(),
            bucket_digests=self._view.bucket_digests(),
        )
        received = await self._send(place, probe)
        if received is None:
            return False
        if received.stamps is None:
            self._membership.settle()
        else:
            await self._exchange(place, received.stamps)
        return True

    async def _exchange(self, place: Place, stamps: Stamps) -> None:
        for host in self._view.removed_elsewhere(stamps):
            self._membership.remove(host, stamps.tombstones[host])
        entries = self._view.newer_than(stamps)
        wants = self._view.outdated_hosts(stamps)
        if entries or wants:
            await self._send(place, self._gossip(entries, wants))

    async def _send(
        self, place: Place, message: sitewire.SiteGossip
    ) -> sitewire.SiteGossip | None:
        """Send a message; return the answer of the host, None if none came.

        Another host may have the address by now. What it tells counts as its
        own, and the host that was asked as one that did not answer.
        """
        content = sitewire.encode_gossip(message)
        try:
            async with asyncio.timeout(GOSSIP_TIMEOUT_S):
                reply = await self._links.ask(
                    place.address, sitewire.GOSSIP_PATH, content
                )
        except (LinkLost, TimeoutError):
            return None
        received = sitewire.decode_gossip(reply)
        if received is None:
            return None
        self._learn(received)
        if received.sender != place.host:
            _log.info(
                'answered_by_another', peer=place.host, sender=received.sender
            )
            return None
        return received

    async def _tell_stopping_to(self, peer: SiteEntry) -> None:
        try:
            async with asyncio.timeout(GOSSIP_TIMEOUT_S):
                await self._links.ask(
                    peer.place.address,
                    sitewire.STOPPING_PATH,
                    self._settings.host.encode(),
                )
        except (LinkLost, TimeoutError) as error:
            _log.debug(
                'stop_not_told',
                peer=peer.place.host,
                error=type(error).__name__,
            )
