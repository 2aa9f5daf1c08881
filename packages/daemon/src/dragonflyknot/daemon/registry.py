"""Rows by which daemons find first peers; written on join and leave only."""

import asyncio
import random
import secrets
from contextlib import suppress
from dataclasses import dataclass

import structlog
from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err

from dragonflyknot.stores.interfaces import Table
from dragonflyknot.stores.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Row,
    RowKey,
    row_after,
)

MAX_ADDRESSES = 8
LEAVE_TIMEOUT_S = 1.0
NONCE_BYTES = 12

_log = structlog.get_logger(__name__)


class _HostBody(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    control: str


@dataclass(frozen=True, slots=True)
class Registration:
    """Describe this daemon; `control` is IP:port."""

    environment: str
    host: str
    control: str


class Registry:
    """Own the rows of this daemon; a context manager."""

    def __init__(self, table: Table, registration: Registration) -> None:
        """Keep the table and what is registered."""
        self._table = table
        self._registration = registration
        self._rows: list[Row] = []

    async def __aenter__(self) -> 'Registry':
        """Register the daemon; a store that is out does not stop it."""
        await self._register('')
        return self

    async def __aexit__(self, *details: object) -> None:
        """Remove the rows unless a later process has replaced them."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                for row in self._rows:
                    await self._table.write(DeleteIf(row))

    async def serve(self, service: str) -> None:
        """Register the daemon under the service of its upstream."""
        await self._register(service)

    async def addresses(self, service: str = '') -> tuple[str, ...]:
        """Return some control addresses, of one service or of all."""
        page = await self._table.query(self._partition(service))
        if isinstance(page, Err):
            return ()
        rows = [
            row
            for row in page.ok_value.rows
            if row.key.sort != self._registration.host
        ]
        chosen = random.sample(rows, min(len(rows), MAX_ADDRESSES))
        found = (_address_in(row) for row in chosen)
        return tuple(address for address in found if address)

    async def _register(self, service: str) -> None:
        key = RowKey(self._partition(service), self._registration.host)
        present = await self._table.get(key)
        if isinstance(present, Err):
            _log.warning('not_registered', reason=str(present.err()))
            return
        write = self._write(key, present.ok_value)
        answer = await self._table.write(write)
        if isinstance(answer, Err):
            _log.warning('not_registered', reason=str(answer.err()))
            return
        self._rows.append(row_after(write))

    def _write(
        self, key: RowKey, present: Row | None
    ) -> PutIfAbsent | CompareAndSet:
        nonce = secrets.token_hex(NONCE_BYTES)
        body = _HostBody(control=self._registration.control).model_dump_json()
        if present is None:
            return PutIfAbsent(key, nonce, body)
        return CompareAndSet(present, nonce, body)

    def _partition(self, service: str) -> str:
        environment = self._registration.environment
        return f'{environment}/hosts/{service}'


def _address_in(row: Row) -> str:
    try:
        return _HostBody.model_validate_json(row.body).control
    except ValidationError:
        return ''
