"""Tests of followers of the host table and of gossip between views."""

import itertools
import random

import testtools

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.followers import (
    COUNT_VALID_S,
    FOLLOWERS_PER_REGION,
    STARTERS_DOUBLE_S,
    FollowerChoice,
    FollowerCount,
)
from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.siteview import SiteEntry, SiteView

HOSTS = tuple(f'host-{number}' for number in range(40))
CHECK_INTERVAL_S = 0.6
SETTLED_ROUNDS = 50
SEEDS = range(5)


def entry(
    host: str,
    region: str = 'north',
    stamp: int = 1,
    state: UpstreamState = UpstreamState.READY,
) -> SiteEntry:
    """Return an entry of a host."""
    place = Place(host, host, 'a', region, 'service', state, 10)
    return SiteEntry(place, 'i-1', 1, stamp)


class Region:
    """Play the hosts of a region, which ask each other at intervals.

    Hosts in `living` answer, and the store answers those in `served`. A host
    that was chosen follows from then on if the store answers it.
    """

    def __init__(self, hosts: tuple[str, ...] = HOSTS) -> None:
        """Start all hosts; none of them follows yet."""
        self.now = float(0)
        self.order = sorted(hosts, key=position_of)
        self.entries = [entry(host) for host in hosts]
        self.living = set(hosts)
        self.served = set(hosts)
        self.choices = {host: FollowerChoice(host, 'north') for host in hosts}
        self.chosen: set[str] = set()
        self.questions = 0
        self._rng = random.Random(5)

    @property
    def following(self) -> list[str]:
        """Return the living hosts that follow, in order."""
        return [
            host
            for host in self.order
            if host in self.chosen & self.living & self.served
        ]

    def play(self, rounds: int) -> None:
        """Let each living host ask once in each round."""
        for _round in range(rounds):
            self.now += CHECK_INTERVAL_S
            for host in self._rng.sample(self.order, len(self.order)):
                if host in self.living:
                    self._check(host)

    def lose(self, hosts: list[str]) -> None:
        """Lose hosts for good."""
        self.living -= set(hosts)

    def _check(self, host: str) -> None:
        choice = self.choices[host]
        choice.record_preceding(self._ask(choice), self.now)
        self.chosen.discard(host)
        if choice.choose(self.now):
            self.chosen.add(host)

    def _ask(self, choice: FollowerChoice) -> FollowerCount:
        for batch in choice.batches(self.entries, self.now):
            counts = [self._answer(choice, one.place.host) for one in batch]
            known = [count for count in counts if count is not None]
            if known:
                return known[0]
        return FollowerCount()

    def _answer(
        self, choice: FollowerChoice, host: str
    ) -> FollowerCount | None:
        self.questions += 1
        if host not in self.living:
            choice.record_silence(host, self.now)
            return None
        choice.record_answer(host)
        return self.choices[host].count(self._own(host), self.now)

    def _own(self, host: str) -> FollowerCount:
        if host not in self.chosen:
            return FollowerCount()
        if host in self.served:
            return FollowerCount(following=1)
        return FollowerCount(starting=1)


class FollowersTest(testtools.TestCase):
    """The first hosts that live and reach the store follow it."""

    def setUp(self) -> None:
        """Let the first ones of all hosts follow."""
        super().setUp()
        self.region = Region()
        self.region.play(SETTLED_ROUNDS)

    def check_first_living_follow(self) -> None:
        """Check that the first ones alone follow after a while."""
        region = self.region
        region.play(SETTLED_ROUNDS)
        living = [one for one in region.order if one in region.living]
        usable = [one for one in living if one in region.served]
        self.assertEqual(usable[:FOLLOWERS_PER_REGION], region.following)

    def test_a_few_of_many(self) -> None:
        """Select the same few hosts on every host."""
        first = self.region.order[:FOLLOWERS_PER_REGION]
        self.assertEqual(first, self.region.following)
        self.assertEqual(set(first), self.region.chosen)

    def test_one_question_of_each_host(self) -> None:
        """Ask one host alone while all live."""
        self.region.questions = 0
        self.region.play(1)
        self.assertEqual(len(HOSTS) - 1, self.region.questions)

    # Guards against a region that nobody follows the store for, as more hosts
    # are lost at once than there were standbys.
    def test_any_number_of_first_hosts_is_lost(self) -> None:
        """Follow after one round, whoever is lost."""
        for count in range(1, len(HOSTS)):
            self.region = Region()
            self.region.play(SETTLED_ROUNDS)
            self.region.lose(self.region.order[:count])
            self.region.play(1)
            self.assertNotEqual([], self.region.following, str(count))
            self.check_first_living_follow()

    # Guards against hosts that are doubted for so long that nobody follows,
    # or that add up in the list until nobody asks behind them.
    def test_losses_in_series(self) -> None:
        """Follow after each round while hosts are lost and come back."""
        for seed in SEEDS:
            rng = random.Random(seed)
            self.region = Region()
            self.region.play(SETTLED_ROUNDS)
            for _change in range(30):
                lost = rng.sample(self.region.order, rng.randint(0, 39))
                self.region.living = set(HOSTS) - set(lost)
                self.region.play(1 + rng.randint(0, 5))
                self.assertNotEqual([], self.region.following, str(seed))
            self.check_first_living_follow()

    # Guards against a region that nobody follows the store for, as the store
    # turns its first hosts away.
    def test_first_hosts_are_turned_away(self) -> None:
        """Follow within a few rounds, however many are turned away."""
        for count in range(1, len(HOSTS)):
            self.region = Region()
            self.region.play(SETTLED_ROUNDS)
            self.region.served -= set(self.region.order[:count])
            self.region.play(SETTLED_ROUNDS)
            self.assertNotEqual([], self.region.following, str(count))
            self.check_first_living_follow()

    # Guards against a fleet that calls a silent store all at once.
    def test_store_that_answers_nobody(self) -> None:
        """Rest longer the more hosts try before."""
        self.region.served.clear()
        self.region.play(SETTLED_ROUNDS)
        choices = self.region.choices.values()
        calls = sum(1 / choice.backoff_ratio() for choice in choices)
        self.assertLess(calls, 4 * FOLLOWERS_PER_REGION)

    def test_hosts_that_left_do_not_count(self) -> None:
        """Ask no host whose upstream is gone."""
        gone = [entry(host, state=UpstreamState.GONE) for host in HOSTS]
        choice = FollowerChoice(self.region.order[-1], 'north')
        self.assertEqual([], list(choice.batches(gone, 0)))

    def test_other_regions_do_not_count(self) -> None:
        """Ask no host of another region."""
        remote = [entry(host, 'south') for host in HOSTS]
        choice = FollowerChoice(self.region.order[-1], 'north')
        self.assertEqual([], list(choice.batches(remote, 0)))


class FollowerChoiceTest(testtools.TestCase):
    """A host follows until enough hosts before it do."""

    def setUp(self) -> None:
        """Take the last host in the order."""
        super().setUp()
        self.order = sorted(HOSTS, key=position_of)
        self.entries = [entry(host) for host in HOSTS]
        self.choice = FollowerChoice(self.order[-1], 'north')

    def chosen(self, following: int, starting: int, now: float) -> bool:
        """Return the choice after an answer."""
        count = FollowerCount(following, starting)
        self.choice.record_preceding(count, now)
        return self.choice.choose(now)

    def test_nothing_is_known(self) -> None:
        """Follow nothing before the first question."""
        self.assertFalse(self.choice.choose(0))
        self.assertIsNone(self.choice.count(FollowerCount(), 0))

    # Guards against many followers where one would do.
    def test_hosts_that_start(self) -> None:
        """Wait a little for hosts that are about to follow."""
        self.assertFalse(self.chosen(1, 2, 0))
        self.assertFalse(self.chosen(1, 2, STARTERS_DOUBLE_S / 2))
        self.assertTrue(self.chosen(1, 2, STARTERS_DOUBLE_S))
        # One that follows doesn't stop for others that only start.
        self.assertTrue(self.chosen(2, 3, STARTERS_DOUBLE_S))
        self.assertFalse(self.chosen(3, 0, STARTERS_DOUBLE_S))

    # Guards against counts that outlive the followers.
    def test_old_count(self) -> None:
        """Tell no count that is old."""
        self.choice.record_preceding(FollowerCount(3), 0)
        own = FollowerCount()
        self.assertEqual(
            FollowerCount(3), self.choice.count(own, COUNT_VALID_S)
        )
        self.assertIsNone(self.choice.count(own, COUNT_VALID_S + 0.1))

    # Guards against questions to all lost hosts at each interval.
    def test_doubts_last_longer_each_time(self) -> None:
        """Ask a silent host again after ever longer times."""
        nearest = self.order[-2]
        asked_at: list[int] = []
        for now in range(200):
            first = next(self.choice.batches(self.entries, now))
            if nearest in {one.place.host for one in first}:
                asked_at.append(now)
                self.choice.record_silence(nearest, now)
        gaps = [
            after - before for before, after in itertools.pairwise(asked_at)
        ]
        self.assertEqual([3, 6, 12, 24, 24], gaps[:5])

    # Guards against a count that waits for lost hosts one after the other.
    def test_batches_grow(self) -> None:
        """Ask more hosts at once the more are silent."""
        sizes = [len(one) for one in self.choice.batches(self.entries, 0)]
        self.assertEqual([1, 4, 16, 18], sizes)


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
