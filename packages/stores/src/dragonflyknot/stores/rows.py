"""Layouts of the rows that operators write and daemons read.

Every partition begins with the environment, so that one table serves the
trial and production. Bodies are JSON; fields that a reader does not know are
ignored, and a body that it cannot read is an error.

Document: `ENV/document` holds one row, `current`, moved by compare-and-set
with the next number. `ENV/history` holds each accepted revision under its
number, written in the same transaction.

Keys: `ENV/keys` is a log of key changes under contiguous sequence numbers,
and `ENV/key-head` holds the last number, moved in the same transaction. A
reader that has applied every number up to the head holds all keys as of the
moment before it read the head. The last change of a key decides.
"""

import json
from dataclasses import asdict, dataclass
from functools import cache
from hashlib import sha256
from typing import Annotated, Any, Final, TypeVar

from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from dragonflyknot.decisions.document import Revision
from dragonflyknot.stores.errors import Rejected
from dragonflyknot.stores.writes import Row, RowKey

SEQUENCE_DIGITS: Final = 20
KEY_ID_DIGITS: Final = 12
MAX_NUMBER: Final = 2**63 - 1

_Number = Annotated[int, Field(ge=0, le=MAX_NUMBER)]

_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class AcceptedBody:
    """Describe an accepted revision: who moved the row, when and why.

    `accepted_at` is ISO 8601 in UTC. `forced` says that the digest had not
    run in the trial.
    """

    number: _Number
    digest: str
    operator: str
    accepted_at: str
    reason: str = ''
    forced: bool = False


@dataclass(frozen=True, slots=True)
class KeyHeadBody:
    """Hold the number of the last key change."""

    sequence: _Number


@dataclass(frozen=True, slots=True)
class KeyChangeBody:
    """Describe one issue or withdrawal of a key, named by its SHA-256."""

    sequence: _Number
    key_hash: str
    workspace: str
    withdrawn: bool
    changed_at: str
    label: str = ''

    @property
    def key_id(self) -> str:
        """Return the short name of the key, safe to show."""
        return self.key_hash[:KEY_ID_DIGITS]


def document_key(environment: str) -> RowKey:
    """Return the key of the row that names the revision in force."""
    return RowKey(f'{environment}/document', 'current')


def history_key(environment: str, number: int) -> RowKey:
    """Return the key of an accepted revision."""
    return RowKey(history_partition(environment), padded(number))


def history_partition(environment: str) -> str:
    """Return the partition of the accepted revisions."""
    return f'{environment}/history'


def key_head_key(environment: str) -> RowKey:
    """Return the key of the row with the last key change."""
    return RowKey(f'{environment}/key-head', 'head')


def key_log_key(environment: str, sequence: int) -> RowKey:
    """Return the key of a key change."""
    return RowKey(key_log_partition(environment), padded(sequence))


def key_log_partition(environment: str) -> str:
    """Return the partition of the key changes."""
    return f'{environment}/keys'


def padded(number: int) -> str:
    """Return a number in a form that sorts by its size."""
    return str(number).zfill(SEQUENCE_DIGITS)


def hash_of_key(key: str) -> str:
    """Return the SHA-256 by which a key is known, in hexadecimal digits."""
    return sha256(key.encode()).hexdigest()


def revision_of(row: Row) -> Result[Revision, Rejected]:
    """Return the revision in a document row."""
    match decoded(AcceptedBody, row):
        case Ok(body):
            return Ok(Revision(body.number, body.digest, row.nonce))
        case Err(error):
            return Err(error)


def encoded(body: AcceptedBody | KeyHeadBody | KeyChangeBody) -> str:
    """Return the JSON form of a body."""
    return json.dumps(asdict(body), sort_keys=True)


def decoded(body_type: type[_Body], row: Row) -> Result[_Body, Rejected]:
    """Return the typed body of a row; reject another layout."""
    hashable: Any = body_type
    adapter = _adapter(hashable)
    try:
        return Ok(adapter.validate_json(row.body, strict=True))
    except ValidationError:
        return Err(Rejected('table service', f'layout of row {row.key}'))


@cache
def _adapter(body_type: type[Any]) -> TypeAdapter[Any]:
    return TypeAdapter(body_type)
