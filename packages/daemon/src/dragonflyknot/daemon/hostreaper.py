"""Remove the rows of hosts that nobody reaches, or that are back.

A row is removed under the condition that it has not changed. A host that
lives writes its own row again.
"""

import asyncio
import random
import time
from typing import Final, Protocol

import structlog

from dragonflyknot.daemon.peergossip import PeerGossip
from dragonflyknot.decisions.siteview import SiteView
from dragonflyknot.stores.rowstore import (
    RowName,
    RowStore,
    Snapshot,
    StoreOut,
    StoreVersion,
)

REAP_S: Final = 5.0
LOST_AFTER_S: Final = 15.0
_log = structlog.get_logger(__name__)


class HostRows(Protocol):
    """Know the rows of the hosts' table."""

    @property
    def versions_by_host(self) -> dict[str, StoreVersion]:
        """Return the versions of the rows that are known."""

    @property
    def has_store(self) -> bool:
        """Tell whether the store answers this host, about each table."""

    def is_follower(self) -> bool:
        """Tell whether this host follows the store."""

    def record_rows(self, snapshot: Snapshot) -> None:
        """Record rows that were read."""

    def remove(self, host: str) -> None:
        """Remove a host that left."""


class HostReaper:
    """Remove rows at intervals."""

    def __init__(
        self,
        store: RowStore,
        table: str,
        rows: HostRows,
        view: SiteView,
        gossip: PeerGossip,
    ) -> None:
        """Remove the rows of `table` under the versions that `rows` has."""
        self._store = store
        self._table = table
        self._rows = rows
        self._view = view
        self._gossip = gossip

    async def run(self) -> None:
        """Remove rows until cancelled."""
        while True:
            await asyncio.sleep(REAP_S * (0.5 + random.random()))
            for host in (*self._dead(), *self._returned()):
                await self.reap(host)

    def _dead(self) -> list[str]:
        """Return the hosts that did not answer for long."""
        unreached = self._gossip.unreached_since_by_host
        # A host that reaches few others may be cut off itself.
        is_cut_off = 2 * len(unreached) > len(self._gossip.choice.peers())
        if is_cut_off or not self._rows.has_store:
            return []
        oldest = time.monotonic() - LOST_AFTER_S
        return [host for host, since in unreached.items() if since < oldest]

    def _returned(self) -> list[str]:
        """Return the removed hosts whose rows are in the store again."""
        if not self._rows.has_store or not self._rows.is_follower():
            return []
        known = self._view.entries_by_host
        return [
            host for host in self._rows.versions_by_host if host not in known
        ]

    async def reap(self, host: str) -> None:
        """Remove a host, unless it answers now or has written its row."""
        if await self._gossip.reaches(host):
            return
        known = self._view.entries_by_host.get(host)
        self._gossip.unreached_since_by_host.pop(host, None)
        try:
            version = await self._row_version(host)
            if known != self._view.entries_by_host.get(host):
                # The host has written its row in the meantime.
                return
            if version is None:
                self._rows.remove(host)
                return
            is_done = await self._store.remove(
                [RowName(self._table, host)], [version]
            )
        except StoreOut as out:
            _log.info('entry_not_removed', host=host, reason=out.reason)
            return
        if not is_done:
            self._rows.versions_by_host.pop(host, None)
        _log.info('entry_removed', lost_host=host, done=is_done)

    async def _row_version(self, host: str) -> StoreVersion | None:
        """Return the version of a host's row, None if there is no row.

        A host that does not follow the table reads the row. Raise StoreOut.
        """
        versions = self._rows.versions_by_host
        if host not in versions:
            row = await self._store.read_row(RowName(self._table, host))
            self._rows.record_rows(row)
        return versions.get(host)
