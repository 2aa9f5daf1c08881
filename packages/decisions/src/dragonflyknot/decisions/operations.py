"""Claims on operations in the table, so that each runs at most once.

A request claims an operation with a conditional insert of a row that holds
the request's nonce. Claims that arrive while a transaction is in progress
are batched into the next one. The row of an operation that may have run is
never removed; only the owner of a claim removes it, and only if the
operation did not run. The claim of a crashed owner therefore stays, and
later duplicates are told that the outcome is unknown.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256

MAX_BATCH_CLAIMS = 50

# OperationClaims that ran here; their duplicates are refused without a write.
MAX_CACHED_TAKEN_OPERATIONS = 10_000


@dataclass(frozen=True, slots=True)
class Claim:
    """Identify an operation and, by `nonce`, the request that claims it."""

    operation: str
    nonce: str


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """Report a request that must claim its operation."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """Report that a request no longer waits for its claim."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """Report the end of a request that had won its claim."""

    claim: Claim
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class InsertApplied:
    """Report that all claims of a transaction were written."""


@dataclass(frozen=True, slots=True)
class InsertConflicted:
    """Report that nothing was written, because these rows exist."""

    present: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class InsertFailed:
    """Report a transaction that failed.

    `may_have_applied` means that reading the rows back did not tell whether
    they were written.
    """

    may_have_applied: bool


@dataclass(frozen=True, slots=True)
class RemoveEnded:
    """Report the end of a removal.

    `is_settled` means that the row was removed or no longer has the nonce.
    """

    claim: Claim
    is_settled: bool


OperationEvent = (
    ClaimRequested
    | ClaimAbandoned
    | ClaimEnded
    | InsertApplied
    | InsertConflicted
    | InsertFailed
    | RemoveEnded
)


@dataclass(frozen=True, slots=True)
class InsertClaims:
    """Insert all rows in one transaction, unless one of them exists."""

    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class RemoveClaim:
    """Remove a row if it still holds the nonce."""

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
    """Refuse the request as not run, because the table is unavailable."""

    claim: Claim


OperationCommand = (
    InsertClaims | RemoveClaim | ClaimWon | ClaimTaken | ClaimRefused
)


class OperationClaims:
    """Batch one daemon's claims into transactions, one at a time."""

    def __init__(self) -> None:
        """Start without claims."""
        self._waiting: dict[Claim, None] = {}
        self._in_progress: tuple[Claim, ...] = ()
        self._abandoned: set[Claim] = set()
        self._pending_removals: dict[Claim, None] = {}
        self._held_operations: set[str] = set()
        self._taken_operations: dict[str, None] = {}
        self._commands: list[OperationCommand] = []

    def __len__(self) -> int:
        """Return the number of claims that are waiting or being written."""
        return len(self._waiting) + len(self._in_progress)

    @property
    def pending_removals(self) -> tuple[Claim, ...]:
        """Return the claims whose removal has not been confirmed."""
        return tuple(self._pending_removals)

    def handle(self, event: OperationEvent) -> tuple[OperationCommand, ...]:
        """Apply an event; return the writes and decisions to execute."""
        self._commands = []
        match event:
            case ClaimRequested(claim):
                self._request(claim)
            case ClaimAbandoned(claim):
                self._abandon(claim)
            case ClaimEnded(claim, may_have_run):
                self._end_claim(claim, may_have_run=may_have_run)
            case RemoveEnded(claim, is_settled):
                if is_settled:
                    self._pending_removals.pop(claim, None)
            case _:
                self._end_insert(event)
        self._send_batch()
        return tuple(self._commands)

    def _request(self, claim: Claim) -> None:
        if (
            claim.operation in self._taken_operations
            or claim.operation in self._held_operations
        ):
            self._commands.append(ClaimTaken(claim))
        else:
            self._waiting[claim] = None

    def _abandon(self, claim: Claim) -> None:
        if claim in self._waiting:
            self._waiting.pop(claim)
        elif claim in self._in_progress:
            self._abandoned.add(claim)

    def _end_claim(self, claim: Claim, *, may_have_run: bool) -> None:
        self._held_operations.discard(claim.operation)
        if may_have_run:
            self._cache_taken(claim.operation)
        else:
            self._remove(claim)

    def _end_insert(
        self, event: InsertApplied | InsertConflicted | InsertFailed
    ) -> None:
        sent = self._in_progress
        self._in_progress = ()
        match event:
            case InsertApplied():
                self._grant(sent)
            case InsertConflicted(present):
                self._resolve_conflicts(sent, present)
            case InsertFailed(may_have_applied):
                for claim in sent:
                    self._refuse(claim, may_be_written=may_have_applied)

    def _grant(self, claims: Iterable[Claim]) -> None:
        for claim in claims:
            if claim in self._abandoned:
                self._abandoned.discard(claim)
                self._remove(claim)
            else:
                self._held_operations.add(claim.operation)
                self._commands.append(ClaimWon(claim))

    def _resolve_conflicts(
        self, sent: tuple[Claim, ...], present: Iterable[Claim]
    ) -> None:
        """Resolve the claims whose rows exist; insert the others again."""
        present_by_operation = {row.operation: row for row in present}
        retried: dict[Claim, None] = {}
        for claim in sent:
            row = present_by_operation.get(claim.operation)
            if row is None and claim in self._abandoned:
                self._abandoned.discard(claim)
            elif row is None:
                retried[claim] = None
            elif row == claim:
                self._grant((claim,))
            else:
                self._refuse_taken(claim)
        self._waiting = {**retried, **self._waiting}

    def _refuse_taken(self, claim: Claim) -> None:
        if claim in self._abandoned:
            self._abandoned.discard(claim)
        else:
            self._commands.append(ClaimTaken(claim))

    def _refuse(self, claim: Claim, *, may_be_written: bool) -> None:
        if may_be_written:
            # The operation did not run, so a row left behind is removed.
            self._pending_removals[claim] = None
        if claim in self._abandoned:
            self._abandoned.discard(claim)
        else:
            self._commands.append(ClaimRefused(claim))

    def _remove(self, claim: Claim) -> None:
        self._pending_removals[claim] = None
        self._commands.append(RemoveClaim(claim))

    def _cache_taken(self, operation: str) -> None:
        self._taken_operations[operation] = None
        if len(self._taken_operations) > MAX_CACHED_TAKEN_OPERATIONS:
            self._taken_operations.pop(next(iter(self._taken_operations)))

    def _send_batch(self) -> None:
        """Send a batch of at most one claim per operation."""
        if self._in_progress or not self._waiting:
            return
        batch: dict[str, Claim] = {}
        for claim in tuple(self._waiting):
            if claim.operation in self._held_operations:
                self._waiting.pop(claim)
                self._refuse_taken(claim)
            elif len(batch) < MAX_BATCH_CLAIMS:
                batch.setdefault(claim.operation, claim)
        self._in_progress = tuple(batch.values())
        for sent in self._in_progress:
            self._waiting.pop(sent)
        if not self._in_progress:
            return
        self._commands.append(InsertClaims(self._in_progress))


def make_operation_id(workspace: str, idempotency_key: str) -> str:
    """Return the id of an operation, unique within the environment."""
    text = f'{len(workspace)}:{workspace}{idempotency_key}'
    return sha256(text.encode()).hexdigest()
