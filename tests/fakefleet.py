"""Serve made-up state dumps in place of daemons."""

import time
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

from aiohttp import web

from dragonflyknot.operators.dump import Dump
from dragonflyknot.operators.withdrawals import (
    WITHDRAWALS_PATH,
    NoticeAnswer,
    WithdrawalNotice,
)

REGIONS = ('north', 'south')
SERVICES = ('booking', 'intake', 'profile', 'reel')
WORKSPACES = (
    'harbour-audio',
    'lantern-press',
    'narrators',
    'bamboo-books',
    'kite-stories',
    'night-train',
    'paper-boat',
    'tea-house',
)


class FakeFleet:
    """Own the listeners of made-up daemons; a context manager.

    The dumps of `dump_by_host` may be replaced while it runs.
    """

    def __init__(self, dumps: list[Dump]) -> None:
        self.dump_by_host = {dump.host: dump for dump in dumps}
        self.addresses: list[str] = []
        self.notices: list[str] = []
        self.notice_answer = NoticeAnswer(told=2, needed=2)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        for host in self.dump_by_host:
            self.addresses.append(await self._listen(host))
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    async def _notice(self, request: web.Request) -> web.Response:
        notice = WithdrawalNotice.model_validate_json(await request.read())
        self.notices.append(notice.key_hash)
        return web.Response(text=self.notice_answer.model_dump_json())

    async def _listen(self, host: str) -> str:
        async def answer(request: web.Request) -> web.Response:
            text = self.dump_by_host[host].model_dump_json()
            return web.Response(text=text, content_type='application/json')

        application = web.Application()
        application.router.add_get('/dump', answer)
        application.router.add_post(WITHDRAWALS_PATH, self._notice)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        number, port = runner.addresses[0][:2]
        return f'{number}:{port}'


def plain_dump(host: str, revision: int = 3, **members: object) -> Dump:
    """Return the dump of a ready daemon."""
    return Dump.model_validate(
        {
            'host': host,
            'incarnation': 1,
            'data_center': 'north-1',
            'region': 'north',
            'environment': 'production',
            'revision': {'number': revision, 'digest': 'd' * 64},
            'ready': True,
            'state': 'ready',
            'keys': {'age_s': 0.4, 'bound_s': 2, 'sequence': 9, 'count': 8},
            'taken_at': time.time(),
            **members,
        }
    )


def busy_dump(index: int, seconds: float, *, lags: bool = False) -> Dump:
    """Return one of sixteen daemons in a surge, after some seconds."""
    region = REGIONS[index // 8]
    service = SERVICES[index % 4]
    return plain_dump(
        f'{region}-{index + 1:02}',
        41 if lags else 42,
        region=region,
        data_center=f'{region}-{index // 4 % 2 + 1}',
        workspaces=_workspaces(seconds),
        services={service: _service(service, index)},
        link_bytes={REGIONS[1 - index // 8]: int(130_000 * seconds)},
        store={'reads': int(4 * seconds), 'writes': int(2 * seconds)},
    )


def _workspaces(seconds: float) -> dict[str, object]:
    rates = (56, 44, 31, 7.5, 7, 5, 4.6, 3)
    refused: dict[str, dict[str, float]] = {
        'harbour-audio': {'rate': 171, 'shed': 12.2, 'key-withdrawn': 0.4},
        'narrators': {'shed': 1.1},
        'tea-house': {'no-time': 0.2},
    }
    return {
        name: {
            'admitted': int(rate * seconds),
            'refused': {
                kind: int(lost * seconds)
                for kind, lost in refused.get(name, {}).items()
            },
        }
        for name, rate in zip(WORKSPACES, rates, strict=True)
    }


def _service(service: str, index: int) -> dict[str, object]:
    limit = 25 if service == 'reel' else 90
    is_full = service == 'booking'
    return {
        'state': 'draining' if index == 6 else 'ready',
        'slots': limit,
        'limit': limit,
        'running': limit if is_full else limit // 2 + index,
        'queued': 17 if is_full else 0,
        'threshold': 6 if is_full else 0,
    }
