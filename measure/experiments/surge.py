"""Surges, a flood and a slow deep service against real daemons.

Four daemon processes with fake upstreams on loopback, at a reduced size:
few slots and long service times, so that the harness can send ten times the
capacity. The baseline is the same load sent straight to the same upstreams
in turn, without daemons. Callers retry hard and ignore Retry-After.
"""

import asyncio
import json
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from types import MappingProxyType

import aiohttp

from experiments.figures import Figures
from experiments.load import STEP_S, Stream, Wish
from experiments.ratios import (
    Window,
    goodput_ratio,
    important_ratio,
    recovery_seconds,
    worst_workspace_ratio,
)
from harness.caller import Shot, ShotResult, shoot
from harness.fleet import Fleet, HostSpec
from harness.upstream import Upstream

SLOTS = 4
SERVICE_TIME_S = 0.3
TIMEOUT_MS = 2000
WORKSPACES = ('ash', 'birch', 'cedar', 'elm')
SETTLE_S = 1.5
SERVED_TIMEOUT_S = 30.0
WARM_UP_S = 1.5
STEADY_LOAD = 0.6
IMPORTANT_LOAD = 0.25
SENDS = 2
RESEND_S = 0.05
SLOW_FACTOR = 10
WINDOW = Window(WARM_UP_S, WARM_UP_S + 2.5)
TAIL_S = 1.0

PLACES = (
    ('dc1', 'north'),
    ('dc2', 'north'),
    ('dc3', 'south'),
    ('dc4', 'south'),
)
FRONTS = tuple(
    HostSpec(f'front-{dc}', dc, region, 'front', SLOTS, SERVICE_TIME_S)
    for dc, region in PLACES
)
FRONTS_AND_DEEP = (
    *FRONTS[::2],
    *(
        HostSpec(f'deep-{dc}', dc, region, 'deep', SLOTS, SERVICE_TIME_S / 4)
        for dc, region in PLACES[::2]
    ),
)
PREFIXES_BY_PRIORITY = MappingProxyType(
    {9: '/orders', 5: '/status', 1: '/guides'}
)

DOCUMENT = '\n'.join(
    (
        '[keys]\nfreshness_seconds = 2\n[open]\nrate = 10\nburst = 10',
        *(
            f'[workspaces.{name}]\nrate = 100000\nburst = 100000'
            for name in WORKSPACES
        ),
        '[services.front]\nqueue_limit = 8\nqueue_wait_ms = 250',
        '[services.deep]\nqueue_limit = 8\nqueue_wait_ms = 250',
        *(
            '[[routes]]\nservice = "front"\nmethod = "GET"\n'
            f'prefix = "{prefix}"\npriority = {priority}\n'
            f'timeout_ms = {TIMEOUT_MS}\nretries = 2'
            for priority, prefix in PREFIXES_BY_PRIORITY.items()
        ),
        '[[routes]]\nservice = "deep"\nmethod = "GET"\nprefix = "/deep"\n'
        f'priority = 5\ntimeout_ms = {TIMEOUT_MS}\nretries = 2',
    )
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one run on a fleet that may serve several."""

    name: str
    streams: tuple[Stream, ...]
    capacity_slots: float
    has_baseline: bool = False
    is_deep_slow: bool = False


@dataclass(slots=True)
class _Senders:
    """Send the wishes of all streams and keep what became of them."""

    session: aiohttp.ClientSession
    edges: list[str]
    keys_by_workspace: dict[str, str]
    rng: random.Random
    began: float = field(default_factory=time.monotonic)
    wishes: list[Wish] = field(default_factory=list)
    results: list[ShotResult] = field(default_factory=list)
    _turn: int = 0

    async def run(self, streams: tuple[Stream, ...]) -> None:
        """Send until the tail after the window has passed."""
        async with asyncio.TaskGroup() as group:
            for stream in streams:
                group.create_task(self._stream(stream, group))

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    async def _stream(self, stream: Stream, group: asyncio.TaskGroup) -> None:
        due = float(0)
        while due < WINDOW.end + TAIL_S:
            rate = stream.rate(due)
            wait_s = self.rng.expovariate(rate) if rate else STEP_S
            due += min(wait_s, STEP_S)
            await asyncio.sleep(max(0, due - self.now))
            if wait_s < STEP_S:
                wish = Wish(stream, self.now, (stream.mean_s,))
                self.wishes.append(wish)
                group.create_task(self._follow(wish))

    async def _follow(self, wish: Wish) -> None:
        stream = wish.stream
        for _ in range(stream.sends):
            result = await self._shoot(stream)
            self.results.append(result)
            if result.is_whole:
                wish.served_at = self.now
                return
            await asyncio.sleep(RESEND_S * self.rng.uniform(1, 2))

    async def _shoot(self, stream: Stream) -> ShotResult:
        self._turn += 1
        edge = self.edges[self._turn % len(self.edges)]
        shot = Shot(
            'GET',
            PREFIXES_BY_PRIORITY[stream.priority],
            deeper=stream.plan[1:],
            timeout_ms=TIMEOUT_MS,
        )
        key = self.keys_by_workspace[stream.workspace]
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                return await shoot(self.session, edge, key, shot)
        except TimeoutError:
            return ShotResult(shot.tag, 0, 'timeout')
        except json.JSONDecodeError:
            # An upstream that sheds without a daemon answers without a body.
            return ShotResult(shot.tag, 503, 'shed')


def run(seed: int, quick: bool) -> tuple[Figures, ...]:
    """Run every scenario; return the figures of each."""
    return asyncio.run(_run_all(seed, quick))


async def _run_all(seed: int, quick: bool) -> tuple[Figures, ...]:
    fronts = tuple(_front_scenarios())
    if quick:
        surge = replace(fronts[1], has_baseline=False)
        return await _run_fleet(FRONTS, (surge,), seed)
    return (
        *await _run_fleet(FRONTS, fronts, seed),
        *await _run_fleet(FRONTS_AND_DEEP, (_deep_slow(),), seed),
    )


async def _run_fleet(
    specs: tuple[HostSpec, ...], scenarios: tuple[Scenario, ...], seed: int
) -> tuple[Figures, ...]:
    """Run scenarios one after the other on the same daemons."""
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        Fleet(list(specs), DOCUMENT) as fleet,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        keys = {name: await fleet.issue_key(name) for name in WORKSPACES}
        runs = _Runs(fleet, session, keys, seed)
        await runs.until_served()
        await asyncio.sleep(SETTLE_S)
        return tuple([await runs.pair(scenario) for scenario in scenarios])


@dataclass(frozen=True, slots=True)
class _Runs:
    """Run scenarios on one fleet."""

    fleet: Fleet
    session: aiohttp.ClientSession
    keys_by_workspace: dict[str, str]
    seed: int

    async def until_served(self) -> None:
        """Wait until every edge serves every workspace."""
        path = PREFIXES_BY_PRIORITY[9]
        async with asyncio.timeout(SERVED_TIMEOUT_S):
            for edge in self._edges(with_daemons=True):
                for key in self.keys_by_workspace.values():
                    await _until_whole(self.session, edge, key, path)

    async def pair(self, scenario: Scenario) -> Figures:
        """Measure with the daemons and, if there is one, the baseline."""
        measured = await self._measure(scenario, with_daemons=True)
        if not scenario.has_baseline:
            return measured
        baseline = await self._measure(scenario, with_daemons=False)
        return replace(measured, baseline=baseline)

    async def _measure(
        self, scenario: Scenario, *, with_daemons: bool
    ) -> Figures:
        senders = _Senders(
            self.session,
            self._edges(with_daemons=with_daemons),
            self.keys_by_workspace,
            random.Random(self.seed),
        )
        causes = asyncio.create_task(_slow_down(scenario, self.fleet))
        await senders.run(scenario.streams)
        await causes
        upstreams = list(self.fleet.upstreams_by_host.values())
        return _figures(scenario, senders, upstreams)

    def _edges(self, *, with_daemons: bool) -> list[str]:
        fronts = [
            spec.host for spec in self.fleet.specs if spec.service == 'front'
        ]
        if with_daemons:
            return [self.fleet.callers(host) for host in fronts]
        addresses = self.fleet.addresses_by_host
        return [addresses[host].service for host in fronts]


async def _until_whole(
    session: aiohttp.ClientSession, edge: str, key: str, path: str
) -> None:
    while True:
        result = await shoot(session, edge, key, Shot('GET', path))
        if result.is_whole:
            return
        await asyncio.sleep(RESEND_S)


async def _slow_down(scenario: Scenario, fleet: Fleet) -> None:
    if not scenario.is_deep_slow:
        return
    await asyncio.sleep(WINDOW.start)
    _set_slowness(fleet, SLOW_FACTOR)
    await asyncio.sleep(WINDOW.end - WINDOW.start)
    _set_slowness(fleet, 1)


def _set_slowness(fleet: Fleet, factor: float) -> None:
    for upstream in fleet.upstreams_by_host.values():
        if upstream.spec.service == 'deep':
            upstream.slow_factor = factor


def _figures(
    scenario: Scenario, senders: _Senders, upstreams: list[Upstream]
) -> Figures:
    wishes = senders.wishes
    slots = scenario.capacity_slots
    ran = {tag for one in upstreams for tag in one.ledger.runs_by_tag}
    results = senders.results
    return Figures(
        scenario.name,
        goodput_ratio=goodput_ratio(wishes, WINDOW, slots),
        important_ratio=important_ratio(wishes, WINDOW),
        recovery_seconds=recovery_seconds(wishes, WINDOW.end),
        worst_workspace_ratio=worst_workspace_ratio(wishes, WINDOW, slots),
        false_not_run=sum(
            one.outcome == 'not-run' and one.tag in ran for one in results
        ),
        torn=sum(one.is_torn for one in results),
    )


def _front_scenarios() -> Iterator[Scenario]:
    capacity = len(FRONTS) * SLOTS
    for peak in (2, 10):
        yield Scenario(
            f'surge-{peak}x-real',
            tuple(_mixed(partial(_surge, peak), capacity)),
            capacity,
            has_baseline=peak > 2,
        )
    yield Scenario(
        'flood-10x-real', tuple(_flood(capacity)), capacity, has_baseline=True
    )


def _deep_slow() -> Scenario:
    capacity = len(FRONTS) * SLOTS / 2
    streams = tuple(_two_routes(capacity))
    return Scenario('deep-slow-real', streams, capacity, is_deep_slow=True)


def _surge(peak: float, moment: float) -> float:
    return peak if WINDOW.has(moment) else STEADY_LOAD


def _constant(load: float, moment: float) -> float:
    return load


def _mixed(load: Callable[[float], float], capacity: float) -> Iterator[Stream]:
    def lesser(moment: float) -> float:
        return (load(moment) - IMPORTANT_LOAD) / 2

    for workspace in WORKSPACES:
        important = partial(_constant, IMPORTANT_LOAD)
        yield _stream(workspace, 9, important, capacity)
        yield _stream(workspace, 5, lesser, capacity)
        yield _stream(workspace, 1, lesser, capacity)


def _flood(capacity: float) -> Iterator[Stream]:
    yield _stream(WORKSPACES[0], 5, partial(_surge, 10), capacity)
    for workspace in WORKSPACES[1:]:
        yield _stream(workspace, 5, partial(_constant, 0.9), capacity)


def _two_routes(capacity: float) -> Iterator[Stream]:
    for workspace in WORKSPACES:
        shallow = _stream(workspace, 5, partial(_constant, 0.3), capacity)
        deeper = _stream(workspace, 1, partial(_constant, 0.3), capacity)
        yield shallow
        yield replace(deeper, plan=('front', '/deep'))


def _stream(
    workspace: str,
    priority: int,
    load: Callable[[float], float],
    capacity: float,
) -> Stream:
    full_rate = capacity / SERVICE_TIME_S / len(WORKSPACES)

    def rate(moment: float) -> float:
        return load(moment) * full_rate

    return Stream(
        workspace=workspace,
        priority=priority,
        rate=rate,
        plan=('front',),
        mean_s=SERVICE_TIME_S,
        timeout_s=TIMEOUT_MS / 1000,
        sends=SENDS,
    )
