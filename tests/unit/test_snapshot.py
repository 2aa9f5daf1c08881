"""Check that dumps become one picture, as figures, text and a page."""

from dataclasses import replace

import testtools

from dragonflyknot.operators.busiest import (
    MAX_SERVICE_LINES,
    MAX_WORKSPACE_LINES,
    busiest_services,
    busiest_workspaces,
)
from dragonflyknot.operators.dump import Dump
from dragonflyknot.operators.roompage import figures
from dragonflyknot.operators.roomtext import as_text, troubles
from dragonflyknot.operators.snapshot import Gathered, Snapshot, merge
from fakefleet import busy_dump, plain_dump

START_S = 1000.0


def gathered(*dumps: Dump, at: float = START_S) -> Gathered:
    """Return dumps that were taken at one time."""
    stamped = (dump.model_copy(update={'taken_at': at}) for dump in dumps)
    return Gathered(at, {dump.host: dump for dump in stamped})


def told_member(
    host: str, revision: int, *, suspected: bool = False
) -> dict[str, object]:
    """Return a member as another daemon tells of it."""
    return {
        'host': host,
        'incarnation': 1,
        'data_center': 'north-1',
        'region': 'north',
        'state': 'ready',
        'suspected': suspected,
        'revision': revision,
    }


def surge() -> Snapshot:
    """Return the picture of sixteen daemons over two seconds."""
    early = gathered(*(busy_dump(index, 10) for index in range(16)))
    late = gathered(
        *(busy_dump(index, 12, lags=index == 11) for index in range(16)),
        at=START_S + 2,
    )
    return merge(7, late, early)


def counted(host: str, admitted: int, incarnation: int = 1) -> Dump:
    """Return a dump with one counter."""
    return plain_dump(
        host,
        incarnation=incarnation,
        workspaces={'hikers': {'admitted': admitted, 'refused': {}}},
    )


class MergeTest(testtools.TestCase):
    """Counters of two rounds become rates over the fleet."""

    def test_rates_add_up_over_daemons(self) -> None:
        lines = {line.name: line for line in surge().workspaces}
        line = lines['harbour-audio']
        self.assertEqual(line.admitted, 16 * 56)
        self.assertEqual(line.refused_by_kind['rate'], 16 * 171)

    def test_restarted_daemon_does_not_count_backwards(self) -> None:
        early = gathered(counted('a', 1000), counted('b', 10))
        late = gathered(
            counted('a', 5, incarnation=2), counted('b', 30), at=START_S + 2
        )
        self.assertEqual(merge(2, late, early).workspaces[0].admitted, 10)

    def test_first_round_has_no_rates(self) -> None:
        first = merge(1, gathered(counted('a', 1000)), None)
        self.assertEqual(first.workspaces[0].admitted, 0)

    def test_laggards_and_silent_daemons_are_named(self) -> None:
        snapshot = surge()
        self.assertEqual(snapshot.revision, 42)
        self.assertEqual(dict(snapshot.behind), {'south-12': 41})
        silent = replace(snapshot, silent=('10.0.0.9:8084',))
        self.assertEqual(len(troubles(silent)), 2)

    def test_live_members_without_a_dump_are_unseen(self) -> None:
        teller = plain_dump(
            'a',
            members=[
                told_member('a', 3),
                told_member('b', 3),
                told_member('c', 2, suspected=True),
            ],
        )
        snapshot = merge(1, gathered(teller), None)
        self.assertEqual(snapshot.unseen, ('b',))
        self.assertIn('no dump of: b', troubles(snapshot))

    def test_services_add_up_over_gates(self) -> None:
        line = surge().services[0]
        self.assertEqual((line.name, line.running), ('booking', 360))
        self.assertEqual((line.limit, line.threshold), (360, 6))

    def test_link_volume_adds_up_what_either_region_asked(self) -> None:
        volumes = surge().link_bytes_by_pair
        self.assertEqual(volumes['north', 'south'], 16 * 130_000)

    def test_empty_fleet_is_a_picture_too(self) -> None:
        snapshot = merge(1, Gathered(START_S, {}), None)
        self.assertIn('0 daemons', as_text(snapshot, START_S))
        self.assertIn('0 daemons', figures(snapshot))

    def test_stale_keys_are_a_trouble(self) -> None:
        old = plain_dump('a', keys={'age_s': 3, 'bound_s': 2})
        snapshot = merge(1, gathered(old), None)
        self.assertIn('keys are older', troubles(snapshot)[0])


class DrawingTest(testtools.TestCase):
    """Text and page show the same figures and escape names."""

    def test_text_and_page_name_every_workspace_and_service(self) -> None:
        snapshot = surge()
        for drawn in (as_text(snapshot, START_S), figures(snapshot)):
            for workspace in snapshot.workspaces:
                self.assertIn(workspace.name, drawn)
            for service in snapshot.services:
                self.assertIn(service.name, drawn)
            self.assertIn('1 of 16 daemons behind', drawn)

    def test_names_are_escaped(self) -> None:
        hostile = plain_dump(
            '<script>',
            1,
            workspaces={'<b>': {'refused': {'<i>': 1}}},
            services={'<p>': {'state': '<u>'}},
        )
        other = plain_dump('a', 2)
        drawn = figures(merge(1, gathered(hostile, other), None))
        for name in ('<script>', '<b>&', '<i>&', '<p>', '<u>'):
            self.assertNotIn(name, drawn)

    def test_lines_beyond_the_screen_are_added_up(self) -> None:
        dump = plain_dump(
            'a',
            workspaces={f'w{n:02}': {'admitted': 0} for n in range(40)},
            services={f's{n}': {'state': 'ready'} for n in range(40)},
        )
        snapshot = merge(1, gathered(dump), None)
        workspaces = busiest_workspaces(snapshot)
        services = busiest_services(snapshot)
        self.assertEqual(len(workspaces), MAX_WORKSPACE_LINES)
        self.assertEqual(len(services), MAX_SERVICE_LINES)
        self.assertEqual(services[-1].count_by_state['ready'], 36)
