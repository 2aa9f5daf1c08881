"""Settle writes to the table whose answers were lost.

A write whose answer was lost may have taken effect, may take effect later,
or never. The row is read back: the writer's own nonce proves the write, and
a version that another writer made in its place disproves it. While neither
is so the write is sent again with the same nonce, which cannot apply twice.
"""

from collections.abc import Sequence
from enum import Enum, unique
from typing import Final

from result import Err, Ok, Result

from dragonflyknot.stores.errors import (
    AnswerLost,
    ConditionFailed,
    Conflict,
    PlatformError,
    ReadError,
)
from dragonflyknot.stores.interfaces import Page, Table
from dragonflyknot.stores.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Row,
    RowKey,
    Write,
    row_after,
)

MAX_SENDS: Final = 3


@unique
class Evidence(Enum):
    """Say what a row read back tells about a write."""

    APPLIED = 'applied'
    LOST = 'lost'
    OPEN = 'open'
    UNKNOWN = 'unknown'


class SettledTable:
    """Wrap a table and resolve its lost answers as far as can be known."""

    def __init__(self, table: Table) -> None:
        """Wrap `table` and share its counters."""
        self._table = table
        self.usage = table.usage

    async def get(self, key: RowKey) -> Result[Row | None, ReadError]:
        """Return the row under a key, or none."""
        return await self._table.get(key)

    async def query(
        self, partition: str, since: str = ''
    ) -> Result[Page, ReadError]:
        """Return the rows of a partition whose sort is beyond `since`."""
        return await self._table.query(partition, since)

    async def write(self, write: Write) -> Result[None, PlatformError]:
        """Write one row; `AnswerLost` remains only if nothing tells."""
        return await self.transact((write,))

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[None, PlatformError]:
        """Write all rows; `AnswerLost` remains only if nothing tells.

        The rows are written together, so that one of them tells for all.
        """
        answer = await self._table.transact(writes)
        sends = 1
        while sends < MAX_SENDS:
            match answer:
                case Err(AnswerLost() as lost):
                    answer = await self._settle(writes, lost)
                case _:
                    return answer
            sends += 1
        return answer

    async def _settle(
        self, writes: Sequence[Write], lost: AnswerLost
    ) -> Result[None, PlatformError]:
        match await self._table.get(_witness(writes).key):
            case Ok(current):
                return await self._judge(writes, current, lost)
            case _:
                return Err(lost)

    async def _judge(
        self, writes: Sequence[Write], current: Row | None, lost: AnswerLost
    ) -> Result[None, PlatformError]:
        witness = _witness(writes)
        match evidence(witness, current):
            case Evidence.APPLIED:
                return Ok(None)
            case Evidence.LOST:
                conflict = Conflict(witness.key, current)
                return Err(ConditionFailed((conflict,)))
            case Evidence.UNKNOWN:
                return Err(lost)
            case Evidence.OPEN:
                return await self._send_again(writes, lost)

    async def _send_again(
        self, writes: Sequence[Write], lost: AnswerLost
    ) -> Result[None, PlatformError]:
        """Send once more; a failed condition may be our own earlier write."""
        answer = await self._table.transact(writes)
        match answer:
            case Err(ConditionFailed(conflicts)):
                return _answer_of_conflicts(_witness(writes), conflicts, lost)
            case Err():
                return Err(lost)
            case _:
                return answer


def evidence(write: Write, current: Row | None) -> Evidence:
    """Return what the present row tells about a write."""
    match write:
        case DeleteIf(expected):
            return _evidence_of_delete(expected, current)
        case PutIfAbsent() | CompareAndSet():
            return _evidence_of_put(write, current)


def _witness(writes: Sequence[Write]) -> Write:
    """Return a write that leaves a nonce behind, if there is one."""
    for write in writes:
        match write:
            case PutIfAbsent() | CompareAndSet():
                return write
    return writes[0]


def _evidence_of_delete(expected: Row, current: Row | None) -> Evidence:
    if current is None:
        return Evidence.APPLIED
    if current.nonce == expected.nonce:
        return Evidence.OPEN
    return Evidence.UNKNOWN


def _evidence_of_put(
    write: PutIfAbsent | CompareAndSet, current: Row | None
) -> Evidence:
    wanted = row_after(write)
    if current is None:
        return _evidence_of_absence(write)
    if current.nonce == wanted.nonce:
        return Evidence.APPLIED
    if current.version < wanted.version:
        return Evidence.OPEN
    if current.version == wanted.version:
        return Evidence.LOST
    return Evidence.UNKNOWN


def _evidence_of_absence(write: PutIfAbsent | CompareAndSet) -> Evidence:
    match write:
        case PutIfAbsent():
            return Evidence.OPEN
        case CompareAndSet():
            return Evidence.UNKNOWN


def _answer_of_conflicts(
    witness: Write, conflicts: tuple[Conflict, ...], lost: AnswerLost
) -> Result[None, PlatformError]:
    own = [conflict for conflict in conflicts if conflict.key == witness.key]
    if not own:
        return Err(ConditionFailed(conflicts))
    match evidence(witness, own[0].current):
        case Evidence.APPLIED:
            return Ok(None)
        case Evidence.UNKNOWN:
            return Err(lost)
        case _:
            return Err(ConditionFailed(conflicts))
