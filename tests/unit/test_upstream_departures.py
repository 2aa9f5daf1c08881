"""Tests of the departures that hosts keep and merge."""

import testtools

from dragonflyknot.decisions.upstreamdepartures import (
    MAX_DEPARTURES,
    Departure,
    departure_of,
    digest_of,
    union,
)


class UnionTest(testtools.TestCase):
    """A union keeps what either side knows."""

    # Guards against a departure that is lost to one that is known later.
    def test_orders(self) -> None:
        """Give the same departures in each order, also when repeated."""
        parts = (
            (Departure('a', 3), Departure('b', 0, 7)),
            (Departure('a', 0, 9),),
            (Departure('b', 5), Departure('c', 1)),
        )
        forward, backward = union((), ()), union((), ())
        for part in (*parts, *parts):
            forward = union(forward, part)
        for part in reversed(parts):
            backward = union(backward, part)
        self.assertEqual(forward, backward)
        self.assertEqual(
            (Departure('a', 3, 9), Departure('b', 5, 7), Departure('c', 1)),
            forward,
        )
        self.assertEqual(digest_of(forward), digest_of(backward))

    # Guards against departures that grow without bound over the life of a
    # host.
    def test_many(self) -> None:
        """Keep the latest ones."""
        kept = union((), ())
        for number in range(2 * MAX_DEPARTURES):
            kept = union(kept, (Departure(f'i-{number}', number),))
        self.assertEqual(MAX_DEPARTURES, len(kept))
        newest = f'i-{2 * MAX_DEPARTURES - 1}'
        self.assertIsNotNone(departure_of(kept, newest))
        self.assertIsNone(departure_of(kept, 'i-0'))
