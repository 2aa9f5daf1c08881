"""The time that two hops add, and what a daemon uses, with real processes.

Each round sends the same request directly, through two bare forwarders (the
baseline) and through an edge and a gate, one after the other, so that a busy
machine slows all three alike.
"""

import asyncio
import time
from collections.abc import Mapping
from pathlib import Path
from statistics import quantiles

import aiohttp

from experiments.figures import Figures
from harness.addresses import free_addresses
from harness.fleet import Fleet, HostSpec
from harness.processes import Process, start_module
from harness.usage import processor_seconds, resident_mb

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'jadeleaf.toml'
HOSTS = (
    HostSpec('host-1', 'dc1', 'north', 'profile', 90, 0),
    HostSpec('host-2', 'dc1', 'north', 'booking', 90, 0),
)
WARM_UP_ROUNDS = 100
ROUNDS = 1500
QUICK_ROUNDS = 400
IDLE_S = 8.0
QUICK_IDLE_S = 3.0
PATH = '/narrators/7'
MS_PER_SECOND = 1000
DIRECT = 'direct'
BARE = 'bare'
DAEMONS = 'daemons'


def run(seed: int, quick: bool) -> tuple[Figures, ...]:
    """Measure added time, idle processor time and memory."""
    return asyncio.run(_run(quick))


async def _run(quick: bool) -> tuple[Figures, ...]:
    async with Fleet(list(HOSTS), EXAMPLE.read_text()) as fleet:
        key = await fleet.issue_key('harbour-audio')
        forwarders = await _start_forwarders(fleet)
        try:
            added = await _added(
                fleet,
                key,
                list(forwarders)[-1],
                QUICK_ROUNDS if quick else ROUNDS,
            )
        finally:
            for forwarder in forwarders.values():
                await forwarder.stop()
        idle = await _idle(fleet, QUICK_IDLE_S if quick else IDLE_S)
    return added, idle


async def _start_forwarders(fleet: Fleet) -> dict[str, Process]:
    upstream = fleet.addresses_by_host[HOSTS[0].host].service
    first, second = free_addresses(2)
    forwarders = {}
    for listen, target in ((second, upstream), (first, second)):
        forwarders[listen] = await start_module(
            f'forwarder-{listen}',
            'harness.bareforward',
            ['--listen', listen, '--target', target],
            fleet.folder,
        )
    return forwarders


async def _added(fleet: Fleet, key: str, bare: str, rounds: int) -> Figures:
    addresses_by_way = {
        DIRECT: fleet.addresses_by_host[HOSTS[0].host].service,
        BARE: bare,
        DAEMONS: fleet.callers(HOSTS[1].host),
    }
    times_by_way: dict[str, list[float]] = {way: [] for way in addresses_by_way}
    head = {'Authorization': f'Bearer {key}'}
    async with aiohttp.ClientSession(headers=head) as session:
        await _until_served(session, addresses_by_way)
        for count in range(WARM_UP_ROUNDS + rounds):
            for way, address in addresses_by_way.items():
                took_s = await _timed(session, address)
                if count >= WARM_UP_ROUNDS:
                    times_by_way[way].append(took_s)
    return _figures(times_by_way)


async def _until_served(
    session: aiohttp.ClientSession, addresses_by_way: Mapping[str, str]
) -> None:
    async with asyncio.timeout(60):
        for address in addresses_by_way.values():
            while not await _is_served(session, address):  # noqa: ASYNC110
                await asyncio.sleep(0.2)


async def _is_served(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f'http://{address}{PATH}') as answer:
            await answer.read()
            return answer.status == 200
    except aiohttp.ClientError:
        return False


async def _timed(session: aiohttp.ClientSession, address: str) -> float:
    began = time.perf_counter()
    async with session.get(f'http://{address}{PATH}') as answer:
        await answer.read()
        answer.raise_for_status()
    return time.perf_counter() - began


def _figures(times_by_way: Mapping[str, list[float]]) -> Figures:
    direct = times_by_way[DIRECT]
    baseline = _paired('added-time', times_by_way[BARE], direct)
    measured = _paired('added-time', times_by_way[DAEMONS], direct)
    return Figures(
        measured.experiment,
        added_ms_p50=measured.added_ms_p50,
        added_ms_p99=measured.added_ms_p99,
        baseline=baseline,
    )


def _paired(name: str, through: list[float], direct: list[float]) -> Figures:
    added = [
        (slow - fast) * MS_PER_SECOND
        for slow, fast in zip(through, direct, strict=True)
    ]
    cuts = quantiles(added, n=100)
    return Figures(
        name, added_ms_p50=round(cuts[49], 3), added_ms_p99=round(cuts[98], 3)
    )


async def _idle(fleet: Fleet, seconds: float) -> Figures:
    pids = [daemon.pid for daemon in fleet.daemons_by_host.values()]
    before = [processor_seconds(pid) for pid in pids]
    await asyncio.sleep(seconds)
    used = [
        processor_seconds(pid) - earlier
        for pid, earlier in zip(pids, before, strict=True)
    ]
    return Figures(
        'idle-daemon',
        idle_core_ratio=round(max(used) / seconds, 4),
        resident_mb=round(max(map(resident_mb, pids)), 1),
    )
