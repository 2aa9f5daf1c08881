"""List the searches and the mutants of every model.

A search is one exhaustive run of the model checker with its macros. A mutant
is a search with one guard of the model taken out, which must be caught.
"""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Claim(Enum):
    """Say what a search looks for, as options of compiler and verifier."""

    SAFETY = 'assertions and end states'
    ENDING = 'endless runs'
    LIVENESS = 'a temporal formula under weak fairness'


@dataclass(frozen=True, slots=True)
class Search:
    """Describe one run of the model checker over `model`.pml."""

    model: str
    name: str
    claim: Claim
    macros: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Mutant:
    """Take one guard out of a search."""

    search: Search
    guard: str


_ATTEMPTS = Search(
    'attempts',
    'two attempts, doubled',
    Claim.SAFETY,
    ('EDGES=1', 'TRIES=2', 'DOUBLING'),
)
_SINGLE = Search(
    'attempts',
    'two attempts, not doubled',
    Claim.SAFETY,
    ('EDGES=1', 'TRIES=2'),
)
_EPOCHS = Search(
    'attempts',
    'ledger epochs, doubled',
    Claim.SAFETY,
    ('EDGES=1', 'DOUBLING', 'EPOCHS'),
)
_CLAIMS = Search('attempts', 'two edges', Claim.SAFETY, ('RESOLVES=1',))
_TICKETS = Search(
    'attempts', 'two edges, tickets', Claim.SAFETY, ('RESOLVES=1', 'TICKET')
)
_SETTLED = Search('attempts', 'counted faults', Claim.SAFETY, ('SETTLE',))
_SETTLING = Search('attempts', 'counted faults', Claim.ENDING, ('SETTLE',))
_LEASES = Search('leases', 'lease', Claim.SAFETY, ('NO_GRANTS',))
_GRANTS = Search('leases', 'grants', Claim.SAFETY, ('NO_LEASE',))
_HOLDING = Search('leases', 'holding', Claim.LIVENESS, ('PROMPT',))
_CONFIGURATION = Search('configuration', 'revisions', Claim.SAFETY)
_SPREADING = Search(
    'configuration', 'one change each', Claim.ENDING, ('CHANGES=1',)
)
_RETRIES = Search('retries', 'tree', Claim.SAFETY)

SEARCHES = (
    _ATTEMPTS,
    _SINGLE,
    _EPOCHS,
    _CLAIMS,
    _TICKETS,
    _SETTLED,
    _SETTLING,
    _LEASES,
    _GRANTS,
    _HOLDING,
    _CONFIGURATION,
    _SPREADING,
    _RETRIES,
)

MUTANTS = (
    Mutant(_ATTEMPTS, 'NO_INCARNATION_CHECK'),
    Mutant(_ATTEMPTS, 'RESOLVE_DOES_NOT_BIND'),
    Mutant(_ATTEMPTS, 'RESTARTED_GATE_SAYS_NEVER'),
    Mutant(_ATTEMPTS, 'SILENCE_MEANS_NOT_RUN'),
    Mutant(_ATTEMPTS, 'OTHER_INCARNATION_MEANS_NOT_RUN'),
    Mutant(_ATTEMPTS, 'SHED_IS_NOT_RECORDED'),
    Mutant(_ATTEMPTS, 'DUPLICATE_MEANS_NOT_RUN'),
    Mutant(_EPOCHS, 'FORGOTTEN_MEANS_NEVER'),
    Mutant(_EPOCHS, 'FORGOTTEN_ATTEMPTS_ARE_ACCEPTED'),
    Mutant(_CLAIMS, 'CLAIM_WITHOUT_NONCE'),
    Mutant(_CLAIMS, 'RELEASE_AFTER_UNKNOWN'),
    Mutant(_TICKETS, 'NO_TICKET_INCARNATION'),
    Mutant(_SETTLED, 'BUSY_MEANS_UNKNOWN'),
    Mutant(_LEASES, 'LEASE_WITHOUT_MARGIN_OR_WAIT'),
    Mutant(_LEASES, 'LEASE_FROM_ANSWER'),
    Mutant(_LEASES, 'WITNESS_LEASE_FROM_ANSWER'),
    Mutant(_LEASES, 'RENEWAL_OF_A_DEAD_ROW'),
    Mutant(_LEASES, 'FENCE_WITHOUT_CONDITION'),
    Mutant(_LEASES, 'GRANTS_WHILE_FENCING'),
    Mutant(_GRANTS, 'TAKER_STARTS_AT_ONCE'),
    Mutant(_HOLDING, 'TAKER_NEVER_TAKES'),
    Mutant(_GRANTS, 'LOANS_ARE_NOT_COUNTED'),
    Mutant(_GRANTS, 'GRANT_COUNTED_FROM_ARRIVAL'),
    Mutant(_GRANTS, 'GRANT_CREDITED_TWICE'),
    Mutant(_CONFIGURATION, 'WRITE_WITHOUT_CONDITION'),
    Mutant(_CONFIGURATION, 'REVISION_MEANS_ACCEPTED'),
    Mutant(_CONFIGURATION, 'LATER_REVISION_MEANS_OVERTAKEN'),
    Mutant(_CONFIGURATION, 'ABSENCE_MEANS_OVERTAKEN'),
    Mutant(_CONFIGURATION, 'INSTALL_ANY_REVISION'),
    Mutant(_CONFIGURATION, 'DOCUMENT_WITHOUT_DIGEST'),
    Mutant(_CONFIGURATION, 'WITHOUT_GOSSIP'),
    Mutant(_RETRIES, 'DOUBLED_CALL_STARTS_TWICE'),
    Mutant(_RETRIES, 'ANSWER_CREDITED_TWICE'),
    Mutant(_RETRIES, 'HAND_OVER_COPIES'),
    Mutant(_RETRIES, 'REPORT_WITHOUT_SEAL'),
    Mutant(_RETRIES, 'SILENCE_RETURNS_THE_PART'),
)
