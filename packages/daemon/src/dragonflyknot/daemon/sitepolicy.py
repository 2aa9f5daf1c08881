"""Hold the configuration in force and keep up with newer versions.

The store's feed brings new versions. A peer that tells a higher version is
believed in so far as the version is fetched at once: from the store, or
from a peer where the store turns this host away or has lost that version. A
lower version is never installed.
"""

import asyncio
import random
import time
from collections.abc import Callable
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

FETCH_S: Final = 0.6
FETCH_PAUSE_S: Final = 0.1
MAX_FETCHES: Final = 20
PEER_VERSION_VALID_S: Final = 2.0
_log = structlog.get_logger(__name__)


class SitePolicy:
    """Follow the configuration of the site.

    `refused` counts the malformed configurations; `fault` describes the last
    one until another is installed.
    """

    def __init__(
        self,
        platform: SitePlatform,
        links: PeerLinks,
        peers: Callable[[], list[str]],
    ) -> None:
        """Start without a configuration."""
        self._platform = platform
        self._links = links
        self._peers = peers
        self._follower = TableFollower(
            platform.store,
            platform.configuration_row.table,
            self._apply_rows,
            self._apply_rows,
        )
        self._listeners: list[Callable[[SiteConfiguration], None]] = []
        self._installed = asyncio.Event()
        self._wanted = 0
        self._peer_version_at = float('-inf')
        self._newer = asyncio.Event()
        self.refused = 0
        self.fault = ''
        self.configuration: SiteConfiguration | None = None
        self.routes = SiteRoutes(SiteConfiguration(0))
        self.content = b''

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
    def has_store(self) -> bool:
        """Tell whether the store serves this host."""
        return self._follower.is_current

    @property
    def is_current(self) -> bool:
        """Tell whether no newer version can be in force for long."""
        if self._wanted > self.version:
            return False
        is_recent = (
            time.monotonic() - self._peer_version_at < PEER_VERSION_VALID_S
        )
        return self._follower.is_current or is_recent

    def subscribe(self, listener: Callable[[SiteConfiguration], None]) -> None:
        """Call a listener with each configuration that is installed."""
        self._listeners.append(listener)

    def record_peer_version(self, version: int) -> None:
        """Record the version that a peer has in force."""
        self._peer_version_at = time.monotonic()
        if version > self._wanted and version > self.version:
            self._wanted = version
            self._newer.set()

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
        self.content = content
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

    async def _catch_up(self) -> None:
        while True:
            await self._newer.wait()
            self._newer.clear()
            fetches = 0
            while self.version < self._wanted and fetches < MAX_FETCHES:
                fetches += 1
                await self._fetch()
            self._wanted = self.version

    async def _fetch(self) -> None:
        addresses = self._peers()
        try:
            async with asyncio.timeout(FETCH_S):
                if self._follower.is_current or not addresses:
                    await self._follower.refresh()
                else:
                    await self._ask(random.choice(addresses))
        except (StoreOut, LinkLost, TimeoutError) as error:
            _log.info('configuration_not_fetched', error=type(error).__name__)
        if self.version < self._wanted and addresses:
            await self._ask_any(addresses)
        if self.version < self._wanted:
            await asyncio.sleep(FETCH_PAUSE_S)

    async def _ask_any(self, addresses: list[str]) -> None:
        try:
            async with asyncio.timeout(FETCH_S):
                await self._ask(random.choice(addresses))
        except (LinkLost, TimeoutError) as error:
            _log.info('configuration_not_told', error=type(error).__name__)

    async def _ask(self, address: str) -> None:
        content = await self._links.ask(
            address, sitewire.CONFIGURATION_PATH, b''
        )
        if content:
            self.apply_content(content)
