"""How soon changes take effect on real daemons, also with the store out.

Times count from the moment at which the operator's call was answered.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import aiohttp

from dragonflyknot.decisions.calls import UpstreamState
from experiments.figures import Figures
from harness.caller import CallerFigures, Shot, ShotResult, shoot
from harness.fleet import Fleet, HostSpec

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'jadeleaf.toml'
HOSTS = (
    HostSpec('host-1', 'dc1', 'north', 'profile', 90, 0.005),
    HostSpec('host-2', 'dc2', 'north', 'profile', 90, 0.005),
    HostSpec('host-3', 'dc3', 'south', 'profile', 90, 0.005),
    HostSpec('host-4', 'dc4', 'south', 'booking', 90, 0.005),
)
WORKSPACE = 'harbour-audio'
LONGEST_WAIT_S = 20.0
POLL_S = 0.05
PAUSE_S = 0.01
DRAIN_WATCH_S = 4.0
LOAD_TASKS = 8


def run(seed: int, quick: bool) -> tuple[Figures, ...]:
    """Measure keys, configurations, a leaving upstream and a restart."""
    return asyncio.run(_run())


async def _run() -> tuple[Figures, ...]:
    async with Fleet(list(HOSTS), EXAMPLE.read_text()) as fleet:
        key = await fleet.issue_key(WORKSPACE)
        async with aiohttp.ClientSession() as session:
            await _until_served_everywhere(fleet, session, key)
            return (
                await _withdrawn_key(fleet, session),
                await _in_force(fleet),
                await _in_force_store_out(fleet),
                await _leaving_upstream(fleet, session, key),
                await _rolling_restart(fleet, session, key),
            )


async def _until_served_everywhere(
    fleet: Fleet, session: aiohttp.ClientSession, key: str
) -> None:
    async def served(host: str) -> bool:
        return (await _probe(fleet, session, host, key)).is_whole

    for spec in HOSTS:
        await _seconds_until(partial(served, spec.host))


async def _withdrawn_key(
    fleet: Fleet, session: aiohttp.ClientSession
) -> Figures:
    key = await fleet.issue_key(WORKSPACE)
    await _until_served_everywhere(fleet, session, key)
    await fleet.withdraw_key(key)

    async def dead() -> bool:
        probes = [
            await _probe(fleet, session, spec.host, key) for spec in HOSTS
        ]
        return all(probe.kind == 'key-withdrawn' for probe in probes)

    return Figures(
        'key-withdrawn', withdrawn_key_seconds=await _seconds_until(dead)
    )


async def _in_force(fleet: Fleet) -> Figures:
    number = await fleet.promote(_changed(901), base=1)
    took_s = await _seconds_until(lambda: _is_everywhere(fleet, number))
    return Figures('configuration', in_force_seconds=took_s)


async def _in_force_store_out(fleet: Fleet) -> Figures:
    number = await fleet.promote(_changed(902), base=2)
    # One daemon has to have read the revision before the store goes out.
    await _seconds_until(lambda: _is_somewhere(fleet, number))
    await fleet.switch_platform(down=True)
    took_s = await _seconds_until(lambda: _is_everywhere(fleet, number))
    await fleet.switch_platform(down=False)
    return Figures('configuration-store-out', in_force_seconds=took_s)


async def _leaving_upstream(
    fleet: Fleet, session: aiohttp.ClientSession, key: str
) -> Figures:
    leaving = fleet.upstreams_by_host[HOSTS[1].host]
    figures = CallerFigures()
    stop = asyncio.Event()
    load = asyncio.create_task(_load(fleet, session, key, figures, stop))
    leaving.state = UpstreamState.DRAINING
    await leaving.announce()
    began = time.monotonic()
    last_new_work_s = float(0)
    seen = leaving.ledger.runs_by_tag.total()
    while time.monotonic() - began < DRAIN_WATCH_S:
        await asyncio.sleep(POLL_S)
        now_seen = leaving.ledger.runs_by_tag.total()
        if now_seen > seen:
            last_new_work_s = time.monotonic() - began
        seen = now_seen
    stop.set()
    await load
    leaving.state = UpstreamState.READY
    await leaving.announce()
    return Figures(
        'leaving-upstream',
        last_new_work_seconds=round(last_new_work_s, 2),
        torn=figures.torn,
    )


async def _rolling_restart(
    fleet: Fleet, session: aiohttp.ClientSession, key: str
) -> Figures:
    figures = CallerFigures()
    stop = asyncio.Event()
    load = asyncio.create_task(_load(fleet, session, key, figures, stop))
    exit_codes = []
    for spec in HOSTS:
        exit_codes.append(await fleet.stop_daemon(spec.host))
        await fleet.start_daemon(spec)
        await fleet.ready()
        await fleet.introduced()
    stop.set()
    await load
    runs_by_tag = fleet.runs_by_tag()
    cut_off = sum(
        outcome.status == 0 and runs_by_tag[outcome.tag] > 0
        for outcome in figures.results
    )
    false_not_run = sum(
        outcome.outcome == 'not-run' and runs_by_tag[outcome.tag] > 0
        for outcome in figures.results
    )
    return Figures(
        'rolling-restart',
        goodput_ratio=round(figures.whole / max(figures.sent, 1), 4),
        torn=figures.torn,
        cut_off=cut_off + sum(map(bool, exit_codes)),
        false_not_run=false_not_run,
    )


async def _load(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    key: str,
    figures: CallerFigures,
    stop: asyncio.Event,
) -> None:
    async def one(number: int) -> None:
        while not stop.is_set():
            host = HOSTS[number % len(HOSTS)].host
            figures.add(await _probe(fleet, session, host, key))
            number += 1
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(one(number) for number in range(LOAD_TASKS)))


async def _probe(
    fleet: Fleet, session: aiohttp.ClientSession, host: str, key: str
) -> ShotResult:
    shot = Shot('GET', '/narrators/1')
    return await shoot(session, fleet.callers(host), key, shot)


async def _is_everywhere(fleet: Fleet, number: int) -> bool:
    return all([one == number for one in await _revisions(fleet)])


async def _is_somewhere(fleet: Fleet, number: int) -> bool:
    return any([one == number for one in await _revisions(fleet)])


async def _revisions(fleet: Fleet) -> list[int]:
    dumps = [await fleet.dump(spec.host) for spec in HOSTS]
    return [dump.revision.number for dump in dumps]


async def _seconds_until(condition: Callable[[], Awaitable[bool]]) -> float:
    began = time.monotonic()
    async with asyncio.timeout(LONGEST_WAIT_S):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
    return round(time.monotonic() - began, 2)


def _changed(rate: int) -> str:
    return EXAMPLE.read_text().replace('rate = 900', f'rate = {rate}')
