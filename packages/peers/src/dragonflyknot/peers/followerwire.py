"""JSON messages by which hosts count those that follow the store.

A request and its response both tell the status of their sender.
"""

import json
from dataclasses import dataclass
from typing import Any, Final

from dragonflyknot.decisions.followers import FollowerCount
from dragonflyknot.exchange.jsonfields import Fields, read_json
from dragonflyknot.exchange.telemetry import FaultLog

FOLLOWERS_PATH: Final = '/.dragonflyknot/followers'
MAX_COUNT: Final = 1_000_000
_faults = FaultLog()


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """Tell which configuration a host has, and who follows the store.

    `count` covers the hosts of its region up to this one; it is None if the
    host does not know.
    """

    host: str
    version: int
    count: FollowerCount | None = None


def encode_status(status: FollowerStatus) -> bytes:
    """Encode a status as JSON."""
    fields: dict[str, Any] = {'host': status.host, 'version': status.version}
    if status.count is not None:
        fields['following'] = status.count.following
        fields['starting'] = status.count.starting
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_status(content: bytes) -> FollowerStatus | None:
    """Decode a status; return None if malformed."""
    try:
        return _decode_fields(Fields(read_json(content), 'status'))
    except ValueError as error:
        _faults.write('follower_status_malformed', fault=str(error))
        return None


def _decode_fields(fields: Fields) -> FollowerStatus:
    return FollowerStatus(
        fields.name('host'),
        fields.integer('version', minimum=0),
        _decode_count(fields) if fields.has('following') else None,
    )


def _decode_count(fields: Fields) -> FollowerCount:
    return FollowerCount(
        fields.integer('following', minimum=0, maximum=MAX_COUNT),
        fields.integer('starting', 0, minimum=0, maximum=MAX_COUNT),
    )
