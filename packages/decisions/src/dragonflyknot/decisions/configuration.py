"""Fetch and install accepted revisions, never a lower one.

A revision is heard of by gossip or read from the store. Its manifest and
sections are content-addressed, so it does not matter who sends them: each
is asked of peers that know the revision first and of the store after them,
again and again until all are there or a higher revision takes its place.
Sections that the revision in force shares are not fetched again.
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
RETRY_S = 0.3
MAX_SOURCES = 8
PEER_TRIES = 2


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """Report a revision; `host` is empty if the store told it."""

    revision: Revision
    host: str = ''


@dataclass(frozen=True, slots=True)
class ContentFetched:
    """Report a content that a peer or the store sent."""

    digest: str
    content: bytes


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """Report that a peer or the store (empty host) has no answer."""

    digest: str
    host: str = ''


@dataclass(frozen=True, slots=True)
class ManifestRead:
    """Report the digests of the sections that a manifest names."""

    digest: str
    sections: frozenset[str]


@dataclass(frozen=True, slots=True)
class Assembled:
    """Report the configuration made from all sections of a revision."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ClockTicked:
    """Let time pass, so that fetches are tried again."""


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
    """Ask a peer for a content."""

    host: str
    digest: str


@dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Ask the object store for a content."""

    digest: str


@dataclass(frozen=True, slots=True)
class ReadManifest:
    """Name the sections in a manifest with `ManifestRead`."""

    digest: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Assemble:
    """Make the configuration and report it with `Assembled`."""

    revision: Revision
    content_by_digest: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class Install:
    """Put a configuration in force."""

    configuration: Configuration


ConfigurationCommand = (
    FetchFromPeer | FetchFromStore | ReadManifest | Assemble | Install
)


@dataclass(slots=True)
class _Fetch:
    tries: int = 0
    due_at: float = 0
    failed: set[str] = field(default_factory=set)


class ConfigurationSync:
    """Follow the highest revision that was ever seen."""

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
        """Return the highest revision that was seen."""
        return self._seen

    @property
    def installed(self) -> Revision:
        """Return the revision in force."""
        return self._installed

    def content(self, digest: str) -> bytes | None:
        """Return a manifest or section for a peer that asks."""
        return self._content_by_digest.get(digest)

    def handle(
        self, event: ConfigurationEvent, now: float, rng: Randomness
    ) -> tuple[ConfigurationCommand, ...]:
        """Take in an event; return what to fetch, make or install."""
        self._commands = []
        match event:
            case RevisionSeen(revision, host):
                self._see(revision, host)
            case ContentFetched(digest, content):
                self._keep(digest, content)
            case FetchFailed(digest, host):
                self._note_failure(digest, host, now)
            case ManifestRead(digest, sections):
                self._read(digest, sections)
            case Assembled(configuration):
                self._install(configuration)
            case ClockTicked():
                pass
        self._fetch(now, rng)
        return tuple(self._commands)

    def _see(self, revision: Revision, host: str) -> None:
        if revision.number > self._seen.number:
            self._seen = revision
            self._sources = []
            self._sections = None
            self._fetches_by_digest = {revision.digest: _Fetch()}
            self._offer_manifest()
        is_source = host and revision.number == self._seen.number
        if is_source and host not in self._sources:
            self._sources = [*self._sources, host][-MAX_SOURCES:]

    def _keep(self, digest: str, content: bytes) -> None:
        if digest not in self._fetches_by_digest:
            return
        if sha256(content).hexdigest() != digest:
            return
        self._fetches_by_digest.pop(digest)
        self._content_by_digest[digest] = content
        if digest == self._seen.digest:
            self._offer_manifest()
        else:
            self._offer_whole()

    def _note_failure(self, digest: str, host: str, now: float) -> None:
        fetch = self._fetches_by_digest.get(digest)
        if fetch is not None:
            fetch.failed.add(host)
            fetch.due_at = min(fetch.due_at, now + RETRY_S)

    def _read(self, digest: str, sections: frozenset[str]) -> None:
        if digest == self._seen.digest and self._sections is None:
            self._sections = sections
            missing = sections - self._content_by_digest.keys()
            self._fetches_by_digest = {name: _Fetch() for name in missing}
            self._offer_whole()

    def _offer_manifest(self) -> None:
        content = self._content_by_digest.get(self._seen.digest)
        if content is not None:
            self._fetches_by_digest.pop(self._seen.digest, None)
            self._commands.append(ReadManifest(self._seen.digest, content))

    def _offer_whole(self) -> None:
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
        kept = {revision.digest, *(self._sections or ())}
        self._content_by_digest = {
            digest: content
            for digest, content in self._content_by_digest.items()
            if digest in kept
        }
        self._commands.append(Install(configuration))

    def _fetch(self, now: float, rng: Randomness) -> None:
        for digest, fetch in self._fetches_by_digest.items():
            if now >= fetch.due_at:
                fetch.due_at = now + FETCH_TIMEOUT_S
                self._commands.append(self._try(digest, fetch, rng))

    def _try(
        self, digest: str, fetch: _Fetch, rng: Randomness
    ) -> ConfigurationCommand:
        """Turn to the store after some peers, then to peers again."""
        turn = fetch.tries % (PEER_TRIES + 1)
        fetch.tries += 1
        sources = [
            host for host in self._sources if host not in fetch.failed
        ] or self._sources
        if turn == PEER_TRIES or not sources:
            fetch.failed.clear()
            return FetchFromStore(digest)
        return FetchFromPeer(sources[rng.randrange(len(sources))], digest)
