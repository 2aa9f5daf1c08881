"""Check the leases of shards: heartbeats, witnesses and placement."""

from collections.abc import Sequence
from itertools import chain

import testtools

from dragonflyknot.decisions.heartbeats import Heartbeat
from dragonflyknot.decisions.leasemessages import (
    AskWitness,
    CandidatesChanged,
    DeleteHeartbeat,
    HeartbeatRow,
    LayoutInstalled,
    LeaseCommand,
    LeaseEvent,
    LeaseSettings,
    LeasesReleased,
    LeaseTicked,
    Nudge,
    Nudged,
    ReadRows,
    RowsRead,
    RowWriteApplied,
    RowWriteRejected,
    RowWriteUnresolved,
    StopRequested,
    WitnessAnswered,
    WitnessAsked,
    WriteHeartbeat,
    WriteShard,
)
from dragonflyknot.decisions.leases import LeaseManager
from dragonflyknot.decisions.placement import (
    Candidate,
    plan_shards,
    select_candidates,
)
from dragonflyknot.decisions.ratemessages import LayoutConfirmed
from dragonflyknot.decisions.witness import Witness
from experiments.fakerates import FakeTable

SETTINGS = LeaseSettings(shards=2)
TAKEOVER_S = SETTINGS.witness_lease_s + SETTINGS.margin_s


def candidate(host: str) -> Candidate:
    return Candidate(host, f'{host}/1', host, 'r')


class LeaseCluster:
    """Connect lease managers through a fake table and inject faults.

    `paused` hosts do not tick, `unreachable` hosts exchange no witness
    messages, and `unanswered` hosts get no answers to their writes.
    """

    def __init__(self, *hosts: str) -> None:
        self.now = 100.0
        self.table = FakeTable()
        self.lease_managers = {
            host: LeaseManager(candidate(host), SETTINGS) for host in hosts
        }
        self.usable_until = {host: 0.0 for host in hosts}
        self.paused: set[str] = set()
        self.unanswered: set[str] = set()
        self.unreachable: set[str] = set()
        self.finished: list[str] = []
        self.confirmed: list[tuple[str, str]] = []
        candidates = tuple(candidate(host) for host in hosts)
        for host in hosts:
            self.feed(host, CandidatesChanged(candidates))
            self.feed(host, LayoutInstalled(1, 'layout'))

    def feed(self, host: str, event: LeaseEvent) -> None:
        commands = self.lease_managers[host].handle(event, self.now)
        until = self.lease_managers[host]._heartbeat.usable_until()
        self.usable_until[host] = until
        for command in commands:
            self.carry_out(host, command)

    def carry_out(self, host: str, command: LeaseCommand) -> None:
        match command:
            case ReadRows(asked_at):
                rows = RowsRead(
                    asked_at + 0.001,
                    tuple(self.table.shards.values()),
                    tuple(self.table.heartbeats.values()),
                )
                self.feed(host, rows)
            case WriteHeartbeat() | WriteShard() | DeleteHeartbeat():
                applied = self.table.apply(command)
                if host in self.unanswered:
                    self.feed(host, RowWriteUnresolved(command))
                elif applied:
                    self.feed(host, RowWriteApplied(command))
                else:
                    self.feed(host, RowWriteRejected(command))
            case AskWitness(witness_host, witness, holder, asked_at):
                if {witness_host, host} & (self.paused | self.unreachable):
                    return
                commands = self.lease_managers[witness_host].handle(
                    WitnessAsked(holder), self.now
                )
                granted = commands[0].granted  # type: ignore[union-attr]
                self.feed(
                    host, WitnessAnswered(witness, holder, asked_at, granted)
                )
            case Nudge(nudged):
                self.feed(nudged, Nudged())
            case LayoutConfirmed(digest):
                self.confirmed.append((host, digest))
            case LeasesReleased():
                self.finished.append(host)

    def pass_time(self, elapsed_s: float) -> None:
        end = self.now + elapsed_s
        while self.now < end:
            self.now += 0.1
            for host in self.lease_managers:
                if host not in self.paused:
                    self.feed(host, LeaseTicked())

    def held(self) -> dict[str, Sequence[int]]:
        return {
            host: sorted(lease_manager.held)
            for host, lease_manager in self.lease_managers.items()
        }

    def any_holder(self) -> str:
        return next(host for host, held in self.held().items() if held)

    def usable(self, host: str) -> bool:
        return self.now < self.usable_until[host]


class LeaseManagerTest(testtools.TestCase):
    """Let at most one daemon hold each shard."""

    def test_shards_are_spread_evenly(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(6)
        self.assertEqual(
            [1, 1], [len(held) for held in cluster.held().values()]
        )

    def test_a_lone_daemon_needs_no_witness(self) -> None:
        cluster = LeaseCluster('a')
        cluster.pass_time(6)
        self.assertEqual({'a': [0, 1]}, cluster.held())
        self.assertTrue(cluster.usable('a'))

    def test_a_witness_takes_over_within_seconds(self) -> None:
        cluster = LeaseCluster('a', 'b', 'c')
        cluster.pass_time(6)
        holder = cluster.any_holder()
        cluster.paused.add(holder)
        # The witness may first have to find another witness for itself.
        cluster.pass_time(TAKEOVER_S + 1)
        held = cluster.held()
        held.pop(holder)
        self.assertEqual([0, 1], sorted(chain(*held.values())))

    def test_the_last_daemon_goes_on_alone(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(6)
        cluster.paused.add('b')
        cluster.feed('a', CandidatesChanged((candidate('a'),)))
        cluster.pass_time(TAKEOVER_S + 0.5)
        self.assertEqual([0, 1], sorted(cluster.lease_managers['a'].held))
        self.assertTrue(cluster.usable('a'))

    def test_a_paused_holder_may_not_use_its_shards(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(6)
        cluster.paused.add('b')
        cluster.pass_time(TAKEOVER_S + 0.5)
        self.assertFalse(cluster.usable('b'))
        cluster.paused.discard('b')
        cluster.feed('b', LeaseTicked())
        self.assertFalse(
            cluster.usable('b') and bool(cluster.lease_managers['b'].held)
        )

    def test_a_short_lease_counts_from_before_it_was_asked_for(self) -> None:
        cluster = LeaseCluster('a', 'b', 'c')
        cluster.pass_time(6)
        holder = cluster.any_holder()
        witness = cluster.table.heartbeats[f'{holder}/1/1'].witness
        cluster.unreachable |= {'a', 'b', 'c'} - {holder}
        asked_at = cluster.now
        cluster.pass_time(SETTINGS.witness_lease_s)
        late = WitnessAnswered(witness, f'{holder}/1/1', asked_at, granted=True)
        cluster.feed(holder, late)
        self.assertFalse(cluster.usable(holder))

    def test_a_layout_is_confirmed_once_all_rows_name_it(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(12)
        self.assertIn(('a', 'layout'), cluster.confirmed)
        cluster.confirmed.clear()
        cluster.feed('a', LayoutInstalled(2, 'new'))
        cluster.pass_time(12)
        self.assertEqual([], cluster.confirmed)
        cluster.feed('b', LayoutInstalled(2, 'new'))
        cluster.pass_time(12)
        self.assertEqual({('a', 'new'), ('b', 'new')}, set(cluster.confirmed))

    def test_a_fenced_daemon_comes_back_with_a_new_term(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(6)
        cluster.paused.add('b')
        cluster.pass_time(20)
        cluster.paused.discard('b')
        cluster.pass_time(40)
        self.assertEqual(
            [1, 1], [len(held) for held in cluster.held().values()]
        )
        self.assertTrue(cluster.usable('b'))

    def test_lost_write_answers_keep_the_lease(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(6)
        cluster.unanswered |= {'a', 'b'}
        cluster.pass_time(600)
        self.assertEqual(
            [1, 1], [len(held) for held in cluster.held().values()]
        )
        self.assertTrue(cluster.usable('a'))

    def test_a_planned_stop_releases_with_one_write(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(6)
        writes = cluster.table.writes
        cluster.feed('b', StopRequested())
        self.assertEqual(frozenset(), cluster.lease_managers['b'].held)
        self.assertEqual([0, 1], sorted(cluster.lease_managers['a'].held))
        self.assertEqual(2, cluster.table.writes - writes)
        self.assertEqual(['b'], cluster.finished)

    def test_a_stopping_daemon_does_not_use_its_shards_again(self) -> None:
        cluster = LeaseCluster('a', 'b')
        cluster.pass_time(6)
        cluster.unanswered.add('b')
        cluster.feed('b', StopRequested())
        cluster.pass_time(3)
        self.assertEqual(frozenset(), cluster.lease_managers['b'].held)
        self.assertEqual(['b'], cluster.finished)

    def test_renewals_cost_one_write_whatever_is_held(self) -> None:
        cluster = LeaseCluster('a')
        cluster.pass_time(6)
        writes = cluster.table.writes
        cluster.pass_time(10 * SETTINGS.renew_interval_s)
        self.assertLessEqual(cluster.table.writes - writes, 10)

    def test_a_silent_witness_is_replaced_in_time(self) -> None:
        cluster = LeaseCluster('a', 'b', 'c')
        cluster.pass_time(6)
        holder = cluster.any_holder()
        row = cluster.table.heartbeats[f'{holder}/1/1']
        cluster.unreachable.add(row.witness.split('/')[0])
        for _ in range(30):
            cluster.pass_time(0.1)
            self.assertTrue(cluster.usable(holder))
        renewed = cluster.table.heartbeats[f'{holder}/1/1']
        self.assertNotEqual(row.witness, renewed.witness)


class WitnessTest(testtools.TestCase):
    """Declare only those holders dead whose leases have expired."""

    def setUp(self) -> None:
        super().setUp()
        self.witness = Witness('w/1', SETTINGS)
        self.row = HeartbeatRow('h/1/1', 'h/1', 5, 'w/1')

    def is_fenced(self, now: float) -> bool:
        return bool(list(self.witness.fence((), 'w/1/1', now)))

    def test_a_holder_has_its_whole_short_lease(self) -> None:
        self.witness.update_rows([self.row], 0)
        self.witness.grant_lease('h/1/1', 10)
        self.assertFalse(self.is_fenced(10 + TAKEOVER_S - 0.01))
        self.assertTrue(self.is_fenced(10 + TAKEOVER_S))

    def test_no_grant_follows_a_fence(self) -> None:
        self.witness.update_rows([self.row], 0)
        self.assertTrue(self.is_fenced(TAKEOVER_S))
        self.assertFalse(self.witness.grant_lease('h/1/1', TAKEOVER_S))

    def test_no_grant_follows_a_fence_whose_answer_was_lost(self) -> None:
        self.witness.update_rows([self.row], 0)
        self.assertTrue(self.is_fenced(TAKEOVER_S))
        self.witness.write_failed(self.row)
        self.witness.update_rows([], TAKEOVER_S + 1)
        self.assertFalse(self.witness.grant_lease('h/1/1', TAKEOVER_S + 1))

    def test_a_holder_that_renewed_is_granted_again(self) -> None:
        self.witness.update_rows([self.row], 0)
        self.assertTrue(self.is_fenced(TAKEOVER_S))
        self.witness.write_failed(self.row)
        renewed = HeartbeatRow('h/1/1', 'h/1', 6, 'w/1')
        self.witness.update_rows([renewed], TAKEOVER_S + 1)
        self.assertTrue(self.witness.grant_lease('h/1/1', TAKEOVER_S + 1))

    def test_others_wait_for_the_long_lease(self) -> None:
        row = HeartbeatRow('h/1/1', 'h/1', 5, 'x/1')
        self.witness.update_rows([row], 0)
        takeover_s = SETTINGS.lease_s + SETTINGS.margin_s
        self.assertFalse(self.is_fenced(takeover_s - 0.01))
        self.assertTrue(self.is_fenced(takeover_s))

    def test_a_renewal_starts_the_long_wait_anew(self) -> None:
        row = HeartbeatRow('h/1/1', 'h/1', 5, 'x/1')
        self.witness.update_rows([row], 0)
        self.witness.update_rows([HeartbeatRow('h/1/1', 'h/1', 6, 'x/1')], 200)
        self.assertFalse(self.is_fenced(SETTINGS.lease_s + 1))


class HeartbeatTest(testtools.TestCase):
    """Rely on no lease that an unanswered write may have ended."""

    def test_an_unresolved_change_of_witness_needs_both(self) -> None:
        heartbeat = Heartbeat(candidate('a'), SETTINGS)
        heartbeat.set_candidates((candidate('b'),))
        (asked,) = heartbeat.tick(0, wanted=True)
        assert isinstance(asked, AskWitness)
        first = WitnessAnswered('b/1', heartbeat.holder, 0, granted=True)
        heartbeat.witness_answered(first, 0)
        (created,) = heartbeat.tick(0.1, wanted=True)
        assert isinstance(created, WriteHeartbeat)
        heartbeat.write_applied(created.row)
        heartbeat.set_candidates((candidate('c'),))
        list(heartbeat.tick(0.6, wanted=True))
        heartbeat.witness_answered(
            WitnessAnswered('c/1', heartbeat.holder, 0.6, granted=True), 0.6
        )
        list(heartbeat.tick(0.7, wanted=True))
        self.assertTrue(heartbeat.unresolved)
        self.assertEqual(SETTINGS.witness_lease_s, heartbeat.usable_until())
        heartbeat.witness_answered(
            WitnessAnswered('b/1', heartbeat.holder, 5, granted=True), 5
        )
        earlier_expiry = 0.6 + SETTINGS.witness_lease_s
        self.assertEqual(earlier_expiry, heartbeat.usable_until())

    def test_a_renewal_counts_from_its_first_try(self) -> None:
        heartbeat = Heartbeat(candidate('a'), SETTINGS)
        (created,) = heartbeat.tick(10, wanted=True)
        assert isinstance(created, WriteHeartbeat)
        heartbeat.write_unresolved(created.row, 50)
        (retry,) = heartbeat.tick(60, wanted=True)
        self.assertEqual(created, retry)
        heartbeat.write_applied(created.row)
        self.assertEqual(10 + SETTINGS.lease_s, heartbeat.usable_until())


class PlacementTest(testtools.TestCase):
    """Spread shards over hosts and regions."""

    def test_regions_share_the_shards(self) -> None:
        candidates = tuple(
            Candidate(f'h{number}', f'h{number}/1', 'd', f'r{number % 2}')
            for number in range(40)
        )
        planned = plan_shards(range(16), {}, candidates)
        self.assertEqual(
            16, len({chosen.daemon for chosen in planned.values()})
        )
        regions = [chosen.region for chosen in planned.values()]
        self.assertEqual(8, regions.count('r0'))

    def test_few_of_many_daemons_are_candidates(self) -> None:
        members = [
            Candidate(f'h{number}', f'h{number}/1', 'd', f'r{number % 2}')
            for number in range(1000)
        ]
        selected = select_candidates(members, 32)
        self.assertEqual(32, len(selected))
        regions = [chosen.region for chosen in selected]
        self.assertEqual(16, regions.count('r0'))
