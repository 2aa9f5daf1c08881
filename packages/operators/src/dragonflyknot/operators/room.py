"""Serve the control-room page.

One loop gathers the dumps each second and numbers the snapshots; every
viewer is given the same drawing of the latest one.
"""

import asyncio
import json
import time
from collections.abc import Mapping
from contextlib import AsyncExitStack, suppress
from dataclasses import asdict
from string import Template
from types import TracebackType
from typing import Final, Self

import structlog
from aiohttp import web

from dragonflyknot.operators.gather import Gatherer
from dragonflyknot.operators.roompage import figures, frame
from dragonflyknot.operators.snapshot import Gathered, Snapshot, merge

GATHER_INTERVAL_S: Final = 1.0
AGE_HEADER: Final = 'Snapshot-Age'
HTML: Final = 'text/html'
POLICY: Final = (
    "default-src 'none'; style-src 'unsafe-inline';"
    " script-src 'unsafe-inline'; connect-src 'self'"
)

_log = structlog.get_logger(__name__)


class Room:
    """Own the gathering loop and the page's listener."""

    def __init__(
        self, addresses: tuple[str, ...], listen: tuple[str, int]
    ) -> None:
        """Gather from `addresses` and listen at an IP number and port."""
        self._gatherer = Gatherer(addresses)
        self._listen = listen
        self._stack = AsyncExitStack()
        self._before: Gathered | None = None
        self._snapshot: Snapshot | None = None
        self._figures = ''

    async def __aenter__(self) -> Self:
        """Take the first snapshot and start to listen."""
        await self._stack.enter_async_context(self._gatherer)
        await self.refresh()
        runner = web.AppRunner(self._application(), access_log=None)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *self._listen).start()
        self.address = runner.addresses[0][:2]
        task = asyncio.create_task(self._refresh_always())
        self._stack.push_async_callback(_cancelled, task)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop to listen and to gather."""
        await self._stack.aclose()

    async def refresh(self) -> Snapshot:
        """Gather the dumps and draw the next snapshot."""
        gathered = await self._gatherer.gather()
        number = self._snapshot.number + 1 if self._snapshot else 1
        self._snapshot = merge(number, gathered, self._before)
        self._before = gathered
        self._figures = figures(self._snapshot)
        return self._snapshot

    async def _refresh_always(self) -> None:
        while True:
            await asyncio.sleep(GATHER_INTERVAL_S)
            try:
                await self.refresh()
            except (OSError, ValueError) as error:
                _log.warning('gathering failed', error=type(error).__name__)

    def _application(self) -> web.Application:
        application = web.Application()
        application.router.add_get('/', self._page)
        application.router.add_get('/figures', self._part)
        application.router.add_get('/snapshot', self._json)
        return application

    async def _page(self, request: web.Request) -> web.Response:
        text = Template(frame()).safe_substitute(figures=self._figures)
        return self._answer(text, HTML)

    async def _part(self, request: web.Request) -> web.Response:
        return self._answer(self._figures, HTML)

    async def _json(self, request: web.Request) -> web.Response:
        members = snapshot_members(self._snapshot) if self._snapshot else {}
        return self._answer(json.dumps(members), 'application/json')

    def _answer(self, text: str, content_type: str) -> web.Response:
        taken_at = self._snapshot.taken_at if self._snapshot else time.time()
        age_s = max(time.time() - taken_at, 0)
        headers = {
            AGE_HEADER: f'{age_s:.1f}',
            'Cache-Control': 'no-store',
            'Content-Security-Policy': POLICY,
        }
        return web.Response(
            text=text, content_type=content_type, headers=headers
        )


def snapshot_members(snapshot: Snapshot) -> Mapping[str, object]:
    """Return the JSON members of a snapshot."""
    members = asdict(snapshot)
    members['link_bytes_by_pair'] = {
        '-'.join(ends): volume
        for ends, volume in snapshot.link_bytes_by_pair.items()
    }
    return members


async def _cancelled(task: asyncio.Task[None]) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
