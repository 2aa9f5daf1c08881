"""Slopes of requests and connections, on two real daemons."""

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp

from harness.fleet import Fleet, HostSpec
from harness.usage import processor_seconds, resident_mb
from slopes.slope import Slope

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'jadeleaf.toml'
HOSTS = (
    HostSpec('host-1', 'dc1', 'north', 'profile', 90, 0),
    HostSpec('host-2', 'dc1', 'north', 'booking', 90, 0),
)
REQUESTS = 2000
AT_ONCE = 8
CONNECTIONS = 500
IDLE_S = 10.0
PATH = '/narrators/7'
US_PER_SECOND = 1_000_000
KB_PER_MB = 1000


def measure(large: bool) -> list[Slope]:
    """Measure what a request, a connection and an idle second cost."""
    return asyncio.run(_slopes())


async def _slopes() -> list[Slope]:
    async with Fleet(list(HOSTS), EXAMPLE.read_text()) as fleet:
        key = await fleet.issue_key('harbour-audio')
        edge = fleet.callers(HOSTS[1].host)
        async with aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {key}'}
        ) as session:
            await _until_served(session, edge)
            idle = await _idle(fleet)
            requests = await _requests(fleet, session, edge)
        connections = await _connections(fleet, edge)
    return [*idle, *requests, *connections]


async def _until_served(session: aiohttp.ClientSession, edge: str) -> None:
    async with asyncio.timeout(60):
        while await _get(session, edge) != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.2)


async def _get(session: aiohttp.ClientSession, edge: str) -> int:
    async with session.get(f'http://{edge}{PATH}') as answer:
        await answer.read()
        return answer.status


async def _idle(fleet: Fleet) -> list[Slope]:
    pid = fleet.daemons_by_host[HOSTS[0].host].pid
    before = await fleet.dump(HOSTS[0].host)
    used = processor_seconds(pid)
    await asyncio.sleep(IDLE_S)
    used = processor_seconds(pid) - used
    after = await fleet.dump(HOSTS[0].host)
    reads = (after.store.reads - before.store.reads) / IDLE_S
    writes = (after.store.writes - before.store.writes) / IDLE_S
    return [
        Slope('daemon, idle: core', 'ratio', used / IDLE_S),
        Slope('daemon, idle: resident', 'MB', resident_mb(pid)),
        Slope('daemon of two, idle: store reads', '1/s', reads),
        Slope('daemon of two, idle: store writes', '1/s', writes),
    ]


async def _requests(
    fleet: Fleet, session: aiohttp.ClientSession, edge: str
) -> list[Slope]:
    pids_by_role = {
        'edge': fleet.daemons_by_host[HOSTS[1].host].pid,
        'gate': fleet.daemons_by_host[HOSTS[0].host].pid,
    }
    before = {
        role: processor_seconds(pid) for role, pid in pids_by_role.items()
    }

    async def some() -> None:
        for _ in range(REQUESTS // AT_ONCE):
            await _get(session, edge)

    await asyncio.gather(*(some() for _ in range(AT_ONCE)))
    return [
        Slope(
            f'{role}: request',
            'us',
            (processor_seconds(pid) - before[role]) / REQUESTS * US_PER_SECOND,
        )
        for role, pid in pids_by_role.items()
    ]


async def _connections(fleet: Fleet, edge: str) -> list[Slope]:
    pid = fleet.daemons_by_host[HOSTS[1].host].pid
    number, _, port = edge.rpartition(':')
    before = resident_mb(pid)
    async with AsyncExitStack() as stack:
        for _ in range(CONNECTIONS):
            _, writer = await asyncio.open_connection(number, int(port))
            stack.callback(writer.close)
            writer.write(b'GET /none HTTP/1.1\r\nHost: a\r\n\r\n')
        await asyncio.sleep(1)
        grown = resident_mb(pid) - before
    return [
        Slope('edge: caller connection', 'KB', grown * KB_PER_MB / CONNECTIONS)
    ]
