"""Kill a daemon while its attempts wait at the gate of another machine.

The gate counts slots as in use that no request holds, and in the end refuses
everything, while its target has nothing to do.
"""

import asyncio
import random
import re
import sys
from pathlib import Path

from common.site import Daemon, Site, route, run, with_trouble

# The reels service of the site: 28 slots, 480 ms of work.
SLOTS = 28
QUEUE = 84
WORK_S = 0.48
USUAL_PER_S = 45.0
BURST = 1.8
BURST_S = 20.0
KILLS_AT_S = (5.0, 10.0, 15.0, 19.0)
RECOVER_S = 15.0
MEASURED_S = 10.0
MEASURED_PER_S = 4.0
MIN_REQUESTS = 20
MIN_RATIO = 0.25


def work_s() -> float:
    return max(0.05, random.gauss(WORK_S, 0.3 * WORK_S))


class Clients:
    """Send requests on a route to one daemon, at a rate."""

    def __init__(self, site: Site, daemon: Daemon, path: str) -> None:
        self.site = site
        self.daemon = daemon
        self.path = path
        self.per_s = USUAL_PER_S

    async def press(self) -> None:
        while True:
            self.site.keep(self._send())
            await asyncio.sleep(1 / self.per_s)

    async def _send(self) -> None:
        await self.site.send(self.daemon, self.path)


async def show(site: Site, gate: Daemon) -> None:
    figures = await site.figures(gate)
    found = dict(re.findall(r'dragonflyknot_gate_(\w+) (\d+)', figures))
    working = site.targets[gate.name].working
    site.record.say('gate', found, 'its target works on', working)


async def ask(site: Site, daemon: Daemon, path: str) -> float:
    """Return the served share of the requests on a route."""
    count = int(MEASURED_S * MEASURED_PER_S)
    assert count >= MIN_REQUESTS
    sent = []
    for _ in range(count):
        sent.append(asyncio.ensure_future(site.send(daemon, path)))
        await asyncio.sleep(1 / MEASURED_PER_S)
    statuses = await asyncio.gather(*sent)
    served = statuses.count(200)
    site.record.say(
        f'{path} at {daemon.name}: {count} sent, {served} served,'
        f' statuses {sorted(set(statuses))}'
    )
    return served / count


async def case(site: Site) -> bool:
    site.add('edge', 'roster', 'taipei-a', slots=104, queue=144)
    site.add('calm', 'booking', 'taipei-b', slots=104, queue=144)
    site.add(
        'gate', 'reels', 'taipei-b', slots=SLOTS, queue=QUEUE, work_s=work_s
    )
    edge, calm, gate = site.daemons.values()
    first = route('profile', 'roster', timeout='800ms')
    added = route('reel', 'reels', timeout='3000ms')
    await site.start([first])
    await asyncio.sleep(3)
    await site.configure([first, added])
    await asyncio.sleep(3)
    reels = Clients(site, edge, '/reel/1')
    pressing = asyncio.ensure_future(reels.press())
    began = site.record.now
    reels.per_s = BURST * USUAL_PER_S
    for at in KILLS_AT_S:
        await asyncio.sleep(began + at - site.record.now)
        await show(site, gate)
        if with_trouble():
            await site.kill(edge)
            await site.restart(edge)
    await asyncio.sleep(began + BURST_S - site.record.now)
    reels.per_s = USUAL_PER_S
    await asyncio.sleep(RECOVER_S)
    await show(site, gate)
    on_first, on_added = await asyncio.gather(
        ask(site, calm, '/profile/1'), ask(site, calm, '/reel/1')
    )
    await show(site, gate)
    pressing.cancel()
    await asyncio.sleep(5)
    await show(site, gate)
    is_broken = on_added < MIN_RATIO * on_first
    site.record.say('CONFIG', 'broken' if is_broken else 'held')
    return is_broken


sys.exit(run(case, Path(__file__).parent))
