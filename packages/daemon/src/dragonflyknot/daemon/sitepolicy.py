"""Hold the configuration in force and keep up with newer versions.

A few hosts follow the store's feed. Whoever installs a version tells some
peers at once, which fetch it and tell others in turn; each message between
daemons names the sender's version too. A version that a peer tells is
fetched from that peer first, and from the store where no peer has it. A lower
version is never installed.
"""

import asyncio
import random
import time
import zlib
from collections.abc import Callable
from contextlib import suppress
from typing import Final

import structlog
from result import Err, Ok

from dragonflyknot.daemon.follower import TableFollower
from dragonflyknot.daemon.sitesettings import SitePlatform
from dragonflyknot.daemon.tasks import keep_running
from dragonflyknot.decisions.siteconfig import (
    SiteConfiguration,
    SiteRoutes,
    UnknownWord,
)
from dragonflyknot.exchange.clientlink import LinkLost
from dragonflyknot.peers import sitewire
from dragonflyknot.peers.sitelinks import PeerLinks
from dragonflyknot.stores.rowstore import Snapshot, StoreOut, VersionedRow

# Requests have to follow a new version within seconds.
FEED_WAIT_S: Final = 2.0
FETCH_S: Final = 0.6
FETCH_PAUSE_S: Final = 0.1
MAX_FETCHES: Final = 20
# Every so many fetches, the store is asked instead of a peer.
STORE_FETCH_INTERVAL: Final = 3
PEER_VERSION_VALID_S: Final = 2.0
# How long a new process waits for peers before it asks the store. When the
# whole site starts, hosts have to find each other first.
FIRST_VERSION_S: Final = 1.0
FIRST_VERSION_AT_FIRST_START_S: Final = 4.0
PEER_FETCH_S: Final = 0.5
NEAR_PEERS: Final = 8
MAX_CONFIGURATION_BYTES: Final = 8 * 1024 * 1024
COMPRESSION_LEVEL: Final = 1
_log = structlog.get_logger(__name__)


class SitePolicy:
    """Follow the configuration of the site.

    `compressed` is its text, deflated, as peers fetch it. `refused` counts the
    malformed configurations; `fault` describes the last one until another is
    installed.
    """

    def __init__(
        self,
        platform: SitePlatform,
        links: PeerLinks,
        peers: Callable[[], list[str]],
        is_follower: Callable[[], bool],
        backoff_ratio: Callable[[], float],
        *,
        is_first_start: bool = False,
    ) -> None:
        """Start without a configuration.

        `peers` returns the addresses of peers, the nearest ones first, and
        `is_follower` tells whether this host follows the store's feed, and
        `backoff_ratio` how much longer than usual it rests without the store.
        `is_first_start` tells that the whole site starts for the first time.
        """
        self._platform = platform
        self._links = links
        self._peers = peers
        self._follower = TableFollower(
            platform.store,
            platform.configuration_row.table,
            self._apply_rows,
            self._apply_rows,
            wait_s=FEED_WAIT_S,
            is_wanted=lambda: self._needs_store or is_follower(),
            backoff_ratio=backoff_ratio,
        )
        self._first_version_s = (
            FIRST_VERSION_AT_FIRST_START_S
            if is_first_start
            else FIRST_VERSION_S
        )
        self._needs_store = False
        self._listeners: list[Callable[[SiteConfiguration], None]] = []
        self._installed = asyncio.Event()
        self._wanted = 0
        self._source = ''
        self._peer_version_at = float('-inf')
        self._newer = asyncio.Event()
        self._peers_asked = asyncio.Event()
        self.refused = 0
        self.fault = ''
        self.configuration: SiteConfiguration | None = None
        self.routes = SiteRoutes(SiteConfiguration(0))
        self.compressed = b''

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        configuration = self.configuration
        return 0 if configuration is None else configuration.version

    @property
    def unknown_words(self) -> tuple[UnknownWord, ...]:
        """Return the words in force that this release does not know."""
        configuration = self.configuration
        return () if configuration is None else configuration.unknown_words

    @property
    def content(self) -> bytes:
        """Return the text of the configuration, empty before the first."""
        return zlib.decompress(self.compressed) if self.compressed else b''

    @property
    def is_following(self) -> bool:
        """Tell whether this host follows the feed of the store."""
        return self._follower.is_current

    @property
    def has_store(self) -> bool:
        """Tell whether the store answers this host about the configuration."""
        return self._follower.is_reachable

    @property
    def is_current(self) -> bool:
        """Tell whether no newer version can be in force for long."""
        if self._wanted > self.version:
            return False
        is_recent = (
            time.monotonic() - self._peer_version_at < PEER_VERSION_VALID_S
        )
        return self._follower.is_current or is_recent

    def subscribe_following(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever `is_following` has changed."""
        self._follower.subscribe(listener)

    def wake(self) -> None:
        """Ask at once whether this host has to follow the store's feed."""
        self._follower.wake()

    def subscribe(self, listener: Callable[[SiteConfiguration], None]) -> None:
        """Call a listener with each configuration that is installed."""
        self._listeners.append(listener)

    def record_peer_version(self, version: int, address: str = '') -> None:
        """Record the version that a peer has in force.

        `address` is where the peer listens, empty if it is not known.
        """
        self._peer_version_at = time.monotonic()
        if version > self._wanted and version > self.version:
            self._wanted = version
            self._source = address
            self._newer.set()

    def record_peers_asked(self) -> None:
        """Record that the first peers were asked for their versions."""
        self._peers_asked.set()

    async def first(self) -> SiteConfiguration:
        """Wait for a configuration."""
        await self._installed.wait()
        assert self.configuration is not None
        return self.configuration

    async def run(self) -> None:
        """Keep up until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(keep_running(self._follower.run))
            group.create_task(keep_running(self._catch_up))
            group.create_task(self._find_first())

    def apply_content(self, content: bytes) -> bool:
        """Install a configuration unless it is older; return whether."""
        match self._platform.decode_configuration(content):
            case Err(fault):
                _log.error('configuration_malformed', fault=fault)
                self.refused += 1
                self.fault = fault
                return False
            case Ok(configuration):
                return self._install(configuration, content)

    def _install(
        self, configuration: SiteConfiguration, content: bytes
    ) -> bool:
        if configuration.version <= self.version:
            return False
        _log.info(
            'configuration_in_force',
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        )
        for unknown in configuration.unknown_words:
            _log.warning(
                'configuration_word_unknown',
                version=configuration.version,
                field=unknown.field,
                word=unknown.word,
            )
        self.fault = ''
        self.configuration = configuration
        self.routes = SiteRoutes(configuration)
        self.compressed = zlib.compress(content, COMPRESSION_LEVEL)
        for listener in self._listeners:
            listener(configuration)
        self._installed.set()
        return True

    def _apply_rows(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            self._apply_row(row)

    def _apply_row(self, row: VersionedRow) -> None:
        if row.key != self._platform.configuration_row.key:
            return
        if row.content is not None:
            self.apply_content(row.content)

    async def _find_first(self) -> None:
        """Follow the store until it has a configuration, if no peer has."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._first_version_s):
                await self._peers_asked.wait()
        if self._wanted:
            with suppress(TimeoutError):
                async with asyncio.timeout(PEER_FETCH_S):
                    await self._installed.wait()
        if self.configuration is None:
            self._needs_store = True
            self._follower.read_soon()
            await self._installed.wait()
            self._needs_store = False

    async def _catch_up(self) -> None:
        while True:
            await self._newer.wait()
            self._newer.clear()
            fetches = 0
            while self.version < self._wanted and fetches < MAX_FETCHES:
                fetches += 1
                await self._fetch(fetches)
            self._wanted = self.version

    async def _fetch(self, number: int) -> None:
        """Fetch a newer version; `number` counts the fetches from 1."""
        addresses = self._peers()
        source = self._source or _random_near(addresses)
        self._source = ''
        try:
            async with asyncio.timeout(FETCH_S):
                if source and number % STORE_FETCH_INTERVAL:
                    await self._ask(source)
                else:
                    await self._follower.refresh()
        except (StoreOut, LinkLost, TimeoutError) as error:
            _log.info('configuration_not_fetched', error=type(error).__name__)
        if self.version < self._wanted:
            await asyncio.sleep(FETCH_PAUSE_S)

    async def _ask(self, address: str) -> None:
        compressed = await self._links.ask(
            address, sitewire.COMPRESSED_CONFIGURATION_PATH, b''
        )
        if compressed:
            self.apply_content(_inflate(compressed))


def _inflate(compressed: bytes) -> bytes:
    """Return the text of a configuration, empty if it is malformed."""
    try:
        return zlib.decompressobj().decompress(
            compressed, MAX_CONFIGURATION_BYTES
        )
    except zlib.error:
        return b''


def _random_near(addresses: list[str]) -> str:
    """Return one of the first addresses, empty if there is none."""
    return random.choice(addresses[:NEAR_PEERS]) if addresses else ''
