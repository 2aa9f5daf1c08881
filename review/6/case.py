"""A heartbeat that is late revives a target that has left."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import http1  # noqa: E402
from site2 import Site, request  # noqa: E402
from target import Target  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.5
LATE_S = 4.0
LEAVES_AFTER_S = 1.0
SERVES_ON_S = 9.0
CLIENT_PAUSE_S = 0.1


async def play(site: Site, *, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    record = site.record
    await site.configure(1)
    daemons = [site.daemon(f'host-{n}', 'booking') for n in range(2)]
    targets = [
        Target(f'i-{n}', 'booking', one.target, one.admin, record)
        for n, one in enumerate(daemons)
    ]
    for one in daemons:
        await one.start()
    for one in daemons:
        await one.until_ready()
    await targets[0].start()
    targets[0].beat_on()
    client = asyncio.create_task(ask_on(site, daemons[1].outbound))
    await asyncio.sleep(STABLE_S)

    leaving = targets[1]
    await leaving.start()
    record('started', instance=leaving.instance)
    first = leaving.heartbeat()
    if trouble:
        late = asyncio.create_task(send_late(leaving, first))
    else:
        await leaving.send(first, 'heartbeat')
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving.is_leaving = True
    while not await leaving.deregister():
        await asyncio.sleep(0.5)
    left_at = record.now
    await asyncio.sleep(SERVES_ON_S)
    client.cancel()
    if trouble:
        await late
    for one in targets:
        one.stop()
    reached = [
        line
        for line in record.of('run')
        if line['instance'] == leaving.instance
        and line['at'] > left_at + DRAIN_S
    ]
    record('result', acknowledged_at=round(left_at, 3), reached=len(reached))
    return not reached


async def send_late(target: Target, content: bytes) -> None:
    """Deliver a heartbeat seconds after it was sent."""
    await asyncio.sleep(LATE_S)
    await target.send(content, 'late heartbeat')


async def ask_on(site: Site, address: str) -> None:
    """Send requests of a client, one after the other."""
    number = 0
    while True:
        number += 1
        attempt = f'{number:016x}'
        site.record('sent', attempt=attempt)
        answer = await http1.exchange(
            address, request(attempt, '/booking/unsafe/x', 'POST', b'body'), 4
        )
        status = None if answer is None else answer.status
        site.record('answered', attempt=attempt, status=status)
        await asyncio.sleep(CLIENT_PAUSE_S)


async def main() -> int:
    """Return the exit status of the case."""
    try:
        async with Site(HERE) as site:
            holds = await play(site, trouble=os.environ.get('TROUBLE') != '0')
    except Exception as error:
        sys.stderr.write(f'The case could not run: {error!r}\n')
        return 2
    return 0 if holds else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
