"""A new process doesn't know a leaving that the former one acknowledged."""

import asyncio
import base64
import os
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import http1  # noqa: E402
from site2 import Site, request  # noqa: E402
from store import Store  # noqa: E402
from target import Target  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0
KNOWN_S = 8.0
SILENT_S = 4.5
DOWN_S = 0.3
LATE_S = 5.0
SERVES_ON_S = 14.0
CLIENT_PAUSE_S = 0.05


class SilentStore(Store):
    """Fall silent after the next row that says that an upstream has left.

    The answer to that write is sent. Calls that wait then, and those that
    arrive in the silence, get no answer.
    """

    def __init__(self) -> None:
        """Start with a store that answers."""
        super().__init__()
        self.falls_silent = False
        self.silent_until = 0.0
        self.before = self._hold

    async def _hold(self, _request: http1.Message | None = None) -> None:
        left_s = self.silent_until - http1.now()
        if left_s > 0:
            await asyncio.sleep(left_s)
            raise ConnectionResetError

    async def _feed(self, asked: dict[str, str]) -> dict[str, Any]:
        answer = await super()._feed(asked)
        await self._hold()
        return answer

    async def _transact(
        self, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        answer = await super()._transact(call)
        written = [base64.b64decode(row['value']) for row in call['set_keys']]
        if self.falls_silent and any(b'"gone"' in row for row in written):
            self.silent_until = http1.now() + SILENT_S
        return answer


async def play(site: Site, store: SilentStore, *, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    record = site.record
    await site.configure(1)
    daemons = [site.daemon(f'host-{n}', 'booking') for n in range(4)]
    targets = [
        Target(f'i-{n}', 'booking', one.target, one.admin, record)
        for n, one in enumerate(daemons)
    ]
    for one in daemons:
        await one.start()
    for one in daemons:
        await one.until_ready()
    for one in targets:
        await one.start()
        one.beat_on()
    await asyncio.sleep(KNOWN_S)
    clients = [
        asyncio.create_task(ask_on(site, one.outbound, f'{number:x}'))
        for number, one in enumerate(daemons)
    ]
    await asyncio.sleep(STABLE_S)

    leaving, beside = targets[1], daemons[1]
    store.falls_silent = trouble
    leaving.stop_beats()
    late = asyncio.create_task(send_late(leaving, leaving.heartbeat()))
    leaving.is_leaving = True
    while not await leaving.deregister():
        await asyncio.sleep(0.5)
    left_at = record.now
    ready_at = left_at
    if trouble:
        await beside.kill()
        record('killed', daemon=beside.name)
        await asyncio.sleep(DOWN_S)
        await beside.start()
        await beside.until_ready()
        ready_at = record.now
        record('ready', daemon=beside.name)
    await late
    await asyncio.sleep(SERVES_ON_S - (record.now - left_at))
    for client in clients:
        client.cancel()
    for one in targets:
        one.stop()
    # All machines are in touch again, and the store is stable.
    counts_from = max(left_at + SILENT_S, ready_at) + STABLE_S
    sent_at = {line['attempt']: line['at'] for line in record.of('sent')}
    reached = [
        line
        for line in record.of('run')
        if line['instance'] == leaving.instance
        and sent_at[line['attempt']] > counts_from
    ]
    record('result', acknowledged_at=round(left_at, 3), reached=len(reached))
    return not reached


async def send_late(target: Target, content: bytes) -> None:
    """Deliver a heartbeat seconds after it was sent."""
    await asyncio.sleep(LATE_S)
    await target.send(content, 'late heartbeat')


async def ask_on(site: Site, address: str, name: str) -> None:
    """Send requests of a client, one after the other."""
    number = 0
    while True:
        number += 1
        attempt = f'{name}{number:015x}'
        site.record('sent', attempt=attempt)
        answer = await http1.exchange(
            address, request(attempt, '/booking/unsafe/x', 'POST', b'body'), 4
        )
        status = None if answer is None else answer.status
        site.record('answered', attempt=attempt, status=status)
        await asyncio.sleep(CLIENT_PAUSE_S)


async def main() -> int:
    """Return the exit status of the case."""
    store = SilentStore()
    try:
        async with Site(HERE, store) as site:
            trouble = os.environ.get('TROUBLE') != '0'
            holds = await play(site, store, trouble=trouble)
    except Exception as error:
        sys.stderr.write(f'The case could not run: {error!r}\n')
        return 2
    return 0 if holds else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
