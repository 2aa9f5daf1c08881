"""Gossip with other hosts about the hosts of the site.

News are pushed to some peers at once, and one comparison with a random peer a
second finds what that missed. Both go on while the store is out.
"""

import asyncio
import random
import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Final, Protocol

import structlog

from dragonflyknot.daemon.sitepolicy import SitePolicy
from dragonflyknot.daemon.sitesettings import SiteSettings
from dragonflyknot.decisions.balancer import Place
from dragonflyknot.decisions.siteview import SiteEntry, SiteView, Stamps
from dragonflyknot.exchange.clientlink import LinkLost
from dragonflyknot.peers import sitewire
from dragonflyknot.peers.sitelinks import PeerLinks

GOSSIP_INTERVAL_S: Final = 1.0
GOSSIP_INTERVAL_WITHOUT_STORE_S: Final = 0.35
GOSSIP_TIMEOUT_S: Final = 0.5
SAME_REGION_SHARE: Final = 0.75
MAX_ENTRIES: Final = 200
MAX_TOLD_PEERS: Final = 256
PUSH_DELAY_S: Final = 0.1
PUSHED_TO: Final = 2
_log = structlog.get_logger(__name__)


class Membership(Protocol):
    """Apply what peers tell about the hosts of the site."""

    def merge(self, entries: Iterable[SiteEntry]) -> None:
        """Merge the entries that a peer sent."""

    def remove(self, host: str, stamp: int) -> None:
        """Remove a host whose entry a peer has removed at a stamp."""

    def settle(self) -> None:
        """Note that a peer knows the same hosts."""


class PeerGossip:
    """Exchange entries with peers.

    `unreached_since_by_host` holds the monotonic time since which a peer has
    not answered.
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
        self.unreached_since_by_host: dict[str, float] = {}

    def publish(self, entries: Iterable[SiteEntry]) -> None:
        """Push changed entries to some peers soon."""
        for entry in entries:
            self._to_push[entry.place.host] = entry
        self._has_news.set()

    def peers(self) -> list[SiteEntry]:
        """Return the other hosts that have not left."""
        own = self._settings.host
        return [
            entry
            for host, entry in self._view.entries_by_host.items()
            if host != own and not entry.is_gone
        ]

    def answer(self, content: bytes) -> bytes:
        """Answer a gossip message of a peer."""
        received = sitewire.decode_gossip(content)
        if received is None:
            return sitewire.encode_gossip(self._gossip())
        self._policy.record_peer_version(received.version)
        self._membership.merge(received.entries)
        return sitewire.encode_gossip(self._reply(received))

    async def tell_stopping(self) -> None:
        """Tell peers that this host refuses attempts until it is back.

        A peer that is not told learns of it by its first refused attempt.
        """
        peers = self.peers()
        told = random.sample(peers, min(MAX_TOLD_PEERS, len(peers)))
        await asyncio.gather(*(self._tell_stopping_to(one) for one in told))

    async def compare_on(self) -> None:
        """Compare entries with a random peer at intervals."""
        while True:
            is_calm = self._policy.has_store
            pause_s = (
                GOSSIP_INTERVAL_S
                if is_calm
                else GOSSIP_INTERVAL_WITHOUT_STORE_S
            )
            await asyncio.sleep(pause_s * (0.75 + random.random() / 2))
            peers = self.peers()
            if peers:
                await self._gossip_with(self._random_peer(peers).place)

    async def push_on(self) -> None:
        """Push news to some peers as it comes."""
        while True:
            await self._has_news.wait()
            await asyncio.sleep(PUSH_DELAY_S)
            self._has_news.clear()
            news = self._gossip(self._to_push.values())
            self._to_push.clear()
            peers = self.peers()
            chosen = {
                self._random_peer(peers).place
                for _ in range(PUSHED_TO)
                if peers
            }
            await asyncio.gather(*(self._push(one, news) for one in chosen))

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

    def _reply(self, received: sitewire.SiteGossip) -> sitewire.SiteGossip:
        own = self._view.entries_by_host
        wanted = (own[host] for host in received.wants if host in own)
        reply = self._gossip(wanted)
        digest = self._view.digest()
        if not received.digest:
            return reply
        is_same = received.digest == digest
        if is_same:
            self._membership.settle()
        stamps = None if is_same else self._view.stamps()
        return replace(reply, digest=digest, stamps=stamps)

    async def _push(self, place: Place, news: sitewire.SiteGossip) -> None:
        if await self._send(place, news) is None:
            _log.debug('news_not_pushed', peer=place.host)

    async def _gossip_with(self, place: Place) -> None:
        probe = replace(self._gossip(), digest=self._view.digest())
        received = await self._send(place, probe)
        if received is None:
            self._unreached(place)
            return
        self.unreached_since_by_host.pop(place.host, None)
        if received.stamps is None:
            self._membership.settle()
        else:
            await self._exchange(place, received.stamps)

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
        """Send a message; return the answer, None where there is none."""
        content = sitewire.encode_gossip(message)
        try:
            async with asyncio.timeout(GOSSIP_TIMEOUT_S):
                reply = await self._links.ask(
                    place.address, sitewire.GOSSIP_PATH, content
                )
        except (LinkLost, TimeoutError):
            return None
        received = sitewire.decode_gossip(reply)
        if received is not None:
            self._policy.record_peer_version(received.version)
            self._membership.merge(received.entries)
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

    def _unreached(self, place: Place) -> None:
        now = time.monotonic()
        self.unreached_since_by_host.setdefault(place.host, now)

    def _random_peer(self, peers: list[SiteEntry]) -> SiteEntry:
        near = [
            one for one in peers if one.place.region == self._settings.region
        ]
        if near and random.random() < SAME_REGION_SHARE:
            return random.choice(near)
        return random.choice(peers)
