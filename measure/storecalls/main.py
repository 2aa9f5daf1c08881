"""Print the cost of store calls and of reading a document.

Run `python -m storecalls.main` with the workspace on the path. The stand-in
runs as a process of its own on loopback.
"""

import asyncio
import subprocess
import sys
import time
import timeit
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

from dragonflyknot.operators import document as documents
from dragonflyknot.operators.sections import assemble, split
from dragonflyknot.stores.backends import Backend, RemoteBackend
from dragonflyknot.stores.settings import PlatformSettings
from dragonflyknot.stores.writes import PutIfAbsent, RowKey

CALLS: Final = 500
PARSES: Final = 200
MS_PER_S: Final = 1_000
US_PER_S: Final = 1_000_000
KB_PER_MB: Final = 1024
EXAMPLE: Final = Path(__file__).parents[2] / 'examples' / 'jadeleaf.toml'

Call = Callable[[int], Awaitable[object]]


async def measure_calls(endpoint: str) -> None:
    """Print latency and processor time of each kind of call."""
    before = resident_mb()
    async with RemoteBackend(settings_of(endpoint)) as backend:
        calls_by_name = calls_of(backend)
        for name, call in calls_by_name.items():
            await call(-1)
            await measure_call(name, call)
    print(f'resident MB before the clients {before}, after {resident_mb()}')


async def measure_call(name: str, call: Call) -> None:
    """Print the figures of one kind of call."""
    seconds: list[float] = []
    busy_before = time.process_time()
    for number in range(CALLS):
        began = time.perf_counter()
        await call(number)
        seconds.append(time.perf_counter() - began)
    busy_us = (time.process_time() - busy_before) / CALLS * US_PER_S
    seconds.sort()
    middle = seconds[CALLS // 2] * MS_PER_S
    late = seconds[CALLS * 99 // 100] * MS_PER_S
    print(f'{name}: p50 {middle:.2f} ms, p99 {late:.2f} ms, {busy_us:.0f} us')


def calls_of(backend: Backend) -> dict[str, Call]:
    """Return one call of each kind."""
    key = RowKey('measure', 'row')
    return {
        'get': lambda number: backend.table.get(key),
        'insert': lambda number: backend.table.write(
            PutIfAbsent(RowKey('measure', str(number)), f'n{number}', '{}')
        ),
        'object': lambda number: backend.objects.get('sections/none'),
    }


def settings_of(endpoint: str) -> PlatformSettings:
    """Return the settings of the stand-in."""
    return PlatformSettings(
        table_endpoint=endpoint,
        objects_endpoint=endpoint,
        region='local',
        table='measure',
        bucket='measure',
        access_key='access',
        secret_key='secret',
    )


def measure_document() -> None:
    """Print the time of reading, splitting and assembling a document."""
    text = EXAMPLE.read_text()
    document = documents.parse(text).unwrap()
    sections = split(document)
    jobs = {
        'parse': lambda: documents.parse(text),
        'split': lambda: split(document),
        'assemble': lambda: assemble(sections),
    }
    for name, job in jobs.items():
        micros = min(timeit.repeat(job, number=PARSES)) / PARSES * US_PER_S
        print(f'{name}: {micros:.0f} us')


def resident_mb() -> int:
    """Return the resident memory of this process."""
    lines = Path('/proc/self/status').read_text().splitlines()
    line = next(line for line in lines if line.startswith('VmRSS'))
    return int(line.split()[1]) // KB_PER_MB


def main() -> None:
    """Start the stand-in, measure and stop it."""
    command = (sys.executable, '-m', 'dragonflyknot.stores.standin')
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        try:
            assert child.stdout is not None
            asyncio.run(measure_calls(child.stdout.readline().strip()))
        finally:
            child.terminate()
    measure_document()


if __name__ == '__main__':
    main()
