"""Write refusals with the header names of the platform."""

import json
from dataclasses import dataclass

from dragonflyknot.decisions.calls import Outcome
from dragonflyknot.decisions.refusals import Refusal, rule_of
from dragonflyknot.exchange.dialect import Dialect
from dragonflyknot.exchange.serverrequest import Request

_JSON = b'Content-Type: application/json\r\n'


@dataclass(frozen=True, slots=True)
class PlatformRefusal:
    """Describe why a request got no response from an upstream.

    `retry_after_s` is in seconds, 0 if no delay is suggested. `sends` counts
    the attempts, and `last_host` is the host of the last one. `attempts`
    describes those that have ended.
    """

    refusal: Refusal
    request_id: str
    retry_after_s: float = 0
    workspace: str = ''
    route: str = ''
    sends: int = 0
    last_host: str = ''
    attempts: tuple[str, ...] = ()


def refuse(
    request: Request, refused: PlatformRefusal, dialect: Dialect
) -> None:
    """Respond to a request with a refusal or a failure."""
    rule = rule_of(refused.refusal)
    lines = [_JSON]
    if refused.request_id:
        echoed = refused.request_id.encode('latin-1')
        lines.append(b'%b: %b\r\n' % (dialect.request_id, echoed))
    if rule.outcome is Outcome.NOT_RUN and refused.retry_after_s > 0:
        delay = b'%.3f' % refused.retry_after_s
        lines.append(b'%b: %b\r\n' % (dialect.retry_after, delay))
    body = json.dumps(
        {
            'kind': refused.refusal.value,
            'message': rule.message,
            'outcome': rule.outcome.value,
            'request': refused.request_id,
        }
    )
    request.respond(rule.status, lines, body.encode())
