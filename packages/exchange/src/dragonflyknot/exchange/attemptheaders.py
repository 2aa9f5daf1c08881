"""Encode the JSON headers that daemons attach to a forwarded request.

The edge describes an attempt in one header, and the gate reports its load in
another. Deadlines are sent as the remaining milliseconds. Decoders ignore
unknown fields, so that two versions can interoperate. A gate reports only a
few distinct loads, so encoded and decoded loads are cached.
"""

import json
from functools import lru_cache
from typing import Annotated, NotRequired

from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result
from typing_extensions import TypedDict

from dragonflyknot.decisions.calls import (
    Attempt,
    Call,
    LoadReport,
    UpstreamState,
)

MS_PER_SECOND = 1000
MAX_DEPTH = 64
LOAD_CACHE_SIZE = 1024
MAX_COUNT = 2**64 - 1  # Largest value of a uint64 field of gossip.

_Id = Annotated[str, Field(min_length=1, max_length=64)]
_Name = Annotated[str, Field(max_length=128)]
_Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
_Priority = Annotated[int, Field(ge=0, le=9)]
_Threshold = Annotated[int, Field(ge=0, le=10)]
_Depth = Annotated[int, Field(ge=0, le=MAX_DEPTH)]
_LeftMs = Annotated[float, Field(allow_inf_nan=False)]


class _WireAttempt(TypedDict):
    attempt: _Id
    host: _Name
    incarnation: _Count
    request: _Name
    chain: _Name
    workspace: _Name
    service: _Name
    priority: _Priority
    left_ms: _LeftMs
    depth: _Depth
    retries: _Count
    once: bool
    idempotent: bool


class _WireLoad(TypedDict):
    state: str
    limit: _Count
    running: _Count
    queued: _Count
    threshold: _Threshold
    prompt: NotRequired[_Threshold]
    epoch: NotRequired[_Count]


_ATTEMPT_ADAPTER = TypeAdapter(_WireAttempt)
_LOAD_ADAPTER = TypeAdapter(_WireLoad)


def encode_attempt(attempt: Attempt, now: float) -> str:
    """Return the header value that describes an attempt."""
    call = attempt.call
    wire: _WireAttempt = {
        'attempt': attempt.attempt_id,
        'host': attempt.host,
        'incarnation': attempt.incarnation,
        'request': call.request_id,
        'chain': call.chain_id,
        'workspace': call.workspace,
        'service': call.service,
        'priority': call.priority,
        'left_ms': round((call.deadline - now) * MS_PER_SECOND, 3),
        'depth': call.depth,
        'retries': call.retries,
        'once': call.once,
        'idempotent': call.idempotent,
    }
    return json.dumps(wire)


def decode_attempt(text: str, now: float) -> Result[Attempt, str]:
    """Decode the header of an attempt, or return an error message."""
    try:
        wire = _ATTEMPT_ADAPTER.validate_json(text)
    except ValidationError as error:
        return Err(f'{error.error_count()} faults in the attempt header')
    call = Call(
        request_id=wire['request'],
        chain_id=wire['chain'],
        workspace=wire['workspace'],
        service=wire['service'],
        priority=wire['priority'],
        deadline=now + wire['left_ms'] / MS_PER_SECOND,
        depth=wire['depth'],
        retries=wire['retries'],
        once=wire['once'],
        idempotent=wire['idempotent'],
    )
    return Ok(Attempt(wire['attempt'], wire['host'], wire['incarnation'], call))


@lru_cache(LOAD_CACHE_SIZE)
def encode_load(report: LoadReport) -> str:
    """Return the header value of a load report."""
    wire: _WireLoad = {
        'state': report.state.value,
        'limit': report.limit,
        'running': report.running,
        'queued': report.queued,
        'threshold': report.threshold,
        'prompt': report.prompt,
        'epoch': report.epoch,
    }
    return json.dumps(wire)


@lru_cache(LOAD_CACHE_SIZE)
def decode_load(text: str | None) -> LoadReport | None:
    """Decode a load report; return None if it is absent or malformed."""
    if text is None:
        return None
    try:
        wire = _LOAD_ADAPTER.validate_json(text)
        state = UpstreamState(wire['state'])
    except ValueError:
        return None
    return LoadReport(
        state=state,
        limit=wire['limit'],
        running=wire['running'],
        queued=wire['queued'],
        threshold=wire['threshold'],
        prompt=wire.get('prompt', 0),
        epoch=wire.get('epoch', 0),
    )
