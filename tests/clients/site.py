"""One daemon as a process, with lowered limits, and a crowd beside it."""

import asyncio
import contextlib
import itertools
import os
import sys
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Coroutine,
    Iterable,
)
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from childenviron import process_environ
from clients import crowd
from clients.forms import MB
from fakeupstream import FakeUpstream
from harness.addresses import free_port
from harness.processes import Process
from harness.sitedaemon import SERVED, SiteDaemon, exchange, site_daemon
from rowstandin import RowStandIn, standing_in
from sitefleet import configuration

# The smallest machine of the pages has 200 MB and 4,100 descriptors, of which
# 200 are for files. Half of the memory shows the fault with few clients.
MEMORY_MB = 100
MAX_SOCKETS = 300
FILES = 200
LIMITS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_SOCKETS + FILES}
"""
# Guard against a hang; nothing here depends on how long things take.
DEADLINE_S = 120
BEAT_S = 0.5
POLL_S = 0.05


def run(coroutine: Coroutine[object, object, None]) -> None:
    """Run a test to its end."""
    asyncio.run(asyncio.wait_for(coroutine, DEADLINE_S))


@dataclass
class Watched:
    """Own a daemon's process and note what it holds at most.

    `ask` sends one ordinary request and returns whether it was served.
    """

    process: Process
    addresses_by_listener: dict[str, str]
    memory_bytes: int
    ask: Callable[[], Awaitable[bool]]
    most_bytes: int = 0
    most_sockets: int = 0

    async def until_served(self) -> None:
        """Ask until one request was served."""
        while not await self.ask():
            assert self.process.is_running
            await asyncio.sleep(POLL_S)

    def watch_once(self) -> None:
        """Note what the process and its sockets hold, and how many these are.

        The process's memory is the most that it ever had.
        """
        pid = self.process.pid
        queued_bytes = _queued_bytes(self.addresses_by_listener.values())
        held_bytes = _peak_bytes(pid) + queued_bytes
        self.most_bytes = max(self.most_bytes, held_bytes)
        self.most_sockets = max(self.most_sockets, _sockets(pid))

    async def watch_on(self) -> None:
        """Watch until the process has ended."""
        while self.process.is_running:
            with contextlib.suppress(FileNotFoundError):
                self.watch_once()
            await asyncio.sleep(POLL_S)


@dataclass
class ClientSite:
    """Hold a daemon and its upstream."""

    daemon: SiteDaemon
    upstream: FakeUpstream
    watched: Watched

    async def figure(self, name: str) -> float:
        """Return a figure of the operators' listener."""
        question = b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n'
        text = (await exchange(self.daemon.operators, question)).decode()
        lines = dict(
            line.rsplit(' ', 1) for line in text.split('\n') if ' ' in line
        )
        return float(lines[f'dragonflyknot_{name}'])


@asynccontextmanager
async def client_site(route_timeout: str = '5s') -> AsyncIterator[ClientSite]:
    """Start a site of one host, with this timeout of its routes."""
    store = RowStandIn()
    store.write('op', 'config', configuration(1, timeout=route_timeout))
    daemon = site_daemon('host', 'mine')
    upstream = FakeUpstream('i-1')
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        store_port = free_port()
        await stack.enter_async_context(standing_in(store, store_port))
        port = int(daemon.target.rpartition(':')[2])
        await stack.enter_async_context(upstream.listening(port))
        set_python_path()
        process = await daemon.start(
            folder, f'127.0.0.1:{store_port}', limits=LIMITS
        )
        stack.push_async_callback(process.kill)
        watched = Watched(
            process, _listeners(daemon), MEMORY_MB * MB, asking(daemon)
        )
        for work in (_beat_on(daemon), watched.watch_on()):
            task = asyncio.create_task(work)
            stack.callback(task.cancel)
        await watched.until_served()
        yield ClientSite(daemon, upstream, watched)


def set_python_path() -> None:
    """Let processes that are started later find the same packages."""
    os.environ['PYTHONPATH'] = process_environ()['PYTHONPATH']


def asking(daemon: SiteDaemon) -> Callable[[], Awaitable[bool]]:
    """Return a function that asks a daemon as an ordinary caller does."""
    attempts = itertools.count()

    async def ask() -> bool:
        request = (
            'GET /read/x HTTP/1.1\r\nHost: h\r\nKey: key\r\n'
            f'Attempt-Id: o{next(attempts)}\r\n'
            'Request-Deadline: 5000\r\nConnection: close\r\n\r\n'
        )
        answer = await exchange(daemon.callers, request.encode())
        return answer.startswith(SERVED)

    return ask


def _listeners(daemon: SiteDaemon) -> dict[str, str]:
    """Return the addresses that others connect to, by their use."""
    return {
        'callers': daemon.callers,
        'peers': daemon.peers,
        'upstream': daemon.upstream,
        'readiness': daemon.readiness,
        'operators': daemon.operators,
    }


@dataclass
class Crowd:
    """Follow a crowd by what it reports."""

    reader: asyncio.StreamReader
    closed: int = 0
    has_pressed: bool = False

    async def until_pressed(self) -> None:
        """Wait until no client of the crowd sends on."""
        while not self.has_pressed:
            await self._read()

    async def until_closed(self, count: int) -> None:
        """Wait until so many clients of the crowd were closed."""
        while self.closed < count:
            await self._read()

    async def _read(self) -> None:
        closed, has_pressed = (await self.reader.readline()).split()
        self.closed = int(closed)
        self.has_pressed = self.has_pressed or has_pressed == b'1'


@asynccontextmanager
async def crowding(address: str, count: int, name: str) -> AsyncIterator[Crowd]:
    """Run a crowd; its clients leave at the end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        crowd.__file__,
        address,
        str(count),
        name,
        stdout=asyncio.subprocess.PIPE,
        env=process_environ(),
    )
    assert process.stdout is not None
    try:
        yield Crowd(process.stdout)
    finally:
        process.kill()
        await process.wait()


async def _beat_on(daemon: SiteDaemon) -> None:
    """Speak for the upstream."""
    for sequence in itertools.count(1):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(2):
                await daemon.beat('i-1', sequence)
        await asyncio.sleep(BEAT_S)


def _peak_bytes(pid: int) -> int:
    """Return the most resident memory that a process ever had."""
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0]) * 1024


def _queued_bytes(addresses: Iterable[str]) -> int:
    """Return the bytes that wait in the kernel at the daemon's side."""
    ports = {int(address.rpartition(':')[2]) for address in addresses}
    total = 0
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        _number, local, _remote, _state, queues, *_rest = line.split()
        if int(local.partition(':')[2], 16) in ports:
            sent, _colon, received = queues.partition(':')
            total += int(sent, 16) + int(received, 16)
    return total


def _sockets(pid: int) -> int:
    """Return how many sockets a process has."""
    folder = Path(f'/proc/{pid}/fd')
    count = 0
    for entry in folder.iterdir():
        with contextlib.suppress(FileNotFoundError):
            count += str(entry.readlink()).startswith('socket:')
    return count
