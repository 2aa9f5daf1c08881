"""Encode what daemons tell each other beside a forwarded request.

The edge describes an attempt in one header. The gate answers with its load
in another. Times travel as the milliseconds that remain.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from dragonflyknot.decisions.calls import (
    Attempt,
    Call,
    LoadReport,
    UpstreamState,
)

MS_PER_SECOND = 1000
MAX_DEPTH = 64

_Name = Annotated[str, Field(max_length=128)]
_Count = Annotated[int, Field(ge=0)]


class _WireAttempt(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    attempt: Annotated[str, Field(min_length=1, max_length=64)]
    host: _Name
    incarnation: _Count
    request: _Name
    chain: _Name
    workspace: _Name
    service: _Name
    priority: Annotated[int, Field(ge=0, le=9)]
    left_ms: float
    depth: Annotated[int, Field(ge=0, le=MAX_DEPTH)]
    retries: _Count
    once: bool
    idempotent: bool


class _WireLoad(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    state: UpstreamState
    limit: _Count
    running: _Count
    queued: _Count
    threshold: Annotated[int, Field(ge=0, le=10)]
    prompt: Annotated[int, Field(ge=0, le=10)] = 0
    epoch: _Count = 0


def encode_attempt(attempt: Attempt, now: float) -> str:
    """Return the header text of an attempt."""
    call = attempt.call
    return _WireAttempt.model_construct(
        attempt=attempt.attempt_id,
        host=attempt.host,
        incarnation=attempt.incarnation,
        request=call.request_id,
        chain=call.chain_id,
        workspace=call.workspace,
        service=call.service,
        priority=call.priority,
        left_ms=round((call.deadline - now) * MS_PER_SECOND, 3),
        depth=call.depth,
        retries=call.retries,
        once=call.once,
        idempotent=call.idempotent,
    ).model_dump_json()


def decode_attempt(text: str, now: float) -> Result[Attempt, str]:
    """Return the attempt, or a message that says what is wrong."""
    try:
        wire = _WireAttempt.model_validate_json(text)
    except ValidationError as error:
        return Err(f'{error.error_count()} faults in the attempt header')
    call = Call(
        request_id=wire.request,
        chain_id=wire.chain,
        workspace=wire.workspace,
        service=wire.service,
        priority=wire.priority,
        deadline=now + wire.left_ms / MS_PER_SECOND,
        depth=wire.depth,
        retries=wire.retries,
        once=wire.once,
        idempotent=wire.idempotent,
    )
    return Ok(Attempt(wire.attempt, wire.host, wire.incarnation, call))


def encode_load(report: LoadReport) -> str:
    """Return the header text of a load report."""
    return _WireLoad.model_construct(
        state=report.state,
        limit=report.limit,
        running=report.running,
        queued=report.queued,
        threshold=report.threshold,
        prompt=report.prompt,
        epoch=report.epoch,
    ).model_dump_json()


def decode_load(text: str | None) -> LoadReport | None:
    """Return the load report, or None where it is absent or malformed."""
    if text is None:
        return None
    try:
        wire = _WireLoad.model_validate_json(text)
    except ValidationError:
        return None
    return LoadReport(
        state=wire.state,
        limit=wire.limit,
        running=wire.running,
        queued=wire.queued,
        threshold=wire.threshold,
        prompt=wire.prompt,
        epoch=wire.epoch,
    )
