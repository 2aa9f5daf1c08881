"""Tests of the messages by which daemons of a site know each other."""

import json
from dataclasses import replace
from typing import Any

import testtools
from hypothesis import given, settings

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import MAX_SLOTS, Place
from dragonflyknot.decisions.siteview import (
    MAX_STAMP,
    SiteEntry,
    SiteView,
    Stamps,
)
from dragonflyknot.decisions.upstreamdepartures import Departure
from dragonflyknot.decisions.upstreammessages import MAX_BORN_MS
from dragonflyknot.peers import sitewire
from hostilejson import NESTED, strange_texts

ENTRY: dict[str, Any] = {
    'host': 'h',
    'address': '127.0.0.1:80',
    'data_center': 'a',
    'region': 'north',
    'service': 'mine',
    'state': 'ready',
    'slots': 10,
    'instance': 'i-1',
    'born': 99,
    'stamp': 4,
}
DEEP_LIST = b'[' * 900 + b']' * 900
GOSSIP_FIELDS = ('version', 'digest', 'entries', 'wants', 'stamps')
USUAL = (*ENTRY.values(), ENTRY, [ENTRY])


def entry() -> SiteEntry:
    """Return the entry of which ENTRY holds the fields."""
    ready = UpstreamState.READY
    place = Place('h', '127.0.0.1:80', 'a', 'north', 'mine', ready, 10)
    return SiteEntry(place, 'i-1', 99, 4)


def encoded(**changed: Any) -> bytes:
    """Return an entry with some fields changed."""
    return json.dumps({**ENTRY, **changed}).encode()


def gossip(*rows: Any, **fields: Any) -> bytes:
    """Return a gossip message with entries and other fields."""
    message = {'version': 1, 'digest': '', 'entries': rows, **fields}
    return json.dumps(message).encode()


class EntryTest(testtools.TestCase):
    """An entry that can't be read is none."""

    def test_round_trip(self) -> None:
        """Decode what was encoded."""
        departures = (Departure('i-0', 5, 7), Departure('i-1', 9))
        for sent in (entry(), replace(entry(), departures=departures)):
            decoded = sitewire.decode_entry(sitewire.encode_entry(sent))
            self.assertEqual(sent, decoded)

    # Guards against a leaving that an earlier release has stored, by its
    # state alone.
    def test_leaving_of_an_earlier_release(self) -> None:
        """Take the state for a departure."""
        for born, state, departure in (
            (99, 'gone', Departure('i-1', 99)),
            (99, 'draining', Departure('i-1', 99)),
            (0, 'gone', Departure('i-1', heard_ms=4)),
        ):
            decoded = sitewire.decode_entry(encoded(born=born, state=state))
            assert decoded is not None
            self.assertEqual((departure,), decoded.departures)

    def test_malformed_departures(self) -> None:
        """Leave out an entry whose departures can't be read."""
        row = {'instance': 'i-0', 'born': 5, 'heard_ms': 7}
        self.assertIsNotNone(sitewire.decode_entry(encoded(departures=[row])))
        malformed: tuple[Any, ...] = (
            row,
            [3],
            [{}],
            [{**row, 'born': -1}],
            [{**row, 'heard_ms': MAX_BORN_MS + 1}],
            [{**row, 'instance': 'a' * 257}],
        )
        for departures in malformed:
            self._assert_left_out(encoded(departures=departures))

    # Guards against hosts that stop following at an entry they can't read.
    def test_malformed(self) -> None:
        """Leave out nesting, infinities and fields of another type."""
        for content in (
            NESTED,
            encoded(slots=float('inf')),
            encoded(born=float('nan')),
            encoded(stamp=10**400),
            encoded(host='HERE').replace(b'"HERE"', DEEP_LIST),
            encoded(host=[[]]),
            encoded(slots=True),
            encoded(state='thinking'),
            encoded(state=['ready']),
            b'[]',
            b'{}',
        ):
            self._assert_left_out(content)

    # Guards against gossip that ends when it connects to such an address.
    def test_address_out_of_range(self) -> None:
        """Leave out an entry whose address nobody can connect to."""
        for address in ('127.0.0.1:99999', '127.0.0.1', 'h:1', ''):
            self._assert_left_out(encoded(address=address))

    # Guards against names that end a host when they are encoded again.
    def test_unusable_text(self) -> None:
        """Leave out an entry with half a character or a control character."""
        for field in ('host', 'data_center', 'region', 'service', 'instance'):
            for text in ('\ud800', 'a\r\nKey: b', 'a\0', 'a' * 257):
                self._assert_left_out(encoded(**{field: text}))

    # Guards against a stamp that the host itself can't outdo.
    def test_numbers_out_of_range(self) -> None:
        """Leave out stamps, slots and start times beyond their ranges."""
        for field, largest in (
            ('slots', MAX_SLOTS),
            ('stamp', MAX_STAMP),
            ('born', MAX_BORN_MS),
        ):
            content = encoded(**{field: largest})
            self.assertIsNotNone(sitewire.decode_entry(content), field)
            for number in (-1, largest + 1, 2**53 - 1, 2**63 - 1, 10**30):
                self._assert_left_out(encoded(**{field: number}))

    def test_largest_likely_stamp_is_outdone(self) -> None:
        """Take the next stamps of a host after one of another writer."""
        for odd in (2**32 - 1, 1_800_000_000_000):
            owner, other = SiteView('h'), SiteView('x')
            owner.publish(entry(), 0)
            row = sitewire.decode_entry(encoded(stamp=odd, slots=7))
            assert row is not None
            for view in (owner, other):
                view.merge([row])
            for _change in range(1000):
                again = owner.publish(entry(), 0)
                sent = sitewire.decode_entry(sitewire.encode_entry(again))
                assert sent is not None
                self.assertEqual([again], other.merge([sent]))

    @settings(derandomize=True, deadline=None, database=None)
    @given(strange_texts(ENTRY, USUAL))
    def test_any_bytes(self, content: bytes) -> None:
        """Decode any bytes to an entry that encodes again, or to none."""
        decoded = sitewire.decode_entry(content)
        if decoded is not None:
            again = sitewire.decode_entry(sitewire.encode_entry(decoded))
            self.assertEqual(decoded, again)
            view = SiteView('own')
            view.merge([decoded])
            self.assertNotEqual('', view.digest())

    def _assert_left_out(self, content: bytes) -> None:
        self.assertIsNone(sitewire.decode_entry(content), str(content[:300]))


class GossipTest(testtools.TestCase):
    """One entry of a message that can't be read leaves the others."""

    def test_round_trip(self) -> None:
        """Decode what was encoded."""
        stamps = Stamps({'h': 4}, {'gone': 2})
        message = sitewire.SiteGossip(7, 'd', (entry(),), ('x',), stamps)
        content = sitewire.encode_gossip(message)
        self.assertEqual(message, sitewire.decode_gossip(content))

    def test_round_trip_of_a_comparison(self) -> None:
        """Carry digests and stamps of buckets, and what the sender knows."""
        stamps = Stamps({'h': 4}, {}, frozenset({3, 5}), {'h': 'a1b2c3'})
        message = sitewire.SiteGossip(
            7,
            'd',
            stamps=stamps,
            bucket_digests=('a1', 'b2'),
            sender='h',
            epoch=3,
            has_store=False,
        )
        content = sitewire.encode_gossip(message)
        self.assertEqual(message, sitewire.decode_gossip(content))

    # Guards against a site that falls apart while releases are mixed.
    def test_message_of_an_earlier_release(self) -> None:
        """Read a message without what later releases add."""
        decoded = sitewire.decode_gossip(gossip(ENTRY, stamps={'h': 1}))
        assert decoded is not None and decoded.stamps is not None
        self.assertIsNone(decoded.stamps.buckets)
        self.assertTrue(decoded.has_store)

    def test_one_odd_entry(self) -> None:
        """Hold the entries beside one that can't be read."""
        odd_ones: tuple[Any, ...] = ({**ENTRY, 'slots': 10**400}, {}, [], None)
        for odd in odd_ones:
            decoded = sitewire.decode_gossip(gossip(odd, ENTRY))
            assert decoded is not None
            self.assertEqual((entry(),), decoded.entries)

    # Guards against gossip that ends at an answer it can't read.
    def test_malformed(self) -> None:
        """Read no message where a field of its own can't be read."""
        for content in (
            NESTED,
            gossip(version=float('inf')),
            gossip(version=10**400),
            gossip(stamps={'h': float('inf')}),
            gossip(stamps={'h': 1}, tombstones={'h': 10**400}),
            gossip(stamps={'h': 1}, tombstones={'h': MAX_STAMP + 1}),
            gossip(stamps={'h': MAX_STAMP + 1}),
            gossip(version=-1),
            gossip(stamps=[]),
            gossip(wants=[[]]),
            gossip(wants=['\ud800']),
            gossip(stamps={'\ud800': 1}),
            gossip(digest='\ud800'),
            gossip(entries={'h': ENTRY}),
            gossip(epoch=-1),
            gossip(epoch=10**16),
            gossip(store='yes'),
            gossip(sender=5),
            gossip(buckets=[1]),
            gossip(stamps={'h': 1}, stamped_buckets=['x']),
            b'[]',
        ):
            self.assertIsNone(sitewire.decode_gossip(content))

    @settings(derandomize=True, deadline=None, database=None)
    @given(strange_texts((*GOSSIP_FIELDS, *ENTRY), USUAL))
    def test_any_bytes(self, content: bytes) -> None:
        """Decode any bytes to a message that encodes again, or to none."""
        decoded = sitewire.decode_gossip(content)
        if decoded is not None:
            again = sitewire.decode_gossip(sitewire.encode_gossip(decoded))
            self.assertEqual(decoded, again)
