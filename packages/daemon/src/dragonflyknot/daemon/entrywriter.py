"""Write the host's own row to the table of hosts, until it is stored.

A row is written on the condition that it is as this host knows it: the store
may perform a write that got no response seconds later, and must not replace a
newer row by it. A row that differs from what was expected is read and told
before it is replaced, as it may hold what an earlier process acknowledged.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import structlog

from dragonflyknot.decisions.siteview import SiteEntry
from dragonflyknot.peers import sitewire
from dragonflyknot.stores.rowstore import (
    RowName,
    RowStore,
    Snapshot,
    StoreOut,
    StoreVersion,
)

WRITE_PAUSE_S: Final = 0.3
MAX_WRITE_PAUSE_S: Final = 1.5
_log = structlog.get_logger(__name__)


class EntryWriter:
    """Own the row of this host; what is written is the entry of the time."""

    def __init__(
        self,
        store: RowStore,
        name: RowName,
        own_entry: Callable[[], SiteEntry | None],
        on_stored: Callable[[], None],
        on_read: Callable[[Snapshot], None],
    ) -> None:
        """Start with nothing to write.

        `own_entry` returns the entry to write, and `on_stored` is called
        after each write. `on_read` is told of a row that was read, and may
        change the entry.
        """
        self._store = store
        self._name = name
        self._own_entry = own_entry
        self._on_stored = on_stored
        self._on_read = on_read
        self._is_due = asyncio.Event()
        self._is_announced = False
        self._version: StoreVersion | None = None
        self._is_stored = asyncio.Event()

    @property
    def has_stored(self) -> bool:
        """Tell whether the store has acknowledged the entry."""
        return self._is_stored.is_set()

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is to be written."""
        return not self._is_announced or self._is_stored.is_set()

    def record_version(self, version: StoreVersion) -> None:
        """Record the version that the row has in the store."""
        self._version = version

    def write_soon(self) -> None:
        """Write the entry unless it is stored."""
        if not self._is_announced:
            self.write_again()

    def write_again(self) -> None:
        """Write the entry, whatever was stored before."""
        self._is_announced = True
        self._is_stored.clear()
        self._is_due.set()

    def record_stored(self) -> None:
        """Record that the row of an earlier process holds the same entry."""
        if not self._is_announced:
            self._is_announced = True
            self._is_stored.set()

    async def stored(self) -> None:
        """Wait until the store has acknowledged the entry."""
        await self._is_stored.wait()

    async def run(self) -> None:
        """Write what is due until cancelled."""
        while True:
            await self._is_due.wait()
            self._is_due.clear()
            await self._write_until_stored()

    async def _write_until_stored(self) -> None:
        pause_s = WRITE_PAUSE_S
        while (entry := self._own_entry()) is not None:
            stored = await self._put(entry)
            if stored is None:
                await asyncio.sleep(pause_s * (1 + random.random()))
                pause_s = min(2 * pause_s, MAX_WRITE_PAUSE_S)
            elif stored == self._own_entry():
                self._is_due.clear()
                self._is_stored.set()
                self._on_stored()
                return

    async def _put(self, entry: SiteEntry) -> SiteEntry | None:
        """Write the entry; return the one that the store has, if known."""
        content = sitewire.encode_entry(entry)
        try:
            if await self._replace(content) or await self._holds(content):
                return entry
            # What the row holds may have changed the entry.
            newest = self._own_entry() or entry
            is_done = await self._replace(sitewire.encode_entry(newest))
        except StoreOut as out:
            _log.info('entry_not_written', reason=out.reason)
            return None
        return newest if is_done else None

    async def _replace(self, content: bytes) -> bool:
        """Write the row if it is as known; return whether it was written."""
        version = await self._store.put(self._name, content, self._version)
        if version is None:
            return False
        self._version = version
        return True

    async def _holds(self, content: bytes) -> bool:
        """Read the row; return whether an earlier write was performed."""
        snapshot = await self._store.read_row(self._name)
        rows = snapshot.rows
        self._version = rows[0].version if rows else None
        if rows and rows[0].content == content:
            return True
        self._on_read(snapshot)
        return False
