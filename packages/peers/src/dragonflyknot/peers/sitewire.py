"""JSON messages between the daemons of a site.

Gossip starts with a digest of what the sender knows. If the digests differ,
the answer lists the stamp of each entry. A second message then sends the
entries that the receiver lacks and requests those that the sender lacks.

For compatibility between versions, unknown fields are ignored and malformed
entries are skipped.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from dragonflyknot.decisions.balancer import MAX_SLOTS, Place
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.siteview import MAX_STAMP, SiteEntry, Stamps
from dragonflyknot.decisions.upstreamstate import MAX_BORN_MS
from dragonflyknot.exchange.jsonfields import FieldFault, Fields, read_json
from dragonflyknot.exchange.telemetry import FaultLog

GOSSIP_PATH: Final = '/.dragonflyknot/gossip'
CONFIGURATION_PATH: Final = '/.dragonflyknot/configuration'
STOPPING_PATH: Final = '/.dragonflyknot/stopping'
_STATES_BY_VALUE: Final = MappingProxyType(
    {state.value: state for state in UpstreamState}
)
_faults = FaultLog()


@dataclass(frozen=True, slots=True)
class SiteGossip:
    """A gossip message between two daemons of a site.

    A digest requests a comparison, `wants` the entries of the named hosts.
    """

    version: int
    digest: str = ''
    entries: tuple[SiteEntry, ...] = ()
    wants: tuple[str, ...] = ()
    stamps: Stamps | None = None


def encode_entry(entry: SiteEntry) -> bytes:
    """Encode an entry as JSON."""
    return json.dumps(
        _encode_entry_fields(entry), separators=(',', ':')
    ).encode()


def decode_entry(content: bytes | None, row: str = '') -> SiteEntry | None:
    """Decode an entry; return None if absent or malformed.

    `row` is the key of its row, for the log.
    """
    if content is None:
        return None
    try:
        return _decode_entry_fields(Fields(read_json(content), 'entry'))
    except ValueError as error:
        _faults.write('entry_malformed', row=row, fault=str(error))
        return None


def encode_gossip(gossip: SiteGossip) -> bytes:
    """Encode a gossip message as JSON."""
    fields: dict[str, Any] = {
        'version': gossip.version,
        'digest': gossip.digest,
        'entries': [_encode_entry_fields(entry) for entry in gossip.entries],
    }
    if gossip.wants:
        fields['wants'] = list(gossip.wants)
    if gossip.stamps is not None:
        fields['stamps'] = dict(gossip.stamps.entries)
        fields['tombstones'] = dict(gossip.stamps.tombstones)
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_gossip(content: bytes) -> SiteGossip | None:
    """Decode a gossip message; return None if malformed."""
    try:
        return _decode_gossip_fields(Fields(read_json(content), 'gossip'))
    except ValueError as error:
        _faults.write('gossip_malformed', fault=str(error))
        return None


def _decode_gossip_fields(fields: Fields) -> SiteGossip:
    return SiteGossip(
        fields.integer('version', minimum=0),
        fields.string('digest'),
        tuple(_decode_entries(fields.items('entries'))),
        fields.strings('wants'),
        _decode_stamps(fields) if fields.has('stamps') else None,
    )


def _decode_stamps(fields: Fields) -> Stamps:
    tombstones: dict[str, int] = {}
    if fields.has('tombstones'):
        tombstones = _decode_stamps_by_host(fields.record('tombstones'))
    return Stamps(_decode_stamps_by_host(fields.record('stamps')), tombstones)


def _decode_stamps_by_host(fields: Fields) -> dict[str, int]:
    return {host: _decode_stamp(fields, host) for host in fields.names()}


def _decode_stamp(fields: Fields, name: str) -> int:
    return fields.integer(name, minimum=0, maximum=MAX_STAMP)


def _encode_entry_fields(entry: SiteEntry) -> dict[str, Any]:
    place = entry.place
    return {
        'host': place.host,
        'address': place.address,
        'data_center': place.data_center,
        'region': place.region,
        'service': place.service,
        'state': place.state.value,
        'slots': place.slots,
        'instance': entry.instance,
        'born': entry.born,
        'stamp': entry.stamp,
    }


def _decode_entry_fields(fields: Fields) -> SiteEntry:
    place = Place(
        host=fields.name('host'),
        address=fields.address('address'),
        data_center=fields.name('data_center'),
        region=fields.name('region'),
        service=fields.name('service'),
        state=_decode_state(fields),
        slots=fields.integer('slots', minimum=0, maximum=MAX_SLOTS),
    )
    return SiteEntry(
        place,
        fields.name('instance'),
        fields.integer('born', minimum=0, maximum=MAX_BORN_MS),
        _decode_stamp(fields, 'stamp'),
    )


def _decode_state(fields: Fields) -> UpstreamState:
    state = _STATES_BY_VALUE.get(fields.string('state'))
    if state is None:
        raise FieldFault('entry.state', 'must be a known state')
    return state


def _decode_entries(rows: Iterable[Any]) -> Iterable[SiteEntry]:
    for row in rows:
        try:
            yield _decode_entry_fields(Fields(row, 'entry'))
        except ValueError as error:
            _faults.write('entry_malformed', fault=str(error))
