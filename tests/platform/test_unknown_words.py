"""What others write for another release: the least part fails.

Each table has a row for each field of a message, and tells what an unknown
word, a wrong type and a missing field do. Extra fields are always ignored.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import testtools

from adapter.announcements import decode_heartbeat
from adapter.configuration import decode_configuration
from asyncrun import run_async
from dragonflyknot.decisions.siteconfig import SiteConfiguration, UnknownWord
from dragonflyknot.peers import demandwire, sitewire
from sitefleet import SiteFleet, configuration

TAKEN: Final = 'taken'
REFUSED: Final = 'refused'
LEFT_OUT: Final = 'left out'
WRONG_TYPE: Final = ['wrong', {'type': 1}]


@dataclass(frozen=True)
class Case:
    """Say what becomes of a message whose field is odd.

    `word` is None where the field is no text.
    """

    field: str
    word: str | None
    wrong_type: str = REFUSED
    missing: str = REFUSED


ROUTE: Final = {
    'name': 'read',
    'host': 'h',
    'prefix': '/read/',
    'kind': 'safe',
    'timeout': '1s',
    'aim': '1s',
    'priority': 2,
    'service': 'mine',
    'split': None,
    'max_attempts': 2,
    'public': False,
}
ROUTE_CASES: Final = (
    Case('name', TAKEN),
    Case('host', TAKEN),
    Case('prefix', TAKEN),
    Case('kind', TAKEN),
    Case('timeout', REFUSED, missing=TAKEN),
    Case('aim', REFUSED, missing=TAKEN),
    Case('priority', None, missing=TAKEN),
    Case('service', TAKEN),
    Case('max_attempts', None, missing=TAKEN),
    Case('public', None, missing=TAKEN),
)
WORKSPACE: Final = {
    'name': 'w',
    'api_keys': ['key'],
    'rate_per_s': 5,
    'burst': 5,
    'priority': 1,
}
WORKSPACE_CASES: Final = (
    Case('name', TAKEN),
    Case('api_keys', None, missing=TAKEN),
    Case('rate_per_s', None, missing=TAKEN),
    Case('burst', None, missing=TAKEN),
    Case('priority', None, missing=TAKEN),
)
SERVICE: Final = {'name': 'mine', 'health_path': '/health'}
SERVICE_CASES: Final = (
    Case('name', TAKEN),
    Case('health_path', TAKEN, missing=TAKEN),
)
LIMITS: Final = {
    'max_header_bytes': 1000,
    'header_timeout': '5s',
    'idle_timeout': '15s',
}
LIMIT_CASES: Final = (
    Case('max_header_bytes', None, missing=TAKEN),
    Case('header_timeout', REFUSED, missing=TAKEN),
    Case('idle_timeout', REFUSED, missing=TAKEN),
)
HEARTBEAT: Final = {
    'service': 'mine',
    'address': '10.0.0.1:80',
    'slots': 10,
    'state': 'ready',
    'sequence': 4,
    'born': 99,
}
# One that can't be read names no upstream to use; the former one holds.
HEARTBEAT_CASES: Final = (
    Case('service', TAKEN),
    Case('address', REFUSED),
    Case('slots', None),
    Case('state', REFUSED),
    Case('sequence', None),
    Case('born', None, missing=TAKEN),
)
ENTRY: Final = {
    'host': 'other',
    'address': '10.0.0.1:80',
    'data_center': 'a',
    'region': 'north',
    'service': 'mine',
    'state': 'ready',
    'slots': 10,
    'instance': 'i',
    'born': 1,
    'stamp': 1,
}
# An entry that can't be read is left out, and those beside it hold.
ENTRY_CASES: Final = (
    Case('host', TAKEN, LEFT_OUT, LEFT_OUT),
    Case('address', LEFT_OUT, LEFT_OUT, LEFT_OUT),
    Case('data_center', TAKEN, LEFT_OUT, LEFT_OUT),
    Case('region', TAKEN, LEFT_OUT, LEFT_OUT),
    Case('service', TAKEN, LEFT_OUT, LEFT_OUT),
    Case('state', LEFT_OUT, LEFT_OUT, LEFT_OUT),
    Case('slots', None, LEFT_OUT, LEFT_OUT),
    Case('instance', TAKEN, LEFT_OUT, LEFT_OUT),
    Case('born', None, LEFT_OUT, LEFT_OUT),
    Case('stamp', None, LEFT_OUT, LEFT_OUT),
)
REPORT: Final = {'host': 'other', 'demand': {'w': [1, 2]}}
REPORT_CASES: Final = (Case('host', TAKEN), Case('demand', None))


class OddFieldTest(testtools.TestCase):
    """Each field of each message, odd in each way."""

    # Guards against a fleet that refuses a configuration for one new word.
    def test_routes(self) -> None:
        """Refuse what is malformed, and take an unknown kind."""
        self._check(ROUTE, ROUTE_CASES, lambda row: _decoded('routes', row))

    def test_workspaces(self) -> None:
        """Refuse what is malformed; what is absent limits nothing."""
        self._check(
            WORKSPACE, WORKSPACE_CASES, lambda row: _decoded('tenants', row)
        )

    def test_services(self) -> None:
        """Refuse what is malformed."""
        self._check(
            SERVICE, SERVICE_CASES, lambda row: _decoded('services', row)
        )

    def test_limits(self) -> None:
        """Refuse what is malformed; absent limits have defaults."""

        def decoded(limits: Mapping[str, Any]) -> str:
            return _outcome({**_document(), 'limits': limits})

        self._check(LIMITS, LIMIT_CASES, decoded)

    def test_heartbeats(self) -> None:
        """Refuse a heartbeat that names no state or service to use."""

        def decoded(fields: Mapping[str, Any]) -> str:
            content = json.dumps(fields).encode()
            return TAKEN if decode_heartbeat('i', content).is_ok() else REFUSED

        self._check(HEARTBEAT, HEARTBEAT_CASES, decoded)

    def test_entries_of_peers(self) -> None:
        """Leave out one entry; the others and the version hold."""

        def decoded(fields: Mapping[str, Any]) -> str:
            beside = {**ENTRY, 'host': 'beside'}
            message = {'version': 3, 'digest': 'd', 'entries': [fields, beside]}
            gossip = sitewire.decode_gossip(json.dumps(message).encode())
            assert gossip is not None
            self.assertEqual(3, gossip.version)
            self.assertEqual('beside', gossip.entries[-1].place.host)
            return TAKEN if len(gossip.entries) == 2 else LEFT_OUT

        self._check(ENTRY, ENTRY_CASES, decoded)

    def test_reports_of_peers(self) -> None:
        """Refuse a report that names no host or no demand."""
        self._check(REPORT, REPORT_CASES, _report_outcome)

    # Guards against a host that counts as lost while releases are mixed.
    def test_further_numbers_of_a_report(self) -> None:
        """Read the numbers that this release knows."""
        content = json.dumps({**REPORT, 'demand': {'w': [1, 2, 3]}}).encode()
        report = demandwire.decode_report(content)
        assert report is not None
        self.assertEqual(2, report.demand['w'].admitted)

    def _check(
        self,
        usual: Mapping[str, Any],
        cases: tuple[Case, ...],
        decoded: Callable[[Mapping[str, Any]], str],
    ) -> None:
        tested = {case.field for case in cases}
        self.assertEqual(set(usual) - {'split'}, tested)
        self.assertEqual(TAKEN, decoded(usual))
        self.assertEqual(TAKEN, decoded({**usual, 'of_tomorrow': 'new'}))
        for case in cases:
            field = case.field
            without = {name: usual[name] for name in usual if name != field}
            self.assertEqual(case.missing, decoded(without), field)
            odd = {**usual, field: WRONG_TYPE}
            self.assertEqual(case.wrong_type, decoded(odd), field)
            if case.word is not None:
                new = {**usual, field: 'word-of-tomorrow'}
                self.assertEqual(case.word, decoded(new), field)


class UnknownKindTest(testtools.TestCase):
    """A route of an unknown kind is served, and never repeated."""

    def test_most_careful_kind(self) -> None:
        """Treat it as not idempotent, and name the word."""
        site = _site({'routes': {**ROUTE, 'kind': 'stream-of-tomorrow'}})
        self.assertFalse(site.routes[0].idempotent)
        self.assertEqual(
            (UnknownWord('routes.kind', 'stream-of-tomorrow'),),
            site.unknown_words,
        )

    def test_downloads(self) -> None:
        """Treat large responses as idempotent."""
        site = _site({'routes': {**ROUTE, 'kind': 'download'}})
        self.assertTrue(site.routes[0].idempotent)
        self.assertTrue(site.routes[0].has_large_bodies)
        self.assertEqual((), site.unknown_words)

    # Guards against a fleet that serves nothing for one unknown word.
    def test_the_fleet_serves(self) -> None:
        """Serve the other routes and the one of the unknown kind."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                content = configuration(5).replace(b'"safe"', b'"of-tomorrow"')
                fleet.store.write('op', 'config', content)
                await fleet.until(
                    lambda: all(one.policy.version == 5 for one in fleet.hosts)
                )
                for path, method in (('/read/x', 'GET'), ('/book/x', 'POST')):
                    reply = await fleet.ask(path=path, method=method)
                    self.assertEqual(200, reply.status)

        run_async(body())


class InvalidConfigurationTest(testtools.TestCase):
    """A configuration that is malformed changes nothing, and is named."""

    def test_former_one_stays_in_force(self) -> None:
        """Serve by the former configuration; count the malformed one."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                host = fleet.hosts[0]
                fleet.store.write('op', 'config', b'{"version":"r6"}')
                await fleet.until(lambda: host.policy.refused)
                self.assertEqual(1, host.policy.version)
                self.assertEqual('', host.not_ready_reason)
                self.assertEqual(200, (await fleet.ask()).status)

        run_async(body())

    # Guards against a fleet that never gets ready and does not say why.
    def test_reason_at_a_cold_start(self) -> None:
        """Say in one line why a host that knows no other is not ready."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                await fleet.hosts[0].__aexit__(None, None, None)
                fleet.store.write('op', 'config', b'{"version":"r6"}')
                host = await fleet.start(0)
                await fleet.until(lambda: host.policy.refused)
                self.assertFalse(host.is_ready)
                self.assertIn('config.services', host.not_ready_reason)

        run_async(body())


def _document(**rows: Mapping[str, Any]) -> dict[str, Any]:
    """Return a configuration; each argument is the row of a table."""
    tables: dict[str, Mapping[str, Any]] = {
        'routes': ROUTE,
        'services': SERVICE,
        'tenants': WORKSPACE,
    }
    document: dict[str, Any] = {'version': 'r1'}
    for name, row in {**tables, **rows}.items():
        document[name] = {'columns': list(row), 'rows': [list(row.values())]}
    return document


def _outcome(document: Mapping[str, Any]) -> str:
    content = json.dumps(document).encode()
    return TAKEN if decode_configuration(content).is_ok() else REFUSED


def _decoded(table: str, row: Mapping[str, Any]) -> str:
    return _outcome(_document(**{table: row}))


def _site(rows: Mapping[str, Mapping[str, Any]]) -> SiteConfiguration:
    content = json.dumps(_document(**rows)).encode()
    return decode_configuration(content).unwrap()


def _report_outcome(fields: Mapping[str, Any]) -> str:
    content = json.dumps(fields).encode()
    return REFUSED if demandwire.decode_report(content) is None else TAKEN
