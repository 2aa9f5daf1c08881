"""Run the configuration state machine against peers and the store."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from result import Err, Ok

from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions import configuration as sync
from dragonflyknot.decisions.document import Configuration, Revision
from dragonflyknot.operators.sections import (
    Sections,
    assemble,
    digests_in,
    object_key,
)
from dragonflyknot.peers.controlclient import ControlClient
from dragonflyknot.peers.directory import Directory
from dragonflyknot.stores.backends import Backend
from dragonflyknot.stores.rows import document_key, revision_of

TICK_S = 0.25
POLL_INTERVAL_S = 2.0
SPREAD = 0.5

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ConfigurationPorts:
    """Bundle the sources of configurations and who takes them in."""

    environment: str
    backend: Backend
    client: ControlClient
    directory: Directory
    install: Callable[[Configuration], None]
    learn_revision: Callable[[Revision], None]


class ConfigurationLoop:
    """Own the way of configurations into force; a context manager."""

    def __init__(self, ports: ConfigurationPorts) -> None:
        """Keep the ports; start without a configuration."""
        self._ports = ports
        self._machine = sync.ConfigurationSync()
        self._rng = random.Random()
        self._tasks = Tasks()
        self.poll_interval_s = POLL_INTERVAL_S

    async def __aenter__(self) -> 'ConfigurationLoop':
        """Start to poll the store and to try fetches again."""
        await self._tasks.__aenter__()
        self._tasks.start(self._tick())
        self._tasks.start(self._poll())
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop all fetches."""
        await self._tasks.__aexit__(*details)

    @property
    def machine(self) -> sync.ConfigurationSync:
        """Return the state machine for dumps."""
        return self._machine

    def see(self, revision: Revision, host: str) -> None:
        """Take in a revision that a peer knows."""
        self._feed(sync.RevisionSeen(revision, host))

    def _feed(self, event: sync.ConfigurationEvent) -> None:
        now = time.monotonic()
        for command in self._machine.handle(event, now, self._rng):
            self._carry_out(command)

    def _carry_out(self, command: sync.ConfigurationCommand) -> None:
        match command:
            case sync.FetchFromPeer(host, digest):
                self._tasks.start(self._fetch_from_peer(host, digest))
            case sync.FetchFromStore(digest):
                self._tasks.start(self._fetch_from_store(digest))
            case sync.ReadManifest(digest, content):
                self._read_manifest(digest, content)
            case sync.Assemble():
                self._assemble(command)
            case sync.Install(configuration):
                self._ports.install(configuration)

    async def _tick(self) -> None:
        while True:
            self._feed(sync.ClockTicked())
            await asyncio.sleep(TICK_S)

    async def _poll(self) -> None:
        while True:
            await self._read_revision()
            spread = 1 + SPREAD * self._rng.random()
            await asyncio.sleep(self.poll_interval_s * spread)

    async def _read_revision(self) -> None:
        table = self._ports.backend.table
        row = await table.get(document_key(self._ports.environment))
        if isinstance(row, Err) or row.ok_value is None:
            return
        revision = revision_of(row.ok_value)
        if isinstance(revision, Err):
            _log.error('document_row_unreadable', reason=str(revision.err()))
            return
        self._ports.learn_revision(revision.ok_value)
        self._feed(sync.RevisionSeen(revision.ok_value))

    async def _fetch_from_peer(self, host: str, digest: str) -> None:
        address = self._ports.directory.address(host)
        if address is None:
            self._feed(sync.FetchFailed(digest, host))
            return
        content = await self._ports.client.content(
            address.control, digest, sync.FETCH_TIMEOUT_S
        )
        match content:
            case Ok(fetched):
                self._feed(sync.ContentFetched(digest, fetched))
            case Err():
                self._feed(sync.FetchFailed(digest, host))

    async def _fetch_from_store(self, digest: str) -> None:
        content = await self._ports.backend.objects.get(object_key(digest))
        match content.ok():
            case bytes(fetched):
                self._feed(sync.ContentFetched(digest, fetched))
            case _:
                self._feed(sync.FetchFailed(digest))

    def _read_manifest(self, digest: str, content: bytes) -> None:
        match digests_in(digest, content):
            case Ok(sections):
                self._feed(sync.ManifestRead(digest, sections))
            case Err(error):
                _log.error('manifest_unreadable', reason=str(error))

    def _assemble(self, command: sync.Assemble) -> None:
        sections = Sections(command.revision.digest, command.content_by_digest)
        match assemble(sections):
            case Ok(document):
                configuration = document.configuration(command.revision)
                self._feed(sync.Assembled(configuration))
            case Err(error):
                _log.error('document_unusable', reason=str(error))
