"""Tests of followers of the host table and of gossip between views."""

import random

import testtools

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.followers import (
    DOUBT_S,
    FOLLOWERS_PER_REGION,
    STANDBYS_PER_REGION,
    FollowerChoice,
    follows,
)
from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.siteview import SiteEntry, SiteView

HOSTS = tuple(f'host-{number}' for number in range(40))


def entry(
    host: str,
    region: str = 'north',
    stamp: int = 1,
    state: UpstreamState = UpstreamState.READY,
) -> SiteEntry:
    """Return an entry of a host."""
    place = Place(host, host, 'a', region, 'service', state, 10)
    return SiteEntry(place, 'i-1', 1, stamp)


class FollowersTest(testtools.TestCase):
    """A few hosts of each region follow the host table."""

    def selected_followers(self, unreachable_hosts: set[str]) -> list[str]:
        """Return the hosts that follow."""
        entries = [entry(host) for host in HOSTS]
        return [
            host
            for host in HOSTS
            if follows(host, 'north', entries, unreachable_hosts - {host})
        ]

    def test_a_few_of_many(self) -> None:
        """Select the same few hosts on every host."""
        self.assertEqual(
            FOLLOWERS_PER_REGION, len(self.selected_followers(set()))
        )

    def test_others_take_over(self) -> None:
        """Select others if the first do not respond."""
        first = set(self.selected_followers(set()))
        second = set(self.selected_followers(first)) - first
        self.assertEqual(FOLLOWERS_PER_REGION, len(second))

    def test_hosts_that_left_do_not_count(self) -> None:
        """Skip hosts whose upstream is gone."""
        gone = [entry(host, state=UpstreamState.GONE) for host in HOSTS]
        self.assertTrue(follows('own', 'north', gone, set()))

    def test_host_without_peers_follows(self) -> None:
        """Follow until enough other hosts of the region are known."""
        remote = [entry(host, 'south') for host in HOSTS]
        self.assertTrue(follows('own', 'north', (), set()))
        self.assertTrue(follows('own', 'north', remote, set()))


class FollowerChoiceTest(testtools.TestCase):
    """Standbys check on the followers, and take over from lost ones."""

    def setUp(self) -> None:
        """Order the hosts of one region as they all do."""
        super().setUp()
        self.entries = [entry(host) for host in HOSTS]
        self.order = sorted(HOSTS, key=position_of)

    def checked(self, choice: FollowerChoice, now: float = 0) -> list[str]:
        """Return the hosts on which a host checks."""
        return [
            one.place.host for one in choice.hosts_to_check(self.entries, now)
        ]

    def test_followers_and_standbys(self) -> None:
        """Check on the followers from a few hosts only."""
        standby = FOLLOWERS_PER_REGION + STANDBYS_PER_REGION - 1
        for rank, expected in (
            (0, 0),
            (FOLLOWERS_PER_REGION - 1, FOLLOWERS_PER_REGION - 1),
            (standby, FOLLOWERS_PER_REGION),
            (standby + 1, 0),
        ):
            choice = FollowerChoice(self.order[rank], 'north')
            self.assertEqual(self.order[:expected], self.checked(choice))

    # Guards against a region that nobody follows the store for, as the first
    # hosts are lost or turned away.
    def test_standby_takes_over(self) -> None:
        """Follow while a follower is doubted, and no longer."""
        choice = FollowerChoice(self.order[FOLLOWERS_PER_REGION], 'north')
        self.assertFalse(choice.follows(self.entries, 0))
        choice.record_doubt(self.order[1], 0)
        self.assertTrue(choice.follows(self.entries, DOUBT_S / 2))
        # The doubted one is checked as well: it may have come back.
        self.assertIn(self.order[1], self.checked(choice))
        choice.end_doubt(self.order[1])
        self.assertFalse(choice.follows(self.entries, DOUBT_S / 2))
        choice.record_doubt(self.order[1], 0)
        self.assertFalse(choice.follows(self.entries, DOUBT_S * 2))


class GossipTest(testtools.TestCase):
    """Exchanges with random peers propagate entries and removals."""

    def setUp(self) -> None:
        """Add its own entry and one other entry to each view."""
        super().setUp()
        self.rng = random.Random(2)
        self.views = [SiteView(host) for host in HOSTS]
        for number, view in enumerate(self.views):
            view.publish(entry(HOSTS[number]), 1)
            view.merge([entry(HOSTS[number - 1])])

    def run_gossip_rounds(self, rounds: int) -> None:
        """Let each host exchange entries with a random peer."""
        for _round in range(rounds):
            for view in self.views:
                peer = self.rng.choice(self.views)
                stamps = peer.stamps(
                    peer.differing_buckets(view.bucket_digests())
                )
                for host in view.removed_elsewhere(stamps):
                    view.remove(host)
                outdated = view.outdated_hosts(stamps)
                peer.merge(view.newer_than(stamps))
                view.merge(peer.entries_by_host[host] for host in outdated)

    def test_all_views_converge(self) -> None:
        """Converge within ten rounds."""
        self.run_gossip_rounds(10)
        self.assertEqual(1, len({view.digest() for view in self.views}))
        self.assertEqual(len(HOSTS), len(self.views[0].entries_by_host))

    def test_removed_host_stays_removed(self) -> None:
        """Propagate a removal; older entries do not undo it."""
        self.run_gossip_rounds(10)
        gone = self.views.pop()
        self.views[0].remove(HOSTS[-1])
        self.run_gossip_rounds(10)
        for view in self.views:
            self.assertNotIn(HOSTS[-1], view.entries_by_host)
        self.assertEqual(len(HOSTS), len(gone.entries_by_host))

    def test_live_host_replaces_its_tombstone(self) -> None:
        """Restore a live host that was removed by mistake."""
        self.run_gossip_rounds(10)
        self.views[0].remove(HOSTS[5])
        self.run_gossip_rounds(10)
        alive = self.views[5]
        alive.publish(entry(HOSTS[5]), 1)
        self.run_gossip_rounds(10)
        for view in self.views:
            self.assertIn(HOSTS[5], view.entries_by_host)
