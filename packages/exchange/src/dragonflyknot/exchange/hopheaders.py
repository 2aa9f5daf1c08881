"""Encode the headers that daemons attach to a forwarded request.

One header describes the attempt to the gate, and one on the response reports
the gate's load. Fields are separated by commas and names are percent-encoded.
Decoders ignore additional fields, so that two versions can interoperate.
"""

from dataclasses import dataclass
from functools import lru_cache
from typing import Final
from urllib.parse import quote, unquote

from result import Err, Ok, Result

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import MAX_SLOTS, Load
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.siteconfig import HIGHEST_CALL_PRIORITY
from dragonflyknot.exchange.jsonfields import is_name

MS_PER_SECOND: Final = 1000
_CACHE_SIZE: Final = 4096
_MIN_LOAD_FIELDS: Final = 5
_MIN_HOP_FIELDS: Final = 9
# Milliseconds, counts and versions; quotients and sums stay exact floats.
_MAX_NUMBER: Final = 10**15
_IS_RETRY_FIELD: Final = slice(9, 10)
_MAY_WAIT_FIELD: Final = slice(10, 11)
_MAKES_CALLS_FIELD: Final = slice(5, 6)
_HOST_FIELD: Final = slice(6, 7)
_FALSE: Final = b'0'
_TRUE: Final = b'1'
_OFFERED: Final = b'offered'
_NOT_OFFERED: Final = b'kept'


@dataclass(slots=True)
class Hop:
    """Describe an attempt to the gate.

    `left_s` is the time until the deadline and `target_left_s` the time until
    the target latency, within which a response is worth most, both in
    seconds. `is_call` marks a call that another service made while it served
    a request. `version` is that of the sender's configuration. `is_retry`
    marks an attempt that counts as a retry if it runs. If not `may_wait`, the
    gate refuses the attempt at once unless a slot is free.
    """

    service: str
    workspace: str
    caller: str
    route: str
    priority: int
    left_s: float
    target_left_s: float
    is_call: bool
    version: int
    is_retry: bool = False
    may_wait: bool = True


@dataclass(frozen=True, slots=True)
class GateReport:
    """Hold what a gate reports with every response.

    `version` is the configuration version of its daemon, and `host` names
    it; earlier releases leave the name empty.
    """

    load: Load
    version: int
    host: str = ''

    def is_from(self, host: str) -> bool:
        """Tell whether a host reported, and not another one in its place."""
        return self.host in {'', host}


def encode_hop(hop: Hop) -> bytes:
    """Return the header value that describes an attempt."""
    names = _quote_names(hop.service, hop.workspace, hop.caller, hop.route)
    left_ms = int(hop.left_s * MS_PER_SECOND)
    target_left_ms = int(hop.target_left_s * MS_PER_SECOND)
    return b'%b,%d,%d,%d,%d,%d,%d,%d' % (
        names,
        hop.priority,
        left_ms,
        target_left_ms,
        hop.is_call,
        hop.version,
        hop.is_retry,
        hop.may_wait,
    )


def decode_hop(text: bytes) -> Result[Hop, str]:
    """Decode the header of an attempt, or return an error message."""
    fields = text.split(b',')
    if len(fields) < _MIN_HOP_FIELDS:
        return Err('the attempt header is short; run one version everywhere')
    try:
        numbers = [int(field) for field in fields[4:_MIN_HOP_FIELDS]]
        service, workspace, caller, route = map(_unquote_name, fields[:4])
    except ValueError:
        return Err('a name or number in the attempt header is malformed')
    if max(numbers) > _MAX_NUMBER or min(numbers) < -_MAX_NUMBER:
        return Err('a number in the attempt header is out of range')
    return Ok(
        Hop(
            service=service,
            workspace=workspace,
            caller=caller,
            route=route,
            priority=max(0, min(HIGHEST_CALL_PRIORITY, numbers[0])),
            left_s=numbers[1] / MS_PER_SECOND,
            target_left_s=numbers[2] / MS_PER_SECOND,
            is_call=bool(numbers[3]),
            version=numbers[4],
            is_retry=fields[_IS_RETRY_FIELD] == [_TRUE],
            may_wait=fields[_MAY_WAIT_FIELD] != [_FALSE],
        )
    )


def encode_gate_report(report: GateReport) -> bytes:
    """Return the header value of a gate's report."""
    load = report.load
    return b'%b,%d,%d,%d,%d,%d,%b' % (
        load.state.value.encode(),
        load.slots,
        load.running,
        load.waiting,
        report.version,
        load.makes_calls,
        _quote_names(report.host),
    )


def decode_gate_report(text: bytes | None) -> GateReport | None:
    """Decode a gate's report; return None if it is absent or malformed."""
    return None if text is None else _decode_gate_report(text)


@lru_cache(_CACHE_SIZE)
def _decode_gate_report(text: bytes) -> GateReport | None:
    fields = text.split(b',')
    if len(fields) < _MIN_LOAD_FIELDS:
        return None
    try:
        state = UpstreamState(fields[0].decode())
        numbers = [int(field) for field in fields[1:_MIN_LOAD_FIELDS]]
        names = [_unquote_name(field) for field in fields[_HOST_FIELD]]
    except ValueError:
        return None
    slots, running, waiting, version = numbers
    if min(numbers) < 0 or max(numbers) > _MAX_NUMBER or slots > MAX_SLOTS:
        return None
    makes_calls = fields[_MAKES_CALLS_FIELD] != [_FALSE]
    return GateReport(
        Load(state, slots, running, waiting, makes_calls),
        version,
        ''.join(names),
    )


def encode_refusal(refusal: Refusal, *, reached_upstream: bool) -> bytes:
    """Return the header value which guarantees that nothing was run.

    `reached_upstream` states that the upstream itself refused the attempt.
    """
    offered = _OFFERED if reached_upstream else _NOT_OFFERED
    return b'%b,%b' % (refusal.value.encode(), offered)


def decode_refusal(text: bytes) -> tuple[Refusal, bool]:
    """Return the refusal and whether the upstream itself refused.

    An unknown refusal is read as `Refusal.NO_UPSTREAM`.
    """
    name, _comma, offered = text.partition(b',')
    try:
        return Refusal(name.decode()), offered == _OFFERED
    except ValueError:
        return Refusal.NO_UPSTREAM, offered == _OFFERED


@lru_cache(_CACHE_SIZE)
def _quote_names(*names: str) -> bytes:
    return ','.join(quote(name, safe='') for name in names).encode()


@lru_cache(_CACHE_SIZE)
def _unquote_name(quoted: bytes) -> str:
    """Return a name. Raise ValueError if it fits in no header."""
    name = unquote(quoted.decode('ascii', 'replace'))
    if not is_name(name):
        raise ValueError('a name is too long or has control characters')
    return name
