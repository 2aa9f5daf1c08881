"""Move the revision of an environment.

A change names the revision that it was made from. It is accepted when the
environment's row moves from that revision to the next; an operator whose
base has been overtaken is told what has changed since.
"""

from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from dragonflyknot.decisions.document import Revision
from dragonflyknot.operators.clock import Clock
from dragonflyknot.operators.differences import Difference, differences
from dragonflyknot.operators.document import Document
from dragonflyknot.operators.sections import Sections, split
from dragonflyknot.operators.store import LoadError, load_document, save
from dragonflyknot.stores.backends import Backend
from dragonflyknot.stores.errors import (
    ConditionFailed,
    PlatformError,
    ReadError,
)
from dragonflyknot.stores.paging import read_all
from dragonflyknot.stores.rows import (
    AcceptedBody,
    decoded,
    document_key,
    encoded,
    history_key,
    history_partition,
)
from dragonflyknot.stores.writes import CompareAndSet, PutIfAbsent, Row, Write

TRIAL: Final = 'trial'
PRODUCTION: Final = 'production'


@dataclass(frozen=True, slots=True)
class Change:
    """Describe a move of an environment's row to a document.

    `base` is the number of the revision that the operator saw (0: none).
    """

    environment: str
    document: Document
    base: int
    operator: str
    reason: str = ''
    force: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    """Hold the revision in force after a change; `moved` if by this one."""

    revision: Revision
    moved: bool


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Say that another revision is in force than the one named as base."""

    base: int
    current: AcceptedBody | None
    changes: tuple[Difference, ...]

    def __str__(self) -> str:
        if self.current is None:
            return f'No revision is in force, not {self.base}; pass --base 0.'
        listed = '\n'.join(f'  {change}' for change in self.changes)
        return (
            f'Revision {self.current.number} of {self.current.operator} is in'
            f' force, not {self.base}. Changed since:\n{listed}\nTake these'
            f' into the document and pass --base {self.current.number}.'
        )


@dataclass(frozen=True, slots=True)
class NotTried:
    """Say that a digest has not run in the trial."""

    digest: str

    def __str__(self) -> str:
        return (
            f'The document {self.digest[:12]} has not run in the trial; run'
            ' "dragonflyknot try" with it first, or pass --force with a'
            ' --reason, which is recorded.'
        )


@dataclass(frozen=True, slots=True)
class ReasonMissing:
    """Say that a forced change has no reason."""

    def __str__(self) -> str:
        return 'A forced change is recorded; pass a --reason for it.'


RevisionError = PlatformError | LoadError | Overtaken | NotTried | ReasonMissing


class Revisions:
    """Read and move the revisions of every environment."""

    def __init__(self, backend: Backend, clock: Clock) -> None:
        """Work on the table and the objects of a platform."""
        self._table = backend.table
        self._objects = backend.objects
        self._clock = clock

    async def current(
        self, environment: str
    ) -> Result[AcceptedBody | None, ReadError]:
        """Return the revision in force, or none."""
        row = await self._table.get(document_key(environment))
        if isinstance(row, Err):
            return row
        if row.ok_value is None:
            return Ok(None)
        return decoded(AcceptedBody, row.ok_value)

    async def history(
        self, environment: str
    ) -> Result[tuple[AcceptedBody, ...], ReadError]:
        """Return every accepted revision, oldest first."""
        rows = await read_all(self._table, history_partition(environment))
        if isinstance(rows, Err):
            return rows
        bodies: list[AcceptedBody] = []
        for row in rows.ok_value:
            body = decoded(AcceptedBody, row)
            if isinstance(body, Err):
                return body
            bodies.append(body.ok_value)
        return Ok(tuple(bodies))

    async def document(
        self, environment: str
    ) -> Result[Document | None, LoadError]:
        """Return the document in force, or none."""
        body = await self.current(environment)
        if isinstance(body, Err):
            return body
        return await self.document_of(body.ok_value)

    async def document_of(
        self, body: AcceptedBody | None
    ) -> Result[Document | None, LoadError]:
        """Return the document of an accepted revision, or none."""
        if body is None:
            return Ok(None)
        return await load_document(self._objects, body.digest)

    async def accept(self, change: Change) -> Result[Accepted, RevisionError]:
        """Move an environment's row to a document, or say why not."""
        sections = split(change.document)
        vetted = await self._vetted(change, sections.digest)
        if isinstance(vetted, Err):
            return vetted
        row = await self._table.get(document_key(change.environment))
        if isinstance(row, Err):
            return row
        move = Move(change, sections, row.ok_value)
        return await self._accept_after(move)

    async def _vetted(
        self, change: Change, digest: str
    ) -> Result[None, RevisionError]:
        """Refuse a digest that is new to production unless forced."""
        if change.force:
            return Ok(None) if change.reason else Err(ReasonMissing())
        if change.environment != PRODUCTION:
            return Ok(None)
        tried = await self.history(TRIAL)
        if isinstance(tried, Err):
            return tried
        if any(body.digest == digest for body in tried.ok_value):
            return Ok(None)
        return Err(NotTried(digest))

    async def _accept_after(
        self, move: 'Move'
    ) -> Result[Accepted, RevisionError]:
        current = _body_or_none(move.row)
        if isinstance(current, Err):
            return current
        body = current.ok_value
        if body is not None and body.digest == move.sections.digest:
            return Ok(_unmoved(body, move.row))
        if move.change.base != _number_of(body):
            return await self._overtaken(move.change, body)
        stored = await self._save(move.sections, body)
        if isinstance(stored, Err):
            return stored
        return await self._move(move)

    async def _save(
        self, sections: Sections, current: AcceptedBody | None
    ) -> Result[None, RevisionError]:
        """Store the sections that the revision in force does not have."""
        before = await self.document_of(current)
        known = before.ok()
        digests = split(known).content_by_digest if known else {}
        return await save(self._objects, sections, frozenset(digests))

    async def _move(self, move: 'Move') -> Result[Accepted, RevisionError]:
        nonce = self._clock.nonce()
        body = self._next_body(move)
        answer = await self._table.transact(move.writes(body, nonce))
        match answer:
            case Ok():
                revision = Revision(body.number, body.digest, nonce)
                return Ok(Accepted(revision, moved=True))
            case Err(ConditionFailed()):
                return await self._lost_race(move.change)
            case Err(error):
                return Err(error)

    async def _lost_race(
        self, change: Change
    ) -> Result[Accepted, RevisionError]:
        current = await self.current(change.environment)
        if isinstance(current, Err):
            return current
        return await self._overtaken(change, current.ok_value)

    async def _overtaken(
        self, change: Change, current: AcceptedBody | None
    ) -> Result[Accepted, RevisionError]:
        """Tell what has changed since the base, as far as it can be read."""
        base = await self._base_document(change)
        now = await self.document_of(current)
        changes = differences(base, now.ok())
        return Err(Overtaken(change.base, current, changes))

    async def _base_document(self, change: Change) -> Document | None:
        key = history_key(change.environment, change.base)
        row = await self._table.get(key)
        body = row.and_then(_body_or_none)
        document = await self.document_of(body.ok())
        return document.ok()

    def _next_body(self, move: 'Move') -> AcceptedBody:
        change = move.change
        return AcceptedBody(
            number=change.base + 1,
            digest=move.sections.digest,
            operator=change.operator,
            accepted_at=self._clock.now(),
            reason=change.reason,
            forced=change.force,
        )


@dataclass(frozen=True, slots=True)
class Move:
    """Hold a change, its sections and the row that it replaces."""

    change: Change
    sections: Sections
    row: Row | None

    def writes(self, body: AcceptedBody, nonce: str) -> tuple[Write, ...]:
        """Return the writes that accept the change together."""
        text = encoded(body)
        environment = self.change.environment
        history = history_key(environment, body.number)
        if self.row is None:
            first = PutIfAbsent(document_key(environment), nonce, text)
            return first, PutIfAbsent(history, nonce, text)
        move = CompareAndSet(self.row, nonce, text)
        return move, PutIfAbsent(history, nonce, text)


def _body_or_none(row: Row | None) -> Result[AcceptedBody | None, ReadError]:
    if row is None:
        return Ok(None)
    return decoded(AcceptedBody, row)


def _number_of(body: AcceptedBody | None) -> int:
    return 0 if body is None else body.number


def _unmoved(body: AcceptedBody, row: Row | None) -> Accepted:
    nonce = row.nonce if row else ''
    return Accepted(Revision(body.number, body.digest, nonce), moved=False)
