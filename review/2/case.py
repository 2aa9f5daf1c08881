"""Let the store turn some machines away without a response for a while.

Those that follow the store for all others ask it meanwhile and wait for half a
minute. Long after the store serves everybody again, no daemon takes up a new
configuration.
"""

import asyncio
import re
import sys
from pathlib import Path

from common.site import Daemon, Site, route, run, with_trouble

SERVICES = ('roster', 'booking', 'intake', 'reels', 'booking')
ZONES = ('taipei-a', 'taipei-b')
SHARE = 0.35
AWAY_S = 9.0
FIRST_CHANGE_S = 1.0
STABLE_S = 3.0
CONFIG_APPLY_S = 2.0
MEASURED_S = 8.0
KEYS = ('key', 'withdrawn')
PER_S = 20.0


def routes(service: str) -> list[dict[str, object]]:
    """Return the routes; bookings go to one service or to the other."""
    return [
        route('profile', 'roster', timeout='800ms'),
        route('slot', service, kind='unsafe', timeout='1000ms', priority=0),
    ]


async def followers(site: Site) -> list[Daemon]:
    """Return the daemons that say that they follow the store."""
    found = []
    for daemon in site.daemons.values():
        figures = await site.figures(daemon)
        if re.search(r'dragonflyknot_following 1', figures):
            found.append(daemon)
    return found


async def press(site: Site) -> None:
    """Send bookings with both keys to all daemons in turn."""
    while True:
        for key in KEYS:
            for number, daemon in enumerate(site.daemons.values()):
                attempt = f'{key}-{len(site.record.sent)}-{number}'
                site.keep(
                    site.send(
                        daemon,
                        '/slot/1',
                        method='POST',
                        deadline_ms=5000,
                        attempt=attempt,
                        key=key,
                    )
                )
                await asyncio.sleep(1 / PER_S)


async def case(site: Site) -> bool:
    for zone in ZONES:
        for number, service in enumerate(SERVICES, start=1):
            site.add(
                f'sidecar-{zone}-{number}', service, zone,
                slots=104, queue=144, work_s=lambda: 0.1,
            )
    await site.start(routes('booking'), KEYS)
    await asyncio.sleep(10)
    site.keep(press(site))
    # A change lets those that need not follow the store leave its feed.
    await site.configure(routes('booking'), keys=KEYS)
    await asyncio.sleep(4)
    away = await followers(site)
    site.record.say('they follow the store:', *(one.name for one in away))
    assert len(away) <= SHARE * len(site.daemons)

    began = site.record.now
    if with_trouble():
        site.store.turned_away = {one.name for one in away}
        site.record.say('the store gives them no response')
    await asyncio.sleep(FIRST_CHANGE_S)
    await site.configure(routes('roster'), keys=KEYS)
    await asyncio.sleep(began + AWAY_S - site.record.now)
    site.store.turned_away = set()
    site.record.say('the store serves everybody')
    await asyncio.sleep(STABLE_S + 1)

    # All machines and the core are in touch, and stay so.
    await site.configure(routes('intake'), keys=KEYS[:1])
    changed_at = site.record.now
    await asyncio.sleep(CONFIG_APPLY_S + MEASURED_S)
    service_by_target = {
        name: target.place.service for name, target in site.targets.items()
    }
    service_by_attempt = {
        one.attempt: service_by_target[one.target] for one in site.record.runs
    }
    later = [
        one
        for one in site.record.sent
        if one.at > changed_at + CONFIG_APPLY_S
        and one.attempt in service_by_attempt
    ]
    old = [one for one in later if service_by_attempt[one.attempt] != 'intake']
    withdrawn = [one for one in later if one.attempt.startswith(KEYS[1])]
    last = max((one.at - changed_at for one in old), default=0)
    site.record.say(
        f'sent later than {CONFIG_APPLY_S} s after the acknowledgement:'
        f' {len(later)} run, {len(old)} of them by services of older versions'
        f' (sent up to {last:.1f} s after it), {len(withdrawn)} with a key'
        ' that was taken away'
    )
    old += withdrawn
    site.record.say('CONFIG', 'broken' if old else 'held')
    return bool(old)


sys.exit(run(case, Path(__file__).parent))
