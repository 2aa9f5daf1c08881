"""Open the platform's services that the settings name."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from types import TracebackType

from dragonflyknot.stores.dynamodb import DynamoTable
from dragonflyknot.stores.embedded import EmbeddedObjects, EmbeddedTable
from dragonflyknot.stores.interfaces import Objects, Table
from dragonflyknot.stores.s3 import S3Objects
from dragonflyknot.stores.settings import PlatformSettings
from dragonflyknot.stores.settling import SettledTable


@dataclass(frozen=True, slots=True)
class Backend:
    """Hold the table and the objects of one platform."""

    table: Table
    objects: Objects


class RemoteBackend:
    """Own the clients of the table service and the object store."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Prepare clients; they open on entry."""
        self._table = DynamoTable(settings)
        self._objects = S3Objects(settings)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Backend:
        """Open both clients."""
        await self._stack.enter_async_context(self._table)
        await self._stack.enter_async_context(self._objects)
        return Backend(SettledTable(self._table), self._objects)

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close both clients."""
        await self._stack.aclose()


def embedded_backend() -> Backend:
    """Return a platform that lives and ends with this process."""
    return Backend(SettledTable(EmbeddedTable()), EmbeddedObjects())
