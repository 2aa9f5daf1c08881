"""Tests of adaptive throttling at the first host, in virtual time."""

import random

import testtools

from dragonflyknot.decisions.throttle import Throttle, headroom

LOW_PRIORITY, HIGH_PRIORITY = 6, 8


class ThrottleTest(testtools.TestCase):
    """Admission follows the number of served requests."""

    def setUp(self) -> None:
        """Create a throttle without requests."""
        super().setUp()
        self.throttle = Throttle()
        self.rng = random.Random(5)
        self.now = 0.0

    def offer_requests(
        self,
        seconds: float,
        requests_per_s: float,
        capacity_per_s: float,
        priority: int,
    ) -> tuple[float, float]:
        """Send requests to a service of limited capacity.

        Chains beyond the capacity fail and use capacity as well. Return the
        ratios of admitted and of served requests.
        """
        asked = started = served = 0
        capacity_left = capacity_per_s / 10
        end = self.now + seconds
        while self.now < end:
            self.now += 1 / requests_per_s
            asked += 1
            capacity_left = min(
                capacity_per_s / 10,
                capacity_left + capacity_per_s / requests_per_s,
            )
            if not self.throttle.admit('r', priority, self.now, self.rng):
                continue
            started += 1
            # A chain that fails wastes up to half of the capacity it needs.
            is_served = capacity_left >= 1
            capacity_left -= 1 if is_served else min(capacity_left, 0.5)
            served += is_served
            self.throttle.ended('r', self.now, is_served=is_served)
        return started / asked, served / asked

    def test_route_without_failures_is_never_refused(self) -> None:
        """Admit all requests while none fails."""
        self.assertEqual(
            (1, 1), self.offer_requests(10, 50, 1000, LOW_PRIORITY)
        )

    def test_few_failures_are_tolerated(self) -> None:
        """Admit all requests if a tenth fails for other reasons."""
        refused = 0
        for number in range(2000):
            self.now += 0.02
            refused += not self.throttle.admit(
                'r', LOW_PRIORITY, self.now, self.rng
            )
            self.throttle.ended('r', self.now, is_served=number % 10 > 0)
        self.assertEqual(0, refused)


class CollapseTest(ThrottleTest):
    """The last service of the chains has lost most of its capacity."""

    def test_less_work_is_wasted(self) -> None:
        """Admit fewer chains and serve more than without the throttle."""
        started, served = self.offer_requests(20, 100, 40, LOW_PRIORITY)
        self.assertLess(started, 0.75)
        unthrottled = 40 / (40 + 0.5 * 60 / 1) * 0.4
        self.assertGreater(served, unthrottled)

    def test_recovery_after_the_overload(self) -> None:
        """Admit all requests again within some seconds."""
        self.offer_requests(20, 100, 10, LOW_PRIORITY)
        self.offer_requests(4, 100, 1000, LOW_PRIORITY)
        started, served = self.offer_requests(5, 100, 1000, LOW_PRIORITY)
        self.assertGreater(started, 0.99)
        self.assertGreater(served, 0.99)

    def test_high_priorities_have_more_headroom(self) -> None:
        """Give more headroom to high priorities than to low ones."""
        self.assertGreater(headroom(HIGH_PRIORITY), headroom(LOW_PRIORITY))
