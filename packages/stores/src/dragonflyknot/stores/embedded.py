"""The platform's services inside one process.

For a first run on one machine and for tests. The stand-in server serves
these same classes over the wire. Switches make them fail.
"""

import asyncio
from bisect import bisect_left, bisect_right, insort
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from dragonflyknot.stores.errors import (
    AnswerLost,
    ConditionFailed,
    Conflict,
    PlatformError,
    ReadError,
    Rejected,
    Unavailable,
)
from dragonflyknot.stores.interfaces import PAGE_ROWS, Page, Usage
from dragonflyknot.stores.limits import fault_of
from dragonflyknot.stores.switches import Switches
from dragonflyknot.stores.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Row,
    RowKey,
    Write,
    row_after,
)

TABLE: Final = 'table service'
OBJECTS: Final = 'object store'


@dataclass(slots=True)
class _Partition:
    """Hold the rows of a partition and their order."""

    row_by_sort: dict[str, Row] = field(default_factory=dict)
    sorts: list[str] = field(default_factory=list)

    def put(self, row: Row) -> None:
        if row.key.sort not in self.row_by_sort:
            insort(self.sorts, row.key.sort)
        self.row_by_sort[row.key.sort] = row

    def delete(self, sort: str) -> None:
        if self.row_by_sort.pop(sort, None) is not None:
            del self.sorts[bisect_left(self.sorts, sort)]

    def page(self, since: str) -> Page:
        start = bisect_right(self.sorts, since)
        end = start + PAGE_ROWS
        sorts = self.sorts[start:end]
        rows = tuple(self.row_by_sort[sort] for sort in sorts)
        return Page(rows, more=end < len(self.sorts))


class EmbeddedTable:
    """Keep rows in memory."""

    def __init__(self, switches: Switches | None = None) -> None:
        """Start empty, with no faults unless switches say so."""
        self.usage = Usage()
        self.switches = switches or Switches()
        self._partition_by_name: dict[str, _Partition] = {}

    async def get(self, key: RowKey) -> Result[Row | None, ReadError]:
        """Return the row under a key, or none."""
        match await _admitted(self.switches, self.usage, TABLE):
            case Unavailable() as error:
                return Err(error)
        self.usage.reads += 1
        return Ok(self._row(key))

    async def query(
        self, partition: str, since: str = ''
    ) -> Result[Page, ReadError]:
        """Return the rows of a partition whose sort is beyond `since`."""
        match await _admitted(self.switches, self.usage, TABLE):
            case Unavailable() as error:
                return Err(error)
        page = self._partition(partition).page(since)
        self.usage.reads += max(1, len(page.rows))
        return Ok(page)

    async def write(self, write: Write) -> Result[None, PlatformError]:
        """Write one row if its condition holds."""
        return await self.transact((write,))

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[None, PlatformError]:
        """Write all rows, or none if a condition does not hold."""
        match await _admitted(self.switches, self.usage, TABLE):
            case Unavailable() as error:
                return Err(error)
        match fault_of(writes):
            case str() as fault:
                return Err(Rejected(TABLE, fault))
        self.usage.writes += len(writes)
        conflicts = tuple(filter(None, map(self._conflict, writes)))
        if conflicts:
            return Err(ConditionFailed(conflicts))
        for write in writes:
            self._apply(write)
        return _answered(self.switches, TABLE)

    def _row(self, key: RowKey) -> Row | None:
        return self._partition(key.partition).row_by_sort.get(key.sort)

    def _partition(self, name: str) -> _Partition:
        return self._partition_by_name.setdefault(name, _Partition())

    def _conflict(self, write: Write) -> Conflict | None:
        current = self._row(write.key)
        match write:
            case PutIfAbsent() if current is None:
                return None
            case CompareAndSet(expected) | DeleteIf(expected):
                if _is_unchanged(expected, current):
                    return None
        return Conflict(write.key, current)

    def _apply(self, write: Write) -> None:
        partition = self._partition(write.key.partition)
        match write:
            case PutIfAbsent() | CompareAndSet():
                partition.put(row_after(write))
            case DeleteIf():
                partition.delete(write.key.sort)


class EmbeddedObjects:
    """Keep objects in memory."""

    def __init__(self, switches: Switches | None = None) -> None:
        """Start empty, with no faults unless switches say so."""
        self.usage = Usage()
        self.switches = switches or Switches()
        self._content_by_key: dict[str, bytes] = {}

    async def get(self, key: str) -> Result[bytes | None, ReadError]:
        """Return the content under a key, or none."""
        match await _admitted(self.switches, self.usage, OBJECTS):
            case Unavailable() as error:
                return Err(error)
        self.usage.reads += 1
        return Ok(self._content_by_key.get(key))

    async def put(
        self, key: str, content: bytes
    ) -> Result[None, PlatformError]:
        """Store content under a key unless the key exists."""
        match await _admitted(self.switches, self.usage, OBJECTS):
            case Unavailable() as error:
                return Err(error)
        self.usage.writes += 1
        self._content_by_key.setdefault(key, content)
        return _answered(self.switches, OBJECTS)

    async def exists(self, key: str) -> Result[bool, ReadError]:
        """Say whether a key exists."""
        match await self.get(key):
            case Ok(content):
                return Ok(content is not None)
            case Err(error):
                return Err(error)

    def holds(self, key: str) -> bool:
        """Say whether a key exists, whatever the switches say."""
        return key in self._content_by_key


def _is_unchanged(expected: Row, current: Row | None) -> bool:
    return current is not None and current.nonce == expected.nonce


async def _admitted(
    switches: Switches, usage: Usage, service: str
) -> Unavailable | None:
    if switches.delay_s > 0:
        await asyncio.sleep(switches.delay_s)
    usage.is_up = not switches.down
    if switches.down:
        return Unavailable(service, 'switched down')
    return None


def _answered(switches: Switches, service: str) -> Result[None, PlatformError]:
    if switches.lose_answer():
        return Err(AnswerLost(service, 'answer switched off'))
    return Ok(None)
