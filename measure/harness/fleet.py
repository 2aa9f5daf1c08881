"""Start a fleet: the platform's stand-in, daemons and fake upstreams.

Daemons and the stand-in are separate processes. The upstreams run inside
the harness, so that tests can read their ledgers.
"""

import asyncio
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType

import aiohttp
from result import Err, Ok

from dragonflyknot.operators import document as documents
from dragonflyknot.operators.clock import system_clock
from dragonflyknot.operators.document import Document
from dragonflyknot.operators.dump import Dump
from dragonflyknot.operators.keys import Keys
from dragonflyknot.operators.revisions import Change, Revisions
from dragonflyknot.stores.backends import Backend, RemoteBackend
from dragonflyknot.stores.settings import PlatformSettings
from harness.addresses import LOOPBACK, free_addresses
from harness.processes import Process, start_module
from harness.upstream import Upstream, UpstreamSpec

FLEET_SECRET = 'fleet-secret-for-loopback'
ENVIRONMENT = 'production'
READY_TIMEOUT_S = 60
POLL_S = 0.1
TABLE = 'dragonflyknot'


@dataclass(frozen=True, slots=True)
class HostSpec:
    """Describe a host; an empty service means that no upstream runs."""

    host: str
    data_center: str
    region: str
    service: str = ''
    slots: int = 90
    service_time_s: float = 0.005


@dataclass(frozen=True, slots=True)
class Addresses:
    """Hold the listeners of one host, each as IP:port."""

    callers: str
    upstream: str
    requests: str
    control: str
    operators: str
    service: str


@dataclass(slots=True)
class Fleet:
    """Own the processes of a fleet; an asynchronous context manager.

    `advertised_by_host` replaces the addresses of forwarded requests, and
    `advertised_control_by_host` those of control, for instance by relays.
    """

    specs: list[HostSpec]
    document: str
    extra_flags: tuple[str, ...] = ()
    advertised_by_host: dict[str, str] = field(default_factory=dict)
    advertised_control_by_host: dict[str, str] = field(default_factory=dict)
    addresses_by_host: dict[str, Addresses] = field(default_factory=dict)
    daemons_by_host: dict[str, Process] = field(default_factory=dict)
    upstreams_by_host: dict[str, Upstream] = field(default_factory=dict)
    platform_address: str = ''
    folder: Path = field(default_factory=Path)
    _stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    _backend: Backend | None = None

    def __post_init__(self) -> None:
        """Choose an address for every listener."""
        for spec in self.specs:
            self.addresses_by_host[spec.host] = Addresses(*free_addresses(6))
        self.platform_address = free_addresses(1)[0]

    async def __aenter__(self) -> 'Fleet':
        """Start everything, put the document in force and wait for it."""
        folder = tempfile.TemporaryDirectory(prefix='dragonflyknot-')
        self.folder = Path(self._stack.enter_context(folder))
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop everything."""
        await self._stack.aclose()

    async def _start(self) -> None:
        _, _, port = self.platform_address.rpartition(':')
        standin = await start_module(
            'standin',
            'dragonflyknot.stores.standin',
            ['--port', port],
            self.folder,
        )
        self._stack.push_async_callback(standin.stop)
        await self._until_answered(
            f'http://{self.platform_address}/.standin/switches'
        )
        remote = RemoteBackend(platform_settings(self.platform_address))
        self._backend = await self._stack.enter_async_context(remote)
        await self.promote(self.document, base=0)
        await asyncio.gather(*(self.start_daemon(one) for one in self.specs))
        self._stack.push_async_callback(self._stop_daemons)
        for spec in self.specs:
            if spec.service:
                await self.start_upstream(spec)
        await self.ready()
        await self.introduced()

    async def start_daemon(self, spec: HostSpec) -> None:
        """Start the daemon of a host, again if it has ended."""
        self.daemons_by_host[spec.host] = await start_module(
            spec.host,
            'dragonflyknot.daemon.main',
            self._flags(spec),
            self.folder,
        )

    async def start_upstream(self, spec: HostSpec) -> None:
        """Start the fake upstream of a host."""
        addresses = self.addresses_by_host[spec.host]
        upstream = Upstream(
            UpstreamSpec(
                service=spec.service,
                address=addresses.service,
                daemon=addresses.upstream,
                slots=spec.slots,
                service_time_s=spec.service_time_s,
            )
        )
        self.upstreams_by_host[spec.host] = upstream
        await self._stack.enter_async_context(upstream)

    async def ready(self) -> None:
        """Wait until every daemon says that it is ready."""
        await asyncio.gather(
            *(
                self._until_answered(f'http://{addresses.operators}/ready')
                for addresses in self.addresses_by_host.values()
            )
        )

    async def introduced(self) -> None:
        """Wait until every daemon knows every service of the fleet."""
        services = {spec.service for spec in self.specs if spec.service}
        async with asyncio.timeout(READY_TIMEOUT_S):
            for spec in self.specs:
                while await self._known_services(spec) != services:  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)

    async def promote(self, document: str, base: int) -> int:
        """Put a document in force; return its revision number."""
        change = Change(
            environment=ENVIRONMENT,
            document=parsed(document),
            base=base,
            operator='harness',
            reason='a measured fleet has no trial',
            force=True,
        )
        match await Revisions(self.backend, system_clock()).accept(change):
            case Ok(accepted):
                return accepted.revision.number
            case Err(error):
                raise RuntimeError(str(error))

    async def issue_key(self, workspace: str) -> str:
        """Return a new key of a workspace."""
        match await self._keys().issue(workspace):
            case Ok(issued):
                return issued.key
            case Err(error):
                raise RuntimeError(str(error))

    async def withdraw_key(self, key: str) -> None:
        """Withdraw a key."""
        match await self._keys().withdraw(key):
            case Ok():
                return
            case Err(error):
                raise RuntimeError(str(error))

    async def dump(self, host: str) -> Dump:
        """Return the state dump of a daemon."""
        url = f'http://{self.addresses_by_host[host].operators}/dump'
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                return Dump.model_validate(await answer.json())

    def runs_by_tag(self) -> Counter[str]:
        """Return how often each tagged request ran, over all upstreams."""
        total: Counter[str] = Counter()
        for upstream in self.upstreams_by_host.values():
            total.update(upstream.ledger.runs_by_tag)
        return total

    async def stop_daemon(self, host: str) -> int:
        """Stop a daemon gracefully; return its exit code."""
        return await self.daemons_by_host[host].stop()

    async def switch_platform(self, **switches: object) -> None:
        """Set the faults of the table and of the objects alike."""
        async with aiohttp.ClientSession() as session:
            for service in ('table', 'objects'):
                async with session.put(
                    f'http://{self.platform_address}/.standin/switches',
                    json={service: switches},
                ) as answer:
                    answer.raise_for_status()

    @property
    def backend(self) -> Backend:
        """Return the platform that the fleet uses."""
        if self._backend is None:
            raise RuntimeError('Enter the fleet before using its platform.')
        return self._backend

    def callers(self, host: str) -> str:
        """Return where a daemon serves callers, as IP:port."""
        return self.addresses_by_host[host].callers

    async def _known_services(self, spec: HostSpec) -> set[str]:
        dump = await self.dump(spec.host)
        known = {member.service for member in dump.members}
        return {*known, *dump.services} - {''}

    def _keys(self) -> Keys:
        return Keys(self.backend.table, ENVIRONMENT, system_clock())

    def _flags(self, spec: HostSpec) -> list[str]:
        addresses = self.addresses_by_host[spec.host]
        store_region = self.specs[0].region
        flags_by_name = {
            'host': spec.host,
            'data-center': spec.data_center,
            'region': spec.region,
            'environment': ENVIRONMENT,
            'callers-listen': addresses.callers,
            'upstream-listen': addresses.upstream,
            'requests-listen': addresses.requests,
            'control-listen': addresses.control,
            'operators-listen': addresses.operators,
            'requests-advertise': self.advertised_by_host.get(spec.host, ''),
            'control-advertise': self.advertised_control_by_host.get(
                spec.host, ''
            ),
            'seeds': ','.join(self._seeds(spec)),
            'fleet-secret': FLEET_SECRET,
            'store-region': store_region,
            'table-endpoint': f'http://{self.platform_address}',
            'objects-endpoint': f'http://{self.platform_address}',
            'access-key': 'test',
            'secret-key': 'test',
        }
        flags = [f'--{name}={text}' for name, text in flags_by_name.items()]
        return [*flags, *self.extra_flags]

    def _seeds(self, spec: HostSpec) -> list[str]:
        return [
            self.advertised_control_by_host.get(
                other.host, self.addresses_by_host[other.host].control
            )
            for other in self.specs[:4]
            if other.host != spec.host
        ]

    async def _stop_daemons(self) -> None:
        await asyncio.gather(
            *(daemon.stop() for daemon in self.daemons_by_host.values())
        )

    async def _until_answered(self, url: str) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            async with aiohttp.ClientSession() as session:
                while not await _is_ok(session, url):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)


def parsed(text: str) -> Document:
    """Return a document that is known to be right."""
    match documents.parse(text):
        case Ok(document):
            return document
        case Err(faults):
            raise ValueError(str(faults))


def platform_settings(address: str) -> PlatformSettings:
    """Return the settings of the stand-in at an address (IP:port)."""
    return PlatformSettings(
        table_endpoint=f'http://{address}',
        objects_endpoint=f'http://{address}',
        region='local',
        table=TABLE,
        bucket=TABLE,
        access_key='test',
        secret_key='test',
    )


def spread_hosts(services: dict[str, HostSpec]) -> list[HostSpec]:
    """Return one host a service in each of four data centres."""
    places = (
        ('dc1', 'north'),
        ('dc2', 'north'),
        ('dc3', 'south'),
        ('dc4', 'south'),
    )
    return [
        HostSpec(
            host=f'{service}-{data_center}',
            data_center=data_center,
            region=region,
            service=service,
            slots=model.slots,
            service_time_s=model.service_time_s,
        )
        for service, model in services.items()
        for data_center, region in places
    ]


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError):
        return False


__all__ = ['LOOPBACK', 'Fleet', 'HostSpec', 'spread_hosts']
