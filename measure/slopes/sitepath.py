"""Slopes of a request on the users' platform, on two real daemons.

The daemons run as the platform runs them. The caller's host has an upstream
of another service, so that each request takes the hop between hosts. Two
bare forwarders carry the same requests in the same run.
"""

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

from fakeupstream import FakeUpstream
from harness.addresses import free_addresses
from harness.processes import start_module
from harness.sitedaemon import SERVED, site_daemon, until_served
from harness.usage import processor_seconds
from rowstandin import RowStandIn, standing_in
from sitefleet import configuration
from slopes.slope import Slope

REQUESTS = 6000
WARM_UP = 600
AT_ONCE = 8
ROUNDS = 3
US_PER_SECOND = 1_000_000
REFUSED = b'HTTP/1.1 401'


def measure(large: bool) -> list[Slope]:
    """Measure what a request and a refusal cost."""
    return asyncio.run(_slopes())


async def _slopes() -> list[Slope]:
    async with AsyncExitStack() as stack:
        folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix='sitepath-'))
        )
        target = free_addresses(1)[0]
        await stack.enter_async_context(
            FakeUpstream().listening(int(target.rpartition(':')[2]))
        )
        daemons = await stack.enter_async_context(_daemons(folder, target))
        forwarders = await stack.enter_async_context(
            _forwarders(folder, target)
        )
        slopes: list[Slope] = []
        for number in range(ROUNDS):
            slopes += await _round(
                f'site request, round {number + 1}',
                daemons.callers,
                _request(b'/read/x'),
                SERVED,
                dict(zip(('edge', 'gate'), daemons.pids, strict=True)),
            )
            slopes += await _round(
                f'bare forwarders, round {number + 1}',
                forwarders.first,
                _request(b'/read/x'),
                SERVED,
                dict(zip(('first', 'second'), forwarders.pids, strict=True)),
            )
        slopes += await _round(
            'site refusal',
            daemons.callers,
            _request(b'/read/x', key=b'unknown'),
            REFUSED,
            {'edge': daemons.pids[0]},
        )
    return slopes


@dataclass(frozen=True, slots=True)
class Daemons:
    """Hold where callers reach the first of the two daemons."""

    callers: str
    pids: tuple[int, int]


@dataclass(frozen=True, slots=True)
class Forwarders:
    """Hold the two bare forwarders of the run."""

    first: str
    pids: tuple[int, int]


@asynccontextmanager
async def _daemons(folder: Path, target: str) -> AsyncIterator[Daemons]:
    async with AsyncExitStack() as stack:
        store = RowStandIn()
        store.write('op', 'config', configuration(1))
        store_address = free_addresses(1)[0]
        await stack.enter_async_context(
            standing_in(store, int(store_address.rpartition(':')[2]))
        )
        edge = site_daemon('edge', 'other')
        gate = replace(site_daemon('gate', 'mine'), target=target)
        pids: list[int] = []
        for host in (edge, gate):
            process = await host.start(folder, store_address)
            stack.push_async_callback(process.stop)
            pids.append(process.pid)
        await gate.until_ready()
        await gate.beat('i-1', sequence=1)
        await until_served(edge.callers, _request(b'/read/x'))
        yield Daemons(edge.callers, (pids[0], pids[1]))


@asynccontextmanager
async def _forwarders(folder: Path, target: str) -> AsyncIterator[Forwarders]:
    async with AsyncExitStack() as stack:
        first, second = free_addresses(2)
        pids: list[int] = []
        for listen, following in ((first, second), (second, target)):
            process = await start_module(
                'forwarder',
                'harness.bareforward',
                ['--listen', listen, '--target', following],
                folder,
            )
            stack.push_async_callback(process.kill)
            pids.append(process.pid)
        await until_served(first, _request(b'/read/x'))
        yield Forwarders(first, (pids[0], pids[1]))


def _request(path: bytes, key: bytes = b'key') -> bytes:
    return (
        b'GET %b HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9c41d07be2a35f68\r\n'
        b'Request-Deadline: 3000\r\nKey: %b\r\n\r\n' % (path, key)
    )


async def _round(
    name: str,
    address: str,
    request: bytes,
    wanted: bytes,
    pids_by_role: dict[str, int],
) -> list[Slope]:
    await _load(address, request, wanted, WARM_UP)
    before = {
        role: processor_seconds(pid) for role, pid in pids_by_role.items()
    }
    began = time.perf_counter()
    await _load(address, request, wanted, REQUESTS)
    wall_s = time.perf_counter() - began
    return [
        *(
            Slope(
                f'{name}: {role}',
                'us',
                (processor_seconds(pid) - before[role])
                / REQUESTS
                * US_PER_SECOND,
            )
            for role, pid in pids_by_role.items()
        ),
        Slope(f'{name}: rate', '1/s', REQUESTS / wall_s),
    ]


async def _load(
    address: str, request: bytes, wanted: bytes, count: int
) -> None:
    await asyncio.gather(
        *(
            _ask_on(address, request, wanted, count // AT_ONCE)
            for _ in range(AT_ONCE)
        )
    )


async def _ask_on(
    address: str, request: bytes, wanted: bytes, count: int
) -> None:
    ip, _colon, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        for _ in range(count):
            writer.write(request)
            answer = await reader.read(65536)
            if not answer.startswith(wanted):
                raise RuntimeError(f'An answer is not as wanted: {answer!r}')
    finally:
        writer.transport.abort()
