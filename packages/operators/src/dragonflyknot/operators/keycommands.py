"""The commands on keys: issue, withdraw and list."""

from dataclasses import asdict, dataclass
from typing import ClassVar, Final

from cleo.helpers import argument
from result import Err

from dragonflyknot.operators.base import (
    BaseCommand,
    ExitCode,
    Failure,
    Output,
    failure_of,
    options_of,
)
from dragonflyknot.operators.clock import system_clock
from dragonflyknot.operators.document import Document
from dragonflyknot.operators.flags import (
    ENVIRONMENT,
    LABEL,
    PLATFORM,
    SOME_DAEMONS,
    Settings,
)
from dragonflyknot.operators.keys import Keys
from dragonflyknot.operators.revisions import Revisions
from dragonflyknot.operators.withdrawals import Announcement, announce
from dragonflyknot.stores.backends import Backend, RemoteBackend
from dragonflyknot.stores.rows import KeyChangeBody

NOT_ANNOUNCED: Final = (
    'It was not announced; pass --daemons, so that it holds through an outage'
    ' of the store that begins now.'
)


@dataclass(frozen=True, slots=True)
class UnknownWorkspace:
    """Say that the document in force has no such workspace."""

    workspace: str
    known: tuple[str, ...]

    def __str__(self) -> str:
        listed = ', '.join(self.known) or 'none'
        return (
            f'The document in force has no workspace {self.workspace!r}; name'
            f' one of these or add it to the document: {listed}.'
        )


class KeyIssueCommand(BaseCommand):
    """Issue a key and show it this once."""

    name = 'key issue'
    description = 'Issue a key of a workspace and show it once.'
    flags: ClassVar = (ENVIRONMENT, LABEL, *PLATFORM)
    arguments: ClassVar = [argument('workspace', 'Name of the workspace')]
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Report the new key."""
        async with RemoteBackend(settings.platform()) as backend:
            return await self._issue(backend, settings)

    async def _issue(
        self, backend: Backend, settings: Settings
    ) -> Output | Failure:
        environment = settings.text(ENVIRONMENT)
        workspace = self.argument('workspace')
        revisions = Revisions(backend, system_clock())
        document = await revisions.document(environment)
        if isinstance(document, Err):
            return failure_of(document.err_value)
        known = _workspaces(document.ok_value)
        if workspace not in known:
            return Failure(UnknownWorkspace(workspace, known))
        keys = Keys(backend.table, environment, system_clock())
        issued = await keys.issue(workspace, settings.text(LABEL))
        if isinstance(issued, Err):
            return failure_of(issued.err_value)
        members = {
            'key': issued.ok_value.key,
            'key_id': issued.ok_value.change.key_id,
            'workspace': workspace,
            'sequence': issued.ok_value.change.sequence,
        }
        return Output(
            f'{issued.ok_value.key}\nThis key is shown once; its identifier is'
            f' {issued.ok_value.change.key_id}.',
            members,
        )


class KeyWithdrawCommand(BaseCommand):
    """Withdraw a key for good."""

    name = 'key withdraw'
    description = 'Withdraw a key; it stops working within seconds.'
    flags: ClassVar = (ENVIRONMENT, SOME_DAEMONS, *PLATFORM)
    arguments: ClassVar = [argument('key-id', 'Identifier of the key')]
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Announce and write the withdrawal, and report both."""
        async with RemoteBackend(settings.platform()) as backend:
            keys = Keys(
                backend.table, settings.text(ENVIRONMENT), system_clock()
            )
            found = await keys.find(self.argument('key-id'))
            if isinstance(found, Err):
                return failure_of(found.err_value)
            addresses = settings.addresses()
            announced = await announce(addresses, found.ok_value.key_hash)
            withdrawn = await keys.mark_withdrawn(found.ok_value)
        if isinstance(withdrawn, Err):
            return failure_of(withdrawn.err_value)
        return _withdrawal(withdrawn.ok_value, announced)


class KeyListCommand(BaseCommand):
    """List the keys, without their text."""

    name = 'key list'
    description = 'List the keys of an environment.'
    flags: ClassVar = (ENVIRONMENT, *PLATFORM)
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Report the last change of each key."""
        async with RemoteBackend(settings.platform()) as backend:
            keys = Keys(
                backend.table, settings.text(ENVIRONMENT), system_clock()
            )
            listed = await keys.listed()
        if isinstance(listed, Err):
            return failure_of(listed.err_value)
        lines = map(_line, listed.ok_value)
        return Output(
            '\n'.join(lines) or 'No key was issued yet.',
            [_members(change) for change in listed.ok_value],
        )


def _workspaces(document: Document | None) -> tuple[str, ...]:
    return tuple(sorted(document.workspaces)) if document else ()


def _withdrawal(change: KeyChangeBody, announced: Announcement) -> Output:
    text = f'Key {change.key_id} of {change.workspace} is withdrawn.'
    members = _members(change)
    if announced.asked == 0:
        return Output(f'{text} {NOT_ANNOUNCED}', members)
    code = ExitCode.DONE if announced.is_enough else ExitCode.INCOMPLETE
    members['announced'] = asdict(announced)
    return Output(f'{text} {announced}', members, code)


def _members(change: KeyChangeBody) -> dict[str, object]:
    members = asdict(change)
    members.pop('key_hash')
    return {'key_id': change.key_id, **members}


def _line(change: KeyChangeBody) -> str:
    state = 'withdrawn' if change.withdrawn else 'valid'
    return (
        f'{change.key_id}  {state:<9}  {change.changed_at}'
        f'  {change.workspace}  {change.label}'.rstrip()
    )
