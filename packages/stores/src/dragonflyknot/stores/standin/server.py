"""The stand-in's listener: both protocols and the control on one port."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self

from aiohttp import web

from dragonflyknot.stores.embedded import EmbeddedObjects, EmbeddedTable
from dragonflyknot.stores.standin.control import CONTROL_PATH, Control
from dragonflyknot.stores.standin.objectcalls import ObjectCalls
from dragonflyknot.stores.standin.tablecalls import (
    LostAnswerError,
    TableCalls,
)
from dragonflyknot.stores.switches import Switches

LOOPBACK: Final = '127.0.0.1'
MAX_BODY_BYTES: Final = 67_108_864
SHUTDOWN_S: Final = 0.5

Handler = Callable[[web.Request], Awaitable[web.Response]]


class Standin:
    """Own the listener and its state; a context manager.

    `table_switches` and `objects_switches` cause the faults.
    """

    def __init__(self, port: int = 0, address: str = LOOPBACK) -> None:
        """Prepare to listen; port 0 takes a free one."""
        self.table_switches = Switches()
        self.objects_switches = Switches()
        self.table = EmbeddedTable(self.table_switches)
        self.objects = EmbeddedObjects(self.objects_switches)
        self._address = address
        self._port = port
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start to listen."""
        runner = web.AppRunner(
            self._application(), access_log=None, shutdown_timeout=SHUTDOWN_S
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self._address, self._port).start()
        self._port = runner.addresses[0][1]
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop to listen and forget everything."""
        await self._stack.aclose()

    @property
    def endpoint(self) -> str:
        """Return the URL for both clients."""
        return f'http://{self._address}:{self._port}'

    def _application(self) -> web.Application:
        control = Control(
            {'table': self.table_switches, 'objects': self.objects_switches},
            {'table': self.table.usage, 'objects': self.objects.usage},
        )
        table_calls = _cutting(
            TableCalls(self.table).handle, self.table_switches
        )
        object_calls = _cutting(
            ObjectCalls(self.objects).handle, self.objects_switches
        )
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get(CONTROL_PATH, control.read)
        application.router.add_put(CONTROL_PATH, control.change)
        application.router.add_post('/', table_calls)
        application.router.add_route('*', '/{path:.+}', object_calls)
        return application


def _cutting(handle: Handler, switches: Switches) -> Handler:
    """Wrap a handler so that its faults cut the connection."""

    async def answer(request: web.Request) -> web.Response:
        if switches.down:
            return _cut(request)
        try:
            return await handle(request)
        except LostAnswerError:
            return _cut(request)

    return answer


def _cut(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
