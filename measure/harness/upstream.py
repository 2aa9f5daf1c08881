"""A stand-in for an upstream: limited slots, known service times, a ledger.

It announces itself to the daemon of its host, counts every run by the tag
that the caller sent, and answers with the tag, so that a caller can tell its
own whole answer from any other.
"""

import asyncio
import hashlib
import json
from collections import Counter
from dataclasses import dataclass, field
from types import TracebackType

import aiohttp
from aiohttp import web

from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.calls import Outcome, UpstreamState

ANNOUNCE_EVERY_S = 0.5
TAG = 'X-Tag'
DEEPER = 'X-Deeper'
REEL_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Describe an upstream; times are in seconds."""

    service: str
    address: str
    daemon: str
    slots: int = 90
    service_time_s: float = 0.005
    reel_bytes: int = 3_000_000


@dataclass(slots=True)
class RunLedger:
    """Count what ran, by tag, and what the daemon leaked."""

    runs_by_tag: Counter[str] = field(default_factory=Counter)
    workspaces_by_tag: dict[str, str] = field(default_factory=dict)
    leaked_keys: int = 0
    cancelled: int = 0
    shed: int = 0
    most_at_once: int = 0


class Upstream:
    """Serve requests of one daemon until the context ends."""

    def __init__(self, spec: UpstreamSpec) -> None:
        """Keep the description; nothing is opened yet."""
        self.spec = spec
        self.ledger = RunLedger()
        self.state = UpstreamState.READY
        self.slow_factor = 1.0
        self.announced_slots = spec.slots
        self._running = 0
        self._runner: web.ServerRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._announcing: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'Upstream':
        """Listen and begin to announce."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        server = web.Server(
            self._serve, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        number, _, port = self.spec.address.rpartition(':')
        await web.TCPSite(self._runner, number, int(port)).start()
        self._announcing = asyncio.create_task(self._announce_always())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop announcing and close the listener."""
        if self._announcing is not None:
            self._announcing.cancel()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def announce(self) -> None:
        """Tell the daemon the state and the slots once."""
        if self._session is None:
            return
        url = f'http://{self.spec.daemon}/.dragonflyknot/announcement'
        announcement = {
            'service': self.spec.service,
            'slots': self.announced_slots,
            'state': self.state.value,
            'address': self.spec.address,
        }
        try:
            async with self._session.put(url, json=announcement) as answer:
                await answer.read()
        except (aiohttp.ClientError, OSError):
            return

    async def _announce_always(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_EVERY_S)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._running >= self.spec.slots:
            return self._shed()
        self._running += 1
        self.ledger.most_at_once = max(self.ledger.most_at_once, self._running)
        self._record(request)
        try:
            return await self._work(request)
        except asyncio.CancelledError:
            self.ledger.cancelled += 1
            raise
        finally:
            self._running -= 1

    def _shed(self) -> web.Response:
        self.ledger.shed += 1
        head = {names.OUTCOME: Outcome.NOT_RUN.value, names.RETRY_AFTER: '1'}
        return web.Response(status=503, headers=head)

    def _record(self, request: web.BaseRequest) -> None:
        tag = request.headers.get(TAG, '')
        self.ledger.runs_by_tag[tag] += 1
        if 'Authorization' in request.headers:
            self.ledger.leaked_keys += 1

    async def _work(self, request: web.BaseRequest) -> web.StreamResponse:
        received = hashlib.sha256()
        length = 0
        async for chunk in request.content.iter_any():
            received.update(chunk)
            length += len(chunk)
        await asyncio.sleep(self.spec.service_time_s * self.slow_factor)
        deeper = await self._call_deeper(request)
        if request.path.startswith('/reels'):
            return await self._reel(request)
        return web.json_response(
            {
                'tag': request.headers.get(TAG, ''),
                'service': self.spec.service,
                'received': length,
                'sha256': received.hexdigest(),
                'deeper': deeper,
            },
            status=_status(deeper),
        )

    async def _call_deeper(self, request: web.BaseRequest) -> object:
        path, _, rest = request.headers.get(DEEPER, '').partition(',')
        if not path or self._session is None:
            return None
        head = {
            names.CHAIN: request.headers[names.CHAIN],
            TAG: f'{request.headers.get(TAG, "")}+',
            DEEPER: rest,
        }
        url = f'http://{self.spec.daemon}{path}'
        async with self._session.get(url, headers=head) as answer:
            return {
                'status': answer.status,
                'body': json.loads(await answer.read()),
            }

    async def _reel(self, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={TAG: request.headers.get(TAG, '')}
        )
        response.content_length = self.spec.reel_bytes
        await response.prepare(request)
        left = self.spec.reel_bytes
        while left:
            chunk = min(left, REEL_CHUNK_BYTES)
            await response.write(bytes(chunk))
            left -= chunk
        await response.write_eof()
        return response


def _status(deeper: object) -> int:
    if isinstance(deeper, dict) and deeper['status'] >= 400:
        return 502
    return 200
