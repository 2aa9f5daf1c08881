"""Own the client of one service of the platform, and bound its calls."""

from collections.abc import Awaitable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Self, TypeVar

from result import Result

from dragonflyknot.stores.interfaces import Usage
from dragonflyknot.stores.settings import PlatformSettings
from dragonflyknot.stores.wire import (
    WireError,
    bounded,
    client_context,
    was_answered,
)

_Answer = TypeVar('_Answer')


class ServiceClient:
    """Open the client on entry and close it at the end."""

    def __init__(
        self,
        protocol: str,
        name: str,
        endpoint: str,
        settings: PlatformSettings,
    ) -> None:
        """Keep the settings; `name` is how errors call the service."""
        self.usage = Usage()
        self._protocol = protocol
        self._name = name
        self._endpoint = endpoint
        self._settings = settings
        self._stack = AsyncExitStack()
        self._client: Any = None

    async def __aenter__(self) -> Self:
        """Open the client."""
        context = client_context(self._protocol, self._endpoint, self._settings)
        self._client = await self._stack.enter_async_context(context)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the client's connections."""
        await self._stack.aclose()

    async def _answer_to(
        self, call: Awaitable[_Answer]
    ) -> Result[_Answer, WireError]:
        answer = await bounded(self._name, call, self._settings.deadline_s)
        self.usage.is_up = was_answered(answer)
        return answer
