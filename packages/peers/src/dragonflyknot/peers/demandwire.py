"""JSON messages between the daemons of a site and the meter of the rates.

For compatibility between versions, unknown fields are ignored.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import structlog

from dragonflyknot.decisions.demand import (
    Allowance,
    MeterReply,
    WorkspaceDemand,
)

DEMAND_PATH: Final = '/.dragonflyknot/demand'
_DECODE_ERRORS: Final = (ValueError, KeyError, TypeError, AttributeError)
_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand at a host, by workspace."""

    host: str
    demand: Mapping[str, WorkspaceDemand]


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
        fields = json.loads(content)
        demand = {
            str(workspace): WorkspaceDemand(float(per_s), float(admitted))
            for workspace, (per_s, admitted) in fields['demand'].items()
        }
        return DemandReport(str(fields['host']), demand)
    except _DECODE_ERRORS as error:
        _log.warning('report_malformed', error=type(error).__name__)
        return None


def encode_meter_reply(reply: MeterReply) -> bytes:
    """Encode the reply of a meter as JSON."""
    fields = {
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


def decode_meter_reply(content: bytes) -> MeterReply:
    """Decode the reply of a meter; nothing is granted if malformed."""
    try:
        fields = json.loads(content)
        allowances = {
            str(workspace): Allowance(float(fleet_per_s), float(allowed_per_s))
            for workspace, (fleet_per_s, allowed_per_s) in fields[
                'allowances'
            ].items()
        }
        return MeterReply(fields['granting'] is True, allowances)
    except _DECODE_ERRORS as error:
        _log.warning('meter_reply_malformed', error=type(error).__name__)
        return MeterReply()
