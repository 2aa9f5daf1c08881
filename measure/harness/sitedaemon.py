"""Run a daemon as the users' platform runs it, and speak for its upstream."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from harness.addresses import free_addresses
from harness.processes import Process, start_program

ENTRY = Path(__file__).parents[2] / 'platform' / 'host.py'
READY_S = 30
POLL_S = 0.1
ANSWER_BYTES = 65536
SERVED = b'HTTP/1.1 200'
SETTINGS = """
node_name = "{host.name}"
zone = "{host.data_center}"
region = "{host.region}"
service = "{host.service}"
ip = "127.0.0.1"
app_addr = "{host.target}"
port_range = [{port}, {port}]
bounds = ["grace={grace_s}s"]
[listen]
outbound = "{host.callers}"
inbound = "{host.peers}"
admin = "{host.upstream}"
readiness = "{host.readiness}"
[platform]
address = "{store}"
{limits}
"""


@dataclass(frozen=True, slots=True)
class SiteDaemon:
    """Hold the place and the addresses of one daemon, as IP:port."""

    name: str
    service: str
    callers: str
    peers: str
    upstream: str
    readiness: str
    operators: str
    target: str
    data_center: str = 'a'
    region: str = 'north'

    async def start(
        self,
        folder: Path,
        store: str,
        program: tuple[str, ...] = (str(ENTRY),),
        grace_s: int = 2,
        limits: str = '',
    ) -> Process:
        """Start the daemon's process; `limits` is a part of its settings."""
        settings = folder / f'{self.name}.toml'
        settings.write_text(
            SETTINGS.format(
                host=self,
                port=self.operators.rpartition(':')[2],
                grace_s=grace_s,
                store=store,
                limits=limits,
            )
        )
        return await start_program(
            self.name,
            [sys.executable, *program],
            folder,
            {'DRAGONFLYKNOT_BOOT': str(settings)},
        )

    async def beat(
        self, instance: str, sequence: int, state: str = 'ready', born: int = 1
    ) -> bool:
        """Announce the upstream; return whether that was acknowledged."""
        body = json.dumps(
            {
                'service': self.service,
                'address': self.target,
                'state': state,
                'slots': 90,
                'sequence': sequence,
                'born': born,
            }
        ).encode()
        head = (
            f'POST /Instances.Heartbeat/{instance} HTTP/1.1\r\nHost: a\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        answer = await exchange(self.upstream, head.encode() + body)
        return answer.startswith(SERVED)

    async def deregister(self, instance: str) -> bool:
        """Let the upstream leave; return whether that was acknowledged."""
        head = (
            f'POST /Instances.Deregister/{instance} HTTP/1.1\r\nHost: a\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        answer = await exchange(self.upstream, head.encode())
        return answer.startswith(SERVED)

    async def until_ready(self) -> None:
        """Wait until the daemon says that it serves callers."""
        question = b'GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n'
        await until_served(self.readiness, question)


def site_daemon(name: str, service: str) -> SiteDaemon:
    """Return a daemon with addresses of its own."""
    return SiteDaemon(name, service, *free_addresses(6))


async def until_served(address: str, request: bytes) -> None:
    """Ask until the answer is 200."""

    async def is_served() -> bool:
        return (await exchange(address, request)).startswith(SERVED)

    await until(is_served, READY_S)


async def until(
    is_so: Callable[[], Awaitable[bool]], deadline_s: float
) -> None:
    """Wait for an event."""
    async with asyncio.timeout(deadline_s):
        while not await is_so():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)


async def exchange(address: str, request: bytes) -> bytes:
    """Send a request on a new connection; return the begin of the answer."""
    ip, _colon, port = address.rpartition(':')
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except ConnectionError:
        return b''
    try:
        writer.write(request)
        return await reader.read(ANSWER_BYTES)
    except ConnectionError:
        return b''
    finally:
        writer.transport.abort()
