"""Limits that the table service sets on writes.

The embedded table holds to them, so that a write which the service would
refuse is refused in a test too.
"""

from collections.abc import Sequence
from typing import Final

from dragonflyknot.stores.interfaces import MAX_TRANSACTION_ROWS
from dragonflyknot.stores.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Write,
)

MAX_ROW_BYTES: Final = 400_000


def fault_of(writes: Sequence[Write]) -> str | None:
    """Return why the service would refuse the writes, or none."""
    keys = {write.key for write in writes}
    if not writes or len(writes) > MAX_TRANSACTION_ROWS:
        return f'{len(writes)} rows in a transaction'
    if len(keys) < len(writes):
        return 'a row twice in a transaction'
    if not all(key.partition and key.sort for key in keys):
        return 'an empty key'
    if max(map(_body_bytes, writes)) > MAX_ROW_BYTES:
        return f'a row of more than {MAX_ROW_BYTES} bytes'
    return None


def _body_bytes(write: Write) -> int:
    match write:
        case PutIfAbsent() | CompareAndSet():
            return len(write.body.encode())
        case DeleteIf():
            return 0
