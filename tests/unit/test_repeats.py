"""Tests of the retry bound of a fleet and of one daemon's budget."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import testtools

from dragonflyknot.decisions.siteconfig import (
    HIGHEST_CALL_PRIORITY,
    HIGHEST_CALLER_PRIORITY,
    call_priority,
)
from dragonflyknot.decisions.siteretries import (
    RetryClass,
    SiteRetryBound,
    SiteRetryBudget,
)

SERVICE = 'service'
HIGHEST = HIGHEST_CALL_PRIORITY
LEAF = RetryClass.LEAF_SERVICE

Demand = Callable[[int, int], int]
"""Return the requests of a host in a given second."""


@dataclass
class Fleet:
    """Fail every request and retry as often as the budgets allow."""

    bound: SiteRetryBound
    hosts: int
    requests: Counter[int] = field(default_factory=Counter)
    retries: Counter[int] = field(default_factory=Counter)

    def run(self, seconds: int, demand: Demand) -> None:
        """Simulate some seconds of a demand."""
        budgets = [SiteRetryBudget(self.bound) for _ in range(self.hosts)]
        for budget in budgets:
            budget.set_host_count(self.hosts)
        for second in range(seconds):
            for host, budget in enumerate(budgets):
                self._run_second(budget, second, demand(host, second))

    def excess(self) -> float:
        """Return by how much the worst window exceeds the bound."""
        window_s = self.bound.window_s
        return max(
            self._total(self.retries, first)
            - self.bound.ratio
            * max(
                self._total(self.requests, first - offset)
                for offset in (0, window_s // 2, window_s)
            )
            - max(self.bound.slack, self.hosts)
            for first in range(max(self.retries) + 1)
        )

    def _total(self, counts: Counter[int], first: int) -> int:
        return sum(
            counts[second]
            for second in range(first, first + self.bound.window_s)
        )

    def _run_second(
        self, budget: SiteRetryBudget, second: int, requests: int
    ) -> None:
        for _request in range(requests):
            budget.count_request(SERVICE, second, is_retry=False)
            while budget.take(SERVICE, second, LEAF, HIGHEST):
                self.retries[second] += 1
        self.requests[second] += requests


def _steady_demand(host: int, second: int) -> int:
    return 40


def _ending_demand(host: int, second: int) -> int:
    return 60 if second < 15 else 1


def _moving_demand(host: int, second: int) -> int:
    """Move all requests from one half of the hosts to the other."""
    is_first = second < 18
    return 40 if is_first == (host % 2 == 0) else 0


def _surging_demand(host: int, second: int) -> int:
    return 50 if second % 14 < 4 else 5


class FleetBoundTest(testtools.TestCase):
    """The retries of all daemons stay within the fleet's bound."""

    def test_bound_holds_for_all_demands(self) -> None:
        """Keep the bound in every window while the demand changes."""
        bound = SiteRetryBound(ratio=0.2, slack=48, window_s=10)
        for demand in (
            _steady_demand,
            _ending_demand,
            _moving_demand,
            _surging_demand,
        ):
            for hosts in (4, 16, 83):
                fleet = Fleet(bound, hosts)
                fleet.run(40, demand)
                self.assertLessEqual(
                    fleet.excess(), 0, f'{demand.__name__}, {hosts} hosts'
                )

    def test_half_of_the_bound_is_usable(self) -> None:
        """Use more than half of the bound at a leaf service."""
        bound = SiteRetryBound(ratio=0.2, slack=48, window_s=10)
        fleet = Fleet(bound, 16)
        fleet.run(40, _steady_demand)
        used = fleet.retries.total() / fleet.requests.total()
        self.assertGreater(used, bound.ratio / 2)


class RepeatBudgetTest(testtools.TestCase):
    """The budget of one daemon."""

    def setUp(self) -> None:
        """Count a hundred requests per second."""
        super().setUp()
        self.budget = SiteRetryBudget(SiteRetryBound(ratio=0.2, slack=0))
        for second in range(10):
            for _request in range(100):
                self.budget.count_request(SERVICE, second, is_retry=False)

    def test_idle_daemon_may_retry(self) -> None:
        """Allow one retry without prior requests."""
        budget = SiteRetryBudget(SiteRetryBound())
        budget.set_host_count(1000)
        self.assertTrue(budget.take(SERVICE, 0, LEAF, HIGHEST))
        self.assertFalse(budget.take(SERVICE, 0, LEAF, HIGHEST))

    def test_retries_with_downstream_calls_get_less(self) -> None:
        """Reserve budget downstream for the calls of retried runs."""
        taken = [
            self._taken(retry_class, HIGHEST) for retry_class in RetryClass
        ]
        self.assertEqual(sorted(taken), taken)
        # Retries at the three services before fit into the bound of the fourth.
        share_before_leaf = (
            RetryClass.ENTRY_REQUEST.value + 2 * RetryClass.INNER_CALL.value
        )
        self.assertLess(share_before_leaf, RetryClass.LEAF_SERVICE.value)

    def test_calls_of_retried_runs_count(self) -> None:
        """Allow no retry if retries earlier in the chain used up the bound."""
        for _call in range(200):
            self.budget.count_request(SERVICE, 9, is_retry=True)
        self.assertEqual(0, self._taken(LEAF, HIGHEST))

    def test_high_priority_chains_get_more(self) -> None:
        """Reserve a part of the bound for the highest priority."""
        lower_priority = call_priority(HIGHEST_CALLER_PRIORITY - 2)
        taken = self._taken(LEAF, lower_priority)
        self.assertGreater(taken, 0)
        self.assertGreater(self._taken(LEAF, HIGHEST), 0)
        self.assertEqual(0, self._taken(LEAF, lower_priority))

    def test_retries_expire_with_the_window(self) -> None:
        """Allow retries again after a window."""
        self._taken(LEAF, HIGHEST)
        for second in range(10, 22):
            for _request in range(100):
                self.budget.count_request(SERVICE, second, is_retry=False)
        self.assertTrue(self.budget.take(SERVICE, 21, LEAF, HIGHEST))

    def _taken(self, retry_class: RetryClass, priority: int) -> int:
        taken = 0
        while self.budget.take(SERVICE, 9, retry_class, priority):
            taken += 1
        return taken
