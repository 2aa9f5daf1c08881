"""Tests that gossip adds live members, drops dead ones and keeps versions."""

from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import members as msg
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import Revision
from dragonflyknot.decisions.memberview import MemberView
from dragonflyknot.decisions.suspicion import SuspicionTimers
from dragonflyknot.decisions.viewfilter import MAX_SAMPLED_MEMBERS
from harness.gossipfleet import Faults, GossipFleet, build_member, restarted

SETTLED_S = 20


def _fleet(size: int, seed: int = 1) -> GossipFleet:
    fleet = GossipFleet(seed)
    first = build_member(0, 's0').host
    for number in range(size):
        fleet.add(build_member(number, f's{number % 4}'), (first,))
    return fleet


class _ConvergenceTestCase(testtools.TestCase):
    def assert_settled(self, fleet: GossipFleet) -> None:
        hosts = set(fleet.daemons_by_host)
        for host, daemon in fleet.daemons_by_host.items():
            self.assertEqual(hosts - {host}, fleet.known_hosts_by_host[host])
            for member in daemon.view.live():
                own = fleet.daemons_by_host[member.host].own
                self.assertEqual(msg.version_of(own), msg.version_of(member))


class MembershipTest(_ConvergenceTestCase):
    """Membership under a single fault."""

    def test_members_find_each_other_by_one_address(self) -> None:
        fleet = _fleet(16)
        fleet.run(5)
        self.assert_settled(fleet)

    def test_killed_daemon_is_gone_within_seconds(self) -> None:
        fleet = _fleet(16)
        fleet.run(10)
        fleet.stop('10.0.0.5')
        fleet.run(8)
        self.assert_settled(fleet)

    def test_restarted_daemon_replaces_its_former_process(self) -> None:
        fleet = _fleet(8)
        fleet.run(10)
        member = fleet.daemons_by_host['10.0.0.5'].own
        fleet.stop('10.0.0.5')
        fleet.add(restarted(member), ('10.0.0.0',))
        fleet.run(3)
        self.assert_settled(fleet)

    def test_lower_incarnation_of_a_new_process_is_raised(self) -> None:
        fleet = _fleet(8)
        fleet.run(10)
        member = fleet.daemons_by_host['10.0.0.5'].own
        fleet.stop('10.0.0.5')
        fleet.add(replace(member, incarnation=0), ('10.0.0.0',))
        fleet.run(5)
        self.assert_settled(fleet)
        self.assertEqual(2, fleet.daemons_by_host['10.0.0.5'].own.incarnation)

    def test_paused_daemon_returns(self) -> None:
        fleet = _fleet(16)
        fleet.run(10)
        fleet.paused.add('10.0.0.5')
        fleet.run(8)
        for host in set(fleet.daemons_by_host) - {'10.0.0.5'}:
            self.assertNotIn('10.0.0.5', fleet.known_hosts_by_host[host])
        fleet.paused.clear()
        fleet.run(10)
        self.assert_settled(fleet)

    def test_cut_regions_rejoin(self) -> None:
        fleet = _fleet(16)
        fleet.run(10)
        for host in fleet.daemons_by_host:
            fleet.feed(host, msg.AddressesLearned(()))
        fleet.faults = Faults(regions_cut=True)
        fleet.run(30)
        self.assertEqual(7, len(fleet.known_hosts_by_host['10.0.0.0']))
        fleet.faults = Faults()
        fleet.run(SETTLED_S)
        self.assert_settled(fleet)

    def test_drain_and_leave_are_known_at_once(self) -> None:
        fleet = _fleet(16)
        fleet.run(10)
        draining = msg.OwnChanged('s1', UpstreamState.DRAINING, None, 0)
        fleet.feed('10.0.0.5', draining)
        fleet.run(1.5)
        for host in set(fleet.daemons_by_host) - {'10.0.0.5'}:
            seen = fleet.daemons_by_host[host].view.get('10.0.0.5')
            assert seen is not None
            self.assertIs(UpstreamState.DRAINING, seen.state)
        fleet.feed('10.0.0.5', msg.DaemonStopping())
        fleet.run(0.2)
        fleet.stop('10.0.0.5')
        fleet.run(2)
        self.assert_settled(fleet)

    def test_revision_reaches_all(self) -> None:
        fleet = _fleet(32)
        fleet.run(10)
        learned = msg.RevisionLearned(Revision(3, 'd', 'n'))
        fleet.feed('10.0.0.1', learned)
        fleet.run(2)
        for daemon in fleet.daemons_by_host.values():
            self.assertEqual(3, daemon.revision.number)


class SuspicionsTest(testtools.TestCase):
    """A paused daemon does not time out the members that it suspected."""

    def test_own_pause_restarts_the_time(self) -> None:
        suspicions = SuspicionTimers()
        suspicions.take_expired(0)
        suspicions.add('h', 0)
        self.assertEqual([], suspicions.take_expired(60))
        for tick in range(61, 63):
            self.assertEqual([], suspicions.take_expired(tick))
        self.assertEqual(['h'], suspicions.take_expired(63))


class LargeFleetTest(testtools.TestCase):
    """In a large fleet a daemon keeps only a part of the members."""

    def test_view_is_bounded_and_own_service_complete(self) -> None:
        fleet = GossipFleet(1)
        for number in range(160):
            member = build_member(number, f's{number % 16}')
            kin_host = build_member((number + 16) % 160, '').host
            fleet.add(member, (kin_host, build_member(0, '').host))
            for step in (1, 2):
                service = f's{(number + step) % 16}'
                fleet.feed(member.host, msg.ServiceFollowed(service))
        fleet.run(30)
        for daemon in fleet.daemons_by_host.values():
            self.assertTrue(len(daemon.view) <= MAX_SAMPLED_MEMBERS + 29)
            number = int(daemon.own.service[1:])
            for step, expected in ((0, 9), (1, 10), (2, 10)):
                service = f's{(number + step) % 16}'
                self.assertEqual(expected, len([*daemon.view.live(service)]))


class MembershipPropertyTest(_ConvergenceTestCase):
    """Views converge to the live members once all faults end."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=25)
    @given(
        seed=st.integers(0, 1000),
        lost=st.floats(0, 0.6),
        late=st.floats(0, 0.5),
        steps=st.lists(
            st.tuples(
                st.sampled_from(('stop', 'restart', 'pause', 'resume', 'cut')),
                st.integers(1, 7),
                st.floats(0.1, 6),
            ),
            max_size=8,
        ),
    )
    def test_converges(
        self,
        seed: int,
        lost: float,
        late: float,
        steps: list[tuple[str, int, float]],
    ) -> None:
        fleet = _fleet(8, seed)
        fleet.faults = Faults(lost, doubled=0.2, late=late)
        stopped: dict[str, msg.Member] = {}
        for action, number, seconds in steps:
            host = f'10.0.0.{number}'
            if action == 'stop' and host in fleet.daemons_by_host:
                stopped[host] = fleet.daemons_by_host[host].own
                fleet.stop(host)
            elif action == 'restart' and host in stopped:
                fleet.add(restarted(stopped.pop(host)), ('10.0.0.0',))
            elif action == 'pause':
                fleet.paused.add(host)
            elif action == 'resume':
                fleet.paused.discard(host)
            elif action == 'cut':
                fleet.faults.regions_cut = not fleet.faults.regions_cut
            fleet.run(seconds)
        fleet.faults = Faults()
        fleet.paused.clear()
        fleet.run(60)
        self.assert_settled(fleet)


class MemberViewPropertyTest(testtools.TestCase):
    """A member is never replaced by a lower version."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        versions=st.lists(
            st.tuples(
                st.integers(1, 3),
                st.integers(0, 3),
                st.sampled_from(msg.Standing),
            ),
            max_size=40,
        )
    )
    def test_versions_only_rise(
        self, versions: list[tuple[int, int, msg.Standing]]
    ) -> None:
        view = MemberView()
        member = build_member(1, 's')
        highest = None
        for incarnation, counter, standing in versions:
            candidate = replace(
                member,
                incarnation=incarnation,
                counter=counter,
                standing=standing,
            )
            view.put(candidate, now=0)
            highest = max(
                highest or msg.version_of(candidate), msg.version_of(candidate)
            )
            held = view.get(member.host)
            assert held is not None
            self.assertEqual(highest, msg.version_of(held))
