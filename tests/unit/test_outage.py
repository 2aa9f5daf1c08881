"""Check when the store counts as out for everybody."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions.keyring import KeyChanges, Keyring
from dragonflyknot.decisions.outage import OutageWitnesses, StoreStatement

OUT = StoreStatement(is_out=True, sequence=3)
RING = Keyring()
RING.install(KeyChanges(0, 3, ()))


def _witnesses(count: int) -> OutageWitnesses:
    witnesses = OutageWitnesses()
    witnesses.choose(f'h{number}' for number in range(count))
    return witnesses


class OutageWitnessesTest(testtools.TestCase):
    """A majority of the store's region decides."""

    def test_majority_that_finds_the_store_out_agrees(self) -> None:
        witnesses = _witnesses(4)
        witnesses.hear('h0', OUT, 10)
        witnesses.hear('h1', OUT, 11)
        self.assertIsNone(witnesses.agreed_at(RING, 12))
        witnesses.hear('h2', OUT, 12)
        self.assertEqual(10, witnesses.agreed_at(RING, 12))

    def test_one_reader_or_one_more_change_prevents_it(self) -> None:
        for other in (StoreStatement(False, 3), StoreStatement(True, 4)):
            witnesses = _witnesses(4)
            for host in ('h0', 'h1', 'h2'):
                witnesses.hear(host, OUT, 10)
            witnesses.hear('h3', other, 10)
            self.assertIsNone(witnesses.agreed_at(RING, 10))

    def test_announced_withdrawal_has_to_be_taken_over(self) -> None:
        ring = Keyring()
        ring.install(KeyChanges(0, 3, ()))
        told = StoreStatement(True, 3, frozenset(('k',)))
        witnesses = _witnesses(1)
        witnesses.hear('h0', told, 10)
        self.assertIsNone(witnesses.agreed_at(ring, 10))
        ring.withdraw('k')
        self.assertEqual(10, witnesses.agreed_at(ring, 10))

    def test_cut_off_daemon_agrees_to_nothing(self) -> None:
        self.assertIsNone(OutageWitnesses().agreed_at(RING, 0))
        witnesses = _witnesses(4)
        for host in ('h0', 'h1', 'h2'):
            witnesses.hear(host, OUT, 10)
        self.assertIsNone(witnesses.agreed_at(RING, 16))

    def test_strangers_and_late_answers_do_not_count(self) -> None:
        witnesses = _witnesses(1)
        witnesses.hear('stranger', OUT, 10)
        self.assertIsNone(witnesses.agreed_at(RING, 10))
        witnesses.hear('h0', StoreStatement(False, 3), 10)
        witnesses.hear('h0', OUT, 9)
        self.assertIsNone(witnesses.agreed_at(RING, 10))

    @settings(derandomize=True, deadline=None, database=None)
    @given(count=st.integers(1, 9), told=st.sets(st.integers(0, 8), max_size=9))
    def test_announced_withdrawal_is_always_met(
        self, count: int, told: set[int]
    ) -> None:
        """A majority that was told leaves no majority that was not."""
        witnesses = _witnesses(count)
        told = {number for number in told if number < count}
        for number in set(range(count)) - told:
            witnesses.hear(f'h{number}', OUT, 0)
        if len(told) >= witnesses.majority:
            self.assertIsNone(witnesses.agreed_at(RING, 0))
