"""JSON messages between the daemons of a site.

Gossip starts with a digest of what the sender knows, and one for each bucket
of hosts. If they differ, the answer lists the stamps of the entries in the
buckets that differ. A second message then sends the entries that the receiver
lacks and requests those that the sender lacks.

For compatibility between versions, unknown fields are ignored and malformed
entries are skipped.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Any, Final

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import MAX_SLOTS, Place
from dragonflyknot.decisions.siteview import MAX_STAMP, SiteEntry, Stamps
from dragonflyknot.decisions.upstreamdepartures import (
    Departure,
    Departures,
    union,
)
from dragonflyknot.decisions.upstreammessages import MAX_BORN_MS, MAX_SEQUENCE
from dragonflyknot.exchange.jsonfields import FieldFault, Fields, read_json
from dragonflyknot.exchange.telemetry import FaultLog

GOSSIP_PATH: Final = '/.dragonflyknot/gossip'
CONFIGURATION_PATH: Final = '/.dragonflyknot/configuration'
COMPRESSED_CONFIGURATION_PATH: Final = '/.dragonflyknot/configuration.zlib'
STOPPING_PATH: Final = '/.dragonflyknot/stopping'
MAX_EPOCH: Final = 10**15
LEAVING_STATES: Final = frozenset((UpstreamState.DRAINING, UpstreamState.GONE))
_STATES_BY_VALUE: Final = MappingProxyType(
    {state.value: state for state in UpstreamState}
)
_faults = FaultLog()


@dataclass(frozen=True, slots=True)
class SiteGossip:
    """A gossip message between two daemons of a site.

    `version` is that of the sender's configuration. A digest requests a
    comparison, `wants` the entries of the named hosts. `has_store` tells
    whether the store answers the sender, and `epoch` is the highest epoch of
    the store that it knows, 0 if none.
    """

    version: int
    digest: str = ''
    entries: tuple[SiteEntry, ...] = ()
    wants: tuple[str, ...] = ()
    stamps: Stamps | None = None
    bucket_digests: tuple[str, ...] = ()
    sender: str = ''
    epoch: int = 0
    has_store: bool = True


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
        'sender': gossip.sender,
        'epoch': gossip.epoch,
        'store': gossip.has_store,
    }
    if gossip.bucket_digests:
        fields['buckets'] = ','.join(gossip.bucket_digests)
    if gossip.wants:
        fields['wants'] = list(gossip.wants)
    if gossip.stamps is not None:
        fields.update(_encode_stamps(gossip.stamps))
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
        tuple(filter(None, fields.string('buckets', '').split(','))),
        fields.string('sender', ''),
        fields.integer('epoch', 0, minimum=0, maximum=MAX_EPOCH),
        fields.boolean('store', default=True),
    )


def _encode_stamps(stamps: Stamps) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'stamps': dict(stamps.entries),
        'tombstones': dict(stamps.tombstones),
    }
    if stamps.departures:
        fields['departures'] = dict(stamps.departures)
    if stamps.buckets is not None:
        fields['stamped_buckets'] = sorted(stamps.buckets)
    return fields


def _decode_stamps(fields: Fields) -> Stamps:
    tombstones: dict[str, int] = {}
    if fields.has('tombstones'):
        tombstones = _decode_stamps_by_host(fields.record('tombstones'))
    departures: dict[str, str] = {}
    if fields.has('departures'):
        digests = fields.record('departures')
        departures = {host: digests.string(host) for host in digests.names()}
    buckets: frozenset[int] | None = None
    if fields.has('stamped_buckets'):
        buckets = frozenset(map(int, fields.numbers('stamped_buckets')))
    stamps = _decode_stamps_by_host(fields.record('stamps'))
    return Stamps(stamps, tombstones, buckets, departures)


def _decode_stamps_by_host(fields: Fields) -> dict[str, int]:
    return {host: _decode_stamp(fields, host) for host in fields.names()}


def _decode_stamp(fields: Fields, name: str) -> int:
    return fields.integer(name, minimum=0, maximum=MAX_STAMP)


def _encode_entry_fields(entry: SiteEntry) -> dict[str, Any]:
    place = entry.place
    fields: dict[str, Any] = {
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
        'sequence': entry.sequence,
    }
    if entry.departures:
        fields['departures'] = [
            {
                'instance': one.instance,
                'born': one.born,
                'heard_ms': one.heard_ms,
            }
            for one in entry.departures
        ]
    return fields


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
    entry = SiteEntry(
        place,
        fields.name('instance'),
        _decode_unix_ms(fields, 'born'),
        _decode_stamp(fields, 'stamp'),
        fields.integer('sequence', -1, minimum=-1, maximum=MAX_SEQUENCE),
        _decode_departures(fields),
    )
    return replace(entry, departures=_implied_departures(entry))


def _decode_departures(fields: Fields) -> Departures:
    rows = (Fields(row, 'departure') for row in fields.items('departures'))
    departures = (
        Departure(
            row.name('instance'),
            _decode_unix_ms(row, 'born'),
            _decode_unix_ms(row, 'heard_ms'),
        )
        for row in rows
    )
    return union((), tuple(departures))


def _implied_departures(entry: SiteEntry) -> Departures:
    """Return the departures of an entry, also if an earlier release wrote it.

    That release told of a leaving by the state of the entry alone.
    """
    if entry.departures or entry.place.state not in LEAVING_STATES:
        return entry.departures
    heard_ms = 0 if entry.born else entry.stamp
    return (Departure(entry.instance, entry.born, heard_ms),)


def _decode_unix_ms(fields: Fields, name: str) -> int:
    return fields.integer(name, minimum=0, maximum=MAX_BORN_MS)


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
