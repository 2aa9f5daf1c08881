"""Tests of merging host entries from the store and from peers."""

from dataclasses import replace

import testtools

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.siteview import (
    SiteEntry,
    SiteView,
    bucket_of,
)
from dragonflyknot.decisions.upstreamdepartures import Departure, Departures


def entry(host: str, stamp: int, slots: int = 10) -> SiteEntry:
    """Return an entry of a ready host."""
    ready = UpstreamState.READY
    place = Place(host, host, 'a', 'north', 'service', ready, slots)
    return SiteEntry(place, 'i-1', 1, stamp)


class SiteViewTest(testtools.TestCase):
    """The entry with the higher stamp wins regardless of its source."""

    def test_higher_stamp_wins(self) -> None:
        """Accept newer entries and ignore known and older ones."""
        view = SiteView('own')
        self.assertEqual([entry('x', 3)], view.merge([entry('x', 3)]))
        self.assertEqual([], view.merge([entry('x', 3), entry('x', 2)]))
        self.assertEqual(1, len(view.merge([entry('x', 4)])))

    def test_own_entry_is_only_written_locally(self) -> None:
        """Keep the own entry and raise its stamp above a received one."""
        view = SiteView('own')
        view.publish(entry('own', 0, slots=7), 1)
        view.merge([entry('own', 40, slots=99)])
        own = view.own
        assert own is not None
        self.assertEqual((7, 41), (own.place.slots, own.stamp))

    # Guards against a restarted host that publishes an older entry of an
    # earlier process above the newer one.
    def test_newer_entry_of_an_earlier_process(self) -> None:
        """Take the newest own entry as it is until one is published."""
        view = SiteView('own')
        view.merge([entry('own', 12, slots=7)])
        view.merge([entry('own', 13, slots=9)])
        self.assertEqual(entry('own', 13, slots=9), view.own)

    def test_restart_continues_from_the_stored_stamp(self) -> None:
        """Publish a newer entry than the one of an earlier process."""
        view = SiteView('own')
        view.merge([entry('own', 12)])
        self.assertEqual(13, view.publish(entry('own', 0), 1).stamp)

    def test_tombstone_excludes_older_entries(self) -> None:
        """Ignore older entries of a removed host and accept newer ones."""
        view = SiteView('own')
        view.merge([entry('x', 3)])
        view.remove('x')
        self.assertEqual([], view.merge([entry('x', 3)]))
        self.assertEqual(1, len(view.merge([entry('x', 4)])))

    # Guards against a stamp that is given out twice after a loss of entries:
    # peers keep the former entry for good.
    def test_entry_of_a_restarted_host_that_lacks_its_last_one(self) -> None:
        """Exceed the stamps of earlier processes by the time of day."""
        earlier, restarted = SiteView('own'), SiteView('own')
        peer = SiteView('peer')
        stored = earlier.publish(entry('own', 0), 1000)
        peer.merge([earlier.publish(entry('own', 0, slots=7), 2000)])
        restarted.merge([stored])
        newest = restarted.publish(entry('own', 0, slots=9), 3000)
        self.assertEqual([newest], peer.merge([newest]))

    # Guards against a host that has to be removed many times until its stamp
    # exceeds the one of the tombstone that its peers have.
    def test_tombstone_of_a_higher_stamp(self) -> None:
        """Replace a tombstone by an entry with a higher stamp at once."""
        view = SiteView('own')
        known = view.publish(entry('own', 0), 5)
        view.remove('own', 900)
        self.assertEqual(901, view.publish(known, 6).stamp)

    def test_digest_identifies_the_entries(self) -> None:
        """Give equal digests for equal entries only."""
        first, second = SiteView('one'), SiteView('two')
        for view in (first, second):
            view.merge([entry('x', 3), entry('y', 1)])
        self.assertEqual(first.digest(), second.digest())
        second.merge([replace(entry('x', 3), stamp=4)])
        self.assertNotEqual(first.digest(), second.digest())


class DeparturesTest(testtools.TestCase):
    """Departures are merged, whichever entry wins."""

    def setUp(self) -> None:
        """Let a view know an entry with a departure."""
        super().setUp()
        self.view = SiteView('own')
        self.left = replace(entry('x', 3), departures=(Departure('i-1', 7),))
        self.view.merge([self.left])

    def departures(self, host: str = 'x') -> Departures:
        """Return the departures that the view knows of a host."""
        return self.view.entries_by_host[host].departures

    # Guards against a leaving that is lost to an entry with a later stamp.
    def test_later_entry_without_the_departure(self) -> None:
        """Take the entry, and keep the departure."""
        self.view.merge([entry('x', 4, slots=99)])
        self.assertEqual(99, self.view.entries_by_host['x'].place.slots)
        self.assertEqual(self.left.departures, self.departures())

    # Guards against a leaving that is passed over as its entry is older.
    def test_earlier_entry_with_a_departure(self) -> None:
        """Keep the entry, and take the departure."""
        older = replace(entry('x', 2), departures=(Departure('i-0', 5),))
        self.assertEqual(1, len(self.view.merge([older])))
        self.assertEqual(3, self.view.entries_by_host['x'].stamp)
        self.assertEqual(
            (Departure('i-0', 5), Departure('i-1', 7)), self.departures()
        )
        self.assertEqual([], self.view.merge([older]))

    # Guards against an own row that is read late, and is replaced by the
    # entry of this process without what it says of a leaving.
    def test_own_row_of_an_earlier_process(self) -> None:
        """Publish the departure under a higher stamp."""
        published = self.view.publish(entry('own', 0, slots=7), 9)
        row = replace(entry('own', 4), departures=(Departure('i-1', 7),))
        self.view.merge([row])
        own = self.view.own
        assert own is not None
        self.assertEqual(7, own.place.slots)
        self.assertGreater(own.stamp, published.stamp)
        self.assertEqual(row.departures, own.departures)

    def test_publication_keeps_departures(self) -> None:
        """Keep what others told of the own departures."""
        row = replace(entry('own', 4), departures=(Departure('i-1', 7),))
        self.view.merge([row])
        published = self.view.publish(entry('own', 0), 9)
        self.assertEqual(row.departures, published.departures)

    # Guards against a leaving that is lost with a host's row, as the host was
    # down for long.
    def test_removed_host(self) -> None:
        """Keep departures with the tombstone."""
        self.view.remove('x')
        self.view.merge([entry('x', 4)])
        self.assertEqual(self.left.departures, self.departures())

    # Guards against two hosts that take each other's entries for equal.
    def test_departures_alone_differ(self) -> None:
        """Exchange the entry, and agree after that."""
        peer = SiteView('peer')
        peer.merge([entry('x', 3)])
        self.assertNotEqual(peer.digest(), self.view.digest())
        self.assertEqual([self.left], self.view.newer_than(peer.stamps()))
        self.assertEqual(['x'], peer.outdated_hosts(self.view.stamps()))
        self.assertEqual([], peer.newer_than(self.view.stamps()))
        self.assertEqual([], self.view.outdated_hosts(peer.stamps()))
        self.assertEqual(
            [self.left], self.view.lacking_departures([entry('x', 5)])
        )
        peer.merge([self.left])
        self.assertEqual(peer.digest(), self.view.digest())
        self.assertEqual([], self.view.newer_than(peer.stamps()))
        self.assertEqual([], self.view.lacking_departures([self.left]))


class BucketTest(testtools.TestCase):
    """Two hosts exchange the stamps of the buckets that differ alone."""

    def setUp(self) -> None:
        """Let two views know the same hosts, but for one change."""
        super().setUp()
        self.entries = [entry(f'host-{number}', 3) for number in range(200)]
        self.view = SiteView('own')
        self.peer = SiteView('peer')
        for view in (self.view, self.peer):
            view.merge(self.entries)
        self.peer.merge([entry('host-7', 4)])

    # Guards against all stamps of a large site travelling at each change.
    def test_one_change(self) -> None:
        """Cover a few hosts, among them the one that changed."""
        buckets = self.peer.differing_buckets(self.view.bucket_digests())
        self.assertEqual(frozenset({bucket_of('host-7')}), buckets)
        stamps = self.peer.stamps(buckets)
        self.assertLess(len(stamps.entries), 30)
        self.assertEqual(['host-7'], self.view.outdated_hosts(stamps))

    # Guards against entries of other buckets that are sent as if the peer
    # lacked them.
    def test_hosts_of_other_buckets_are_not_sent(self) -> None:
        """Send only what the covered stamps show to be missing."""
        self.view.merge([entry('host-7', 5)])
        buckets = self.peer.differing_buckets(self.view.bucket_digests())
        stamps = self.peer.stamps(buckets)
        self.assertEqual([entry('host-7', 5)], self.view.newer_than(stamps))

    def test_peer_of_another_release(self) -> None:
        """Compare all hosts where the peer names no or other buckets."""
        self.assertIsNone(self.view.differing_buckets(()))
        self.assertIsNone(self.view.differing_buckets(('a', 'b')))
        self.assertEqual(200, len(self.view.stamps().entries))
