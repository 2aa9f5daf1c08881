"""Turn the other control messages into data classes, checking each."""

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
from dragonflyknot.peers.badmessage import (
    MAX_KEY_RECORDS,
    BadMessageError,
    checked_amount,
    checked_count,
    checked_name,
)
from dragonflyknot.peers.gossipwire import MS_PER_S, encode_age
from dragonflyknot.peers.wire import control_pb2 as wire

_DIGEST_CHARS = 64


@dataclass(frozen=True, slots=True)
class KeysTold:
    """Hold what a daemon tells of its keys and of the store."""

    changes: KeyChanges
    freshness: PeerFreshness
    statement: StoreStatement


def encode_resolved(resolved: ledger.Resolved) -> wire.ResolveAnswer:
    """Return the wire form of a gate's answer."""
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
    """Return a gate's answer; a kind that is not known is unknown."""
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
    """Return the wire form of a request for tokens."""
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
    """Return a checked request; raise `BadMessageError` otherwise."""
    checked_count('settlements', len(request.settlements))
    return grants.GrantRequest(
        checked_name('grant_id', request.grant_id),
        checked_name('workspace', request.workspace, empty=True),
        checked_amount('amount', request.amount),
        tuple(_decode_settlement(one) for one in request.settlements),
    )


def encode_grant_answer(answer: grants.GrantAnswer) -> wire.GrantAnswer:
    """Return the wire form of a holder's answer."""
    return wire.GrantAnswer(
        grant_id=answer.grant_id,
        workspace=answer.workspace,
        amount=answer.amount,
        holds=answer.holds,
        full=answer.full,
    )


def decode_grant_answer(answer: wire.GrantAnswer) -> grants.GrantAnswer:
    """Return a checked answer; raise `BadMessageError` otherwise."""
    return grants.GrantAnswer(
        checked_name('grant_id', answer.grant_id),
        checked_name('workspace', answer.workspace, empty=True),
        checked_amount('amount', answer.amount),
        answer.holds,
        answer.full,
    )


def encode_witness_answer(answer: AnswerWitness) -> wire.WitnessAnswer:
    """Return the wire form of a witness's answer."""
    return wire.WitnessAnswer(
        witness=answer.witness, holder=answer.holder, granted=answer.granted
    )


def decode_witness_answer(answer: wire.WitnessAnswer) -> AnswerWitness:
    """Return a checked answer; raise `BadMessageError` otherwise."""
    return AnswerWitness(
        checked_name('witness', answer.witness, empty=True),
        checked_name('holder', answer.holder),
        answer.granted,
    )


def encode_keys(told: KeysTold) -> wire.KeysAnswer:
    """Return the wire form of keys, their freshness and the statement."""
    encoded = wire.KeysAnswer(
        since=told.changes.since,
        sequence=told.changes.sequence,
        records=[
            wire.KeyRecord(
                key_hash=record.key_hash,
                workspace=record.workspace,
                withdrawn=record.withdrawn,
                sequence=record.sequence,
            )
            for record in told.changes.records
        ],
        store_is_out=told.statement.is_out,
        announced=sorted(told.statement.announced),
    )
    if math.isfinite(told.freshness.age_s):
        encoded.age_ms = encode_age(told.freshness.age_s)
    return encoded


def decode_keys(answer: wire.KeysAnswer) -> KeysTold:
    """Return checked keys; raise `BadMessageError` otherwise."""
    checked_count('records', len(answer.records), MAX_KEY_RECORDS)
    if answer.since > answer.sequence:
        raise BadMessageError('since', 'send a number up to the sequence')
    age_s = float('inf')
    if answer.HasField('age_ms'):
        age_s = answer.age_ms / MS_PER_S
    records = tuple(_decode_record(record) for record in answer.records)
    return KeysTold(
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
    """Return the wire form of a ticket that is spent or released."""
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
    """Return a checked ticket; raise `BadMessageError` otherwise."""
    ticket = tickets.Ticket(
        checked_name('host', request.host),
        request.incarnation,
        request.epoch,
        checked_name('serial', request.serial),
    )
    return tickets.Spending(
        ticket,
        checked_name('workspace', request.workspace, empty=True),
        checked_name('nonce', request.nonce),
    )


def encode_ticket_answer(answer: tickets.TicketAnswer) -> wire.TicketAnswer:
    """Return the wire form of a guard's answer."""
    match answer:
        case tickets.TicketWon():
            return wire.TicketAnswer(kind=wire.TicketAnswer.KIND_WON)
        case tickets.TicketTaken():
            return wire.TicketAnswer(kind=wire.TicketAnswer.KIND_TAKEN)
        case tickets.TicketUnknown():
            return wire.TicketAnswer(kind=wire.TicketAnswer.KIND_UNKNOWN)


def decode_ticket_answer(answer: wire.TicketAnswer) -> tickets.TicketAnswer:
    """Return a guard's answer; a kind that is not known is unknown."""
    match answer.kind:
        case wire.TicketAnswer.KIND_WON:
            return tickets.TicketWon()
        case wire.TicketAnswer.KIND_TAKEN:
            return tickets.TicketTaken()
        case _:
            return tickets.TicketUnknown()


def checked_digest(text: str) -> str:
    """Return a SHA-256 in hexadecimal digits."""
    is_hexadecimal = set(text) <= set('0123456789abcdef')
    if len(text) != _DIGEST_CHARS or not is_hexadecimal:
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
        checked_name('workspace', record.workspace, empty=True),
        record.withdrawn,
        record.sequence,
    )
