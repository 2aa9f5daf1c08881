"""Restart a daemon after it acknowledged that its target leaves.

A heartbeat that was sent before arrives late, at the new process, which takes
the target as ready again. The target goes on for some seconds, as the pages
say, and gets requests all the while.
"""

import asyncio
import sys
from pathlib import Path

from common.site import Site, route, run, with_trouble

DRAIN_S = 2.0
STABLE_S = 3.0
LATE_S = 3.0
STAY_S = 12.0
WORK_S = 0.5
PER_S = 20.0


async def case(site: Site) -> bool:
    site.add('edge', 'roster', 'taipei-b', slots=104, queue=144)
    stays = site.add(
        'stays', 'booking', slots=104, queue=144, work_s=lambda: WORK_S
    )
    leaves = site.add(
        'leaves', 'booking', slots=104, queue=144, work_s=lambda: WORK_S
    )
    edge, _stays, daemon = site.daemons.values()
    await site.start(
        [
            route(
                'slot', 'booking', kind='unsafe', timeout='1000ms', priority=0
            )
        ]
    )
    await asyncio.sleep(5)

    async def press() -> None:
        while True:
            site.keep(
                site.send(edge, '/slot/1', method='POST', deadline_ms=5000)
            )
            await asyncio.sleep(1 / PER_S)

    site.keep(press())
    await asyncio.sleep(3)

    # A heartbeat that is on its way while the target deregisters.
    late = leaves.encode_beat()
    sent_at = site.record.now
    site.record.say('heartbeat sent, arrives late:', leaves.sequence)
    await asyncio.sleep(0.5)
    assert await leaves.deregister()
    acknowledged_at = site.record.now
    site.record.say('deregistration acknowledged')
    await asyncio.sleep(0.5)
    restarted_at = site.record.now
    if with_trouble():
        await site.kill(daemon)
        await site.restart(daemon)
        restarted_at = site.record.now
    await asyncio.sleep(sent_at + LATE_S - site.record.now)
    is_taken = await leaves.send_beat(late)
    site.record.say('late heartbeat arrived, acknowledged:', is_taken)
    await asyncio.sleep(acknowledged_at + STAY_S - site.record.now)
    exited_at = site.record.now
    leaves.exit()
    site.record.say('target has exited')
    await asyncio.sleep(2)

    # Only what was sent while all machines were in touch again counts.
    from_at = max(acknowledged_at + DRAIN_S, restarted_at + STABLE_S)
    sent_at_by_attempt = {one.attempt: one.at for one in site.record.sent}
    reached = [
        one
        for one in site.record.runs
        if one.target == 'leaves' and one.at > from_at
        and sent_at_by_attempt.get(one.attempt, 0) > from_at
    ]
    others = sum(one.at > from_at for one in site.record.runs) - len(reached)
    site.record.say(
        f'after {from_at:.1f} s, {from_at - acknowledged_at:.1f} s after the'
        f' acknowledgement: {len(reached)} requests reached the target that'
        f' leaves, {others} the other one'
    )
    assert stays.sequence > 0
    lost = [
        one
        for one in site.record.sent
        if one.at < exited_at < one.ended and one.status in (0, 502, 504)
    ]
    site.record.say(f'{len(lost)} bookings were lost as the target exited')
    site.record.say('DRAIN', 'broken' if reached else 'held')
    return bool(reached)


sys.exit(run(case, Path(__file__).parent))
