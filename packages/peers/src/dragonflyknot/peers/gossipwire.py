"""Encode, decode and validate gossip messages."""

import math
from types import MappingProxyType

from dragonflyknot.decisions import members as msg
from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.document import Revision
from dragonflyknot.decisions.keyring import PeerFreshness
from dragonflyknot.peers.validation import (
    BadMessageError,
    checked_count,
    checked_name,
)
from dragonflyknot.peers.wire import control_pb2 as wire

MS_PER_S = 1000
MAX_AGE_MS = 2**32 - 1  # Largest value of a uint32 field.

_WIRE_STATES_BY_STATE = MappingProxyType(
    {
        UpstreamState.STARTING: wire.STATE_STARTING,
        UpstreamState.READY: wire.STATE_READY,
        UpstreamState.DRAINING: wire.STATE_DRAINING,
        UpstreamState.GONE: wire.STATE_GONE,
    }
)
_STATES_BY_WIRE_STATE = MappingProxyType(
    {int(number): state for state, number in _WIRE_STATES_BY_STATE.items()}
)
_WIRE_STANDINGS_BY_STANDING = MappingProxyType(
    {
        msg.Standing.ALIVE: wire.STANDING_ALIVE,
        msg.Standing.SUSPECT: wire.STANDING_SUSPECT,
        msg.Standing.GONE: wire.STANDING_GONE,
    }
)


def encode_gossip(message: msg.Gossip) -> wire.GossipMessage:
    """Encode a gossip message."""
    encoded = wire.GossipMessage(
        sender=encode_member(message.sender),
        members=[encode_member(member) for member in message.members],
        versions=[
            _encode_version(held.host, held.version)
            for held in message.versions
        ],
        wanted=message.wanted,
        lookups=message.lookups,
    )
    if message.revision.number:
        encoded.revision.CopyFrom(_encode_revision(message.revision))
    if message.held is not None:
        encoded.held.CopyFrom(_encode_version('', message.held))
    if message.view is not None:
        encoded.view.service = message.view.service
        encoded.view.digest = message.view.digest
    if message.keys is not None and math.isfinite(message.keys.age_s):
        encoded.keys.sequence = message.keys.sequence
        encoded.keys.age_ms = encode_age(message.keys.age_s)
    return encoded


def decode_gossip(message: wire.GossipMessage) -> msg.Gossip:
    """Decode a gossip message. Raise BadMessageError if invalid."""
    for name in ('members', 'versions', 'wanted', 'lookups'):
        checked_count(name, len(getattr(message, name)))
    return msg.Gossip(
        sender=decode_member(message.sender),
        members=tuple(decode_member(member) for member in message.members),
        held=_decode_version(message.held)
        if message.HasField('held')
        else None,
        view=_decode_view(message),
        versions=tuple(
            msg.HeldVersion(
                checked_name('versions.host', held.host), _decode_version(held)
            )
            for held in message.versions
        ),
        wanted=tuple(message.wanted),
        lookups=tuple(message.lookups),
        revision=_decode_revision(message.revision),
        keys=_decode_keys(message),
    )


def encode_member(member: msg.Member) -> wire.Member:
    """Encode a member."""
    encoded = wire.Member(
        host=member.host,
        incarnation=member.incarnation,
        counter=member.counter,
        data_center=member.data_center,
        region=member.region,
        peers_http=member.peers_http,
        operators=member.operators,
        peers_grpc=member.peers_grpc,
        service=member.service,
        state=_WIRE_STATES_BY_STATE[member.state],
        revision=member.revision,
        beat=member.beat,
        standing=_WIRE_STANDINGS_BY_STANDING[member.standing],
    )
    report = member.report
    if report is not None:
        encoded.report.CopyFrom(_encode_report(report))
    return encoded


def decode_member(member: wire.Member) -> msg.Member:
    """Decode a member. Raise BadMessageError if invalid."""
    return msg.Member(
        host=checked_name('member.host', member.host),
        incarnation=member.incarnation,
        counter=member.counter,
        data_center=checked_name('member.data_center', member.data_center),
        region=checked_name('member.region', member.region),
        peers_http=checked_name('member.peers_http', member.peers_http),
        operators=checked_name(
            'member.operators', member.operators, allow_empty=True
        ),
        peers_grpc=checked_name('member.peers_grpc', member.peers_grpc),
        service=checked_name(
            'member.service', member.service, allow_empty=True
        ),
        state=_decode_state(member.state),
        report=_decode_report(member),
        revision=member.revision,
        beat=member.beat,
        standing=_decode_standing(member.standing),
    )


def encode_age(age_s: float) -> int:
    """Return an age in ms, rounded up and at most MAX_AGE_MS."""
    if age_s * MS_PER_S >= MAX_AGE_MS:
        return MAX_AGE_MS
    return math.ceil(max(0, age_s) * MS_PER_S)


def _encode_report(report: LoadReport) -> wire.LoadReport:
    return wire.LoadReport(
        state=_WIRE_STATES_BY_STATE[report.state],
        limit=max(0, report.limit),
        running=report.running,
        queued=report.queued,
        threshold=max(0, report.threshold),
        prompt=max(0, report.prompt),
        epoch=report.epoch,
    )


def _decode_report(member: wire.Member) -> LoadReport | None:
    if not member.HasField('report'):
        return None
    report = member.report
    return LoadReport(
        state=_decode_state(report.state),
        limit=report.limit,
        running=report.running,
        queued=report.queued,
        threshold=report.threshold,
        prompt=report.prompt,
        epoch=report.epoch,
    )


def _encode_version(host: str, version: msg.Version) -> wire.Version:
    return wire.Version(
        host=host,
        incarnation=version.incarnation,
        counter=version.counter,
        standing=_WIRE_STANDINGS_BY_STANDING[version.standing],
    )


def _decode_version(version: wire.Version) -> msg.Version:
    return msg.Version(
        version.incarnation,
        version.counter,
        _decode_standing(version.standing),
    )


def _decode_view(message: wire.GossipMessage) -> msg.ViewDigest | None:
    if not message.HasField('view'):
        return None
    service = checked_name(
        'view.service', message.view.service, allow_empty=True
    )
    return msg.ViewDigest(service, message.view.digest)


def _encode_revision(revision: Revision) -> wire.Revision:
    return wire.Revision(
        number=revision.number, digest=revision.digest, nonce=revision.nonce
    )


def _decode_revision(revision: wire.Revision) -> Revision:
    return Revision(
        revision.number,
        checked_name(
            'revision.digest', revision.digest, allow_empty=revision.number == 0
        ),
        checked_name('revision.nonce', revision.nonce, allow_empty=True),
    )


def _decode_keys(message: wire.GossipMessage) -> PeerFreshness | None:
    if not message.HasField('keys'):
        return None
    return PeerFreshness(message.keys.sequence, message.keys.age_ms / MS_PER_S)


def _decode_state(state: int) -> UpstreamState:
    decoded = _STATES_BY_WIRE_STATE.get(state)
    if decoded is None:
        raise BadMessageError('state', 'send a state of control.proto')
    return decoded


def _decode_standing(standing: int) -> msg.Standing:
    try:
        return msg.Standing(standing)
    except ValueError:
        raise BadMessageError(
            'standing', 'send a standing of control.proto'
        ) from None
