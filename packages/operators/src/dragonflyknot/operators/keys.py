"""Issue, withdraw and list the keys of an environment.

A key is shown once, when it is issued; the table holds its SHA-256 only.
Each change takes the next sequence number, and moves the head with it.
"""

import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from result import Err, Ok, Result

from dragonflyknot.operators.clock import Clock
from dragonflyknot.stores.errors import (
    ConditionFailed,
    PlatformError,
    ReadError,
)
from dragonflyknot.stores.interfaces import Table
from dragonflyknot.stores.paging import read_all
from dragonflyknot.stores.rows import (
    KeyChangeBody,
    KeyHeadBody,
    decoded,
    encoded,
    hash_of_key,
    key_head_key,
    key_log_key,
    key_log_partition,
)
from dragonflyknot.stores.writes import CompareAndSet, PutIfAbsent, Row, Write

KEY_PREFIX: Final = 'dfk_'
KEY_RANDOM_BYTES: Final = 32
MAX_RACES: Final = 8


@dataclass(frozen=True, slots=True)
class Issued:
    """Hold a new key, whose text never shows in the representation."""

    key: str = field(repr=False)
    change: KeyChangeBody


@dataclass(frozen=True, slots=True)
class KeyNotFound:
    """Say that not exactly one key has an identifier.

    The identifier is left out, since it may be a key by mistake.
    """

    def __str__(self) -> str:
        return (
            'Not exactly one key has this identifier; run "dragonflyknot key'
            ' list" and give one from there.'
        )


@dataclass(frozen=True, slots=True)
class Raced:
    """Say that other operators' key changes came first each time."""

    def __str__(self) -> str:
        return 'Other key changes came first each time; run it again.'


KeyChangeError = PlatformError | KeyNotFound | Raced


class Keys:
    """Read and append the key changes of one environment."""

    def __init__(self, table: Table, environment: str, clock: Clock) -> None:
        """Work on the rows of `environment`."""
        self._table = table
        self._environment = environment
        self._clock = clock

    async def issue(
        self, workspace: str, label: str = ''
    ) -> Result[Issued, KeyChangeError]:
        """Issue a new key of a workspace."""
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)
        change = KeyChangeBody(
            sequence=0,
            key_hash=hash_of_key(key),
            workspace=workspace,
            withdrawn=False,
            changed_at=self._clock.now(),
            label=label,
        )
        appended = await self._append(change)
        if isinstance(appended, Err):
            return appended
        return Ok(Issued(key, appended.ok_value))

    async def find(self, key_id: str) -> Result[KeyChangeBody, KeyChangeError]:
        """Return the last change of a key by its identifier or text."""
        if key_id.startswith(KEY_PREFIX):
            key_id = hash_of_key(key_id)
        listed = await self.listed()
        if isinstance(listed, Err):
            return listed
        found = [
            change
            for change in listed.ok_value
            if key_id and change.key_hash.startswith(key_id)
        ]
        if len(found) != 1:
            return Err(KeyNotFound())
        return Ok(found[0])

    async def withdraw(
        self, key_id: str
    ) -> Result[KeyChangeBody, KeyChangeError]:
        """Find and withdraw a key, without an announcement."""
        found = await self.find(key_id)
        if isinstance(found, Err):
            return found
        return await self.mark_withdrawn(found.ok_value)

    async def mark_withdrawn(
        self, found: KeyChangeBody
    ) -> Result[KeyChangeBody, KeyChangeError]:
        """Withdraw a key that was found; twice is no error."""
        if found.withdrawn:
            return Ok(found)
        return await self._append(
            replace(found, withdrawn=True, changed_at=self._clock.now())
        )

    async def listed(
        self,
    ) -> Result[tuple[KeyChangeBody, ...], ReadError]:
        """Return the last change of every key, oldest first."""
        partition = key_log_partition(self._environment)
        rows = await read_all(self._table, partition)
        if isinstance(rows, Err):
            return rows
        return _last_changes(rows.ok_value)

    async def _append(
        self, change: KeyChangeBody
    ) -> Result[KeyChangeBody, KeyChangeError]:
        races = 0
        while races < MAX_RACES:
            answer = await self._append_once(change)
            if not isinstance(answer.err(), ConditionFailed):
                return answer
            races += 1
        return Err(Raced())

    async def _append_once(
        self, change: KeyChangeBody
    ) -> Result[KeyChangeBody, KeyChangeError]:
        head = await self._table.get(key_head_key(self._environment))
        if isinstance(head, Err):
            return head
        last = _sequence_in(head.ok_value)
        if isinstance(last, Err):
            return last
        numbered = replace(change, sequence=last.ok_value + 1)
        answer = await self._table.transact(
            self._writes(head.ok_value, numbered)
        )
        if isinstance(answer, Err):
            return answer
        return Ok(numbered)

    def _writes(
        self, head: Row | None, change: KeyChangeBody
    ) -> tuple[Write, ...]:
        nonce = self._clock.nonce()
        moved = encoded(KeyHeadBody(change.sequence))
        key = key_log_key(self._environment, change.sequence)
        entry = PutIfAbsent(key, nonce, encoded(change))
        if head is None:
            head_key = key_head_key(self._environment)
            return PutIfAbsent(head_key, nonce, moved), entry
        return CompareAndSet(head, nonce, moved), entry


def _sequence_in(head: Row | None) -> Result[int, ReadError]:
    if head is None:
        return Ok(0)
    body = decoded(KeyHeadBody, head)
    if isinstance(body, Err):
        return body
    return Ok(body.ok_value.sequence)


def _last_changes(
    rows: Sequence[Row],
) -> Result[tuple[KeyChangeBody, ...], ReadError]:
    change_by_hash: dict[str, KeyChangeBody] = {}
    for row in rows:
        change = decoded(KeyChangeBody, row)
        if isinstance(change, Err):
            return change
        change_by_hash[change.ok_value.key_hash] = change.ok_value
    return Ok(tuple(change_by_hash.values()))
