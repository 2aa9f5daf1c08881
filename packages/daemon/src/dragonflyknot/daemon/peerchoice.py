"""Choose the peers of a host to gossip with.

Traffic inside a data center is free, and that between regions is dear. Peers
that did not answer are chosen only if there are no others: those that are
lost for good may stay listed, and be most of the peers.
"""

import random
from collections.abc import Container
from typing import Final

from dragonflyknot.daemon.sitesettings import SiteSettings
from dragonflyknot.daemon.timeofday import unix_ms
from dragonflyknot.decisions.siteview import SiteEntry, SiteView

SAME_REGION_SHARE: Final = 0.8
PEERS_PER_LEAVING_HOST: Final = 2
# Upstreams that have left go on serving for some seconds.
LEAVING_MS: Final = 60_000


class PeerChoice:
    """Choose among the other hosts of a view.

    Those in `unreached_hosts` did not answer the last time.
    """

    def __init__(
        self,
        settings: SiteSettings,
        view: SiteView,
        unreached_hosts: Container[str],
    ) -> None:
        """Choose for the host of the settings."""
        self._settings = settings
        self._view = view
        self._unreached_hosts = unreached_hosts

    def peers(self) -> list[SiteEntry]:
        """Return the other hosts that have not left."""
        return [entry for entry in self._others() if not entry.is_gone]

    def nearest_peers(self) -> list[SiteEntry]:
        """Return the peers in random order, the nearest data centers first.

        Those that did not answer come last.
        """
        settings = self._settings
        peers = self.peers()
        random.shuffle(peers)
        return sorted(
            peers,
            key=lambda peer: (
                peer.place.host in self._unreached_hosts,
                peer.place.data_center != settings.data_center,
                peer.place.region != settings.region,
            ),
        )

    def random_peers(self, count: int, *, is_near: bool) -> list[SiteEntry]:
        """Return random peers of this data center, or of other ones.

        Of the other ones, those of the own region are chosen more often. If
        there is no such peer, any one will do.
        """
        settings = self._settings
        peers = self._reached_peers() or self.peers()
        wanted = [
            one
            for one in peers
            if is_near is (one.place.data_center == settings.data_center)
        ]
        if not is_near and random.random() < SAME_REGION_SHARE:
            region = [
                one for one in wanted if one.place.region == settings.region
            ]
            wanted = region or wanted
        wanted = wanted or peers
        return random.sample(wanted, min(count, len(wanted)))

    def unreached_peers(self) -> list[SiteEntry]:
        """Return a random peer that did not answer: it may be back."""
        unreached = [
            peer
            for peer in self.peers()
            if peer.place.host in self._unreached_hosts
        ]
        return random.sample(unreached, min(1, len(unreached)))

    def leaving_hosts(self) -> list[SiteEntry]:
        """Return some hosts whose upstream left lately.

        Their daemons still serve callers, and learn from peers alone if they
        are restarted while the store is out. Each one is chosen by about
        `PEERS_PER_LEAVING_HOST` of its peers.
        """
        now_ms = unix_ms()
        share = PEERS_PER_LEAVING_HOST / max(1, len(self.peers()))
        return [
            entry
            for entry in self._others()
            if entry.is_gone
            and abs(now_ms - entry.stamp) < LEAVING_MS
            and random.random() < share
        ]

    def _reached_peers(self) -> list[SiteEntry]:
        return [
            peer
            for peer in self.peers()
            if peer.place.host not in self._unreached_hosts
        ]

    def _others(self) -> list[SiteEntry]:
        own = self._settings.host
        return [
            entry
            for host, entry in self._view.entries_by_host.items()
            if host != own
        ]
