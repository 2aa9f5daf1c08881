"""Tests that documents are parsed and that all faults are reported."""

from pathlib import Path

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions.document import Revision
from dragonflyknot.operators.document import Document, parse
from dragonflyknot.operators.faults import DocumentFaults

EXAMPLES = Path(__file__).parents[2] / 'examples'

SMALL = """
[workspaces.hikers]
rate = 10
burst = 20
[services.status]
[[routes]]
service = "status"
method = "GET"
prefix = "/orders"
priority = 5
timeout_ms = 1000
"""

FAULTY = """
[keys]
freshness_minutes = 1
[workspaces.hikers]
rate = "10"
burst = 0
wieght = 2
[workspaces.Hikers]
rate = 1
burst = 1
[services.status]
queue_limit = -1
[[routes]]
service = "billing"
method = "FETCH"
prefix = "orders"
priority = 10
once = true
idempotent = true
open = true
"""

FAULTY_PLACES = {
    'keys.freshness_minutes',
    'workspaces.hikers.rate',
    'workspaces.hikers.burst',
    'workspaces.hikers.wieght',
    'workspaces.Hikers',
    'services.status.queue_limit',
    'routes.0.service',
    'routes.0.method',
    'routes.0.prefix',
    'routes.0.priority',
    'routes.0.timeout_ms',
    'routes.0.once',
    'open.rate',
    'open.burst',
}

FRAGMENTS = st.sampled_from(
    [*SMALL.split('\n'), *FAULTY.split('\n'), 'a = [[[', 'b = 1e400', '']
)


def document_in(text: str) -> Document:
    """Parse a valid text."""
    return parse(text).unwrap()


def faults_in(text: str) -> DocumentFaults:
    """Parse a faulty text and return its faults."""
    return parse(text).unwrap_err()


class ParseTest(testtools.TestCase):
    """Valid documents give configurations, faulty ones a list of faults."""

    def test_lists_all_faults_with_place_and_remedy(self) -> None:
        faults = faults_in(FAULTY).faults
        self.assertEqual({fault.place for fault in faults}, FAULTY_PLACES)
        for fault in faults:
            self.assertNotEqual(fault.remedy, '')

    def test_suggests_the_nearest_field(self) -> None:
        text = str(faults_in(SMALL.replace('burst', 'brust')))
        self.assertIn("Write 'burst' or remove it", text)

    def test_syntax_error_names_the_line(self) -> None:
        self.assertIn('line 2', str(faults_in('a = 1\nb = = 2\n')))

    def test_deep_nesting_is_a_fault(self) -> None:
        self.assertIn('nested', str(faults_in(f'a = {"[" * 100_000}')))

    def test_empty_routes_are_refused(self) -> None:
        text = 'routes = []\n' + SMALL[: SMALL.index('[[routes]]')]
        places = [fault.place for fault in faults_in(text).faults]
        self.assertEqual(places, ['routes'])

    def test_same_route_twice_is_refused(self) -> None:
        route = SMALL[SMALL.index('[[routes]]') :]
        self.assertIn('those of routes.0', str(faults_in(SMALL + route)))

    def test_reserved_prefix_is_refused(self) -> None:
        text = SMALL.replace('/orders', '/.dragonflyknot/x')
        self.assertIn('belong to the system', str(faults_in(text)))

    def test_longest_route_comes_first(self) -> None:
        text = (EXAMPLES / 'wetterschutz.toml').read_text()
        configuration = document_in(text).configuration(Revision(1, 'd', 'n'))
        prefixes = [route.prefix for route in configuration.routes]
        self.assertEqual(prefixes, sorted(prefixes, key=len, reverse=True))

    def test_examples_are_valid_and_hold_eight_workspaces(self) -> None:
        for path in EXAMPLES.glob('*.toml'):
            configuration = document_in(path.read_text()).configuration(
                Revision(3, 'digest', 'nonce')
            )
            self.assertEqual(len(configuration.workspaces_by_name), 8)
            self.assertEqual(len(configuration.services_by_name), 4)
            self.assertEqual(configuration.revision.number, 3)


class ParseFuzzTest(testtools.TestCase):
    """The parser never raises, and each fault names a place and a remedy."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.text())
    def test_any_text(self, text: str) -> None:
        self._check(text)

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(FRAGMENTS, max_size=20))
    def test_shuffled_fragments(self, lines: list[str]) -> None:
        self._check('\n'.join(lines))

    def _check(self, text: str) -> None:
        found = parse(text)
        if found.is_err():
            for fault in found.unwrap_err().faults:
                self.assertNotEqual(fault.place, '')
                self.assertNotEqual(fault.remedy, '')
