"""JSON messages between the daemons of a site and the meter of the rates.

For compatibility between versions, unknown fields and further numbers of a
workspace are ignored.
"""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from dragonflyknot.decisions.demand import (
    Allowance,
    MeterReply,
    WorkspaceDemand,
)
from dragonflyknot.exchange.jsonfields import FieldFault, Fields, read_json
from dragonflyknot.exchange.telemetry import FaultLog

DEMAND_PATH: Final = '/.dragonflyknot/demand'
PROBE: Final = b''
"""Asks who answers, and reports nothing."""
MAX_PER_S: Final = 1e9
"""Highest rate and count of a message; sums over all hosts stay finite."""
_faults = FaultLog()


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand at a host, by workspace."""

    host: str
    demand: Mapping[str, WorkspaceDemand]


@dataclass(frozen=True, slots=True)
class MeterResponse:
    """The reply of a meter and its host, empty if it does not name itself."""

    host: str
    reply: MeterReply

    def is_from(self, host: str) -> bool:
        """Tell whether a host replied; earlier releases name none."""
        return self.host in {'', host}


def encode_report(report: DemandReport) -> bytes:
    """Encode a demand report as JSON."""
    fields = {
        'host': report.host,
        'demand': {
            workspace: [round(asked.per_s, 2), round(asked.admitted, 2)]
            for workspace, asked in report.demand.items()
        },
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_report(content: bytes) -> DemandReport | None:
    """Decode a demand report; return None if malformed."""
    try:
        return _decode_report_fields(Fields(read_json(content), 'report'))
    except ValueError as error:
        _faults.write('report_malformed', fault=str(error))
        return None


def encode_meter_response(response: MeterResponse) -> bytes:
    """Encode the response of a meter as JSON."""
    reply = response.reply
    fields = {
        'host': response.host,
        'granting': reply.is_granting,
        'allowances': {
            workspace: [
                round(allowance.fleet_per_s, 2),
                round(allowance.allowed_per_s, 2),
            ]
            for workspace, allowance in reply.allowances.items()
        },
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_meter_response(content: bytes) -> MeterResponse:
    """Decode the response of a meter; nothing is granted if malformed."""
    try:
        return _decode_response_fields(Fields(read_json(content), 'reply'))
    except ValueError as error:
        _faults.write('meter_reply_malformed', fault=str(error))
        return MeterResponse('', MeterReply())


def _decode_report_fields(fields: Fields) -> DemandReport:
    pairs = _decode_pairs(fields.record('demand'))
    demand = {
        workspace: WorkspaceDemand(per_s, admitted)
        for workspace, per_s, admitted in pairs
    }
    return DemandReport(fields.string('host'), demand)


def _decode_response_fields(fields: Fields) -> MeterResponse:
    pairs = _decode_pairs(fields.record('allowances'))
    allowances = {
        workspace: Allowance(fleet_per_s, allowed_per_s)
        for workspace, fleet_per_s, allowed_per_s in pairs
    }
    is_granting = fields.boolean('granting', default=False)
    reply = MeterReply(is_granting, allowances)
    return MeterResponse(fields.string('host', ''), reply)


def _decode_pairs(record: Fields) -> Iterator[tuple[str, float, float]]:
    for workspace in record.names():
        numbers = record.numbers(workspace)[:2]
        if len(numbers) < 2 or max(map(abs, numbers)) > MAX_PER_S:
            raise FieldFault(
                'pair', f'must start with two numbers within {MAX_PER_S:.0f}'
            )
        yield workspace, numbers[0], numbers[1]
