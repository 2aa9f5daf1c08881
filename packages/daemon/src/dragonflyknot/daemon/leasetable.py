"""Keep the rows of the shard leases in the table service.

The epoch of a shard row and the counter of a heartbeat row are the versions
of their table rows, so that a conditional write is a compare-and-set. A
layout row holds what all daemons must agree on.
"""

import secrets

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from dragonflyknot.decisions.leasemessages import (
    DeleteHeartbeat,
    HeartbeatRow,
    LeaseEvent,
    LeaseSettings,
    RowsRead,
    RowsReadFailed,
    RowWrite,
    RowWriteApplied,
    RowWriteRejected,
    RowWriteUnresolved,
    ShardRow,
    WriteHeartbeat,
    WriteShard,
)
from dragonflyknot.stores.errors import (
    ConditionFailed,
    Rejected,
    Unavailable,
)
from dragonflyknot.stores.interfaces import Table
from dragonflyknot.stores.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Row,
    RowKey,
    Write,
    row_after,
)

NONCE_BYTES = 8
SHARD_DIGITS = 6


class _ShardBody(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    holder: str
    daemon: str
    revision: int
    layout: str


class _HeartbeatBody(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    daemon: str
    witness: str
    dead: bool


class _Layout(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    shards: int
    lease_s: float
    witness_lease_s: float
    margin_s: float


class LeaseTable:
    """Read and write lease rows; writes are conditional on their versions."""

    def __init__(
        self, table: Table, environment: str, settings: LeaseSettings
    ) -> None:
        """Keep the table and what the fleet has to agree on."""
        self._table = table
        self._shards = f'{environment}/rates/shards'
        self._heartbeats = f'{environment}/rates/heartbeats'
        self._layout_key = RowKey(f'{environment}/rates', 'layout')
        self._layout = _Layout(
            shards=settings.shards,
            lease_s=settings.lease_s,
            witness_lease_s=settings.witness_lease_s,
            margin_s=settings.margin_s,
        )
        self._rows_by_key: dict[RowKey, Row] = {}

    async def agree(self) -> Result[bool, str]:
        """Return whether the fleet has this daemon's layout.

        The first daemon of an environment writes the layout. The error says
        why the table could not tell.
        """
        present = await self._table.get(self._layout_key)
        if isinstance(present, Err):
            return Err(str(present.err_value))
        row = present.ok_value
        if row is None:
            return await self._write_layout()
        try:
            found = _Layout.model_validate_json(row.body)
        except ValidationError as error:
            return Err(str(error))
        return Ok(found == self._layout)

    async def _write_layout(self) -> Result[bool, str]:
        body = self._layout.model_dump_json()
        match await self._table.write(
            PutIfAbsent(self._layout_key, _nonce(), body)
        ):
            case Err(error):
                return Err(str(error))
        return Ok(True)

    async def read(self, asked_at: float) -> LeaseEvent:
        """Read all rows, the shards first."""
        shards = await self._query(self._shards)
        heartbeats = await self._query(self._heartbeats)
        if isinstance(shards, Err) or isinstance(heartbeats, Err):
            return RowsReadFailed()
        rows = (*shards.ok_value, *heartbeats.ok_value)
        self._rows_by_key = {row.key: row for row in rows}
        try:
            return RowsRead(
                asked_at,
                tuple(_shard_row(row) for row in shards.ok_value),
                tuple(_heartbeat_row(row) for row in heartbeats.ok_value),
            )
        except (ValidationError, ValueError):
            return RowsReadFailed()

    async def write(self, write: RowWrite) -> LeaseEvent:
        """Write a row and return what became of it."""
        prepared = self._prepare(write)
        if prepared is None:
            return RowWriteRejected(write)
        match await self._table.write(prepared):
            case Ok():
                self._remember(prepared)
                return RowWriteApplied(write)
            case Err(ConditionFailed() | Rejected()):
                return RowWriteRejected(write)
            case Err(Unavailable()):
                return RowWriteUnresolved(write)
        return RowWriteUnresolved(write)

    def _prepare(self, write: RowWrite) -> Write | None:
        match write:
            case WriteShard(row, expected):
                key = RowKey(self._shards, f'{row.shard:0{SHARD_DIGITS}}')
                body = _ShardBody(
                    holder=row.holder,
                    daemon=row.daemon,
                    revision=row.revision,
                    layout=row.layout,
                )
                return self._conditional(key, expected, body)
            case WriteHeartbeat(heartbeat, expected):
                key = RowKey(self._heartbeats, heartbeat.holder)
                return self._conditional(
                    key,
                    expected,
                    _HeartbeatBody(
                        daemon=heartbeat.daemon,
                        witness=heartbeat.witness,
                        dead=heartbeat.dead,
                    ),
                )
            case DeleteHeartbeat(dead):
                key = RowKey(self._heartbeats, dead.holder)
                known = self._known(key, dead.counter)
                return None if known is None else DeleteIf(known)

    def _conditional(
        self, key: RowKey, expected: int | None, body: BaseModel
    ) -> Write | None:
        if expected is None:
            return PutIfAbsent(key, _nonce(), body.model_dump_json())
        known = self._known(key, expected)
        if known is None:
            return None
        return CompareAndSet(known, _nonce(), body.model_dump_json())

    def _known(self, key: RowKey, version: int) -> Row | None:
        known = self._rows_by_key.get(key)
        if known is None or known.version != version:
            return None
        return known

    def _remember(self, write: Write) -> None:
        match write:
            case PutIfAbsent() | CompareAndSet():
                self._rows_by_key[write.key] = row_after(write)
            case DeleteIf():
                self._rows_by_key.pop(write.key, None)

    async def _query(self, partition: str) -> Result[tuple[Row, ...], None]:
        rows: list[Row] = []
        more = True
        while more:
            since = rows[-1].key.sort if rows else ''
            page = await self._table.query(partition, since)
            if isinstance(page, Err):
                return Err(None)
            rows.extend(page.ok_value.rows)
            more = page.ok_value.more
        return Ok(tuple(rows))


def _shard_row(row: Row) -> ShardRow:
    body = _ShardBody.model_validate_json(row.body)
    return ShardRow(
        int(row.key.sort),
        body.holder,
        body.daemon,
        row.version,
        body.revision,
        body.layout,
    )


def _heartbeat_row(row: Row) -> HeartbeatRow:
    body = _HeartbeatBody.model_validate_json(row.body)
    return HeartbeatRow(
        row.key.sort, body.daemon, row.version, body.witness, body.dead
    )


def _nonce() -> str:
    return secrets.token_hex(NONCE_BYTES)
