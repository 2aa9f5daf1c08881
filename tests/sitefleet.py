"""A site of daemons in one process, with stand-ins around it."""

import asyncio
import itertools
import json
import socket
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field, replace
from typing import Any

from adapter.configuration import decode_configuration
from adapter.dialect import DIALECT
from adapter.storeclient import StoreClient
from dragonflyknot.daemon.sitehost import SiteHost
from dragonflyknot.daemon.sitesettings import SitePlatform, SiteSettings
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.upstreammessages import Heartbeat
from dragonflyknot.exchange.clientmemory import DEFAULT_LIMIT_BYTES
from dragonflyknot.stores.rowstore import RowName
from fakeupstream import FakeUpstream
from harness.addresses import free_port
from rowstandin import RowStandIn, standing_in

READY_DEADLINE_S = 20
HANGING_LINKS = 100


def configuration(
    version: int,
    timeout: str = '2s',
    rate: int = 0,
    keys: tuple[str, ...] = ('key',),
) -> bytes:
    """Return a configuration with a safe, an unsafe and an open route."""
    columns = [
        'name',
        'host',
        'prefix',
        'kind',
        'timeout',
        'aim',
        'priority',
        'service',
        'max_attempts',
        'public',
    ]
    rows = [
        ['read', 'h', '/read/', 'safe', timeout, '1s', 2, 'mine', 2, False],
        ['book', 'h', '/book/', 'unsafe', timeout, '1s', 0, 'mine', 2, False],
        ['open', 'h', '/open/', 'safe', timeout, '1s', 2, 'mine', 2, True],
    ]
    return json.dumps(
        {
            'version': f'r{version}',
            'routes': {'columns': columns, 'rows': rows},
            'services': {
                'columns': ['name', 'health_path'],
                'rows': [['mine', '/healthz']],
            },
            'tenants': {
                'columns': ['name', 'api_keys', 'rate_per_s', 'burst'],
                'rows': [['w', list(keys), rate, rate]],
            },
        }
    ).encode()


@dataclass
class Reply:
    """Hold what a caller got; `status` is 0 where nothing came."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


class SiteFleet:
    """Run daemons of one service, each with its upstream."""

    def __init__(
        self, size: int, *, client_memory_bytes: int = DEFAULT_LIMIT_BYTES
    ) -> None:
        """Prepare a site of so many hosts."""
        self.client_memory_bytes = client_memory_bytes
        self.store = RowStandIn()
        self.upstreams = [FakeUpstream(f'i-{n}') for n in range(size)]
        self.settings: list[SiteSettings] = []
        self.hosts: list[SiteHost] = []
        self.stack = AsyncExitStack()
        self.store_port = free_port()
        self._store_stack = AsyncExitStack()
        self._sequence = 0
        self._attempts = itertools.count()

    async def __aenter__(self) -> 'SiteFleet':
        """Start the store, the upstreams and the daemons."""
        self.store.write('op', 'config', configuration(1))
        await self.start_store()
        for number in range(len(self.upstreams)):
            await self._prepare(number)
            await self.start(number)
        await self.until(self.all_know)
        return self

    async def __aexit__(self, *_details: object) -> None:
        """Stop everything."""
        for host in self.hosts:
            await host.__aexit__(None, None, None)
        await self.stack.aclose()
        await self._store_stack.aclose()
        # The transports that were aborted end in the next rounds.
        await asyncio.sleep(0.05)

    async def add(self) -> SiteHost:
        """Add a host whose upstream has not announced itself."""
        number = len(self.upstreams)
        self.upstreams.append(FakeUpstream(f'i-{number}'))
        await self._prepare(number)
        host = await self.start(number, is_announced=False)
        await self.until(self.all_ready)
        return host

    async def _prepare(self, number: int) -> None:
        port = free_port()
        upstream = self.upstreams[number]
        await self.stack.enter_async_context(upstream.listening(port))
        settings = replace(
            _settings(number, port),
            client_memory_bytes=self.client_memory_bytes,
        )
        self.settings.append(settings)

    async def start_store(self) -> None:
        """Serve the store."""
        await self._store_stack.enter_async_context(
            standing_in(self.store, self.store_port)
        )

    async def stop_store(self) -> None:
        """Let nobody reach the store."""
        await self._store_stack.aclose()

    async def start(
        self, number: int, *, is_announced: bool = True
    ) -> SiteHost:
        """Start a daemon and let its upstream announce itself, if asked."""
        store = StoreClient(f'127.0.0.1:{self.store_port}')
        platform = SitePlatform(
            store=store,
            dialect=DIALECT,
            configuration_row=RowName('op', 'config'),
            hosts_table='hosts',
            decode_configuration=decode_configuration,
        )
        host = SiteHost(self.settings[number], platform)
        await host.__aenter__()
        self.hosts[number : number + 1] = [host]
        if is_announced:
            await self.announce(number)
        return host

    async def restart(self, number: int) -> SiteHost:
        """End the process of a host, and start the next one."""
        await self.hosts[number].__aexit__(None, None, None)
        host = await self.start(number, is_announced=False)
        await self.until(self.all_ready)
        return host

    async def lose(self, host: SiteHost, *, hangs: bool = False) -> None:
        """End a host for good; its address may accept for ever."""
        number = self.hosts.index(host)
        for parts in (self.hosts, self.settings, self.upstreams):
            parts.pop(number)
        await host.__aexit__(None, None, None)
        if hangs:
            self.stack.enter_context(_hanging(host.settings.peers_listen))

    def hosts_in_order(self) -> list[SiteHost]:
        """Return the hosts in the order that they all derive."""
        return sorted(
            self.hosts, key=lambda host: position_of(host.settings.host)
        )

    async def replace(self, number: int, name: str) -> SiteHost:
        """End a host for good, and start another one at its addresses."""
        await self.hosts[number].__aexit__(None, None, None)
        self.settings[number] = replace(self.settings[number], host=name)
        self.upstreams[number].instance = f'i-{name}'
        return await self.start(number)

    async def announce(
        self,
        number: int,
        state: UpstreamState = UpstreamState.READY,
        slots: int = 10,
    ) -> None:
        """Let an upstream announce itself."""
        beat = self.heartbeat(number, state, slots)
        await self.hosts[number].handle_heartbeat(beat)

    def heartbeat(
        self,
        number: int,
        state: UpstreamState = UpstreamState.READY,
        slots: int = 10,
        born: int = 1,
    ) -> Heartbeat:
        """Return the next heartbeat of an upstream, not sent yet."""
        self._sequence += 1
        settings = self.settings[number]
        return Heartbeat(
            instance=self.upstreams[number].instance,
            service=settings.service,
            address=settings.upstream_address,
            born=born,
            sequence=self._sequence,
            state=state,
            slots=slots,
        )

    def all_ready(self) -> bool:
        """Tell whether all daemons serve callers."""
        return all(host.is_ready for host in self.hosts)

    def all_have(self, version: int) -> bool:
        """Tell whether all daemons have a version of the configuration."""
        return all(host.policy.version == version for host in self.hosts)

    def all_know(self) -> bool:
        """Tell whether all daemons know each other and the configuration."""
        return all(
            host.is_ready and len(host.members.entries()) == len(self.hosts)
            for host in self.hosts
        )

    async def until(self, is_so: Any) -> None:
        """Wait until something has come about."""
        async with asyncio.timeout(READY_DEADLINE_S):
            while not is_so():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def ask(
        self,
        number: int = 0,
        path: str = '/read/x',
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> Reply:
        """Send a request on a connection of its own; read the answer."""
        address = self.settings[number].callers_listen
        ip, _colon, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        sent = {
            'Host': 'h',
            'Attempt-Id': f'a{next(self._attempts)}',
            'Request-Deadline': '3000',
            'Key': 'key',
            **{name.replace('_', '-'): one for name, one in headers.items()},
        }
        lines = ''.join(
            f'{name}: {one}\r\n' for name, one in sent.items() if one
        )
        head = f'{method} {path} HTTP/1.1\r\n{lines}'
        if body:
            head += f'Content-Length: {len(body)}\r\n'
        try:
            writer.write(f'{head}Connection: close\r\n\r\n'.encode() + body)
            return _reply(await reader.read(-1))
        finally:
            writer.transport.abort()


def _settings(number: int, upstream_port: int) -> SiteSettings:
    return SiteSettings(
        host=f'host-{number}',
        data_center='a',
        region='north',
        service='mine',
        upstream_address=f'127.0.0.1:{upstream_port}',
        callers_listen=f'127.0.0.1:{free_port()}',
        peers_listen=f'127.0.0.1:{free_port()}',
        upstream_listen=f'127.0.0.1:{free_port()}',
        readiness_listen=f'127.0.0.1:{free_port()}',
        operators_listen=f'127.0.0.1:{free_port()}',
    )


@contextmanager
def _hanging(address: str) -> Iterator[None]:
    """Let connections to an address open, and answer nothing."""
    ip, _colon, port = address.rpartition(':')
    with socket.create_server((ip, int(port)), backlog=HANGING_LINKS):
        yield


def _reply(received: bytes) -> Reply:
    head, _blank, body = received.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    if not lines[0]:
        return Reply(0)
    pairs = (line.partition(':') for line in lines[1:])
    headers = {name.lower(): one.strip() for name, _colon, one in pairs}
    return Reply(int(lines[0].split()[1]), headers, body)
