"""Fetch and install accepted configuration revisions, never a lower one.

A revision is announced by gossip or read from the object store. Its manifest
and sections are content-addressed, so any source can be used: each is
requested first from peers that know the revision, then from the store, and
is retried until all content is present or a higher revision supersedes this
one. Sections shared with the installed revision are not fetched again.
"""

from dataclasses import dataclass, field
from hashlib import sha256

from dragonflyknot.decisions.document import (
    NO_REVISION,
    Configuration,
    Revision,
)
from dragonflyknot.decisions.randomness import Randomness

FETCH_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.3
MAX_SOURCES = 8
PEER_FETCHES_PER_CYCLE = 2


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """Report a known revision; `host` is empty if it came from the store."""

    revision: Revision
    host: str = ''


@dataclass(frozen=True, slots=True)
class ContentFetched:
    """Report content that a peer or the store sent."""

    digest: str
    content: bytes


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """Report that a fetch from a peer or the store (empty host) failed."""

    digest: str
    host: str = ''


@dataclass(frozen=True, slots=True)
class ManifestRead:
    """Report the digests of the sections that a manifest lists."""

    digest: str
    sections: frozenset[str]


@dataclass(frozen=True, slots=True)
class Assembled:
    """Report the configuration built from all sections of a revision."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ClockTicked:
    """Report that time has passed, so that due fetches are retried."""


ConfigurationEvent = (
    RevisionSeen
    | ContentFetched
    | FetchFailed
    | ManifestRead
    | Assembled
    | ClockTicked
)


@dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Request content from a peer."""

    host: str
    digest: str


@dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Request content from the object store."""

    digest: str


@dataclass(frozen=True, slots=True)
class ReadManifest:
    """Request the sections of a manifest; `ManifestRead` reports them."""

    digest: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Assemble:
    """Request the built configuration; `Assembled` reports it."""

    revision: Revision
    content_by_digest: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class Install:
    """Make a configuration the active one."""

    configuration: Configuration


ConfigurationCommand = (
    FetchFromPeer | FetchFromStore | ReadManifest | Assemble | Install
)


@dataclass(slots=True)
class _Fetch:
    attempts: int = 0
    due_at: float = 0
    failed: set[str] = field(default_factory=set)


class ConfigurationSync:
    """Install the highest revision that has been seen."""

    def __init__(self) -> None:
        """Start without a revision."""
        self._seen = NO_REVISION
        self._installed = NO_REVISION
        self._sources: list[str] = []
        self._sections: frozenset[str] | None = None
        self._fetches_by_digest: dict[str, _Fetch] = {}
        self._content_by_digest: dict[str, bytes] = {}
        self._commands: list[ConfigurationCommand] = []

    @property
    def seen(self) -> Revision:
        """Return the highest revision that has been seen."""
        return self._seen

    @property
    def installed(self) -> Revision:
        """Return the active revision."""
        return self._installed

    def content(self, digest: str) -> bytes | None:
        """Return a stored manifest or section, or None if it is unknown."""
        return self._content_by_digest.get(digest)

    def handle(
        self, event: ConfigurationEvent, now: float, rng: Randomness
    ) -> tuple[ConfigurationCommand, ...]:
        """Handle an event; return the commands to carry out."""
        self._commands = []
        match event:
            case RevisionSeen(revision, host):
                self._record_revision(revision, host)
            case ContentFetched(digest, content):
                self._store_content(digest, content)
            case FetchFailed(digest, host):
                self._note_failure(digest, host, now)
            case ManifestRead(digest, sections):
                self._record_sections(digest, sections)
            case Assembled(configuration):
                self._install(configuration)
            case ClockTicked():
                pass
        self._start_due_fetches(now, rng)
        return tuple(self._commands)

    def _record_revision(self, revision: Revision, host: str) -> None:
        if revision.number > self._seen.number:
            self._seen = revision
            self._sources = []
            self._sections = None
            self._fetches_by_digest = {revision.digest: _Fetch()}
            self._request_manifest_read()
        is_source = host and revision.number == self._seen.number
        if is_source and host not in self._sources:
            self._sources = [*self._sources, host][-MAX_SOURCES:]

    def _store_content(self, digest: str, content: bytes) -> None:
        if digest not in self._fetches_by_digest:
            return
        if sha256(content).hexdigest() != digest:
            return
        self._fetches_by_digest.pop(digest)
        self._content_by_digest[digest] = content
        if digest == self._seen.digest:
            self._request_manifest_read()
        else:
            self._request_assembly()

    def _note_failure(self, digest: str, host: str, now: float) -> None:
        fetch = self._fetches_by_digest.get(digest)
        if fetch is not None:
            fetch.failed.add(host)
            fetch.due_at = min(fetch.due_at, now + RETRY_DELAY_S)

    def _record_sections(self, digest: str, sections: frozenset[str]) -> None:
        if digest == self._seen.digest and self._sections is None:
            self._sections = sections
            missing = sections - self._content_by_digest.keys()
            self._fetches_by_digest = {name: _Fetch() for name in missing}
            self._request_assembly()

    def _request_manifest_read(self) -> None:
        content = self._content_by_digest.get(self._seen.digest)
        if content is not None:
            self._fetches_by_digest.pop(self._seen.digest, None)
            self._commands.append(ReadManifest(self._seen.digest, content))

    def _request_assembly(self) -> None:
        if self._sections is None or self._fetches_by_digest:
            return
        names = (self._seen.digest, *sorted(self._sections))
        content_by_digest = {
            name: self._content_by_digest[name] for name in names
        }
        self._commands.append(Assemble(self._seen, content_by_digest))

    def _install(self, configuration: Configuration) -> None:
        revision = configuration.revision
        if revision != self._seen or self._installed == revision:
            return
        self._installed = revision
        referenced = {revision.digest, *(self._sections or ())}
        self._content_by_digest = {
            digest: content
            for digest, content in self._content_by_digest.items()
            if digest in referenced
        }
        self._commands.append(Install(configuration))

    def _start_due_fetches(self, now: float, rng: Randomness) -> None:
        for digest, fetch in self._fetches_by_digest.items():
            if now >= fetch.due_at:
                fetch.due_at = now + FETCH_TIMEOUT_S
                self._commands.append(self._next_fetch(digest, fetch, rng))

    def _next_fetch(
        self, digest: str, fetch: _Fetch, rng: Randomness
    ) -> ConfigurationCommand:
        """Return the next fetch: some from peers, one from the store, again."""
        position = fetch.attempts % (PEER_FETCHES_PER_CYCLE + 1)
        fetch.attempts += 1
        sources = [
            host for host in self._sources if host not in fetch.failed
        ] or self._sources
        if position == PEER_FETCHES_PER_CYCLE or not sources:
            fetch.failed.clear()
            return FetchFromStore(digest)
        return FetchFromPeer(sources[rng.randrange(len(sources))], digest)
