"""Encode, decode and validate control messages other than gossip.

Decoders raise `BadMessageError` for an invalid field.
"""

import math
from dataclasses import dataclass

from dragonflyknot.decisions import grants, ledger, tickets
from dragonflyknot.decisions.keyring import (
    KeyChanges,
    KeyRecord,
    PeerFreshness,
)
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.decisions.outage import StoreStatement
from dragonflyknot.peers.gossipwire import MS_PER_S, encode_age
from dragonflyknot.peers.validation import (
    MAX_KEY_RECORDS,
    BadMessageError,
    checked_amount,
    checked_count,
    checked_name,
)
from dragonflyknot.peers.wire import control_pb2 as wire

_SHA256_HEX_CHARS = 64


@dataclass(frozen=True, slots=True)
class KeysReport:
    """Key changes, their freshness and what the daemon knows of the store."""

    changes: KeyChanges
    freshness: PeerFreshness
    statement: StoreStatement


def encode_resolved(resolved: ledger.Resolved) -> wire.ResolveAnswer:
    """Encode a gate's answer about an attempt."""
    match resolved:
        case ledger.ResolvedNever():
            return wire.ResolveAnswer(kind=wire.ResolveAnswer.KIND_NEVER)
        case ledger.ResolvedQueued():
            return wire.ResolveAnswer(kind=wire.ResolveAnswer.KIND_QUEUED)
        case ledger.ResolvedRunning():
            return wire.ResolveAnswer(kind=wire.ResolveAnswer.KIND_RUNNING)
        case ledger.ResolvedFinished(answer_kept):
            return wire.ResolveAnswer(
                kind=wire.ResolveAnswer.KIND_FINISHED, answer_kept=answer_kept
            )
        case ledger.ResolvedUnknown():
            return wire.ResolveAnswer(kind=wire.ResolveAnswer.KIND_UNKNOWN)


def decode_resolved(answer: wire.ResolveAnswer) -> ledger.Resolved:
    """Decode a gate's answer; an unsupported kind counts as unknown."""
    match answer.kind:
        case wire.ResolveAnswer.KIND_NEVER:
            return ledger.ResolvedNever()
        case wire.ResolveAnswer.KIND_QUEUED:
            return ledger.ResolvedQueued()
        case wire.ResolveAnswer.KIND_RUNNING:
            return ledger.ResolvedRunning()
        case wire.ResolveAnswer.KIND_FINISHED:
            return ledger.ResolvedFinished(answer.answer_kept)
        case _:
            return ledger.ResolvedUnknown()


def encode_grant_request(request: grants.GrantRequest) -> wire.GrantRequest:
    """Encode a request for tokens."""
    return wire.GrantRequest(
        grant_id=request.grant_id,
        workspace=request.workspace,
        amount=request.amount,
        settlements=[
            wire.Settlement(
                grant_id=settlement.grant_id,
                remaining=settlement.remaining,
                returned=settlement.returned,
            )
            for settlement in request.settlements
        ],
    )


def decode_grant_request(request: wire.GrantRequest) -> grants.GrantRequest:
    """Decode a request for tokens. Raise BadMessageError if invalid."""
    checked_count('settlements', len(request.settlements))
    return grants.GrantRequest(
        checked_name('grant_id', request.grant_id),
        checked_name('workspace', request.workspace, allow_empty=True),
        checked_amount('amount', request.amount),
        tuple(
            _decode_settlement(settlement) for settlement in request.settlements
        ),
    )


def encode_grant_answer(answer: grants.GrantAnswer) -> wire.GrantAnswer:
    """Encode a shard holder's answer to a request for tokens."""
    return wire.GrantAnswer(
        grant_id=answer.grant_id,
        workspace=answer.workspace,
        amount=answer.amount,
        holds=answer.holds,
        full=answer.full,
    )


def decode_grant_answer(answer: wire.GrantAnswer) -> grants.GrantAnswer:
    """Decode a holder's answer. Raise BadMessageError if invalid."""
    return grants.GrantAnswer(
        checked_name('grant_id', answer.grant_id),
        checked_name('workspace', answer.workspace, allow_empty=True),
        checked_amount('amount', answer.amount),
        answer.holds,
        answer.full,
    )


def encode_witness_answer(answer: AnswerWitness) -> wire.WitnessAnswer:
    """Encode a witness's answer to a holder."""
    return wire.WitnessAnswer(
        witness=answer.witness, holder=answer.holder, granted=answer.granted
    )


def decode_witness_answer(answer: wire.WitnessAnswer) -> AnswerWitness:
    """Decode a witness's answer. Raise BadMessageError if invalid."""
    return AnswerWitness(
        checked_name('witness', answer.witness, allow_empty=True),
        checked_name('holder', answer.holder),
        answer.granted,
    )


def encode_keys(report: KeysReport) -> wire.KeysAnswer:
    """Encode key changes, their freshness and the store statement.

    An infinite age is omitted: the copy was never confirmed.
    """
    encoded = wire.KeysAnswer(
        since=report.changes.since,
        sequence=report.changes.sequence,
        records=[
            wire.KeyRecord(
                key_hash=record.key_hash,
                workspace=record.workspace,
                withdrawn=record.withdrawn,
                sequence=record.sequence,
            )
            for record in report.changes.records
        ],
        store_is_out=report.statement.is_out,
        announced=sorted(report.statement.announced),
    )
    if math.isfinite(report.freshness.age_s):
        encoded.age_ms = encode_age(report.freshness.age_s)
    return encoded


def decode_keys(answer: wire.KeysAnswer) -> KeysReport:
    """Decode key changes. Raise BadMessageError if invalid."""
    checked_count('records', len(answer.records), MAX_KEY_RECORDS)
    if answer.since > answer.sequence:
        raise BadMessageError('since', 'send a number up to the sequence')
    age_s = float('inf')
    if answer.HasField('age_ms'):
        age_s = answer.age_ms / MS_PER_S
    records = tuple(_decode_record(record) for record in answer.records)
    return KeysReport(
        KeyChanges(answer.since, answer.sequence, records),
        PeerFreshness(answer.sequence, age_s),
        StoreStatement(
            answer.store_is_out,
            answer.sequence,
            frozenset(map(checked_digest, answer.announced)),
        ),
    )


def encode_spending(
    spending: tickets.Spending, *, release: bool
) -> wire.TicketRequest:
    """Encode a request to spend or release a ticket."""
    ticket = spending.ticket
    return wire.TicketRequest(
        host=ticket.host,
        incarnation=ticket.incarnation,
        epoch=ticket.epoch,
        serial=ticket.serial,
        workspace=spending.workspace,
        nonce=spending.nonce,
        release=release,
    )


def decode_spending(request: wire.TicketRequest) -> tickets.Spending:
    """Decode a spent or released ticket. Raise BadMessageError if invalid."""
    ticket = tickets.Ticket(
        checked_name('host', request.host),
        request.incarnation,
        request.epoch,
        checked_name('serial', request.serial),
    )
    return tickets.Spending(
        ticket,
        checked_name('workspace', request.workspace, allow_empty=True),
        checked_name('nonce', request.nonce),
    )


def encode_ticket_answer(answer: tickets.TicketAnswer) -> wire.TicketAnswer:
    """Encode a guard's answer about a ticket."""
    match answer:
        case tickets.TicketWon():
            return wire.TicketAnswer(kind=wire.TicketAnswer.KIND_WON)
        case tickets.TicketTaken():
            return wire.TicketAnswer(kind=wire.TicketAnswer.KIND_TAKEN)
        case tickets.TicketUnknown():
            return wire.TicketAnswer(kind=wire.TicketAnswer.KIND_UNKNOWN)


def decode_ticket_answer(answer: wire.TicketAnswer) -> tickets.TicketAnswer:
    """Decode a guard's answer; an unsupported kind counts as unknown."""
    match answer.kind:
        case wire.TicketAnswer.KIND_WON:
            return tickets.TicketWon()
        case wire.TicketAnswer.KIND_TAKEN:
            return tickets.TicketTaken()
        case _:
            return tickets.TicketUnknown()


def checked_digest(text: str) -> str:
    """Return a SHA-256 digest in lower-case hexadecimal.

    Raise BadMessageError if the text is not one.
    """
    is_hexadecimal = set(text) <= set('0123456789abcdef')
    if len(text) != _SHA256_HEX_CHARS or not is_hexadecimal:
        raise BadMessageError('digest', 'send 64 hexadecimal digits')
    return text


def _decode_settlement(settlement: wire.Settlement) -> grants.Settlement:
    return grants.Settlement(
        checked_name('settlements.grant_id', settlement.grant_id),
        checked_amount('settlements.remaining', settlement.remaining),
        checked_amount('settlements.returned', settlement.returned),
    )


def _decode_record(record: wire.KeyRecord) -> KeyRecord:
    return KeyRecord(
        checked_digest(record.key_hash),
        checked_name('workspace', record.workspace, allow_empty=True),
        record.withdrawn,
        record.sequence,
    )
