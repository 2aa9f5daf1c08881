"""A daemon of the project's own interface, with lowered limits."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from clients.forms import MB
from clients.site import MAX_SOCKETS, Watched, set_python_path
from harness.caller import Shot, shoot
from harness.fleet import Fleet, HostSpec

# The process alone takes some 70 MB; the smallest machine has 200.
MEMORY_MB = 160
CLIENT_MEMORY_MB = 16
DOCUMENT = """
[workspaces.studio]
rate = 4000
burst = 8000

[services.booking]

[[routes]]
service = "booking"
method = "GET"
prefix = "/auditions"
priority = 3
timeout_ms = 8000
retries = 3
idempotent = true
"""


@asynccontextmanager
async def own_site() -> AsyncIterator[Watched]:
    """Start a fleet of one host and wait until it serves."""
    set_python_path()
    os.environ['DRAGONFLYKNOT_CLIENT_MEMORY_MB'] = str(CLIENT_MEMORY_MB)
    os.environ['DRAGONFLYKNOT_MAX_SOCKETS'] = str(MAX_SOCKETS)
    fleet = Fleet([HostSpec('a', 'dc1', 'north', 'booking')], DOCUMENT)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(fleet)
        key = await fleet.issue_key('studio')
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1))
        )

        async def ask() -> bool:
            shot = Shot('GET', '/auditions/1')
            edge = fleet.callers('a')
            return (await shoot(session, edge, key, shot)).is_whole

        daemon = Watched(
            fleet.daemons_by_host['a'], _listeners(fleet), MEMORY_MB * MB, ask
        )
        watching = asyncio.create_task(daemon.watch_on())
        stack.callback(watching.cancel)
        await daemon.until_served()
        yield daemon


def _listeners(fleet: Fleet) -> dict[str, str]:
    addresses = fleet.addresses_by_host['a']
    return {
        'callers': addresses.callers,
        'upstream': addresses.upstream,
        'requests': addresses.requests,
        'operators': addresses.operators,
    }
