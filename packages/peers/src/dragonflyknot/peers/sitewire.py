"""JSON messages between the daemons of a site.

Gossip starts with a digest of what the sender knows. If the digests differ,
the answer lists the stamp of each entry. A second message then sends the
entries that the receiver lacks and requests those that the sender lacks.

For compatibility between versions, unknown fields are ignored and malformed
entries are skipped.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import structlog

from dragonflyknot.decisions.balancer import Place
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.siteview import SiteEntry, Stamps

GOSSIP_PATH: Final = '/.dragonflyknot/gossip'
CONFIGURATION_PATH: Final = '/.dragonflyknot/configuration'
_DECODE_ERRORS: Final = (ValueError, KeyError, TypeError, AttributeError)
_log = structlog.get_logger(__name__)


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


def decode_entry(content: bytes | None) -> SiteEntry | None:
    """Decode an entry; return None if absent or malformed."""
    if content is None:
        return None
    try:
        return _decode_entry_fields(json.loads(content))
    except _DECODE_ERRORS as error:
        _log.warning('entry_malformed', error=type(error).__name__)
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
        fields = json.loads(content)
        return SiteGossip(
            int(fields['version']),
            str(fields['digest']),
            tuple(_decode_entries(fields['entries'])),
            tuple(str(host) for host in fields.get('wants', ())),
            _decode_stamps(fields),
        )
    except _DECODE_ERRORS as error:
        _log.warning('gossip_malformed', error=type(error).__name__)
        return None


def _decode_stamps(fields: Mapping[str, Any]) -> Stamps | None:
    if 'stamps' not in fields:
        return None
    return Stamps(
        _decode_stamps_by_host(fields['stamps']),
        _decode_stamps_by_host(fields.get('tombstones', {})),
    )


def _decode_stamps_by_host(fields: Mapping[Any, Any]) -> dict[str, int]:
    return {str(host): int(stamp) for host, stamp in fields.items()}


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


def _decode_entry_fields(fields: Any) -> SiteEntry:
    place = Place(
        host=str(fields['host']),
        address=str(fields['address']),
        data_center=str(fields['data_center']),
        region=str(fields['region']),
        service=str(fields['service']),
        state=UpstreamState(fields['state']),
        slots=int(fields['slots']),
    )
    return SiteEntry(
        place,
        str(fields['instance']),
        int(fields['born']),
        int(fields['stamp']),
    )


def _decode_entries(rows: Iterable[Any]) -> Iterable[SiteEntry]:
    for fields in rows:
        try:
            yield _decode_entry_fields(fields)
        except _DECODE_ERRORS as error:
            _log.warning('entry_malformed', error=type(error).__name__)
