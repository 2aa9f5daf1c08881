"""The commands on documents: check, diff, try, promote and history."""

from dataclasses import asdict, dataclass
from pathlib import Path
from typing import ClassVar, Final

from cleo.helpers import argument, option
from result import Err, Ok, Result

from dragonflyknot.operators import document as documents
from dragonflyknot.operators.base import (
    BaseCommand,
    ExitCode,
    Explained,
    Failure,
    Output,
    failure_of,
    options_of,
)
from dragonflyknot.operators.clock import system_clock
from dragonflyknot.operators.differences import differences
from dragonflyknot.operators.flags import (
    BASE,
    ENVIRONMENT,
    OPERATOR,
    PLATFORM,
    REASON,
    SOME_DAEMONS,
    WAIT,
    Settings,
)
from dragonflyknot.operators.inforce import wait_in_force
from dragonflyknot.operators.revisions import (
    PRODUCTION,
    TRIAL,
    Accepted,
    Change,
    RevisionError,
    Revisions,
)
from dragonflyknot.operators.sections import split
from dragonflyknot.stores.backends import RemoteBackend
from dragonflyknot.stores.rows import AcceptedBody

DIGEST_SHOWN: Final = 12


class CheckCommand(BaseCommand):
    """Check a document without any service."""

    name = 'check'
    description = 'List every fault of a document.'
    arguments: ClassVar = [argument('file', 'Path of the TOML document')]
    options: ClassVar = options_of()

    async def work(self, settings: Settings) -> Output | Failure:
        """Report the digest of a document without faults."""
        document = read_document(self.argument('file'))
        if isinstance(document, Err):
            return Failure(document.err_value)
        digest = split(document.ok_value).digest
        return Output(
            f'The document is without faults; its digest is {digest}.',
            {'digest': digest},
        )


class DiffCommand(BaseCommand):
    """Compare a document with the one in force."""

    name = 'diff'
    description = 'List what a document changes in an environment.'
    flags: ClassVar = (ENVIRONMENT, *PLATFORM)
    arguments: ClassVar = [argument('file', 'Path of the TOML document')]
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Report the changes and the revision to give as base."""
        document = read_document(self.argument('file'))
        if isinstance(document, Err):
            return Failure(document.err_value)
        environment = settings.text(ENVIRONMENT)
        async with RemoteBackend(settings.platform()) as backend:
            revisions = Revisions(backend, system_clock())
            current = await revisions.current(environment)
            if isinstance(current, Err):
                return failure_of(current.err_value)
            before = await revisions.document_of(current.ok_value)
            if isinstance(before, Err):
                return failure_of(before.err_value)
        body = current.ok_value
        base = body.number if body else 0
        changes = differences(before.ok_value, document.ok_value)
        lines = [str(change) for change in changes] or ['No change.']
        lines.append(f'Base revision of {environment}: --base {base}')
        return Output(
            '\n'.join(lines),
            {'base': base, 'changes': [asdict(change) for change in changes]},
        )


class TryCommand(BaseCommand):
    """Put a document in force in the trial environment."""

    name = 'try'
    description = 'Put a document in force in the trial.'
    flags: ClassVar = (BASE, OPERATOR, REASON, SOME_DAEMONS, WAIT, *PLATFORM)
    arguments: ClassVar = [argument('file', 'Path of the TOML document')]
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Move the trial to the document."""
        document = read_document(self.argument('file'))
        if isinstance(document, Err):
            return Failure(document.err_value)
        change = Change(
            environment=TRIAL,
            document=document.ok_value,
            base=settings.number(BASE),
            operator=settings.text(OPERATOR),
            reason=settings.text(REASON),
        )
        async with RemoteBackend(settings.platform()) as backend:
            revisions = Revisions(backend, system_clock())
            accepted = await revisions.accept(change)
        return await _reported(change, accepted, settings)


class PromoteCommand(BaseCommand):
    """Put the document of the trial in force in production, unchanged."""

    name = 'promote'
    description = 'Put the document of the trial in force in production.'
    flags: ClassVar = TryCommand.flags
    arguments: ClassVar = [
        argument('file', 'Path; the trial if left out', optional=True)
    ]
    options: ClassVar = [
        *options_of(*flags),
        option('force', None, 'Promote what has not run in the trial'),
    ]

    async def work(self, settings: Settings) -> Output | Failure:
        """Move production to the document."""
        async with RemoteBackend(settings.platform()) as backend:
            revisions = Revisions(backend, system_clock())
            document = await self._document(revisions)
            if isinstance(document, Err):
                return failure_of(document.err_value)
            change = Change(
                environment=PRODUCTION,
                document=document.ok_value,
                base=settings.number(BASE),
                operator=settings.text(OPERATOR),
                reason=settings.text(REASON),
                force=bool(self.option('force')),
            )
            accepted = await revisions.accept(change)
        return await _reported(change, accepted, settings)

    async def _document(
        self, revisions: Revisions
    ) -> Result[documents.Document, Explained]:
        path = self.argument('file')
        if path:
            return read_document(path)
        tried = await revisions.document(TRIAL)
        if isinstance(tried, Err):
            return tried
        if tried.ok_value is None:
            return Err(NothingTried())
        return Ok(tried.ok_value)


class HistoryCommand(BaseCommand):
    """List the accepted revisions of an environment."""

    name = 'history'
    description = 'List the accepted revisions of an environment.'
    flags: ClassVar = (ENVIRONMENT, *PLATFORM)
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Report every revision, oldest first."""
        async with RemoteBackend(settings.platform()) as backend:
            revisions = Revisions(backend, system_clock())
            history = await revisions.history(settings.text(ENVIRONMENT))
        if isinstance(history, Err):
            return failure_of(history.err_value)
        bodies = history.ok_value
        lines = map(_history_line, bodies)
        text = '\n'.join(lines) or 'No revision was accepted yet.'
        return Output(text, [asdict(body) for body in bodies])


@dataclass(frozen=True, slots=True)
class NothingTried:
    """Say that the trial has no document to promote."""

    def __str__(self) -> str:
        return (
            'The trial has no document yet; run "dragonflyknot try FILE" or'
            ' name a file.'
        )


@dataclass(frozen=True, slots=True)
class UnreadableFile:
    """Say that a document's file cannot be read."""

    path: str
    reason: str

    def __str__(self) -> str:
        return (
            f'{self.path} cannot be read ({self.reason}); name a TOML file in'
            ' UTF-8 that you may read.'
        )


def read_document(path: str) -> Result[documents.Document, Explained]:
    """Return the document in a file, or why there is none."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        return Err(UnreadableFile(path, type(error).__name__))
    return documents.parse(text)


async def _reported(
    change: Change,
    accepted: Result[Accepted, RevisionError],
    settings: Settings,
) -> Output | Failure:
    if isinstance(accepted, Err):
        return failure_of(accepted.err_value)
    revision = accepted.ok_value.revision
    shown = f'{revision.number} ({revision.digest[:DIGEST_SHOWN]})'
    text = f'Revision {shown} is accepted in {change.environment}.'
    if not accepted.ok_value.moved:
        text = f'Revision {shown} in {change.environment} is this document.'
    members = asdict(revision) | {
        'environment': change.environment,
        'moved': accepted.ok_value.moved,
    }
    if not settings.addresses():
        return Output(text, members)
    found = await wait_in_force(
        settings.addresses(), revision.number, settings.number(WAIT)
    )
    code = ExitCode.DONE if found.everywhere else ExitCode.INCOMPLETE
    return Output(
        f'{text}\n{found}', members | {'in_force': asdict(found)}, code
    )


def _history_line(body: AcceptedBody) -> str:
    forced = ' forced' if body.forced else ''
    reason = f': {body.reason}' if body.reason else ''
    return (
        f'{body.number:>5}  {body.digest[:DIGEST_SHOWN]}  {body.accepted_at}'
        f'  {body.operator}{forced}{reason}'
    )
