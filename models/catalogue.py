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
_LEASES = Search('leases', 'tokens', Claim.SAFETY)
_HOLDING = Search('leases', 'holding', Claim.LIVENESS, ('PROMPT',))
_CONFIGURATION = Search('configuration', 'revisions', Claim.ENDING)
_RETRIES = Search('retries', 'tree', Claim.ENDING)

SEARCHES = (
    _ATTEMPTS,
    _SINGLE,
    _EPOCHS,
    _CLAIMS,
    _TICKETS,
    _SETTLED,
    _SETTLING,
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
)
