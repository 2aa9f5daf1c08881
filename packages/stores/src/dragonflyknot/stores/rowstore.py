"""A store of rows in tables, with a feed of what has changed.

Its versions come from one counter over all tables. A store that is restored
from an older copy starts a new epoch, in which the counter goes back and
gives numbers out again: versions of two epochs are not compared. A feed that
reports `HistoryLost` has dropped changes: read the rows again and go on from
there.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StoreVersion:
    """Name a state of the store: a number within one epoch.

    `epoch` is None where the store names none.
    """

    number: int
    epoch: int | None = None

    def is_comparable(self, other: 'StoreVersion') -> bool:
        """Tell whether no restoration is known between two versions."""
        return None in {self.epoch, other.epoch} or self.epoch == other.epoch


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """Hold a row; `content` is None where the row was removed."""

    table: str
    key: str
    version: StoreVersion
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold rows as of one version of the store."""

    version: StoreVersion
    rows: tuple[VersionedRow, ...]


@dataclass(frozen=True, slots=True)
class RowName:
    """Name a row."""

    table: str
    key: str


class StoreOut(Exception):
    """Report a store that gave no usable answer."""

    def __init__(self, reason: str, *, may_be_done: bool = True) -> None:
        """Name the reason; `may_be_done` is about a write."""
        super().__init__(f'The store is out ({reason}); try again later.')
        self.reason = reason
        self.may_be_done = may_be_done


class HistoryLost(Exception):
    """Report a feed that cannot go on from the version asked for."""

    def __init__(self) -> None:
        """Name the remedy."""
        super().__init__('The history is gone; read the rows again.')


class RowStore(Protocol):
    """Read, watch and change rows."""

    @property
    def calls_by_kind(self) -> Counter[str]:
        """Return the number of calls sent, by operation and table."""

    @property
    def epoch(self) -> int | None:
        """Return the epoch of the store, None if it has named none."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when the store is found in another epoch."""

    async def read(self, table: str) -> Snapshot:
        """Return all rows of a table. Raise StoreOut."""

    async def read_row(self, name: RowName) -> Snapshot:
        """Return a row, no rows if it does not exist. Raise StoreOut."""

    async def changes(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Snapshot:
        """Return the rows changed after a version. Raise HistoryLost."""

    async def put(
        self,
        name: RowName,
        content: bytes,
        replaced: StoreVersion | None = None,
    ) -> StoreVersion | None:
        """Write a row if it has a version, or does not exist if None.

        Return the version that it has now, None if it had another before.
        Raise StoreOut.
        """

    async def remove(
        self, names: Sequence[RowName], versions: Sequence[StoreVersion]
    ) -> bool:
        """Remove rows that still have their versions; return whether."""
