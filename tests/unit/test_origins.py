"""Tests of finding the origin of a call and of its priority."""

import testtools

from dragonflyknot.decisions import siteconfig
from dragonflyknot.decisions.origins import Origin, RunningRequests


class RunningRequestsTest(testtools.TestCase):
    """Calls extend the id of a request that runs here."""

    def setUp(self) -> None:
        """Start two requests, one of which is a call itself."""
        super().setUp()
        self.running = RunningRequests()
        self.running.begin(b'a1', Origin(6, 'w'))
        self.running.begin(b'a1.b2', Origin(15, 'v'))

    def test_calls_and_others(self) -> None:
        """Find the longest running id that a call extends."""
        for request_id, expected in (
            (b'a1.c3', Origin(6, 'w')),
            (b'a1.b2.d4', Origin(15, 'v')),
            (b'a1', None),
            (b'a2.c3', None),
            (b'', None),
        ):
            self.assertEqual(
                expected,
                self.running.origin_of(request_id, 0),
                str(request_id),
            )

    def test_ended_requests_make_no_calls(self) -> None:
        """Remove only the request that ended."""
        self.running.end(b'a1')
        self.running.end(b'unknown')
        self.assertIsNone(self.running.origin_of(b'a1.c3', 0))
        self.assertIsNotNone(self.running.origin_of(b'a1.b2.d4', 0))

    def test_upstream_that_calls(self) -> None:
        """Report for some seconds that the upstream makes calls."""
        self.assertFalse(self.running.makes_calls(0))
        self.running.origin_of(b'b2.c3', 1)
        self.assertFalse(self.running.makes_calls(1))
        self.running.origin_of(b'a1.c3', 1)
        self.assertTrue(self.running.makes_calls(3))
        self.assertFalse(self.running.makes_calls(20))


class CallPriorityTest(testtools.TestCase):
    """Calls precede callers, in the order of their chains."""

    def test_order(self) -> None:
        """Order calls by the priority of their chains, above all callers."""
        lower = siteconfig.call_priority(6)
        highest = siteconfig.call_priority(8)
        self.assertGreater(lower, siteconfig.HIGHEST_CALLER_PRIORITY)
        self.assertGreater(highest, lower)
        self.assertEqual(highest, siteconfig.HIGHEST_CALL_PRIORITY)

    def test_any_depth(self) -> None:
        """Keep the priority of a chain at any depth."""
        priority = siteconfig.call_priority(6)
        self.assertEqual(priority, siteconfig.call_priority(priority))
