"""Write the refusals and failures that the system itself answers."""

import json
import math
from dataclasses import dataclass
from types import MappingProxyType

from aiohttp import web

from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.calls import Outcome
from dragonflyknot.decisions.refusals import Refusal, rule_of

_NO_EXTRA = MappingProxyType[str, str]({})


@dataclass(frozen=True, slots=True)
class Refused:
    """Say why a request got no answer of an upstream.

    `outcome` replaces the one of the refusal's rule where more is known.
    `retry_after_s` is in seconds. `is_final` forbids a retry by the hops
    above, since a deeper service refused.
    """

    refusal: Refusal
    retry_after_s: float = 0
    outcome: Outcome | None = None
    is_final: bool = False

    @property
    def known_outcome(self) -> Outcome:
        """Return what is known about whether the request ran."""
        return self.outcome or rule_of(self.refusal).outcome


def refusal_response(
    refused: Refused,
    workspace: str,
    request_id: str,
    extra: MappingProxyType[str, str] | dict[str, str] = _NO_EXTRA,
) -> web.Response:
    """Return the response of a refusal with its JSON body."""
    rule = rule_of(refused.refusal)
    head = {names.OUTCOME: refused.known_outcome.value, **extra}
    if refused.retry_after_s > 0:
        head[names.RETRY_AFTER] = str(math.ceil(refused.retry_after_s))
    body = json.dumps(
        {
            'kind': refused.refusal.value,
            'message': rule.message,
            'outcome': refused.known_outcome.value,
            'workspace': workspace,
            'request': request_id,
            'retry_after_ms': round(refused.retry_after_s * 1000),
        }
    )
    return web.Response(
        status=rule.status,
        headers=head,
        text=body,
        content_type='application/json',
    )
