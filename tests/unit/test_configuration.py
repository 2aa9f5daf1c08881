"""Tests that only higher revisions are installed, whatever is lost."""

import random
from hashlib import sha256

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import configuration as sync
from dragonflyknot.decisions.document import Configuration, Revision

SECTION = b'section'
RNG = random.Random(1)


def _digest(content: bytes) -> str:
    return sha256(content).hexdigest()


def _manifest(number: int) -> bytes:
    return f'manifest {number}'.encode()


def _revision(number: int) -> Revision:
    return Revision(number, _digest(_manifest(number)), f'n{number}')


class _Daemon:
    """Execute commands against a reliable or a lossy fleet."""

    def __init__(self) -> None:
        self.configuration_sync = sync.ConfigurationSync()
        self.installed: list[int] = []
        self.sources: list[str] = []
        self.pending: list[sync.ConfigurationCommand] = []

    def feed(self, event: sync.ConfigurationEvent, now: float) -> None:
        self.pending.extend(self.configuration_sync.handle(event, now, RNG))

    def execute(self, index: int, now: float, *, lost: bool) -> None:
        command = self.pending.pop(index % len(self.pending))
        match command:
            case sync.FetchFromPeer(host, digest):
                self.sources.append(host)
                self._finish_fetch(digest, host, now, lost=lost)
            case sync.FetchFromStore(digest):
                self.sources.append('store')
                self._finish_fetch(digest, '', now, lost=lost)
            case sync.ReadManifest(digest):
                sections = frozenset((_digest(SECTION),))
                self.feed(sync.ManifestRead(digest, sections), now)
            case sync.Assemble(revision):
                self.feed(sync.Assembled(Configuration(revision)), now)
            case sync.Install(configuration):
                self.installed.append(configuration.revision.number)

    def execute_all(self, now: float) -> None:
        while self.pending:
            self.execute(0, now, lost=False)

    def _finish_fetch(
        self, digest: str, host: str, now: float, *, lost: bool
    ) -> None:
        contents = [SECTION, *(_manifest(number) for number in range(9))]
        content_by_digest = {_digest(content): content for content in contents}
        if lost:
            self.feed(sync.FetchFailed(digest, host), now)
        else:
            content = content_by_digest[digest]
            self.feed(sync.ContentFetched(digest, content), now)


class ConfigurationSyncTest(testtools.TestCase):
    """Fetch sources, digest checks and caching."""

    def test_peers_are_preferred_to_the_store(self) -> None:
        daemon = _Daemon()
        daemon.feed(sync.RevisionSeen(_revision(1), 'peer'), 0)
        daemon.execute_all(0)
        self.assertEqual([1], daemon.installed)
        self.assertEqual({'peer'}, set(daemon.sources))

    def test_store_is_asked_after_failing_peers(self) -> None:
        daemon = _Daemon()
        daemon.feed(sync.RevisionSeen(_revision(1), 'peer'), 0)
        for tick in range(10):
            daemon.feed(sync.ClockTicked(), tick)
            while daemon.pending:
                lost = isinstance(daemon.pending[0], sync.FetchFromPeer)
                daemon.execute(0, tick, lost=lost)
        self.assertEqual([1], daemon.installed)
        self.assertIn('store', daemon.sources)

    def test_shared_sections_are_not_fetched_again(self) -> None:
        daemon = _Daemon()
        for number in (1, 2):
            daemon.feed(sync.RevisionSeen(_revision(number), 'peer'), number)
            daemon.execute_all(number)
        self.assertEqual([1, 2], daemon.installed)
        self.assertEqual(3, len(daemon.sources))
        self.assertIsNotNone(
            daemon.configuration_sync.content(_digest(SECTION))
        )
        self.assertIsNone(
            daemon.configuration_sync.content(_digest(_manifest(1)))
        )

    def test_content_of_another_digest_is_refused(self) -> None:
        daemon = _Daemon()
        daemon.feed(sync.RevisionSeen(_revision(1), 'peer'), 0)
        forged = sync.ContentFetched(_revision(1).digest, b'forged')
        self.assertEqual((), daemon.configuration_sync.handle(forged, 0, RNG))

    def test_late_assembly_of_an_older_revision_is_dropped(self) -> None:
        daemon = _Daemon()
        daemon.feed(sync.RevisionSeen(_revision(2), 'peer'), 0)
        late = sync.Assembled(Configuration(_revision(1)))
        self.assertEqual((), daemon.configuration_sync.handle(late, 0, RNG))


class ConfigurationSyncPropertyTest(testtools.TestCase):
    """The installed revision only increases and ends at the highest."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(('see', 'work', 'double', 'wait')),
                st.integers(0, 8),
                st.booleans(),
            ),
            max_size=80,
        )
    )
    def test_never_reverts(self, steps: list[tuple[str, int, bool]]) -> None:
        daemon = _Daemon()
        now = 0.0
        seen = 0
        for action, number, lost in steps:
            now += 0.2
            if action == 'see':
                seen = max(seen, number)
                daemon.feed(sync.RevisionSeen(_revision(number), 'p'), now)
            elif action == 'work' and daemon.pending:
                daemon.execute(number, now, lost=lost)
            elif action == 'double' and daemon.pending:
                daemon.pending.append(
                    daemon.pending[number % len(daemon.pending)]
                )
            elif action == 'wait':
                now += 2
                daemon.feed(sync.ClockTicked(), now)
        for _ in range(6):
            now += 2
            daemon.feed(sync.ClockTicked(), now)
            daemon.execute_all(now)
        self.assertEqual(sorted(set(daemon.installed)), daemon.installed)
        self.assertEqual(seen, daemon.configuration_sync.installed.number)
