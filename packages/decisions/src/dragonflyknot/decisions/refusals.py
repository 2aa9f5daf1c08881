"""The refusals and failures that the system itself sends as responses.

A refusal kind determines the HTTP status, the outcome that the caller may
rely on and the message, which names a remedy.
"""

from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType

from dragonflyknot.decisions.calls import Outcome


@dataclass(frozen=True, slots=True)
class RefusalRule:
    """Define the status, the outcome and the message of a refusal kind."""

    status: int
    outcome: Outcome
    message: str


@unique
class Refusal(Enum):
    """Name the refusal kinds as used in bodies, logs and metrics."""

    MALFORMED = 'malformed'
    IDEMPOTENCY_KEY_MISSING = 'idempotency-key-missing'
    KEY_MISSING = 'key-missing'
    KEY_UNKNOWN = 'key-unknown'
    KEY_WITHDRAWN = 'key-withdrawn'
    KEY_OF_OTHER_WORKSPACE = 'key-of-other-workspace'
    KEYS_STALE = 'keys-stale'
    NO_ROUTE = 'no-route'
    CHAIN_UNKNOWN = 'chain-unknown'
    ALREADY_CLAIMED = 'already-claimed'
    RATE = 'rate'
    SHED = 'shed'
    NO_TIME = 'no-time'
    DRAINING = 'draining'
    NO_UPSTREAM = 'no-upstream'
    PLATFORM_OUT = 'platform-out'
    NOT_READY = 'not-ready'
    WRONG_INCARNATION = 'wrong-incarnation'
    REVOKED = 'revoked'
    BAD_PEER = 'bad-peer'
    UPSTREAM_BROKE = 'upstream-broke'
    UPSTREAM_SILENT = 'upstream-silent'


_RULES_BY_REFUSAL = MappingProxyType(
    {
        Refusal.MALFORMED: RefusalRule(
            400,
            Outcome.NOT_RUN,
            'The request is malformed; correct it and send it again.',
        ),
        Refusal.IDEMPOTENCY_KEY_MISSING: RefusalRule(
            400,
            Outcome.NOT_RUN,
            'This route runs at most once; send an Idempotency-Key header.',
        ),
        Refusal.KEY_MISSING: RefusalRule(
            401,
            Outcome.NOT_RUN,
            'No key came with the request; send "Authorization: Bearer KEY".',
        ),
        Refusal.KEY_UNKNOWN: RefusalRule(
            401,
            Outcome.NOT_RUN,
            'The key is not known; ask the operators to issue one.',
        ),
        Refusal.KEY_WITHDRAWN: RefusalRule(
            401,
            Outcome.NOT_RUN,
            'The key was withdrawn; ask the operators to issue a new one.',
        ),
        Refusal.KEY_OF_OTHER_WORKSPACE: RefusalRule(
            403,
            Outcome.NOT_RUN,
            'The key belongs to another workspace; use a key of this one.',
        ),
        Refusal.KEYS_STALE: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'The key cannot be vouched for at present; retry after the delay.',
        ),
        Refusal.NO_ROUTE: RefusalRule(
            404,
            Outcome.NOT_RUN,
            'No route matches; add it to the document or correct the path.',
        ),
        Refusal.CHAIN_UNKNOWN: RefusalRule(
            400,
            Outcome.NOT_RUN,
            'The chain is not in flight here; copy Dragonflyknot-Chain from the'
            ' request that is being served.',
        ),
        Refusal.ALREADY_CLAIMED: RefusalRule(
            409,
            Outcome.UNKNOWN,
            'The operation with this Idempotency-Key ran or may have run; look'
            ' up its result before sending a new key.',
        ),
        Refusal.RATE: RefusalRule(
            429,
            Outcome.NOT_RUN,
            'The workspace is over its rate; retry after the delay.',
        ),
        Refusal.SHED: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'The service is overloaded; retry after the delay.',
        ),
        Refusal.NO_TIME: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'The request cannot finish in its time; allow more or retry later.',
        ),
        Refusal.DRAINING: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'This host is stopping; send the request to another one.',
        ),
        Refusal.NO_UPSTREAM: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'No upstream of the service has room; retry after the delay.',
        ),
        Refusal.PLATFORM_OUT: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'The table service is out; use a ticket or retry after the delay.',
        ),
        Refusal.NOT_READY: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'This daemon has no configuration yet; send to another one.',
        ),
        Refusal.WRONG_INCARNATION: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'The gate was restarted; send a new attempt.',
        ),
        Refusal.REVOKED: RefusalRule(
            503,
            Outcome.NOT_RUN,
            'The attempt was resolved as never run; send a new attempt.',
        ),
        Refusal.BAD_PEER: RefusalRule(
            403,
            Outcome.NOT_RUN,
            'The fleet secret is wrong; give all daemons the same secret.',
        ),
        Refusal.UPSTREAM_BROKE: RefusalRule(
            502,
            Outcome.UNKNOWN,
            'The upstream broke off; check whether the request took effect.',
        ),
        Refusal.UPSTREAM_SILENT: RefusalRule(
            504,
            Outcome.UNKNOWN,
            'The upstream did not answer in time; check whether the request'
            ' took effect.',
        ),
    }
)


def rule_of(refusal: Refusal) -> RefusalRule:
    """Return the status, outcome and message of a refusal kind."""
    return _RULES_BY_REFUSAL[refusal]
