"""Retries stay bounded over any call tree, even if reports are lost."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from dragonflyknot.decisions.calls import Outcome
from dragonflyknot.decisions.retry import (
    EARNED_RETRIES_PER_SUCCESS,
    MAX_RESERVE_RETRIES,
    RESERVE_RETRIES_PER_S,
    Failure,
    RetryBudget,
    RetryPool,
    backoff_s,
    is_retryable,
    jittered_retry_after_s,
)

MAX_HOPS = 22


def _spend_in_tree(pool: RetryPool, hops: int, rng: random.Random) -> int:
    """Return the retries spent by a hop and by everything below it."""
    spent = 0
    for _ in range(rng.randrange(1, 3)):
        passed_on = pool.hand_over(rng.randrange(0, 6))
        next_pool = RetryPool(passed_on)
        if hops > 1 and rng.random() < 0.9:
            spent += _spend_in_tree(next_pool, hops - 1, rng)
        unused = next_pool.seal()
        if rng.random() < 0.7:
            pool.take_back(passed_on, unused)
        if rng.random() < 0.5 and pool.spend():
            spent += 1
    return spent


class RetryPoolTest(TestCase):
    """A call tree never spends more retries than its first pool holds."""

    @given(st.integers(0, 20), st.integers(1, MAX_HOPS), st.integers(0, 999))
    @settings(derandomize=True, deadline=None, database=None)
    def test_a_tree_of_hops_never_spends_more_than_its_pool(
        self, size: int, hops: int, seed: int
    ) -> None:
        hops = min(hops, 10)
        spent = _spend_in_tree(RetryPool(size), hops, random.Random(seed))
        self.assertTrue(spent <= size)

    def test_a_chain_of_22_hops_never_spends_more_than_its_pool(self) -> None:
        for seed in range(50):
            pools = [RetryPool(4)]
            rng = random.Random(seed)
            for _ in range(MAX_HOPS):
                pools.append(RetryPool(pools[-1].hand_over(pools[-1].left)))
            spent = 0
            for caller_pool, next_pool in zip(
                reversed(pools[:-1]), reversed(pools), strict=False
            ):
                spent += sum(next_pool.spend() for _ in range(rng.randrange(3)))
                caller_pool.take_back(4, next_pool.seal())
            self.assertTrue(spent <= 4)

    def test_a_report_cannot_return_more_than_was_passed_on(self) -> None:
        pool = RetryPool(4)
        pool.take_back(pool.hand_over(2), 9)
        pool.take_back(2, 2)
        self.assertEqual(4, pool.left)

    def test_a_sealed_pool_is_empty(self) -> None:
        pool = RetryPool(3)
        passed_on = pool.hand_over(1)
        self.assertEqual(2, pool.seal())
        pool.take_back(passed_on, 1)
        self.assertFalse(pool.spend())


class RetryBudgetTest(TestCase):
    """The retries of a workspace are bounded by its successes."""

    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 0.5)), max_size=200))
    @settings(derandomize=True, deadline=None, database=None)
    def test_retries_stay_a_fraction_of_the_successes(
        self, steps: list[tuple[bool, float]]
    ) -> None:
        budget = RetryBudget()
        now = float(0)
        retries = 0
        successes = 0
        for succeeded, seconds in steps:
            now += seconds
            if succeeded:
                budget.record_success(now, 'w')
                successes += 1
            elif budget.may_retry(now, 'w'):
                budget.record_retry(now, 'w')
                retries += 1
            bound = MAX_RESERVE_RETRIES + now * RESERVE_RETRIES_PER_S
            self.assertTrue(
                retries <= bound + successes * EARNED_RETRIES_PER_SUCCESS
            )

    def test_one_workspace_cannot_use_up_the_retries_of_another(self) -> None:
        budget = RetryBudget()
        while budget.may_retry(0, 'flooding'):
            budget.record_retry(0, 'flooding')
        self.assertTrue(budget.may_retry(0, 'quiet'))


class RetryRuleTest(TestCase):
    """Only safe failures are retried, after a random delay."""

    def test_only_what_did_not_run_or_may_run_again_is_retried(self) -> None:
        cases = {
            Failure(Outcome.NOT_RUN, idempotent=False): True,
            Failure(Outcome.UNKNOWN, idempotent=True): True,
            Failure(Outcome.UNKNOWN, idempotent=False): False,
            Failure(Outcome.RAN, idempotent=False): False,
            Failure(Outcome.NOT_RUN, idempotent=True, deeper=True): False,
        }
        found = {failure: is_retryable(failure) for failure in cases}
        self.assertEqual(cases, found)

    def test_delays_are_spread(self) -> None:
        rng = random.Random(1)
        waits = {backoff_s(number, rng) for number in range(1, 9)}
        delays = {jittered_retry_after_s(2, rng) for _ in range(8)}
        self.assertEqual((8, 8), (len(waits), len(delays)))
        self.assertTrue(all(2 <= delay < 4 for delay in delays))
