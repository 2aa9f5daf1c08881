"""Follow a table of the platform's store.

The rows are read once and then followed by the feed. Where the history is
lost, the store was out or it was restored from an older copy, they are read
again. A host that need not follow reads them only when it is asked to.

A store that answers nothing to a call can't be told from one that has nothing
new to tell until the call's wait is over. Waits are therefore short: their
length bounds how long a host may follow in vain.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Final

import structlog

from dragonflyknot.stores.rowstore import (
    HistoryLost,
    RowStore,
    Snapshot,
    StoreOut,
    StoreVersion,
)

REST_S: Final = 0.5
BACKOFF_S: Final = 0.3
LONGEST_BACKOFF_S: Final = 1.5
# Hosts that do not follow the feed read a restored store one after another.
RESTORED_SPREAD_S: Final = 2.0
_log = structlog.get_logger(__name__)


class TableFollower:
    """Keep up with one table; tell whole snapshots and changes apart.

    `is_current` tells whether the feed is followed and answers, and
    `is_reachable` whether the last call was answered. The store counts as
    reachable while there is no call to make.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        read: Callable[[Snapshot], None],
        changed: Callable[[Snapshot], None],
        *,
        wait_s: float,
        is_wanted: Callable[[], bool] | None = None,
        backoff_ratio: Callable[[], float] | None = None,
        pause_s: float = 0,
    ) -> None:
        """Keep who is told.

        `wait_s` is how long a call waits for changes, and `pause_s` how long
        changes may gather. `is_wanted` tells whether to follow the feed, which
        is always done where it is not given. `backoff_ratio` tells how much
        longer than usual to rest while the store does not answer.
        """
        self._store = store
        self._table = table
        self._read = read
        self._changed = changed
        self._is_wanted = is_wanted or _always
        self._backoff_ratio = backoff_ratio or _usual
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._due = asyncio.Event()
        self._awake = asyncio.Event()
        self._version: StoreVersion | None = None
        self._failures = 0
        self.is_current = False
        self.is_reachable = True
        self._listeners: list[Callable[[], None]] = []
        store.subscribe(self._restored)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever `is_current` has changed."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._keep_up()
            except HistoryLost:
                _log.info('history_lost', table=self._table)
            except StoreOut as out:
                await self._back_off(out)

    def read_soon(self) -> None:
        """Read the rows once more, unless the feed is followed."""
        self._due.set()
        self.wake()

    def wake(self) -> None:
        """Ask at once whether the feed is to be followed."""
        self._awake.set()

    def cancel_read(self) -> None:
        """Drop a read that was asked for and has not been answered yet."""
        self._due.clear()

    async def refresh(self) -> None:
        """Read the rows once more. Raise StoreOut."""
        self._read(await self._store.read(self._table))

    async def _keep_up(self) -> None:
        if self._is_wanted():
            try:
                await self._follow()
            finally:
                self._set_current(is_current=False)
        elif self._due.is_set():
            await self._read_rows()
        else:
            self.is_reachable = True
            await self._rest()

    async def _follow(self) -> None:
        version = (await self._read_rows()).version
        self._set_current(is_current=True)
        while self._is_wanted():
            changes = await self._store.changes(
                self._table, version, self._wait_s
            )
            self._record_version(changes.version)
            if changes.rows:
                self._changed(changes)
                await asyncio.sleep(self._pause_s)
            if changes.version.number > version.number:
                version = changes.version

    async def _read_rows(self) -> Snapshot:
        snapshot = await self._store.read(self._table)
        self._due.clear()
        self._record_version(snapshot.version)
        self._read(snapshot)
        self._regained()
        return snapshot

    def _set_current(self, *, is_current: bool) -> None:
        if is_current == self.is_current:
            return
        self.is_current = is_current
        _log.info('following', table=self._table, is_following=is_current)
        for listener in self._listeners:
            listener()

    def _restored(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(random.random() * RESTORED_SPREAD_S, self.read_soon)

    def _record_version(self, version: StoreVersion) -> None:
        before = self._version
        self._version = version
        if before is None or version.is_comparable(before):
            return
        _log.warning(
            'store_restored',
            table=self._table,
            epoch=version.epoch,
            epoch_before=before.epoch,
            version=version.number,
            version_before=before.number,
        )

    async def _rest(self) -> None:
        self._awake.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(REST_S * (0.5 + random.random())):
                await self._awake.wait()

    def _regained(self) -> None:
        if self._failures:
            _log.info('store_regained', table=self._table)
        self._failures = 0
        self.is_reachable = True

    async def _back_off(self, out: StoreOut) -> None:
        if not self._failures:
            _log.warning('store_lost', table=self._table, reason=out.reason)
        self.is_reachable = False
        self._failures += 1
        longest = min(LONGEST_BACKOFF_S, BACKOFF_S * self._failures)
        longest *= self._backoff_ratio()
        await asyncio.sleep(longest * (0.5 + random.random() / 2))


def _always() -> bool:
    return True


def _usual() -> float:
    return 1
