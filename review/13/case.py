"""Seven machines of twelve are lost at once, for good."""

import asyncio
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

import site_stand_in as site

MACHINES = tuple(f'sidecar-a-{number}' for number in range(1, 13))
# The first seven in the order of `decisions/hostorder`.
FIRST = (10, 11, 8, 12, 7, 1, 2)
CALM_S = 8.0
CONFIG_APPLY_S = 2.0
MARGIN_S = 0.1
WATCH_S = 20.0
PAUSE_S = 3.0
# Each is withdrawn by a version of its own, until the rule is broken.
WITHDRAWN = ('key-1', 'key-2', 'key-3', 'key-4')


class Machine:
    """A daemon and its target."""

    def __init__(
        self, name: str, service: str, store: site.Store, record: site.Record
    ) -> None:
        """Choose addresses."""
        self.daemon = site.Daemon(name, service, store)
        self.record = record
        self.target = site.Target(self.daemon, record, self._serve)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self, folder: Path, *, is_first: bool) -> None:
        """Start the target and the daemon."""
        self._server = await self.target.start()
        await self.daemon.start(folder, is_first=is_first)

    async def register(self) -> None:
        """Let the target register and send heartbeats."""
        await self.daemon.until_ready()
        while not await self.target.beat():
            await asyncio.sleep(0.2)
        self._beats = asyncio.create_task(self.target.beat_on())

    async def end(self) -> None:
        """End the machine as a loss of power does."""
        if self._beats is not None:
            self._beats.cancel()
            await asyncio.gather(self._beats, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        await self.daemon.end()

    async def _serve(
        self,
        head: site.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        body = await site.read_body(reader, head)
        attempt = head.headers.get('attempt-id', '')
        self.record.write(
            f'target of {self.daemon.name}: runs {attempt}, {len(body)} bytes'
        )
        writer.write(site.answer_of(head, b'done'))
        return True


async def play(folder: Path, record: site.Record, has_trouble: bool) -> bool:
    """Return whether the withdrawn keys were refused in time."""
    store = site.Store()
    _write(store, 1, [site.KEY, *WITHDRAWN])
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(await store.start())
        machines = {
            name: Machine(name, 'booking', store, record) for name in MACHINES
        }
        for machine in machines.values():
            stack.push_async_callback(machine.end)
            await machine.start(folder, is_first=True)
        for machine in machines.values():
            await machine.register()
        await asyncio.sleep(CALM_S)
        _tell_followers(store, record)
        lost = [f'sidecar-a-{number}' for number in FIRST]
        if has_trouble:
            record.write(f'lose power for good: {lost}')
            await asyncio.gather(*(machines[one].end() for one in lost))
        machines = {
            name: one for name, one in machines.items() if name not in lost
        }
        await asyncio.sleep(CALM_S)
        for number, key in enumerate(WITHDRAWN, start=1):
            _tell_followers(store, record)
            _write(store, 1 + number, [site.KEY, *WITHDRAWN[number:]])
            due_at = time.monotonic() + CONFIG_APPLY_S
            record.write(f'operator: {key} is withdrawn, acknowledged')
            await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
            stale = await _ask_until_refused(
                list(machines.values()), record, key, due_at
            )
            record.write(
                f'{stale} requests with {key}, sent over {CONFIG_APPLY_S} s '
                'after the acknowledgement, were served'
            )
            if stale:
                return False
            await asyncio.sleep(PAUSE_S)
        return True


def _tell_followers(store: site.Store, record: site.Record) -> None:
    count = store.feeds_of('op')
    record.write(f'store: {count} calls wait for changes of op/config')


def _write(store: site.Store, version: int, keys: list[str]) -> None:
    routes = [
        [
            f'book-{name}',
            site.HOST,
            f'/{name}/',
            'unsafe',
            '1200ms',
            '2000ms',
            0,
            name,
            2,
            False,
        ]
        for name in ('booking',)
    ]
    store.write('op', 'config', site.configuration(version, routes, keys))


async def _ask_until_refused(
    machines: list[Machine], record: site.Record, key: str, due_at: float
) -> int:
    stale = 0
    number = 0
    while time.monotonic() < due_at + WATCH_S:
        statuses = []
        for machine in machines:
            number += 1
            late_s = time.monotonic() - due_at
            status = await _ask(machine.daemon, key, f'{key}-{number}')
            record.write(
                f'client: {key}-{number} at {machine.daemon.name}, sent '
                f'{late_s:.3f} s after the bound, is answered {status}'
            )
            statuses.append(status)
        stale += statuses.count(200)
        if set(statuses) == {401}:
            break
        await asyncio.sleep(1)
    return stale


async def _ask(daemon: site.Daemon, key: str, attempt: str) -> int:
    reader, writer = await asyncio.open_connection('127.0.0.1', daemon.outbound)
    try:
        head = site.request_head(
            'POST', '/booking/x', attempt, 'Content-Length: 4\r\n', 5000
        )
        used = f'Key: {key}'.encode()
        writer.write(head.replace(f'Key: {site.KEY}'.encode(), used) + b'slot')
        answer = await site.read_head(reader)
        return 0 if answer is None else int(answer.first.split(' ')[1])
    finally:
        writer.transport.abort()


if __name__ == '__main__':
    site.main(__file__, play)
