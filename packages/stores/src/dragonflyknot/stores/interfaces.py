"""What the rest of the system needs from the platform's services.

`Table` holds small versioned rows; every write is conditional and carries a
nonce of its writer. `Objects` holds immutable content. Both give every call
a deadline and count reads and writes. `embedded`, `dynamodb` and `s3`
implement them, and `settling` resolves lost answers.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from dragonflyknot.stores.errors import PlatformError, ReadError
from dragonflyknot.stores.writes import Row, RowKey, Write

MAX_TRANSACTION_ROWS: Final = 100
PAGE_ROWS: Final = 1000


@dataclass(frozen=True, slots=True)
class Page:
    """Hold rows in order; `more` says that the partition goes on."""

    rows: tuple[Row, ...]
    more: bool


@dataclass(slots=True)
class Usage:
    """Count the rows and objects that were read and written.

    `is_up` says whether the last call was answered in time.
    """

    reads: int = 0
    writes: int = 0
    is_up: bool = True


class Table(Protocol):
    """Read and write versioned rows; reads are consistent."""

    usage: Usage

    async def get(self, key: RowKey) -> Result[Row | None, ReadError]:
        """Return the row under a key, or none."""

    async def query(
        self, partition: str, since: str = ''
    ) -> Result[Page, ReadError]:
        """Return the rows of a partition whose sort is beyond `since`."""

    async def write(self, write: Write) -> Result[None, PlatformError]:
        """Write one row if its condition holds."""

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[None, PlatformError]:
        """Write all rows, or none if a condition does not hold.

        There may be `MAX_TRANSACTION_ROWS` rows with distinct keys.
        """


class Objects(Protocol):
    """Keep immutable content under a key."""

    usage: Usage

    async def get(self, key: str) -> Result[bytes | None, ReadError]:
        """Return the content under a key, or none."""

    async def put(
        self, key: str, content: bytes
    ) -> Result[None, PlatformError]:
        """Store content under a key unless the key exists."""

    async def exists(self, key: str) -> Result[bool, ReadError]:
        """Say whether a key exists."""
