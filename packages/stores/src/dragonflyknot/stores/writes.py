"""Rows of the table service and the conditional writes on them.

Every write leaves a row with a new version and the nonce of its writer.
"""

from dataclasses import dataclass
from typing import Final

FIRST_VERSION: Final = 1


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Address a row; rows of a partition are ordered by `sort`."""

    partition: str
    sort: str

    def __str__(self) -> str:
        return f'{self.partition}/{self.sort}'


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one version of a row; `nonce` names the write that made it."""

    key: RowKey
    version: int
    nonce: str
    body: str


@dataclass(frozen=True, slots=True)
class PutIfAbsent:
    """Insert a row unless there is one."""

    key: RowKey
    nonce: str
    body: str


@dataclass(frozen=True, slots=True)
class CompareAndSet:
    """Replace the row `expected` by its next version."""

    expected: Row
    nonce: str
    body: str

    @property
    def key(self) -> RowKey:
        """Return the key of the row that is replaced."""
        return self.expected.key


@dataclass(frozen=True, slots=True)
class DeleteIf:
    """Delete the row `expected` unless it has changed."""

    expected: Row

    @property
    def key(self) -> RowKey:
        """Return the key of the row that is deleted."""
        return self.expected.key


Write = PutIfAbsent | CompareAndSet | DeleteIf


def row_after(write: PutIfAbsent | CompareAndSet) -> Row:
    """Return the row that a write leaves behind."""
    match write:
        case PutIfAbsent(key, nonce, body):
            return Row(key, FIRST_VERSION, nonce, body)
        case CompareAndSet(expected, nonce, body):
            return Row(expected.key, expected.version + 1, nonce, body)
