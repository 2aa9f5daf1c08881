"""An upstream of a soak: it answers by the request's id and remembers runs."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from fakeupstream import FakeUpstream, Seen, whole
from harness.sitedaemon import SiteDaemon
from soak.callers import body_of
from soak.record import Leaving, Record, Run

BEAT_S = 0.5
SLOW_FACTOR = 20.0
WORK_S = (0.005, 0.03)
ACK_S = 5.0
STAY_S = 3.5
HEALTH = 'GET /healthz '
LEAVING = 'leaving'


class SoakUpstream:
    """Serve at one host; the daemon's process may come and go."""

    def __init__(
        self, daemon: SiteDaemon, record: Record, rng: random.Random
    ) -> None:
        """Start as the first instance."""
        self._daemon = daemon
        self._record = record
        self._rng = rng
        self._ids = 1
        self._born = _unix_ms()
        self._sequence = 0
        self._state = 'ready'
        self.slow_factor = float(1)
        self.fake = FakeUpstream(script=self._serve)

    @property
    def instance(self) -> str:
        """Return the id, which some starts keep."""
        return f'{self._daemon.name}-{self._ids}'

    @property
    def start(self) -> str:
        """Return a name of this start, which no other one has."""
        return f'{self.instance}@{self._born}'

    async def beat_on(self) -> None:
        """Announce the upstream until cancelled."""
        while True:
            if self._state != LEAVING:
                await self._beat()
            await asyncio.sleep(BEAT_S)

    async def leave(self) -> None:
        """Drain, wait and start as another instance."""
        if self._state != 'ready':
            return
        self._state = 'draining'
        await self._until_acknowledged(self._beat)
        await self.stay_and_start(keeps_id=False)

    async def deregister(
        self, late_s: float, *, is_heard: bool
    ) -> Awaitable[None] | None:
        """Leave without a drain; the last heartbeat arrives late.

        Return what sends that heartbeat, None if the upstream leaves already.
        A start that leaves before it is heard takes the place of one that
        crashed.
        """
        if self._state != 'ready':
            return None
        if not is_heard:
            self._begin_start(keeps_id=False)
        self._sequence += 1
        late = (self.instance, self._sequence, 'ready', self._born)
        self._state = LEAVING
        await self._until_acknowledged(self._deregister)
        return self._beat_late(late_s, late)

    async def stay_and_start(self, *, keeps_id: bool) -> None:
        """Serve on for a while, and start again as another instance or not."""
        await asyncio.sleep(STAY_S)
        self._begin_start(keeps_id=keeps_id)

    def _begin_start(self, *, keeps_id: bool) -> None:
        self._ids += not keeps_id
        self._born = _unix_ms()
        self._sequence = 0
        self._state = 'ready'

    async def _until_acknowledged(
        self, call: Callable[[], Awaitable[bool]]
    ) -> None:
        try:
            async with asyncio.timeout(ACK_S):
                while not await call():  # noqa: ASYNC110
                    await asyncio.sleep(BEAT_S)
            leaving = Leaving(self.start, time.monotonic())
            self._record.leavings.append(leaving)
        except TimeoutError:
            # Nobody acknowledged, as the daemon is down; it leaves anyway.
            await asyncio.sleep(0)

    async def _beat(self) -> bool:
        self._sequence += 1
        return await self._in_time(
            self._daemon.beat(
                self.instance, self._sequence, self._state, self._born
            )
        )

    async def _beat_late(
        self, late_s: float, late: tuple[str, int, str, int]
    ) -> None:
        await asyncio.sleep(late_s)
        await self._in_time(self._daemon.beat(*late))

    async def _deregister(self) -> bool:
        return await self._in_time(self._daemon.deregister(self.instance))

    async def _in_time(self, call: Awaitable[bool]) -> bool:
        try:
            async with asyncio.timeout(1):
                return await call
        except TimeoutError:
            return False

    async def _serve(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        if seen.line.startswith(HEALTH):
            named = f'Instance-Id: {self.instance}\r\n'
            status = '503 Leaving' if self._state == LEAVING else '200 OK'
            writer.write(whole(seen, status=status, extra=named))
            return
        if seen.headers.get('expected-instance') != self.instance:
            writer.write(
                b'HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return
        request_id = seen.headers.get('attempt-id', '')
        self._record.runs.append(
            Run(
                request_id,
                self._daemon.name,
                self.start,
                time.monotonic(),
                seen.headers,
            )
        )
        await asyncio.sleep(self._rng.uniform(*WORK_S) * self.slow_factor)
        writer.write(whole(seen, body_of(request_id)))


def _unix_ms() -> int:
    return int(time.time() * 1000)
