"""Serve every kind of request on four daemons, and stop them under load.

The last line printed is one JSON object. The exit code is not zero when a
promise broke: a torn answer, an operation that ran twice, a leaked key, or
a request that a graceful stop cut off.
"""

import asyncio
import json
import os
import random
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import aiohttp

from harness.caller import CallerFigures, Shot, shoot
from harness.fleet import Fleet, HostSpec

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'jadeleaf.toml'
WORKSPACES = ('harbour-audio', 'narrators', 'tea-house')
UPLOAD_BYTES = 1_000_000
ROUNDS = 12
STOP_ROUNDS = 6
SLOW_S = 0.02

HOSTS = (
    HostSpec('host-1', 'hsinchu-1', 'north', 'profile', 90, SLOW_S),
    HostSpec('host-2', 'hsinchu-2', 'north', 'booking', 90, SLOW_S),
    HostSpec('host-3', 'tainan-1', 'south', 'intake', 90, SLOW_S),
    HostSpec('host-4', 'tainan-2', 'south', 'reel', 25, SLOW_S),
)


@dataclass(slots=True)
class Summary:
    """Hold what the last line prints."""

    sent: int = 0
    whole: int = 0
    refused_by_kind: dict[str, int] = field(default_factory=dict)
    torn: int = 0
    ran_twice: int = 0
    leaked_keys: int = 0
    cut_off_at_stop: int = 0
    seconds: float = 0

    @property
    def is_kept(self) -> bool:
        """Tell whether every promise was kept and requests were served."""
        broken = (
            self.torn + self.ran_twice + self.leaked_keys + self.cut_off_at_stop
        )
        return self.whole > 0 and not broken


def shots(rng: random.Random) -> Iterator[Shot]:
    """Return one request of each kind."""
    yield Shot('GET', f'/narrators/{rng.randrange(100)}')
    yield Shot('POST', '/auditions', b'{"slot": 7}', once=True)
    yield Shot('POST', '/recordings', rng.randbytes(UPLOAD_BYTES))
    yield Shot('GET', f'/reels/{rng.randrange(100)}')
    yield Shot('GET', '/narrators/7', deeper=('/auditions/3',))
    yield Shot('GET', '/catalogue/voices')


async def run() -> Summary:
    """Serve, stop under load and return the summary."""
    began = time.monotonic()
    figures = CallerFigures()
    async with Fleet(list(HOSTS), EXAMPLE.read_text()) as fleet:
        print('four daemons in two regions are ready', flush=True)
        keys = [await fleet.issue_key(name) for name in WORKSPACES]
        await _until_served(fleet, keys)
        await _serve(fleet, keys, figures, ROUNDS)
        print(f'served {figures.whole} of {figures.sent}', flush=True)
        exit_codes = await _stop_under_load(fleet, keys, figures)
        return _summary(fleet, figures, exit_codes, began)


async def _until_served(fleet: Fleet, keys: list[str]) -> None:
    async with aiohttp.ClientSession() as session:
        for spec in HOSTS:
            for key in keys:
                await _until_whole(session, fleet.callers(spec.host), key)


async def _until_whole(
    session: aiohttp.ClientSession, edge: str, key: str
) -> None:
    async with asyncio.timeout(60):
        probe = await shoot(session, edge, key, Shot('GET', '/narrators/1'))
        while not probe.is_whole:
            await asyncio.sleep(0.2)
            probe = await shoot(session, edge, key, Shot('GET', '/narrators/1'))


async def _serve(
    fleet: Fleet, keys: list[str], figures: CallerFigures, rounds: int
) -> None:
    rng = random.Random(rounds)
    async with aiohttp.ClientSession() as session:
        for _ in range(rounds):
            chosen = list(shots(rng))
            figures.expect(chosen)
            sent = [
                shoot(
                    session,
                    fleet.callers(rng.choice(HOSTS).host),
                    rng.choice(keys),
                    shot,
                )
                for shot in chosen
            ]
            for outcome in await asyncio.gather(*sent):
                figures.add(outcome)


async def _stop_under_load(
    fleet: Fleet, keys: list[str], figures: CallerFigures
) -> list[int]:
    load = asyncio.create_task(_serve(fleet, keys, figures, STOP_ROUNDS))
    await asyncio.sleep(0.1)
    # A service is stopped before those that it calls, as an operator would.
    exit_codes = [await fleet.stop_daemon(spec.host) for spec in HOSTS]
    await load
    return exit_codes


def _summary(
    fleet: Fleet,
    figures: CallerFigures,
    exit_codes: list[int],
    began: float,
) -> Summary:
    ledgers = [one.ledger for one in fleet.upstreams_by_host.values()]
    runs_by_tag = fleet.runs_by_tag()
    # A connection that closed before its request was taken cuts nothing off;
    # one that closed on a request that ran does.
    cut_off = sum(
        outcome.status == 0 and runs_by_tag[outcome.tag] > 0
        for outcome in figures.results
    )
    return Summary(
        sent=figures.sent,
        whole=figures.whole,
        refused_by_kind=dict(figures.refused_by_kind),
        torn=figures.torn,
        ran_twice=sum(runs_by_tag[tag] > 1 for tag in figures.once_tags),
        leaked_keys=sum(ledger.leaked_keys for ledger in ledgers),
        cut_off_at_stop=cut_off + sum(map(bool, exit_codes)),
        seconds=round(time.monotonic() - began, 1),
    )


def main() -> None:
    """Run the demonstration and print its summary."""
    summary = asyncio.run(run())
    print(json.dumps(asdict(summary)))
    sys.exit(0 if summary.is_kept else os.EX_SOFTWARE)


if __name__ == '__main__':
    main()
