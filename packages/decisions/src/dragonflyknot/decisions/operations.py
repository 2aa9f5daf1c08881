"""Claims of operations in the table, so that each runs at most once.

An operation is claimed by inserting a row that must not exist, with the
nonce of the request. Claims that wait while a transaction is under way go
into the next one together. The row of an operation that may have run stays
for good; only the winner of a claim removes it, and only while nothing was
run. A claim whose owner died therefore stays too, and later duplicates hear
that the outcome is unknown.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256

BATCH_CLAIMS = 50
TAKEN_KEPT = 10_000


@dataclass(frozen=True, slots=True)
class Claim:
    """Name the request (`nonce`) that claims an operation."""

    operation: str
    nonce: str


@dataclass(frozen=True, slots=True)
class ClaimAsked:
    """Report a request that needs its operation to itself."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """Report that a request no longer waits for its claim."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """Report what became of a request that had won its claim."""

    claim: Claim
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class InsertApplied:
    """Report that all claims of a transaction were written."""


@dataclass(frozen=True, slots=True)
class InsertConflicted:
    """Report that nothing was written since these rows were there."""

    present: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class InsertFailed:
    """Report a transaction that failed.

    `may_have_applied` says that reading back could not settle it.
    """

    may_have_applied: bool


@dataclass(frozen=True, slots=True)
class RemoveEnded:
    """Report whether a removal took effect or found the row changed."""

    claim: Claim
    is_settled: bool


OperationEvent = (
    ClaimAsked
    | ClaimAbandoned
    | ClaimEnded
    | InsertApplied
    | InsertConflicted
    | InsertFailed
    | RemoveEnded
)


@dataclass(frozen=True, slots=True)
class InsertClaims:
    """Insert all rows in one transaction unless one of them is there."""

    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class RemoveClaim:
    """Remove a row if it still carries the nonce."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """Let the request run its operation."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """Refuse the request; its operation ran or may have run."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """Refuse the request as not run, since the table is out."""

    claim: Claim


OperationCommand = (
    InsertClaims | RemoveClaim | ClaimWon | ClaimTaken | ClaimRefused
)


class Operations:
    """Group one daemon's claims into transactions, one at a time."""

    def __init__(self) -> None:
        """Start without claims."""
        self._waiting: dict[Claim, None] = {}
        self._sent: tuple[Claim, ...] = ()
        self._abandoned: set[Claim] = set()
        self._to_remove: dict[Claim, None] = {}
        self._held: set[str] = set()
        self._taken: dict[str, None] = {}
        self._commands: list[OperationCommand] = []

    def __len__(self) -> int:
        """Return the number of claims that wait or are being written."""
        return len(self._waiting) + len(self._sent)

    @property
    def unremoved(self) -> tuple[Claim, ...]:
        """Return the claims to be removed once the table answers."""
        return tuple(self._to_remove)

    def handle(self, event: OperationEvent) -> tuple[OperationCommand, ...]:
        """Take in an event; return what to write and to decide."""
        self._commands = []
        match event:
            case ClaimAsked(claim):
                self._ask(claim)
            case ClaimAbandoned(claim):
                self._abandon(claim)
            case ClaimEnded(claim, may_have_run):
                self._end(claim, may_have_run=may_have_run)
            case RemoveEnded(claim, is_settled):
                if is_settled:
                    self._to_remove.pop(claim, None)
            case _:
                self._finish(event)
        self._send()
        return tuple(self._commands)

    def _ask(self, claim: Claim) -> None:
        if claim.operation in self._taken or claim.operation in self._held:
            self._commands.append(ClaimTaken(claim))
        else:
            self._waiting[claim] = None

    def _abandon(self, claim: Claim) -> None:
        if claim in self._waiting:
            self._waiting.pop(claim)
        elif claim in self._sent:
            self._abandoned.add(claim)

    def _end(self, claim: Claim, *, may_have_run: bool) -> None:
        self._held.discard(claim.operation)
        if may_have_run:
            self._note_taken(claim.operation)
        else:
            self._remove(claim)

    def _finish(
        self, event: InsertApplied | InsertConflicted | InsertFailed
    ) -> None:
        sent = self._sent
        self._sent = ()
        match event:
            case InsertApplied():
                self._win(sent)
            case InsertConflicted(present):
                self._split(sent, present)
            case InsertFailed(may_have_applied):
                for claim in sent:
                    self._refuse(claim, may_be_there=may_have_applied)

    def _win(self, claims: Iterable[Claim]) -> None:
        for claim in claims:
            if claim in self._abandoned:
                self._abandoned.discard(claim)
                self._remove(claim)
            else:
                self._held.add(claim.operation)
                self._commands.append(ClaimWon(claim))

    def _split(self, sent: tuple[Claim, ...], present: Iterable[Claim]) -> None:
        """Settle the claims whose rows are there; the others go again."""
        present_by_operation = {row.operation: row for row in present}
        again: dict[Claim, None] = {}
        for claim in sent:
            row = present_by_operation.get(claim.operation)
            if row is None and claim in self._abandoned:
                self._abandoned.discard(claim)
            elif row is None:
                again[claim] = None
            elif row == claim:
                self._win((claim,))
            else:
                self._take(claim)
        self._waiting = {**again, **self._waiting}

    def _take(self, claim: Claim) -> None:
        if claim in self._abandoned:
            self._abandoned.discard(claim)
        else:
            self._commands.append(ClaimTaken(claim))

    def _refuse(self, claim: Claim, *, may_be_there: bool) -> None:
        if may_be_there:
            # It was not run, so a row that it left behind may go.
            self._to_remove[claim] = None
        if claim in self._abandoned:
            self._abandoned.discard(claim)
        else:
            self._commands.append(ClaimRefused(claim))

    def _remove(self, claim: Claim) -> None:
        self._to_remove[claim] = None
        self._commands.append(RemoveClaim(claim))

    def _note_taken(self, operation: str) -> None:
        self._taken[operation] = None
        if len(self._taken) > TAKEN_KEPT:
            self._taken.pop(next(iter(self._taken)))

    def _send(self) -> None:
        """Send a batch with one claim an operation; the rest waits."""
        if self._sent or not self._waiting:
            return
        batch: dict[str, Claim] = {}
        for claim in tuple(self._waiting):
            if claim.operation in self._held:
                self._waiting.pop(claim)
                self._take(claim)
            elif len(batch) < BATCH_CLAIMS:
                batch.setdefault(claim.operation, claim)
        self._sent = tuple(batch.values())
        for sent in self._sent:
            self._waiting.pop(sent)
        if not self._sent:
            return
        self._commands.append(InsertClaims(self._sent))


def name_operation(workspace: str, idempotency_key: str) -> str:
    """Return the name of an operation within the whole environment."""
    text = f'{len(workspace)}:{workspace}{idempotency_key}'
    return sha256(text.encode()).hexdigest()
