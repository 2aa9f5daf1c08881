"""Write the refusals and failures that a daemon itself returns."""

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
    """Describe why a request got no response from an upstream.

    `outcome` overrides the outcome of the refusal's rule if more is known.
    `retry_after_s` is in seconds, 0 if no delay is suggested. `is_final`
    forbids retries by the callers, because a service further down the chain
    refused.
    """

    refusal: Refusal
    retry_after_s: float = 0
    outcome: Outcome | None = None
    is_final: bool = False

    @property
    def known_outcome(self) -> Outcome:
        """Return whether the request ran, as far as it is known."""
        return self.outcome or rule_of(self.refusal).outcome


def refusal_response(
    refused: Refused,
    workspace: str,
    request_id: str,
    extra: MappingProxyType[str, str] | dict[str, str] = _NO_EXTRA,
) -> web.Response:
    """Return the HTTP response for a refusal, with a JSON body.

    `extra` headers override the default ones.
    """
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
