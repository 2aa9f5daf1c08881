"""Check the token bucket of one shard."""

import testtools

from dragonflyknot.decisions.buckets import HOLDER_GRANT_VALIDITY_S, Bucket


def full_bucket() -> Bucket:
    """Make a bucket of 10 tokens per second that is full at time 10."""
    bucket = Bucket(10, 5, starts_at=0)
    bucket.refill(10)
    return bucket


class BucketTest(testtools.TestCase):
    """Refill, grant and take back tokens."""

    def test_minting_starts_empty_and_stops_at_the_burst(self) -> None:
        bucket = Bucket(10, 5, starts_at=1)
        bucket.refill(1)
        self.assertEqual(0, bucket.level)
        bucket.refill(1.25)
        self.assertEqual(2.5, bucket.level)
        bucket.refill(9)
        self.assertEqual(5, bucket.level)

    def test_lent_tokens_count_against_the_burst(self) -> None:
        bucket = full_bucket()
        self.assertEqual(4, bucket.grant('g', 4, 10))
        bucket.refill(11)
        self.assertEqual(5, bucket.level + bucket.outstanding)

    def test_a_loan_that_expired_makes_room_from_then_on(self) -> None:
        bucket = full_bucket()
        bucket.grant('g', 5, 10)
        bucket.refill(10 + HOLDER_GRANT_VALIDITY_S + 0.2)
        self.assertAlmostEqual(2, bucket.level)

    def test_a_doubled_request_is_not_lent_twice(self) -> None:
        bucket = full_bucket()
        bucket.grant('g', 2, 10)
        self.assertEqual(0, bucket.grant('g', 2, 10))

    def test_a_doubled_return_is_credited_once(self) -> None:
        bucket = full_bucket()
        bucket.grant('g', 5, 10)
        bucket.settle('g', 2, 3, 10)
        bucket.settle('g', 2, 3, 10)
        self.assertEqual(3, bucket.level)
        self.assertEqual(2, bucket.outstanding)

    def test_an_old_settlement_changes_nothing(self) -> None:
        bucket = full_bucket()
        bucket.grant('g', 5, 10)
        bucket.settle('g', 1, 0, 10)
        bucket.settle('g', 4, 0, 10)
        self.assertEqual(1, bucket.outstanding)

    def test_a_token_given_back_is_there_again(self) -> None:
        bucket = full_bucket()
        bucket.take(5)
        bucket.refill(10.3)
        bucket.take(3)
        bucket.give_back(1, spent_at=10.3, now=10.3)
        self.assertAlmostEqual(1, bucket.level)

    def test_tokens_given_back_after_an_overflow_are_lost(self) -> None:
        bucket = full_bucket()
        bucket.take(5)
        bucket.refill(11)
        bucket.take(5)
        for _ in range(5):
            bucket.give_back(1, spent_at=10, now=11)
        self.assertEqual(0, bucket.level)

    def test_a_token_of_an_earlier_holder_is_not_taken_back(self) -> None:
        bucket = Bucket(10, 5, starts_at=10)
        bucket.refill(10.1)
        bucket.give_back(1, spent_at=9.9, now=10.1)
        self.assertAlmostEqual(1, bucket.level)

    def test_a_smaller_burst_drops_tokens(self) -> None:
        bucket = full_bucket()
        bucket.set_limits(10, 2, 10)
        self.assertEqual(2, bucket.level)
